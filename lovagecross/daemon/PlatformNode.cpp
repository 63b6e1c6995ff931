#include "lovagecross/daemon/PlatformNode.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/adapters/ZmqPeers.h"
#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/daemon/Allocator.h"
#include "lovagecross/daemon/PeerMessageHandler.h"
#include "lovagecross/daemon/PlatformListeners.h"
#include "lovagecross/daemon/QuarantineApi.h"
#include "lovagecross/daemon/QuotaWiring.h"
#include "lovagecross/daemon/Signals.h"
#include "lovagecross/daemon/Spill.h"
#include "lovagecross/daemon/Version.h"
#include "lovagecross/gateway/CrashGuard.h"
#include "lovagecross/gateway/EngineSlots.h"
#include "lovagecross/gateway/Gateway.h"
#include "lovagecross/limits/PermitClient.h"
#include "lovagecross/limits/PermitIssuer.h"
#include "lovagecross/records/RecordClient.h"
#include "lovagecross/records/RecordNode.h"
#include "lovagecross/scheduling/LoadBoard.h"
#include "lovagecross/scheduling/ProgramAdmission.h"
#include "lovagecross/sharing/CrashExchange.h"
#include "lovagecross/sharing/CrashReporter.h"
#include "lovagecross/sharing/DirectoryFollower.h"
#include "lovagecross/sharing/DirectoryPublisher.h"
#include "lovagecross/sharing/RelayOffers.h"
#include "lovagecross/spill/LoadExchange.h"
#include "lovagecross/spill/LoadTable.h"
#include "platform/Feeds.h"
#include "platform/HeaderCodec.h"
#include "platform/ObjectApi.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr int exitStartFailed = 3;
constexpr Duration connectTimeout = milliseconds(400); // sized for backend servers in the same region
// Time until the load balancer sends no more calls: two failed readiness checks at one a second, plus network delay.
constexpr Duration balancerDetectionTime = milliseconds(2600);
// Part of the grace period (graceMillis) that is reserved for shutting down after the last call has ended.
constexpr Duration shutdownReserve = milliseconds(500);
// When all nodes of a fleet start at once, each reading the platform itself would be thousands of calls. A node leaves
// the record nodes that read for all this time to become reachable before it reads the platform itself.
constexpr Duration firstStartReadDelay = std::chrono::seconds(2);
constexpr Duration restartReadDelay = milliseconds(400);
// A fleet has a connection from each entry node to each record node, so idle ones are checked rarely; a connection that
// goes silent while it is in use is noticed sooner.
constexpr Duration peerHeartbeatInterval = std::chrono::seconds(2);
constexpr std::uint32_t missedPeerHeartbeats = 1;
constexpr Duration peerSilenceTimeout = std::chrono::seconds(1);
constexpr Duration poolPruneInterval = std::chrono::seconds(1);
constexpr std::size_t connectionsPerMegabyte = 6;
constexpr std::size_t minConnectionLimit = 128;
constexpr std::size_t maxConnectionLimit = 2000;
constexpr Duration relayConnectTimeout = milliseconds(300);
constexpr Duration serverWatchInterval = milliseconds(100);
constexpr Duration relayCheckInterval = milliseconds(200);
constexpr Duration relayRefreshInterval = std::chrono::seconds(5);
constexpr Duration urgentRelayRefreshInterval = milliseconds(500); // while this node reaches no server
constexpr Duration relayFetchTimeout = milliseconds(200);
constexpr std::size_t relaySourcesPerDataCentre = 2;
constexpr std::size_t maxRelaySources = 10;
constexpr std::size_t maxRelayConnections = 64; // nodes to which idle connections are kept
constexpr std::uint64_t relayedShareDivisor = 4; // calls of others may take a quarter of the connections
constexpr std::size_t publishersToTell = 3; // of a server that leaves, or has ended
constexpr std::size_t cacheMemoryDivisor = 8; // the turn cache gets an eighth of the memory setting

