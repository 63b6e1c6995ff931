#pragma once

// Why an entry node takes no call of another one now, as it says itself or as the other one finds out.
//
// Thread safety: constants and free functions.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <optional>

namespace lovagecross {

// What a node that declines a call says of itself.
enum class DeclineReason {
    Unstated, // by a build that names no reason
    Busy, // it runs as many calls of other nodes as it may
    NoPath, // it lacks the path to the backend servers or to the record nodes
    OlderConfiguration, // than the node that sends the call
    Stopping,
};

inline constexpr NameTable<DeclineReason, 5> declineReasonNames { { {
    { DeclineReason::Unstated, "unstated" },
    { DeclineReason::Busy, "busy" },
    { DeclineReason::NoPath, "no_path" },
    { DeclineReason::OlderConfiguration, "older_configuration" },
    { DeclineReason::Stopping, "stopping" },
} } };

struct RelayDecline {
    DeclineReason reason = DeclineReason::Unstated;
    std::optional<Duration> retryAfter {};
};

// What is known of a node that is left out.
enum class RelayProblem {
    Declined, // it can't run the calls of this node at the moment
    Busy,
    Failed, // it could not be reached, or broke off
    Gone, // it stops
};

inline constexpr NameTable<RelayProblem, 4> relayProblemNames { { {
    { RelayProblem::Declined, "declined" },
    { RelayProblem::Busy, "busy" },
    { RelayProblem::Failed, "failed" },
    { RelayProblem::Gone, "gone" },
} } };

inline RelayProblem problemOf(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::Busy:
        return RelayProblem::Busy;
    case DeclineReason::Stopping:
        return RelayProblem::Gone;
    case DeclineReason::Unstated:
    case DeclineReason::NoPath:
    case DeclineReason::OlderConfiguration:
        break;
    }
    return RelayProblem::Declined;
}

// Why a node is left out, and for how long that has been known.
struct RelayKnowledge {
    RelayProblem problem = RelayProblem::Failed;
    Duration age {};
};

} // namespace lovagecross
