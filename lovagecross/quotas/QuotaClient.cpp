#include "lovagecross/quotas/QuotaClient.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration minPause = milliseconds(5);
// A call that waits for another thread's requests reads the clock this often, since a test's clock ends no wait.
constexpr Duration askingRecheckInterval = milliseconds(10);
constexpr double tokensPerSliceOfWait = 2; // a call may wait while each slice gets so many
constexpr double usualIssuers = 5; // until the issuers of a tenant are known
constexpr Duration throttlingEndsAfter = std::chrono::seconds(1); // without a refusal
constexpr Duration maxRetryAfter = std::chrono::seconds(2);
constexpr Duration declinedPause = milliseconds(150); // an issuer may become one again with the next confirmation
constexpr Duration unknownRetryAfter = milliseconds(150); // another node may reach an issuer
constexpr Duration idleTenantRetention = std::chrono::seconds(60);
constexpr double levelOfUnknownSlice = 1e9; // asked first

std::size_t indexOf(QuotaUse use)
{
    return static_cast<std::size_t>(use);
}

constexpr std::size_t newPrograms = 0;
constexpr std::size_t begunPrograms = 1;
static_assert(static_cast<std::size_t>(QuotaUse::NewProgram) == newPrograms);
static_assert(static_cast<std::size_t>(QuotaUse::BegunProgram) == begunPrograms);

} // namespace

QuotaClient::QuotaClient(const Clock& givenClock, PeerClient& peerClient, QuotaClientSettings given, Counters& counters)
    : clock(givenClock)
    , peers(peerClient)
    , settings(std::move(given))
    , lifetime(tokenLifetime(this->settings.policy))
    , admitted(counters.counter("quotas.admitted"))
    , refused(counters.counter("quotas.refused"))
    , unknown(counters.counter("quotas.unknown"))
    , waited(counters.counter("quotas.waited"))
    , requests(counters.counter("quotas.requests"))
    , unanswered(counters.counter("quotas.unanswered"))
{
}

std::uint32_t QuotaClient::TenantState::waitingCalls() const
{
    return this->waiting[newPrograms] + this->waiting[begunPrograms];
}

QuotaDecision QuotaClient::admit(const TenantEntry& tenant, QuotaUse use, TimePoint deadline)
{
    KnownQuota known = this->settings.quotaOf(tenant.name);
    Lock lock(this->mutex);
    TimePoint now = this->clock.now();
    StatePointer state = this->stateOf(tenant.name, now);
    this->noteQuota(*state, known);
    noteCall(state->batch, now);
    QuotaDecision decision = this->waitFor(lock, *state, tenant, use, deadline);
    if (decision.outcome == QuotaOutcome::Admitted) {
        this->admitted.add();
        state->queue = std::max(0.0, state->queue - 1);
        now = this->clock.now();
        state->drawsAhead = now >= state->drawsAheadFrom && tokensToDraw(state->batch, this->lifetime, now) > 0;
    } else if (decision.outcome == QuotaOutcome::Unknown) {
        this->unknown.add();
    }
    return decision;
}

QuotaDecision QuotaClient::waitFor(
    Lock& lock, TenantState& state, const TenantEntry& tenant, QuotaUse use, TimePoint deadline)
{
    Waiting waiting(state.waiting[indexOf(use)]);
    return this->obtain(lock, state, tenant, use, deadline);
}

QuotaDecision QuotaClient::obtain(
    Lock& lock, TenantState& state, const TenantEntry& tenant, QuotaUse use, TimePoint deadline)
{
    TimePoint waitUntil = std::min(deadline, this->clock.now() + this->tokenWait(state));
    bool hasWaited = false;
    for (;;) {
        TimePoint now = this->clock.now();
        if (this->take(state, use, now))
            return {};
        if (now >= deadline)
            return this->withoutToken(state, tenant.name, std::max(state.nextAt[indexOf(use)], now + minPause), now);
        if (state.asking) {
            this->asked.wait_for(
                lock, std::min<Duration>(askingRecheckInterval, deadline - now), [&state] { return !state.asking; });
            continue;
        }
        if (state.nextAt[indexOf(use)] <= now) {
            this->askIssuers(lock, state, tenant.name, deadline);
            now = this->clock.now();
            if (this->take(state, use, now))
                return {};
            if (!state.reached)
                return { QuotaOutcome::Unknown, unknownRetryAfter };
        }
        TimePoint next = std::max(state.nextAt[indexOf(use)], now + minPause);
        if (next > waitUntil || state.waitingCalls() > this->waitingLimit(state))
            return this->withoutToken(state, tenant.name, next, now);
        if (!std::exchange(hasWaited, true))
            this->waited.add();
        Unlocked unlocked(lock);
        this->settings.pause(next - now);
    }
}

