#include "lovagecross/membership/MemberTable.h"

#include <algorithm>

namespace lovagecross {

namespace {

constexpr std::size_t maxAddressBytes = 64;
// One of this many gossip peers is a dead node or one of another data centre.
constexpr std::uint64_t rejoinInterval = 4;
// Entries of a digest reserved for nodes of other data centres, if any are known.
constexpr std::size_t minRemoteEntries = 4;
constexpr std::size_t maxEarlierIncarnations = 4; // earlier incarnations stored per node

bool isWellFormed(const MemberEntry& entry)
{
    auto addressFits = [](const std::string& address) { return address.size() <= maxAddressBytes; };
    return isValidName(entry.node.node) && isValidName(entry.dataCentre) && !entry.peerAddress.empty()
        && addressFits(entry.peerAddress) && addressFits(entry.callerAddress) && addressFits(entry.adminAddress)
        && entry.shards.size() <= maxShardsPerDataCentre
        && std::all_of(entry.shards.begin(), entry.shards.end(),
            [](const HeldShard& shard) { return shard.index < maxShardsPerDataCentre; });
}

std::uint64_t splitMix64Finalizer(std::uint64_t value)
{
    // Spreads consecutive inputs over the whole range.
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

// Unlike std::hash, gives the same result on every node and in every build.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = splitMix64Finalizer(seed + 0x9e3779b97f4a7c15U);
    for (char character : text)
        hash = splitMix64Finalizer(hash + static_cast<unsigned char>(character) + 0x9e3779b97f4a7c15U);
    return hash;
}

std::string keyOf(const MemberEntry& entry)
{
    return entry.dataCentre + "/" + entry.node.node;
}

} // namespace

MemberTable::MemberTable(MemberEntry self, MembershipSettings settings, std::uint64_t randomSeed)
    : self(std::move(self))
    , settings(settings)
    , random(randomSeed)
{
}

void MemberTable::updateSelf(const MemberEntry& self)
{
    std::uint64_t heartbeat = this->self.heartbeat;
    this->self = self;
    this->self.heartbeat = heartbeat;
}

MemberState MemberTable::stateOf(const Member& member, TimePoint now) const
{
    Duration silence = (now - member.lastActivity) / (this->isLocal(member.entry) ? 1 : this->settings.remoteFactor);
    // A digest has room for 15 other nodes, so in a larger data centre heartbeats of a given node arrive less often.
    constexpr std::size_t othersPerDigest = maxGossipEntries - 1;
    Duration suspectAfter
        = this->settings.suspectAfter * std::max(this->localPeerCount, othersPerDigest) / othersPerDigest;
    if (silence >= this->settings.deadAfter)
        return MemberState::Dead;
    return silence >= suspectAfter ? MemberState::Suspect : MemberState::Alive;
}

void MemberTable::merge(const std::vector<MemberEntry>& entries, TimePoint now)
{
    this->removeExpired(now);
    std::string selfKey = keyOf(this->self);
    for (std::size_t i = 0; i < std::min(entries.size(), maxGossipEntries); ++i) {
        const MemberEntry& entry = entries[i];
        std::string key = keyOf(entry);
        if (!isWellFormed(entry) || key == selfKey)
            continue;
        auto found = this->others.find(key);
        if (found != this->others.end())
            this->mergeExisting(found->second, entry, now);
        else if (this->ensureCapacity(entry, now))
            this->others[key] = Member { entry, now, 0, {} };
    }
    this->localPeerCount = static_cast<std::size_t>(std::count_if(this->others.begin(), this->others.end(),
        [this](const auto& other) { return this->isLocal(other.second.entry); }));
}

// Only a running incarnation increases its heartbeat, so the incarnation whose heartbeat increased last is the current
// one.
void MemberTable::mergeExisting(Member& member, const MemberEntry& entry, TimePoint now)
{
    if (entry.node.incarnation != member.entry.node.incarnation) {
        auto earlier = std::find_if(member.earlierIncarnations.begin(), member.earlierIncarnations.end(),
            [&](const EarlierIncarnation& retired) { return retired.incarnation == entry.node.incarnation; });
        if (earlier != member.earlierIncarnations.end()) {
            if (entry.heartbeat <= earlier->heartbeat)
                return;
            member.earlierIncarnations.erase(earlier);
        }
        member.earlierIncarnations.push_back({ member.entry.node.incarnation, member.entry.heartbeat });
        if (member.earlierIncarnations.size() > maxEarlierIncarnations)
            member.earlierIncarnations.erase(member.earlierIncarnations.begin());
    } else if (entry.heartbeat <= member.entry.heartbeat) {
        return;
    }
    member.entry = entry;
    member.lastActivity = now;
}

// Returns whether a new node may be added. If the table is full, removes the node that has been dead longest to make
// room.
bool MemberTable::ensureCapacity(const MemberEntry& entry, TimePoint now)
{
    bool local = this->isLocal(entry);
    std::size_t sameDataCentre = 0;
    auto longestDeadMember = this->others.end();
    for (auto it = this->others.begin(); it != this->others.end(); ++it) {
        bool same = it->second.entry.dataCentre == entry.dataCentre;
        sameDataCentre += same ? 1 : 0;
        if ((local || same) && this->stateOf(it->second, now) == MemberState::Dead
            && (longestDeadMember == this->others.end()
                || it->second.lastActivity < longestDeadMember->second.lastActivity))
            longestDeadMember = it;
    }
    bool full
        = this->others.size() >= this->settings.maxMembers || (!local && sameDataCentre >= this->settings.maxContacts);
    if (!full)
        return true;
    if (longestDeadMember == this->others.end())
        return false;
    this->others.erase(longestDeadMember);
    return true;
}

void MemberTable::removeExpired(TimePoint now)
{
    std::erase_if(
        this->others, [&](const auto& other) { return now - other.second.lastActivity >= this->settings.forgetAfter; });
}

void MemberTable::recordContact(const NodeIncarnation& node, TimePoint now)
{
    for (auto& [key, member] : this->others) {
        if (member.entry.node == node)
            member.lastActivity = now;
    }
}

std::vector<MemberEntry> MemberTable::digest(TimePoint now)
{
    ++this->digestCount;
    ++this->self.heartbeat;
    std::vector<MemberEntry> entries { this->self };
    this->appendLeastRecentlySent(entries, true, maxGossipEntries - minRemoteEntries, now);
    this->appendLeastRecentlySent(entries, false, maxGossipEntries, now);
    this->appendLeastRecentlySent(entries, true, maxGossipEntries, now);
    return entries;
}

// Appends entries until `entries` has `limit` of them. Dead nodes are omitted, because sending their entry to nodes
// that have already removed it would add it there again.
void MemberTable::appendLeastRecentlySent(
    std::vector<MemberEntry>& entries, bool local, std::size_t limit, TimePoint now)
{
    std::vector<Member*> candidates;
    for (auto& [key, member] : this->others) {
        if (this->isLocal(member.entry) == local && member.sentDigest != this->digestCount
            && this->stateOf(member, now) != MemberState::Dead)
            candidates.push_back(&member);
    }
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const Member* left, const Member* right) { return left->sentDigest < right->sentDigest; });
    for (Member* member : candidates) {
        if (entries.size() >= limit)
            break;
        member->sentDigest = this->digestCount;
        entries.push_back(member->entry);
    }
}