DirectoryTimes directoryTimesOf(const NodeSettings& settings)
{
    return directoryTimesFor(milliseconds(std::min(settings.configurationMillis, settings.serverDrainMillis)));
}

Tolerance toleranceOf(const NodeSettings& settings)
{
    return { settings.lossMachines, settings.lossDataCentres };
}

// Returns the record nodes to ask for the configuration and the registry, in the order in which to ask them: those of
// the own data centre first, then those of the others. In each data centre, the first record node by name reads the
// platform on behalf of all nodes there.
std::vector<std::string> publishersOf(const Roster& roster, const std::string& dataCentre)
{
    std::vector<std::string> addresses;
    for (bool sameDataCentre : { true, false }) {
        for (const RosterMember& member : roster.members) { // sorted by name
            if ((member.dataCentre == dataCentre) == sameDataCentre)
                addresses.push_back(member.address);
        }
    }
    return addresses;
}

// Returns the record nodes that know the entry nodes of each data centre.
std::vector<std::string> relaySourcesOf(const Roster& roster)
{
    std::map<std::string, std::size_t> chosen; // by data centre
    std::vector<std::string> addresses;
    for (const RosterMember& member : roster.members) {
        if (addresses.size() < maxRelaySources && chosen[member.dataCentre]++ < relaySourcesPerDataCentre)
            addresses.push_back(member.address);
    }
    return addresses;
}

ZmqPeersSettings peerSettings(const NodeSettings& settings)
{
    ZmqPeersSettings peers;
    peers.bindAddress = settings.peerAddress;
    peers.maxQueuedBytes = std::size_t(settings.memoryMegabytes) * 1024 * 1024 / 8;
    peers.maxQueuedBytesPerPeer = peers.maxQueuedBytes / 2;
    peers.heartbeatInterval = peerHeartbeatInterval;
    peers.missedHeartbeats = missedPeerHeartbeats;
    peers.silenceTimeout = peerSilenceTimeout;
    return peers;
}

// State that entry nodes and record nodes have in common.
struct NodeBase {
    explicit NodeBase(const NodeSettings& given)
        : settings(given)
        , api({ .address = given.platformAddress }, this->clock, this->counters)
        , peers(peerSettings(given), this->counters)
        , directory(this->clock)
        , crashes(this->clock, this->counters)
        , recordParts { this->clock, this->api, this->peers, this->counters }
        , ownReadsFrom(this->clock.now() + (given.firstStart ? firstStartReadDelay : restartReadDelay))
    {
    }

    // Returns whether this node may read what record nodes read for all.
    bool mayReadForItself() const { return this->clock.now() >= this->ownReadsFrom; }

    const NodeSettings& settings;
    SystemClock clock;
    Counters counters;
    platform::ObjectApi api;
    ZmqPeers peers;
    Directory directory;
    CrashLedger crashes;
    RecordNodeParts recordParts;
    const TimePoint ownReadsFrom;
};

