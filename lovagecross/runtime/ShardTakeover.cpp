// How a node becomes the owner of a shard: it observes the lease object, claims the lease and recovers the journal.
#include "lovagecross/runtime/Shard.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/program/ProgramState.h"
#include "lovagecross/runtime/RecoveryStore.h"
#include "lovagecross/runtime/ShardInternals.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagecross {

using detail::bridgeTimeout;
using detail::claimStaggerInterval;
using detail::longObserveInterval;
using detail::maxRecoveryRateLimitWait;
using detail::maxTakeoverBackoff;
using detail::observationsPerHorizon;
using detail::shortObserveInterval;
using detail::tickInterval;

bool Shard::observeDue() const
{
    bool holderKnown = this->environment.membership.shardHolder(this->shardId).has_value();
    std::lock_guard lock(this->mutex);
    TimePoint now = this->environment.clock.now();
    if (this->observeRetryAt && now < *this->observeRetryAt)
        return false;
    if (!this->lastObserved)
        return true;
    const std::optional<LeaseRecord>& lease = this->observer.record();
    bool isStandby = lease && lease->standby == this->environment.self;
    // Promise requests show the standby that the owner is alive. It reads the lease object often only after they stop.
    Duration interval = std::min<Duration>(longObserveInterval, this->settings.lease.horizon / observationsPerHorizon);
    if (!holderKnown
        || (isStandby && this->observer.takeoverReason(this->environment.clock.now()) != TakeoverReason::None))
        interval = shortObserveInterval;
    return this->environment.clock.now() - *this->lastObserved >= interval;
}

void Shard::observe()
{
    StoreResult result = this->environment.store.get(this->key);
    TimePoint now = this->environment.clock.now();
    std::lock_guard lock(this->mutex);
    this->lastObserved = now;
    if (result.status == StoreStatus::NotFound) {
        this->observer.observed(now, std::nullopt, 0);
        return;
    }
    if (!result.ok()) {
        // A standby can't take over without having read the lease record, so the read is retried soon.
        this->lastObserved = now - longObserveInterval;
        this->observeRetryAt = now + shortObserveInterval;
        return;
    }
    handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(record, decodeLease(this->key, result.object.value));
            this->observer.observed(now, record, result.object.version);
            this->vacantSince.reset();
            return true;
        },
        [&](const Error& error) {
            this->problem = error.message;
            return false;
        });
}

// Staggers the claims to vacant and released shards, so that they spread over the nodes: candidates are ordered by the
// number of shards they hold and then by name, and a node that holds more shards waits longer.
bool Shard::claimDelayed(TakeoverReason reason)
{
    if (reason == TakeoverReason::Standby || reason == TakeoverReason::SameNode)
        return false;
    std::vector<MemberView> others = this->environment.membership.standbyCandidates(this->shardId);
    std::size_t held = this->environment.membership.ownedShardCount();
    std::size_t position = 0;
    for (const MemberView& other : others) {
        bool before = other.entry.shards.size() < held
            || (other.entry.shards.size() == held && other.entry.node.node < this->environment.self.node);
        position += before ? 1 : 0;
    }
    TimePoint now = this->environment.clock.now();
    std::lock_guard lock(this->mutex);
    if (!this->vacantSince)
        this->vacantSince = now;
    Duration wait = claimStaggerInterval * static_cast<int>(position + held);
    return now - *this->vacantSince < wait;
}

// Fetches copies of bridged batches from nodes other than the standby. An owner whose standby fails during a platform
// outage sends its batches to another node. Which one is not recorded, so all live nodes of the data centre are asked.
// Copies of the same batch are identical.
void Shard::fetchReplicatedCopies(const LeaseRecord& previous, std::vector<JournalBatch>& fetched)
{
    for (const MemberView& member : this->environment.membership.standbyCandidates(this->shardId)) {
        if (member.entry.node == previous.standby || member.entry.node == previous.holder)
            continue;
        PeerResult result = this->environment.peers.request(
            member.entry.peerAddress, BridgeFetch { this->shardId }, bridgeTimeout, {});
        const auto* answer = std::get_if<BridgeCopies>(&result.answer);
        if (result.status != PeerStatus::Ok || !answer)
            continue;
        for (const BridgeBatch& batch : answer->batches)
            fetched.push_back({ batch.shard, { batch.generation, batch.sequence }, batch.bytes });
    }
}

