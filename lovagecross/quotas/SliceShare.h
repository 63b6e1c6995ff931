#pragma once

// Which part of a tenant's quota a record node may grant while rosters change.
//
//     ShareHistory history;
//     noteFirstRoster(history, rosterOnDisk, now);
//     noteRoster(history, roster, handoverTime, now);            // with each roster that the node hears of
//     settle(history, now);
//     double share = shareOf(history, "tenant", "node", tolerance);
//
// A share that a new roster lowers is lowered at once. A share that it raises is raised after `handoverTime`, when
// every node that knows only the former roster has stopped granting (`QuotaIssuer`), or once all members have confirmed
// the new roster. So the shares of all nodes never exceed the whole, even while some nodes can't hear of the change.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/records/Roster.h"

#include <string>
#include <vector>

namespace lovagecross {

struct FormerRoster {
    Roster roster;
    TimePoint countsUntil; // it limits the shares until then
};

struct ShareHistory {
    Roster current; // without its list of changes; epoch 0: none is known
    bool removedMembers = false; // a former member may not know yet that it was removed
    std::vector<FormerRoster> former; // that still limit the shares
    TimePoint settledAt; // when the last former roster ceased to count; slices fill from then on
};

inline constexpr std::size_t maxFormerRosters = 16; // beyond that, the node grants nothing until they no longer count

// The roster that the node already knew before its start. It counts at once, since no share moves to this node by it.
void noteFirstRoster(ShareHistory& history, const Roster& roster, TimePoint now);

// Takes a roster, with its list of changes, that counts besides the former ones for `handoverTime`. Returns whether it
// is newer than the current one; others are ignored.
bool noteRoster(ShareHistory& history, const Roster& roster, Duration handoverTime, TimePoint now);

// All other members have said that they know the current roster and none newer.
void noteUnanimity(ShareHistory& history, TimePoint now);

// Forgets the former rosters that no longer count.
void settle(ShareHistory& history, TimePoint now);

// The part of the tenant's quota that the node may grant, from 0 to 1. `settle` must have been called with the present
// time.
double shareOf(
    const ShareHistory& history, const std::string& tenant, const std::string& node, const Tolerance& tolerance);

} // namespace lovagecross