class EntryNode {
public:
    explicit EntryNode(const NodeSettings& settings)
        : base(settings)
        , records(this->clientSettings(), this->base.recordParts)
        , plainSubset(settings.relayAddress.empty() ? settings.node : settings.relayAddress, settings.dataCentre)
        , serverBook(this->base.clock, settings.dataCentre, {}, &this->plainSubset)
        , spill({ settings.node, settings.dataCentre }, this->base.clock, this->base.counters, this->base.directory,
              this->serverBook)
        , paths(this->base.clock)
        , pool(this->base.clock, connectTimeout, &this->paths)
        , relayNodes(this->base.clock)
        , relayPool(this->base.clock, relayConnectTimeout)
        , crashGuard(this->base.clock, this->base.crashes, this->base.directory, this->pool, settings.node)
        , crashReporter(this->base.clock)
        , relayContext { settings.node, this->paths, this->relayNodes, this->relayPool }
        , permits(
              this->base.clock, this->base.peers, [this](const std::string& id) { return this->issuersOf(id); },
              this->base.counters)
        , quotas(this->base.clock, this->base.peers,
              quotaClientSettings(settings, this->base.directory,
                  [this](const std::string& tenant) { return this->issuersOf(tenant); }),
              this->base.counters)
        , newPrograms(this->base.clock, { .loadInterval = directoryTimesOf(settings).fetchInterval })
        , parts { this->base.clock, this->base.directory, this->serverBook, this->pool, this->codec, this->records,
            this->records, this->permits, GatewayCounters(this->base.counters) }
        , gateway({ settings.callerAddress, maxConnections(settings) }, this->parts)
        , follower(this->followerSettings(), this->base.peers, this->base.directory,
              platform::decodeConfigurationDocument, this->base.clock,
              [this](const std::vector<RateLimitNotice>& limits) { this->permits.learn(limits); })
        , directoryFeed(this->base.api, this->base.directory, this->base.clock, directoryTimesOf(settings),
              [this] { return !this->follower.upToDate() && this->base.mayReadForItself(); })
        , messageHandler(this->base.clock, this->base.directory,
              [this](const RecordRequest& request) { return this->handleRecordRequest(request); })
    {
    }

    std::string start()
    {
        if (std::string problem = this->base.peers.start(this->messageHandler); !problem.empty())
            return problem;
        this->base.directory.onChange([this](const DirectoryView& view) { this->onServersChanged(view); });
        this->connectParts();
        const NodeSettings& settings = this->base.settings;
        if (settings.spill == SpillMode::Measured)
            this->steps.add([this] { return this->spill.step(); });
        this->records.start();
        this->directoryFeed.start();
        this->steps.add([this] { return this->follower.step(this->publishers()); });
        if (quotaPolicyOf(settings).enforced())
            this->steps.add([this] { return this->quotas.step(); });
        if (!settings.relayAddress.empty())
            this->startRelaying(); // before the first call, which may need it
        this->gateway.start();
        this->readyListener = std::make_unique<ReadyListener>(
            settings.readyAddress, this->base.counters, settings.readyPath, [this] { return this->notReadyReason(); });
        if (!settings.metricsAddress.empty())
            this->metricsListener
                = std::make_unique<MetricsListener>(settings.metricsAddress, this->base.counters, this->quarantineApi);
        this->steps.add([this] { return this->watchServers(); });
        this->steps.add([this] { return this->pruneConnectionPool(); });
        return {};
    }

    // Answers the requests already read before the process ends: reports not ready, waits until the load balancer has
    // stopped sending calls, then closes the listener and waits for the calls in progress, up to the grace period.
    void stop()
    {
        TimePoint end = this->base.clock.now() + milliseconds(this->base.settings.graceMillis) - shutdownReserve;
        this->gateway.drain();
        std::this_thread::sleep_for(balancerDetectionTime);
        this->gateway.stop(end - this->base.clock.now());
        if (this->relayGateway)
            this->relayGateway->stop(end - this->base.clock.now());
        this->readyListener->stop();
        if (this->metricsListener)
            this->metricsListener->stop();
    }

private:
    // Gives the gateway the optional parts that the settings ask for.
    void connectParts()
    {
        const NodeSettings& settings = this->base.settings;
        this->parts.reportLeavingServer = [this](const ServerKey& server) { this->reportLeavingServer(server); };
        this->parts.crashes = &this->crashGuard;
        if (settings.engineOrder == EngineOrder::Programs)
            this->parts.newPrograms = &this->newPrograms;
        this->parts.revocation = { settings.strictRevocation, milliseconds(settings.revocationMillis) };
        this->parts.memory.setShares(memorySharesOf(settings.memoryMegabytes * bytesPerMegabyte));
        if (settings.spill == SpillMode::Measured)
            this->parts.spill = &this->spill.control();
        if (quotaPolicyOf(settings).enforced())
            this->parts.quotas = &this->quotas;
    }

