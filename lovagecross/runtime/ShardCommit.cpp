// How the owner makes records durable: group commit, bridging during a platform outage, and compaction.
#include "lovagecross/runtime/Shard.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/ShardInternals.h"

namespace lovagecross {

using detail::bridgeTimeout;
using detail::platformProbeInterval;
using detail::tickInterval;
using detail::toMessage;

void Shard::commitLoop()
{
    while (true) {
        std::shared_ptr<OwnedShard> ownedShard;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait_for(lock, tickInterval, [&] { return this->stopping || this->phase == Phase::Serving; });
            if (this->stopping)
                return;
            ownedShard = this->state;
        }
        if (!ownedShard)
            continue;
        WaitResult work = ownedShard->waitForWork(tickInterval);
        if (work == WaitResult::Ready)
            this->commitOnce(*ownedShard);
        else if (work == WaitResult::Lost)
            this->sleepUnlessStopping(tickInterval);
        if (ownedShard->compactionDue() && !ownedShard->lost())
            this->compact(*ownedShard);
    }
}

void Shard::commitOnce(OwnedShard& ownedShard)
{
    std::optional<JournalBatch> batch = ownedShard.beginFlush();
    if (!batch)
        return;
    FlushOutcome outcome = FlushOutcome::Retry;
    // Journal objects must be created in order. While an earlier batch is only bridged, drainBridge alone writes to the
    // platform.
    if (!this->platformDown && ownedShard.bridgedBytes() == 0)
        outcome = writeBatch(this->environment.store, *batch);
    if (outcome == FlushOutcome::Retry)
        outcome = this->bridge(*batch, ownedShard.epoch());
    ownedShard.finishFlush(outcome);
    if (outcome == FlushOutcome::Fenced) {
        ownedShard.markLost();
        return;
    }
    if (outcome == FlushOutcome::Retry)
        this->sleepUnlessStopping(tickInterval);
}

// Sends a batch that could not be written to the platform to the standby. `epoch` is the epoch of the batch's journal;
// it is outdated if this node has taken the shard over again since.
FlushOutcome Shard::bridge(const JournalBatch& batch, std::uint64_t epoch)
{
    LeaseRecord lease;
    {
        std::lock_guard lock(this->mutex);
        lease = this->holder.record();
        bool mayBridge = this->phase == Phase::Serving && this->holder.hasAuthority(this->environment.clock.now())
            && lease.epoch == epoch && !this->holder.standbyChangePending() && !lease.standby.empty();
        std::size_t bridged = this->state ? this->state->bridgedBytes() : 0;
        if (!mayBridge || bridged + batch.bytes.size() > this->settings.bridgeBytes) {
            this->environment.counters.counter("bridge.refused").add();
            // Nothing is bridged, so the next flush may try the platform again.
            if (bridged == 0)
                this->platformDown = false;
            return FlushOutcome::Retry;
        }
        ++this->pendingBridgeSends;
    }
    PeerResult result
        = this->environment.peers.request(lease.standbyAddress, toMessage(batch, epoch), bridgeTimeout, {});
    std::lock_guard lock(this->mutex);
    --this->pendingBridgeSends;
    const auto* answer = std::get_if<BridgeAnswer>(&result.answer);
    bool kept = result.status == PeerStatus::Ok && answer && answer->stored && answer->from == lease.standby;
    // Without authority the standby may already have started its takeover, and its copy no longer counts.
    bool current = this->holder.record().epoch == epoch && this->holder.hasAuthority(this->environment.clock.now());
    if (!kept || !current)
        return FlushOutcome::Retry;
    if (!this->platformDown.exchange(true))
        LogLine(LogLevel::Warning, "bridge_open")
            .field("shard", this->shardId.toString())
            .field("standby", lease.standby.node)
            .write();
    this->environment.counters.counter("bridge.batches").add();
    return FlushOutcome::Bridged;
}

// Tells the nodes that may store copies which of them the platform has now. If a message is lost, the receiver keeps
// its copies in memory until the next trim.
void Shard::trimCopies(const std::optional<JournalPosition>& drained)
{
    if (!drained)
        return;
    for (const MemberView& member : this->environment.membership.standbyCandidates(this->shardId))
        this->environment.peers.notify(
            member.entry.peerAddress, BridgeTrim { this->shardId, drained->generation, drained->sequence });
}

// Writes the bridged batches to the platform, oldest first, once it is available again.
void Shard::drainBridge()
{
    std::shared_ptr<OwnedShard> ownedShard = this->owned();
    if (!ownedShard || (!this->platformDown && ownedShard->bridgedBytes() == 0))
        return;
    std::optional<JournalPosition> drained;
    while (std::optional<JournalBatch> batch = ownedShard->oldestBridgedBatch()) {
        FlushOutcome outcome = writeBatch(this->environment.store, *batch);
        if (outcome == FlushOutcome::Fenced) {
            ownedShard->markLost();
            return;
        }
        if (outcome != FlushOutcome::Committed) {
            this->trimCopies(drained);
            this->sleepUnlessStopping(platformProbeInterval);
            return;
        }
        ownedShard->bridgedBatchesWritten(batch->position);
        drained = JournalPosition { batch->position.generation, batch->position.sequence + 1 };
    }
    this->trimCopies(drained);
    {
        std::lock_guard lock(this->mutex);
        if (this->pendingBridgeSends > 0)
            return;
        this->platformDown = false;
    }
    LogLine(LogLevel::Info, "bridge_drained").field("shard", this->shardId.toString()).write();
}

void Shard::compact(OwnedShard& ownedShard)
{
    JournalWriter writer { this->environment.self, ownedShard.epoch() };
    JournalPosition sealed = ownedShard.position();
    std::uint32_t next = sealed.generation + 1;
    std::vector<Record> snapshot = ownedShard.beginSnapshot(this->settings.journal.maxBatchBytes / 2);
    bool sealWritten = false;
    while (!ownedShard.lost()) {
        bool done = handle(
            [&]() -> Result<bool> {
                if (!sealWritten) {
                    BOOST_LEAF_AUTO(bytes, encodeBatch(writer, { Seal { writer.epoch, writer.node, next } }));
                    FlushOutcome outcome = writeBatch(this->environment.store, { this->shardId, sealed, bytes });
                    if (outcome == FlushOutcome::Fenced)
                        return fail(ErrorCode::VersionConflict, {}, "the journal was sealed by another owner");
                    if (outcome != FlushOutcome::Committed)
                        return false;
                    sealWritten = true;
                }
                BOOST_LEAF_AUTO(position,
                    writeSnapshot(this->environment.store, this->shardId, writer, next, snapshot,
                        this->settings.journal.maxBatchBytes));
                ownedShard.finishSnapshot(position);
                removeGenerations(this->environment.store, this->shardId, { sealed.generation });
                this->environment.counters.counter("journal.compactions").add();
                return true;
            },
            [&](const Error& error) {
                if (error.code != ErrorCode::Unavailable)
                    ownedShard.markLost();
                return false;
            });
        if (done || !this->sleepUnlessStopping(platformProbeInterval))
            return;
    }
}

} // namespace lovagecross
