#include "lovagecross/admission/AdmissionQueue.h"

#include <algorithm>
#include <array>
#include <bit>
#include <compare>
#include <set>
#include <unordered_map>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::uint64_t lowestLevelTokens = 512; // programs below this limit share the lowest service level
constexpr std::size_t levelCount = 24;
constexpr std::uint32_t grantsPerDeadlineGrant = 4;
constexpr double intervalWeight = 0.05; // weight of a new sample in the mean interval between grants
constexpr std::uint32_t minIntervalSamples = 8;
constexpr Duration unknownRetryAfter = std::chrono::seconds(1);
constexpr Duration minRetryAfter = std::chrono::milliseconds(50);
constexpr Duration maxRetryAfter = std::chrono::seconds(60);
constexpr std::size_t tenantCleanupThreshold = 1024; // tenants per rank from which on idle ones are removed

std::size_t serviceLevel(std::uint64_t attainedTokens)
{
    return std::min<std::size_t>(std::bit_width(attainedTokens / lowestLevelTokens), levelCount - 1);
}

TimePoint deadlineOf(const WaitingCall& call)
{
    return call.deadline == TimePoint {} ? TimePoint::max() : call.deadline;
}

double costOf(std::uint64_t tokens)
{
    return static_cast<double>(std::max<std::uint64_t>(tokens, 1));
}

struct Entry {
    AdmissionTicket ticket = 0;
    std::string rank;
    std::string tenant;
    ProgramId program;
    std::size_t level = 0;
    TimePoint deadline;
    double cost = 1;
};

// Orders calls by attained service, then deadline, then arrival.
struct ServiceKey {
    std::size_t level = 0;
    TimePoint deadline;
    AdmissionTicket ticket = 0;

