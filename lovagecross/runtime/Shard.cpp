// The members of Shard that other threads call: state queries, messages from other nodes, and hand-over.
#include "lovagecross/runtime/Shard.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/ShardInternals.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

using detail::toMessage;

Shard::Shard(ShardId id, ShardSettings shardSettings, ShardEnvironment shardEnvironment)
    : shardId(std::move(id))
    , settings(shardSettings)
    , environment(std::move(shardEnvironment))
    , key(leaseKey(this->shardId))
    , holder(this->settings.lease, this->environment.self, this->environment.selfAddress)
    , observer(this->settings.lease, this->environment.self, this->environment.selfAddress)
    , copies(this->environment.bridgeBudget)
    , random(this->environment.self.incarnation + this->shardId.index)
{
}

Shard::~Shard()
{
    this->stop();
}

void Shard::start()
{
    this->leaseThread = std::thread([this] { this->leaseLoop(); });
    this->promiseThread = std::thread([this] { this->promiseLoop(); });
    this->commitThread = std::thread([this] { this->commitLoop(); });
}

void Shard::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        if (this->state)
            this->state->markLost();
        this->changed.notify_all();
    }
    for (std::thread* thread : { &this->leaseThread, &this->promiseThread, &this->commitThread }) {
        if (thread->joinable())
            thread->join();
    }
}

bool Shard::sleepUnlessStopping(Duration duration)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, duration, [&] { return this->stopping; });
    return !this->stopping;
}

std::shared_ptr<OwnedShard> Shard::owned() const
{
    std::lock_guard lock(this->mutex);
    return this->phase == Phase::Serving ? this->state : nullptr;
}

bool Shard::waitForAuthority(Duration longest) const
{
    TimePoint end = this->environment.clock.now() + longest;
    std::unique_lock lock(this->mutex);
    while (this->phase == Phase::Serving) {
        TimePoint now = this->environment.clock.now();
        if (this->holder.hasAuthority(now))
            return true;
        if (now >= end)
            return false;
        this->changed.wait_for(lock, std::chrono::milliseconds(10));
    }
    return false;
}

bool Shard::hasAuthority() const
{
    std::lock_guard lock(this->mutex);
    return this->phase == Phase::Serving && this->holder.hasAuthority(this->environment.clock.now());
}

void Shard::setDraining()
{
    std::lock_guard lock(this->mutex);
    this->draining = true;
}

ShardView Shard::view() const
{
    std::lock_guard lock(this->mutex);
    ShardView view;
    view.id = this->shardId;
    view.ownedLocally = this->phase != Phase::Observing;
    view.serving = this->phase == Phase::Serving;
    view.lease = view.ownedLocally ? std::optional(this->holder.record()) : this->observer.record();
    view.problem = this->problem;
    if (view.ownedLocally) {
        TimePoint now = this->environment.clock.now();
        std::optional<TimePoint> end = this->holder.authorityEnd();
        view.authorityLeft = end && *end > now ? *end - now : Duration(0);
    }
    if (this->state)
        view.bridgedBytes = this->state->bridgedBytes();
    return view;
}

PromiseAnswer Shard::answerPromise(const PromiseRequest& request)
{
    std::lock_guard lock(this->mutex);
    PromiseAnswer answer;
    answer.epoch = request.epoch;
    answer.from = this->environment.self;
    if (this->phase != Phase::Observing || request.standby != this->environment.self)
        return answer;
    if (auto duration = this->observer.promise(this->environment.clock.now(), request.epoch, request.holder)) {
        answer.promised = true;
        answer.duration = *duration;
        this->promisedEpoch = std::max(this->promisedEpoch, request.epoch);
    }
    // A new standby reads the lease object at once: it can't promise before it has, and it must know the object's
    // version to take over once the requests stop.
    const std::optional<LeaseRecord>& known = this->observer.record();
    if (!known || known->epoch != request.epoch || known->standby != this->environment.self) {
        this->lastObserved.reset();
        this->changed.notify_all();
    }
    return answer;
}

BridgeAnswer Shard::keepBridgeBatch(const BridgeBatch& batch)
{
    std::lock_guard lock(this->mutex);
    BridgeAnswer answer;
    answer.from = this->environment.self;
    // A batch is accepted only while this node would still give promises to the sender's epoch. Later a takeover may
    // already have read the copies and would miss the batch.
    const std::optional<LeaseRecord>& lease = this->observer.record();
    bool overtaken = (lease && lease->epoch > batch.epoch) || batch.epoch <= this->closedBridgeEpoch;
    if (this->phase != Phase::Observing || this->observer.takeoverPending() || overtaken)
        return answer;
    answer.stored = this->copies.keep({ batch.shard, { batch.generation, batch.sequence }, batch.bytes });
    return answer;
}

void Shard::trimBridge(const BridgeTrim& trim)
{
    std::lock_guard lock(this->mutex);
    this->copies.dropBefore({ trim.generation, trim.sequence });
}

BridgeCopies Shard::bridgeCopies()
{
    std::lock_guard lock(this->mutex);
    // Copies that arrived after this read would be missing from the claimant's recovery, so they are rejected.
    this->closedBridgeEpoch = std::max(this->closedBridgeEpoch, this->promisedEpoch);
    BridgeCopies answer;
    answer.from = this->environment.self;
    for (const JournalBatch& batch : this->copies.copies())
        answer.batches.push_back(toMessage(batch, 0));
    return answer;
}

void Shard::dropOwnership(const std::string& reason)
{
    std::lock_guard lock(this->mutex);
    if (this->phase == Phase::Observing)
        return;
    LogLine(LogLevel::Warning, "shard_lost").field("shard", this->shardId.toString()).field("reason", reason).write();
    this->environment.counters.counter("shard.lost").add();
    this->holder.markLost();
    if (this->state)
        this->state->markLost();
    this->state.reset();
    this->phase = Phase::Observing;
    this->observer = LeaseObserver(this->settings.lease, this->environment.self, this->environment.selfAddress);
    this->lastObserved.reset();
    this->changed.notify_all();
}

bool Shard::handOver()
{
    std::shared_ptr<OwnedShard> ownedShard = this->owned();
    if (!ownedShard)
        return true;
    ownedShard->close();
    TimePoint end = this->environment.clock.now() + this->settings.drainTimeout;
    while (ownedShard->activeCalls() > 0 || !ownedShard->journalIdle()) {
        if (ownedShard->lost() || this->environment.clock.now() >= end
            || !this->sleepUnlessStopping(std::chrono::milliseconds(20)))
            break;
    }
    if (ownedShard->lost())
        return true;
    LeaseRecord release;
    {
        std::lock_guard lock(this->mutex);
        release = this->holder.release();
        this->holder.markLost();
    }
    // Calls that are still running are resolved by the new owner as after a crash. This node must stop acting before it
    // releases the lease.
    ownedShard->markLost();
    bool written = this->writeLease(release);
    this->dropOwnership(written ? "handed over" : "hand-over, but the release of the lease was not written");
    if (!release.standbyAddress.empty())
        this->environment.membership.announce(release.standbyAddress);
    LogLine(LogLevel::Info, "hand_over").field("shard", this->shardId.toString()).field("written", written).write();
    return written;
}

bool Shard::forceRelease()
{
    this->observe();
    LeaseRecord record;
    std::uint64_t version = 0;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::Observing || !this->observer.record())
            return false;
        record = *this->observer.record();
        version = this->observer.version();
    }
    record.released = true;
    bool written = this->environment.store.update(this->key, encodeLease(record), version).ok();
    this->observe();
    return written;
}

} // namespace lovagecross
