#include "lovagecross/gateway/ServerStatistics.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lovagecross {

namespace {

using CachedParts = std::unordered_map<std::uint64_t, TimePoint>;

using std::chrono::milliseconds;

constexpr Duration fullServerBackoff = milliseconds(30); // time before a full server is tried again
constexpr Duration promptPartLifetime = std::chrono::seconds(20); // an unused part may then have been evicted
constexpr std::size_t maxPromptPartsPerServer = 2000;
constexpr std::size_t minUsableOfSubset = 2; // in the own data centre; all servers are considered if fewer are
constexpr Duration connectionFreshFor = milliseconds(600); // less than a pool reuses one for any call
constexpr double sampleWeight = 0.25; // weight of the newest call in a server's moving average
constexpr double serviceSampleWeight = 0.05;
constexpr double slownessHalfLifeSeconds = 2;
constexpr double maxSlowness = 20;
constexpr double millisPerSecond = 1000;
constexpr double normalLatencySpread = 1.6; // ratio between equal servers that call sizes alone explain

// Removes the parts that have not been sent for some time, at least a half of all.
void removeOldParts(CachedParts& parts, TimePoint now)
{
    std::vector<TimePoint> times;
    times.reserve(parts.size());
    for (const auto& [part, sentAt] : parts)
        times.push_back(sentAt);
    auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    TimePoint keptSince = std::max(now - promptPartLifetime / 4, *middle);
    std::erase_if(parts, [keptSince](const auto& part) { return part.second <= keptSince; });
}

std::uint64_t nextRandom(std::uint64_t& state)
{
    state ^= state << 13U;
    state ^= state >> 7U;
    state ^= state << 17U;
    return state;
}

// Keeps the servers of the wanted data centre, or else those of the own one. Full servers of the own data centre are
// waited for, those of another one are not.
void keepDataCentre(std::string_view wanted, std::string_view own, std::vector<ServerLoad>& loads,
    std::vector<const ServerEntry*>& entries)
{
    auto serves = [&loads](std::string_view name, bool whileFull) {
        return std::any_of(loads.begin(), loads.end(), [&](const ServerLoad& load) {
            return load.dataCentre == name && (load.usable || (whileFull && !load.suspended));
        });
    };
    std::string_view kept;
    if (serves(wanted, wanted == own))
        kept = wanted;
    else if (serves(own, true))
        kept = own;
    else
        return;
    std::erase_if(loads, [kept](const ServerLoad& load) { return load.dataCentre != kept; });
    std::erase_if(entries, [kept](const ServerEntry* entry) { return entry->dataCentre != kept; });
}

double secondsBetween(TimePoint earlier, TimePoint later)
{
    return std::chrono::duration<double>(later - earlier).count();
}

} // namespace

ServerStatistics::ServerStatistics(
    const Clock& clock, std::string ownDataCentre, ChoiceSettings choiceSettings, ServerSubset* subset)
    : clock(clock)
    , dataCentre(std::move(ownDataCentre))
    , settings(choiceSettings)
    , plainSubset(subset)
{
    this->random ^= static_cast<std::uint64_t>(clock.now().time_since_epoch().count()) | 1U;
}