    auto operator<=>(const ServiceKey&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

struct DeadlineKey {
    TimePoint deadline;
    AdmissionTicket ticket = 0;

    auto operator<=>(const DeadlineKey&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

ServiceKey serviceKey(const Entry& entry)
{
    return { entry.level, entry.deadline, entry.ticket };
}

struct TenantQueue {
    std::set<ServiceKey> byService;
    std::set<DeadlineKey> byDeadline;
    std::array<std::size_t, levelCount> waitingByLevel {};
    double served = 0; // tokens; raised to the rank's virtual time when calls start waiting again
    std::uint32_t grantsSinceDeadlineGrant = 0;

    bool hasWaitingCalls() const { return !this->byService.empty(); }
};

struct RankQueue {
    RankPolicy policy;
    std::map<std::string, TenantQueue> tenants;
    std::size_t waiting = 0;
    double deficit = 0; // tokens by which the rank is below its floor share
    double virtualTime = 0; // highest `served` of a tenant at the time of a grant
    TimePoint lastGrant; // or the time when the first call started waiting, if that is later
    double meanIntervalNanos = 0;
    std::uint32_t intervalSamples = 0;
    Duration meanCallDuration { 0 };

    void recordGrant(TimePoint now)
    {
        auto interval = static_cast<double>((now - this->lastGrant).count());
        double weight = std::max(intervalWeight, 1.0 / (this->intervalSamples + 1.0));
        this->meanIntervalNanos += weight * (interval - this->meanIntervalNanos);
        this->lastGrant = now;
        ++this->intervalSamples;
    }

    // The mean time between two grants. While calls are waiting, the time since the last grant also counts as a sample
    // if it increases the mean, because the service rate has dropped.
    double intervalNanos(TimePoint now) const
    {
        if (this->waiting == 0)
            return this->meanIntervalNanos;
        auto since = static_cast<double>((now - this->lastGrant).count());
        return std::max(
            this->meanIntervalNanos, this->meanIntervalNanos * (1 - intervalWeight) + since * intervalWeight);
    }

    bool hasEnoughSamples() const { return this->intervalSamples >= minIntervalSamples; }
};

struct RunningCall {
    std::string rank;
    std::string tenant;
    double cost = 1;
    TimePoint granted;
};

} // namespace

struct AdmissionQueue::Impl {
    std::vector<RankQueue> ranks; // most urgent first, never empty
    std::size_t capacity = 0;
    std::unordered_map<AdmissionTicket, Entry> entries;
    std::unordered_map<AdmissionTicket, RunningCall> runningCalls;
    std::unordered_map<ProgramId, std::size_t> waitingByProgram;
    std::vector<AdmissionTicket> expired;
    AdmissionTicket lastTicket = 0;

    RankQueue* find(const std::string& rank);
    void replaceRanks(std::vector<RankPolicy> policies);
    void insert(RankQueue& rank, const Entry& entry);
    void remove(RankQueue& rank, const Entry& entry);
    void eraseEntry(const Entry& entry);
    void expire(TimePoint now);
    void expire(RankQueue& rank, TenantQueue& tenant, TimePoint now);
    RankQueue* chooseRank();
    void charge(RankQueue* rank, const std::string& tenant, double cost);
    void grant(RankQueue& rank, const Entry& entry, TimePoint now);
};

namespace {

EnqueueResult refuse(std::string reason, Duration retryAfter)
{
    EnqueueResult result;
    result.reason = std::move(reason);
    result.retryAfter = retryAfter;
    return result;
}

// The expected time until all calls that are waiting now have been served.
Duration estimateRetryAfter(const RankQueue& rank, TimePoint now)
{
    if (!rank.hasEnoughSamples())
        return unknownRetryAfter;
    double nanos = rank.intervalNanos(now) * static_cast<double>(rank.waiting);
    double bounded = std::min(nanos, static_cast<double>(maxRetryAfter.count()));
    return std::max(minRetryAfter, Duration(static_cast<Duration::rep>(bounded)));
}

// The number of calls in the rank that are served before a new call of this tenant and level: those of the same tenant
// up to this level and, since tenants take turns, up to one more than that of each other tenant.
std::size_t callsAhead(const RankQueue& rank, const std::string& tenant, std::size_t level)
{
    std::size_t own = 0;
    if (auto found = rank.tenants.find(tenant); found != rank.tenants.end()) {
        for (std::size_t i = 0; i <= level; ++i)
            own += found->second.waitingByLevel.at(i);
    }
    std::size_t ahead = own;
    for (const auto& [name, queue] : rank.tenants) {
        if (name != tenant)
            ahead += std::min(own + 1, queue.byService.size());
    }
    return ahead;
}

Duration expectedWait(const RankQueue& rank, const std::string& tenant, std::size_t level, TimePoint now)
{
    if (!rank.hasEnoughSamples() || rank.waiting == 0)
        return Duration(0);
    double nanos = rank.intervalNanos(now) * static_cast<double>(callsAhead(rank, tenant, level) + 1);
    return Duration(
        static_cast<Duration::rep>(std::min(nanos, static_cast<double>(std::chrono::hours(24) / Duration(1)))));
}

TenantQueue& leastServedTenant(RankQueue& rank)
{
    TenantQueue* best = nullptr;
    for (auto& [name, tenant] : rank.tenants) {
        if (tenant.hasWaitingCalls() && (!best || tenant.served < best->served))
            best = &tenant;
    }
    return *best;
}

AdmissionTicket chooseCall(RankQueue& rank, TenantQueue& tenant, TimePoint now)
{
    auto [deadline, earliest] = *tenant.byDeadline.begin();
    bool nearDeadline = deadline != TimePoint::max() && deadline - now <= 2 * rank.meanCallDuration;
    if (nearDeadline && tenant.grantsSinceDeadlineGrant + 1 >= grantsPerDeadlineGrant) {
        tenant.grantsSinceDeadlineGrant = 0;
        return earliest;
    }
    ++tenant.grantsSinceDeadlineGrant;
    return tenant.byService.begin()->ticket;
}

} // namespace

RankQueue* AdmissionQueue::Impl::find(const std::string& rank)
{
    for (RankQueue& queue : this->ranks) {
        if (queue.policy.name == rank)
            return &queue;
    }
    return nullptr;
}

void AdmissionQueue::Impl::replaceRanks(std::vector<RankPolicy> policies)
{
    if (policies.empty())
        policies.push_back({ "default", 0, 0, 0 });
    std::stable_sort(policies.begin(), policies.end(),
        [](const RankPolicy& left, const RankPolicy& right) { return left.urgency > right.urgency; });
    std::vector<RankQueue> old = std::exchange(this->ranks, {});
    for (RankPolicy& policy : policies) {
        auto same = std::find_if(
            old.begin(), old.end(), [&](const RankQueue& queue) { return queue.policy.name == policy.name; });
        RankQueue queue;
        if (same != old.end())
            queue = std::move(*same);
        queue.policy = std::move(policy);
        this->ranks.push_back(std::move(queue));
    }
    for (auto& [ticket, entry] : this->entries) {
        if (this->find(entry.rank))
            continue;
        entry.rank = this->ranks.back().policy.name;
        this->insert(this->ranks.back(), entry);
    }
}

void AdmissionQueue::Impl::insert(RankQueue& rank, const Entry& entry)
{
    if (rank.tenants.size() >= tenantCleanupThreshold)
        std::erase_if(rank.tenants, [](const auto& item) { return !item.second.hasWaitingCalls(); });
    TenantQueue& tenant = rank.tenants[entry.tenant];
    if (!tenant.hasWaitingCalls())
        tenant.served = std::max(tenant.served, rank.virtualTime);
    tenant.byService.insert(serviceKey(entry));
    tenant.byDeadline.insert({ entry.deadline, entry.ticket });
    ++tenant.waitingByLevel.at(entry.level);
    ++rank.waiting;
}

void AdmissionQueue::Impl::remove(RankQueue& rank, const Entry& entry)
{
    TenantQueue& tenant = rank.tenants[entry.tenant];
    tenant.byService.erase(serviceKey(entry));
    tenant.byDeadline.erase({ entry.deadline, entry.ticket });
    --tenant.waitingByLevel.at(entry.level);
    --rank.waiting;
    if (rank.waiting == 0)
        rank.deficit = std::min(rank.deficit, 0.0);
}

void AdmissionQueue::Impl::eraseEntry(const Entry& entry)
{
    auto program = this->waitingByProgram.find(entry.program);
    if (--program->second == 0)
        this->waitingByProgram.erase(program);
    this->entries.erase(entry.ticket);
}

void AdmissionQueue::Impl::expire(TimePoint now)
{
    for (RankQueue& rank : this->ranks) {
        for (auto& [name, tenant] : rank.tenants)
            this->expire(rank, tenant, now);
    }
}

void AdmissionQueue::Impl::expire(RankQueue& rank, TenantQueue& tenant, TimePoint now)
{
    while (!tenant.byDeadline.empty() && tenant.byDeadline.begin()->deadline <= now) {
        AdmissionTicket ticket = tenant.byDeadline.begin()->ticket;
        Entry entry = this->entries.at(ticket);
        this->remove(rank, entry);
        this->eraseEntry(entry);
        this->expired.push_back(ticket);
    }
}

RankQueue* AdmissionQueue::Impl::chooseRank()
{
    RankQueue* belowFloor = nullptr;
    RankQueue* mostUrgent = nullptr;
    for (RankQueue& rank : this->ranks) {
        if (rank.waiting == 0)
            continue;
        if (!mostUrgent)
            mostUrgent = &rank;
        if (rank.deficit > 0 && (!belowFloor || rank.deficit > belowFloor->deficit))
            belowFloor = &rank;
    }
    return belowFloor ? belowFloor : mostUrgent;
}

// Accounts for `cost` tokens of service; a correction may be negative. `rank` is null if it has since been removed.
void AdmissionQueue::Impl::charge(RankQueue* rank, const std::string& tenant, double cost)
{
    constexpr double percent = 0.01;
    for (RankQueue& other : this->ranks) {
        if (other.waiting > 0 || &other == rank)
            other.deficit += cost * other.policy.floorPercent * percent;
    }
    if (!rank)
        return;
    rank->deficit -= cost;
    if (auto found = rank->tenants.find(tenant); found != rank->tenants.end())
        found->second.served += cost;
}

void AdmissionQueue::Impl::grant(RankQueue& rank, const Entry& entry, TimePoint now)
{
    rank.recordGrant(now);
    rank.virtualTime = std::max(rank.virtualTime, rank.tenants[entry.tenant].served);
    this->charge(&rank, entry.tenant, entry.cost);
    // Limits the debit: service that the rank got beyond its floor, as the most urgent one, must not count against its
    // floor share later.
    rank.deficit = std::max(rank.deficit, -entry.cost);
    this->runningCalls.emplace(entry.ticket, RunningCall { rank.policy.name, entry.tenant, entry.cost, now });
}

AdmissionQueue::AdmissionQueue(std::vector<RankPolicy> ranks, std::size_t capacity)
    : impl(std::make_unique<Impl>())
{
    this->configure(std::move(ranks), capacity);
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;

void AdmissionQueue::configure(std::vector<RankPolicy> ranks, std::size_t capacity)
{
    this->impl->replaceRanks(std::move(ranks));
    this->impl->capacity = capacity;
}

EnqueueResult AdmissionQueue::enqueue(const WaitingCall& call, TimePoint now)
{
    Impl& state = *this->impl;
    RankQueue* rank = state.find(call.rank);
    if (!rank)
        return refuse("rank " + call.rank + " does not exist", Duration(0));
    if (rank->waiting >= rank->policy.maxQueued)
        return refuse(
            "rank " + call.rank + " has its maximum of " + std::to_string(rank->policy.maxQueued) + " waiting calls",
            estimateRetryAfter(*rank, now));
    auto program = state.waitingByProgram.find(call.program);
    if (program != state.waitingByProgram.end() && program->second >= maxQueuedPerProgram)
        return refuse("the program has its maximum of " + std::to_string(maxQueuedPerProgram) + " waiting calls",
            estimateRetryAfter(*rank, now));
    std::size_t level = serviceLevel(call.attainedTokens);
    TimePoint deadline = deadlineOf(call);
    if (deadline != TimePoint::max() && now + expectedWait(*rank, call.tenant, level, now) >= deadline)
        return refuse("the deadline can't be met at the rate at which rank " + call.rank + " is served",
            estimateRetryAfter(*rank, now));
    if (rank->waiting == 0)
        rank->lastGrant = now;
    Entry entry { ++state.lastTicket, call.rank, call.tenant, call.program, level, deadline,
        costOf(call.estimatedTokens) };
    state.insert(*rank, entry);
    ++state.waitingByProgram[call.program];
    EnqueueResult result;
    result.accepted = true;
    result.ticket = entry.ticket;
    state.entries.emplace(entry.ticket, std::move(entry));
    return result;
}

std::optional<AdmissionTicket> AdmissionQueue::next(TimePoint now)
{
    Impl& state = *this->impl;
    state.expire(now);
    if (state.runningCalls.size() >= state.capacity)
        return std::nullopt;
    RankQueue* rank = state.chooseRank();
    if (!rank)
        return std::nullopt;
    AdmissionTicket ticket = chooseCall(*rank, leastServedTenant(*rank), now);
    Entry entry = state.entries.at(ticket);
    state.grant(*rank, entry, now);
    state.remove(*rank, entry);
    state.eraseEntry(entry);
    return ticket;
}

std::vector<AdmissionTicket> AdmissionQueue::takeExpired()
{
    return std::exchange(this->impl->expired, {});
}

void AdmissionQueue::finished(AdmissionTicket ticket, std::uint64_t servedTokens, TimePoint now)
{
    Impl& state = *this->impl;
    auto found = state.runningCalls.find(ticket);
    if (found == state.runningCalls.end())
        return;
    RunningCall call = std::move(found->second);
    state.runningCalls.erase(found);
    RankQueue* rank = state.find(call.rank);
    double served = costOf(servedTokens);
    state.charge(rank, call.tenant, served - call.cost);
    if (!rank)
        return;
    rank->deficit = std::max(rank->deficit, -std::max(served, call.cost));
    if (rank->waiting == 0)
        rank->deficit = std::min(rank->deficit, 0.0);
    rank->meanCallDuration += (now - call.granted - rank->meanCallDuration) / 8;
}

void AdmissionQueue::cancel(AdmissionTicket ticket)
{
    Impl& state = *this->impl;
    auto found = state.entries.find(ticket);
    if (found == state.entries.end())
        return;
    Entry entry = found->second;
    state.remove(*state.find(entry.rank), entry);
    state.eraseEntry(entry);
}

std::size_t AdmissionQueue::running() const
{
    return this->impl->runningCalls.size();
}

std::size_t AdmissionQueue::waiting() const
{
    return this->impl->entries.size();
}

std::map<std::string, std::size_t> AdmissionQueue::waitingByRank() const
{
    std::map<std::string, std::size_t> counts;
    for (const RankQueue& rank : this->impl->ranks)
        counts[rank.policy.name] = rank.waiting;
    return counts;
}

} // namespace lovagecross
