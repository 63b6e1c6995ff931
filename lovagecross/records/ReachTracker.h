#pragma once

// Tracks whether an entry node can reach enough record nodes, and whether a failure affects only this node or its whole
// data centre. The responses to callers depend on it. Does no I/O.
//
//     ReachTracker tracker;
//     tracker.recordRound(enough, nearAnswered, isProbe, now); // a round of votes or a probe has ended
//     if (tracker.reachability() == Reachability::Partitioned) ... // reject calls, report not ready
//
// It handles a node or a data centre that is partitioned from the record nodes while calls keep arriving. One round
// without a majority may be due to a lost packet or a busy disk, so a second one, a probe, has to confirm it. While the
// node is partitioned, calls are rejected immediately so that callers retry on nodes that can serve them.
//
// Thread safety: not synchronized; the owner must hold a lock.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>

namespace lovagecross {

enum class Reachability {
    Unknown, // no round has ended yet
    Reachable,
    Suspected, // the last round found no majority; a probe has to confirm it
    Partitioned, // a probe has confirmed that no majority responds
};

inline constexpr NameTable<Reachability, 4> reachNames { { {
    { Reachability::Unknown, "unknown" },
    { Reachability::Reachable, "reachable" },
    { Reachability::Suspected, "doubtful" },
    { Reachability::Partitioned, "cut" },
} } };

// Counts of what other entry nodes report about their own connection to the record nodes.
struct PeerReachability {
    std::size_t asked = 0;
    std::size_t reachable = 0;
    std::size_t partitioned = 0;
};

class ReachTracker {
public:
    // Records the result of a round of votes or of a probe. `enough` is whether a majority responded, `nearAnswered`
    // whether a record node of the own data centre did.
    void recordRound(bool enough, bool nearAnswered, bool isProbe, TimePoint now);

    void recordPeerReachability(const PeerReachability& reported) { this->peers = reported; }

    Reachability reachability() const { return this->current; }

    // Returns whether the node should leave the load balancer's rotation. This is the case while it is partitioned,
    // except if no node reaches the record nodes: this node can then serve calls without records as well as any other.
    bool shouldLeaveRotation() const;

    // Returns the retry delay for a rejected caller. If only this node is partitioned, another node of the data centre
    // can serve the call immediately. If the data centre is, the load balancer first has to detect that.
    Duration retryAfter(TimePoint now) const;

    // Time in which the load balancer detects a failure: two missed checks, one per second.
    static constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2300);

private:
    Reachability current = Reachability::Unknown;
    bool dataCentrePartitioned = false;
    TimePoint unreachableSince;
    PeerReachability peers;
};

} // namespace lovagecross
