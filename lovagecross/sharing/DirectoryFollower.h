#pragma once

// Keeps a node's directory up to date from publishers, nodes that read the registry themselves. The number of calls to
// the platform then doesn't grow with the number of entry nodes, and a node whose calls the platform rejects still
// receives changes.
//
//     DirectoryFollower follower(settings, peers, directory, decode, clock);
//     Duration pause = follower.step(publishers);
//     if (!follower.upToDate()) ... read the platform directly ...
//
// Thread safety: `step` is called on one thread; `upToDate` may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

// Decodes a configuration document in the platform's format. Logs an invalid document and returns nullopt.
using ConfigurationDecoder = std::function<std::optional<GatewayConfiguration>(const std::string& document)>;

// Receives the rate limits that a publisher knows.
using RateLimitSink = std::function<void(const std::vector<RateLimitNotice>& limits)>;

struct DirectoryFollowerSettings {
    Duration interval = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::milliseconds(200);
    Duration maxRegistryAge = std::chrono::milliseconds(1200); // if the answer is older, the next publisher is asked
};

class DirectoryFollower {
public:
    DirectoryFollower(
        DirectoryFollowerSettings followerSettings, PeerClient& peerClient, Directory& target,
        ConfigurationDecoder configurationDecoder, const Clock& givenClock,
        RateLimitSink rateLimitSink = [](const std::vector<RateLimitNotice>&) {});

    // Asks the first publishers in order until one returns up-to-date data. Returns the delay until the next step.
    Duration step(const std::vector<std::string>& publishers);

    // Whether the last step found a publisher with a recent registry read.
    bool upToDate() const { return this->lastStepSucceeded; }

private:
    bool fetchFrom(const std::string& publisher);
    void apply(const DirectoryUpdate& update);

    const DirectoryFollowerSettings settings;
    PeerClient& peers;
    Directory& directory;
    const ConfigurationDecoder decode;
    const Clock& clock;
    const RateLimitSink learnLimits;
    std::atomic<bool> lastStepSucceeded { false };
};

} // namespace lovagecross
