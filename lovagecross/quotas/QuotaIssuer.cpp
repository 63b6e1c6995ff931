#include "lovagecross/quotas/QuotaIssuer.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr int roundsPerLease = 6; // calls of `step`
// A change is known to a majority within a lease, and the nodes that don't know it stop within another one.
constexpr int leasesPerHandover = 2;
constexpr Duration dropInterval = std::chrono::seconds(1); // a search for slices to drop reads all of them

// Whether nobody has asked the slice for longer than it takes to fill.
bool hasFilledUnused(const QuotaSlice& slice, TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - slice.updatedAt).count();
    return slice.limits.perSecond * seconds >= slice.limits.capacity;
}

} // namespace

QuotaIssuer::QuotaIssuer(const Clock& givenClock, PeerClient& peerClient, QuotaIssuerSettings given, Counters& counters)
    : clock(givenClock)
    , peers(peerClient)
    , settings(std::move(given))
    , granted(counters.counter("quotas.granted"))
    , denied(counters.counter("quotas.denied"))
    , notConfirmed(counters.counter("quotas.not_confirmed"))
{
    this->history.settledAt = this->clock.now();
}

void QuotaIssuer::start()
{
    Roster roster = this->settings.roster();
    std::lock_guard lock(this->mutex);
    if (roster.epoch > 0)
        noteFirstRoster(this->history, roster, this->clock.now());
}

QuotaAnswer QuotaIssuer::handle(const QuotaRequest& request)
{
    Roster roster = this->settings.roster();
    KnownQuota own = this->settings.quotaOf(request.tenant);
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->learnRoster(roster, now);
    QuotaAnswer answer;
    answer.rosterEpoch = this->history.current.epoch;
    answer.configurationVersion = own.version;
    if (request.tenant.empty()) {
        answer.confirmed = this->mayGrant(now);
        if (answer.confirmed) {
            answer.rosterAge = now - this->rosterConfirmedAt;
            answer.configurationAge = now - this->configurationConfirmedAt;
        }
        return answer;
    }
    double share = shareOf(this->history, request.tenant, this->settings.node, this->settings.tolerance);
    if (share <= 0)
        return answer;
    if (!this->mayGrant(now)) {
        this->notConfirmed.add();
        return answer;
    }
    this->draw(request, own, share, now, answer);
    return answer;
}

void QuotaIssuer::draw(
    const QuotaRequest& request, const KnownQuota& own, double share, TimePoint now, QuotaAnswer& answer)
{
    bool unknownName = !own.present && own.version >= request.configurationVersion;
    if (unknownName && this->slices.count(request.tenant) == 0) {
        answer.issuer = true;
        if (request.needed > 0) {
            answer.retryAfter = maxQuotaRetryAfter;
            this->denied.add();
        }
        return;
    }
    TenantSlice* found = this->sliceOf(request.tenant, now);
    if (found == nullptr)
        return;
    TenantSlice& entry = *found;
    if (request.configurationVersion > entry.known.version)
        entry.known = { request.configurationVersion, true, { request.perSecond, request.burst } };
    if (own.version >= entry.known.version)
        entry.known = own;
    answer.issuer = true;
    if (entry.known.present && !entry.known.quota.limited()) {
        answer.granted = request.needed;
        return;
    }
    TenantQuota quota = entry.known.present ? entry.known.quota : TenantQuota {};
    setSlice(entry.slice, entry.known.present ? sliceLimits(this->settings.policy, quota, share) : SliceLimits {}, now);
    QuotaGrant grant = drawTokens(entry.slice, { request.needed, request.begun, request.extra }, now);
    answer.granted = grant.tokens;
    answer.level = grant.level;
    answer.retryAfter = grant.retryAfter;
    this->granted.add(grant.tokens);
    if (grant.tokens < request.needed)
        this->denied.add();
}

