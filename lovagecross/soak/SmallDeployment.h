#pragma once

// One entry node, and record nodes if asked for, as real processes with a platform and servers on loopback addresses.
// For tests of what crowds of callers can use up; the limits are low, so that small crowds reach them.
//
//     SmallDeployment deployment({ .name = "largeTurns", .recordNodes = 3 });
//     HttpAnswer answer = deployment.sendTurn({ .id = "t1", .program = "p1", .input = "hello" });
//     deployment.restartRecordNodes();
//
// Thread safety: requests may be sent from any thread, all else by one thread.

#include "lovagecross/soak/FakePlatform.h"
#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/testing/HttpClient.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross::soak {

struct DeploymentOptions {
    std::string name;
    std::uint32_t entryMegabytes = 88; // of memory
    std::size_t recordNodes = 0;
    std::uint32_t recordMegabytes = 64; // of memory
    std::uint32_t diskMegabytes = 360; // of a record node
};

// A conversation turn as a caller sends it.
struct TurnCall {
    std::string id;
    std::string program;
    std::string previous {}; // id of the preceding turn
    std::string input;
    std::string prompt {}; // parts of the prompt, as the callers' header field lists them
};

class SmallDeployment {
public:
    // Returns once a call is served, and a turn too if there are record nodes. Fails the test otherwise.
    explicit SmallDeployment(DeploymentOptions deploymentOptions);
    ~SmallDeployment();
    SmallDeployment(const SmallDeployment&) = delete;
    SmallDeployment& operator=(const SmallDeployment&) = delete;

    // Sends one plain call on a connection of its own.
    testing::HttpAnswer sendPlainCall(const std::string& id, Duration timeout) const;
    testing::HttpAnswer sendTurn(const TurnCall& turn) const;

    // Whether a server has run the call or the turn.
    bool hasRun(const std::string& id) const { return this->ledger.runs(id) > 0; }

    testing::ChildProcess& entry() { return *this->entryProcess; }
    testing::ChildProcess& recordNode(std::size_t index) { return *this->records[index].process; }
    std::size_t recordNodeCount() const { return this->records.size(); }
    const std::string& dataFolder(std::size_t index) const { return this->records[index].dataFolder; }

    // Kills all record nodes and starts them again.
    void restartRecordNodes();
    // Kills a record node and starts it with an empty disk.
    void wipeRecordNode(std::size_t index);

    const std::string callerAddress = testing::freeAddress();
    const std::string relayAddress = testing::freeAddress();
    const std::string readyAddress = testing::freeAddress();
    const std::string metricsAddress = testing::freeAddress(); // of the entry node
    std::string recordMetricsAddress(std::size_t index) const { return this->records[index].metricsAddress; }

private:
    struct RecordProcess {
        std::string name;
        std::string peerAddress;
        std::string metricsAddress;
        std::string dataFolder;
        testing::ChildProcess* process = nullptr;
    };

    void startEntry();
    void startRecordNode(RecordProcess& node, bool firstStart);
    std::string writeSettings(const std::string& node, const std::string& members) const;
    void sendHeartbeats();

    const DeploymentOptions options;
    testing::ProcessHarness harness;
    FakePlatform platform;
    standins::HttpServer platformServer { this->platform, "127.0.0.1:0" };
    Findings findings;
    RunLedger ledger;
    FakeServer toolServer { "server-tool", "tool", "a", this->ledger, this->findings };
    testing::ScriptedServer modelServer; // answers with one event at once
    const std::string entryPeerAddress = testing::freeAddress();
    testing::ChildProcess* entryProcess = nullptr;
    std::vector<RecordProcess> records;
    std::uint64_t modelSequence = 0;
    std::atomic<bool> stopping { false };
    std::thread heartbeats;
};

} // namespace lovagecross::soak