// Collects the copies of bridged batches from this node, the standby and other nodes. Returns false if the standby does
// not answer and bridgeFetchTimeout has not passed yet; after that the takeover goes ahead without its copies.
bool Shard::fetchBridgeCopies(TakeoverReason reason, const LeaseRecord& previous, std::vector<JournalBatch>& fetched)
{
    bool ownedHere = reason == TakeoverReason::Standby;
    {
        std::lock_guard lock(this->mutex);
        if (ownedHere || previous.standby == this->environment.self)
            fetched = this->copies.copies();
    }
    if (!previous.released)
        this->fetchReplicatedCopies(previous, fetched);
    bool nothingToFetch = ownedHere || previous.released || previous.standby.empty()
        || previous.standby.node == this->environment.self.node;
    if (reason == TakeoverReason::Vacant || nothingToFetch)
        return true;
    PeerResult result
        = this->environment.peers.request(previous.standbyAddress, BridgeFetch { this->shardId }, bridgeTimeout, {});
    if (const auto* answer = std::get_if<BridgeCopies>(&result.answer); result.status == PeerStatus::Ok && answer) {
        for (const BridgeBatch& batch : answer->batches)
            fetched.push_back({ batch.shard, { batch.generation, batch.sequence }, batch.bytes });
        return true;
    }
    TimePoint now = this->environment.clock.now();
    std::lock_guard lock(this->mutex);
    if (!this->copyFetchFailingSince)
        this->copyFetchFailingSince = now;
    return now - *this->copyFetchFailingSince >= this->settings.bridgeFetchTimeout;
}

// Completes a hand-over whose write failed: the lease object still names this process as the holder, and since it has
// stopped acting it may release the lease. Returns whether that was the case.
bool Shard::completeRelease()
{
    LeaseRecord record;
    std::uint64_t version = 0;
    {
        std::lock_guard lock(this->mutex);
        const std::optional<LeaseRecord>& lease = this->observer.record();
        if (!lease || lease->holder != this->environment.self || lease->released)
            return false;
        record = *lease;
        version = this->observer.version();
    }
    record.released = true;
    this->environment.store.update(this->key, encodeLease(record), version);
    this->observe();
    return true;
}

// Writes the copies that are missing from the journal. Returns false if the platform does not accept one. The next
// attempt skips those already written, so that repeated attempts complete even under a rate limit.
bool Shard::createCopies(const std::vector<JournalBatch>& fetched)
{
    if (fetched.empty())
        return true;
    RecoveryStore store(this->environment.store, this->environment.clock, maxRecoveryRateLimitWait);
    ListResult listed = store.list(journalPrefix(this->shardId), false);
    if (listed.status != StoreStatus::Ok && listed.status != StoreStatus::NotFound)
        return false;
    std::set<std::string> present;
    std::uint32_t newestGeneration = 0;
    for (const StoredObject& object : listed.objects) {
        present.insert(object.key);
        if (std::optional<JournalPosition> position = parseJournalKey(this->shardId, object.key))
            newestGeneration = std::max(newestGeneration, position->generation);
    }
    std::vector<JournalBatch> ordered = fetched;
    std::sort(ordered.begin(), ordered.end(),
        [](const JournalBatch& left, const JournalBatch& right) { return left.position < right.position; });
    for (const JournalBatch& copy : ordered) {
        // The owner writes all bridged batches before it seals a generation, so copies of earlier generations are
        // already part of the next generation's snapshot.
        if (copy.position.generation < newestGeneration || present.count(journalKey(copy.shard, copy.position)) != 0)
            continue;
        FlushOutcome outcome = writeBatch(store, copy);
        if (outcome == FlushOutcome::Retry)
            return false;
        present.insert(journalKey(copy.shard, copy.position));
        if (outcome == FlushOutcome::Fenced)
            return true; // another owner has sealed the journal; the recovery handles this
    }
    return true;
}

