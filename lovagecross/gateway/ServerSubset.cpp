#include "lovagecross/gateway/ServerSubset.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagecross {

namespace {

// A node and a server, by position.
struct Pair {
    std::uint64_t rank = 0;
    std::size_t node = 0;
    std::size_t server = 0;
};

std::vector<Pair> rankedPairs(const std::vector<std::string>& nodes, const std::vector<std::string>& servers)
{
    std::vector<Pair> pairs;
    pairs.reserve(nodes.size() * servers.size());
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        std::uint64_t seed = stableHash(nodes[node]);
        for (std::size_t server = 0; server < servers.size(); ++server)
            pairs.push_back({ stableHash(servers[server], seed), node, server });
    }
    std::sort(pairs.begin(), pairs.end(), [&](const Pair& left, const Pair& right) {
        return std::tie(right.rank, nodes[left.node], servers[left.server])
            < std::tie(left.rank, nodes[right.node], servers[right.server]);
    });
    return pairs;
}

using Subsets = std::vector<std::vector<std::size_t>>;

struct Assignment {
    Subsets subsets; // by node
    std::vector<std::size_t> uses; // by server
    std::size_t wanted = 0; // servers of a subset
};

bool contains(const std::vector<std::size_t>& subset, std::size_t server)
{
    return std::find(subset.begin(), subset.end(), server) != subset.end();
}

// Accepts the pairs of highest rank first, up to `most` for a server. A name that comes or goes displaces few pairs,
// since most are far from both limits in rank.
void acceptPairs(Assignment& assignment, const std::vector<Pair>& pairs, std::size_t most)
{
    for (const Pair& pair : pairs) {
        std::vector<std::size_t>& subset = assignment.subsets[pair.node];
        if (subset.size() < assignment.wanted && assignment.uses[pair.server] < most
            && !contains(subset, pair.server)) {
            subset.push_back(pair.server);
            ++assignment.uses[pair.server];
        }
    }
}

// Adds a server to the subset of a node that already has all servers with room: another node gives up one for a server
// with room.
void completeBySwap(Assignment& assignment, std::size_t node, std::size_t most)
{
    std::vector<std::size_t>& subset = assignment.subsets[node];
    for (std::size_t free = 0; free < assignment.uses.size(); ++free) {
        if (assignment.uses[free] >= most)
            continue;
        for (std::vector<std::size_t>& other : assignment.subsets) {
            auto given = std::find_if(
                other.begin(), other.end(), [&](std::size_t server) { return !contains(subset, server); });
            if (given == other.end() || contains(other, free))
                continue;
            subset.push_back(std::exchange(*given, free));
            ++assignment.uses[free];
            return;
        }
    }
}

} // namespace

std::vector<std::vector<std::size_t>> assignSubsets(
    const std::vector<std::string>& nodes, const std::vector<std::string>& servers, std::size_t size)
{
    if (servers.empty())
        return Subsets(nodes.size());
    Assignment assignment { Subsets(nodes.size()), std::vector<std::size_t>(servers.size(), 0),
        std::min(size, servers.size()) };
    std::size_t total = nodes.size() * assignment.wanted;
    std::vector<Pair> pairs = rankedPairs(nodes, servers);
    acceptPairs(assignment, pairs, total / servers.size());
    std::size_t most = (total + servers.size() - 1) / servers.size();
    acceptPairs(assignment, pairs, most);
    for (const Pair& pair : pairs) {
        if (assignment.subsets[pair.node].size() < assignment.wanted)
            completeBySwap(assignment, pair.node, most);
    }
    return assignment.subsets;
}

ServerSubset::ServerSubset(std::string nodeName, std::string ownDataCentre)
    : node(std::move(nodeName))
    , dataCentre(std::move(ownDataCentre))
    , nodes { this->node }
{
}

void ServerSubset::addNodes(const std::vector<std::string>& names, TimePoint now)
{
    std::lock_guard lock(this->mutex);
    for (const std::string& name : names)
        this->addedAt[name] = now;
    std::erase_if(this->addedAt, [now](const auto& entry) { return now - entry.second > nodeLifetime; });
    if (this->addedAt.size() > maxNodes)
        this->addedAt.clear();
    std::vector<std::string> known { this->node };
    for (const auto& [name, added] : this->addedAt) {
        if (name != this->node)
            known.push_back(name);
    }
    std::sort(known.begin(), known.end()); // the same on all nodes
    if (known == this->nodes)
        return;
    this->nodes = std::move(known);
    this->selections.clear();
}

std::vector<std::size_t> ServerSubset::select(
    const std::string& service, const std::vector<const ServerEntry*>& servers)
{
    std::map<std::string, std::vector<std::size_t>> byDataCentre;
    for (std::size_t i = 0; i < servers.size(); ++i)
        byDataCentre[servers[i]->dataCentre].push_back(i);
    std::vector<std::size_t> selected;
    std::lock_guard lock(this->mutex);
    for (auto& [name, members] : byDataCentre) {
        if (members.size() < minServers) {
            selected.insert(selected.end(), members.begin(), members.end());
            continue;
        }
        std::sort(members.begin(), members.end(),
            [&](std::size_t left, std::size_t right) { return servers[left]->id < servers[right]->id; });
        ServerNames names;
        for (std::size_t i : members)
            names.push_back(servers[i]->id);
        for (std::size_t chosen : this->selectionOf(service, name, std::move(names)).chosen)
            selected.push_back(members[chosen]);
    }
    std::sort(selected.begin(), selected.end());
    return selected;
}

// Returns the selection for these servers of the data centre, a new one if they have changed.
const ServerSubset::Selection& ServerSubset::selectionOf(
    const std::string& service, const std::string& name, ServerNames names)
{
    if (this->selections.size() >= maxSelections)
        this->selections.clear();
    Selection& selection = this->selections[{ service, name }];
    if (selection.names != names) {
        selection.chosen = this->selectIn(name, names);
        selection.names = std::move(names);
    }
    return selection;
}

// The nodes of other data centres are not known here, and few calls go there.
std::vector<std::size_t> ServerSubset::selectIn(const std::string& name, const ServerNames& names) const
{
    if (name != this->dataCentre)
        return assignSubsets({ this->node }, names, size).front();
    auto own = std::find(this->nodes.begin(), this->nodes.end(), this->node);
    std::size_t forUses = (minUses * names.size() + this->nodes.size() - 1) / this->nodes.size();
    return assignSubsets(
        this->nodes, names, std::max(size, forUses))[static_cast<std::size_t>(own - this->nodes.begin())];
}

} // namespace lovagecross
