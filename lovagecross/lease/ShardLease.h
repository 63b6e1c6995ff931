#pragma once

// Decides which node may act for a shard, from the shard's lease object on the platform and the promises of its
// standby. The lease names a holder and a standby. The holder has authority only while the standby promises not to take
// over; once the promise has expired, the standby may claim the lease under the next epoch. docs/design.md, section
// 4.1, gives the rules and the reasons.
//
// This component does no I/O: the caller reads and writes the object and sends the messages.
//
//     HolderLease lease(settings, self, selfAddress);
//     lease.writeSucceeded(writeStartedAt, record, version);       // a conditional update succeeded
//     lease.promiseReceived(requestSentAt, epoch, from, duration); // the standby made a promise
//     if (lease.hasAuthority(now)) ... send
//
// All times are readings of the local monotonic clock. A holder measures a period from before it sent the request and
// shortens the period by maxClockDrift; a standby or another observer measures it from after it received the message
// and lengthens it by maxClockDrift. A holder's authority therefore ends before any other node may take over, provided
// that no clock's rate is off by more than maxClockDrift.
//
// Thread safety: not synchronized. Each object belongs to one shard and is guarded by that shard's lock.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecross {

struct LeaseSettings {
    // Length of a standby's promise. With 4 s, a takeover completes within 5 s + 1 s.
    Duration leaseDuration = std::chrono::seconds(4);
    Duration promiseInterval = std::chrono::seconds(1); // between two promise requests
    // Any node may take over a lease object that has not been renewed at the platform for this long.
    Duration horizon = std::chrono::minutes(10);
    double maxClockDrift = 0.01; // upper bound of the relative error of a clock's rate
};

// The value of the platform object `shards/<dataCentre>/<shard>`.
struct LeaseRecord {
    NodeIncarnation holder;
    std::string holderAddress; // peer address, host:port
    std::uint64_t epoch = 0; // incremented by each change of holder
    NodeIncarnation standby; // empty if the shard has no standby
    std::string standbyAddress;
    bool released = false; // the holder has stopped acting for the shard; any node may take over at once
    std::uint64_t renewals = 0; // incremented by each renewal, so that the object's version increases

    bool operator==(const LeaseRecord&) const = default;
};

std::string leaseKey(const ShardId& shard);
std::string encodeLease(const LeaseRecord& record); // as JSON
// Errors: CorruptData naming `key`.
Result<LeaseRecord> decodeLease(std::string_view key, std::string_view json);

// A lease as its holder sees it: computes until when the holder may act for the shard.
class HolderLease {
public:
    HolderLease(LeaseSettings settings, NodeIncarnation self, std::string selfAddress);

    // Called when a create or update of the lease object has succeeded; `startedAt` is the time before it was sent.
    void writeSucceeded(TimePoint startedAt, LeaseRecord record, std::uint64_t version);

    // Called when a node has promised not to take over for `duration`; `requestSentAt` is the time before the request
    // was sent. Ignores a promise for another epoch or from an incarnation that is not the record's standby.
    void promiseReceived(TimePoint requestSentAt, std::uint64_t epoch, const NodeIncarnation& from, Duration duration);

    // Called when the process at the standby's address has answered with another incarnation, so that the registered
    // standby is dead. The holder needs no further promise if that incarnation did not take over before it died. This
    // is certain if the answer arrived before the last promise expired, or once a write that started after the answer
    // has succeeded. Ignored if the request was sent before the standby was registered, since an earlier incarnation
    // may have answered it.
    void standbyRestarted(TimePoint requestSentAt, TimePoint answeredAt, const NodeIncarnation& replacement);

    // Must be called before a write that names another standby is sent. Until `writeSucceeded` or
    // `standbyChangeRejected`, authority ends at most a leaseDuration after `now`: the write may take effect although
    // its answer is lost, and the new standby may take over a leaseDuration after it has read the record that names it.
    void standbyChangeStarted(TimePoint now);

    // Called when the platform has rejected that write (Conflict, RateLimited, Unavailable), so it never takes effect.
    // After an Unknown result, only a later successful write such as a renewal rules out that it takes effect.
    void standbyChangeRejected();

    // Whether another standby may have been registered without this holder knowing. The caller must not send journal
    // copies to a standby while this is true.
    bool standbyChangePending() const { return this->standbyChangeStartedAt.has_value(); }

    // Called when the lease object shows another holder or epoch, or when another owner has sealed the journal.
    // This node has no authority under this epoch any more.
    void markLost();

    bool hasAuthority(TimePoint now) const;
    std::optional<TimePoint> authorityEnd() const;

    bool renewalDue(TimePoint now) const;
    bool promiseDue(TimePoint now) const;
    void promiseRequested(TimePoint now);

