#pragma once

// Messages between nodes. Adapter: `adapters/ZmqPeers` (ZeroMQ ROUTER/DEALER, protobuf). Tests use an in-process fake.
//
// A request is one message, answered by one message or by a stream of messages. Delivery is not guaranteed: a request
// that is not answered in time ends with `PeerStatus::NoAnswer`, and the peer may or may not have executed it.
//
// Thread safety: `PeerClient` may be called from any thread. The transport calls the handler concurrently from its
// worker threads.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecross {

struct PromiseRequest {
    ShardId shard;
    std::uint64_t epoch = 0;
    NodeIncarnation holder;
    NodeIncarnation standby; // the incarnation of the standby that the holder has registered
};

struct PromiseAnswer {
    bool promised = false;
    std::uint64_t epoch = 0;
    NodeIncarnation from; // the answering incarnation; if it differs from the requested one, the node has restarted
    Duration duration { 0 };
};

// A journal batch that the standby keeps a copy of.
struct BridgeBatch {
    ShardId shard;
    std::uint64_t epoch = 0;
    std::uint32_t generation = 0;
    std::uint64_t sequence = 0;
    std::string bytes;
};

struct BridgeAnswer {
    bool stored = false;
    NodeIncarnation from;
};

// Tells the standby that the platform has stored every batch before this position, so it may delete its copies of them.
struct BridgeTrim {
    ShardId shard;
    std::uint32_t generation = 0;
    std::uint64_t sequence = 0;
};

struct BridgeFetch {
    ShardId shard;
};

struct BridgeCopies {
    NodeIncarnation from;
    std::vector<BridgeBatch> batches;
};

struct HeldShard {
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
};

struct MemberEntry {
    NodeIncarnation node;
    std::string dataCentre;
    std::uint64_t heartbeat = 0; // counter that the node increments while it is running
    std::string peerAddress;
    std::string callerAddress;
    std::string adminAddress;
    std::uint64_t configVersion = 0;
    bool draining = false;
    std::vector<HeldShard> shards;
};

struct Gossip {
    std::vector<MemberEntry> entries; // at most maxGossipEntries
};

inline constexpr std::size_t maxGossipEntries = 16;

struct ConfigFetch { };

struct ConfigDocument {
    std::uint64_t version = 0;
    std::string json;
};

enum class ForwardKind {
    CreateProgram,
    Call,
    Read, // program, history, budget, one call
    EndProgram,
};

// A caller's request, forwarded to the node that owns the shard.
struct ForwardRequest {
    ForwardKind kind = ForwardKind::Call;
    ShardId shard;
    std::string program; // empty for CreateProgram
    std::string requestId;
    std::string tenant; // authenticated by the entry node
    std::string path; // for Read: history, budget, calls/<id> or empty
    std::string bodyJson;
    std::uint32_t hops = 0; // refused above maxForwardHops, so that stale membership views can't forward it in a loop
};

inline constexpr std::uint32_t maxForwardHops = 2;

// The final answer to a forwarded request. All streamed text arrives before it.
struct ForwardEnd {
    int httpStatus = 0;
    std::string bodyJson;
};

// A message of the record store, which encodes and decodes `content` itself (lovagecross/records/RecordMessages.h).
struct RecordCall {
    std::string content;
};

struct RecordReply {
    std::string content;
};

// What an answer of a backend server said about the request rate that it accepts from all nodes together.
struct RateLimitNotice {
    std::string server;
    std::int64_t startedUnixMillis = 0;
    std::optional<double> perSecond; // nullopt: the server no longer names a limit
    Duration age { 0 }; // of that answer when the message was sent
};

// Asks for the permission to send one request to a backend server that names a rate limit.
struct PermitRequest {
    RateLimitNotice known;
};

struct PermitAnswer {
    bool issuer = false; // whether the answering node issues permits for the server at all
    bool granted = false;
    Duration retryAfter { 0 }; // if not granted
    RateLimitNotice newest; // what the answering node knows of the limit
};

// Tells the nodes that issue permits, or with `relayed` all record nodes, of limits that began, changed or ended.
struct LimitReport {
    std::vector<RateLimitNotice> limits;
    bool relayed = false;
};

// Asks a node that keeps a slice of a tenant's quota for tokens. Each allows one call. Without a tenant, it asks only
// which roster and configuration the other node knows.
struct QuotaRequest {
    std::string tenant;
    double perSecond = 0; // as the sender knows the quota, in this version of the configuration
    double burst = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t rosterEpoch = 0;
    std::uint32_t needed = 0; // tokens for calls that wait
    std::uint32_t begun = 0; // of these: for programs that have begun
    std::uint32_t extra = 0; // for calls that are expected
};

