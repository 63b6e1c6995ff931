#pragma once

// Tracks which records a record node holds under its current roster and which it still has to fetch from other members
// (a fill). Does no I/O.
//
//     holdings.adopt(next, false);
//     FillPlan plan = holdings.plan();
//     ... fetch from each source ...
//     holdings.markFetched(source, filledEpochs);
//     if (holdings.complete(group)) ... this node may vote on the group's budget
//     if (holdings.enoughFetched()) ... log `progressWhenComplete`, then holdings.markComplete();
//
// A member votes on a group if one of these holds:
//  - It has completed a fill at some epoch and has been a replica of the group since then, while no roster change made
//    the majority of the group smaller. It may lack records, but only so few members do that each majority knows them.
//  - It has fetched the group. For some epoch (the base) it has fetched from a majority of the replicas that had
//  completed
//    their fill at that epoch, and for every later epoch before the current one from a majority of the replicas.
//    Whatever a majority of an earlier epoch accepted is then on one of the nodes that were asked. Each of them has
//    adopted the current roster first, and so accepts nothing for an earlier epoch afterwards.
//
// Epochs at which fills were completed are part of `ReplicaProgress`, which the owner logs before it acts on it: a node
// that restarts in the middle of a fill goes on with it.
//
// Thread safety: not synchronized; the owner must hold a lock.

#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lovagecross {

// Selects the groups whose records a node requests from a source.
struct FillFilter {
    std::string node; // the requesting node
    Roster target; // selects the groups of which `node` is a replica in this roster; no members selects all groups
    // Excludes groups of which `node` is a replica in all of these rosters. Excludes none if empty.
    std::vector<Roster> alreadyHeld;

    bool operator==(const FillFilter&) const = default;
};

bool wantsGroup(const FillFilter& filter, std::string_view group, const Tolerance& tolerance);

// Caches the result of `wantsGroup` for each group, for use with many records of the same groups.
class GroupSelector {
public:
    // `filter` must outlive the selector.
    GroupSelector(const FillFilter& fillFilter, Tolerance tolerated);

    bool wants(std::string_view group);

private:
    const FillFilter& filter;
    const Tolerance tolerance;
    std::map<std::string, bool, std::less<>> selectedByGroup;
};

// Returns the filter for a node that becomes a member of `target` and already holds all its records of the rosters
// `held`.
FillFilter makeFilter(
    const std::string& node, const Roster& target, const std::vector<Roster>& held, const Tolerance& tolerance);

struct FillPlan {
    FillFilter filter;
    std::vector<RosterMember> sources; // members, also former ones, from which a complete fetch is still missing
    bool fromPlatform = false; // whether reservations must also be fetched from the platform
};

// What a node must know after a restart: its newest roster, and the epochs at which it had fetched everything.
struct ReplicaProgress {
    Roster roster;
    std::vector<std::uint64_t> filledEpochs; // ascending
};

class ReplicaState {
public:
    ReplicaState(std::string ownNode, Tolerance tolerated);

    // Restores the state after a restart.
    void restore(const ReplicaProgress& progress, std::uint64_t ownDisk);

    // Switches to a newer roster. `nothingToFetch` is set when this node has created the first roster, before any
    // record.
    void adopt(const Roster& next, bool nothingToFetch);

    // Records that everything in the plan was fetched from a source, and the epochs at which the source itself had
    // fetched everything.
    void markFetched(const RosterMember& source, const std::vector<std::uint64_t>& sourceFilledEpochs);
    void markPlatformFetched();

    // Returns whether the fill of the current roster is complete with what was fetched.
    bool enoughFetched() const;

    // Returns whether it would be if all fetched sources had completed their own fills.
    bool enoughOnceSourcesAreFilled() const;

    // Adds the members of earlier epochs to the plan. Returns false if no earlier epoch can help.
    bool extendPlan();

    // Marks the current roster as fully fetched. Records that could not be fetched are treated as lost.
    void markComplete();

    // What must be durable before `adopt` or `markComplete` is called.
    ReplicaProgress progress() const { return { this->current, this->filled }; }
    ReplicaProgress progressAfter(const Roster& next, bool nothingToFetch) const;
    ReplicaProgress progressWhenComplete() const { return this->progressAfter(this->current, true); }

    const Roster& roster() const { return this->current; }
    bool isMember() const;
    bool complete() const; // for every group
    bool complete(std::string_view group) const;

    // Epochs for which this node has fetched everything that the other members held, ascending.
    const std::vector<std::uint64_t>& filledEpochs() const { return this->filled; }
    std::uint64_t filledEpoch() const { return this->filled.empty() ? 0 : this->filled.back(); } // the newest of them
    FillPlan plan() const;

private:
    struct DiskId {
        std::string node;
        std::uint64_t disk = 0;

        bool operator<(const DiskId& other) const
        {
            return std::tie(this->node, this->disk) < std::tie(other.node, other.disk);
        }
    };
    // How the records of a member must have been fetched for it to count.
    enum class Reading {
        Any,
        FilledAtThatEpoch, // the member had completed its fill at the epoch of the roster in question
        AnyAsBase, // as if every fetched member had
    };

    bool filledAt(std::uint64_t epoch) const;
    bool counts(const RosterMember& member, std::uint64_t epoch, Reading reading) const;
    bool groupCovered(const Roster& roster, std::string_view group, Reading reading) const;
    bool everyGroupCovered(const Roster& roster, Reading reading) const;
    bool coveredFromSomeBase(const std::function<bool(const Roster&, Reading)>& covered, Reading base) const;
    std::size_t maxMissingReplicas(const Roster& roster, Reading reading) const;
    bool heldSinceFill(const std::function<std::size_t(const Roster&)>& replicaCount) const;
    std::vector<Roster> rostersHeldSinceFill() const;
    bool diskWasReplaced(const RosterMember& member, std::size_t formerIndex) const;
    std::size_t firstPlannedRoster() const;

    const std::string node;
    const Tolerance tolerance;
    std::uint64_t disk = 0;
    Roster current;
    std::vector<std::uint64_t> filled;
    std::vector<Roster> former; // rosters before `current`, oldest first; empty once the fill is complete
    std::size_t planFrom = 0; // index in `former` of the oldest roster whose members are sources
    std::map<DiskId, std::set<std::uint64_t>> fetched; // under `current`; filled epochs by source
    bool platformFetched = false;
};

} // namespace lovagecross
