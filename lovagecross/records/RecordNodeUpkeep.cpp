// The upkeep of a record node: the roster, what has to be fetched, and what lies at the platform.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/records/RecordNode.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration maintainInterval = milliseconds(200);
constexpr Duration refreshInterval = std::chrono::seconds(4); // changes also come from the members that make them
constexpr Duration expiryInterval = std::chrono::seconds(5);
constexpr Duration memberCheckInterval = std::chrono::seconds(2);
constexpr Duration platformDrainInterval = std::chrono::seconds(20); // also the time that readers have to look again
constexpr Duration inspectTimeout = milliseconds(500);
constexpr Duration fillTimeout = milliseconds(1500);
constexpr Duration fillRetryInterval = std::chrono::seconds(1);
constexpr Duration storeTimeout = milliseconds(500);
constexpr Duration lostSourcesAfter = std::chrono::seconds(3); // beside the time after which silent members are removed
constexpr Duration stopPoll = milliseconds(20);

} // namespace

void RecordNode::run()
{
    std::unique_lock lock(this->wakeMutex);
    while (!this->stopping) {
        this->hurry = false;
        lock.unlock();
        this->maintain();
        lock.lock();
        this->wake.wait_for(lock, maintainInterval, [this] { return this->stopping || this->hurry; });
    }
}

void RecordNode::maintain()
{
    TimePoint now = this->parts.clock.now();
    if (now >= this->nextRefresh || !this->upkeepState().member) {
        this->nextRefresh = now + refreshInterval;
        this->refreshRoster();
    }
    auto [member, leaving, filled] = this->upkeepState();
    if (leaving)
        this->leave();
    else if (!member && !this->retired())
        this->join();
    else if (!filled)
        this->fill();
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->expire();
    }
    if (member && !leaving)
        this->careForOthers(now, filled);
}

RecordNode::UpkeepState RecordNode::upkeepState() const
{
    std::lock_guard lock(this->mutex);
    return { this->holdings.isMember(), this->retireRequested && !this->isRetired,
        this->holdings.filledEpoch() >= this->holdings.roster().epoch };
}

// What a few members do for all: those first by name, so that the loss of some stops nothing.
void RecordNode::careForOthers(TimePoint now, bool filled)
{
    Roster roster = this->roster();
    std::size_t rank = 0;
    while (rank < roster.members.size() && roster.members[rank].node != this->settings.node)
        ++rank;
    if (rank <= this->settings.tolerance.machines && now >= this->nextMemberCheck) {
        this->nextMemberCheck = now + memberCheckInterval;
        this->removeGoneMember(roster);
    }
    if (rank == 0 && filled && now >= this->nextPlatformDrain) {
        this->nextPlatformDrain = now + platformDrainInterval;
        this->drainPlatform(roster);
    }
}

void RecordNode::removeGoneMember(const Roster& roster)
{
    std::vector<std::string> silent = this->unreachableMembers(roster);
    TimePoint now = this->parts.clock.now();
    this->watch.checked(roster, silent, now);
    auto gone = this->watch.memberToRemove(roster, this->settings.tolerance, now);
    if (!gone)
        return;
    if (this->refreshRoster() != StoreStatus::Ok || this->roster().epoch != roster.epoch)
        return;
    Roster next = withoutMember(roster, *gone);
    bool written = this->writeRoster(next, this->rosterVersion);
    LogLine(LogLevel::Warning, "roster_member_gone")
        .field("member", *gone)
        .field("epoch", next.epoch)
        .field("silentMs", toMillis(this->settings.memberGoneAfter))
        .field("written", written)
        .write();
    if (written)
        this->adopt(next, false);
}