// Uses a token that is held. A new program gets one only if there are more than the waiting calls of begun programs.
bool QuotaClient::take(TenantState& state, QuotaUse use, TimePoint now)
{
    if (use == QuotaUse::NewProgram && tokensHeld(state.batch, now) <= state.waiting[begunPrograms])
        return false;
    return takeToken(state.batch, now);
}

QuotaClient::StatePointer QuotaClient::stateOf(const std::string& tenant, TimePoint now)
{
    StatePointer& state = this->states[tenant];
    if (state == nullptr)
        state = std::make_shared<TenantState>();
    state->usedAt = now;
    return state;
}

Duration QuotaClient::tokenWait(const TenantState& state) const
{
    double slices = state.issuers.empty() ? usualIssuers : static_cast<double>(state.issuers.size());
    double seconds = tokensPerSliceOfWait * slices / std::max(state.known.quota.requestsPerSecond, 1.0);
    Duration wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::min(std::max<Duration>(wait, minTokenWait), this->settings.longestWait);
}

// Number of calls that may wait: further ones would not get a token within `tokenWait`.
std::uint32_t QuotaClient::waitingLimit(const TenantState& state) const
{
    double tokens = state.known.quota.requestsPerSecond * std::chrono::duration<double>(this->tokenWait(state)).count();
    return std::clamp(static_cast<std::uint32_t>(std::min(tokens, 1e6)), minWaitingCalls, maxWaitingCalls);
}

// Drops tokens and denials that were received under another quota: they don't apply to the new one.
void QuotaClient::noteQuota(TenantState& state, const KnownQuota& known)
{
    bool changed = state.known.version != 0 && !(state.known.quota == known.quota);
    state.known = known;
    if (!changed)
        return;
    state.batch.held.clear();
    state.nextAt = {};
    for (auto& [address, issuer] : state.issuers)
        issuer = { {}, issuer.declinedUntil, 0, {}, false };
}

// Asks one issuer after the other until all waiting calls have a token.
void QuotaClient::askIssuers(Lock& lock, TenantState& state, const std::string& tenant, TimePoint until)
{
    Asking asking(*this, state);
    std::vector<std::string> issuers = this->issuersOf(lock, tenant);
    QuotaUse use = state.waiting[begunPrograms] > 0 ? QuotaUse::BegunProgram : QuotaUse::NewProgram;
    for (const std::string& issuer : this->inOrder(state, issuers, use, this->clock.now())) {
        TimePoint now = this->clock.now();
        QuotaRequest request = this->requestFor(state, tenant, now);
        if (request.needed == 0 || now >= until)
            break;
        this->ask(lock, state, issuer, request, std::min(issuerTimeout, until - now));
    }
    this->scheduleNext(state, issuers, this->clock.now());
}

// Asks the issuer with the most tokens for those that calls are expected to need.
void QuotaClient::askAhead(Lock& lock, TenantState& state, const std::string& tenant)
{
    Asking asking(*this, state);
    std::vector<std::string> issuers = this->issuersOf(lock, tenant);
    this->noteQuota(state, this->quotaOf(lock, tenant));
    TimePoint now = this->clock.now();
    QuotaRequest request = this->requestFor(state, tenant, now);
    std::vector<std::string> order = this->inOrder(state, issuers, QuotaUse::NewProgram, now);
    if (!order.empty() && request.needed + request.extra > 0)
        this->ask(lock, state, order.front(), request, issuerTimeout);
    if (tokensToDraw(state.batch, this->lifetime, this->clock.now()) > 0) // the slice is low
        state.drawsAheadFrom = now + this->lifetime / 2;
}