std::optional<PlacedCall> ServerStatistics::choose(const std::vector<ServerEntry>& servers,
    const ChoiceRequest& request, const std::vector<PromptPart>& prompt, const std::set<std::string>& tried)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::vector<ServerLoad> loads;
    Candidates found = this->candidates(servers, request, tried, now);
    std::vector<const ServerEntry*>& entries = found.servers;
    for (const ServerEntry* server : entries) {
        ServerStats& stats = this->statsOf(*server);
        loads.push_back(this->loadOf(*server, stats, this->serviceStats[server->service], prompt, now));
        loads.back().connected = found.areSubset && now - stats.endedAt < connectionFreshFor;
    }
    if (!request.wantedDataCentre.empty())
        keepDataCentre(request.wantedDataCentre, this->dataCentre, loads, entries);
    bool anySuspended = std::any_of(loads.begin(), loads.end(), [](const ServerLoad& load) { return !load.usable; });
    ChoiceRequest adjusted = request;
    adjusted.dataCentre = this->dataCentre;
    ServerChoice choice = chooseServer(adjusted, loads, this->settings, nextRandom(this->random));
    if (!choice.chosen && anySuspended && !request.usableOnly) {
        // All servers are suspended: an attempt that may succeed is better than rejecting the call.
        for (ServerLoad& load : loads)
            load.usable = true;
        choice = chooseServer(adjusted, loads, this->settings, nextRandom(this->random));
    }
    if (!choice.chosen)
        return std::nullopt;
    const ServerEntry& server = *entries[*choice.chosen];
    ++this->statsOf(server).running;
    this->countRunning(server, true, now);
    return PlacedCall { server, choice.reason, server.dataCentre != this->dataCentre };
}

// Returns the ready servers that have not been tried: for a plain call those of the subset, unless too few of them are
// usable.
ServerStatistics::Candidates ServerStatistics::candidates(const std::vector<ServerEntry>& servers,
    const ChoiceRequest& request, const std::set<std::string>& tried, TimePoint now)
{
    std::vector<const ServerEntry*> ready;
    for (const ServerEntry& server : servers) {
        if (server.state == ServerState::Ready)
            ready.push_back(&server);
    }
    std::vector<const ServerEntry*> left;
    std::copy_if(ready.begin(), ready.end(), std::back_inserter(left),
        [&](const ServerEntry* server) { return tried.count(server->id) == 0; });
    if (request.engine || this->plainSubset == nullptr || ready.empty())
        return { left };
    std::vector<std::size_t> subset = this->plainSubset->select(ready.front()->service, ready);
    std::vector<const ServerEntry*> selected;
    std::size_t usableHere = 0;
    for (std::size_t i : subset) {
        if (tried.count(ready[i]->id) > 0)
            continue;
        selected.push_back(ready[i]);
        const ServerStats& stats = this->statsOf(*ready[i]);
        bool usable = now >= stats.fullUntil && stats.breaker.allows(now, stats.running, ready[i]->slots);
        usableHere += usable && ready[i]->dataCentre == this->dataCentre ? 1 : 0;
    }
    if (usableHere < minUsableOfSubset)
        return { left };
    return { selected, subset.size() < ready.size() };
}

void ServerStatistics::finished(
    const ServerEntry& server, AttemptEnd end, Duration taken, const std::vector<PromptPart>& prompt)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    ServerStats& stats = this->statsOf(server);
    ServiceStats& service = this->serviceStats[server.service];
    if (stats.running > 0)
        --stats.running;
    this->countRunning(server, false, now);
    switch (end) {
    case AttemptEnd::Answered:
        stats.breaker.succeeded(now);
        this->addSample(stats, service, taken, now);
        this->recordPrompt(stats, prompt, now);
        break;
    case AttemptEnd::Refused:
        stats.fullUntil = now + fullServerBackoff;
        if (server.dataCentre == this->dataCentre)
            service.refusals.add(now);
        break;
    case AttemptEnd::Failed:
        stats.breaker.failed(now);
        break;
    case AttemptEnd::Abandoned:
    case AttemptEnd::Withheld:
        break;
    }
}

std::vector<ServiceLoad> ServerStatistics::loads(
    const std::map<std::string, std::vector<ServerEntry>, std::less<>>& servers)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::vector<ServiceLoad> loads;
    for (const auto& [name, entries] : servers) {
        ServiceStats& service = this->serviceStats[name];
        ServiceLoad load { name, service.running, 0, service.refusals.inLastSecond(now),
            static_cast<std::uint32_t>(service.callMillis), {} };
        std::map<std::string, std::uint32_t> sent; // by data centre
        for (const ServerEntry& server : entries) {
            auto stats = this->serverStats.find(server.id);
            if (server.dataCentre != this->dataCentre && stats != this->serverStats.end() && stats->second.running > 0)
                sent[server.dataCentre] += stats->second.running;
        }
        for (const auto& [target, running] : sent)
            load.sent.push_back({ target, running });
        loads.push_back(std::move(load));
    }
    return loads;
}