// Returns the slice of a tenant, which may be a new one; nullptr if there is no room for it.
QuotaIssuer::TenantSlice* QuotaIssuer::sliceOf(const std::string& tenant, TimePoint now)
{
    auto found = this->slices.find(tenant);
    if (found != this->slices.end())
        return &found->second;
    if (this->slices.size() >= maxSlices)
        this->dropSlices(now);
    if (this->slices.size() >= maxSlices)
        return nullptr;
    TimePoint heldSince = std::max(this->history.settledAt, this->droppedAt);
    return &this->slices.emplace(tenant, TenantSlice { {}, emptySlice(heldSince) }).first->second;
}

// Drops the slices of tenants that are no longer configured, and those that have filled up unused.
void QuotaIssuer::dropSlices(TimePoint now)
{
    if (now < this->nextDropAt)
        return;
    this->nextDropAt = now + dropInterval;
    std::size_t dropped = std::erase_if(this->slices, [this, now](const auto& entry) {
        KnownQuota own = this->settings.quotaOf(entry.first);
        // A quota of a newer configuration, which only the slice has, must not be lost.
        if (own.version < entry.second.known.version)
            return false;
        return !own.present || hasFilledUnused(entry.second.slice, now);
    });
    if (dropped > 0)
        this->droppedAt = now;
}

QuotaIssuer::Round QuotaIssuer::newRound()
{
    Round round;
    round.roster = this->settings.roster();
    round.configurationVersion = this->settings.quotaOf({}).version;
    round.sentAt = this->clock.now();
    return round;
}

Duration QuotaIssuer::step()
{
    Round round = this->newRound();
    bool all = false;
    {
        std::lock_guard lock(this->mutex);
        this->learnRoster(round.roster, round.sentAt);
        all = !this->history.former.empty();
    }
    std::vector<std::string> followed = this->membersToFollow(round.roster);
    if (!all && !followed.empty()) {
        if (this->confirmByFollowing(round, followed))
            return this->settings.lease / roundsPerLease;
        round.sentAt = this->clock.now();
    }
    this->confirmByMajority(round, all);
    return this->settings.lease / roundsPerLease;
}

bool QuotaIssuer::confirmByFollowing(Round round, const std::vector<std::string>& followed)
{
    this->addAnswers(this->ask(round, followed, true), round);
    std::lock_guard lock(this->mutex);
    return this->takeOverConfirmations(round);
}

void QuotaIssuer::confirmByMajority(Round round, bool all)
{
    std::vector<std::string> others = this->otherMembers(round.roster);
    this->addAnswers(this->ask(round, others, all), round);
    std::lock_guard lock(this->mutex);
    this->noteMajority(round, others.size());
}

void QuotaIssuer::addAnswers(const std::vector<PeerResult>& results, Round& round) const
{
    for (const PeerResult& result : results) {
        const auto* answer = std::get_if<QuotaAnswer>(&result.answer);
        if (result.status != PeerStatus::Ok || answer == nullptr)
            continue;
        ++round.answers;
        round.sameEpoch += answer->rosterEpoch == round.roster.epoch ? 1 : 0;
        round.newerRoster |= answer->rosterEpoch > round.roster.epoch;
        round.newerConfiguration |= answer->configurationVersion > round.configurationVersion;
        if (!answer->confirmed || answer->rosterEpoch != round.roster.epoch)
            continue;
        TimePoint rosterAt = round.sentAt - answer->rosterAge;
        TimePoint configurationAt = round.sentAt - answer->configurationAge;
        round.rosterConfirmedAt = std::max(round.rosterConfirmedAt.value_or(rosterAt), rosterAt);
        if (answer->configurationVersion <= round.configurationVersion)
            round.configurationConfirmedAt
                = std::max(round.configurationConfirmedAt.value_or(configurationAt), configurationAt);
    }
}

// The members from which this node takes over confirmations; empty if it has to ask a majority itself.
std::vector<std::string> QuotaIssuer::membersToFollow(const Roster& roster) const
{
    std::vector<std::string> followed;
    if (roster.members.size() <= maxDirectMembers)
        return followed;
    for (std::size_t i = 0; i < confirmingMembers; ++i) {
        if (roster.members[i].node == this->settings.node)
            return {};
        followed.push_back(roster.members[i].address);
    }
    return followed;
}

