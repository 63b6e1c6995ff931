#include "lovagecross/runtime/Membership.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration gossipTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxKnownShards
    = 4096; // 28 data centres with up to 100 shards each, plus headroom for unknown shard names sent by peers
constexpr Duration registrationRetryInterval = std::chrono::seconds(5);

std::string nodeKey(const MemberEntry& entry)
{
    return "nodes/" + entry.dataCentre + "/" + entry.node.node;
}

} // namespace

Membership::Membership(MemberEntry selfEntry, MembershipSettings settings, Duration gossipInterval,
    std::vector<std::string> seedAddresses, Clock& clock, PeerClient& peers, ObjectStore& store,
    std::uint64_t randomSeed)
    : self(selfEntry)
    , gossipInterval(gossipInterval)
    , seeds(std::move(seedAddresses))
    , clock(clock)
    , peers(peers)
    , store(store)
    , table(std::move(selfEntry), settings, randomSeed)
{
}

Membership::~Membership()
{
    this->stop();
}

void Membership::start(std::function<void(MemberEntry&)> fill)
{
    this->refreshSelf = std::move(fill);
    this->thread = std::thread([this] { this->gossipLoop(); });
}

void Membership::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    if (this->thread.joinable())
        this->thread.join();
}

Gossip Membership::exchange(const Gossip& received)
{
    this->merge(received.entries);
    return { this->makeDigest() };
}

void Membership::recordContact(const NodeIncarnation& node)
{
    std::lock_guard lock(this->mutex);
    this->table.recordContact(node, this->clock.now());
}

std::vector<MemberView> Membership::members() const
{
    std::lock_guard lock(this->mutex);
    return this->table.members(this->clock.now());
}

std::optional<MemberView> Membership::find(const std::string& node) const
{
    std::lock_guard lock(this->mutex);
    return this->table.find(node, this->clock.now());
}

std::optional<MemberView> Membership::shardHolder(const ShardId& shard) const
{
    std::lock_guard lock(this->mutex);
    return this->table.shardHolder(shard, this->clock.now());
}

std::vector<MemberView> Membership::standbyCandidates(const ShardId& shard) const
{
    std::lock_guard lock(this->mutex);
    return this->table.standbyCandidates(shard, this->clock.now());
}

std::size_t Membership::liveNodesInDataCentre() const
{
    std::vector<MemberView> all = this->members();
    auto live = std::count_if(all.begin(), all.end(), [&](const MemberView& member) {
        return member.entry.dataCentre == this->self.dataCentre && member.state == MemberState::Alive
            && member.entry.node.node != this->self.node.node;
    });
    return static_cast<std::size_t>(live) + 1;
}

MemberEntry Membership::currentSelf() const
{
    MemberEntry entry = this->self;
    if (this->refreshSelf)
        this->refreshSelf(entry);
    return entry;
}

std::size_t Membership::ownedShardCount() const
{
    return this->currentSelf().shards.size();
}

void Membership::announce(const std::string& address)
{
    this->gossipWith(address);
}

std::vector<MemberEntry> Membership::makeDigest()
{
    MemberEntry entry = this->currentSelf();
    std::lock_guard lock(this->mutex);
    this->table.updateSelf(entry);
    return this->table.digest(this->clock.now());
}

void Membership::gossipWith(const std::string& address)
{
    PeerResult result = this->peers.request(address, Gossip { this->makeDigest() }, gossipTimeout, {});
    const auto* answer = std::get_if<Gossip>(&result.answer);
    if (result.status != PeerStatus::Ok || !answer)
        return;
    this->merge(answer->entries);
}

void Membership::merge(const std::vector<MemberEntry>& entries)
{
    std::vector<std::string> formerHolders;
    {
        std::lock_guard lock(this->mutex);
        this->table.merge(entries, this->clock.now());
        for (const MemberEntry& entry : entries) {
            for (const HeldShard& shard : entry.shards) {
                ShardId id { entry.dataCentre, shard.index };
                if (this->holders.size() >= maxKnownShards && this->holders.count(id) == 0)
                    continue;
                Holder& known = this->holders[id];
                if (shard.epoch <= known.epoch)
                    continue;
                if (!known.node.empty() && known.node != entry.node)
                    formerHolders.push_back(known.peerAddress);
                known = { shard.epoch, entry.node, entry.peerAddress };
            }
        }
    }
    // Requests forwarded to a former holder are failed now; if it is dead, they would otherwise end only after their
    // silence timeout.
    for (const std::string& address : formerHolders)
        this->peers.failForwardsTo(address);
}

void Membership::announceToAll()
{
    std::vector<MemberEntry> digest = this->makeDigest();
    for (const MemberView& member : this->members()) {
        if (member.state != MemberState::Dead && member.entry.node != this->self.node)
            this->peers.notify(member.entry.peerAddress, Gossip { digest });
    }
}

void Membership::registerNode()
{
    std::string key = nodeKey(this->self);
    StoreResult current = this->store.get(key);
    if (current.status == StoreStatus::NotFound)
        this->store.create(key, this->self.peerAddress);
    else if (current.ok() && current.object.value != this->self.peerAddress)
        this->store.update(key, this->self.peerAddress, current.object.version);
}

std::vector<std::string> Membership::registeredAddresses()
{
    std::vector<std::string> addresses;
    for (const StoredObject& object : this->store.list("nodes/", true).objects) {
        if (object.value != this->self.peerAddress)
            addresses.push_back(object.value);
    }
    return addresses;
}

void Membership::gossipLoop()
{
    std::optional<TimePoint> registeredAt;
    std::size_t nextSeed = 0;
    while (true) {
        std::optional<MemberEntry> peer;
        MemberEntry current = this->currentSelf();
        {
            std::unique_lock lock(this->mutex);
            if (this->stopping)
                return;
            this->table.updateSelf(current);
            peer = this->table.nextGossipPeer(this->clock.now());
        }
        bool alone = !peer;
        if (!registeredAt || (alone && this->clock.now() - *registeredAt >= registrationRetryInterval)) {
            this->registerNode();
            for (const std::string& address : this->registeredAddresses()) {
                if (std::find(this->seeds.begin(), this->seeds.end(), address) == this->seeds.end())
                    this->seeds.push_back(address);
            }
            registeredAt = this->clock.now();
        }
        if (peer)
            this->gossipWith(peer->peerAddress);
        // Each round also contacts one seed, in turn, unless it is already a known member.
        if (!this->seeds.empty()) {
            const std::string& seed = this->seeds[nextSeed++ % this->seeds.size()];
            std::vector<MemberView> known = this->members();
            bool isKnown = std::any_of(
                known.begin(), known.end(), [&](const MemberView& member) { return member.entry.peerAddress == seed; });
            if (!isKnown && seed != this->self.peerAddress)
                this->gossipWith(seed);
        }
        std::unique_lock lock(this->mutex);
        this->wake.wait_for(lock, this->gossipInterval, [&] { return this->stopping; });
    }
}

} // namespace lovagecross
