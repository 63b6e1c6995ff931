#pragma once

// Messages between nodes over ZeroMQ ROUTER/DEALER sockets, as protobuf `Envelope` messages
// (lovagecross/proto/peer.proto).
//
//     ZmqPeers peers(settings, counters);
//     std::string error = peers.start(handler);   // empty: it listens
//     PeerResult result = peers.request("10.0.0.2:7102", ConfigFetch {}, std::chrono::seconds(1), {});
//     peers.stop();
//
// One thread owns every socket. Requests of other nodes run on four groups of worker threads, so that none waits
// behind another kind: promises, gossip and configuration; bridge batches; records; forwarded calls.
//
// Every bound is in the settings. A request beyond a bound ends with Rejected, as does one whose peer could not be
// reached before the timeout: it was never sent, so nothing was done.
//
// Thread safety: any thread; `start` and `stop` once each. Destroy it only when every `request` has returned, which
// `stop` brings about.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lovagecross {

struct ZmqPeersSettings {
    std::string bindAddress; // IP:port; port 0 takes a free one
    std::string keyFile; // shared by all nodes, at least 32 bytes; empty: no authentication and no encryption
    Duration heartbeatInterval = std::chrono::seconds(1);
    std::uint32_t missedHeartbeats = 3; // in a row mean that the peer of an open forward is gone
    std::size_t maxMessageBytes = 1024 * 1024 + 64 * 1024; // an object of 1 MB and its header
    std::size_t maxAnswerBytes = 32 * 1024 * 1024; // larger answers than a message are sent in parts
    std::size_t maxRequestsInFlight = 4096;
    std::size_t maxQueuedBytesPerPeer = 40 * 1024 * 1024; // requests or answers that wait to be sent
    std::size_t maxQueuedBytes = 80 * 1024 * 1024; // each: requests to send, requests to serve, answers to send,
                                                   // answers not yet taken by their callers
    std::size_t maxPeers = 512; // connections to other nodes
    Duration closeIdleAfter = std::chrono::minutes(2);
    std::size_t maxForwardWorkers = 256;
    std::size_t maxQueuedForwards = 1024;
    std::size_t maxQueuedControl = 1024;
    std::size_t maxQueuedBridge = 64;
    std::size_t maxRecordWorkers = 24; // each may wait for the disk
    std::size_t maxQueuedRecords = 1024;
};

class ZmqPeers final : public PeerClient {
public:
    ZmqPeers(ZmqPeersSettings settings, Counters& counters);
    ~ZmqPeers() override;

    // Returns what went wrong, such as an address in use or an unreadable key file; empty on success. `handler` must
    // stay valid until `stop` has returned.
    std::string start(PeerHandler& handler);

    // The address that it listens on, with the port that was taken.
    std::string boundAddress() const;

    // Ends open requests with NoAnswer, cancels running forwards and waits for the handler's threads. Answers that are
    // ready by then are delivered; it waits up to half a second for the asking nodes to confirm that.
    void stop();

    PeerResult request(
        const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink) override;
    std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        Duration timeout, const EnoughAnswers& enough) override;
    void notify(const std::string& address, const PeerRequest& request) override;
    void abandonForwards(const std::string& address) override;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace lovagecross
