#include "lovagecross/quotas/SliceShare.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

// One slice, also if the roster has fewer replicas than slices: a node that is cut off with a small roster can't hear
// of the next one, in which it has only one slice.
double shareIn(const Roster& roster, const std::string& tenant, const std::string& node, const Tolerance& tolerance)
{
    std::vector<const RosterMember*> issuers = replicasOf(roster, tenant, tolerance);
    bool isIssuer = std::any_of(
        issuers.begin(), issuers.end(), [&node](const RosterMember* member) { return member->node == node; });
    return isIssuer ? 1.0 / static_cast<double>(replicationFactor(tolerance)) : 0;
}

bool hasLostMembers(const Roster& roster)
{
    for (const RosterChange& change : roster.changes) {
        for (const RosterMember& removed : change.removed) {
            if (roster.find(removed.node) == nullptr)
                return true;
        }
    }
    return false;
}

void setCurrent(ShareHistory& history, const Roster& roster)
{
    // The changes go back a limited number of epochs: if some may be missing, members may have been removed.
    bool gap = roster.changes.size() < roster.epoch;
    history.removedMembers = gap || hasLostMembers(roster);
    history.current = withoutChanges(roster);
}

// If there are too many, the two oldest are replaced by an empty roster, in which this node has no share.
void addFormer(ShareHistory& history, FormerRoster former)
{
    history.former.push_back(std::move(former));
    if (history.former.size() <= maxFormerRosters)
        return;
    history.former.erase(history.former.begin());
    history.former.front() = { Roster {}, history.former.back().countsUntil };
}

} // namespace

void noteFirstRoster(ShareHistory& history, const Roster& roster, TimePoint now)
{
    setCurrent(history, roster);
    history.settledAt = now;
}

bool noteRoster(ShareHistory& history, const Roster& roster, Duration handoverTime, TimePoint now)
{
    if (roster.epoch <= history.current.epoch)
        return false;
    TimePoint countsUntil = now + handoverTime;
    std::uint64_t known = history.current.epoch;
    addFormer(history, { std::move(history.current), countsUntil });
    // Rosters that this node has missed count too: it may not have been a member in one of them.
    std::uint64_t missed = roster.epoch - known - 1;
    if (missed > 0 && known > 0) {
        for (Roster& between : formerRosters(roster)) {
            if (between.epoch <= known)
                continue;
            addFormer(history, { withoutChanges(between), countsUntil });
            --missed;
        }
        if (missed > 0)
            addFormer(history, { Roster {}, countsUntil });
    }
    setCurrent(history, roster);
    return true;
}

void noteUnanimity(ShareHistory& history, TimePoint now)
{
    if (history.former.empty() || history.removedMembers)
        return;
    history.former.clear();
    history.settledAt = now;
}

void settle(ShareHistory& history, TimePoint now)
{
    auto ended = [&](const FormerRoster& former) {
        if (former.countsUntil > now)
            return false;
        history.settledAt = std::max(history.settledAt, former.countsUntil);
        return true;
    };
    std::erase_if(history.former, ended);
}

double shareOf(
    const ShareHistory& history, const std::string& tenant, const std::string& node, const Tolerance& tolerance)
{
    double share = shareIn(history.current, tenant, node, tolerance);
    for (const FormerRoster& former : history.former)
        share = std::min(share, shareIn(former.roster, tenant, node, tolerance));
    return share;
}

} // namespace lovagecross