std::optional<MemberEntry> MemberTable::nextGossipPeer(TimePoint now)
{
    ++this->chosenPeerCount;
    if (this->chosenPeerCount % rejoinInterval == 0) {
        if (auto peer = this->unreachableOrRemotePeer(now))
            return peer;
    }
    if (this->currentRound.empty())
        this->startRound(now);
    while (!this->currentRound.empty()) {
        auto found = this->others.find(this->currentRound.back());
        this->currentRound.pop_back();
        if (found != this->others.end() && this->stateOf(found->second, now) != MemberState::Dead)
            return found->second.entry;
    }
    return this->unreachableOrRemotePeer(now);
}

void MemberTable::startRound(TimePoint now)
{
    for (const auto& [key, member] : this->others) {
        if (this->isLocal(member.entry) && this->stateOf(member, now) != MemberState::Dead)
            this->currentRound.push_back(key);
    }
    std::shuffle(this->currentRound.begin(), this->currentRound.end(), this->random);
}

// A random node that is dead or belongs to another data centre.
std::optional<MemberEntry> MemberTable::unreachableOrRemotePeer(TimePoint now)
{
    std::vector<const Member*> candidates;
    for (const auto& [key, member] : this->others) {
        if (!this->isLocal(member.entry) || this->stateOf(member, now) == MemberState::Dead)
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->random() % candidates.size()]->entry;
}

std::vector<MemberView> MemberTable::members(TimePoint now) const
{
    std::vector<MemberView> views { { this->self, MemberState::Alive } };
    for (const auto& [key, member] : this->others)
        views.push_back({ member.entry, this->stateOf(member, now) });
    return views;
}

std::optional<MemberView> MemberTable::find(const std::string& node, TimePoint now) const
{
    if (node == this->self.node.node)
        return MemberView { this->self, MemberState::Alive };
    const Member* found = nullptr;
    for (const auto& [key, member] : this->others) {
        if (member.entry.node.node == node && (found == nullptr || this->isLocal(member.entry)))
            found = &member;
    }
    if (found == nullptr)
        return std::nullopt;
    return MemberView { found->entry, this->stateOf(*found, now) };
}

std::optional<MemberView> MemberTable::shardHolder(const ShardId& shard, TimePoint now) const
{
    std::optional<MemberView> holder;
    std::uint64_t highestEpoch = 0;
    for (const MemberView& view : this->members(now)) {
        if (view.entry.dataCentre != shard.dataCentre)
            continue;
        for (const HeldShard& held : view.entry.shards) {
            if (held.index == shard.index && (!holder || held.epoch > highestEpoch)) {
                holder = view;
                highestEpoch = held.epoch;
            }
        }
    }
    return holder;
}

std::vector<MemberView> MemberTable::standbyCandidates(const ShardId& shard, TimePoint now) const
{
    std::vector<MemberView> candidates;
    for (const auto& [key, member] : this->others) {
        if (member.entry.dataCentre == shard.dataCentre && !member.entry.draining
            && this->stateOf(member, now) == MemberState::Alive)
            candidates.push_back({ member.entry, MemberState::Alive });
    }
    std::sort(candidates.begin(), candidates.end(), [&](const MemberView& left, const MemberView& right) {
        auto rank = [&](const MemberView& view) { return stableHash(view.entry.node.node, shard.index); };
        return std::pair(rank(left), left.entry.node.node) < std::pair(rank(right), right.entry.node.node);
    });
    return candidates;
}

} // namespace lovagecross
