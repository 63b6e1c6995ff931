#include "lovagecross/runtime/Node.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration maintenanceInterval = std::chrono::milliseconds(500);
constexpr Duration capacityInterval = std::chrono::milliseconds(200);
constexpr Duration loadInterval = std::chrono::milliseconds(500);
constexpr Duration rebalanceInterval = std::chrono::seconds(5);
constexpr std::size_t defaultCapacity = 64; // admitted calls while no model server is configured in this data centre

MemberEntry selfEntry(const Settings& settings, const NodeIncarnation& identity)
{
    MemberEntry entry;
    entry.node = identity;
    entry.dataCentre = settings.dataCentre;
    entry.peerAddress = settings.peerAddress;
    entry.callerAddress = settings.callerAddress;
    entry.adminAddress = settings.adminAddress;
    return entry;
}

ShardSettings shardSettings(const Settings& settings)
{
    ShardSettings result;
    result.lease.leaseDuration = std::chrono::milliseconds(settings.leaseMillis);
    result.lease.promiseInterval = std::chrono::milliseconds(settings.promiseIntervalMillis);
    result.lease.horizon = std::chrono::milliseconds(settings.horizonMillis);
    result.journal.minCommitInterval = std::chrono::milliseconds(settings.minCommitIntervalMillis);
    result.bridgeFetchTimeout = std::chrono::milliseconds(settings.bridgeFetchMillis);
    result.drainTimeout = std::chrono::milliseconds(settings.drainMillis);
    result.bridgeBytes = settings.bridgeBytes;
    return result;
}

// Visitor that answers each type of peer request.
struct PeerDispatch {
    Node& node;
    Membership& membership;
    ActiveConfiguration& config;
    const ChunkSink& sink;
    std::function<Shard*(const ShardId&)> shardOf;

    PeerAnswer operator()(const PromiseRequest& request) const
    {
        Shard* shard = this->shardOf(request.shard);
        this->membership.recordContact(request.holder);
        return shard ? PeerAnswer(shard->answerPromise(request)) : PeerAnswer();
    }

    PeerAnswer operator()(const BridgeBatch& batch) const
    {
        Shard* shard = this->shardOf(batch.shard);
        return shard ? PeerAnswer(shard->keepBridgeBatch(batch)) : PeerAnswer();
    }

    PeerAnswer operator()(const BridgeTrim& trim) const
    {
        if (Shard* shard = this->shardOf(trim.shard))
            shard->trimBridge(trim);
        return {};
    }

    PeerAnswer operator()(const BridgeFetch& fetch) const
    {
        Shard* shard = this->shardOf(fetch.shard);
        return shard ? PeerAnswer(shard->bridgeCopies()) : PeerAnswer();
    }

    PeerAnswer operator()(const Gossip& gossip) const
    {
        Gossip answer = this->membership.exchange(gossip);
        std::uint64_t version = this->config.current()->version;
        bool newer = std::any_of(gossip.entries.begin(), gossip.entries.end(),
            [&](const MemberEntry& entry) { return entry.configVersion > version; });
        if (newer)
            this->config.notifyNewerVersion();
        return answer;
    }

    PeerAnswer operator()(const ConfigFetch&) const
    {
        std::shared_ptr<const ConfigSnapshot> current = this->config.current();
        return ConfigDocument { current->version, current->json };
    }

    PeerAnswer operator()(const ForwardRequest& request) const
    {
        return this->node.router().serveForwarded(request, this->sink);
    }

    // These requests are served only by nodes on a platform with a registry.
    PeerAnswer operator()(const RecordCall&) const { return {}; }
    PeerAnswer operator()(const DirectoryFetch&) const { return {}; }
    PeerAnswer operator()(const PermitRequest&) const { return {}; }
    PeerAnswer operator()(const LimitReport&) const { return {}; }
    PeerAnswer operator()(const LeavingReport&) const { return {}; }
    PeerAnswer operator()(const RelayFetch&) const { return {}; }
    PeerAnswer operator()(const CrashReport&) const { return {}; }
    PeerAnswer operator()(const QuotaRequest&) const { return {}; }
    PeerAnswer operator()(const LoadReport&) const { return {}; }
};

} // namespace

