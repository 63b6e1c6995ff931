#pragma once

// Chooses the backend server for a call. A pure function of the request and the known state of each candidate.
//
//     PlacementDecision decision = choosePlacement(request, candidates, settings, random);
//     if (decision.chosen)
//         send to candidates[*decision.chosen]
//
// `BackendTable` provides the candidates. One decision over 1,300 candidates takes at most 50 us (docs/design.md,
// section 9).
//
// Thread safety: thread-safe; free functions without shared state.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct PlacementSettings {
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 60; // per request
    double kvTransferTokensPerSecond = 60000;
    double modelLoadMillis = 15000;
    double otherDataCentreMillis = 0.5; // added for a server in another data centre
    double unknownLoadMillis = 20; // penalty for a server without a load report
    double tieMillis = 5; // precision of the estimates: costs that differ by at most this much count as equal
    // Cost of a fully occupied server, which may have no free slot when its programs send their next calls. The cost is
    // proportional to the share of occupied slots.
    double occupancyMillis = 80;
    // Weight of prefill and transfer time. They also delay other calls on the server, and the caller's next turn
    // repeats the prefill if its cache stays on another server. A call therefore moves to another server only if this
    // saves `recomputeWeight` times the additional prefill time. With 6 and an occupancyMillis of 80,
    // `lovagecross-bench cache` and `load` meet their targets for seeds 1 to 6; with a weight of 1 and no occupancy
    // cost the engines recompute 32% of the prefix tokens, and with weights of 12 and above queues grow.
    double recomputeWeight = 6;
    // Cost of a server without a free slot while slots are scarce, so that free slots on other servers are used.
    // Without it, calls kept queueing on full servers with warm caches, and servers that had recovered from a failure
    // stayed idle.
    double scarceSlotMillis = 2000;
    // Expected answer length as a fraction of maxTokens, for servers without measured call durations.
    double expectedAnswerShare = 0.5;
};

struct PlacementRequest {
    std::string model; // only for model calls
    std::string dataCentre;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    bool slotsScarce = false; // other calls are waiting for a slot in the node's admission queue
};

// A node's knowledge of one backend server, from load reports, cache events and the node's own requests.
struct PlacementCandidate {
    std::string_view name;
    std::string_view dataCentre;
    bool available = true; // false if leaving, blocked by its circuit breaker, or tried by an earlier attempt
    bool modelLoaded = true;
    std::uint32_t slots = 8;
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedQueued = 0;
    std::uint32_t reportedPrefillTokens = 0;
    bool hasReport = false;
    std::uint32_t ownSinceReport = 0; // in-flight requests of this node that were sent after the report was measured
    std::uint32_t ownPrefillSinceReport = 0; // tokens that these requests still have to prefill
    std::uint32_t cachedTokens = 0; // prompt tokens in this server's cache
    std::uint32_t transferableTokens = 0; // prompt tokens available from another server's cache
    double meanCallMillis = 0; // measured mean time that a call occupies a slot; 0 if not measured yet
    double timeFactor = 1; // measured time to the first token divided by the estimate
};

struct PlacementScore {
    std::size_t candidate = 0;
    double millis = 0; // estimated time to the first token
    double cost = 0; // the value that candidates are compared by; see `choosePlacement`
};

enum class PlacementReason {
    LeastTime,
    CacheAffinity, // chosen because of its cached tokens; with an empty cache another server would cost less
    OnlyCandidate,
    NoCandidate,
};

inline constexpr NameTable<PlacementReason, 4> placementReasonNames { { {
    { PlacementReason::LeastTime, "least_time" },
    { PlacementReason::CacheAffinity, "cache_affinity" },
    { PlacementReason::OnlyCandidate, "only_candidate" },
    { PlacementReason::NoCandidate, "no_candidate" },
} } };

struct PlacementDecision {
    std::optional<std::size_t> chosen;
    PlacementReason reason = PlacementReason::NoCandidate;
    std::vector<PlacementScore> best; // at most 4 for logging: the chosen candidate, then others by increasing cost
};

// The estimated time to the first token on a candidate is
//   timeFactor * (
//       wait for a slot if all are occupied: calls ahead * mean call duration / slots
//     + prefill of tokens already queued there, and of prompt tokens that are neither cached nor cheaper to transfer
//     + transfer of prompt tokens that are cheaper to fetch from another server's cache)
//   + model load time + otherDataCentreMillis for a server in another data centre.
// A candidate with the lowest cost is chosen. The cost is the same sum with the prompt's prefill and transfer time
// multiplied by `recomputeWeight`, plus `occupancyMillis` times the share of occupied slots, plus `scarceSlotMillis`
// for a full server while slots are scarce.
//
// `tieBreak` is a random number that selects among candidates of equal cost, so that nodes with the same data don't all
// choose the same server.
PlacementDecision choosePlacement(const PlacementRequest& request, const std::vector<PlacementCandidate>& candidates,
    const PlacementSettings& settings, std::uint64_t tieBreak);

} // namespace lovagecross
