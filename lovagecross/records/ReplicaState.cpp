#include "lovagecross/records/ReplicaState.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxHeldRosters = 6; // in a filter, which each request for records carries
constexpr std::size_t maxFilledEpochs = 64;

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

std::size_t replicaCountOf(const Roster& roster, const Tolerance& tolerance)
{
    return std::min(roster.members.size(), replicationFactor(tolerance));
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
    return { node, withoutChanges(target), held };
}

ReplicaState::ReplicaState(std::string ownNode, Tolerance tolerated)
    : node(std::move(ownNode))
    , tolerance(tolerated)
{
}

// --- State

void ReplicaState::restore(const ReplicaProgress& progress, std::uint64_t ownDisk)
{
    this->disk = ownDisk;
    this->filled = progress.filledEpochs;
    this->adopt(progress.roster, false);
}

ReplicaProgress ReplicaState::progressAfter(const Roster& next, bool nothingToFetch) const
{
    ReplicaProgress progress { next, this->filled };
    if (nothingToFetch && !this->filledAt(next.epoch))
        progress.filledEpochs.push_back(next.epoch);
    if (progress.filledEpochs.size() > maxFilledEpochs)
        progress.filledEpochs.erase(progress.filledEpochs.begin());
    return progress;
}

void ReplicaState::adopt(const Roster& next, bool nothingToFetch)
{
    this->filled = this->progressAfter(next, nothingToFetch).filledEpochs;
    this->current = next;
    this->fetched.clear();
    this->platformFetched = false;
    this->former.clear();
    if (this->filledAt(next.epoch))
        return;
    this->former = formerRosters(next);
    this->planFrom = this->firstPlannedRoster();
}

// Returns the index of the newest roster under which this node has completed its fill, or else of the last roster.
std::size_t ReplicaState::firstPlannedRoster() const
{
    for (std::size_t i = this->former.size(); i-- > 0;) {
        if (this->former[i].hasDisk(this->node, this->disk) && this->filledAt(this->former[i].epoch))
            return i;
    }
    return this->former.empty() ? 0 : this->former.size() - 1;
}

void ReplicaState::markFetched(const RosterMember& source, const std::vector<std::uint64_t>& sourceFilledEpochs)
{
    this->fetched[{ source.node, source.disk }] = { sourceFilledEpochs.begin(), sourceFilledEpochs.end() };
}

void ReplicaState::markPlatformFetched()
{
    this->platformFetched = true;
}

void ReplicaState::markComplete()
{
    this->filled = this->progressWhenComplete().filledEpochs;
    this->former.clear();
}

bool ReplicaState::isMember() const
{
    return this->current.hasDisk(this->node, this->disk);
}

bool ReplicaState::filledAt(std::uint64_t epoch) const
{
    return std::binary_search(this->filled.begin(), this->filled.end(), epoch);
}

bool ReplicaState::complete() const
{
    if (!this->isMember())
        return false;
    if (this->filledAt(this->current.epoch))
        return true;
    return this->heldSinceFill([this](const Roster& roster) {
        // A node that was a replica of every group before is one of no other group now.
        bool replicaOfAll = &roster == &this->current || isFullyReplicated(roster, this->tolerance);
        bool held = replicaOfAll && roster.hasDisk(this->node, this->disk);
        return held ? replicaCountOf(roster, this->tolerance) : 0;
    });
}

bool ReplicaState::complete(std::string_view group) const
{
    if (!this->isMember())
        return false;
    if (this->filledAt(this->current.epoch))
        return true;
    bool held = this->heldSinceFill([&](const Roster& roster) {
        auto replicas = replicasOf(roster, group, this->tolerance);
        bool isReplica = std::any_of(replicas.begin(), replicas.end(),
            [this](const RosterMember* member) { return member->node == this->node && member->disk == this->disk; });
        return isReplica ? replicas.size() : 0;
    });
    return held
        || this->coveredFromSomeBase(
            [&](const Roster& roster, Reading reading) { return this->groupCovered(roster, group, reading); },
            Reading::FilledAtThatEpoch);
}

// Returns whether this node has been a replica in every roster since its last fill, while the majority became no
// smaller. `replicaCount` returns the number of replicas in a roster, or 0 if this node is none of them.
bool ReplicaState::heldSinceFill(const std::function<std::size_t(const Roster&)>& replicaCount) const
{
    std::size_t count = replicaCount(this->current);
    for (std::size_t i = this->former.size(); count > 0 && i-- > 0;) {
        std::size_t countBefore = replicaCount(this->former[i]);
        if (countBefore == 0 || majorityOf(countBefore) > majorityOf(count))
            return false;
        if (this->filledAt(this->former[i].epoch))
            return true;
        count = countBefore;
    }
    return false;
}

// --- Plan

FillPlan ReplicaState::plan() const
{
    FillPlan plan;
    plan.filter = makeFilter(this->node, this->current, this->rostersHeldSinceFill(), this->tolerance);
    std::set<DiskId> planned { { this->node, this->disk } };
    auto add = [&](const RosterMember& member) {
        auto found = this->fetched.find({ member.node, member.disk });
        bool satisfied = found != this->fetched.end() && !this->former.empty()
            && found->second.count(this->former.back().epoch) > 0;
        if (planned.insert({ member.node, member.disk }).second && !satisfied)
            plan.sources.push_back(member);
    };
    for (std::size_t i = this->planFrom; i < this->former.size(); ++i) {
        for (const RosterMember& member : this->former[i].members) {
            if (!this->diskWasReplaced(member, i))
                add(member);
        }
        plan.fromPlatform = plan.fromPlatform || platformVotes(this->former[i], this->tolerance);
    }
    for (const RosterMember& member : this->current.members)
        add(member);
    plan.fromPlatform = plan.fromPlatform && !this->platformFetched;
    return plan;
}

