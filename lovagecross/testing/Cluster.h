#pragma once

// A small system of real processes on loopback for tests: the platform, engines, a tool service and daemons, each a
// process of its own, with the requests that tests make.
//
//     Cluster cluster("ownerKilled", { .nodes = { "lodz1", "lodz1" } });
//     std::string program = cluster.createProgram(0, "create-1", 20000);
//     HttpAnswer answer = cluster.chat(1, program, "turn-1", "hello");
//     cluster.node(0).kill();
//
// Thread safety: requests may be made from several threads; starting and ending processes from one.

#include "lovagecross/testing/HttpClient.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/TcpForwarder.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross::testing {

struct ClusterOptions {
    std::vector<std::string> nodes { "lodz1", "lodz1", "lodz2" }; // data centre of each node
    std::vector<std::string> engines { "lodz1", "lodz1" }; // data centre of each engine
    std::uint32_t shards = 2;
    std::uint64_t leaseMillis = 1500; // shorter than in production, so that takeovers take less of the tests' time
    std::uint64_t horizonMillis = 600000;
    std::uint64_t minCommitIntervalMillis = 20;
    std::uint32_t engineSlots = 0; // of each engine in the configuration; 0: the configuration's default
    std::uint64_t configPollMillis = 2000;
    std::vector<std::string> engineArguments {}; // further options of the engines
    std::string tenantsJson = "[]";
    std::string ranksJson = R"([{"name":"urgent","urgency":10,"floorPercent":20,"callTimeoutMillis":30000},)"
                            R"({"name":"standard","urgency":1,"floorPercent":30,"callTimeoutMillis":30000}])";
    std::string extraSettings {}; // members of the daemons' settings, each followed by a comma
    bool applyConfiguration = true;
    // Leaves every interval and the lease at the daemon's defaults, as in production.
    bool defaultIntervals = false;
    Duration startTimeout = std::chrono::seconds(20);
    std::string forwardedDataCentre {}; // its nodes reach the platform through `Cluster::platformForwarder`
};

class Cluster {
public:
    // Starts everything and waits until every shard has an owner and every node has the configuration. Throws
    // std::runtime_error when that takes too long.
    Cluster(const std::string& name, ClusterOptions options);

    ChildProcess& platform() { return *this->platformProcess; }
    ChildProcess& node(std::size_t index) { return *this->nodes[index].process; }
    ChildProcess& engine(std::size_t index) { return *this->engineProcesses[index]; }
    ChildProcess& tool() { return *this->toolProcess; }
    const std::string& dataCentre(std::size_t index) const { return this->nodes[index].dataCentre; }
    std::size_t nodeCount() const { return this->nodes.size(); }
    std::string callerUrl(std::size_t index) const { return "http://" + this->nodes[index].callerAddress; }
    std::string adminUrl(std::size_t index) const { return "http://" + this->nodes[index].adminAddress; }
    std::string platformUrl() const { return "http://" + this->platformProcess->readyAddress(); }
    std::string engineUrl(std::size_t index) const { return "http://" + this->engineProcesses[index]->readyAddress(); }
    std::string toolUrl() const { return "http://" + this->toolProcess->readyAddress(); }

    // Waits until every shard has an owner and every node sees every other and has the configuration. Throws
    // std::runtime_error when that takes too long. All nodes must run.
    void waitForShards();
    // Between the platform and the nodes of `ClusterOptions::forwardedDataCentre`.
    TcpForwarder& platformForwarder() { return *this->forwarder; }

    // Starts a node's process again, with the same settings.
    void restartNode(std::size_t index);
    void restartEngine(std::size_t index);

    void platformFaults(const std::string& json);
    void engineFaults(std::size_t index, const std::string& json);
    void toolFaults(const std::string& json);

    // Runs of the tool service, all operations together.
    std::uint64_t toolRuns();

    // Runs of the tool service that had this call id.
    std::uint64_t toolRuns(const std::string& callId);

    std::string createProgram(std::size_t node, const std::string& requestId, std::uint64_t budgetTokens,
        const std::string& rank = "urgent", const HttpHeaders& headers = {});
    HttpAnswer chat(std::size_t node, const std::string& program, const std::string& requestId, const std::string& text,
        std::uint32_t maxTokens = 8, const HttpHeaders& headers = {});
    HttpAnswer chatStream(std::size_t node, const std::string& program, const std::string& requestId,
        const std::string& text, std::uint32_t maxTokens, const std::function<bool(std::string_view)>& onChunk);
    HttpAnswer callTool(std::size_t node, const std::string& program, const std::string& requestId,
        const std::string& bodyJson, bool idempotent, const HttpHeaders& headers = {});
    HttpAnswer get(std::size_t node, const std::string& path, const HttpHeaders& headers = {});
    HttpAnswer endProgram(std::size_t node, const std::string& program);

    // The node that owns the program's shard, as the live nodes of its data centre say; nullopt while there is none.
    std::optional<std::size_t> ownerOf(const std::string& program);

    // Waits for an owner other than `excluded`. Throws std::runtime_error at the timeout.
    std::size_t waitForOwner(
        const std::string& program, Duration timeout, std::optional<std::size_t> excluded = std::nullopt);

    // The node that is registered as the standby of the program's shard, as its owner says.
    std::optional<std::size_t> standbyOf(const std::string& program);

    // Waits until the program's shard has an owner with a confirmed standby.
    bool waitForStandby(const std::string& program, Duration timeout);

    std::uint64_t counter(std::size_t node, const std::string& name);

    // The configuration document, with the changes that a test makes to it.
    std::string configurationJson(const std::string& leavingEngine = {}) const;
    HttpAnswer applyConfiguration(std::size_t node, std::uint64_t baseVersion, const std::string& json);
    std::uint64_t configurationVersion(std::size_t node);

private:
    struct NodeProcess {
        std::string name;
        std::string dataCentre;
        std::string callerAddress;
        std::string adminAddress;
        std::string settingsFile;
        ChildProcess* process = nullptr;
    };

    // The JSON object of the program's shard in the owner's list of leases; empty without an owner.
    std::string leaseEntry(const std::string& program);
    void startNodes();
    std::string intervalSettings() const; // members of the settings, each preceded by a comma
    void startNode(NodeProcess& node);

    ClusterOptions options;
    ProcessHarness harness;
    std::unique_ptr<TcpForwarder> forwarder;
    ChildProcess* platformProcess = nullptr;
    ChildProcess* toolProcess = nullptr;
    std::vector<ChildProcess*> engineProcesses;
    std::vector<std::string> engineAddresses;
    std::vector<NodeProcess> nodes;
};

// The text between `"name":"` and the next quote in a JSON text of known shape; empty when it is not there.
std::string jsonString(const std::string& json, const std::string& name);

// The number after `"name":`, or 0.
std::uint64_t jsonNumber(const std::string& json, const std::string& name);

// How often `piece` occurs in `text`.
std::size_t countOccurrences(const std::string& text, const std::string& piece);

} // namespace lovagecross::testing
