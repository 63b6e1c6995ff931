#pragma once

// Tracks which records a record node holds under its current roster and which it still has to fetch from other members
// (a fill). Does no I/O.
//
//     holdings.adopt(next, false);
//     FillPlan plan = holdings.plan();
//     ... fetch from each source ...
//     holdings.markFetched(source.node, sourceFilledEpoch);
//     if (holdings.complete(group)) ... this node may vote on the group's budget
//
// A roster change moves only some groups to other replicas. A node keeps voting on groups of which it was a replica
// throughout. It votes on a newly assigned group once it has fetched from enough former replicas to intersect every
// former majority. If the roster has no more members than the replication factor, every member holds every group. Each
// member then fetches all records at each change, since a record may exist only on the removed member and one other.
//
// Thread safety: not synchronized; the owner must hold a lock.

#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
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
    std::vector<RosterMember> sources; // members from which a complete fetch is still missing
    bool fromPlatform = false; // whether reservations must also be fetched from the platform
};

class ReplicaState {
public:
    ReplicaState(std::string ownNode, Tolerance tolerated);

    // Restores the state after a restart. If the node is a member of `known` with this disk, the disk holds all records
    // that the node needs under that roster.
    void restore(const Roster& known, std::uint64_t ownDisk);

    // Switches to a newer roster. `nothingToFetch` is set when this node has just created or joined the initial roster,
    // for which no records exist yet.
    void adopt(const Roster& next, bool nothingToFetch);

    // Records that everything in the plan was fetched from `node`, which had itself fetched everything up to
    // `sourceFilledEpoch`.
    void markFetched(const std::string& node, std::uint64_t sourceFilledEpoch);
    void markPlatformFetched();

    // Marks the current roster as fully fetched. Records that could not be fetched are treated as lost.
    void markComplete();

    const Roster& roster() const { return this->current; }
    bool isMember() const;
    bool complete() const; // for every group
    bool complete(std::string_view group) const;

    // Newest epoch for which this node has fetched everything that the other members held.
    std::uint64_t filledEpoch() const { return this->filledUpTo; }
    FillPlan plan() const;

private:
    bool heldInAllRosters(std::string_view group) const;
    bool allSourcesFetched() const;
    bool enoughFetched() const;
    std::size_t maxMissingReplicas() const;
    void markCompleteIfEnoughFetched();

    const std::string node;
    const Tolerance tolerance;
    std::uint64_t disk = 0;
    Roster current;
    Roster previous; // the roster before `current`, as far as this node knows
    std::vector<Roster> heldRosters; // a fully fetched roster and those adopted since; empty if none is held
    std::set<std::string> fetchedSources;
    std::set<std::string> completeSources; // subset of `fetchedSources` that had all their records of `previous`
    bool platformFetched = false;
    std::uint64_t filledUpTo = 0;
};

} // namespace lovagecross
