#include "lovagecross/gateway/ServerBook.h"

#include <algorithm>
#include <cmath>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration fullPause = milliseconds(30); // before a server that was full is asked again
constexpr Duration partMemory = std::chrono::seconds(20); // a part that was not used for so long may have been evicted
constexpr std::size_t maxPartsPerServer = 2000;
constexpr double sampleWeight = 0.25; // of the newest call in a server's mean
constexpr double serviceSampleWeight = 0.05;
constexpr double slownessHalfLifeSeconds = 2;
constexpr double largestSlowness = 20;
constexpr double ordinarySpread = 1.6; // between servers that are alike, from the sizes of their calls

std::uint64_t nextRandom(std::uint64_t& state)
{
    state ^= state << 13U;
    state ^= state >> 7U;
    state ^= state << 17U;
    return state;
}

double secondsBetween(TimePoint earlier, TimePoint later)
{
    return std::chrono::duration<double>(later - earlier).count();
}

} // namespace

ServerBook::ServerBook(const Clock& clock, std::string ownDataCentre, ChoiceSettings choiceSettings)
    : clock(clock)
    , dataCentre(std::move(ownDataCentre))
    , settings(choiceSettings)
{
    this->random ^= static_cast<std::uint64_t>(clock.now().time_since_epoch().count()) | 1U;
}

std::optional<ServerEntry> ServerBook::choose(const std::vector<ServerEntry>& servers, const ChoiceRequest& request,
    const std::vector<PromptPart>& prompt, const std::set<std::string>& tried)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::vector<ServerLoad> loads;
    std::vector<const ServerEntry*> entries;
    bool anySuspended = false;
    for (const ServerEntry& server : servers) {
        if (server.state != ServerState::Ready || tried.count(server.id) > 0)
            continue;
        Record& record = this->recordOf(server);
        loads.push_back(this->loadOf(server, record, this->services[server.service], prompt, now));
        entries.push_back(&server);
        anySuspended = anySuspended || !loads.back().usable;
    }
    ChoiceRequest adjusted = request;
    adjusted.dataCentre = this->dataCentre;
    ServerChoice choice = chooseServer(adjusted, loads, this->settings, nextRandom(this->random));
    if (!choice.chosen && anySuspended) {
        // Every server has failed lately: a call that may work is better than a refusal.
        for (ServerLoad& load : loads)
            load.usable = true;
        choice = chooseServer(adjusted, loads, this->settings, nextRandom(this->random));
    }
    if (!choice.chosen)
        return std::nullopt;
    const ServerEntry& server = *entries[*choice.chosen];
    ++this->recordOf(server).running;
    return server;
}

void ServerBook::finished(const ServerEntry& server, CallEnd end, Duration taken, const std::vector<PromptPart>& prompt)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    Record& record = this->recordOf(server);
    ServiceRecord& service = this->services[server.service];
    if (record.running > 0)
        --record.running;
    switch (end) {
    case CallEnd::Answered:
        record.breaker.succeeded(now);
        this->addSample(record, service, taken, now);
        this->rememberPrompt(record, prompt, now);
        break;
    case CallEnd::Refused:
        record.fullUntil = now + fullPause;
        break;
    case CallEnd::Failed:
        record.breaker.failed(now);
        break;
    case CallEnd::Abandoned:
        break;
    }
}

void ServerBook::retain(const std::set<std::string>& serverIds)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->records,
        [&](const auto& entry) { return entry.second.running == 0 && serverIds.count(entry.first) == 0; });
}

ServerBook::Record& ServerBook::recordOf(const ServerEntry& server)
{
    Record& record = this->records[server.id];
    if (record.startedUnixMillis != server.startedUnixMillis) {
        std::uint32_t running = record.running;
        record = {};
        record.startedUnixMillis = server.startedUnixMillis;
        record.running = running;
    }
    return record;
}

ServerLoad ServerBook::loadOf(const ServerEntry& server, Record& record, const ServiceRecord& service,
    const std::vector<PromptPart>& prompt, TimePoint now) const
{
    ServerLoad load;
    load.id = server.id;
    load.dataCentre = server.dataCentre;
    load.slots = server.slots;
    load.running = record.running;
    load.cold = server.coldFor > Duration(0);
    load.meanCallMillis = service.meanMillis;
    load.usable = now >= record.fullUntil && record.breaker.allows(now, record.running, server.slots);
    if (record.meanMillis > 0 && service.meanMillis > 0) {
        double ratio = std::clamp(record.meanMillis / service.meanMillis / ordinarySpread, 1.0, largestSlowness);
        double age = secondsBetween(record.sampledAt, now);
        load.slowness = 1 + (ratio - 1) * std::exp2(-age / slownessHalfLifeSeconds);
    }
    for (const PromptPart& part : prompt) {
        auto found = record.cachedParts.find(part.id);
        if (found == record.cachedParts.end() || now - found->second > partMemory)
            break; // a part is reused only when all before it are
        load.cachedTokens += part.tokens;
    }
    return load;
}

void ServerBook::addSample(Record& record, ServiceRecord& service, Duration taken, TimePoint now) const
{
    double millis = std::chrono::duration<double, std::milli>(taken).count();
    auto blend
        = [millis](double mean, double weight) { return mean <= 0 ? millis : mean * (1 - weight) + millis * weight; };
    record.meanMillis = blend(record.meanMillis, sampleWeight);
    record.sampledAt = now;
    service.meanMillis = blend(service.meanMillis, serviceSampleWeight);
}

void ServerBook::rememberPrompt(Record& record, const std::vector<PromptPart>& prompt, TimePoint now) const
{
    if (record.cachedParts.size() > maxPartsPerServer)
        std::erase_if(record.cachedParts, [now](const auto& part) { return now - part.second > partMemory / 4; });
    for (const PromptPart& part : prompt)
        record.cachedParts[part.id] = now;
}

} // namespace lovagecross
