#include "lovagecross/runtime/Backends.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t pollThreads = 8;
constexpr std::size_t maxUnresponsivePolls = pollThreads / 2;

std::vector<BackendDescription> describe(const std::map<std::string, BackendServer>& servers, BackendKind kind)
{
    std::vector<BackendDescription> descriptions;
    for (const auto& [name, server] : servers) {
        if (server.kind != kind)
            continue;
        std::vector<std::string> targets
            = kind == BackendKind::Model ? server.models : std::vector<std::string> { server.service };
        descriptions.push_back({ name, server.dataCentre, std::move(targets), server.slots, server.leaving });
    }
    return descriptions;
}

} // namespace

std::string describeScores(const std::vector<ScoredServer>& servers)
{
    std::string text;
    for (const ScoredServer& server : servers) {
        char millis[32];
        std::snprintf(millis, sizeof(millis), ":%.1f", server.millis);
        text += (text.empty() ? "" : ",") + server.name + millis;
    }
    return text;
}

Backends::Backends(Clock& clock, ModelEngine& engines, std::string dataCentre, std::uint64_t randomSeed)
    : clock(clock)
    , engines(engines)
    , dataCentre(std::move(dataCentre))
    , random(randomSeed)
{
}

Backends::~Backends()
{
    this->stop();
}

void Backends::start(Duration interval)
{
    this->pollInterval = interval;
    for (std::size_t i = 0; i < pollThreads; ++i)
        this->threads.emplace_back([this] { this->pollLoop(); });
}

void Backends::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

bool Backends::configuredAt(const std::string& name, const std::string& address) const
{
    auto found = this->configured.find(name);
    return found != this->configured.end() && found->second.address == address;
}

void Backends::configure(const Configuration& configuration)
{
    TimePoint now = this->clock.now();
    std::lock_guard lock(this->mutex);
    std::map<std::string, BackendServer> next;
    for (const BackendServer& server : configuration.backendServers)
        next.emplace(server.name, server);
    // A changed address or kind means a different server. Configuring the tables without it first discards the state of
    // the old one.
    std::erase_if(this->configured, [&](const auto& item) {
        auto found = next.find(item.first);
        return found == next.end() || found->second.address != item.second.address
            || found->second.kind != item.second.kind;
    });
    for (BackendKind kind : { BackendKind::Model, BackendKind::Service })
        this->tableOf(kind).configure(describe(this->configured, kind));
    this->configured = std::move(next);
    for (BackendKind kind : { BackendKind::Model, BackendKind::Service })
        this->tableOf(kind).configure(describe(this->configured, kind));
    for (const auto& [name, server] : this->configured) {
        if (server.kind != BackendKind::Model || this->scheduledAddresses[name] == server.address)
            continue;
        this->scheduledAddresses[name] = server.address;
        this->polls.push_front({ name, server.address, now });
    }
    this->wake.notify_all();
}

std::optional<BackendChoice> Backends::choose(const ChoiceQuery& query)
{
    TimePoint now = this->clock.now();
    std::lock_guard lock(this->mutex);
    BackendTable& table = this->tableOf(query.kind);
    table.candidates(
        { query.target, query.prefixes, { query.excluded.begin(), query.excluded.end() } }, now, this->candidates);
    PlacementRequest request { query.target, this->dataCentre, query.promptTokens, query.maxTokens, query.slotsScarce };
    PlacementDecision decision = choosePlacement(request, this->candidates, PlacementSettings {}, this->random());
    if (!decision.chosen)
        return std::nullopt;
    const PlacementCandidate& chosen = this->candidates[*decision.chosen];
    BackendChoice choice;
    choice.server = this->configured.at(std::string(chosen.name));
    choice.expectedCachedTokens = std::min(chosen.cachedTokens, query.promptTokens);
    choice.reason = decision.reason;
    choice.slotsScarce = query.slotsScarce;
    for (const PlacementScore& score : decision.best)
        choice.alternatives.push_back(
            { std::string(this->candidates[score.candidate].name), score.millis, score.cost });
    double estimate = decision.best.empty() ? 0 : decision.best.front().millis;
    choice.ticket = table.sent(
        { choice.server.name, query.promptTokens, choice.expectedCachedTokens, estimate, query.prefixes }, now);
    return choice;
}

void Backends::firstToken(const BackendChoice& choice)
{
    std::lock_guard lock(this->mutex);
    this->tableOf(choice.server.kind).firstToken(choice.ticket, this->clock.now());
}

void Backends::finished(const BackendChoice& choice, BackendStatus status, std::uint32_t cachedTokens)
{
    std::lock_guard lock(this->mutex);
    this->tableOf(choice.server.kind).finished(choice.ticket, status, cachedTokens, this->clock.now());
}

bool Backends::tryRetry()
{
    std::lock_guard lock(this->mutex);
    return this->retryBudget.tryRetry(this->clock.now());
}

void Backends::firstAttempt()
{
    std::lock_guard lock(this->mutex);
    this->retryBudget.firstAttempt(this->clock.now());
}

Duration Backends::backoffBefore(std::uint32_t attempt)
{
    std::lock_guard lock(this->mutex);
    return backoff(RetrySettings {}, attempt, this->random());
}

bool Backends::quarantined(const std::string& digest) const
{
    std::lock_guard lock(this->mutex);
    CrashVerdict verdict = this->crashes.find(digest, this->clock.now()).verdict;
    return verdict == CrashVerdict::Quarantined || verdict == CrashVerdict::Ambiguous;
}

