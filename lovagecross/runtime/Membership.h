#pragma once

// Thread-safe wrapper of MemberTable that runs the gossip thread and registers this node in the platform's object
// store, where new nodes find their first peers.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/membership/MemberTable.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

class Membership {
public:
    // `seeds` are peer addresses to contact in addition to the ones registered in the object store.
    Membership(MemberEntry self, MembershipSettings settings, Duration gossipInterval, std::vector<std::string> seeds,
        Clock& clock, PeerClient& peers, ObjectStore& store, std::uint64_t randomSeed);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // `refreshSelf` sets the fields of this node's entry that change (shards, configuration version, draining). It is
    // called before each gossip round and for each digest.
    void start(std::function<void(MemberEntry&)> refreshSelf);
    void stop();

    // Merges the digest received from another node and returns this node's digest.
    Gossip exchange(const Gossip& received);

    // Records direct contact with `node`, which counts as a sign of life.
    void recordContact(const NodeIncarnation& node);

    std::vector<MemberView> members() const;
    std::optional<MemberView> find(const std::string& node) const;
    std::optional<MemberView> shardHolder(const ShardId& shard) const;
    std::vector<MemberView> standbyCandidates(const ShardId& shard) const;

    // The number of live nodes in this node's data centre, including this node.
    std::size_t liveNodesInDataCentre() const;

    // The number of shards that this node owns.
    std::size_t ownedShardCount() const;

    // Gossips with the node at `address` at once instead of waiting for the next round.
    void announce(const std::string& address);

    // Sends this node's digest to all members that are not dead, without waiting for answers. For rare events, such as
    // a new owner of a shard.
    void announceToAll();

private:
    void gossipLoop();
    void gossipWith(const std::string& address);
    void merge(const std::vector<MemberEntry>& entries);
    MemberEntry currentSelf() const;
    std::vector<MemberEntry> makeDigest();
    void registerNode();
    std::vector<std::string> registeredAddresses();

    MemberEntry self;
    Duration gossipInterval;
    std::vector<std::string> seeds;
    Clock& clock;
    PeerClient& peers;
    ObjectStore& store;
    std::function<void(MemberEntry&)> refreshSelf;
    mutable std::mutex mutex;
    mutable MemberTable table;
    struct Holder {
        std::uint64_t epoch = 0;
        NodeIncarnation node;
        std::string peerAddress;
    };
    std::map<ShardId, Holder> holders; // the holder with the highest known epoch, by shard
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lovagecross
