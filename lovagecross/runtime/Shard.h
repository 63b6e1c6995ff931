#pragma once

// One shard of this node's data centre, in this node's role for it: observer, standby or owner. Three threads work on
// it, so that a slow platform does not delay the standby's promises: one takes over and renews the lease and writes
// bridged batches to the platform, one requests promises, and one commits the journal.
//
// A promise is the standby's commitment not to take the shard over for a limited time. An owner that has a standby may
// act only while it holds a promise. The bridge stores journal batches at the standby while the platform is
// unavailable.
//
// Thread safety: every member may be called from any thread. Lock order: the shard's lock, then the lock of its
// OwnedShard.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/lease/ShardLease.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/runtime/BridgeStore.h"
#include "lovagecross/runtime/Membership.h"
#include "lovagecross/runtime/OwnedShard.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace lovagecross {

struct ShardSettings {
    LeaseSettings lease;
    JournalSettings journal;
    Duration bridgeFetchTimeout = std::chrono::seconds(30);
    Duration drainTimeout = std::chrono::seconds(30); // how long a hand-over waits for running calls
    std::size_t bridgeBytes = 16 * 1024 * 1024; // limit per shard; 0 disables the bridge
};

// The state of a shard as shown to operators.
struct ShardView {
    ShardId id;
    std::optional<LeaseRecord> lease;
    bool ownedLocally = false;
    bool serving = false;
    std::optional<Duration> authorityLeft;
    std::size_t bridgedBytes = 0;
    std::string problem; // why the shard does not serve, such as a corrupt journal
};

// The components of the node that a shard uses.
struct ShardEnvironment {
    Clock& clock;
    ObjectStore& store;
    PeerClient& peers;
    Membership& membership;
    Counters& counters;
    BridgeBudget& bridgeBudget;
    NodeIncarnation self;
    std::string selfAddress;
};

class Shard {
public:
    Shard(ShardId id, ShardSettings settings, ShardEnvironment environment);
    ~Shard();
    Shard(const Shard&) = delete;
    Shard& operator=(const Shard&) = delete;

    const ShardId& id() const { return this->shardId; }

    void start();
    void stop();

    // Returns the shard's state while this node owns the shard and has recovered it, else null.
    std::shared_ptr<OwnedShard> owned() const;

    // Returns whether this node may act for the shard now. Must be checked right before each send to a backend server.
    bool hasAuthority() const;

    // Like hasAuthority, but waits for an expected promise, such as after a change of the standby.
    bool waitForAuthority(Duration longest) const;

    // Rejects new calls, waits for running ones up to the drain timeout, and releases the lease. Returns true if the
    // lease was released or this node did not own the shard.
    bool handOver();

    PromiseAnswer answerPromise(const PromiseRequest& request);
    BridgeAnswer keepBridgeBatch(const BridgeBatch& batch);
    void trimBridge(const BridgeTrim& trim);
    BridgeCopies bridgeCopies();

    // Marks the lease as released on behalf of its holder. Only for an operator who knows that the holder has stopped.
    bool forceRelease();

    // Prevents this node from taking the shard over from now on.
    void setDraining();

    ShardView view() const;

private:
    enum class Phase {
        Observing,
        Recovering,
        Serving,
        Failed, // the journal is corrupt: the lease is kept, so that no other node repeats the recovery
    };

    void leaseLoop();
    void promiseLoop();
    void commitLoop();

    void observe();
    bool observeDue() const;
    void tryTakeOver();
    bool completeRelease();
    bool claimDelayed(TakeoverReason reason);
    void fetchReplicatedCopies(const LeaseRecord& previous, std::vector<JournalBatch>& copies);
    bool fetchBridgeCopies(TakeoverReason reason, const LeaseRecord& previous, std::vector<JournalBatch>& copies);
    bool createCopies(const std::vector<JournalBatch>& copies);
    void delayTakeover();
    bool recover(const LeaseRecord& lease, const std::vector<JournalBatch>& copies);
    void maintainOwnership();
    bool writeLease(const LeaseRecord& record);
    void replicateBridgedBatches();
    void maintainStandby();
    void requestPromise();
    void drainBridge();
    void trimCopies(const std::optional<JournalPosition>& drained);
    void commitOnce(OwnedShard& ownedShard);
    FlushOutcome bridge(const JournalBatch& batch, std::uint64_t epoch);
    void compact(OwnedShard& ownedShard);
    void dropOwnership(const std::string& reason);
    bool sleepUnlessStopping(Duration duration);

    ShardId shardId;
    ShardSettings settings;
    ShardEnvironment environment;
    std::string key;

    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    Phase phase = Phase::Observing;
    HolderLease holder;
    LeaseObserver observer;
    BridgeStore copies;
    std::shared_ptr<OwnedShard> state;
    std::optional<TimePoint> lastObserved;
    std::optional<TimePoint> observeRetryAt; // set after a failed read of the lease object
    std::optional<TimePoint> vacantSince;
    std::optional<TimePoint> copyFetchFailingSince; // when fetching the standby's copies first failed
    std::optional<TimePoint> standbyChangeAt;
    std::optional<TimePoint> takeoverRetryAt;
    JournalPosition lastExtraCopy; // bridged batches up to here have a copy on another node besides the lost standby;
                                   // used only by the lease thread
    std::mt19937_64 random;
    std::string problem;
    std::uint64_t promisedEpoch = 0; // the highest epoch to which this node has given a promise
    std::uint64_t closedBridgeEpoch = 0; // bridge batches of this and earlier epochs are rejected
    std::size_t pendingBridgeSends = 0; // batches being sent to the standby
    bool draining = false;
    bool stopping = false;
    std::atomic<bool> platformDown { false }; // batches are bridged without trying the platform first

    std::thread leaseThread;
    std::thread promiseThread;
    std::thread commitThread;
};

} // namespace lovagecross
