#include "lovagecross/records/Roster.h"

#include "lovagecross/base/Hash.h"
#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/config/JsonWriter.h"
#include "lovagecross/config/TextRules.h"

#include <algorithm>
#include <map>
#include <set>

namespace lovagecross {

namespace {

constexpr std::int64_t maxEpoch = std::int64_t(1) << 53U; // up to here, a JSON number is exact as a double
constexpr std::size_t maxMembers = 1000;
constexpr std::size_t maxChanges = 64;

template <typename Visitor, typename MemberType> void visitMember(Visitor& visit, MemberType& member)
{
    visit.text("node", member.node, idRule, Presence::Required);
    visit.integer("disk", member.disk, { 0, maxEpoch }, Presence::Required);
    visit.text("address", member.address, addressRule, Presence::Required);
    visit.text("dataCentre", member.dataCentre, idRule, Presence::Required);
}

template <typename Visitor, typename ChangeType> void visitChange(Visitor& visit, ChangeType& change)
{
    visit.integer("epoch", change.epoch, { 1, maxEpoch }, Presence::Required);
    visit.texts("added", change.added, idRule, { 0, maxMembers });
    visit.objects("removed", change.removed, { 0, maxMembers },
        [](auto& memberVisit, auto& member) { visitMember(memberVisit, member); });
}

template <typename Visitor, typename RosterType> void visitRoster(Visitor& visit, RosterType& roster)
{
    visit.integer("epoch", roster.epoch, { 1, maxEpoch }, Presence::Required);
    visit.objects(
        "members", roster.members, { 0, maxMembers },
        [](auto& memberVisit, auto& member) { visitMember(memberVisit, member); }, Presence::Required);
    visit.objects("changes", roster.changes, { 0, maxChanges },
        [](auto& changeVisit, auto& change) { visitChange(changeVisit, change); });
}

void sortByName(Roster& roster)
{
    std::sort(roster.members.begin(), roster.members.end(),
        [](const RosterMember& left, const RosterMember& right) { return left.node < right.node; });
}

// Returns the roster before the last of its changes.
Roster rosterBefore(const Roster& roster)
{
    Roster before = roster;
    RosterChange change = before.changes.back();
    before.changes.pop_back();
    before.epoch = change.epoch - 1;
    std::erase_if(before.members, [&](const RosterMember& member) {
        return std::find(change.added.begin(), change.added.end(), member.node) != change.added.end();
    });
    before.members.insert(before.members.end(), change.removed.begin(), change.removed.end());
    sortByName(before);
    return before;
}

void addChange(Roster& roster, RosterChange change)
{
    change.epoch = roster.epoch;
    roster.changes.push_back(std::move(change));
    if (roster.changes.size() > maxChanges)
        roster.changes.erase(roster.changes.begin());
}

// Removes the member, if there is one, and adds it to those that the change has removed.
void removeMember(Roster& roster, std::string_view node, RosterChange& change)
{
    auto found = std::find_if(
        roster.members.begin(), roster.members.end(), [&](const RosterMember& member) { return member.node == node; });
    if (found == roster.members.end())
        return;
    change.removed.push_back(std::move(*found));
    roster.members.erase(found);
}

} // namespace

const RosterMember* Roster::find(std::string_view node) const
{
    for (const RosterMember& member : this->members) {
        if (member.node == node)
            return &member;
    }
    return nullptr;
}

bool Roster::hasDisk(std::string_view node, std::uint64_t disk) const
{
    const RosterMember* member = this->find(node);
    return member != nullptr && member->disk == disk;
}

std::vector<Roster> formerRosters(const Roster& roster)
{
    std::vector<Roster> former;
    Roster oldest = roster;
    while (!oldest.changes.empty() && oldest.changes.back().epoch == oldest.epoch && oldest.epoch > 1) {
        oldest = rosterBefore(oldest);
        former.push_back(withoutChanges(oldest));
    }
    std::reverse(former.begin(), former.end());
    return former;
}

Roster withoutChanges(const Roster& roster)
{
    return { roster.epoch, roster.members, {} };
}

std::string printRoster(const Roster& roster)
{
    JsonWriter writer;
    visitRoster(writer, roster);
    return printJson(writer.take(), JsonLayout::OneLine);
}

Result<Roster> parseRoster(std::string_view json)
{
    BOOST_LEAF_AUTO(document, parseJson(json));
    Roster roster;
    JsonErrors errors;
    JsonReader reader(document, {}, errors);
    visitRoster(reader, roster);
    reader.finish();
    if (auto checked = errors.result(); !checked)
        return checked.error();
    sortByName(roster);
    return roster;
}

std::vector<const RosterMember*> replicasOf(const Roster& roster, std::string_view group, const Tolerance& tolerance)
{
    std::vector<std::pair<std::uint64_t, const RosterMember*>> ranked;
    std::set<std::string_view> dataCentres;
    std::uint64_t seed = stableHash(group);
    for (const RosterMember& member : roster.members) {
        ranked.emplace_back(stableHash(member.node, seed), &member);
        dataCentres.insert(member.dataCentre);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second->node < right.second->node;
    });
    std::size_t count = std::min(roster.members.size(), replicationFactor(tolerance));
    std::size_t perDataCentre = dataCentres.empty() ? 0 : (count + dataCentres.size() - 1) / dataCentres.size();
    std::vector<const RosterMember*> replicas;
    std::map<std::string_view, std::size_t> used;
    // The second pass ignores the bound per data centre, for the case that some data centre has too few members.
    for (std::size_t bound : { perDataCentre, count }) {
        for (const auto& [rank, member] : ranked) {
            bool taken = std::find(replicas.begin(), replicas.end(), member) != replicas.end();
            if (taken || replicas.size() >= count || used[member->dataCentre] >= bound)
                continue;
            ++used[member->dataCentre];
            replicas.push_back(member);
        }
    }
    return replicas;
}

std::size_t replicationFactor(const Tolerance& tolerance)
{
    return 2 * std::size_t(tolerance.machines) + 1;
}

std::size_t majorityOf(std::size_t replicas)
{
    return replicas / 2 + 1;
}

bool platformVotes(const Roster& roster, const Tolerance& tolerance)
{
    std::size_t members = roster.members.size();
    return members > 0 && members % 2 == 0 && members < replicationFactor(tolerance);
}

bool enoughCopies(const std::vector<const RosterMember*>& holders, const Tolerance& tolerance)
{
    std::set<std::string_view> dataCentres;
    for (const RosterMember* member : holders)
        dataCentres.insert(member->dataCentre);
    return holders.size() > tolerance.machines && dataCentres.size() > tolerance.dataCentres;
}

Roster withMember(const Roster& roster, const RosterMember& joining, const std::vector<std::string>& unreachable)
{
    Roster next = roster;
    ++next.epoch;
    RosterChange change;
    removeMember(next, joining.node, change);
    bool replacesItself = !change.removed.empty();
    const RosterMember* lost = nullptr;
    for (const std::string& name : unreachable) {
        const RosterMember* member = next.find(name);
        if (member != nullptr && (lost == nullptr || member->dataCentre == joining.dataCentre))
            lost = member;
    }
    if (lost != nullptr && !replacesItself)
        removeMember(next, std::string(lost->node), change);
    next.members.push_back(joining);
    change.added.push_back(joining.node);
    sortByName(next);
    addChange(next, std::move(change));
    return next;
}

Roster withoutMember(const Roster& roster, std::string_view node)
{
    Roster next = roster;
    ++next.epoch;
    RosterChange change;
    removeMember(next, node, change);
    addChange(next, std::move(change));
    return next;
}

} // namespace lovagecross
