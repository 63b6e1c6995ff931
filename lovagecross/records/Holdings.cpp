#include "lovagecross/records/Holdings.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxRostersSinceHeld = 6;

bool hasReplica(const Roster& roster, std::string_view group, std::string_view node, const Tolerance& tolerance)
{
    auto replicas = replicasOf(roster, group, tolerance);
    return std::any_of(
        replicas.begin(), replicas.end(), [&](const RosterMember* member) { return member->node == node; });
}

// Whether each member is a replica of each group.
bool eachHoldsAll(const Roster& roster, const Tolerance& tolerance)
{
    return roster.members.size() <= mostReplicas(tolerance);
}

// Replicas that a majority may leave out.
std::size_t mayMissOf(std::size_t replicas)
{
    return replicas > 0 ? majorityOf(replicas) - 1 : 0;
}

} // namespace

bool wantsGroup(const FillFilter& filter, std::string_view group, const Tolerance& tolerance)
{
    if (filter.target.members.empty())
        return true;
    if (!hasReplica(filter.target, group, filter.node, tolerance))
        return false;
    bool heldAll = std::all_of(filter.held.begin(), filter.held.end(),
        [&](const Roster& roster) { return hasReplica(roster, group, filter.node, tolerance); });
    return filter.held.empty() || !heldAll;
}

GroupSelector::GroupSelector(const FillFilter& fillFilter, Tolerance tolerated)
    : filter(fillFilter)
    , tolerance(tolerated)
{
}

bool GroupSelector::wants(std::string_view group)
{
    auto found = this->known.find(group);
    if (found == this->known.end())
        found = this->known.emplace(group, wantsGroup(this->filter, group, this->tolerance)).first;
    return found->second;
}

FillFilter makeFilter(
    const std::string& node, const Roster& target, const std::vector<Roster>& held, const Tolerance& tolerance)
{
    if (eachHoldsAll(target, tolerance))
        return { node, {}, {} };
    return { node, target, held };
}

Holdings::Holdings(std::string ownNode, Tolerance tolerated)
    : node(std::move(ownNode))
    , tolerance(tolerated)
{
}

void Holdings::restore(const Roster& known, std::uint64_t ownDisk)
{
    this->disk = ownDisk;
    this->current = known;
    if (!this->isMember())
        return;
    this->held = { known };
    this->filled = known.epoch;
}

void Holdings::adopt(const Roster& next, bool nothingToFetch)
{
    bool wasMember = this->isMember();
    bool skipped = next.epoch != this->current.epoch + 1;
    // With a skipped roster it is unknown which groups others held in between, unless each member holds all.
    bool chainHolds = wasMember && !this->held.empty() && this->held.size() < maxRostersSinceHeld
        && (!skipped || (eachHoldsAll(this->current, this->tolerance) && eachHoldsAll(next, this->tolerance)));
    this->before = std::exchange(this->current, next);
    if (skipped && !eachHoldsAll(next, this->tolerance))
        this->before = next; // what came between is only known to those that have it
    this->fetchedNodes.clear();
    this->countedNodes.clear();
    this->platformFetched = false;
    if (nothingToFetch) {
        this->held = { next };
        this->filled = next.epoch;
        return;
    }
    bool heldAll = eachHoldsAll(this->before, this->tolerance) && this->held.size() == 1;
    if (!chainHolds || !this->isMember())
        this->held.clear();
    else if (heldAll)
        this->held = { next }; // it was a replica of every group
    else
        this->held.push_back(next);
}

void Holdings::fetched(const std::string& source, std::uint64_t sourceFilledEpoch)
{
    this->fetchedNodes.insert(source);
    if (sourceFilledEpoch >= this->before.epoch)
        this->countedNodes.insert(source);
    this->finishIfEnough();
}

void Holdings::fetchedFromPlatform()
{
    this->platformFetched = true;
    this->finishIfEnough();
}