Node::Node(const Settings& settings, NodePorts nodePorts, std::uint64_t incarnation)
    : nodeSettings(settings)
    , ports(nodePorts)
    , identity { settings.node, incarnation }
    , startedAt(ports.clock.now())
    , bridgeBudget(settings.bridgeBytes)
    , membership(selfEntry(settings, this->identity), MembershipSettings {},
          std::chrono::milliseconds(settings.gossipIntervalMillis), settings.seeds, ports.clock, ports.peers,
          ports.store, incarnation)
    , config(ports.clock, ports.store, ports.peers, this->membership, ports.counters,
          std::chrono::milliseconds(settings.configPollMillis))
    , backends(ports.clock, ports.engines, settings.dataCentre, incarnation)
    , gate(ports.clock)
    , service(ports.clock, this->config, this->backends, this->gate, ports.engines, ports.services, ports.counters,
          this->decisionLog)
{
    for (std::uint32_t index = 0; index < settings.shards; ++index) {
        ShardEnvironment environment { this->ports.clock, this->ports.store, this->ports.peers, this->membership,
            this->ports.counters, this->bridgeBudget, this->identity, settings.peerAddress };
        this->shards.push_back(
            std::make_unique<Shard>(ShardId { settings.dataCentre, index }, shardSettings(settings), environment));
    }
    this->requestRouter = std::make_unique<Router>(this->ports.clock, settings.dataCentre, this->shards,
        this->membership, this->ports.peers, this->service, this->ports.counters);
    this->gate.configure({}, defaultCapacity);
}

Node::~Node()
{
    this->stop();
}

void Node::start()
{
    this->membership.start([this](MemberEntry& entry) { this->refreshSelfEntry(entry); });
    this->config.start([this] { return this->watchesConfiguration(); },
        [this](const ConfigSnapshot& snapshot) { this->configurationChanged(snapshot); });
    this->backends.start(loadInterval);
    for (const auto& shard : this->shards)
        shard->start();
    this->capacityThread = std::thread([this] { this->capacityLoop(); });
    this->maintenanceThread = std::thread([this] { this->maintenanceLoop(); });
}

void Node::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    if (this->capacityThread.joinable())
        this->capacityThread.join();
    if (this->maintenanceThread.joinable())
        this->maintenanceThread.join();
    for (const auto& shard : this->shards)
        shard->stop();
    this->backends.stop();
    this->config.stop();
    this->membership.stop();
}

bool Node::drain()
{
    this->isDraining = true;
    for (const auto& shard : this->shards)
        shard->setDraining();
    std::vector<std::thread> handOvers;
    std::atomic<bool> all { true };
    for (const auto& shard : this->shards)
        handOvers.emplace_back([&all, target = shard.get()] {
            if (!target->handOver())
                all = false;
        });
    for (std::thread& handOver : handOvers)
        handOver.join();
    LogLine(LogLevel::Info, "drained").field("complete", all.load()).write();
    return all;
}

void Node::refreshSelfEntry(MemberEntry& entry) const
{
    entry.configVersion = this->config.current()->version;
    entry.draining = this->isDraining;
    entry.shards.clear();
    for (const auto& shard : this->shards) {
        ShardView view = shard->view();
        if (view.serving)
            entry.shards.push_back({ view.id.index, view.lease->epoch });
    }
}

Shard* Node::shardOf(const ShardId& id) const
{
    if (id.dataCentre != this->nodeSettings.dataCentre || id.index >= this->shards.size())
        return nullptr;
    return this->shards[id.index].get();
}

// Only the owner of the data centre's first shard watches the platform, so that a data centre has one watch.
bool Node::watchesConfiguration() const
{
    return this->shards.front()->owned() != nullptr;
}

