#pragma once

// Keeps a node's directory up to date from nodes that follow the registry themselves, so that the number of calls to
// the platform doesn't grow with the entry nodes, and so that a node that the platform refuses still learns of changes.
//
//     DirectoryFollower follower(settings, peers, directory, decode, clock);
//     Duration pause = follower.step(publishers);
//     if (!follower.upToDate()) ... read the platform directly ...
//
// Thread safety: `step` on one thread; `upToDate` from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

// Turns a configuration in the platform's own form into the product's; nullopt, with a log line, for a bad one.
using ConfigurationDecoder = std::function<std::optional<GatewayConfiguration>(const std::string& document)>;

struct DirectoryFollowerSettings {
    Duration interval = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::milliseconds(200);
    Duration oldestRegistry = std::chrono::milliseconds(1200); // read by the publisher longer ago: ask another one
};

class DirectoryFollower {
public:
    DirectoryFollower(DirectoryFollowerSettings followerSettings, PeerClient& peerClient, Directory& target,
        ConfigurationDecoder configurationDecoder, const Clock& givenClock);

    // Asks one publisher after the other, the first of `publishers` first, until one gives a fresh answer. Returns the
    // pause until the next step.
    Duration step(const std::vector<std::string>& publishers);

    // Whether the last step found a publisher that follows the registry.
    bool upToDate() const { return this->fresh; }

private:
    bool ask(const std::string& publisher);
    void take(const DirectoryUpdate& update);

    const DirectoryFollowerSettings settings;
    PeerClient& peers;
    Directory& directory;
    const ConfigurationDecoder decode;
    const Clock& clock;
    std::atomic<bool> fresh { false };
};

} // namespace lovagecross
