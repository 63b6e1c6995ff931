#pragma once

// What a node knows of the configuration and of the backend servers, with versions and ages.
//
//     directory.applyConfiguration(configuration);           // ignored unless its version is higher
//     directory.replaceServers(list, revision);              // a full list
//     std::shared_ptr<const DirectoryView> view = directory.view();
//
// Servers that vanish from the registry while it was out of reach are kept for `lapsedGrace` after it is back: entries
// lapse without heartbeats, and a live server registers again within that time.
//
// Thread safety: every member may be called from any thread. A view never changes.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Route.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

struct DirectoryView {
    std::shared_ptr<const GatewayConfiguration> configuration; // nullptr: none is known yet
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, std::vector<ServerEntry>, std::less<>> servers; // by service, in the order of their ids
    std::uint64_t registryRevision = 0;
    std::uint64_t serversDigest = 0; // of `servers`: equal on two nodes only when they know the same
    bool registryKnown = false;

    const std::vector<ServerEntry>& serversOf(std::string_view service) const;
};

struct ServerChange {
    std::string id;
    std::optional<ServerEntry> entry; // nullopt: deleted, or unusable
};

class Directory {
public:
    explicit Directory(const Clock& clock);

    std::shared_ptr<const DirectoryView> view() const;

    // False when the version is not above the one in force.
    bool applyConfiguration(GatewayConfiguration configuration);

    // A list or change with a revision below the current one is ignored: it comes from a stale reader.
    void replaceServers(std::vector<ServerEntry> servers, std::uint64_t revision);
    void changeServers(const std::vector<ServerChange>& changes, std::uint64_t revision);

    // A list that another node has read and whose removals it has already waited for.
    void takeServers(std::vector<ServerEntry> servers, std::uint64_t newRevision, Duration age);

    // Another node has read the registry `age` ago and knows the same servers.
    void confirmServers(std::uint64_t newRevision, Duration age);

    // A read of the registry has failed. Counts as an outage once the last success, of this node or of another one that
    // told it, is older than `outageAfter`; the next success ends that.
    void registryUnreachable();

    // Removes servers whose grace has passed. Called from time to time.
    void expireLapsed();

    // Time since the registry was last read with success.
    Duration registryAge() const;

    // Called after every change, on the thread that made it.
    void onChange(std::function<void(const DirectoryView&)> newListener);

    static constexpr Duration outageAfter = std::chrono::milliseconds(1500);
    static constexpr Duration lapsedGrace = std::chrono::milliseconds(2200); // live servers are back within two seconds

private:
    void registryReached(TimePoint now);
    bool acceptRevision(std::uint64_t newRevision);
    void removeServer(const std::string& id, TimePoint now);
    void publish(std::unique_lock<std::mutex>& lock);

    const Clock& clock;
    mutable std::mutex mutex;
    std::shared_ptr<const DirectoryView> current;
    std::shared_ptr<const GatewayConfiguration> configuration;
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, ServerEntry> servers; // by id
    std::map<std::string, TimePoint> lapsed; // ids that vanished in an outage, and when they are removed
    std::uint64_t revision = 0;
    bool known = false;
    bool unreachable = false;
    TimePoint lastRead;
    TimePoint removalsWaitUntil;
    std::function<void(const DirectoryView&)> listener;
};

} // namespace lovagecross
