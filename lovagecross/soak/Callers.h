#pragma once

// Callers of the soak: programs of turns and plain calls, and the checks of what they see. A caller that keeps its
// connection sends its requests to one entry node until that node closes it; others send each to a random entry node.
//
// Thread safety: `run` on several threads; the rest from any thread.

#include "lovagecross/http/MessageHead.h"
#include "lovagecross/soak/CallerConnection.h"
#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/soak/FaultLog.h"
#include "lovagecross/soak/Findings.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::soak {

struct CallerCounts {
    std::atomic<std::uint64_t> calls { 0 };
    std::atomic<std::uint64_t> served { 0 };
    std::atomic<std::uint64_t> refused { 0 }; // with a promise that it has not run
    std::atomic<std::uint64_t> unknown { 0 };
};

struct CallerSettings {
    std::chrono::milliseconds callTime { 3000 }; // until a call's deadline
    bool cutsAreBroken = false; // a cut without a reason is a broken promise
};

class Callers {
public:
    // Numbers of responses without an end, by entry node and by reason.
    using CutReason = std::string_view;
    using CutCounts = std::map<std::string, std::map<CutReason, int>>;
    static constexpr CutReason noReason = "none";

    Callers(std::vector<std::string> entryAddresses, const CallerSettings& settings, RunLedger& ledger,
        const FaultLog& faultLog, Findings& findings);

    // Runs programs until `stopping` is true.
    void run(std::uint64_t seed, bool keepsConnection, const std::atomic<bool>& stopping);

    // After the run: requests that were refused as not run must not have run since.
    void checkRefusals();

    CutCounts cuts() const;

    CallerCounts counts;

private:
    struct Caller {
        std::mt19937_64 random;
        CallerConnection connection;
        bool keepsConnection = false;
    };
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

    void runProgram(Caller& caller);
    Answer turn(Caller& caller, const std::string& program, const std::string& previous,
        const std::string& conversation, const std::string& input, std::string& id, int budget);
    void plainCall(Caller& caller, bool safe);
    std::string chooseNode(Caller& caller);
    Answer send(
        Caller& caller, const std::string& path, const std::string& id, const std::string& body, HeaderList fields);
    Answer check(const RawResponse& response, bool streamed, const std::string& id);
    CutReason reasonOfCut(const std::string& node, const std::string& id, const RawResponse& response);
    void noteCut(const std::string& node, const std::string& id, const RawResponse& response);
    Outcome classify(int status, const std::string& id);
    std::string newId(std::mt19937_64& random);

    const std::vector<std::string> entries;
    const CallerSettings settings;
    const FaultLog& faultLog;
    RunLedger& ledger;
    Findings& findings;
    mutable std::mutex mutex;
    std::vector<std::string> refusedIds;
    CutCounts cutsByNode;
};

} // namespace lovagecross::soak