    // Whether another standby should be registered: the current one has not answered for half of leaseDuration or was
    // replaced by another incarnation. False if the record names no standby.
    bool standbySuspect(TimePoint now) const;

    const LeaseRecord& record() const { return this->current; }
    std::uint64_t version() const { return this->currentVersion; }
    bool held() const { return this->isHeld; }

    // The records to write for a renewal, for another standby (call standbyChangeStarted first) and for a release (call
    // markLost first).
    LeaseRecord renewal() const;
    LeaseRecord withStandby(const NodeIncarnation& standby, std::string address) const;
    LeaseRecord release() const;

private:
    LeaseSettings settings;
    NodeIncarnation self;
    std::string selfAddress;
    LeaseRecord current;
    std::uint64_t currentVersion = 0;
    bool isHeld = false;
    std::optional<TimePoint> standbyReplacedAt; // arrival of the first answer from another incarnation
    bool standbyTakeoverExcluded = false; // the dead standby has not taken over and never will
    TimePoint lastWriteStartedAt; // start of the last successful write; the horizon is measured from here
    std::optional<TimePoint> promisedUntil;
    std::optional<TimePoint> lastPromiseRequest;
    std::optional<TimePoint> standbyChangeStartedAt;
    TimePoint lastAnsweredRequestAt; // send time of the last answered promise request; initially standbyRegisteredAt
    TimePoint standbyRegisteredAt; // start of the write that registered the standby
};

// Why this node may take over a shard.
enum class TakeoverReason {
    None, // it may not take over now
    Vacant, // there is no lease object
    Released, // the holder has released the lease
    SameNode, // the holder is an earlier incarnation of this node at the same address
    Standby, // this incarnation read at least a leaseDuration ago that it is the standby, and its promise has expired
    Horizon, // the lease object has not changed for the horizon
};

inline constexpr NameTable<TakeoverReason, 6> takeoverReasonNames { { {
    { TakeoverReason::None, "none" },
    { TakeoverReason::Vacant, "vacant" },
    { TakeoverReason::Released, "released" },
    { TakeoverReason::SameNode, "same_node" },
    { TakeoverReason::Standby, "standby" },
    { TakeoverReason::Horizon, "horizon" },
} } };

// A lease as seen by a node that doesn't hold it: follows the lease object, makes promises to the holder if this node
// is the standby, and decides when this node may take over.
class LeaseObserver {
public:
    LeaseObserver(LeaseSettings settings, NodeIncarnation self, std::string selfAddress);

    // Called with the result of a read of the lease object; `now` is the time after the read returned. A gap of more
    // than horizon / 10 between two reads restarts the horizon. Without this rule any node could take over as soon as a
    // long platform outage ends, before the standby could write its bridge copies to the platform.
    void observed(TimePoint now, const std::optional<LeaseRecord>& record, std::uint64_t version);

    // Answers a promise request from `holder`. Returns the promised duration, or nullopt if this incarnation must not
    // promise: it is not the standby in the record it has read, or it has started a takeover. A request for an epoch
    // newer than that record's, or before any record was read, is accepted: the holder may ask before this node has
    // read the record that names it.
    std::optional<Duration> promise(TimePoint now, std::uint64_t epoch, const NodeIncarnation& holder);

    // Must be called before the conditional update of a takeover is sent. `promise` returns nullopt from then on until
    // `observed` reports another version, so that no promise is valid when a slow update takes effect.
    void takeoverStarted();

    // Called when the platform has rejected the conditional update (RateLimited, Unavailable), so it never takes
    // effect.
    void takeoverRejected();

    // Whether a takeover was started and its update may still take effect.
    bool takeoverPending() const { return this->takeoverInFlight; }

    TakeoverReason takeoverReason(TimePoint now) const;

    // The record to write for a takeover: this node as holder, the next epoch and `standby`.
    LeaseRecord claim(const NodeIncarnation& standby, std::string standbyAddress) const;

    const std::optional<LeaseRecord>& record() const { return this->current; }
    std::uint64_t version() const { return this->currentVersion; }

private:
    LeaseSettings settings;
    NodeIncarnation self;
    std::string selfAddress;
    std::optional<LeaseRecord> current;
    std::uint64_t currentVersion = 0;
    std::optional<TimePoint> lastReadAt;
    TimePoint horizonStart; // first read of this version, or first read after a gap between reads
    TimePoint selfStandbySince; // first read of a record that names this incarnation as standby
    std::optional<TimePoint> promisedUntil;
    std::uint64_t promisedEpoch = 0;
    bool takeoverInFlight = false;
};

} // namespace lovagecross
