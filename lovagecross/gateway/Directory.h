#pragma once

// A node's current configuration and list of backend servers, with their versions and age.
//
//     directory.applyConfiguration(configuration);           // ignored unless its version is newer
//     directory.confirmConfiguration(version, age);          // there was no newer one `age` ago
//     directory.replaceServers(list, revision);              // a full list
//     std::shared_ptr<const DirectoryView> view = directory.view();
//
// Registry entries expire ("lapse") without heartbeats, also during a registry outage. Servers that are missing after
// an outage are therefore kept for `lapsedGracePeriod`, in which live servers register again.
//
// A server that says itself that it leaves is listed as draining from then on, whatever the registry says. A new
// process under its id is a new lifetime, to which this doesn't apply.
//
// Thread safety: every member may be called from any thread. A view never changes.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/ObservationTime.h"
#include "lovagecross/gateway/Route.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <algorithm>
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
    std::shared_ptr<const GatewayConfiguration> configuration; // nullptr until one is received
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, std::vector<ServerEntry>, std::less<>> servers; // by service, sorted by id
    std::uint64_t registryRevision = 0;
    std::uint64_t serversDigest = 0; // of `servers`: equal on two nodes only if their lists are equal
    bool registryKnown = false;

    const std::vector<ServerEntry>& serversOf(std::string_view service) const;
};

struct ServerChange {
    std::string id;
    std::optional<ServerEntry> entry; // nullopt if the entry was deleted or can't be used
};

class Directory {
public:
    explicit Directory(const Clock& clock);

    std::shared_ptr<const DirectoryView> view() const;

    // Returns false if the version is not higher than the current one.
    bool applyConfiguration(GatewayConfiguration configuration);

    // Records that `version` was the newest configuration `age` ago, read by this node or by another one; 0 if there
    // was none. Ignored if a newer version is known.
    void confirmConfiguration(std::uint64_t version, Duration age);

    // A list or change with a lower revision than the current one is ignored: it comes from a stale read. `age` is the
    // time since the platform was in that state.
    void replaceServers(std::vector<ServerEntry> servers, std::uint64_t revision, Duration age = Duration(0));
    void changeServers(const std::vector<ServerChange>& changes, std::uint64_t revision, Duration age = Duration(0));

    // Takes over a list that another node read `age` ago. That node has already applied the grace period to removals. A
    // server that it keeps until `lapsesAt` is kept here as well, but only if this node too has had an outage, and has
    // not removed the server yet.
    void replaceServersFromPeer(std::vector<ServerEntry> servers, std::uint64_t newRevision, Duration age);

    // Records that another node read the registry `age` ago and has the same servers.
    void confirmServersFromPeer(std::uint64_t newRevision, Duration age);

    // Records a failed read of the registry. An outage begins once the last successful read, by this node or reported
    // by another one, is older than `outageAfter`, and ends with the next success.
    void registryUnreachable();

    // Records that the server has said that it leaves, also if it is not listed now. Returns whether this is news.
    bool serverLeaves(const ServerKey& server);

    // Removes servers whose grace period has ended, and what is known of servers that are gone for long. Must be called
    // periodically.
    void removeLapsedServers();

    // Time since the last successful read of the registry or of the configuration, by this node or by the one that it
    // learned from. Duration::max() before the first one.
    Duration registryAge() const;
    Duration configurationAge() const;

    // The larger one of both.
    Duration age() const;

    // Zero once that time has come.
    Duration timeUntil(TimePoint time) const { return std::max<Duration>(time - this->clock.now(), Duration(0)); }

    // Sets the function that is called after every change, on the thread that made the change.
    void onChange(std::function<void(const DirectoryView&)> newListener);

    static constexpr Duration outageAfter = std::chrono::milliseconds(1500);
    // How long a server that leaves is remembered while it is not listed. Its entry may lapse and return meanwhile.
    static constexpr Duration leavingRetention = std::chrono::minutes(5);
    static constexpr std::size_t maxLeavingServers = 10'000; // further ones are not remembered
    static constexpr Duration lapsedGracePeriod = std::chrono::milliseconds(2200); // live servers return within 2 s

private:
    void registryReached(TimePoint now, Duration age);
    void peerReachedRegistry(Duration age);
    void advance(ObservationTime& readAt, Duration age);
    bool acceptRevision(std::uint64_t newRevision);
    void removeServer(const std::string& id, TimePoint now);
    bool isListed(const ServerKey& server) const;
    void publish(std::unique_lock<std::mutex>& lock);

    const Clock& clock;
    mutable std::mutex mutex;
    std::shared_ptr<const DirectoryView> current;
    std::shared_ptr<const GatewayConfiguration> configuration;
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, ServerEntry> servers; // by id
    std::map<std::string, TimePoint> lapsed; // ids missing after an outage, with the time of their removal
    std::map<ServerKey, TimePoint> leaving; // servers that leave, with the time when they were last listed
    std::uint64_t revision = 0;
    bool hasRegistryData = false;
    bool registryOutage = false;
    ObservationTime registryReadAt;
    ObservationTime configurationReadAt;
    TimePoint deferRemovalsUntil;
    std::function<void(const DirectoryView&)> listener;
};

} // namespace lovagecross
