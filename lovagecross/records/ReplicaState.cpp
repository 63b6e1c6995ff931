#include "lovagecross/records/ReplicaState.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxHeldRosters = 6;

bool isReplica(const Roster& roster, std::string_view group, std::string_view node, const Tolerance& tolerance)
{
    auto replicas = replicasOf(roster, group, tolerance);
    return std::any_of(
        replicas.begin(), replicas.end(), [&](const RosterMember* member) { return member->node == node; });
}

// Returns whether every member is a replica of every group.
bool isFullyReplicated(const Roster& roster, const Tolerance& tolerance)
{
    return roster.members.size() <= replicationFactor(tolerance);
}

// Returns the number of replicas that may be missing while a majority remains.
std::size_t maxMissingForMajority(std::size_t replicas)
{
    return replicas > 0 ? majorityOf(replicas) - 1 : 0;
}

} // namespace

bool wantsGroup(const FillFilter& filter, std::string_view group, const Tolerance& tolerance)
{
    if (filter.target.members.empty())
        return true;
    if (!isReplica(filter.target, group, filter.node, tolerance))
        return false;
    bool heldAll = std::all_of(filter.alreadyHeld.begin(), filter.alreadyHeld.end(),
        [&](const Roster& roster) { return isReplica(roster, group, filter.node, tolerance); });
    return filter.alreadyHeld.empty() || !heldAll;
}

GroupSelector::GroupSelector(const FillFilter& fillFilter, Tolerance tolerated)
    : filter(fillFilter)
    , tolerance(tolerated)
{
}

bool GroupSelector::wants(std::string_view group)
{
    auto found = this->selectedByGroup.find(group);
    if (found == this->selectedByGroup.end())
        found = this->selectedByGroup.emplace(group, wantsGroup(this->filter, group, this->tolerance)).first;
    return found->second;
}

FillFilter makeFilter(
    const std::string& node, const Roster& target, const std::vector<Roster>& held, const Tolerance& tolerance)
{
    if (isFullyReplicated(target, tolerance))
        return { node, {}, {} };
    return { node, target, held };
}

ReplicaState::ReplicaState(std::string ownNode, Tolerance tolerated)
    : node(std::move(ownNode))
    , tolerance(tolerated)
{
}

void ReplicaState::restore(const Roster& known, std::uint64_t ownDisk)
{
    this->disk = ownDisk;
    this->current = known;
    if (!this->isMember())
        return;
    this->heldRosters = { known };
    this->filledUpTo = known.epoch;
}

void ReplicaState::adopt(const Roster& next, bool nothingToFetch)
{
    bool wasMember = this->isMember();
    bool epochSkipped = next.epoch != this->current.epoch + 1;
    // If an epoch was skipped, the replicas of that epoch are unknown unless every member holds every group.
    bool stillHeld = wasMember && !this->heldRosters.empty() && this->heldRosters.size() < maxHeldRosters
        && (!epochSkipped
            || (isFullyReplicated(this->current, this->tolerance) && isFullyReplicated(next, this->tolerance)));
    this->previous = std::exchange(this->current, next);
    if (epochSkipped && !isFullyReplicated(next, this->tolerance))
        this->previous = next; // the members of the skipped rosters are unknown; use those of `next`
    this->fetchedSources.clear();
    this->completeSources.clear();
    this->platformFetched = false;
    if (nothingToFetch) {
        this->heldRosters = { next };
        this->filledUpTo = next.epoch;
        return;
    }
    bool heldAll = isFullyReplicated(this->previous, this->tolerance) && this->heldRosters.size() == 1;
    if (!stillHeld || !this->isMember())
        this->heldRosters.clear();
    else if (heldAll)
        this->heldRosters = { next }; // this node was a replica of every group
    else
        this->heldRosters.push_back(next);
}

void ReplicaState::markFetched(const std::string& source, std::uint64_t sourceFilledEpoch)
{
    this->fetchedSources.insert(source);
    if (sourceFilledEpoch >= this->previous.epoch)
        this->completeSources.insert(source);
    this->markCompleteIfEnoughFetched();
}

void ReplicaState::markPlatformFetched()
{
    this->platformFetched = true;
    this->markCompleteIfEnoughFetched();
}

