#pragma once

// Messages between nodes over ZeroMQ ROUTER/DEALER sockets, as protobuf `Envelope` messages
// (lovagecross/proto/peer.proto).
//
//     ZmqPeers peers(settings, counters);
//     std::string error = peers.start(handler);   // empty on success
//     PeerResult result = peers.request("10.0.0.2:7102", ConfigFetch {}, std::chrono::seconds(1), {});
//     peers.stop();
//
// One I/O thread owns all sockets. Requests from other nodes run in four thread pools, so that no group delays another:
// promises, gossip and configuration; bridge batches; records; forwarded calls.
//
// All limits are in the settings. A request that exceeds a limit ends with Rejected. So does a request whose peer could
// not be reached before the timeout, because it was never sent and therefore not executed.
//
// Thread safety: every member may be called from any thread; call `start` and `stop` at most once each. Call `stop`,
// which ends open requests, and let every `request` return before destroying the object.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lovagecross {

struct ZmqPeersSettings {
    std::string bindAddress; // IP:port; port 0 selects a free port
    std::string keyFile; // shared by all nodes, at least 32 bytes; empty: no authentication and no encryption
    Duration heartbeatInterval = std::chrono::seconds(1);
    std::uint32_t missedHeartbeats = 3; // after so many in a row, the peer of an open forward counts as lost
    // A connection on which a request waits and nothing has arrived for this time is replaced; 0: only the heartbeats
    // detect it. Must exceed the time that a handler may take.
    Duration silenceTimeout { 0 };
    std::size_t maxMessageBytes = 1024 * 1024 + 64 * 1024; // an object of 1 MB plus its header
    std::size_t maxAnswerBytes = 32 * 1024 * 1024; // answers larger than one message are sent in parts
    std::size_t maxRequestsInFlight = 4096;
    std::size_t maxQueuedBytesPerPeer = 40 * 1024 * 1024; // queued requests or queued answers
    std::size_t maxQueuedBytes = 80 * 1024 * 1024; // applies separately to requests to send, requests to serve,
                                                   // answers to send, and received answers that callers have not
                                                   // consumed
    std::size_t maxPeers = 512; // connections to other nodes
    Duration idleConnectionTimeout = std::chrono::minutes(2);
    std::size_t maxForwardWorkers = 256;
    std::size_t maxQueuedForwards = 1024;
    std::size_t maxQueuedControl = 1024;
    std::size_t maxQueuedBridge = 64;
    std::size_t maxRecordWorkers = 24; // each worker may block on disk I/O
    std::size_t maxQueuedRecords = 1024;
};

class ZmqPeers final : public PeerClient {
public:
    ZmqPeers(ZmqPeersSettings settings, Counters& counters);
    ~ZmqPeers() override;

    // Returns an error message, for example for an address in use or an unreadable key file; empty on success.
    // `handler` must remain valid until `stop` has returned.
    std::string start(PeerHandler& handler);

    // Returns the address that the socket is bound to, with the actual port.
    std::string boundAddress() const;

    // Ends open requests with NoAnswer, cancels running forwards and waits for the worker threads. Answers that are
    // complete by then are still sent; waits up to half a second for the requesting nodes to confirm that they have
    // read them.
    void stop();

    PeerResult request(
        const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink) override;
    std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        const Fanout& fanout, const EnoughAnswers& enough) override;
    void notify(const std::string& address, const PeerRequest& request) override;
    void failForwardsTo(const std::string& address) override;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace lovagecross
