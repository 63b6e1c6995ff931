#pragma once

// Dependencies and counters shared by the classes of a gateway. Internal to the component.
//
// Thread safety: every member may be used from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ConnectionPool.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/gateway/MemoryAccount.h"
#include "lovagecross/gateway/Permits.h"
#include "lovagecross/gateway/RelayTable.h"
#include "lovagecross/gateway/ServerPaths.h"
#include "lovagecross/gateway/ServerStatistics.h"
#include "lovagecross/gateway/Turns.h"
#include "lovagecross/scheduling/NewPrograms.h"

#include <atomic>
#include <functional>
#include <map>

namespace lovagecross {

class CrashGuard;
class SpillControl;
class TenantQuotas;

// For how long a node that can't confirm its configuration goes on accepting tenants' keys.
struct RevocationPolicy {
    bool strict = false; // false: it goes on with the keys that it knows
    Duration maxAge { 0 }; // if strict: of the configuration
};

// Why a response that had begun was ended before it was complete, other than by its caller or by a stop of the node.
enum class BreakCause {
    Server, // broke off, or sent something wrong, and no attempt is left
    Deadline,
    NoServer, // no other ready server of the stream's version is listed
    TurnNotKept, // the record nodes did not store the conversation turn
    OtherNode, // the node through which the call was sent broke off
};

inline constexpr NameTable<BreakCause, 5> breakCauseNames { { {
    { BreakCause::Server, "server" },
    { BreakCause::Deadline, "deadline" },
    { BreakCause::NoServer, "no_server" },
    { BreakCause::TurnNotKept, "turn_not_kept" },
    { BreakCause::OtherNode, "other_node" },
} } };

// Why a call was sent to a server of another data centre.
enum class LeaveCause {
    Cost, // the estimates of single servers
    Measured, // the loads of the data centres
    NoServerHere, // none in the own data centre that may be used
};

inline constexpr NameTable<LeaveCause, 3> leaveCauseNames { { {
    { LeaveCause::Cost, "cost" },
    { LeaveCause::Measured, "measured" },
    { LeaveCause::NoServerHere, "no_server_here" },
} } };

struct GatewayCounters {
    explicit GatewayCounters(Counters& counters);

    Counter& calls;
    Counter& answered;
    Counter& refused;
    Counter& failed;
    Counter& callersLeft;
    Counter& sends;
    Counter& streamsResumed;
    std::map<BreakCause, Counter*> brokenOff; // responses that had begun
    std::map<LeaveCause, Counter*> leftDataCentre; // sends to servers of other data centres
    Counter& silentServers; // decisions about streams whose server was silent for too long
    Counter& serversLeaving; // that said so in an answer
    Counter& quarantined; // calls refused because they end the servers that run them
    Counter& unauthorized; // calls refused because of their key
    Counter& overQuota; // calls refused because of their tenant's quota
    Counter& programsHeldBack; // new programs that had to wait for the engines
    Counter& programsRefused; // new programs refused because the engines were too busy
    Counter& stoppedEarly; // calls whose next attempt was withheld because they end the servers that run them
    Counter& relayedAway; // calls sent through another node
    Counter& relayedHere; // calls of other nodes
    Counter& relaysDeclined; // calls of other nodes that were not taken
    Counter& connectionsOpened; // new connections to backend servers on which a call was sent
    Counter& preferredEngine; // attempts of a program's calls that were placed on its preferred engine
    Counter& otherEngine; // attempts of a program's calls that were placed elsewhere
    Counter& bodyBytes; // of request bodies that are buffered now
    Counter& outOfMemory; // requests refused, or answers given up, because the memory for them is used up
    Counter& closedForOthers; // connections without a running request that were closed for new ones
    LatencyHistogram& timeToFirstSend; // from the received request head to the first send to a backend server
    LatencyHistogram& completionDelay; // from the last received event to the end of the response
    LatencyHistogram& tokenReservation;
    LatencyHistogram& conversationRead;
    LatencyHistogram& turnWrite;
    LatencyHistogram& callDuration; // from the received request head to the logged end of the call
};

// What a node needs to send calls through other nodes: those that it can't serve because it lacks the path to the
// backend servers, or to the record nodes.
struct RelayContext {
    std::string nodeName; // of this node
    ServerPaths& paths;
    RelayTable& nodes;
    ConnectionPool& connections; // to other nodes
    std::function<bool()> reachesRecords = [] { return true; };
    std::uint64_t maxCalls = 64; // of other nodes that this one runs at once; its own callers go first
    std::atomic<std::uint64_t> calls { 0 }; // of other nodes that are running here
    // Of other nodes. Only as many as `maxCalls` are kept after a response, so that idle ones leave threads for calls.
    std::atomic<std::uint64_t> openConnections { 0 };
};

struct GatewayContext {
    const Clock& clock;
    Directory& directory;
    ServerStatistics& book;
    ConnectionPool& pool;
    const CallCodec& codec;
    TurnStore& turns;
    TokenBudgets& budgets;
    ServerPermits& permits;
    GatewayCounters counters;
    std::function<void(const ServerKey&)> reportLeavingServer = [](const ServerKey&) {}; // to other nodes
    RelayContext* relay = nullptr; // nullptr: calls are never relayed
    CrashGuard* crashes = nullptr; // nullptr: nothing is known of calls that end servers
    TenantQuotas* quotas = nullptr; // nullptr: tenants' quotas are not enforced
    NewPrograms* newPrograms = nullptr; // nullptr: new programs begin at once
    RevocationPolicy revocation {};
    MemoryAccount memory {}; // of the bytes held for callers and other nodes
    SpillControl* spill = nullptr; // nullptr: calls leave the data centre by the estimates of single servers
    std::atomic<std::uint64_t> running { 0 }; // calls under way
    std::atomic<std::uint32_t> onEngines { 0 }; // of those, the ones that are sent to engines, or about to be
    std::atomic<bool> draining { false };
    std::atomic<TimePoint> stopsAt { TimePoint::max() }; // calls that are still running then are cut off
};

} // namespace lovagecross
