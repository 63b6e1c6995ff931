#include "lovagecross/standins/EngineReports.h"

#include <algorithm>

namespace lovagecross::standins {

namespace {

using namespace std::chrono_literals;

// Samples within this time are merged into the first, to bound the number kept.
constexpr Duration sampleInterval = 5ms;
constexpr Duration longestLag = 60s;

} // namespace

void LaggingLoad::record(const EngineLoad& load, TimePoint now)
{
    if (!this->samples.empty() && this->samples.back().time + sampleInterval > now)
        this->samples.back().load = load;
    else
        this->samples.push_back({ now, load });
    while (this->samples.size() > 1 && this->samples[1].time + longestLag < now)
        this->samples.pop_front();
}

EngineLoad LaggingLoad::report(TimePoint now, Duration lag) const
{
    if (this->samples.empty())
        return {};
    const auto tooNew = std::partition_point(
        this->samples.begin(), this->samples.end(), [&](const Sample& sample) { return sample.time + lag <= now; });
    const Sample& chosen = tooNew == this->samples.begin() ? this->samples.front() : *(tooNew - 1);
    EngineLoad load = chosen.load;
    // A sample is valid until the next one, so the figures are as old as the lag unless nothing older exists.
    load.reportAgeMillis = static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMillis(lag)));
    return load;
}

void CacheEventLog::record(const std::vector<CacheChange>& changes, TimePoint now, std::int64_t lossPercent)
{
    std::uniform_int_distribution<std::int64_t> percent(0, 99);
    for (const CacheChange& change : changes) {
        ++this->lastSequence;
        if (percent(this->random) < lossPercent)
            continue;
        this->entries.push_back({ now, { this->lastSequence, change.stored, change.prefixDigest, change.tokens } });
    }
    while (this->entries.size() > maxEvents)
        this->entries.pop_front();
}

std::vector<CacheEvent> CacheEventLog::events(std::uint64_t after, TimePoint now, Duration lag) const
{
    const auto first = std::partition_point(
        this->entries.begin(), this->entries.end(), [&](const Entry& entry) { return entry.event.sequence <= after; });
    std::vector<CacheEvent> list;
    for (auto entry = first; entry != this->entries.end() && list.size() < maxEventsInAnswer; ++entry) {
        if (entry->time + lag > now)
            break;
        list.push_back(entry->event);
    }
    return list;
}

void CacheEventLog::clear()
{
    this->entries.clear();
}

} // namespace lovagecross::standins