// Returns whether a roster after `former[formerIndex]` has the member with another disk.
bool ReplicaState::diskWasReplaced(const RosterMember& member, std::size_t formerIndex) const
{
    auto replacedIn = [&](const Roster& roster) {
        const RosterMember* later = roster.find(member.node);
        return later != nullptr && later->disk != member.disk;
    };
    return replacedIn(this->current)
        || std::any_of(this->former.begin() + static_cast<std::ptrdiff_t>(formerIndex), this->former.end(), replacedIn);
}

// Returns the rosters in which this node held groups that it need not fetch, or none.
std::vector<Roster> ReplicaState::rostersHeldSinceFill() const
{
    std::size_t first = this->firstPlannedRoster();
    bool hasBase = first < this->former.size() && this->filledAt(this->former[first].epoch);
    if (!hasBase || this->former.size() - first > maxHeldRosters)
        return {};
    std::vector<Roster> held(this->former.begin() + static_cast<std::ptrdiff_t>(first), this->former.end());
    std::size_t majority = 0;
    for (const Roster& roster : held) {
        std::size_t next = majorityOf(replicaCountOf(roster, this->tolerance));
        if (!roster.hasDisk(this->node, this->disk) || next < majority)
            return {};
        majority = next;
    }
    return held;
}

bool ReplicaState::extendPlan()
{
    std::uint64_t candidate = 0;
    auto consider = [&](std::uint64_t epoch) {
        if (this->planFrom < this->former.size() && epoch < this->former[this->planFrom].epoch)
            candidate = std::max(candidate, epoch);
    };
    for (const auto& [source, epochs] : this->fetched) {
        for (std::uint64_t epoch : epochs)
            consider(epoch);
    }
    for (std::uint64_t epoch : this->filled)
        consider(epoch);
    for (std::size_t i = 0; i < this->planFrom && i < this->former.size(); ++i) {
        if (this->former[i].epoch != candidate)
            continue;
        this->planFrom = i;
        return true;
    }
    return false;
}

// --- What the fetched sources cover

bool ReplicaState::enoughFetched() const
{
    auto covered = [this](const Roster& roster, Reading reading) { return this->everyGroupCovered(roster, reading); };
    return this->coveredFromSomeBase(covered, Reading::FilledAtThatEpoch);
}

bool ReplicaState::enoughOnceSourcesAreFilled() const
{
    auto covered = [this](const Roster& roster, Reading reading) { return this->everyGroupCovered(roster, reading); };
    return this->coveredFromSomeBase(covered, Reading::AnyAsBase);
}

// Returns whether `covered` holds for some base, and for every later former roster with any kind of reading. The
// current roster is a base too: its members may have completed their fill already.
bool ReplicaState::coveredFromSomeBase(const std::function<bool(const Roster&, Reading)>& covered, Reading base) const
{
    if (covered(this->current, Reading::FilledAtThatEpoch))
        return true;
    for (std::size_t i = this->former.size(); i-- > 0;) {
        if (covered(this->former[i], base))
            return true;
        if (!covered(this->former[i], Reading::Any))
            return false;
    }
    return false;
}

bool ReplicaState::counts(const RosterMember& member, std::uint64_t epoch, Reading reading) const
{
    if (member.node == this->node && member.disk == this->disk)
        return reading == Reading::Any || this->filledAt(epoch);
    auto found = this->fetched.find({ member.node, member.disk });
    if (found == this->fetched.end())
        return false;
    return reading != Reading::FilledAtThatEpoch || found->second.count(epoch) > 0;
}

bool ReplicaState::groupCovered(const Roster& roster, std::string_view group, Reading reading) const
{
    auto replicas = replicasOf(roster, group, this->tolerance);
    std::size_t votes = platformVotes(roster, this->tolerance) && this->platformFetched ? 1 : 0;
    for (const RosterMember* replica : replicas)
        votes += this->counts(*replica, roster.epoch, reading) ? 1 : 0;
    return votes >= majorityOf(replicas.size());
}

bool ReplicaState::everyGroupCovered(const Roster& roster, Reading reading) const
{
    std::size_t replicas = replicaCountOf(roster, this->tolerance);
    bool platformIsReplica = platformVotes(roster, this->tolerance);
    std::size_t voters = replicas + (platformIsReplica ? 1 : 0);
    std::size_t missing
        = this->maxMissingReplicas(roster, reading) + (platformIsReplica && !this->platformFetched ? 1 : 0);
    return voters >= missing + majorityOf(replicas);
}

// Returns an upper bound on the number of replicas of any group that don't count. If every data centre has enough
// members, each holds at most a fixed share of a group's replicas.
std::size_t ReplicaState::maxMissingReplicas(const Roster& roster, Reading reading) const
{
    std::map<std::string_view, std::size_t> members;
    std::map<std::string_view, std::size_t> missing;
    for (const RosterMember& member : roster.members) {
        ++members[member.dataCentre];
        missing[member.dataCentre] += this->counts(member, roster.epoch, reading) ? 0 : 1;
    }
    std::size_t replicas = replicaCountOf(roster, this->tolerance);
    std::size_t bound = members.empty() ? 0 : (replicas + members.size() - 1) / members.size();
    bool bounded
        = std::all_of(members.begin(), members.end(), [bound](const auto& entry) { return entry.second >= bound; });
    std::size_t most = 0;
    for (const auto& [dataCentre, count] : missing)
        most += bounded ? std::min(count, bound) : count;
    return most;
}

} // namespace lovagecross
