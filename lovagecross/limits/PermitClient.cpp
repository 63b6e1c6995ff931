#include "lovagecross/limits/PermitClient.h"

#include "lovagecross/limits/PermitSlice.h"
#include "lovagecross/limits/RateLimitNotices.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration minRetryAfter = std::chrono::milliseconds(20);

} // namespace

PermitClient::PermitClient(const Clock& givenClock, PeerClient& peerClient, IssuersOf findIssuers, Counters& counters)
    : clock(givenClock)
    , peers(peerClient)
    , issuersOf(std::move(findIssuers))
    , granted(counters.counter("permits.obtained"))
    , denied(counters.counter("permits.refused"))
    , unanswered(counters.counter("permits.unanswered"))
    , trials(counters.counter("permits.trials"))
{
}

void PermitClient::observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt)
{
    ServerKey key = keyOf(server);
    LimitReport report;
    {
        std::lock_guard lock(this->mutex);
        TimePoint now = this->clock.now();
        if (!this->table.observe(key, requestsPerSecond, sentAt, now))
            return;
        this->limitChanged(key, LimitSource::Answer, now);
        report.limits.push_back(toNotice({ key, *this->table.find(key) }, now));
    }
    for (const std::string& issuer : this->issuersOf(server.id))
        this->peers.notify(issuer, report);
}

void PermitClient::learn(const std::vector<RateLimitNotice>& notices)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (const RateLimitNotice& notice : notices)
        this->store(fromNotice(notice, now), LimitSource::RecordNode, now);
    this->table.removeExpired(now);
    std::erase_if(this->states, [this](const auto& entry) { return !this->table.limitOf(entry.first); });
}

PermitOutlook PermitClient::outlook(const std::vector<ServerEntry>& servers)
{
    PermitOutlook outlook;
    std::lock_guard lock(this->mutex);
    if (this->states.empty())
        return outlook;
    TimePoint now = this->clock.now();
    for (const ServerEntry& server : servers) {
        auto found = this->states.find(keyOf(server));
        if (found == this->states.end())
            continue;
        outlook.limited.insert(server.id);
        Duration wait = found->second.exhaustedUntil - now;
        if (wait <= Duration(0))
            continue;
        outlook.retryAfter = outlook.exhausted.empty() ? wait : std::min(outlook.retryAfter, wait);
        outlook.exhausted.insert(server.id);
    }
    return outlook;
}

Permit PermitClient::acquire(const ServerEntry& server, TimePoint deadline)
{
    ServerKey key = keyOf(server);
    if (!this->limitInForce(key))
        return {};
    TimePoint next = TimePoint::max();
    for (const std::string& issuer : this->issuersOf(server.id)) {
        std::optional<RateLimit> limit = this->limitInForce(key);
        if (!limit) // the former issuer knew that it has ended
            return {};
        if (this->ask(key, *limit, issuer, deadline))
            return {};
        next = std::min(next, this->blockedUntil(key, issuer));
    }
    return this->finishDenied(key, next);
}

// Asks one issuer unless it has denied a permit, or has not responded, a short time ago.
bool PermitClient::ask(const ServerKey& server, const RateLimit& limit, const std::string& issuer, TimePoint deadline)
{
    TimePoint start = this->clock.now();
    if (start < this->blockedUntil(server, issuer) || start >= deadline)
        return false;
    PermitRequest request { toNotice({ server, limit }, start) };
    PeerResult result = this->peers.request(issuer, request, std::min(issuerTimeout, deadline - start), {});
    const auto* answer = std::get_if<PermitAnswer>(&result.answer);
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    if (result.status != PeerStatus::Ok || answer == nullptr) {
        this->unanswered.add();
        this->silentUntil[issuer] = now + silentIssuerPause;
        return false;
    }
    this->silentUntil.erase(issuer);
    this->store(fromNotice(answer->newest, now), LimitSource::RecordNode, now);
    if (answer->granted) {
        this->granted.add();
        return true;
    }
    if (this->table.limitOf(server))
        this->states[server].deniedUntil[issuer] = now + (answer->issuer ? answer->retryAfter : silentIssuerPause);
    return false;
}

Permit PermitClient::finishDenied(const ServerKey& server, TimePoint next)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    const RateLimit* limit = this->table.find(server);
    if (limit == nullptr || !limit->perSecond || this->startTrial(server, *limit, now))
        return {};
    this->denied.add();
    next = std::clamp(next, now + minRetryAfter, now + maxPermitRetryAfter);
    this->states[server].exhaustedUntil = next;
    return { false, next - now };
}

// Starts a trial if nobody has confirmed the limit for a long time. One request is sent then; its answer confirms the
// limit or ends it.
bool PermitClient::startTrial(const ServerKey& server, const RateLimit& limit, TimePoint now)
{
    ServerState& state = this->states[server];
    if (now - limit.observedAt < staleAfter || now - state.trialAt < staleAfter)
        return false;
    state.trialAt = now;
    this->trials.add();
    return true;
}

std::optional<RateLimit> PermitClient::limitInForce(const ServerKey& server)
{
    std::lock_guard lock(this->mutex);
    const RateLimit* limit = this->table.find(server);
    return limit != nullptr && limit->perSecond ? std::optional<RateLimit>(*limit) : std::nullopt;
}

TimePoint PermitClient::blockedUntil(const ServerKey& server, const std::string& issuer)
{
    std::lock_guard lock(this->mutex);
    TimePoint until;
    if (auto silent = this->silentUntil.find(issuer); silent != this->silentUntil.end())
        until = silent->second;
    auto state = this->states.find(server);
    if (state == this->states.end())
        return until;
    auto denial = state->second.deniedUntil.find(issuer);
    return denial == state->second.deniedUntil.end() ? until : std::max(until, denial->second);
}

void PermitClient::store(const ServerRateLimit& known, LimitSource source, TimePoint now)
{
    if (this->table.learn(known.server, known.limit))
        this->limitChanged(known.server, source, now);
}

// What the issuers have denied at another rate says nothing about the new one.
void PermitClient::limitChanged(const ServerKey& server, LimitSource source, TimePoint now)
{
    const RateLimit& limit = *this->table.find(server);
    logRateLimit(server, limit, source, now);
    if (limit.perSecond)
        this->states[server] = {};
    else
        this->states.erase(server);
}

} // namespace lovagecross
