#pragma once

// A node's view of the cluster's members, maintained by gossip. It is used to route calls and to choose standbys;
// correctness never depends on it.
//
// Nodes exchange digests, which contain the least recently sent entries first. In a data centre of up to 16 nodes each
// digest contains all of them. In a larger one it contains only some: with 32 nodes and one exchange of digests per
// node and second, suspecting a node after 3 s would be wrong for 12 of 100 entries (MemberTableTest's Fleet, 300 s, 5
// seeds). The time after which a node is suspected therefore grows with the number of nodes beyond 16, while the time
// after which it is considered dead stays the same.
//
//     MemberTable table(self, settings, seed);
//     table.merge(received.entries, now);
//     std::optional<MemberEntry> peer = table.nextGossipPeer(now);
//
// Thread safety: not thread-safe; the caller must serialize access.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/ports/Peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovagecross {

struct MembershipSettings {
    Duration suspectAfter = std::chrono::seconds(3);
    Duration deadAfter = std::chrono::seconds(10);
    Duration forgetAfter = std::chrono::minutes(5); // the entry is then removed from the table
    std::size_t maxMembers = 1024;
    std::size_t maxContacts = 8; // nodes kept per other data centre
    std::uint32_t remoteFactor = 4; // multiplies suspectAfter and deadAfter for nodes of other data centres
};

enum class MemberState {
    Alive,
    Suspect,
    Dead,
};

inline constexpr NameTable<MemberState, 3> memberStateNames { { {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Dead, "dead" },
} } };

struct MemberView {
    MemberEntry entry;
    MemberState state = MemberState::Alive;
};

class MemberTable {
public:
    MemberTable(MemberEntry self, MembershipSettings settings, std::uint64_t randomSeed);

    // Replaces this node's own entry except its heartbeat, which only `digest` changes.
    void updateSelf(const MemberEntry& self);

    // Merges entries that are newer than the known ones: those with a higher heartbeat of the same incarnation, or of
    // another incarnation unless that one was replaced earlier and shows no higher heartbeat since. Malformed entries
    // and those for which the table has no room are dropped.
    void merge(const std::vector<MemberEntry>& entries, TimePoint now);

    // Records a successful direct exchange with a node, which shows that it is alive.
    void recordContact(const NodeIncarnation& node, TimePoint now);

    // Returns the entries to send to a peer: this node's entry with an incremented heartbeat, then the least recently
    // sent entries of other nodes; at most maxGossipEntries in total.
    std::vector<MemberEntry> digest(TimePoint now);

    // The next node to gossip with: the nodes of this data centre that are not dead, round robin in shuffled order, and
    // at regular intervals a dead node or one of another data centre, so that the two sides of a healed partition find
    // each other again.
    std::optional<MemberEntry> nextGossipPeer(TimePoint now);

    std::vector<MemberView> members(TimePoint now) const;
    std::optional<MemberView> find(const std::string& node, TimePoint now) const;

    // The node that claims to hold the shard with the highest epoch.
    std::optional<MemberView> shardHolder(const ShardId& shard, TimePoint now) const;

    // Nodes that can become the shard's standby: other nodes of its data centre that are alive and not draining. The
    // order is the same on every node and differs between shards.
    std::vector<MemberView> standbyCandidates(const ShardId& shard, TimePoint now) const;

private:
    struct EarlierIncarnation {
        std::uint64_t incarnation = 0;
        std::uint64_t heartbeat = 0; // highest heartbeat seen
    };
    struct Member {
        MemberEntry entry;
        TimePoint lastActivity;
        std::uint64_t sentDigest = 0; // number of the last digest that contained the entry
        std::vector<EarlierIncarnation> earlierIncarnations; // to recognize their delayed entries
    };

    bool isLocal(const MemberEntry& entry) const { return entry.dataCentre == this->self.dataCentre; }
    MemberState stateOf(const Member& member, TimePoint now) const;
    void mergeExisting(Member& member, const MemberEntry& entry, TimePoint now);
    bool ensureCapacity(const MemberEntry& entry, TimePoint now);
    void removeExpired(TimePoint now);
    void startRound(TimePoint now);
    std::optional<MemberEntry> unreachableOrRemotePeer(TimePoint now);
    void appendLeastRecentlySent(std::vector<MemberEntry>& entries, bool local, std::size_t limit, TimePoint now);

    MemberEntry self;
    MembershipSettings settings;
    std::mt19937_64 random;
    std::map<std::string, Member> others; // key: "<data centre>/<node name>"
    std::size_t localPeerCount = 0; // number of `others` in this data centre
    std::vector<std::string> currentRound; // keys of the nodes still to be chosen in this gossip round
    std::uint64_t chosenPeerCount = 0;
    std::uint64_t digestCount = 0;
};

} // namespace lovagecross