void ServerStatistics::countRunning(const ServerEntry& server, bool begins, TimePoint now)
{
    if (server.dataCentre != this->dataCentre)
        return;
    ServiceStats& service = this->serviceStats[server.service];
    service.ranMillis += service.running * secondsBetween(service.changedAt, now) * millisPerSecond;
    service.changedAt = now;
    if (begins) {
        ++service.running;
        return;
    }
    if (service.running > 0)
        --service.running;
    service.callMillis += (service.ranMillis - service.callMillis) * serviceSampleWeight;
    service.ranMillis = 0;
}

void ServerStatistics::retain(const std::set<std::string>& serverIds)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->serverStats,
        [&](const auto& entry) { return entry.second.running == 0 && serverIds.count(entry.first) == 0; });
}

ServerStatistics::ServerStats& ServerStatistics::statsOf(const ServerEntry& server)
{
    ServerStats& stats = this->serverStats[server.id];
    if (stats.startedUnixMillis != server.startedUnixMillis) {
        std::uint32_t running = stats.running;
        stats = {};
        stats.startedUnixMillis = server.startedUnixMillis;
        stats.running = running;
    }
    return stats;
}

ServerLoad ServerStatistics::loadOf(const ServerEntry& server, ServerStats& stats, const ServiceStats& service,
    const std::vector<PromptPart>& prompt, TimePoint now) const
{
    ServerLoad load;
    load.id = server.id;
    load.dataCentre = server.dataCentre;
    load.slots = server.slots;
    load.running = stats.running;
    load.cold = server.coldFor > Duration(0);
    load.meanCallMillis = service.meanMillis;
    load.suspended = !stats.breaker.allows(now, stats.running, server.slots);
    load.usable = now >= stats.fullUntil && !load.suspended;
    if (stats.meanMillis > 0 && service.meanMillis > 0) {
        double ratio = std::clamp(stats.meanMillis / service.meanMillis / normalLatencySpread, 1.0, maxSlowness);
        double age = secondsBetween(stats.sampledAt, now);
        load.slowness = 1 + (ratio - 1) * std::exp2(-age / slownessHalfLifeSeconds);
    }
    for (const PromptPart& part : prompt) {
        auto found = stats.cachedParts.find(stableHash(part.id));
        if (found == stats.cachedParts.end() || now - found->second > promptPartLifetime)
            break; // a cached part can be reused only if all parts before it are cached
        load.cachedTokens += part.tokens;
    }
    return load;
}

void ServerStatistics::addSample(ServerStats& stats, ServiceStats& service, Duration taken, TimePoint now) const
{
    double millis = std::chrono::duration<double, std::milli>(taken).count();
    auto updatedMean
        = [millis](double mean, double weight) { return mean <= 0 ? millis : mean * (1 - weight) + millis * weight; };
    stats.meanMillis = updatedMean(stats.meanMillis, sampleWeight);
    stats.sampledAt = now;
    stats.endedAt = now;
    service.meanMillis = updatedMean(service.meanMillis, serviceSampleWeight);
}

void ServerStatistics::recordPrompt(ServerStats& stats, const std::vector<PromptPart>& prompt, TimePoint now) const
{
    if (stats.cachedParts.size() > maxPromptPartsPerServer)
        removeOldParts(stats.cachedParts, now);
    for (const PromptPart& part : prompt)
        stats.cachedParts[stableHash(part.id)] = now;
}

} // namespace lovagecross
