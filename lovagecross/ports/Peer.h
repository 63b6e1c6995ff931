#pragma once

// Messages between nodes. Adapter: `adapters/ZmqPeers` (ZeroMQ ROUTER/DEALER, protobuf). Tests use a loopback fake.
//
// A request is one message with one answer, or one message with a stream of answers. Delivery is not guaranteed: a
// request that gets no answer in time ends with `PeerStatus::NoAnswer`, and the other side may or may not have acted.
//
// Thread safety: `PeerClient` may be called from any thread. The handler runs on the transport's worker threads,
// several at once.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/base/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecross {

struct PromiseRequest {
    ShardId shard;
    std::uint64_t epoch = 0;
    NodeIncarnation holder;
    NodeIncarnation standby; // the incarnation that the holder has registered
};

struct PromiseAnswer {
    bool promised = false;
    std::uint64_t epoch = 0;
    NodeIncarnation from; // the incarnation that answers; another one than asked for shows a restart
    Duration duration { 0 };
};

// A journal batch for the standby to keep.
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

// The platform holds everything before this position: copies below it can go.
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
    std::uint64_t heartbeat = 0; // grows while the node lives
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

// A caller's request, passed to the shard's owner.
struct ForwardRequest {
    ForwardKind kind = ForwardKind::Call;
    ShardId shard;
    std::string program; // empty for CreateProgram
    std::string requestId;
    std::string tenant; // authenticated by the entry node
    std::string path; // for Read: history, budget, calls/<id> or empty
    std::string bodyJson;
    std::uint32_t hops = 0; // refused above maxForwardHops, so that a stale view can't loop
};

inline constexpr std::uint32_t maxForwardHops = 2;

// The end of a forwarded request. Streamed text arrives before it.
struct ForwardEnd {
    int httpStatus = 0;
    std::string bodyJson;
};

// A message of the record store (lovagecross/records/RecordMessages.h), which encodes its own content.
struct RecordCall {
    std::string content;
};

struct RecordReply {
    std::string content;
};

// Asks a node that follows the registry for what differs from what the asking node knows.
struct DirectoryFetch {
    std::uint64_t configurationVersion = 0; // 0: none is known
    std::uint64_t serversDigest = 0; // of the servers known; 0: none are
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
};

struct DirectoryUpdate {
    bool registryKnown = false;
    std::int64_t registryAgeMillis = 0; // since the answering node read it with success
    std::uint64_t registryRevision = 0;
    bool hasServers = false; // `servers` is the whole list; otherwise it is as the asking node knows it
    std::vector<DirectoryServer> servers;
    std::string configurationDocument; // in the platform's own form; empty unless it is newer
};

using PeerRequest = std::variant<PromiseRequest, BridgeBatch, BridgeTrim, BridgeFetch, Gossip, ConfigFetch,
    ForwardRequest, RecordCall, DirectoryFetch>;
using PeerAnswer = std::variant<std::monostate, PromiseAnswer, BridgeAnswer, BridgeCopies, Gossip, ConfigDocument,
    ForwardEnd, RecordReply, DirectoryUpdate>;

enum class PeerStatus {
    Ok,
    NoAnswer, // nothing arrived in time, or the peer's heartbeats stopped
    Rejected, // malformed, too large, or not authenticated; nothing was done
};

struct PeerResult {
    PeerStatus status = PeerStatus::NoAnswer;
    PeerAnswer answer;
};

// Looks at the answers that have arrived, in the order of the addresses; an address without an answer yet has nullptr.
// Returning true ends the wait.
using EnoughAnswers = std::function<bool(const std::vector<const PeerResult*>& answers)>;

// Receives streamed text. Returning false cancels the request at the peer.
using ChunkSink = std::function<bool(std::string_view text)>;

class PeerClient {
public:
    virtual ~PeerClient() = default;

    // Waits up to `timeout` for the answer. For a ForwardRequest the timeout limits silence, not the whole
    // request: the peer sends heartbeats while it works.
    virtual PeerResult request(
        const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink)
        = 0;

    // Sends one request to several peers at once and waits until `enough` is satisfied, all have answered, or the
    // timeout has passed. The results are in the order of the addresses.
    virtual std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        Duration timeout, const EnoughAnswers& enough)
        = 0;

    // Sends without waiting for an answer.
    virtual void notify(const std::string& address, const PeerRequest& request) = 0;

    // Ends the forwarded requests that wait for this peer with NoAnswer: it no longer owns what they are for, and it
    // may be dead without its connections showing it.
    virtual void abandonForwards(const std::string& address) = 0;
};

// Serves requests of other nodes. `sink` is only used for ForwardRequest; it returns false once the asking node has
// cancelled or is gone.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual PeerAnswer handlePeerRequest(const PeerRequest& request, const ChunkSink& sink) = 0;
};

} // namespace lovagecross