    RecordClientSettings clientSettings() const
    {
        RecordClientSettings client;
        client.dataCentre = this->base.settings.dataCentre;
        client.ownAddress = this->base.settings.advertisedAddress;
        client.tolerance = toleranceOf(this->base.settings);
        client.seeds = this->base.settings.seeds;
        client.cacheBytes = std::size_t(this->base.settings.memoryMegabytes) * 1024 * 1024 / cacheMemoryDivisor;
        return client;
    }

    static int maxConnections(const NodeSettings& settings)
    {
        return static_cast<int>(
            std::clamp(settings.memoryMegabytes * connectionsPerMegabyte, minConnectionLimit, maxConnectionLimit));
    }

    // Returns why the readiness check fails, or an empty string while the node accepts calls.
    std::string notReadyReason() const
    {
        auto view = this->base.directory.view();
        if (this->parts.draining)
            return "stopping";
        if (!view->configuration)
            return "no configuration received yet";
        if (!view->registryKnown)
            return "server registry not received yet";
        if (this->records.shouldLeaveRotation())
            return "record nodes are unreachable";
        if (!this->paths.reachesServers() && this->relayNodes.empty())
            return "backend servers are unreachable";
        return {};
    }

    std::vector<std::string> publishers() const
    {
        return publishersOf(this->records.roster(), this->base.settings.dataCentre);
    }

    DirectoryFollowerSettings followerSettings()
    {
        DirectoryFollowerSettings settings { directoryTimesOf(this->base.settings) };
        settings.relayAddress = this->base.settings.relayAddress;
        settings.dataCentre = this->base.settings.dataCentre;
        settings.crashes = &this->base.crashes;
        settings.programLoad = [this]() -> std::optional<ProgramLoad> {
            if (this->parts.newPrograms == nullptr)
                return std::nullopt;
            return this->newPrograms.report(this->base.settings.node, this->parts.onEngines);
        };
        settings.learnLoad = [this](const FleetShare& fleet) {
            this->newPrograms.learn(fleet, engineSlots(*this->base.directory.view(), this->base.settings.dataCentre));
        };
        if (this->base.settings.spill == SpillMode::Measured)
            this->spill.addTo(settings);
        settings.relays
            = [this] { return this->paths.reachesServers() && this->reachesRecords() && !this->parts.draining; };
        return settings;
    }

    // Takes calls of other nodes, and finds out whether this node needs others for its own.
    void startRelaying()
    {
        const NodeSettings& settings = this->base.settings;
        this->parts.relay = &this->relayContext;
        this->relayContext.maxCalls = static_cast<std::uint64_t>(maxConnections(settings)) / relayedShareDivisor;
        this->relayContext.reachesRecords = [this] { return this->reachesRecords(); };
        GatewaySettings listener { settings.relayAddress, maxConnections(settings) / 2, CallOrigin::Node };
        this->relayGateway = std::make_unique<Gateway>(listener, this->parts);
        this->relayGateway->start();
        this->steps.add([this] { return this->refreshRelayNodes(); });
    }

    bool reachesRecords() const { return this->records.reachability() != Reachability::Partitioned; }

    Duration watchServers()
    {
        if (this->parts.relay != nullptr)
            this->probeServers();
        this->crashReporter.add(this->crashGuard.step());
        this->reportCrashes();
        return serverWatchInterval;
    }

    // Tells the publishers that this node follows. Their other followers learn it with the server list.
    void reportCrashes()
    {
        CrashReport report;
        report.notices = this->crashReporter.takeDue();
        if (report.notices.empty())
            return;
        for (const std::string& address : this->firstPublishers())
            this->base.peers.notify(address, report);
    }

    void probeServers()
    {
        auto view = this->base.directory.view();
        std::vector<ServerEntry> servers = this->paths.serversToProbe(*view, this->parts.running > 0);
        std::vector<Poco::Net::SocketAddress> addresses;
        addresses.reserve(servers.size());
        for (const ServerEntry& server : servers)
            addresses.emplace_back(server.address);
        this->base.counters.counter("gateway.pathProbes").add(servers.size());
        std::vector<bool> opened
            = probeConnections(addresses, this->base.clock.now() + connectTimeout, this->base.clock);
        for (std::size_t i = 0; i < servers.size(); ++i)
            this->pool.noteConnect(servers[i].id, opened[i] ? ConnectOutcome::Opened : ConnectOutcome::TimedOut);
    }