struct QuotaAnswer {
    bool issuer = false; // whether the answering node may grant tokens of the tenant now
    std::uint32_t granted = 0;
    double level = 0; // tokens that the answering node has left
    Duration retryAfter { 0 }; // if fewer than needed were granted
    std::uint64_t configurationVersion = 0;
    std::uint64_t rosterEpoch = 0;
    bool confirmed = false; // whether a majority has confirmed both versions to the answering node
    Duration rosterAge { 0 }; // if confirmed: the time since the roster was
    Duration configurationAge { 0 }; // if confirmed: the time since the configuration was
};

// One lifetime of a backend server that has said that it leaves.
struct LeavingServer {
    std::string server;
    std::int64_t startedUnixMillis = 0;
};

// Tells a publisher of the server list which servers leave.
struct LeavingReport {
    std::vector<LeavingServer> servers;
};

inline constexpr std::size_t fingerprintBytes = 16; // of a call's fingerprint

// What a node tells others of calls and the ends of backend servers: these calls were running on a server when its
// process ended or, without a server, were answered whole or released by an operator since.
struct CrashNotice {
    std::string server; // empty: earlier ends no longer count for these calls
    std::int64_t startedUnixMillis = 0; // of the process that ended
    std::string softwareVersion;
    std::string seenBy; // the node that found it out
    std::vector<std::string> calls; // fingerprints
    Duration age { 0 }; // of the end, or of the answer, when the message was sent
};

// A place in the list of notices that one process of a node has.
struct CrashCursor {
    std::uint64_t log = 0; // random for each process; 0: none
    std::uint64_t position = 0;
};

// Tells record nodes of new notices. With `relayed`, they are not passed on again.
struct CrashReport {
    std::vector<CrashNotice> notices;
    bool relayed = false;
};

// The programs that a tenant has begun lately, for its weight.
struct TenantBegun {
    std::string tenant;
    double programs = 0;
};

inline constexpr std::size_t maxReportedTenants = 16;

// The load that an entry node puts on the engines.
struct ProgramLoad {
    std::string node;
    std::uint32_t calls = 0; // that run on engines now
    std::vector<TenantBegun> begun; // at most maxReportedTenants, those with the most
};

// The load of all entry nodes that have reported theirs to the answering node lately.
struct FleetShare {
    std::uint32_t nodes = 0; // 0: not known
    std::uint32_t calls = 0; // that run on engines
    std::vector<std::string> excessTenants; // at most maxReportedTenants that have begun more than their share
};

// Calls of an origin on the servers of another data centre.
struct SentCalls {
    std::string dataCentre; // of the servers
    std::uint32_t running = 0;
    std::uint32_t reserved = 0; // that may run there now; fewer than `running` once the reservation is withdrawn
};

// The calls of one entry node, or of all entry nodes of a data centre, for one service.
struct ServiceLoad {
    std::string service;
    std::uint32_t running = 0; // calls on servers of the own data centre
    std::uint32_t waiting = 0; // calls that have no server yet
    std::uint32_t refusals = 0; // by servers of the own data centre, in the last second
    std::uint32_t callMillis = 0; // mean time of a call; 0: not measured
    std::vector<SentCalls> sent {};
};

// Load of one entry node.
struct NodeLoad {
    std::string node; // empty: the node doesn't report its load
    std::string dataCentre;
    std::vector<ServiceLoad> services {};
};

// `DirectoryUpdate::loadRank` of a node that has no rank at the moment.
inline constexpr std::uint32_t noRank = std::numeric_limits<std::uint32_t>::max();

// Sum of the loads of a data centre's entry nodes for one service.
struct LoadSummary {
    std::string dataCentre; // of the entry nodes
    ServiceLoad load;
    std::uint32_t nodes = 0; // entry nodes of the data centre that report a load
    Duration age { 0 }; // of the oldest report in the sum, when the message was sent
};

// Tells record nodes the sums over the entry nodes that report to the sender.
struct LoadReport {
    std::string from; // name of the sender
    std::vector<LoadSummary> summaries;
};

// Requests registry changes from a node that reads the registry: everything that differs from the requester's state. An
// entry node also says whether it can run calls for nodes that reach no backend server.
struct DirectoryFetch {
    std::uint64_t configurationVersion = 0; // 0 if the requester has no configuration
    std::uint64_t serversDigest = 0; // digest of the server list known to the requester; 0 if it has none
    std::string relayAddress {}; // IP:port on which the requester takes calls of other entry nodes; empty: nowhere
    std::string relayDataCentre {};
    bool relays = false; // whether it can run them now
    CrashCursor crashes {}; // up to which the requester has this node's notices
    std::optional<ProgramLoad> programLoad {}; // of an entry node that holds back programs
    NodeLoad load {};
};

