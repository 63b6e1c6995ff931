#pragma once

// One lovagecross node: creates and connects its shards, membership, configuration, backend servers and router. All
// I/O goes through the interfaces in NodePorts; the daemon passes real adapters, tests may pass fakes.
//
//     Node node(settings, ports, incarnation);
//     node.start();
//     ForwardEnd answer = node.router().route(request, sink);
//     node.drain();
//     node.stop();
//
// Thread safety: every member may be called from any thread, except start and stop, which are called once each.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/config/Settings.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/runtime/ActiveConfiguration.h"
#include "lovagecross/runtime/AdmissionGate.h"
#include "lovagecross/runtime/Backends.h"
#include "lovagecross/runtime/BridgeStore.h"
#include "lovagecross/runtime/DecisionLog.h"
#include "lovagecross/runtime/Membership.h"
#include "lovagecross/runtime/ProgramService.h"
#include "lovagecross/runtime/Router.h"
#include "lovagecross/runtime/Shard.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lovagecross {

struct NodePorts {
    Clock& clock;
    ObjectStore& store;
    PeerClient& peers;
    ModelEngine& engines;
    ServiceClient& services;
    Counters& counters;
};

class Node final : public PeerHandler {
public:
    Node(const Settings& settings, NodePorts ports, std::uint64_t incarnation);
    ~Node() override;
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start();
    void stop();

    // Stops taking over shards, waits for running calls, up to the drain timeout, and hands over all owned shards.
    // Returns whether all of them were handed over.
    bool drain();
    bool draining() const { return this->isDraining; }

    PeerAnswer handlePeerRequest(const PeerRequest& request, const ChunkSink& sink) override;

    Router& router() { return *this->requestRouter; }
    Membership& members() { return this->membership; }
    ActiveConfiguration& configuration() { return this->config; }
    Backends& backendServers() { return this->backends; }
    const DecisionLog& decisions() const { return this->decisionLog; }
    const std::vector<std::unique_ptr<Shard>>& localShards() const { return this->shards; }
    const NodeIncarnation& self() const { return this->identity; }
    const Settings& settings() const { return this->nodeSettings; }
    Duration uptime() const { return this->ports.clock.now() - this->startedAt; }

private:
    void refreshSelfEntry(MemberEntry& entry) const;
    Shard* shardOf(const ShardId& id) const;
    bool watchesConfiguration() const;
    std::size_t admissionCapacity() const;
    void configurationChanged(const ConfigSnapshot& snapshot);
    void capacityLoop();
    void maintenanceLoop();
    void audit();
    void rebalance();

    Settings nodeSettings;
    NodePorts ports;
    NodeIncarnation identity;
    TimePoint startedAt;
    BridgeBudget bridgeBudget;
    Membership membership;
    ActiveConfiguration config;
    Backends backends;
    AdmissionGate gate;
    DecisionLog decisionLog;
    ProgramService service;
    std::vector<std::unique_ptr<Shard>> shards;
    std::unique_ptr<Router> requestRouter;
    std::atomic<bool> isDraining { false };
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread capacityThread;
    std::thread maintenanceThread;
};

} // namespace lovagecross