    Duration refreshRelayNodes()
    {
        TimePoint now = this->base.clock.now();
        Duration interval = this->paths.reachesServers() ? relayRefreshInterval : urgentRelayRefreshInterval;
        if (now - this->relaysRefreshedAt < interval)
            return relayCheckInterval;
        this->relaysRefreshedAt = now;
        std::vector<std::string> sources = relaySourcesOf(this->records.roster());
        std::vector<PeerResult> results
            = this->base.peers.requestAll(sources, RelayFetch { this->base.settings.relayAddress },
                Fanout { relayFetchTimeout }, [](const std::vector<const PeerResult*>&) { return false; });
        std::map<std::string, RelayNode> nodes;
        for (const PeerResult& result : results) {
            const auto* list = std::get_if<RelayList>(&result.answer);
            for (const RelayNode& node : list != nullptr ? list->nodes : std::vector<RelayNode>())
                nodes[node.address] = node;
        }
        std::vector<RelayNode> known;
        std::vector<std::string> sameDataCentre; // addresses
        known.reserve(nodes.size());
        for (const auto& [address, node] : nodes) {
            known.push_back(node);
            if (node.dataCentre == this->base.settings.dataCentre)
                sameDataCentre.push_back(address);
        }
        this->plainSubset.addNodes(sameDataCentre, now);
        this->relayNodes.replace(std::move(known));
        return relayCheckInterval;
    }

    // The publishers that are told what this node finds out.
    std::vector<std::string> firstPublishers() const
    {
        std::vector<std::string> addresses = this->publishers();
        addresses.resize(std::min(addresses.size(), publishersToTell));
        return addresses;
    }

    // Tells the publishers that this node follows. Their other followers learn it with the server list.
    void reportLeavingServer(const ServerKey& server)
    {
        for (const std::string& address : this->firstPublishers())
            this->base.peers.notify(address, LeavingReport { { { server.id, server.startedUnixMillis } } });
    }

    // Returns the issuers of permits for a server, or of a tenant's quota, those of the own data centre first.
    std::vector<std::string> issuersOf(const std::string& serverId) const
    {
        Roster roster = this->records.roster();
        std::vector<const RosterMember*> issuers = replicasOf(roster, serverId, toleranceOf(this->base.settings));
        std::stable_partition(issuers.begin(), issuers.end(),
            [this](const RosterMember* member) { return member->dataCentre == this->base.settings.dataCentre; });
        std::vector<std::string> addresses;
        addresses.reserve(issuers.size());
        for (const RosterMember* member : issuers)
            addresses.push_back(member->address);
        return addresses;
    }

    RecordResponse handleRecordRequest(const RecordRequest& request) const
    {
        RecordResponse response;
        if (!std::holds_alternative<InspectRequest>(request))
            return response; // the default status, NotReady: an entry node stores no records
        response.status = RecordStatus::Ok;
        response.complete = this->records.reachability() == Reachability::Reachable;
        Roster roster = this->records.roster();
        if (roster.epoch > 0)
            response.roster = std::move(roster);
        return response;
    }

    void onServersChanged(const DirectoryView& view)
    {
        std::set<std::string> serverIds;
        for (const auto& [service, servers] : view.servers) {
            for (const ServerEntry& server : servers)
                serverIds.insert(server.id);
        }
        this->serverBook.retain(serverIds);
    }

    Duration pruneConnectionPool()
    {
        std::vector<std::string> ids;
        auto view = this->base.directory.view();
        for (const auto& [service, servers] : view->servers) {
            for (const ServerEntry& server : servers)
                ids.push_back(server.id);
        }
        this->pool.prune(ids);
        std::vector<std::string> relayAddresses;
        for (const RelayNode& node : this->relayNodes.choose(maxRelayConnections))
            relayAddresses.push_back(node.address);
        this->relayPool.prune(relayAddresses);
        return poolPruneInterval;
    }