void Holdings::giveUpOnTheRest()
{
    this->held = { this->current };
    this->filled = this->current.epoch;
}

void Holdings::finishIfEnough()
{
    if (this->enoughFetched())
        this->giveUpOnTheRest(); // the rest is not needed
}

bool Holdings::isMember() const
{
    const RosterMember* self = this->current.find(this->node);
    return self != nullptr && self->disk == this->disk;
}

bool Holdings::complete() const
{
    return this->isMember() && this->held.size() == 1;
}

bool Holdings::complete(std::string_view group) const
{
    if (!this->isMember())
        return false;
    if (this->held.size() == 1 || this->heldThroughout(group))
        return true;
    auto replicas = replicasOf(this->before, group, this->tolerance);
    std::size_t counted = this->platformFetched ? 1 : 0;
    for (const RosterMember* replica : replicas)
        counted += this->countedNodes.count(replica->node);
    std::size_t voters = replicas.size() + (platformVotes(this->before, this->tolerance) ? 1 : 0);
    return !replicas.empty() && counted >= voters - mayMissOf(replicas.size());
}

FillPlan Holdings::plan() const
{
    FillPlan plan;
    plan.filter = makeFilter(this->node, this->current, this->held, this->tolerance);
    const Roster& former = this->before.members.empty() ? this->current : this->before;
    for (const RosterMember& source : former.members) {
        const RosterMember* after = this->current.find(source.node);
        bool sameDisk = after == nullptr || after->disk == source.disk; // a new disk has nothing of before
        if (sameDisk && source.node != this->node && this->countedNodes.count(source.node) == 0)
            plan.sources.push_back(source);
    }
    plan.fromPlatform = platformVotes(this->before, this->tolerance) && !this->platformFetched;
    return plan;
}

bool Holdings::heldThroughout(std::string_view group) const
{
    return !this->held.empty() && std::all_of(this->held.begin(), this->held.end(), [&](const Roster& roster) {
        return hasReplica(roster, group, this->node, this->tolerance);
    });
}

bool Holdings::allSourcesFetched() const
{
    FillPlan left = this->plan();
    bool all = std::all_of(left.sources.begin(), left.sources.end(),
        [this](const RosterMember& source) { return this->fetchedNodes.count(source.node) > 0; });
    return all && !left.fromPlatform && !this->before.members.empty();
}

// Whether each former majority of each group is among what was fetched and what this node holds itself.
bool Holdings::enoughFetched() const
{
    if (this->allSourcesFetched())
        return true;
    std::size_t replicas = std::min(this->before.members.size(), mostReplicas(this->tolerance));
    std::size_t missingPlatform = platformVotes(this->before, this->tolerance) && !this->platformFetched ? 1 : 0;
    return replicas > 0 && this->mostMissing() + missingPlatform <= mayMissOf(replicas);
}

// The most replicas of any group that are missing. A data centre has a bounded share of each group's replicas where
// each data centre has enough members.
std::size_t Holdings::mostMissing() const
{
    std::map<std::string_view, std::size_t> members;
    std::map<std::string_view, std::size_t> missing;
    for (const RosterMember& member : this->before.members) {
        bool holdsBefore = !this->held.empty() && this->held.size() <= 2;
        bool own = member.node == this->node && member.disk == this->disk && holdsBefore;
        ++members[member.dataCentre];
        missing[member.dataCentre] += own || this->countedNodes.count(member.node) > 0 ? 0 : 1;
    }
    std::size_t replicas = std::min(this->before.members.size(), mostReplicas(this->tolerance));
    std::size_t bound = members.empty() ? 0 : (replicas + members.size() - 1) / members.size();
    bool bounded
        = std::all_of(members.begin(), members.end(), [bound](const auto& entry) { return entry.second >= bound; });
    std::size_t most = 0;
    for (const auto& [dataCentre, count] : missing)
        most += bounded ? std::min(count, bound) : count;
    return most;
}

} // namespace lovagecross