// Brings turns that lie at the platform to the disks, and removes them there one round later: a reader that has asked
// the disks before still finds them at the platform.
void RecordNode::drainPlatform(const Roster& roster)
{
    for (const std::string& id : std::exchange(this->drained, {}))
        this->platform.removeTurn(id);
    this->platform.removeExpiredBudgets(this->parts.clock.unixMillis());
    auto turns = this->platform.turns();
    if (!turns)
        return;
    for (const StoredTurn& turn : *turns) {
        std::vector<const RosterMember*> holders;
        for (const RosterMember* replica : replicasOf(roster, turn.group, this->settings.tolerance)) {
            StoreTurnRequest request { roster.epoch, turn };
            auto stored = replica->node == this->settings.node ? this->handle(request)
                                                               : this->ask(replica->address, request, storeTimeout);
            if (stored && stored->status == RecordStatus::Ok)
                holders.push_back(replica);
        }
        if (enoughCopies(holders, this->settings.tolerance))
            this->drained.push_back(turn.id);
    }
    if (!turns->empty())
        LogLine(LogLevel::Info, "platform_turns_drained")
            .field("found", turns->size())
            .field("onDisks", this->drained.size())
            .write();
}

void RecordNode::leaveBeforeStop(Duration longest)
{
    {
        std::lock_guard lock(this->mutex);
        // Few members stay in the roster while they restart: a majority of them goes on without this one.
        if (!this->holdings.isMember()
            || this->holdings.roster().members.size() <= mostReplicas(this->settings.tolerance))
            return;
    }
    this->retire();
    TimePoint end = this->parts.clock.now() + longest;
    while (!this->retired() && this->parts.clock.now() < end)
        std::this_thread::sleep_for(stopPoll);
    LogLine(LogLevel::Info, "left_before_stop").field("othersHoldAll", this->retired()).write();
}

// Reads the roster from the platform. NotFound: there is none yet.
StoreStatus RecordNode::refreshRoster()
{
    StoreResult stored = this->parts.store.get(rosterKey);
    if (stored.status == StoreStatus::NotFound)
        this->rosterVersion = 0;
    if (!stored.ok())
        return stored.status;
    this->rosterVersion = stored.object.version;
    return lovagecross::handle(
        [&]() -> Result<StoreStatus> {
            BOOST_LEAF_AUTO(roster, parseRoster(stored.object.value));
            this->adopt(roster, false);
            return StoreStatus::Ok;
        },
        [&](const Error& error) {
            LogLine(LogLevel::Error, "roster_unreadable")
                .field("field", error.field)
                .field("why", error.message)
                .write();
            return StoreStatus::Unavailable;
        });
}

// Puts this node into the roster: at once when the whole system starts with empty disks, else after it has fetched
// what it will have to hold.
void RecordNode::join()
{
    StoreStatus status = this->refreshRoster();
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound)
        return;
    Roster before = this->roster();
    RosterMember self { this->settings.node, this->disk, this->settings.address, this->settings.dataCentre };
    bool founding = status == StoreStatus::NotFound || (this->settings.firstStart && this->newDisk);
    std::vector<std::string> lost;
    if (!founding)
        lost = this->unreachableMembers(before);
    Roster next = withMember(before, self, lost);
    if (!founding) {
        FillFilter filter = makeFilter(self.node, next, {}, this->settings.tolerance);
        for (const RosterMember& member : before.members) {
            bool reachable = std::find(lost.begin(), lost.end(), member.node) == lost.end();
            if (member.node != self.node && reachable)
                this->fetchFrom(member, filter);
        }
    }
    if (!this->writeRoster(next, this->rosterVersion))
        return;
    LogLine(LogLevel::Info, "roster_joined")
        .field("epoch", next.epoch)
        .field("founding", founding)
        .field("silent", lost.size())
        .field("members", next.members.size())
        .write();
    this->newDisk = false;
    // Grants of the founding time may lie at the platform.
    this->adopt(next, founding && !platformVotes(before, this->settings.tolerance));
    std::lock_guard lock(this->wakeMutex);
    this->hurry = true;
}

bool RecordNode::writeRoster(const Roster& next, std::uint64_t version)
{
    StoreResult written = version == 0 ? this->parts.store.create(rosterKey, printRoster(next))
                                       : this->parts.store.update(rosterKey, printRoster(next), version);
    if (written.status == StoreStatus::Unknown) {
        // The write may have taken effect; the next refresh shows it.
        LogLine(LogLevel::Warning, "roster_write_unknown").field("epoch", next.epoch).write();
    }
    return written.ok();
}