    NodeBase base;
    RecordClient records;
    ServerSubset plainSubset;
    ServerStatistics serverBook;
    Spill spill;
    ServerPaths paths;
    ConnectionPool pool;
    RelayTable relayNodes;
    ConnectionPool relayPool;
    CrashGuard crashGuard;
    CrashReporter crashReporter;
    RelayContext relayContext;
    TimePoint relaysRefreshedAt;
    PermitClient permits;
    QuotaClient quotas;
    ProgramAdmission newPrograms;
    platform::HeaderCodec codec;
    GatewayContext parts;
    Gateway gateway;
    std::unique_ptr<Gateway> relayGateway; // nullptr without a relay address
    DirectoryFollower follower;
    platform::DirectoryFeed directoryFeed;
    PeerMessageHandler messageHandler;
    const QuarantineApi quarantineApi { this->base.crashes,
        [this](const std::string& call) { return this->crashGuard.release(call, CrashSource::Operator); } };
    std::unique_ptr<ReadyListener> readyListener;
    std::unique_ptr<MetricsListener> metricsListener;
    platform::PollingThreads steps;
};

class StorageNode {
public:
    explicit StorageNode(const NodeSettings& settings)
        : base(settings)
        , records(nodeSettings(settings), this->base.recordParts)
        , follower(this->followerSettings(), this->base.peers, this->base.directory,
              platform::decodeConfigurationDocument, this->base.clock)
        , directoryFeed(this->base.api, this->base.directory, this->base.clock, directoryTimesOf(settings),
              [this] { return this->mustReadPlatform(); })
        , retirementFeed(this->base.api, this->records, settings.node)
        , issuer(this->base.clock, this->base.peers, this->slicePlacement(), this->base.counters)
        , quotaIssuer(this->base.clock, this->base.peers,
              quotaIssuerSettings(settings, this->base.directory, [this] { return this->records.roster(); }),
              this->base.counters)
        , crashExchange(
              this->base.peers, this->base.crashes, this->base.directory, [this] { return this->otherPublishers(); })
        , loads(settings.node, this->base.clock)
        , loadExchange(this->base.peers, this->loads, [this] { return this->otherPublishers(); })
        , messageHandler(
              this->base.clock, this->base.directory,
              [this](const RecordRequest& request) { return this->records.handle(request); },
              RecordServices { this->issuer, this->quotaIssuer, this->base.crashes, this->crashExchange, this->loads })
    {
    }

    std::string start()
    {
        if (std::string problem = this->records.load(); !problem.empty())
            return problem;
        this->quotaIssuer.start();
        if (std::string problem = this->base.peers.start(this->messageHandler); !problem.empty())
            return problem;
        this->records.start();
        this->directoryFeed.start();
        this->steps.add([this] { return this->follower.step(this->publishers()); });
        if (quotaPolicyOf(this->base.settings).enforced())
            this->steps.add([this] { return this->quotaIssuer.step(); });
        this->steps.add([this] { return this->crashExchange.step(); });
        this->steps.add([this] { return this->loadExchange.step(); });
        this->retirementFeed.start();
        if (!this->base.settings.metricsAddress.empty())
            this->metricsListener = std::make_unique<MetricsListener>(
                this->base.settings.metricsAddress, this->base.counters, this->quarantineApi);
        return {};
    }

    void stop()
    {
        this->records.leaveBeforeShutdown(milliseconds(this->base.settings.graceMillis) - shutdownReserve);
        this->base.peers.stop();
        this->records.stop();
    }

private:
    static RecordNodeSettings nodeSettings(const NodeSettings& settings)
    {
        RecordNodeSettings node;
        node.node = settings.node;
        node.address = settings.advertisedAddress;
        node.dataCentre = settings.dataCentre;
        node.dataFolder = settings.dataFolder;
        node.diskBytes = std::size_t(settings.diskMegabytes) * 1024 * 1024;
        node.memoryBytes = std::size_t(settings.memoryMegabytes) * 1024 * 1024;
        node.firstStart = settings.firstStart;
        node.tolerance = toleranceOf(settings);
        return node;
    }

