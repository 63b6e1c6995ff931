// How the owner keeps its authority: lease renewals, promises of the standby, and changes of the standby.
#include "lovagecross/runtime/Shard.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/ShardInternals.h"

#include <algorithm>

namespace lovagecross {

using detail::bridgeTimeout;
using detail::promiseTimeout;
using detail::standbyChangeInterval;
using detail::tickInterval;
using detail::toMessage;

void Shard::leaseLoop()
{
    while (this->sleepUnlessStopping(tickInterval)) {
        Phase current;
        {
            std::lock_guard lock(this->mutex);
            current = this->phase;
        }
        if (current == Phase::Observing) {
            if (this->observeDue())
                this->observe();
            this->tryTakeOver();
        } else {
            this->maintainOwnership();
        }
    }
}

// Writes the lease record of this node, the holder. Returns whether the write took effect. If the object names another
// holder or epoch, the shard is lost.
bool Shard::writeLease(const LeaseRecord& record)
{
    std::uint64_t version = 0;
    {
        std::lock_guard lock(this->mutex);
        version = this->holder.version();
    }
    TimePoint startedAt = this->environment.clock.now();
    std::string encoded = encodeLease(record);
    StoreResult result = this->environment.store.update(this->key, encoded, version);
    if (result.status == StoreStatus::Unknown || result.status == StoreStatus::Conflict) {
        // A conflict can also mean that an earlier write succeeded although its answer was lost.
        StoreResult current = this->environment.store.get(this->key);
        if (!current.ok())
            return false;
        if (current.object.value == encoded) {
            result = current;
        } else {
            LeaseRecord stored = handle([&] { return decodeLease(this->key, current.object.value); },
                [](const Error&) { return LeaseRecord {}; });
            std::lock_guard lock(this->mutex);
            bool stillHolder
                = stored.holder == this->environment.self && stored.epoch == record.epoch && !stored.released;
            if (stillHolder) {
                this->holder.writeSucceeded(startedAt, stored, current.object.version);
                return false;
            }
        }
    }
    if (result.ok()) {
        std::lock_guard lock(this->mutex);
        this->holder.writeSucceeded(startedAt, record, result.object.version);
        return true;
    }
    if (result.status == StoreStatus::Conflict || result.status == StoreStatus::NotFound) {
        this->dropOwnership("the lease object names another holder");
    } else if (result.status != StoreStatus::Unknown) {
        std::lock_guard lock(this->mutex);
        this->holder.standbyChangeRejected();
    }
    return false;
}

void Shard::maintainOwnership()
{
    std::shared_ptr<OwnedShard> ownedShard = this->owned();
    if (ownedShard && ownedShard->lost()) {
        this->dropOwnership("the journal was sealed by another owner");
        return;
    }
    std::optional<LeaseRecord> renewal;
    {
        std::lock_guard lock(this->mutex);
        if (this->holder.renewalDue(this->environment.clock.now()))
            renewal = this->holder.renewal();
    }
    if (renewal)
        this->writeLease(*renewal);
    this->drainBridge();
    this->replicateBridgedBatches();
    this->maintainStandby();
}

// Sends the bridged batches to another node when the standby does not respond, because until the platform is available
// again this node would have the only copy. These copies don't make records durable, so no answer waits for them.
void Shard::replicateBridgedBatches()
{
    std::shared_ptr<OwnedShard> ownedShard = this->owned();
    LeaseRecord lease;
    {
        std::lock_guard lock(this->mutex);
        lease = this->holder.record();
        if (!ownedShard || lease.standby.empty() || !this->holder.standbySuspect(this->environment.clock.now()))
            return;
    }
    for (const MemberView& member : this->environment.membership.standbyCandidates(this->shardId)) {
        if (member.entry.node == lease.standby)
            continue;
        std::size_t kept = 0;
        for (const JournalBatch& batch : ownedShard->bridgedBatchesAfter(this->lastExtraCopy)) {
            PeerResult result = this->environment.peers.request(
                member.entry.peerAddress, toMessage(batch, ownedShard->epoch()), bridgeTimeout, {});
            const auto* answer = std::get_if<BridgeAnswer>(&result.answer);
            if (result.status != PeerStatus::Ok || !answer || !answer->stored)
                break;
            this->lastExtraCopy = batch.position;
            ++kept;
        }
        if (kept == 0)
            continue;
        this->environment.counters.counter("bridge.extra_copies").add(kept);
        LogLine(LogLevel::Warning, "bridge_extra_copies")
            .field("shard", this->shardId.toString())
            .field("node", member.entry.node.node)
            .field("batches", kept)
            .write();
        return;
    }
}

void Shard::maintainStandby()
{
    TimePoint now = this->environment.clock.now();
    LeaseRecord current;
    bool suspect = false;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase == Phase::Observing
            || (this->standbyChangeAt && now - *this->standbyChangeAt < standbyChangeInterval))
            return;
        // Batches stored only by the standby must reach the platform before the standby is replaced.
        if (this->pendingBridgeSends > 0 || this->platformDown || (this->state && this->state->bridgedBytes() > 0))
            return;
        current = this->holder.record();
        suspect = this->holder.standbySuspect(now);
    }
    std::vector<MemberView> candidates = this->environment.membership.standbyCandidates(this->shardId);
    if (suspect)
        std::erase_if(candidates, [&](const MemberView& member) { return member.entry.node == current.standby; });
    if (current.standby.empty() ? candidates.empty() : !suspect)
        return;
    LeaseRecord next;
    {
        std::lock_guard lock(this->mutex);
        if (this->pendingBridgeSends > 0)
            return;
        this->standbyChangeAt = now;
        this->holder.standbyChangeStarted(this->environment.clock.now());
        next = candidates.empty()
            ? this->holder.withStandby({}, {})
            : this->holder.withStandby(candidates.front().entry.node, candidates.front().entry.peerAddress);
    }
    bool written = this->writeLease(next);
    LogLine(LogLevel::Info, "standby_change")
        .field("shard", this->shardId.toString())
        .field("from", current.standby.node)
        .field("to", next.standby.node)
        .field("written", written)
        .write();
    if (written)
        this->requestPromise();
}