// An entry node that runs calls for others.
struct RelayNode {
    std::string address; // IP:port
    std::string dataCentre;
};

// Asks a record node which entry nodes run calls for others now.
struct RelayFetch {
    std::string ownAddress; // of the requester, which is left out
};

struct RelayList {
    std::vector<RelayNode> nodes;
};

struct DirectoryServer {
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool draining = false;
    std::int64_t coldMillis = 0;
    std::int64_t startedUnixMillis = 0;
    std::string softwareVersion;
    std::optional<std::int64_t> lapsesInMillis; // set if the registry has not listed it since an outage
};

struct DirectoryUpdate {
    bool registryKnown = false;
    std::int64_t registryAgeMillis = 0; // time since the answering node last read the registry successfully
    std::uint64_t registryRevision = 0;
    bool hasServers = false; // true: `servers` is the complete list; false: unchanged if `registryKnown`
    std::vector<DirectoryServer> servers;
    std::optional<std::int64_t> configurationAgeMillis; // as registryAgeMillis; nullopt if it was never read
    std::uint64_t configurationVersion = 0; // 0 if the answering node has no configuration
    std::string configurationDocument; // in the platform's format; empty unless newer than the requester's
    std::vector<RateLimitNotice> limits; // in force, or ended recently
    CrashCursor crashesUpTo {}; // for the requester's next fetch
    std::vector<CrashNotice> crashes {}; // after the requester's cursor
    FleetShare fleet {}; // if the requester has sent its load
    std::vector<LoadSummary> loads {}; // of all data centres; only for a requester that reports its load
    std::uint32_t loadRank = 0; // place of the requester among the entry nodes of its data centre, from 0, or noRank
};

using PeerRequest = std::variant<PromiseRequest, BridgeBatch, BridgeTrim, BridgeFetch, Gossip, ConfigFetch,
    ForwardRequest, RecordCall, DirectoryFetch, PermitRequest, LimitReport, LeavingReport, RelayFetch, CrashReport,
    QuotaRequest, LoadReport>;
using PeerAnswer = std::variant<std::monostate, PromiseAnswer, BridgeAnswer, BridgeCopies, Gossip, ConfigDocument,
    ForwardEnd, RecordReply, DirectoryUpdate, PermitAnswer, RelayList, QuotaAnswer>;

enum class PeerStatus {
    Ok,
    NoAnswer, // no answer arrived in time, or the peer's heartbeats stopped
    Rejected, // malformed, too large, not authenticated, or not sent; not executed
};

struct PeerResult {
    PeerStatus status = PeerStatus::NoAnswer;
    PeerAnswer answer;
};

// Called with the answers received so far, in the order of the addresses; nullptr for an address that has not answered.
// Returns true to end the wait.
using EnoughAnswers = std::function<bool(const std::vector<const PeerResult*>& answers)>;

// Which peers of `PeerClient::requestAll` are asked at once, and when it asks the others.
struct Fanout {
    Duration timeout { 0 }; // for all answers
    std::size_t firstWave = std::numeric_limits<std::size_t>::max(); // number of addresses, from the first one
    Duration firstWaveTimeout { 0 }; // the others are asked after this time, or once the first wave alone can't suffice
};

// Receives streamed text. Returns false to cancel the request at the peer.
using ChunkSink = std::function<bool(std::string_view text)>;

class PeerClient {
public:
    virtual ~PeerClient() = default;

    // Waits up to `timeout` for the answer. For a ForwardRequest, `timeout` limits the time without any message from
    // the peer rather than the whole request, because the peer sends heartbeats while it works.
    virtual PeerResult request(
        const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink)
        = 0;

    // Sends one request to several peers concurrently and waits until `enough` returns true, all peers have answered,
    // or the timeout has passed. The results are in the order of the addresses; a peer that was not asked has Rejected.
    virtual std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        const Fanout& fanout, const EnoughAnswers& enough)
        = 0;

    // Sends without waiting for an answer.
    virtual void notify(const std::string& address, const PeerRequest& request) = 0;

    // Ends the forwarded requests that wait for this peer with NoAnswer. Called when the peer no longer owns their
    // shard: it may have failed without its connections being closed.
    virtual void failForwardsTo(const std::string& address) = 0;
};

// Handles requests from other nodes. `sink` is used only for ForwardRequest; it returns false once the requesting node
// has cancelled the request or disconnected.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual PeerAnswer handlePeerRequest(const PeerRequest& request, const ChunkSink& sink) = 0;
};

} // namespace lovagecross