std::vector<std::string> RecordNode::unreachableMembers(const Roster& roster)
{
    std::vector<std::string> addresses;
    for (const RosterMember& member : roster.members)
        addresses.push_back(member.address);
    auto results = this->parts.peers.requestAll(addresses, RecordCall { encodeRecordRequest(InspectRequest {}) },
        inspectTimeout, [](const auto&) { return false; });
    std::vector<std::string> lost;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].status != PeerStatus::Ok && roster.members[i].node != this->settings.node)
            lost.push_back(roster.members[i].node);
    }
    return lost;
}

// Fetches what the members of the previous and of the present roster hold. Each of them takes on the present roster
// first, so that nothing is accepted for an older one after it was fetched.
void RecordNode::fill()
{
    Roster roster;
    FillPlan plan;
    {
        std::lock_guard lock(this->mutex);
        roster = this->holdings.roster();
        plan = this->holdings.plan();
    }
    TimePoint now = this->parts.clock.now();
    if (this->fillEpoch == roster.epoch && now < this->nextFill)
        return;
    this->fillEpoch = roster.epoch;
    this->nextFill = now + fillRetryInterval;
    std::size_t fetched = 0;
    bool allMembersFetched = true;
    for (const RosterMember& source : plan.sources) {
        auto adopted = this->ask(source.address, AdoptRequest { roster }, inspectTimeout);
        bool ready = adopted && adopted->status == RecordStatus::Ok;
        auto sourceFilledEpoch = ready ? this->fetchFrom(source, plan.filter) : std::nullopt;
        if (!sourceFilledEpoch) {
            allMembersFetched = allMembersFetched && roster.find(source.node) == nullptr;
            continue;
        }
        ++fetched;
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        this->holdings.fetched(source.node, *sourceFilledEpoch);
    }
    if (plan.fromPlatform && this->fetchFromPlatform()) {
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        this->holdings.fetchedFromPlatform();
    }
    this->finishFill(roster, plan, fetched, allMembersFetched);
}

void RecordNode::finishFill(const Roster& roster, const FillPlan& plan, std::size_t fetched, bool allMembersFetched)
{
    bool enough = false;
    {
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        enough = this->holdings.filledEpoch() >= roster.epoch;
        if (this->restIsLost(enough, allMembersFetched))
            this->holdings.giveUpOnTheRest();
    }
    LogLine(enough ? LogLevel::Info : LogLevel::Warning, "records_fetched")
        .field("epoch", roster.epoch)
        .field("sources", fetched)
        .field("asked", plan.sources.size())
        .field("enough", enough)
        .write();
}

// Whether the sources that are missing are gone for good: more disks were lost at once than the deployment tolerates.
// Serving on with what is left is then better than never again.
bool RecordNode::restIsLost(bool enough, bool allMembersFetched)
{
    TimePoint now = this->parts.clock.now();
    if (enough || !allMembersFetched) {
        this->shortOfSourcesSince.reset();
        return false;
    }
    if (!this->shortOfSourcesSince)
        this->shortOfSourcesSince = now;
    if (now - *this->shortOfSourcesSince < lostSourcesAfter)
        return false;
    LogLine(LogLevel::Error, "records_may_be_lost").field("epoch", this->holdings.roster().epoch).write();
    this->shortOfSourcesSince.reset();
    return true;
}

// Fetches what the filter wants, from where the last fetch with the same filter ended. Returns the epoch up to which
// the source had itself fetched all; nullopt when it didn't give everything.
std::optional<std::uint64_t> RecordNode::fetchFrom(const RosterMember& source, const FillFilter& filter)
{
    Cursor& cursor = this->cursors[source.address];
    if (!(cursor.filter == filter))
        cursor = { filter, 0, 0 };
    for (;;) {
        auto page = this->ask(source.address, FillRequest { cursor.position, filter }, fillTimeout);
        if (!page || page->status != RecordStatus::Ok)
            return std::nullopt;
        if (page->session != cursor.session) {
            bool restart = cursor.position != 0;
            cursor.session = page->session;
            cursor.position = 0;
            if (restart)
                continue;
        }
        this->takeFetched(*page, filter);
        cursor.position = page->next;
        if (page->last)
            return page->filledEpoch;
        std::lock_guard lock(this->wakeMutex);
        if (this->stopping)
            return std::nullopt;
    }
}