void Node::configurationChanged(const ConfigSnapshot& snapshot)
{
    this->backends.configure(snapshot.configuration);
    std::vector<RankPolicy> policies;
    for (const Rank& rank : snapshot.configuration.ranks)
        policies.push_back({ rank.name, rank.urgency, rank.floorPercent, rank.maxQueued });
    this->gate.configure(std::move(policies), this->admissionCapacity());
}

// Returns this node's share of the slots usable now on the data centre's model servers. They are divided among the
// nodes that own shards, since only these run calls, and rounded up so that no slot stays unused.
std::size_t Node::admissionCapacity() const
{
    std::optional<std::size_t> slots = this->backends.localSlots();
    if (!slots)
        return defaultCapacity;
    std::vector<MemberView> members = this->membership.members();
    auto others = std::count_if(members.begin(), members.end(), [&](const MemberView& member) {
        return member.entry.dataCentre == this->nodeSettings.dataCentre && member.state == MemberState::Alive
            && member.entry.node.node != this->identity.node && !member.entry.shards.empty();
    });
    bool ownsShards
        = std::any_of(this->shards.begin(), this->shards.end(), [](const auto& shard) { return shard->owned(); });
    std::size_t nodes = std::max<std::size_t>(1, static_cast<std::size_t>(others) + (ownsShards ? 1 : 0));
    return std::max<std::size_t>(1, (*slots + nodes - 1) / nodes);
}

PeerAnswer Node::handlePeerRequest(const PeerRequest& request, const ChunkSink& sink)
{
    PeerDispatch dispatch { *this, this->membership, this->config, sink,
        [this](const ShardId& id) { return this->shardOf(id); } };
    return std::visit(dispatch, request);
}

// Runs on its own thread because the maintenance loop blocks on engines that do not answer, which is exactly when the
// number of usable slots changes.
void Node::capacityLoop()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        this->gate.setCapacity(this->admissionCapacity());
        lock.lock();
        this->wake.wait_for(lock, capacityInterval, [&] { return this->stopping; });
    }
}

void Node::maintenanceLoop()
{
    TimePoint audited = this->ports.clock.now();
    TimePoint rebalanced = audited;
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait_for(lock, maintenanceInterval, [&] { return this->stopping; });
            if (this->stopping)
                return;
        }
        for (const auto& shard : this->shards)
            this->service.releaseSessions(*shard);
        TimePoint now = this->ports.clock.now();
        if (now - audited >= std::chrono::milliseconds(this->nodeSettings.auditIntervalMillis)) {
            audited = now;
            this->audit();
        }
        if (now - rebalanced >= rebalanceInterval) {
            rebalanced = now;
            this->rebalance();
        }
    }
}

void Node::audit()
{
    for (const BackendServer& server : this->backends.servers(BackendKind::Model)) {
        std::vector<std::string> sessions;
        if (!this->ports.engines.listSessions(server.address, sessions))
            continue;
        for (const auto& shard : this->shards)
            this->service.auditSessions(*shard, server, sessions);
    }
}

// Hands one shard over when another live node of the data centre owns at least two shards fewer than this node.
void Node::rebalance()
{
    if (this->isDraining)
        return;
    std::size_t held = 0;
    Shard* candidate = nullptr;
    for (const auto& shard : this->shards) {
        if (!shard->owned())
            continue;
        ++held;
        candidate = shard.get();
    }
    if (held < 2)
        return;
    std::vector<MemberView> others = this->membership.standbyCandidates(candidate->id());
    bool uneven = std::any_of(
        others.begin(), others.end(), [&](const MemberView& other) { return other.entry.shards.size() + 2 <= held; });
    if (!uneven)
        return;
    LogLine(LogLevel::Info, "rebalance").field("shard", candidate->id().toString()).field("held", held).write();
    candidate->handOver();
}

} // namespace lovagecross