std::vector<std::string> QuotaClient::issuersOf(Lock& lock, const std::string& tenant) const
{
    Unlocked unlocked(lock);
    return this->settings.issuersOf(tenant);
}

KnownQuota QuotaClient::quotaOf(Lock& lock, const std::string& tenant) const
{
    Unlocked unlocked(lock);
    return this->settings.quotaOf(tenant);
}

PeerResult QuotaClient::send(Lock& lock, const std::string& issuer, const QuotaRequest& request, Duration timeout)
{
    Unlocked unlocked(lock);
    return this->peers.request(issuer, request, timeout, {});
}

QuotaRequest QuotaClient::requestFor(const TenantState& state, const std::string& tenant, TimePoint now) const
{
    QuotaRequest request;
    request.tenant = tenant;
    request.perSecond = state.known.quota.requestsPerSecond;
    request.burst = state.known.quota.burst;
    request.configurationVersion = state.known.version;
    std::uint32_t held = tokensHeld(state.batch, now);
    std::uint32_t waiting = state.waitingCalls();
    request.needed = waiting > held ? waiting - held : 0;
    request.begun = std::min(request.needed, state.waiting[begunPrograms]);
    request.extra = tokensToDraw(state.batch, this->lifetime, now);
    return request;
}

void QuotaClient::ask(
    Lock& lock, TenantState& state, const std::string& issuer, const QuotaRequest& request, Duration timeout)
{
    this->requests.add();
    TimePoint sentAt = this->clock.now();
    PeerResult result = this->send(lock, issuer, request, timeout);
    TimePoint now = this->clock.now();
    IssuerState& known = state.issuers[issuer];
    const auto* answer = std::get_if<QuotaAnswer>(&result.answer);
    if (result.status != PeerStatus::Ok || answer == nullptr) {
        this->unanswered.add();
        this->silentUntil[issuer] = now + silentIssuerPause;
        return;
    }
    this->silentUntil.erase(issuer);
    if (!answer->issuer) {
        known.declinedUntil = now + declinedPause;
        return;
    }
    this->noteAnswer(known, request, *answer, now);
    bool sameQuota = state.known.quota == TenantQuota { request.perSecond, request.burst };
    if (sameQuota)
        addTokens(state.batch, std::min(answer->granted, request.needed + request.extra), sentAt + this->lifetime);
}

void QuotaClient::noteAnswer(IssuerState& issuer, const QuotaRequest& request, const QuotaAnswer& answer, TimePoint now)
{
    issuer.declinedUntil = {};
    issuer.level = answer.level;
    issuer.levelAt = now;
    issuer.levelKnown = true;
    if (answer.granted >= request.needed)
        return;
    issuer.deniedUntil[newPrograms] = now + answer.retryAfter;
    if (answer.level < 1) // else what is left is kept for begun programs
        issuer.deniedUntil[begunPrograms] = now + answer.retryAfter;
}