void ReplicaState::markComplete()
{
    this->heldRosters = { this->current };
    this->filledUpTo = this->current.epoch;
}

void ReplicaState::markCompleteIfEnoughFetched()
{
    if (this->enoughFetched())
        this->markComplete(); // further sources are not needed
}

bool ReplicaState::isMember() const
{
    const RosterMember* self = this->current.find(this->node);
    return self != nullptr && self->disk == this->disk;
}

bool ReplicaState::complete() const
{
    return this->isMember() && this->heldRosters.size() == 1;
}

bool ReplicaState::complete(std::string_view group) const
{
    if (!this->isMember())
        return false;
    if (this->heldRosters.size() == 1 || this->heldInAllRosters(group))
        return true;
    auto replicas = replicasOf(this->previous, group, this->tolerance);
    std::size_t counted = this->platformFetched ? 1 : 0;
    for (const RosterMember* replica : replicas)
        counted += this->completeSources.count(replica->node);
    std::size_t voters = replicas.size() + (platformVotes(this->previous, this->tolerance) ? 1 : 0);
    return !replicas.empty() && counted >= voters - maxMissingForMajority(replicas.size());
}

FillPlan ReplicaState::plan() const
{
    FillPlan plan;
    plan.filter = makeFilter(this->node, this->current, this->heldRosters, this->tolerance);
    const Roster& former = this->previous.members.empty() ? this->current : this->previous;
    for (const RosterMember& source : former.members) {
        const RosterMember* after = this->current.find(source.node);
        bool sameDisk = after == nullptr || after->disk == source.disk; // a new disk has no records of `previous`
        if (sameDisk && source.node != this->node && this->completeSources.count(source.node) == 0)
            plan.sources.push_back(source);
    }
    plan.fromPlatform = platformVotes(this->previous, this->tolerance) && !this->platformFetched;
    return plan;
}

bool ReplicaState::heldInAllRosters(std::string_view group) const
{
    return !this->heldRosters.empty()
        && std::all_of(this->heldRosters.begin(), this->heldRosters.end(),
            [&](const Roster& roster) { return isReplica(roster, group, this->node, this->tolerance); });
}

bool ReplicaState::allSourcesFetched() const
{
    FillPlan left = this->plan();
    bool all = std::all_of(left.sources.begin(), left.sources.end(),
        [this](const RosterMember& source) { return this->fetchedSources.count(source.node) > 0; });
    return all && !left.fromPlatform && !this->previous.members.empty();
}

// Returns whether the fetched sources and this node together intersect every former majority of every group.
bool ReplicaState::enoughFetched() const
{
    if (this->allSourcesFetched())
        return true;
    std::size_t replicas = std::min(this->previous.members.size(), replicationFactor(this->tolerance));
    std::size_t missingPlatform = platformVotes(this->previous, this->tolerance) && !this->platformFetched ? 1 : 0;
    return replicas > 0 && this->maxMissingReplicas() + missingPlatform <= maxMissingForMajority(replicas);
}

// Returns an upper bound on the number of missing replicas of any group. If every data centre has enough members, each
// holds at most a fixed share of a group's replicas.
std::size_t ReplicaState::maxMissingReplicas() const
{
    std::map<std::string_view, std::size_t> members;
    std::map<std::string_view, std::size_t> missing;
    for (const RosterMember& member : this->previous.members) {
        bool holdsBefore = !this->heldRosters.empty() && this->heldRosters.size() <= 2;
        bool isSelf = member.node == this->node && member.disk == this->disk && holdsBefore;
        ++members[member.dataCentre];
        missing[member.dataCentre] += isSelf || this->completeSources.count(member.node) > 0 ? 0 : 1;
    }
    std::size_t replicas = std::min(this->previous.members.size(), replicationFactor(this->tolerance));
    std::size_t bound = members.empty() ? 0 : (replicas + members.size() - 1) / members.size();
    bool bounded
        = std::all_of(members.begin(), members.end(), [bound](const auto& entry) { return entry.second >= bound; });
    std::size_t most = 0;
    for (const auto& [dataCentre, count] : missing)
        most += bounded ? std::min(count, bound) : count;
    return most;
}

} // namespace lovagecross