    std::vector<std::string> publishers() const
    {
        return publishersOf(this->records.roster(), this->base.settings.dataCentre);
    }

    SlicePlacement slicePlacement()
    {
        return { [this](const std::string& serverId) { return this->slicesOf(serverId); },
            [this] { return this->otherPublishers(); } };
    }

    std::vector<std::string> otherPublishers() const
    {
        std::vector<std::string> others = this->publishers();
        std::erase(others, this->base.settings.advertisedAddress);
        return others;
    }

    std::size_t slicesOf(const std::string& serverId) const
    {
        Roster roster = this->records.roster();
        std::vector<const RosterMember*> issuers = replicasOf(roster, serverId, toleranceOf(this->base.settings));
        bool isIssuer = std::any_of(issuers.begin(), issuers.end(),
            [this](const RosterMember* member) { return member->node == this->base.settings.node; });
        return isIssuer ? issuers.size() : 0;
    }

    DirectoryFollowerSettings followerSettings() const
    {
        DirectoryFollowerSettings follower { directoryTimesOf(this->base.settings) };
        follower.ownAddress = this->base.settings.advertisedAddress;
        return follower;
    }

    // Whether this node reads the platform for all nodes of its data centre, or for itself.
    bool mustReadPlatform() const
    {
        if (this->follower.isFirst(this->publishers()))
            return true;
        return !this->follower.upToDate() && this->base.mayReadForItself();
    }

    NodeBase base;
    RecordNode records;
    DirectoryFollower follower;
    platform::DirectoryFeed directoryFeed;
    platform::RetirementFeed retirementFeed;
    PermitIssuer issuer;
    QuotaIssuer quotaIssuer;
    CrashExchange crashExchange;
    LoadTable loads;
    LoadExchange loadExchange;
    PeerMessageHandler messageHandler;
    const QuarantineApi quarantineApi { this->base.crashes,
        [this](const std::string& call) {
            return this->crashExchange.handle({ { releaseNotice(call, this->base.settings.node) }, false });
        } };
    std::unique_ptr<MetricsListener> metricsListener;
    platform::PollingThreads steps;
};

template <typename NodeType> int runUntilSignal(const NodeSettings& settings)
{
    Signals signals;
    auto node = std::make_unique<NodeType>(settings);
    if (std::string problem = node->start(); !problem.empty()) {
        LogLine(LogLevel::Error, "can't start").field("why", problem).write();
        flushLog();
        return exitStartFailed;
    }
    LogLine(LogLevel::Info, "started")
        .field("node", settings.node)
        .field("mode", nodeModeNames.name(settings.mode))
        .field("dataCentre", settings.dataCentre)
        .field("firstStart", settings.firstStart)
        .field("version", versionText)
        .write();
    int signal = 0;
    while ((signal = signals.wait()) == SIGHUP)
        LogLine(LogLevel::Info, "reload").field("node", settings.node).write();
    LogLine(LogLevel::Info, "stopping").field("signal", signal).write();
    node->stop();
    LogLine(LogLevel::Info, "stopped").field("node", settings.node).write();
    flushLog();
    // Call threads that are still running after the grace period use the node, so exit without destroying it.
    std::_Exit(0);
}

} // namespace

int runPlatformNode(const NodeSettings& settings)
{
    returnFreedMemory();
    setUpLogging(settings.logLevel, LogFormat::Json, LogTarget::StandardOutput);
    return settings.mode == NodeMode::Entry ? runUntilSignal<EntryNode>(settings)
                                            : runUntilSignal<StorageNode>(settings);
}

} // namespace lovagecross