// Returns the issuers that may be asked now, the one with the most tokens first: a slice that nobody draws from stays
// full, and the tenant would lose that part of its rate.
std::vector<std::string> QuotaClient::inOrder(
    TenantState& state, std::vector<std::string> issuers, QuotaUse use, TimePoint now) const
{
    double slices = std::max<double>(1, static_cast<double>(issuers.size()));
    SliceLimits limits = sliceLimits(this->settings.policy, state.known.quota, 1 / slices);
    std::vector<std::pair<double, std::string>> open;
    for (std::string& address : issuers) {
        const IssuerState& issuer = state.issuers[address];
        if (this->awayUntil(issuer, address) > now || issuer.deniedUntil[indexOf(use)] > now)
            continue;
        double seconds = std::chrono::duration<double>(now - issuer.levelAt).count();
        double level = issuer.levelKnown ? std::min(limits.capacity, issuer.level + limits.perSecond * seconds)
                                         : levelOfUnknownSlice;
        open.emplace_back(level, std::move(address));
    }
    std::stable_sort(open.begin(), open.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<std::string> order;
    order.reserve(open.size());
    for (auto& [level, address] : open)
        order.push_back(std::move(address));
    return order;
}

TimePoint QuotaClient::awayUntil(const IssuerState& issuer, const std::string& address) const
{
    auto silent = this->silentUntil.find(address);
    return silent == this->silentUntil.end() ? issuer.declinedUntil : std::max(issuer.declinedUntil, silent->second);
}

// Notes when an issuer may be asked again and whether any was reached, and forgets issuers that no longer are any.
void QuotaClient::scheduleNext(TenantState& state, const std::vector<std::string>& issuers, TimePoint now)
{
    state.reached = false;
    state.nextAt.fill(now + silentIssuerPause);
    for (const std::string& address : issuers) {
        const IssuerState& issuer = state.issuers[address];
        TimePoint away = this->awayUntil(issuer, address);
        state.reached = state.reached || away <= now;
        for (std::size_t use : { newPrograms, begunPrograms })
            state.nextAt[use] = std::min(state.nextAt[use], std::max(away, issuer.deniedUntil[use]));
    }
    std::erase_if(state.issuers, [&issuers](const auto& entry) {
        return std::find(issuers.begin(), issuers.end(), entry.first) == issuers.end();
    });
}

// Refuses a call that gets no token, or says that no issuer was reached.
QuotaDecision QuotaClient::withoutToken(TenantState& state, const std::string& tenant, TimePoint next, TimePoint now)
{
    if (!state.reached)
        return { QuotaOutcome::Unknown, unknownRetryAfter };
    return this->refuse(state, tenant, next, now);
}

QuotaDecision QuotaClient::refuse(TenantState& state, const std::string& tenant, TimePoint next, TimePoint now)
{
    this->refused.add();
    state.refusedAt = now;
    if (!std::exchange(state.throttled, true)) {
        state.throttledSince = now;
        LogLine(LogLevel::Info, "tenant_throttled")
            .field("tenant", tenant)
            .field("perSecond", state.known.quota.requestsPerSecond)
            .field("burst", state.known.quota.burst)
            .field("configuration", state.known.version)
            .field("callsPerSecond", callRate(state.batch, now))
            .write();
    }
    ++state.refusals;
    // Each refused caller is told to return later than the one before it, at the tenant's rate.
    double rate = std::max(state.known.quota.requestsPerSecond, 1e-3);
    state.queue += 1;
    double seconds = std::min(state.queue / rate, std::chrono::duration<double>(maxRetryAfter).count());
    Duration spread = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return { QuotaOutcome::OverQuota, std::min<Duration>(next - now + spread, maxRetryAfter) };
}

void QuotaClient::endThrottling(TenantState& state, const std::string& tenant, TimePoint now)
{
    if (!state.throttled || now - state.refusedAt < throttlingEndsAfter)
        return;
    LogLine(LogLevel::Info, "tenant_throttling_ended")
        .field("tenant", tenant)
        .field("refused", state.refusals)
        .field("forMs", toMillis(now - state.throttledSince))
        .write();
    state.throttled = false;
    state.refusals = 0;
    state.queue = 0;
}

Duration QuotaClient::step()
{
    Lock lock(this->mutex);
    TimePoint now = this->clock.now();
    std::erase_if(this->silentUntil, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& [tenant, state] : this->states)
        this->endThrottling(*state, tenant, now);
    // Before `askAhead` releases the lock: a tenant that comes back meanwhile is no longer idle.
    std::erase_if(this->states, [this, now](const auto& entry) { return this->isIdle(*entry.second, now); });
    std::vector<std::pair<std::string, StatePointer>> due;
    for (const auto& [tenant, state] : this->states) {
        if (state->drawsAhead && !state->asking)
            due.emplace_back(tenant, state);
    }
    for (const auto& [tenant, state] : due) {
        if (!state->asking && std::exchange(state->drawsAhead, false))
            this->askAhead(lock, *state, tenant);
    }
    return stepInterval;
}

bool QuotaClient::isIdle(const TenantState& state, TimePoint now) const
{
    bool inUse = state.asking || state.drawsAhead || state.waitingCalls() > 0;
    return !inUse && now - state.usedAt > idleTenantRetention;
}

} // namespace lovagecross
