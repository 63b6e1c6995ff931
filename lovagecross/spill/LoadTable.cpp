#include "lovagecross/spill/LoadTable.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::uint64_t ranksPerTurn = 7; // by which the ranks rotate at each turn

// By data centre and service.
using SummaryMap = std::map<std::pair<std::string, std::string>, LoadSummary>;

void addUp(std::vector<SentCalls>& sum, const std::vector<SentCalls>& added)
{
    for (const SentCalls& sent : added) {
        auto found = std::find_if(
            sum.begin(), sum.end(), [&sent](const SentCalls& entry) { return entry.dataCentre == sent.dataCentre; });
        if (found == sum.end()) {
            sum.push_back(sent);
            continue;
        }
        found->running += sent.running;
        found->reserved += sent.reserved;
    }
}

// The mean time of a call in both loads, weighted by their running calls plus one. A load without a mean is left out.
std::uint32_t meanMillis(const ServiceLoad& left, const ServiceLoad& right)
{
    if (left.callMillis == 0 || right.callMillis == 0)
        return std::max(left.callMillis, right.callMillis);
    std::uint64_t leftWeight = left.running + std::uint64_t(1);
    std::uint64_t rightWeight = right.running + std::uint64_t(1);
    return static_cast<std::uint32_t>(
        (left.callMillis * leftWeight + right.callMillis * rightWeight) / (leftWeight + rightWeight));
}

void addLoad(ServiceLoad& sum, const ServiceLoad& load)
{
    sum.callMillis = meanMillis(sum, load);
    sum.running += load.running;
    sum.waiting += load.waiting;
    sum.refusals += load.refusals;
    addUp(sum.sent, load.sent);
}

void addSummary(SummaryMap& sums, const LoadSummary& summary)
{
    std::pair key(summary.dataCentre, summary.load.service);
    if (sums.size() >= LoadTable::maxSummaries && sums.count(key) == 0)
        return;
    auto [entry, isNew] = sums.try_emplace(key, summary);
    if (isNew)
        return;
    LoadSummary& sum = entry->second;
    addLoad(sum.load, summary.load);
    sum.nodes += summary.nodes;
    sum.age = std::max(sum.age, summary.age);
}

std::vector<LoadSummary> valuesOf(const SummaryMap& sums)
{
    std::vector<LoadSummary> values;
    values.reserve(sums.size());
    for (const auto& [key, summary] : sums)
        values.push_back(summary);
    return values;
}

} // namespace

LoadTable::LoadTable(std::string ownName, const Clock& givenClock)
    : name(std::move(ownName))
    , clock(givenClock)
{
}

void LoadTable::record(const NodeLoad& load)
{
    if (load.node.empty())
        return;
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->removeExpired(now);
    if (this->nodes.size() >= maxNodes && this->nodes.count(load.node) == 0)
        return;
    this->nodes[load.node] = { load, now };
    this->heardSince.try_emplace(load.dataCentre, now);
}

void LoadTable::learn(const LoadReport& report)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->removeExpired(now);
    if (report.from == this->name || report.from.empty())
        return;
    if (this->reports.size() < maxReporters || this->reports.count(report.from) > 0)
        this->reports[report.from] = { report.summaries, now };
}

void LoadTable::removeExpired(TimePoint now)
{
    std::erase_if(this->nodes, [now](const auto& entry) { return now - entry.second.heardAt > nodeLifetime; });
    std::erase_if(this->heardSince, [this](const auto& entry) {
        return std::none_of(this->nodes.begin(), this->nodes.end(),
            [&entry](const auto& node) { return node.second.load.dataCentre == entry.first; });
    });
    std::erase_if(this->reports, [now](const auto& entry) { return now - entry.second.heardAt > summaryLifetime; });
}

std::vector<LoadSummary> LoadTable::ownSummaries(TimePoint now) const
{
    struct Heard {
        std::uint32_t nodes = 0;
        std::optional<Duration> oldestRecent;
    };
    std::map<std::string, Heard> heardOf; // by data centre
    SummaryMap sums;
    for (const auto& [node, entry] : this->nodes) {
        Duration age = now - entry.heardAt;
        if (age > nodeLifetime)
            continue;
        Heard& heard = heardOf[entry.load.dataCentre];
        ++heard.nodes;
        if (age <= recentReport)
            heard.oldestRecent = std::max(heard.oldestRecent.value_or(Duration(0)), age);
        if (now - this->heardSince.at(entry.load.dataCentre) < completeAfter)
            continue;
        for (const ServiceLoad& service : entry.load.services)
            addSummary(sums, { entry.load.dataCentre, service, 0, Duration(0) });
    }
    std::vector<LoadSummary> summaries = valuesOf(sums);
    std::erase_if(
        summaries, [&heardOf](const LoadSummary& summary) { return !heardOf[summary.dataCentre].oldestRecent; });
    for (LoadSummary& summary : summaries) {
        summary.nodes = heardOf[summary.dataCentre].nodes;
        summary.age = *heardOf[summary.dataCentre].oldestRecent;
    }
    return summaries;
}

LoadReport LoadTable::ownReport() const
{
    std::lock_guard lock(this->mutex);
    return { this->name, this->ownSummaries(this->clock.now()) };
}

std::vector<LoadSummary> LoadTable::summaries() const
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    SummaryMap fresh;
    SummaryMap old;
    for (const LoadSummary& summary : this->ownSummaries(now))
        addSummary(fresh, summary);
    for (const auto& [reporter, heard] : this->reports) {
        Duration sinceHeard = now - heard.heardAt;
        if (sinceHeard > summaryLifetime)
            continue;
        for (LoadSummary summary : heard.summaries) {
            summary.age += sinceHeard;
            addSummary(sinceHeard <= reporterLifetime ? fresh : old, summary);
        }
    }
    // Old summaries still tell how many nodes a data centre has that can't be reached now.
    for (const auto& [key, summary] : old) {
        if (fresh.count(key) == 0)
            addSummary(fresh, summary);
    }
    return valuesOf(fresh);
}

std::uint32_t LoadTable::rankOf(const NodeLoad& load) const
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::uint32_t before = 0;
    std::uint32_t count = 0;
    for (const auto& [node, heard] : this->nodes) {
        if (heard.load.dataCentre != load.dataCentre || now - heard.heardAt > nodeLifetime)
            continue;
        ++count;
        before += node < load.node ? 1 : 0;
    }
    auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / rankTurn);
    if (count == 0 || now.time_since_epoch() % rankTurn > rankTurn / 2)
        return noRank;
    return static_cast<std::uint32_t>((before + turn * ranksPerTurn) % count);
}

} // namespace lovagecross