void Backends::crashSuspected(const std::string& digest, const std::string& server)
{
    std::lock_guard lock(this->mutex);
    this->crashes.record({ server, 0, {}, this->clock.now() }, digest);
}

void Backends::crashCleared(const std::string& digest)
{
    std::lock_guard lock(this->mutex);
    this->crashes.cleared(digest, this->clock.now());
}

std::vector<BackendView> Backends::view() const
{
    TimePoint now = this->clock.now();
    std::lock_guard lock(this->mutex);
    std::vector<BackendView> all;
    for (const auto& [name, server] : this->configured) {
        const BackendTable& table = server.kind == BackendKind::Model ? this->models : this->services;
        BackendCondition condition = table.condition(name, now).value_or(BackendCondition {});
        BackendView view;
        view.server = server;
        view.circuit = condition.circuitOpen ? "open" : condition.ramping ? "ramp" : "closed";
        view.inFlight = condition.inFlight;
        view.load = condition.load;
        view.loadAgeMillis = static_cast<std::uint64_t>(toMillis(condition.loadAge));
        all.push_back(std::move(view));
    }
    return all;
}

std::vector<BackendServer> Backends::servers(BackendKind kind) const
{
    std::lock_guard lock(this->mutex);
    std::vector<BackendServer> all;
    for (const auto& [name, server] : this->configured) {
        if (server.kind == kind)
            all.push_back(server);
    }
    return all;
}

std::optional<BackendServer> Backends::find(const std::string& name) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->configured.find(name);
    return found == this->configured.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> Backends::localSlots() const
{
    TimePoint now = this->clock.now();
    std::lock_guard lock(this->mutex);
    bool any = std::any_of(this->configured.begin(), this->configured.end(), [&](const auto& item) {
        const BackendServer& server = item.second;
        return server.kind == BackendKind::Model && server.dataCentre == this->dataCentre && !server.leaving;
    });
    return any ? std::optional(this->models.usableSlots(this->dataCentre, now)) : std::nullopt;
}

// ---- load reports and cache events

std::optional<Backends::Poll> Backends::takeDuePoll(TimePoint now)
{
    bool unresponsiveDue = !this->unresponsivePolls.empty() && this->unresponsivePolls.front().due <= now;
    bool unresponsive = unresponsiveDue && this->runningUnresponsivePolls < maxUnresponsivePolls;
    std::deque<Poll>& queue = unresponsive ? this->unresponsivePolls : this->polls;
    if (queue.empty() || queue.front().due > now)
        return std::nullopt;
    this->runningUnresponsivePolls += unresponsive ? 1 : 0;
    Poll poll = std::move(queue.front());
    queue.pop_front();
    return poll;
}

Duration Backends::untilNextPoll(TimePoint now) const
{
    Duration wait = this->pollInterval;
    if (!this->polls.empty())
        wait = std::min(wait, this->polls.front().due - now);
    if (!this->unresponsivePolls.empty() && this->runningUnresponsivePolls < maxUnresponsivePolls)
        wait = std::min(wait, this->unresponsivePolls.front().due - now);
    return std::max(wait, Duration(std::chrono::milliseconds(1)));
}

void Backends::pollLoop()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        TimePoint now = this->clock.now();
        std::optional<Poll> poll = this->takeDuePoll(now);
        if (!poll) {
            this->wake.wait_for(lock, this->untilNextPoll(now));
            continue;
        }
        bool wasUnresponsive = poll->unresponsive;
        lock.unlock();
        this->readReports(*poll);
        lock.lock();
        this->runningUnresponsivePolls -= wasUnresponsive ? 1 : 0;
        poll->due = now + this->pollInterval;
        this->reschedulePoll(std::move(*poll));
    }
}

void Backends::readReports(Poll& poll)
{
    EngineLoad load;
    poll.unresponsive = !this->engines.load(poll.address, load);
    if (poll.unresponsive) {
        poll.rereadAllEvents = true;
        return;
    }
    std::uint64_t lastEvent = 0;
    {
        std::lock_guard lock(this->mutex);
        if (!this->configuredAt(poll.name, poll.address))
            return;
        this->models.loadReport(poll.name, load, this->clock.now());
        lastEvent = poll.rereadAllEvents ? 0 : this->models.lastCacheEvent(poll.name);
    }
    std::vector<CacheEvent> events;
    if (!this->engines.cacheEvents(poll.address, lastEvent, events) || events.empty())
        return;
    poll.rereadAllEvents = false;
    std::lock_guard lock(this->mutex);
    if (this->configuredAt(poll.name, poll.address))
        this->models.cacheEvents(poll.name, events);
}

// Queues the next poll of a server, unless the server was removed or is polled at a new address.
void Backends::reschedulePoll(Poll poll)
{
    if (this->scheduledAddresses[poll.name] != poll.address)
        return;
    if (!this->configuredAt(poll.name, poll.address)) {
        this->scheduledAddresses.erase(poll.name);
        return;
    }
    std::deque<Poll>& queue = poll.unresponsive ? this->unresponsivePolls : this->polls;
    auto later = std::find_if(queue.rbegin(), queue.rend(), [&](const Poll& other) { return other.due <= poll.due; });
    queue.insert(later.base(), std::move(poll));
    this->wake.notify_one();
}

} // namespace lovagecross
