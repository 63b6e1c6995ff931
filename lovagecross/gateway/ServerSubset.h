#pragma once

// The backend servers of a service that this entry node sends plain calls to, so that it needs few connections. Plain
// calls are those to services without engines. All nodes of a data centre compute the subsets of all of them from the
// names alone, each server being in about as many subsets as any other. Nodes that know different nodes get subsets
// that overlap unevenly, which costs only balance.
//
//     ServerSubset subset("entry1", "a");
//     subset.addNodes({ "entry2", "entry3" }, clock.now());    // other entry nodes of this data centre
//     for (std::size_t i : subset.select("tools", servers))   // positions in `servers`
//
// Behaviour by load pattern:
//  - few servers, up to `minServers` - 1 in the data centre: all servers are used;
//  - many servers: `size` of the own data centre, or more if there are so few nodes that servers would be in fewer than
//    `minUses` subsets, and `size` of each other data centre that has so many;
//  - a node that knows no other one uses all servers of its data centre;
//  - nodes or servers that come and go: subsets of others change by few servers.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

// Returns for each node the servers of its subset, as positions in `servers`. Names must be unique. Each server is in
// at most ceil(nodes * size / servers) subsets.
std::vector<std::vector<std::size_t>> assignSubsets(
    const std::vector<std::string>& nodes, const std::vector<std::string>& servers, std::size_t size);

class ServerSubset {
public:
    ServerSubset(std::string nodeName, std::string ownDataCentre);

    // Adds other entry nodes of this data centre. Names may be a random part of those that exist: each counts for
    // `nodeLifetime`. With more than `maxNodes` names, none counts.
    void addNodes(const std::vector<std::string>& names, TimePoint now);

    // Returns the positions of the servers to use. `servers` are the ready ones of the service in all data centres.
    std::vector<std::size_t> select(const std::string& service, const std::vector<const ServerEntry*>& servers);

    static constexpr std::size_t size = 8;
    static constexpr std::size_t minUses = 6; // subsets of a server; some nodes have no callers
    static constexpr std::size_t minServers = 18; // in a data centre
    static constexpr std::size_t maxNodes = 400; // of a data centre
    static constexpr Duration nodeLifetime = std::chrono::seconds(30);
    static constexpr std::size_t maxSelections = 200; // kept, each for a service and a data centre

private:
    using ServerNames = std::vector<std::string>;
    struct Selection {
        ServerNames names; // of the servers from which it was made
        std::vector<std::size_t> chosen;
    };

    std::vector<std::size_t> selectIn(const std::string& dataCentre, const ServerNames& names) const;
    const Selection& selectionOf(const std::string& service, const std::string& dataCentre, ServerNames names);

    const std::string node;
    const std::string dataCentre;
    std::mutex mutex;
    std::map<std::string, TimePoint> addedAt; // last, by name of another node
    std::vector<std::string> nodes; // of this data centre, including this one
    std::map<std::pair<std::string, std::string>, Selection> selections; // by service and data centre
};

} // namespace lovagecross
