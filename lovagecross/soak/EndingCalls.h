#pragma once

// Callers whose requests end each server that runs them. Each repeats its request at one entry node after the other,
// whatever the answer is.
//
//     EndingCalls calls(entryAddresses, ledger, findings);
//     calls.run(random(), stopping);        // on a thread of its own
//     calls.check(maxEnds);                 // after the run
//
// Thread safety: `run` on several threads; `check` after they have ended.

#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/soak/Findings.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross::soak {

class EndingCalls {
public:
    EndingCalls(std::vector<std::string> entryAddresses, const RunLedger& runLedger, Findings& broken);

    void run(std::uint64_t seed, const std::atomic<bool>& stopping);

    // Reports each call that ran on too many servers, and prints what it has found.
    void check(std::size_t maxEnds);

    static constexpr std::chrono::milliseconds repeatInterval { 1500 };
    // After the third server has ended, all nodes know the call within this time.
    static constexpr std::chrono::milliseconds knownWithin { 3000 };
    static constexpr std::size_t maxLateRuns = 3;

private:
    void checkCall(const std::string& call, std::size_t maxEnds);

    const std::vector<std::string> entries;
    const RunLedger& ledger;
    Findings& findings;
    std::mutex mutex;
    std::vector<std::string> calls;
};

} // namespace lovagecross::soak
