#include "lovagecross/placement/BackendTable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxRecentlyEnded = 256; // per server; enough for requests that end while a report is in transit
constexpr double minTimeFactor = 0.25;
constexpr double maxTimeFactor = 8;
constexpr double minCacheAccuracy = 0.05; // above 0, so that a server can recover after its entries were wrong
// Added to both terms of a ratio, so that very small estimates don't cause huge factors.
constexpr double ratioOffsetMillis = 5;

double millisBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::uint32_t subtract(std::uint32_t from, std::uint32_t amount)
{
    return from - std::min(from, amount);
}

std::uint64_t hashOf(const std::string& digest)
{
    return std::hash<std::string>()(digest);
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

BackendTable::BackendTable(BackendTableSettings tableSettings)
    : settings(tableSettings)
{
}

BackendTable::Server* BackendTable::find(std::string_view name)
{
    auto found = this->indexByName.find(std::string(name));
    return found == this->indexByName.end() ? nullptr : &this->servers[found->second];
}

const BackendTable::Server* BackendTable::find(std::string_view name) const
{
    auto found = this->indexByName.find(std::string(name));
    return found == this->indexByName.end() ? nullptr : &this->servers[found->second];
}

BackendTable::Server& BackendTable::findOrAdd(const std::string& name)
{
    if (Server* existing = this->find(name))
        return *existing;
    auto free = std::find_if(
        this->servers.begin(), this->servers.end(), [](const Server& server) { return !server.configured; });
    if (free == this->servers.end())
        free = this->servers.insert(free, Server(this->settings.breaker));
    std::uint32_t indexGeneration = free->indexGeneration + 1;
    *free = Server(this->settings.breaker);
    free->indexGeneration = indexGeneration;
    free->configured = true;
    free->index = static_cast<std::uint32_t>(free - this->servers.begin());
    this->indexByName[name] = free->index;
    this->views.resize(this->servers.size());
    this->views[free->index] = View {};
    this->cacheStates.resize(this->servers.size());
    this->cacheStates[free->index].accuracy = 1;
    return *free;
}

void BackendTable::removeServer(Server& server)
{
    this->clearCache(server);
    this->loadedModels.erase(server.description.name);
    this->indexByName.erase(server.description.name);
    server.configured = false;
}

void BackendTable::configure(const std::vector<BackendDescription>& descriptions)
{
    std::unordered_map<std::string_view, bool> configuredNames;
    for (const BackendDescription& description : descriptions)
        configuredNames[description.name] = true;
    for (Server& server : this->servers) {
        if (server.configured && !configuredNames.contains(server.description.name))
            this->removeServer(server);
    }
    for (const BackendDescription& description : descriptions) {
        Server& server = this->findOrAdd(description.name);
        server.description = description;
        View& view = this->views[server.index];
        view.leaving = description.leaving;
        view.baseCandidate.name = server.description.name;
        view.baseCandidate.dataCentre = server.description.dataCentre;
        view.baseCandidate.slots = description.slots;
    }
    this->rebuildModels();
}

void BackendTable::rebuildModels()
{
    this->serversByModel.clear();
    for (const auto& [name, index] : this->indexByName) {
        const std::vector<std::string>& models = this->servers[index].description.models;
        auto reported = this->loadedModels.find(name);
        for (const std::string& model : models) {
            bool loaded
                = reported == this->loadedModels.end() ? model == models.front() : contains(reported->second, model);
            this->serversByModel[model].push_back({ index, loaded });
        }
    }
    // Makes the order independent of the hash map's, so that it is the same on every node and in every run.
    for (auto& [model, entries] : this->serversByModel)
        std::sort(entries.begin(), entries.end(),
            [](const ModelServer& left, const ModelServer& right) { return left.server < right.server; });
}

void BackendTable::setLoadedModels(std::string_view name, const std::vector<std::string>& models)
{
    if (!this->find(name))
        return;
    auto [entry, isNew] = this->loadedModels.try_emplace(std::string(name), models);
    if (!isNew && entry->second == models)
        return;
    entry->second = models;
    this->rebuildModels();
}

void BackendTable::setLeaving(std::string_view name, bool leaving)
{
    if (Server* server = this->find(name))
        this->views[server->index].leavingNotice = leaving;
}

void BackendTable::loadReport(std::string_view name, const EngineLoad& load, TimePoint now)
{
    Server* server = this->find(name);
    if (!server)
        return;
    TimePoint measuredAt = now - std::chrono::milliseconds(load.reportAgeMillis);
    View& view = this->views[server->index];
    if (view.hasReport && measuredAt < view.reportedAt)
        return; // a newer report was already processed
    server->report = load;
    view.reportedAt = measuredAt;
    view.hasReport = true;
    if (view.hasFailed && measuredAt > server->failedAt)
        server->breaker.serverResponded(now);
    std::erase_if(server->recentlyEnded, [&](const EndedRequest& ended) { return ended.endedAt <= measuredAt; });
    this->refreshLoad(*server);
}

// Recomputes the load fields of `baseCandidate` from the last report and this node's requests.
void BackendTable::refreshLoad(Server& server)
{
    View& view = this->views[server.index];
    PlacementCandidate& candidate = view.baseCandidate;
    candidate.hasReport = view.hasReport;
    candidate.reportedQueued = server.report.queuedRequests;
    candidate.ownSinceReport = 0;
    candidate.ownPrefillSinceReport = 0;
    std::uint32_t endedSince = 0;
    std::uint32_t prefilledSince = 0;
    for (const EndedRequest& ended : server.recentlyEnded)
        endedSince += ended.sentAt <= view.reportedAt && ended.endedAt > view.reportedAt ? 1 : 0;
    for (RequestTicket ticket : server.inFlightTickets) {
        const InFlightRequest& send = this->inFlightRequests.at(ticket);
        bool inReport = view.hasReport && send.sentAt <= view.reportedAt;
        if (!inReport)
            ++candidate.ownSinceReport;
        if (!inReport && !send.firstTokenReceived)
            candidate.ownPrefillSinceReport += send.prefillTokens;
        if (inReport && send.firstTokenReceived)
            prefilledSince += send.prefillTokens;
    }
    candidate.reportedRunning = subtract(server.report.runningRequests, endedSince);
    candidate.reportedPrefillTokens = subtract(server.report.queuedPrefillTokens, prefilledSince);
}

void BackendTable::cacheEvents(std::string_view name, const std::vector<CacheEvent>& events)
{
    Server* server = this->find(name);
    if (!server || events.empty())
        return;
    if (events.back().sequence < server->lastEvent) { // the engine restarted and its sequence began again
        this->clearCache(*server);
        server->lastEvent = 0;
    }
    for (const CacheEvent& event : events) {
        if (event.sequence <= server->lastEvent)
            continue;
        std::uint64_t missed = event.sequence - server->lastEvent - 1;
        if (server->lastEvent != 0)
            this->missedEvents += missed;
        if (server->lastEvent != 0 && missed > this->settings.maxGap)
            this->clearCache(*server);
        server->lastEvent = event.sequence;
        if (event.stored)
            this->store(*server, { hashOf(event.prefixDigest), event.tokens });
        else
            this->evict(*server, hashOf(event.prefixDigest));
    }
}

std::uint64_t BackendTable::lastCacheEvent(std::string_view name) const
{
    const Server* server = this->find(name);
    return server ? server->lastEvent : 0;
}

void BackendTable::store(const Server& server, HashedPrefix prefix)
{
    std::uint32_t index = server.index;
    std::vector<Holder>& list = this->holders[prefix.prefix];
    for (Holder& holder : list) {
        if (holder.server != index)
            continue;
        holder.tokens = prefix.tokens;
        holder.generation = this->cacheStates[index].generation;
        this->prefixes.splice(this->prefixes.end(), this->prefixes, holder.entry);
        return;
    }
    auto entry = this->prefixes.insert(this->prefixes.end(), CachedPrefix { prefix.prefix, index });
    list.push_back({ index, this->cacheStates[index].generation, prefix.tokens, entry });
    while (this->prefixes.size() > this->settings.maxPrefixes)
        this->evictOldest();
}

void BackendTable::evict(const Server& server, PrefixHash prefix)
{
    auto found = this->holders.find(prefix);
    if (found == this->holders.end())
        return;
    std::uint32_t index = server.index;
    auto holder = std::find_if(
        found->second.begin(), found->second.end(), [&](const Holder& item) { return item.server == index; });
    if (holder == found->second.end())
        return;
    this->prefixes.erase(holder->entry);
    *holder = found->second.back();
    found->second.pop_back();
    if (found->second.empty())
        this->holders.erase(found);
}

void BackendTable::evictOldest()
{
    CachedPrefix oldest = this->prefixes.front();
    auto found = this->holders.find(oldest.prefix);
    std::erase_if(found->second, [&](const Holder& holder) { return holder.server == oldest.server; });
    if (found->second.empty())
        this->holders.erase(found);
    this->prefixes.pop_front();
}

// Invalidates the server's entries by starting a new generation. They are removed later by LRU eviction, which costs
// less than searching for them now.
void BackendTable::clearCache(const Server& server)
{
    ++this->cacheStates[server.index].generation;
}

double BackendTable::timeFactorAt(const View& view, TimePoint now) const
{
    if (view.timeFactor == 1)
        return 1;
    Duration age = now - view.timeFactorUpdatedAt;
    if (age >= this->settings.timeFactorDecay)
        return 1;
    double remainingShare
        = 1 - static_cast<double>(age.count()) / static_cast<double>(this->settings.timeFactorDecay.count());
    return 1 + (view.timeFactor - 1) * remainingShare;
}

void BackendTable::fillCandidate(const ModelServer& entry, TimePoint now, PlacementCandidate& candidate) const
{
    const View& view = this->views[entry.server];
    candidate = view.baseCandidate;
    candidate.modelLoaded = entry.loaded;
    candidate.timeFactor = this->timeFactorAt(view, now);
    candidate.available = !view.leaving && !view.leavingNotice;
    if (view.hasFailed && !this->servers[entry.server].breaker.allows(now, view.inFlight, view.baseCandidate.slots))
        candidate.available = false;
    if (view.hasReport && now - view.reportedAt > this->settings.reportExpiry) {
        candidate.hasReport = false;
        candidate.reportedRunning = 0;
        candidate.reportedQueued = 0;
        candidate.reportedPrefillTokens = 0;
        candidate.ownSinceReport = view.inFlight;
    }
}

void BackendTable::candidates(const BackendQuery& query, TimePoint now, std::vector<PlacementCandidate>& candidates)
{
    auto model = this->serversByModel.find(query.model);
    if (model == this->serversByModel.end()) {
        candidates.clear();
        return;
    }
    ++this->lastQuery;
    candidates.resize(model->second.size());
    std::uint32_t position = 0;
    for (const ModelServer& entry : model->second) {
        this->fillCandidate(entry, now, candidates[position]);
        CacheState& cache = this->cacheStates[entry.server];
        cache.query = this->lastQuery;
        cache.position = position++;
    }
    this->fillCache(query, candidates);
    for (const std::string& name : query.excluded) {
        const Server* server = this->find(name);
        if (server && this->cacheStates[server->index].query == this->lastQuery)
            candidates[this->cacheStates[server->index].position].available = false;
    }
}

void BackendTable::fillCache(const BackendQuery& query, std::vector<PlacementCandidate>& candidates) const
{
    std::uint32_t longest = 0;
    for (const PromptPrefix& prefix : query.prefixes) {
        auto found = this->holders.find(hashOf(prefix.digest));
        if (found == this->holders.end())
            continue;
        for (const Holder& holder : found->second) {
            const CacheState& cache = this->cacheStates[holder.server];
            if (holder.generation != cache.generation)
                continue;
            longest = std::max(longest, holder.tokens);
            if (cache.query != this->lastQuery)
                continue;
            std::uint32_t& cached = candidates[cache.position].cachedTokens;
            cached = std::max(cached, static_cast<std::uint32_t>(holder.tokens * cache.accuracy));
        }
    }
    if (!this->settings.kvTransfer)
        return;
    for (PlacementCandidate& candidate : candidates)
        candidate.transferableTokens = longest;
}

std::size_t BackendTable::usableSlots(std::string_view dataCentre, TimePoint now) const
{
    std::size_t slots = 0;
    for (const Server& server : this->servers) {
        const View& view = this->views[server.index];
        bool counts = server.configured && !view.leaving && !view.leavingNotice;
        if (counts && (dataCentre.empty() || dataCentre == server.description.dataCentre))
            slots += server.breaker.usableSlots(now, view.baseCandidate.slots);
    }
    return slots;
}

std::optional<BackendCondition> BackendTable::condition(std::string_view name, TimePoint now) const
{
    const Server* server = this->find(name);
    if (!server)
        return std::nullopt;
    const View& view = this->views[server->index];
    BackendCondition condition;
    condition.circuitOpen = server->breaker.open(now);
    condition.ramping = !condition.circuitOpen
        && server->breaker.usableSlots(now, view.baseCandidate.slots) < view.baseCandidate.slots;
    condition.leaving = view.leaving || view.leavingNotice;
    condition.inFlight = view.inFlight;
    if (view.hasReport) {
        condition.load = server->report;
        condition.loadAge = now - view.reportedAt;
    }
    return condition;
}

RequestTicket BackendTable::sent(const SentRequest& request, TimePoint now)
{
    Server* server = this->find(request.server);
    if (!server)
        return 0;
    InFlightRequest send;
    send.server = server->index;
    send.indexGeneration = server->indexGeneration;
    send.promptTokens = request.promptTokens;
    send.prefillTokens = subtract(request.promptTokens, request.expectedCachedTokens);
    send.expectedCachedTokens = request.expectedCachedTokens;
    send.estimatedMillis = request.estimatedMillis;
    send.sentAt = now;
    send.prefixes.reserve(request.prefixes.size());
    for (const PromptPrefix& prefix : request.prefixes)
        send.prefixes.push_back({ hashOf(prefix.digest), prefix.tokens });
    RequestTicket ticket = ++this->lastTicket;
    this->inFlightRequests.emplace(ticket, std::move(send));
    server->inFlightTickets.push_back(ticket);
    ++this->views[server->index].inFlight;
    this->refreshLoad(*server);
    return ticket;
}

void BackendTable::updateTimeFactor(View& view, const InFlightRequest& send, TimePoint now) const
{
    if (send.estimatedMillis <= 0)
        return;
    double ratio = (millisBetween(send.sentAt, now) + ratioOffsetMillis) / (send.estimatedMillis + ratioOffsetMillis);
    // The estimate already included the time factor, so the ratio is applied on top of the factor.
    double factor = this->timeFactorAt(view, now);
    double target = std::clamp(factor * ratio, minTimeFactor, maxTimeFactor);
    view.timeFactor = factor + this->settings.timeFactorWeight * (target - factor);
    view.timeFactorUpdatedAt = now;
}

void BackendTable::updateCacheAccuracy(const Server& server, const InFlightRequest& send, std::uint32_t cachedTokens)
{
    if (send.expectedCachedTokens == 0)
        return;
    // The expected number of tokens was already scaled by the accuracy known when the request was sent.
    double& accuracy = this->cacheStates[server.index].accuracy;
    double measured = std::min(1.0, cachedTokens * accuracy / send.expectedCachedTokens);
    accuracy += this->settings.averageWeight * (measured - accuracy);
    accuracy = std::max(accuracy, minCacheAccuracy);
}

void BackendTable::firstToken(RequestTicket ticket, TimePoint now)
{
    auto found = this->inFlightRequests.find(ticket);
    if (found == this->inFlightRequests.end() || found->second.firstTokenReceived)
        return;
    InFlightRequest& send = found->second;
    Server& server = this->servers[send.server];
    if (server.indexGeneration != send.indexGeneration || !server.configured)
        return;
    send.firstTokenReceived = true;
    this->updateTimeFactor(this->views[server.index], send, now);
    for (const HashedPrefix& prefix : send.prefixes)
        this->store(server, prefix);
    this->refreshLoad(server);
}

void BackendTable::countFailure(Server& server, TimePoint now)
{
    bool wasOpen = server.breaker.open(now);
    server.breaker.failed(now);
    View& view = this->views[server.index];
    view.hasFailed = true;
    server.failedAt = now;
    if (wasOpen || !server.breaker.open(now))
        return;
    // The server has most likely restarted: its cache is empty, its event sequence starts at 1, and its last load
    // report is obsolete.
    this->clearCache(server);
    server.lastEvent = 0;
    view.hasReport = false;
    server.report = EngineLoad {};
}

// A server that refuses all requests reports a low load and would otherwise be preferred for every call. Since it is
// still running, its cache entries and load report are kept.
void BackendTable::countRefusal(Server& server, TimePoint now)
{
    server.breaker.failed(now);
    this->views[server.index].hasFailed = true;
    server.failedAt = now;
}

void BackendTable::finished(RequestTicket ticket, BackendStatus status, std::uint32_t cachedTokens, TimePoint now)
{
    if (status == BackendStatus::Ok)
        this->firstToken(ticket, now); // records the first token of an answer that was not streamed
    auto found = this->inFlightRequests.find(ticket);
    if (found == this->inFlightRequests.end())
        return;
    InFlightRequest send = std::move(found->second);
    this->inFlightRequests.erase(found);
    Server& server = this->servers[send.server];
    if (server.indexGeneration != send.indexGeneration || !server.configured)
        return;
    std::erase(server.inFlightTickets, ticket);
    View& view = this->views[server.index];
    --view.inFlight;
    server.recentlyEnded.push_back({ send.sentAt, now });
    if (server.recentlyEnded.size() > maxRecentlyEnded)
        server.recentlyEnded.pop_front();
    if (status == BackendStatus::Ok) {
        double& mean = view.baseCandidate.meanCallMillis;
        double millis = millisBetween(send.sentAt, now);
        mean = mean == 0 ? millis : mean + this->settings.averageWeight * (millis - mean);
        this->updateCacheAccuracy(server, send, cachedTokens);
    }
    if (status == BackendStatus::Ok || status == BackendStatus::Failed)
        server.breaker.succeeded(now);
    if (status == BackendStatus::ConnectionLost || status == BackendStatus::NotSent || status == BackendStatus::Silent)
        this->countFailure(server, now);
    if (status == BackendStatus::Refused)
        this->countRefusal(server, now);
    this->refreshLoad(server);
}

} // namespace lovagecross