// Reservations that were granted with the platform's vote.
bool RecordNode::fetchFromPlatform()
{
    auto reservations = this->platform.reservations();
    if (!reservations)
        return false;
    RecordResponse page;
    page.reservations = std::move(*reservations);
    this->takeFetched(page, makeFilter(this->settings.node, this->roster(), {}, this->settings.tolerance));
    return true;
}

void RecordNode::takeFetched(const RecordResponse& page, const FillFilter& filter)
{
    std::vector<std::string> added;
    GroupSelector selector(filter, this->settings.tolerance);
    {
        std::lock_guard lock(this->mutex);
        for (const StoredTurn& turn : page.turns) {
            if (selector.wants(turn.group) && this->table.add(turn))
                added.push_back(encodeLoggedEntry(turn));
        }
        for (const Reservation& reservation : page.reservations) {
            if (selector.wants(reservation.program) && this->table.add(reservation))
                added.push_back(encodeLoggedEntry(reservation));
        }
    }
    if (added.empty())
        return;
    for (std::size_t i = 0; i + 1 < added.size(); ++i)
        this->log.appendLater(added[i]);
    if (!this->log.appendDurably(added.back()))
        LogLine(LogLevel::Error, "records_fetched").field("problem", "the disk took nothing").write();
}

// Leaves the roster; the other members then fetch what this node holds.
void RecordNode::leave()
{
    Roster roster = this->roster();
    if (roster.find(this->settings.node) != nullptr) {
        Roster next = withoutMember(roster, this->settings.node);
        if (next.members.size() < this->settings.tolerance.machines + 1
            || !this->writeRoster(next, this->rosterVersion)) {
            this->refreshRoster();
            return;
        }
        this->adopt(next, false);
        roster = next;
    }
    std::size_t filled = 0;
    for (const RosterMember& member : roster.members) {
        this->ask(member.address, AdoptRequest { roster }, inspectTimeout);
        auto state = this->ask(member.address, InspectRequest {}, inspectTimeout);
        if (state && state->filledEpoch >= roster.epoch)
            ++filled;
    }
    std::size_t needed = std::min<std::size_t>(roster.members.size(), this->settings.tolerance.machines + 1);
    LogLine(LogLevel::Info, "retiring")
        .field("epoch", roster.epoch)
        .field("members", roster.members.size())
        .field("filled", filled)
        .field("needed", needed)
        .write();
    if (filled < needed)
        return;
    std::lock_guard lock(this->mutex);
    this->isRetired = true;
}

void RecordNode::expire()
{
    {
        std::lock_guard lock(this->mutex);
        this->table.expire(this->parts.clock.unixMillis());
    }
    this->log.compactIfLarge([this] { return this->liveEntries(); });
}

std::vector<std::string> RecordNode::liveEntries() const
{
    std::vector<std::string> entries;
    std::lock_guard lock(this->mutex);
    if (this->holdings.roster().epoch > 0)
        entries.push_back(encodeLoggedEntry(this->holdings.roster()));
    std::uint64_t position = 0;
    bool last = false;
    auto all = [](std::string_view) { return true; };
    while (!last) {
        for (StoredRecord& record : this->table.recordsAfter(position, detail::fillPageBytes, all, position, last)) {
            if (auto* turn = std::get_if<StoredTurn>(&record))
                entries.push_back(encodeLoggedEntry(*turn));
            else
                entries.push_back(encodeLoggedEntry(std::get<Reservation>(record)));
        }
    }
    return entries;
}

std::optional<RecordResponse> RecordNode::ask(
    const std::string& address, const RecordRequest& request, Duration timeout)
{
    return recordResponseOf(
        this->parts.peers.request(address, RecordCall { encodeRecordRequest(request) }, timeout, {}));
}

} // namespace lovagecross