// The addresses of the other members. Each call begins with the next one.
std::vector<std::string> QuotaIssuer::otherMembers(const Roster& roster)
{
    std::vector<std::string> others;
    for (const RosterMember& member : roster.members) {
        if (member.node != this->settings.node)
            others.push_back(member.address);
    }
    if (!others.empty())
        std::rotate(
            others.begin(), others.begin() + static_cast<std::ptrdiff_t>(this->rounds++ % others.size()), others.end());
    return others;
}

std::vector<PeerResult> QuotaIssuer::ask(const Round& round, const std::vector<std::string>& others, bool all)
{
    if (others.empty())
        return {};
    QuotaRequest request;
    request.rosterEpoch = round.roster.epoch;
    request.configurationVersion = round.configurationVersion;
    Fanout fanout { this->settings.lease / roundsPerLease };
    std::size_t enough = others.size();
    if (!all) {
        enough = majorityOf(round.roster.members.size());
        fanout.firstWave = enough;
        fanout.firstWaveTimeout = fanout.timeout / 2;
    }
    return this->peers.requestAll(others, request, fanout, [enough](const std::vector<const PeerResult*>& answers) {
        auto good = [](const PeerResult* result) { return result != nullptr && result->status == PeerStatus::Ok; };
        return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), good)) >= enough;
    });
}

void QuotaIssuer::learnRoster(const Roster& roster, TimePoint now)
{
    settle(this->history, now);
    if (!noteRoster(this->history, roster, this->settings.lease * leasesPerHandover, now))
        return;
    // A slice that goes to another node starts empty if it comes back.
    std::erase_if(this->slices, [this](const auto& entry) {
        return shareOf(this->history, entry.first, this->settings.node, this->settings.tolerance) <= 0;
    });
}

// Whether the roster of the round is still the newest one that is known.
bool QuotaIssuer::isCurrent(const Round& round) const
{
    return round.roster.epoch > 0 && round.roster.epoch == this->history.current.epoch && !round.newerRoster;
}

// Takes over what a majority has confirmed to the members that were asked. Returns whether that is recent enough.
bool QuotaIssuer::takeOverConfirmations(const Round& round)
{
    if (!this->isCurrent(round) || !round.rosterConfirmedAt)
        return false;
    this->rosterConfirmedAt = std::max(this->rosterConfirmedAt, *round.rosterConfirmedAt);
    if (round.configurationConfirmedAt && !round.newerConfiguration) {
        this->configurationConfirmedAt = std::max(this->configurationConfirmedAt, *round.configurationConfirmedAt);
        this->everConfirmed = true;
    }
    TimePoint now = this->clock.now();
    this->noteGranting(this->mayGrant(now));
    return now - this->rosterConfirmedAt <= this->settings.lease / 2;
}

// Notes a confirmation by a majority, and one by all other members.
void QuotaIssuer::noteMajority(const Round& round, std::size_t others)
{
    TimePoint now = this->clock.now();
    bool current = this->isCurrent(round);
    bool isMember = round.roster.find(this->settings.node) != nullptr;
    bool majority = round.answers + (isMember ? 1 : 0) >= majorityOf(round.roster.members.size());
    if (current && majority) {
        this->rosterConfirmedAt = round.sentAt;
        if (!round.newerConfiguration)
            this->configurationConfirmedAt = round.sentAt;
        this->everConfirmed = this->everConfirmed || !round.newerConfiguration;
    }
    if (current && round.sameEpoch == others)
        noteUnanimity(this->history, now);
    this->noteGranting(this->mayGrant(now));
}

bool QuotaIssuer::mayGrant(TimePoint now) const
{
    return this->everConfirmed && now - this->rosterConfirmedAt <= this->settings.lease
        && now - this->configurationConfirmedAt <= this->settings.configurationLease;
}

void QuotaIssuer::noteGranting(bool granting)
{
    if (granting == this->grants)
        return;
    this->grants = granting;
    LogLine(granting ? LogLevel::Info : LogLevel::Warning, granting ? "quotas_granted" : "quotas_not_confirmed")
        .field("epoch", this->history.current.epoch)
        .field("members", this->history.current.members.size())
        .write();
}

} // namespace lovagecross
