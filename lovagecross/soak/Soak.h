#pragma once

// One run of the soak: entry and record nodes as processes, a stand-in for the users' platform, backend servers and
// callers in this process, and a seeded series of overlapping faults from outside the nodes.
//
// Thread safety: none; `run` starts the threads of the callers itself.

#include "lovagecross/base/NameTable.h"
#include "lovagecross/soak/Callers.h"
#include "lovagecross/soak/EndingCalls.h"
#include "lovagecross/soak/FakePlatform.h"
#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/soak/FaultLog.h"
#include "lovagecross/soak/Findings.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/TcpForwarder.h"

#include <Poco/TemporaryFile.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagecross::soak {

enum class SoakMode {
    Faults, // of every kind
    Calm, // only planned work and pauses of servers; a response that is cut is a broken promise
    EndingCalls, // requests that end each server that runs them, beside kills and cuts of nodes and planned changes
    Replacement, // every node is replaced by one of the other program and back, with kills of record nodes between
};

inline constexpr NameTable<SoakMode, 4> soakModeNames { { {
    { SoakMode::Faults, "faults" },
    { SoakMode::Calm, "calm" },
    { SoakMode::EndingCalls, "ending calls" },
    { SoakMode::Replacement, "replacement" },
} } };

struct SoakOptions {
    std::uint64_t seed = 1;
    int seconds = 30; // with faults; a replacement takes as long as it needs
    int entries = 3;
    int recordNodes = 3;
    int callers = 6;
    int endingCallers = 2; // with SoakMode::EndingCalls
    bool onlyEndingCalls = false; // no other faults
    bool keepLogs = false;
    SoakMode mode = SoakMode::Faults;
    std::string program; // the path of lovagecrossd
    std::string otherProgram; // of another version, for half of the nodes; may be empty
};

// One node with the links between it and the rest.
struct SoakNode {
    std::string name;
    bool records = false;
    std::string callerAddress; // of an entry node
    std::string readyAddress; // of an entry node
    std::string peerAddress;
    std::string dataFolder; // of a record node
    std::unique_ptr<testing::TcpForwarder> platformLink;
    std::unique_ptr<testing::TcpForwarder> peerLink;
    testing::ChildProcess* process = nullptr;
    std::chrono::steady_clock::time_point startedAt;
    bool otherProgram = false;
    bool paused = false;
};

// The state that the run and its faults share.
struct Soak {
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit Soak(const SoakOptions& soakOptions)
        : options(soakOptions)
    {
    }

    // The number of broken promises.
    int run();

    // Whether a cut response is a broken promise.
    bool strict() const { return this->options.mode == SoakMode::Calm || this->options.mode == SoakMode::Replacement; }
    bool resumable() const { return this->options.seed % 2 == 0 || this->options.mode == SoakMode::EndingCalls; }
    std::chrono::milliseconds grace() const;
    std::chrono::milliseconds callTime() const;

    void addServers();
    void addNodes();
    void addNode(int number, bool records);
    std::string writeSettings(const SoakNode& node, bool firstStart) const;
    void startNode(SoakNode& node, bool firstStart);
    void replaceNode(SoakNode& node);
    void endNode(SoakNode& node);
    void checkExit(SoakNode& node);
    void putConfiguration();
    std::vector<std::string> callerAddresses() const;
    bool waitUntilServing();
    void checkRecovery(const Callers& callers);
    void report(const Callers& callers) const;

    void runFor(std::chrono::milliseconds time);
    void runRepairs();
    void sendHeartbeats();
    void heal();
    int randomMillis(int least, int most);
    void later(int leastMillis, int mostMillis, std::function<void()> repair);
    void count(const char* kind) { ++this->faults[kind]; }

    const SoakOptions options;
    std::mt19937_64 random { this->options.seed };
    const std::string folder = Poco::TemporaryFile::tempName();
    testing::ProcessHarness harness { this->folder };
    FakePlatform platform;
    standins::HttpServer platformServer { this->platform, "127.0.0.1:0" };
    Findings findings;
    FaultLog faultLog;
    RunLedger ledger;
    std::vector<std::unique_ptr<FakeServer>> servers;
    std::set<std::string> leaving;
    std::vector<std::unique_ptr<SoakNode>> nodes;
    std::vector<std::pair<TimePoint, std::function<void()>>> repairs;
    TimePoint nextHeartbeat;
    TimePoint lastDiskLoss;
    TimePoint nextPlannedStop;
    bool stopInProgress = false;
    int configurationVersion = 0;
    std::map<std::string, int> faults;
};

// Makes the faults of the run's mode, one after the other and overlapping.
void makeTrouble(Soak& soak);

} // namespace lovagecross::soak
