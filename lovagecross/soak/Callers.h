#pragma once

// Callers of the soak: programs of turns and plain calls, each sent to a random entry node, and the checks of what
// they see.
//
// Thread safety: `run` on several threads; the rest from any thread.

#include "lovagecross/http/MessageHead.h"
#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/soak/Findings.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace lovagecross::soak {

struct CallerCounts {
    std::atomic<std::uint64_t> calls { 0 };
    std::atomic<std::uint64_t> served { 0 };
    std::atomic<std::uint64_t> refused { 0 }; // with a promise that it has not run
    std::atomic<std::uint64_t> unknown { 0 };
};

class Callers {
public:
    Callers(std::vector<std::string> entryAddresses, RunLedger& ledger, Findings& findings);

    // Runs programs until `stopping` is true.
    void run(std::uint64_t seed, const std::atomic<bool>& stopping);

    // After the run: requests that were refused as not run must not have run since.
    void checkRefusals();

    CallerCounts counts;

private:
    enum class Outcome {
        Served,
        NotRun,
        Absent, // 404
        Spent, // 402
        Unknown,
    };
    struct Answer {
        Outcome outcome = Outcome::Unknown;
        int events = 0;
    };

    void runProgram(std::mt19937_64& random);
    Answer turn(std::mt19937_64& random, const std::string& program, const std::string& previous,
        const std::string& conversation, const std::string& input, std::string& id, int budget);
    void plainCall(std::mt19937_64& random, bool safe);
    Answer send(const std::string& address, const std::string& path, const std::string& id, const std::string& body,
        HeaderList fields);
    Outcome classify(int status, const std::string& id);
    std::string newId(std::mt19937_64& random);

    const std::vector<std::string> entries;
    RunLedger& ledger;
    Findings& findings;
    std::mutex mutex;
    std::vector<std::string> refusedIds;
};

} // namespace lovagecross::soak
