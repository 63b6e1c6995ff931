#pragma once

// In-memory log of this node's most recent scheduling decisions, read by `lovagectl explain`: how long each call waited
// and for what, and to which servers its attempts were sent.
//
//     DecisionLog log;
//     log.add(decision);
//     std::optional<CallDecision> found = log.find("lodz1-00-0123456789abcdef:turn-1");
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/placement/Placement.h"
#include "lovagecross/ports/Backend.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

struct ScoredServer {
    std::string name;
    double millis = 0; // estimated time to the first token
    double cost = 0; // the value by which placement compares servers
};

struct AttemptDecision {
    std::string backendServer;
    PlacementReason reason = PlacementReason::NoCandidate;
    bool slotsScarce = false;
    std::uint32_t expectedCachedTokens = 0;
    std::vector<ScoredServer> alternatives; // the chosen one first
    BackendStatus status = BackendStatus::NotSent;
    Duration duration { 0 };
};

struct CallDecision {
    std::string call; // <program>:<requestId>
    std::string rank;
    std::string tenant;
    std::string target; // model or service
    std::int64_t receivedUnixMillis = 0;
    Duration queueWait { 0 }; // behind earlier calls of the program
    Duration admissionWait { 0 }; // for an admission slot of the node
    Duration commitWait { 0 }; // for records to become durable, before the first attempt and after the last
    std::vector<AttemptDecision> attempts {};
    std::string outcome;
};

class DecisionLog {
public:
    static constexpr std::size_t defaultCapacity = 1000; // about 1 KB each

    explicit DecisionLog(std::size_t maxDecisions = defaultCapacity);

    // Drops the oldest decision when the log is full.
    void add(CallDecision decision);

    // Returns the most recent decision about the call.
    std::optional<CallDecision> find(const std::string& call) const;

    std::size_t size() const;

private:
    const std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<CallDecision> decisions; // oldest first
};

} // namespace lovagecross
