#pragma once

// The other entry nodes through which this one can send calls while it reaches no backend server itself. A node that
// did not take a call is left out for as long as the reason lasts:
//  - busy: until the time that it named has passed;
//  - declined for another reason: for a short time;
//  - gone, as it stops: until it offers again to run calls;
//  - failed: for a short time, and for longer if it fails again soon after.
//
//     RelayTable relays(clock);
//     relays.replace(nodes);                          // as the record nodes know them
//     while (auto choice = relays.next(tried))        // in random order
//         ... send; then answered(), declined() or failed() ...
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/RelayDecline.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

struct RelayChoice {
    RelayNode node;
    bool isGuess = false; // all nodes are left out; this one may be usable again first
};

class RelayTable {
public:
    explicit RelayTable(const Clock& givenClock);

    // Replaces the nodes. An empty list is ignored: the nodes known so far may still serve.
    void replace(std::vector<RelayNode> known);

    // Returns up to `most` nodes that are not left out, in random order.
    std::vector<RelayNode> choose(std::size_t most);

    // Returns a random node that is not left out and whose address is not in `tried`. If there is none, returns the one
    // whose pause ends first. Nodes that failed or are gone are returned in this way only once in `failurePause`.
    std::optional<RelayChoice> next(const std::set<std::string>& tried);

    // Returns what is known of the node whose pause ends first, or nullopt if none is left out.
    std::optional<RelayKnowledge> whyLeftOut() const;

    bool empty() const;

    // The node could not be reached, or broke off.
    void failed(const std::string& address);

    // The node did not run a call and said why.
    void declined(const std::string& address, const RelayDecline& decline);

    // The node took a call that was sent at `sentAt`, so what was known before is over.
    void answered(const std::string& address, TimePoint sentAt);

    static constexpr Duration failurePause = std::chrono::milliseconds(700);
    static constexpr Duration declinePause = std::chrono::milliseconds(400);
    static constexpr Duration maxBusyPause = std::chrono::seconds(1);
    // Record nodes pass on an offer for no longer; one in a later list was made anew.
    static constexpr Duration maxOfferAge = std::chrono::milliseconds(2200);

private:
    struct Pause {
        RelayProblem problem = RelayProblem::Failed;
        TimePoint learnedAt;
        TimePoint until;
    };

    const Pause* pauseOf(const std::string& address, TimePoint now) const;
    const RelayNode* bestGuess(const std::set<std::string>& tried, TimePoint now) const;
    bool mayGuess(const Pause& pause, TimePoint now) const;

    const Clock& clock;
    mutable std::mutex mutex;
    std::vector<RelayNode> nodes;
    std::map<std::string, Pause> pauses; // by address
    std::optional<TimePoint> lastProbeAt; // of a node that had failed or was gone, before the end of its pause
    std::uint64_t random;
};

} // namespace lovagecross
