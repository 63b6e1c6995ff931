#pragma once

// Settings of a node on a platform that stores the registry and the operators' configuration: an entry node, which
// forwards calls, or a record node, which stores turns and token budgets on its disk. The settings are a JSON file with
// the member `mode`, validated as a whole at start and by `lovagecrossd --check-config`.
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/config/Settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class NodeMode {
    Entry,
    Records,
};

inline constexpr NameTable<NodeMode, 2> nodeModeNames { { {
    { NodeMode::Entry, "entry" },
    { NodeMode::Records, "records" },
} } };

enum class EngineOrder {
    Arrival, // calls are sent as they arrive
    Programs, // while engines are busy, new programs wait for those that have begun
};

inline constexpr NameTable<EngineOrder, 2> engineOrderNames { { {
    { EngineOrder::Arrival, "arrival" },
    { EngineOrder::Programs, "programs" },
} } };

// When an entry node sends calls to servers of other data centres.
enum class SpillMode {
    Cost, // by the estimates of single servers
    Measured, // by the loads of the data centres, as record nodes add them up
};

inline constexpr NameTable<SpillMode, 2> spillModeNames { { {
    { SpillMode::Cost, "cost" },
    { SpillMode::Measured, "measured" },
} } };

struct NodeSettings {
    NodeMode mode = NodeMode::Entry;
    std::string node;
    std::string dataCentre;
    std::string callerAddress; // IP:port; required for an entry node
    std::string readyAddress; // IP:port of the readiness endpoint; required for an entry node
    std::string readyPath; // readiness path: answers 200 while the node accepts calls
    std::string metricsAddress; // IP:port of the metrics endpoint; empty: disabled
    std::string relayAddress; // IP:port on which an entry node takes calls of other entry nodes; empty: nowhere
    std::string peerAddress; // IP:port on which the node listens for other nodes
    std::string advertisedAddress; // IP:port at which other nodes reach this node; default: peerAddress
    std::string platformAddress; // IP:port of the object API
    std::vector<std::string> seeds; // peer addresses of other nodes
    std::string dataFolder; // required for a record node
    std::uint32_t diskMegabytes = 0;
    std::uint32_t memoryMegabytes = 128; // memory that the process may use
    bool firstStart = false; // whether the whole system starts for the first time, with empty disks
    std::uint32_t lossMachines = 1; // number of record nodes that may fail at the same time
    std::uint32_t lossDataCentres = 1;
    std::uint64_t graceMillis = 8000; // from SIGTERM until the process is killed
    // From the platform's acknowledgement of a new configuration, or of the end of a server, until every node must act
    // on it.
    std::uint64_t configurationMillis = 2000;
    std::uint64_t serverDrainMillis = 2000;
    // Whether an entry node refuses calls that need a key once its configuration has been unconfirmed for
    // `revocationMillis`; otherwise it goes on with the keys that it knows.
    bool strictRevocation = false;
    std::uint64_t revocationMillis = 5000;
    // In any window, at most (rate * window + burst) * (1 + overage) + slack calls of a tenant are sent to servers,
    // over all nodes. 0 seconds: tenants' quotas are not enforced. Must be the same on all nodes.
    double quotaWindowSeconds = 0;
    double quotaOverage = 0;
    double quotaSlack = 0; // calls
    EngineOrder engineOrder = EngineOrder::Arrival; // of an entry node
    SpillMode spill = SpillMode::Cost; // of an entry node
    LogLevel logLevel = LogLevel::Info;
};

// Whether the document holds NodeSettings, that is, an object with the member `mode`.
bool isNodeSettings(std::string_view json);

// Errors: BadRequest with the field's path and the limit.
Result<NodeSettings> parseNodeSettings(std::string_view json);
std::string printNodeSettings(const NodeSettings& settings);

} // namespace lovagecross
