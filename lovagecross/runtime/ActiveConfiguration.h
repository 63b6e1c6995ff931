#pragma once

// The configuration in force on this node. Its version never decreases. New versions come from a watch on the platform
// (on the node that owns the data centre's first shard), from a peer that announces a higher version by gossip, and
// from polling the platform as a fallback.
//
// Thread safety: every member may be called from any thread. `current()` returns an immutable snapshot.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/config/Configuration.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/runtime/Membership.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lovagecross {

struct ConfigSnapshot {
    std::uint64_t version = 0;
    std::string json;
    Configuration configuration;
};

// The result of a configuration change requested by an operator.
struct ConfigChange {
    std::optional<Error> error; // BadRequest with `field`, VersionConflict, Unavailable
    std::uint64_t version = 0; // the new version; after a conflict, the current one
    std::string currentJson; // set after a conflict
};

class ActiveConfiguration {
public:
    ActiveConfiguration(Clock& clock, ObjectStore& store, PeerClient& peers, Membership& membership, Counters& counters,
        Duration pollInterval);
    ~ActiveConfiguration();
    ActiveConfiguration(const ActiveConfiguration&) = delete;
    ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

    // `isWatcher` returns whether this node watches the platform for its data centre. `onChange` is called for each
    // version that comes into force.
    void start(std::function<bool()> isWatcher, std::function<void(const ConfigSnapshot&)> onChange);
    void stop();

    std::shared_ptr<const ConfigSnapshot> current() const;

    // Validates a new document and writes it if the stored version is still `baseVersion` (0: nothing is stored yet).
    ConfigChange apply(std::uint64_t baseVersion, const std::string& json);

    // Wakes the update thread because a peer announced a higher version.
    void notifyNewerVersion();

private:
    void loop();
    void readPlatform(bool watch);
    void readPeer();
    void adopt(std::uint64_t version, const std::string& json, const std::string& source);

    Clock& clock;
    ObjectStore& store;
    PeerClient& peers;
    Membership& membership;
    Counters& counters;
    Duration pollInterval;
    std::function<bool()> isWatcher;
    std::function<void(const ConfigSnapshot&)> onChange;
    mutable std::mutex mutex;
    std::mutex adoptMutex; // serializes adopt(), so that onChange sees increasing versions
    std::condition_variable wake;
    std::shared_ptr<const ConfigSnapshot> snapshot;
    bool newerVersionAnnounced = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace lovagecross