void Shard::delayTakeover()
{
    std::lock_guard lock(this->mutex);
    std::uniform_int_distribution<std::int64_t> millis(toMillis(maxTakeoverBackoff) / 2, toMillis(maxTakeoverBackoff));
    this->takeoverRetryAt = this->environment.clock.now() + std::chrono::milliseconds(millis(this->random));
}

void Shard::tryTakeOver()
{
    if (this->completeRelease())
        return;
    TakeoverReason reason = TakeoverReason::None;
    LeaseRecord previous;
    std::uint64_t version = 0;
    {
        std::lock_guard lock(this->mutex);
        TimePoint now = this->environment.clock.now();
        if (this->draining || (this->takeoverRetryAt && now < *this->takeoverRetryAt))
            return;
        reason = this->observer.takeoverReason(this->environment.clock.now());
        previous = this->observer.record().value_or(LeaseRecord {});
        version = this->observer.version();
    }
    if (reason == TakeoverReason::None || this->claimDelayed(reason))
        return;
    std::vector<MemberView> candidates = this->environment.membership.standbyCandidates(this->shardId);
    std::erase_if(candidates, [&](const MemberView& member) { return member.entry.node.node == previous.holder.node; });
    LeaseRecord claim;
    {
        std::lock_guard lock(this->mutex);
        // This node may have given a promise in the meantime.
        if (this->observer.takeoverReason(this->environment.clock.now()) == TakeoverReason::None)
            return;
        this->observer.takeoverStarted();
        claim = candidates.empty()
            ? this->observer.claim({}, {})
            : this->observer.claim(candidates.front().entry.node, candidates.front().entry.peerAddress);
    }
    std::vector<JournalBatch> fetched;
    if (!this->fetchBridgeCopies(reason, previous, fetched)) {
        std::lock_guard lock(this->mutex);
        this->observer.takeoverRejected();
        return;
    }
    // The copies are written before the claim. A claimant that failed after claiming would leave a fenced journal that
    // lacks the records that were only bridged.
    if (!this->createCopies(fetched)) {
        LogLine(LogLevel::Info, "takeover_delayed")
            .field("shard", this->shardId.toString())
            .field("reason", "the platform does not accept the copies of bridged batches")
            .field("copies", fetched.size())
            .write();
        this->delayTakeover();
        std::lock_guard lock(this->mutex);
        this->observer.takeoverRejected();
        return;
    }
    TimePoint startedAt = this->environment.clock.now();
    std::string encoded = encodeLease(claim);
    StoreResult result = version == 0 ? this->environment.store.create(this->key, encoded)
                                      : this->environment.store.update(this->key, encoded, version);
    if (result.status == StoreStatus::Unknown) {
        StoreResult current = this->environment.store.get(this->key);
        if (current.ok() && current.object.value == encoded)
            result = current;
    }
    if (!result.ok()) {
        LogLine(LogLevel::Info, "takeover_failed")
            .field("shard", this->shardId.toString())
            .field("reason", takeoverReasonNames.name(reason))
            .field("status", storeStatusNames.name(result.status))
            .write();
        this->delayTakeover();
        if (result.status == StoreStatus::RateLimited || result.status == StoreStatus::Unavailable) {
            std::lock_guard lock(this->mutex);
            this->observer.takeoverRejected();
        }
        this->observe();
        return;
    }
    LogLine(LogLevel::Info, "takeover")
        .field("shard", this->shardId.toString())
        .field("reason", takeoverReasonNames.name(reason))
        .field("epoch", claim.epoch)
        .field("previousHolder", previous.holder.node)
        .field("standby", claim.standby.node)
        .write();
    this->environment.counters.counter("shard.takeovers").add();
    {
        std::lock_guard lock(this->mutex);
        this->observer.observed(startedAt, claim, result.object.version);
        this->holder = HolderLease(this->settings.lease, this->environment.self, this->environment.selfAddress);
        this->holder.writeSucceeded(startedAt, claim, result.object.version);
        this->phase = Phase::Recovering;
        this->copyFetchFailingSince.reset();
        this->vacantSince.reset();
        this->problem.clear();
        this->changed.notify_all();
    }
    this->requestPromise();
    if (!previous.holderAddress.empty() && previous.holder.node != this->environment.self.node)
        this->environment.peers.failForwardsTo(previous.holderAddress);
    while (!this->recover(claim, fetched)) {
        if (!this->sleepUnlessStopping(tickInterval))
            return;
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::Recovering)
            return;
    }
}

