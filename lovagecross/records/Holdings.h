#pragma once

// What a record node holds under the roster that is in force, and what it still has to fetch. Pure state without I/O.
//
//     holdings.adopt(next, false);
//     FillPlan plan = holdings.plan();
//     ... fetch from each source ...
//     holdings.fetched(source.node, sourceFilledEpoch);
//     if (holdings.complete(group)) ... this node may vote on the group's budget
//
// A change of the roster moves only some groups to other replicas. A node goes on voting on the groups of which it was
// a replica all along, and on a group that it gained once it has fetched from so many former replicas that each former
// majority is among them. Where the roster has no more members than a group has replicas, each member holds everything:
// it then fetches everything at each change, since a record may lie on the member that has left and on one other.
//
// Thread safety: not synchronized; the owner guards it with one lock.

#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

// Which records a node wants from a source.
struct FillFilter {
    std::string node; // that fetches
    Roster target; // it wants the groups of which it is a replica here; without members: all
    std::vector<Roster> held; // except those of which it is a replica in all of these; empty: no exception

    bool operator==(const FillFilter&) const = default;
};

bool wantsGroup(const FillFilter& filter, std::string_view group, const Tolerance& tolerance);

// The same for many records, most of them of groups that came before.
class GroupSelector {
public:
    // `filter` must outlive the selector.
    GroupSelector(const FillFilter& fillFilter, Tolerance tolerated);

    bool wants(std::string_view group);

private:
    const FillFilter& filter;
    const Tolerance tolerance;
    std::map<std::string, bool, std::less<>> known;
};

// What a node wants that becomes a member of `target` and holds everything of `held`.
FillFilter makeFilter(
    const std::string& node, const Roster& target, const std::vector<Roster>& held, const Tolerance& tolerance);

struct FillPlan {
    FillFilter filter;
    std::vector<RosterMember> sources; // that don't count as fetched yet
    bool fromPlatform = false; // reservations at the platform are to be fetched too
};

class Holdings {
public:
    Holdings(std::string ownNode, Tolerance tolerated);

    // After a restart: the disk holds everything of the roster that it knows, if the node is a member with it.
    void restore(const Roster& known, std::uint64_t ownDisk);

    // Takes on a newer roster. `nothingToFetch`: this node has just founded it with others, without any records.
    void adopt(const Roster& next, bool nothingToFetch);

    // Everything that the plan wants was fetched from this source, which had itself fetched all up to `filledEpoch`.
    void fetched(const std::string& node, std::uint64_t sourceFilledEpoch);
    void fetchedFromPlatform();

    // What can't be fetched is gone for good.
    void giveUpOnTheRest();

    const Roster& roster() const { return this->current; }
    bool isMember() const;
    bool complete() const; // for every group
    bool complete(std::string_view group) const;

    // The newest epoch for which everything was fetched that others held.
    std::uint64_t filledEpoch() const { return this->filled; }
    FillPlan plan() const;

private:
    bool heldThroughout(std::string_view group) const;
    bool allSourcesFetched() const;
    bool enoughFetched() const;
    std::size_t mostMissing() const;
    void finishIfEnough();

    const std::string node;
    const Tolerance tolerance;
    std::uint64_t disk = 0;
    Roster current;
    Roster before; // that preceded the current one, as far as this node knows
    std::vector<Roster> held; // a roster of which everything is held, and those adopted since; empty: nothing is held
    std::set<std::string> fetchedNodes;
    std::set<std::string> countedNodes; // of those: sources that had everything of the former roster
    bool platformFetched = false;
    std::uint64_t filled = 0;
};

} // namespace lovagecross
