#pragma once

// Keeps a node's directory up to date from publishers, nodes that read the platform themselves. The number of calls to
// the platform then doesn't grow with the number of entry nodes, and a node whose calls the platform rejects still
// receives changes.
//
// Each answer states how old the publisher's configuration and its server list are, counted from the read of the
// platform, whichever node made it. A publisher counts as up to date only if both are recent.
//
//     DirectoryFollower follower(settings, peers, directory, decode, clock);
//     Duration pause = follower.step(publishers);
//     if (!follower.upToDate()) ... read the platform directly ...
//
// Thread safety: `step` is called on one thread; `upToDate` may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/sharing/DirectoryTimes.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

// Decodes a configuration document in the platform's format. Logs an invalid document and returns nullopt.
using ConfigurationDecoder = std::function<std::optional<GatewayConfiguration>(const std::string& document)>;

// Receives the rate limits that a publisher knows.
using RateLimitSink = std::function<void(const std::vector<RateLimitNotice>& limits)>;

struct DirectoryFollowerSettings {
    DirectoryTimes times;
    std::string ownAddress {}; // of a node that is a publisher itself
    std::string relayAddress {}; // of an entry node that runs calls for others
    std::string dataCentre {};
    std::function<bool()> relays = [] { return false; }; // whether it can do so now
    CrashLedger* crashes = nullptr; // to be kept up to date as well, unless it is nullptr
    // The load of this node on the engines, to be reported to the publisher; nullopt: none is reported.
    std::function<std::optional<ProgramLoad>()> programLoad = [] { return std::nullopt; };
    std::function<void(const FleetShare&)> learnLoad = [](const FleetShare&) {}; // called if `programLoad` was reported
    // The load of this node by service, to be reported to the publisher; one without a node's name is ignored.
    std::function<NodeLoad()> load = [] { return NodeLoad(); };
    // Receives the loads by service that a publisher knows. `onTheWay`: from the request until the answer arrived.
    std::function<void(const DirectoryUpdate& update, Duration onTheWay)> learnLoads
        = [](const DirectoryUpdate&, Duration) {};
};

class DirectoryFollower {
public:
    DirectoryFollower(
        DirectoryFollowerSettings followerSettings, PeerClient& peerClient, Directory& target,
        ConfigurationDecoder configurationDecoder, const Clock& givenClock,
        RateLimitSink rateLimitSink = [](const std::vector<RateLimitNotice>&) {});

    // Asks the first publishers in order until one returns up-to-date data. The first publisher of all asks others only
    // while its own reads fail. Returns the delay until the next step.
    Duration step(std::vector<std::string> publishers);

    // Whether the last step found a publisher that was up to date.
    bool upToDate() const { return this->lastStepSucceeded; }

    // Whether this node is the one that reads the platform for the others.
    bool isFirst(const std::vector<std::string>& publishers) const;

private:
    bool fetchFrom(const std::string& publisher);
    void apply(const DirectoryUpdate& update, Duration onTheWay);
    void applyConfiguration(const DirectoryUpdate& update, Duration onTheWay);
    void applyCrashes(const DirectoryUpdate& update, const std::string& publisher);
    void logAge();

    const DirectoryFollowerSettings settings;
    PeerClient& peers;
    Directory& directory;
    const ConfigurationDecoder decode;
    const Clock& clock;
    const RateLimitSink learnLimits;
    std::atomic<bool> lastStepSucceeded { false };
    bool outdated = false; // as last logged
    std::map<std::string, CrashCursor> crashCursors; // by publisher
};

} // namespace lovagecross
