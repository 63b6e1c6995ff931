#pragma once

// Decides for one service which share of a node's calls may leave its data centre, and for which data centres.
//
//     SpillDecision next = decideSpill(last, input, settings, now);
//     if (next.share > draw) ... send the call to next.targets, while fewer than `limit` of this node are there ...
//
// Behaviour by load pattern:
//  - demand below the comfortable load: no call leaves;
//  - a flood, or too few servers: the share grows by steps up to the demand in excess, while waiting here costs more
//    than waiting there and the way together;
//  - two data centres in need: none of them has room, so no call leaves;
//  - demand that swings: a data centre takes calls or sends some, never both, and changes its role only after a pause;
//  - knowledge that is older than `maxSummaryAge`, or whose number of nodes has just changed: no call leaves.
//
// The calls that the nodes of all data centres may have in a target stay within its room. A node's limit is the one
// that it had reported when the summary was made plus its part of the room that was free then. So any number of
// decisions on the same summary add up to the room at most. A node whose limit is unused lowers it, which frees room
// for the others.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/ports/Peer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagecross {

struct SpillSettings {
    Duration maxSummaryAge = std::chrono::seconds(1); // older knowledge counts as no room
    double startMillis = 20; // calls start to leave for a data centre if each gains more than this
    double stopMillis = 5; // they stop if each gains no more than this
    double shareStep = 0.1; // largest change of the share for one summary
    double comfortableLoad = 0.75; // part of the slots; calls wait above it
    double fillableLoad = 0.8; // part of the slots of a target that calls may fill; the rest is for its own callers
    double crossingMillis = 4; // round trip between data centres, and the price of its use
    double millisPerMegabyte = 10; // transfer of a call and its answer
    double prefillTokensPerMilli = 40; // prompt tokens that an engine reads in a millisecond
    double defaultCallMillis = 150; // for a service without measured calls
    Duration roleChangePause = std::chrono::milliseconds(1500); // from the last call taken to the first one sent
};

// What is known of one service in one data centre.
struct DataCentreLoad {
    std::string dataCentre;
    std::uint32_t slots = 0; // of its ready servers
    ServiceLoad load; // summed over its entry nodes
    std::uint32_t nodes = 0; // entry nodes; valid also if the summary is too old
    Duration age = Duration::max(); // of the summary
    bool steady = true; // the number of nodes has hardly changed lately, so the sum is taken to have each node once
};

// Means over the calls of one service.
struct CallSize {
    double bytes = 0; // of the call and its answer
    double promptTokens = 0; // that another engine has to read again; 0 for plain calls
};

// The part of this node's former limit in a data centre that it keeps: the lowest limit since the summary was made, or
// the most calls that it had there lately, if that is less.
struct KeptCalls {
    std::string dataCentre;
    std::uint32_t limit = 0;
};

struct SpillInput {
    std::string dataCentre; // of this node
    std::uint32_t rank = 0; // of this node among the entry nodes of its data centre, from 0, or noRank
    std::vector<DataCentreLoad> dataCentres;
    std::vector<KeptCalls> kept;
    CallSize size;
    TimePoint observedAt; // when the summaries arrived; a later time than that of the last decision is new knowledge
};

enum class SpillReason {
    NoNeed, // servers here are no worse than others
    Pays,
    OldKnowledge,
    NoRoom,
    TakesCalls, // of other data centres, or did so until just now
};

inline constexpr NameTable<SpillReason, 5> spillReasonNames { { {
    { SpillReason::NoNeed, "no_need" },
    { SpillReason::Pays, "pays" },
    { SpillReason::OldKnowledge, "old_knowledge" },
    { SpillReason::NoRoom, "no_room" },
    { SpillReason::TakesCalls, "takes_calls" },
} } };

struct SpillTarget {
    std::string dataCentre;
    std::uint32_t limit = 0; // calls of this node there
    double gainMillis = 0; // of a call that goes there
};

struct SpillDecision {
    double share = 0; // of the node's calls, 0 to 1
    std::vector<SpillTarget> targets; // the greatest gain first; not empty if the share is above 0
    SpillReason reason = SpillReason::NoNeed;
    double waitMillis = 0; // expected in this data centre, were no call to leave
    TimePoint observedAt; // when the newest summaries arrived that were decided on
    TimePoint tookAt = TimePoint::min(); // when this data centre was last seen to take calls
};

// Number of calls of a service that a data centre would have at its servers if none left it, refused ones included.
double demandOf(const DataCentreLoad& dataCentre);

// Expected time that a call waits, in milliseconds, if `calls` are to run in the data centre.
double waitMillis(const DataCentreLoad& dataCentre, double calls, const SpillSettings& settings);

// What it costs a call to leave, in milliseconds.
double wayMillis(const CallSize& size, const SpillSettings& settings);

// Number of calls that a data centre can take in addition to those that run there; negative if it has too many.
std::int64_t roomOf(
    const DataCentreLoad& target, const std::vector<DataCentreLoad>& dataCentres, const SpillSettings& settings);

// `last` is the former decision for the same service; a default one at first.
SpillDecision decideSpill(
    const SpillDecision& last, const SpillInput& input, const SpillSettings& settings, TimePoint now);

} // namespace lovagecross