void Shard::promiseLoop()
{
    while (this->sleepUnlessStopping(tickInterval)) {
        bool due = false;
        {
            std::lock_guard lock(this->mutex);
            TimePoint now = this->environment.clock.now();
            // Without authority all calls are blocked, so the promise is requested on every tick.
            due = this->phase != Phase::Observing && (this->holder.promiseDue(now) || !this->holder.hasAuthority(now));
        }
        if (due)
            this->requestPromise();
    }
}

void Shard::requestPromise()
{
    PromiseRequest request;
    std::string address;
    TimePoint sentAt = this->environment.clock.now();
    {
        std::lock_guard lock(this->mutex);
        const LeaseRecord& record = this->holder.record();
        if (this->phase == Phase::Observing || record.standby.empty())
            return;
        request = { this->shardId, record.epoch, record.holder, record.standby };
        address = record.standbyAddress;
        this->holder.promiseRequested(sentAt);
    }
    PeerResult result = this->environment.peers.request(address, request, promiseTimeout, {});
    this->environment.counters.counter("peer.promise_requests").add();
    TimePoint answeredAt = this->environment.clock.now();
    const auto* answer = std::get_if<PromiseAnswer>(&result.answer);
    if (result.status != PeerStatus::Ok || !answer)
        return;
    this->environment.membership.recordContact(answer->from);
    std::lock_guard lock(this->mutex);
    if (answer->promised)
        this->holder.promiseReceived(sentAt, answer->epoch, answer->from, answer->duration);
    else if (answer->from.node == request.standby.node && answer->from.incarnation != request.standby.incarnation)
        this->holder.standbyRestarted(sentAt, answeredAt, answer->from);
}

} // namespace lovagecross
