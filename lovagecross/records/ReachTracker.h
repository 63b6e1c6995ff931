#pragma once

// Whether an entry node can reach enough record nodes, and if not, why: what callers are told depends on it. Pure.
//
//     ReachTracker tracker;
//     tracker.round(answered, enough, now);          // a vote or a probe has ended
//     if (tracker.state(now) == Reach::Cut) ...      // refuse at once and report not ready
//
// Load patterns it answers: a node or a data centre that is cut off while calls keep arriving. One round without a
// majority may be a lost packet or a busy disk, so a second one, a probe, has to confirm it. While the node is cut off,
// calls are refused without waiting, so that their callers turn to nodes that can serve them.
//
// Thread safety: not synchronized; the owner guards it with one lock.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>

namespace lovagecross {

enum class Reach {
    Unknown, // nothing was tried yet
    Reachable,
    Doubtful, // the last round found no majority; a probe decides
    Cut,
};

inline constexpr NameTable<Reach, 4> reachNames { { {
    { Reach::Unknown, "unknown" },
    { Reach::Reachable, "reachable" },
    { Reach::Doubtful, "doubtful" },
    { Reach::Cut, "cut" },
} } };

// What the other nodes that were asked say about their own reach.
struct PeerOpinions {
    std::size_t asked = 0;
    std::size_t reaching = 0;
    std::size_t cut = 0;
};

class ReachTracker {
public:
    // A round of votes or a probe found a majority or not. `nearAnswered`: a record node of the own data centre was
    // among those that answered.
    void round(bool enough, bool nearAnswered, bool isProbe, TimePoint now);

    void heard(const PeerOpinions& opinions) { this->opinions = opinions; }

    Reach reach() const { return this->current; }

    // Whether the node should ask the balancer for no more calls: it is cut off, and not because no node at all reaches
    // the record nodes, since calls that need no records can be served then as well here as elsewhere.
    bool shouldTurnAway() const;

    // When a refused caller should come back. Another node of the data centre can serve it at once if only this node is
    // cut off; if the data centre is, the balancer first has to notice.
    Duration retryAfter(TimePoint now) const;

    static constexpr Duration balancerNotice = std::chrono::milliseconds(2300); // two missed checks, one a second

private:
    Reach current = Reach::Unknown;
    bool dataCentreCut = false;
    TimePoint cutSince;
    PeerOpinions opinions;
};

} // namespace lovagecross