// Recovers the journal and starts serving the shard. Returns false if the platform is unavailable and the recovery must
// be retried.
bool Shard::recover(const LeaseRecord& lease, const std::vector<JournalBatch>& fetched)
{
    TimePoint startedAt = this->environment.clock.now();
    JournalWriter writer { this->environment.self, lease.epoch };
    RecoveryStore store(this->environment.store, this->environment.clock, maxRecoveryRateLimitWait);
    store.prefetch(journalPrefix(this->shardId));
    return handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(recovered, recoverShard(store, this->shardId, writer, fetched));
            ProgramTable programs;
            BOOST_LEAF_CHECK(applyRecords(programs, recovered.records));
            for (const Record& record : resolveOpenCalls(programs))
                BOOST_LEAF_CHECK(applyRecords(programs, { record }));
            BOOST_LEAF_AUTO(position,
                writeSnapshot(store, this->shardId, writer, recovered.nextGeneration,
                    snapshotRecords(programs, this->settings.journal.maxBatchBytes / 2),
                    this->settings.journal.maxBatchBytes));
            std::size_t programCount = programs.size();
            Journal journal(this->shardId, writer, position, this->settings.journal);
            {
                std::lock_guard lock(this->mutex);
                if (this->phase != Phase::Recovering)
                    return true;
                this->state = std::make_shared<OwnedShard>(
                    this->shardId, lease.epoch, std::move(programs), std::move(journal), this->environment.clock);
                this->phase = Phase::Serving;
                this->copies.dropBefore({ recovered.nextGeneration, 0 });
                this->lastExtraCopy = {};
                this->platformDown = false;
                this->changed.notify_all();
            }
            this->environment.membership.announceToAll();
            removeGenerations(store, this->shardId, recovered.oldGenerations);
            LogLine(LogLevel::Info, "shard_recovered")
                .field("shard", this->shardId.toString())
                .field("epoch", lease.epoch)
                .field("generation", recovered.nextGeneration)
                .field("objects", recovered.objectsRead)
                .field("bridgeCopies", fetched.size())
                .field("programs", programCount)
                .field("millis", toMillis(this->environment.clock.now() - startedAt))
                .write();
            return true;
        },
        [&](const Error& error) {
            if (error.code == ErrorCode::Unavailable) {
                LogLine(LogLevel::Warning, "recovery_retry")
                    .field("shard", this->shardId.toString())
                    .field("message", error.message)
                    .write();
                return false;
            }
            LogLine(LogLevel::Error, "recovery_failed")
                .field("shard", this->shardId.toString())
                .field("code", errorCodeNames.name(error.code))
                .field("message", error.message)
                .write();
            if (error.code == ErrorCode::VersionConflict) {
                this->dropOwnership("a later epoch has sealed the journal");
                return true;
            }
            std::lock_guard lock(this->mutex);
            this->phase = Phase::Failed;
            this->problem = error.message;
            return true;
        });
}

} // namespace lovagecross
