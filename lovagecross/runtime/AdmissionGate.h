#pragma once

// Blocks each call until the admission queue grants it a slot, or rejects it.
//
//     GateResult result = gate.enter(waitingCall, deadline);
//     if (result.granted) { ...; gate.leave(result.ticket, servedTokens); }
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/admission/AdmissionQueue.h"
#include "lovagecross/base/Clock.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace lovagecross {

struct GateResult {
    bool granted = false;
    AdmissionTicket ticket = 0;
    std::string reason; // why the call was rejected
    Duration retryAfter { 0 };
};

class AdmissionGate {
public:
    explicit AdmissionGate(Clock& clock);

    void configure(std::vector<RankPolicy> ranks, std::size_t capacity);

    // Changes the capacity and keeps the ranks.
    void setCapacity(std::size_t capacity);

    // Waits for a slot until the deadline of `call`. A granted slot must be given back with `leave`.
    GateResult enter(const WaitingCall& call);
    void leave(AdmissionTicket ticket, std::uint64_t servedTokens);

    std::size_t running() const;
    std::size_t waiting() const;
    std::map<std::string, std::size_t> waitingByRank() const;

private:
    void grantWaiting();

    Clock& clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    AdmissionQueue queue;
    std::vector<RankPolicy> policies;
    std::size_t currentCapacity = 1;
    std::unordered_set<AdmissionTicket> granted;
    std::unordered_set<AdmissionTicket> expired;
};

} // namespace lovagecross
