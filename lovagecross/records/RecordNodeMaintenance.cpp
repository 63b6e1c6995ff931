// Background maintenance of a record node: roster changes, fetching of missing records, and records at the platform.

#include "lovagecross/adapters/GuardedStep.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/records/RecordNode.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration maintainInterval = milliseconds(200);
constexpr Duration maxJoinDelay = milliseconds(500);
// The node that changes the roster announces it. The interval is for members that missed the announcement and get no
// requests for the new epoch; a short one would make the platform's calls grow with the number of members.
constexpr Duration refreshInterval = std::chrono::seconds(20);
constexpr Duration newerEpochRefreshInterval = milliseconds(500);
constexpr Duration expiryInterval = std::chrono::seconds(5);
constexpr Duration memberCheckInterval = std::chrono::seconds(2);
// Also the time for which a reader still finds a turn at the platform after it was copied to the disks.
constexpr Duration platformDrainInterval = std::chrono::seconds(20);
constexpr Duration inspectTimeout = milliseconds(500);
constexpr Duration fillTimeout = milliseconds(1500);
constexpr Duration fillRetryInterval = std::chrono::seconds(1);
constexpr Duration storeTimeout = milliseconds(500);
constexpr Duration lostSourcesTimeout = std::chrono::seconds(3); // in addition to the removal timeout
constexpr Duration unfilledSourcesTimeout = std::chrono::seconds(30);
constexpr Duration silentMemberTimeout = std::chrono::seconds(3); // longer than a restart takes
constexpr Duration stopPollInterval = milliseconds(20);

} // namespace

void RecordNode::run()
{
    std::unique_lock lock(this->wakeMutex);
    while (!this->stopping) {
        this->wakeRequested = false;
        lock.unlock();
        runGuarded("records", [this] { this->maintain(); });
        lock.lock();
        MaintenanceState state = this->maintenanceState();
        bool waitsToJoin = !state.member && !state.leaving && !this->retired();
        Duration untilJoin
            = std::clamp<Duration>(this->nextJoin - this->parts.clock.now(), milliseconds(1), maintainInterval);
        this->wake.wait_for(
            lock, waitsToJoin ? untilJoin : maintainInterval, [this] { return this->stopping || this->wakeRequested; });
    }
}

void RecordNode::maintain()
{
    TimePoint now = this->parts.clock.now();
    if (this->refreshIsDue(now)) {
        this->nextRefresh = now + refreshInterval;
        this->nextNewerEpochRefresh = now + newerEpochRefreshInterval;
        this->newerEpochSeen = false;
        this->refreshRoster();
    }
    auto [member, leaving, filled] = this->maintenanceState();
    if (leaving)
        this->leave();
    else if (!member && !this->retired() && now >= this->nextJoin)
        this->join();
    else if (member && !filled)
        this->fill();
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->expire();
    }
    if (member && !leaving)
        this->runSharedTasks(now, filled);
}

bool RecordNode::refreshIsDue(TimePoint now) const
{
    return now >= this->nextRefresh || (this->newerEpochSeen && now >= this->nextNewerEpochRefresh);
}

RecordNode::MaintenanceState RecordNode::maintenanceState() const
{
    std::lock_guard lock(this->mutex);
    return { this->holdings.isMember(), this->retireRequested && !this->isRetired,
        this->holdings.filledEpoch() >= this->holdings.roster().epoch };
}

// Runs tasks that a few members, the first ones by name, perform for all. The first `machines + 1` members check for
// failed members, so that the loss of some of them does not stop the checks. The first member drains the platform.
void RecordNode::runSharedTasks(TimePoint now, bool filled)
{
    Roster roster = this->roster();
    std::size_t rank = 0;
    while (rank < roster.members.size() && roster.members[rank].node != this->settings.node)
        ++rank;
    if (rank <= this->settings.tolerance.machines && now >= this->nextMemberCheck) {
        this->nextMemberCheck = now + memberCheckInterval;
        this->removeFailedMember(roster);
    }
    if (rank == 0 && filled && now >= this->nextPlatformDrain) {
        this->nextPlatformDrain = now + platformDrainInterval;
        this->drainPlatform(roster);
    }
}

void RecordNode::removeFailedMember(const Roster& roster)
{
    std::vector<std::string> silent = this->unreachableMembers(roster);
    TimePoint now = this->parts.clock.now();
    this->memberWatch.recordCheck(roster, silent, now);
    auto failed = this->memberWatch.memberToRemove(roster, this->settings.tolerance, now);
    if (!failed)
        return;
    if (this->refreshRoster() != StoreStatus::Ok || this->roster().epoch != roster.epoch)
        return;
    Roster next = withoutMember(roster, *failed);
    bool written = this->writeRoster(next, this->rosterVersion);
    LogLine(LogLevel::Warning, "roster_member_gone")
        .field("member", *failed)
        .field("epoch", next.epoch)
        .field("silentMs", toMillis(this->settings.memberRemovalTimeout))
        .field("written", written)
        .write();
    if (!written)
        return;
    this->adopt(next, false);
    this->announce(next);
}

// Tells all other members of a roster that this node has just written.
void RecordNode::announce(const Roster& roster)
{
    RecordCall call { encodeRecordRequest(AdoptRequest { roster }) };
    for (const RosterMember& member : roster.members) {
        if (member.node != this->settings.node)
            this->parts.peers.notify(member.address, call);
    }
}

// Copies turns from the platform to the disks of their replicas and removes them from the platform one round later. A
// reader that queried the replicas before the copy can thus still find the turn at the platform.
void RecordNode::drainPlatform(const Roster& roster)
{
    for (const std::string& id : std::exchange(this->drainedTurnIds, {}))
        this->platform.removeTurn(id);
    this->platform.removeExpiredBudgets(this->parts.clock.unixMillis(), [this](const std::string& program) {
        std::lock_guard lock(this->mutex);
        return this->table.hasProgram(program);
    });
    std::size_t found = 0;
    this->platform.visitTurns([&](StoredTurn turn) {
        ++found;
        this->copyToDisks(roster, std::move(turn));
    });
    if (found > 0)
        LogLine(LogLevel::Info, "platform_turns_drained")
            .field("found", found)
            .field("onDisks", this->drainedTurnIds.size())
            .write();
}

// Stores a turn on the disks of its replicas, and notes it once enough of them have it.
void RecordNode::copyToDisks(const Roster& roster, StoredTurn turn)
{
    std::vector<const RosterMember*> holders;
    std::vector<const RosterMember*> replicas = replicasOf(roster, turn.group, this->settings.tolerance);
    const StoreTurnRequest request { roster.epoch, std::move(turn) };
    for (const RosterMember* replica : replicas) {
        auto stored = replica->node == this->settings.node ? this->handle(request)
                                                           : this->sendRequest(replica->address, request, storeTimeout);
        if (stored && stored->status == RecordStatus::Ok)
            holders.push_back(replica);
    }
    if (enoughCopies(holders, this->settings.tolerance))
        this->drainedTurnIds.push_back(request.turn.id);
}

void RecordNode::leaveBeforeShutdown(Duration maxWait)
{
    {
        std::lock_guard lock(this->mutex);
        // With few members, a restarting member stays in the roster; the majority continues without it.
        if (!this->holdings.isMember()
            || this->holdings.roster().members.size() <= replicationFactor(this->settings.tolerance))
            return;
    }
    this->retire();
    TimePoint end = this->parts.clock.now() + maxWait;
    while (!this->retired() && this->parts.clock.now() < end)
        std::this_thread::sleep_for(stopPollInterval);
    LogLine(LogLevel::Info, "left_before_stop").field("othersHoldAll", this->retired()).write();
}

// Reads the roster from the platform and adopts it. Returns NotFound if there is none yet.
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

// Adds this node to the roster: immediately when the whole system starts with empty disks, otherwise after fetching the
// records that it will have to hold.
void RecordNode::join()
{
    this->nextJoin = this->parts.clock.now() + this->randomJoinDelay();
    StoreStatus status = this->refreshRoster();
    if ((status != StoreStatus::Ok && status != StoreStatus::NotFound) || this->maintenanceState().member)
        return;
    Roster before = this->roster();
    RosterMember self { this->settings.node, this->disk, this->settings.address, this->settings.dataCentre };
    bool founding = status == StoreStatus::NotFound || (this->settings.firstStart && this->newDisk);
    std::vector<std::string> unreachable;
    if (!founding)
        unreachable = this->unreachableMembers(before);
    Roster next = withMember(before, self, unreachable);
    if (!founding) {
        FillFilter filter = makeFilter(self.node, next, {}, this->settings.tolerance);
        for (const RosterMember& member : before.members) {
            bool reachable = std::find(unreachable.begin(), unreachable.end(), member.node) == unreachable.end();
            if (member.node != self.node && reachable)
                this->fetchFrom(member, filter);
        }
    }
    if (!this->writeRoster(next, this->rosterVersion))
        return;
    LogLine(LogLevel::Info, "roster_joined")
        .field("epoch", next.epoch)
        .field("founding", founding)
        .field("silent", unreachable.size())
        .field("members", next.members.size())
        .write();
    this->newDisk = false;
    this->adopt(next, status == StoreStatus::NotFound);
    this->announce(next);
    std::lock_guard lock(this->wakeMutex);
    this->wakeRequested = true;
}

// Returns a random delay before an attempt to join. When a whole fleet starts at once, or an attempt has lost against
// another node's, simultaneous attempts would let only one node succeed at a time.
Duration RecordNode::randomJoinDelay()
{
    std::uniform_int_distribution<std::int64_t> millis(0, toMillis(maxJoinDelay));
    return milliseconds(millis(this->random));
}

bool RecordNode::writeRoster(const Roster& next, std::uint64_t version)
{
    StoreResult written = version == 0 ? this->parts.store.create(rosterKey, printRoster(next))
                                       : this->parts.store.update(rosterKey, printRoster(next), version);
    if (written.status == StoreStatus::Unknown) {
        // The write may have taken effect; the next refresh reads the result.
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
        Fanout { inspectTimeout }, [](const auto&) { return false; });
    std::vector<std::string> unreachable;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].status != PeerStatus::Ok && roster.members[i].node != this->settings.node)
            unreachable.push_back(roster.members[i].node);
    }
    return unreachable;
}

// Fetches missing records from the sources of the plan. Each source adopts the current roster first, so that it accepts
// no write for an older epoch after the fetch.
void RecordNode::fill()
{
    Roster roster;
    FillPlan plan;
    bool enough = false;
    {
        std::lock_guard lock(this->mutex);
        roster = this->holdings.roster();
        plan = this->holdings.plan();
        enough = this->holdings.enoughFetched();
    }
    TimePoint now = this->parts.clock.now();
    if (this->fillEpoch == roster.epoch && now < this->nextFill)
        return;
    this->fillEpoch = roster.epoch;
    this->nextFill = now + fillRetryInterval;
    std::size_t fetched = 0;
    bool allMembersFetched = true;
    for (const RosterMember& source : plan.sources) {
        if (enough)
            break;
        auto adopted = this->sendRequest(source.address, AdoptRequest { roster }, inspectTimeout);
        bool ready = adopted && adopted->status == RecordStatus::Ok;
        auto filledEpochs = ready ? this->fetchFrom(source, plan.filter) : std::nullopt;
        if (!filledEpochs) {
            allMembersFetched = allMembersFetched && !roster.hasDisk(source.node, source.disk);
            continue;
        }
        ++fetched;
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        this->holdings.markFetched(source, *filledEpochs);
        enough = this->holdings.enoughFetched();
    }
    if (!enough && plan.fromPlatform && this->fetchFromPlatform()) {
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        this->holdings.markPlatformFetched();
    }
    this->finishFill(roster, plan, fetched, allMembersFetched);
}

void RecordNode::finishFill(const Roster& roster, const FillPlan& plan, std::size_t fetched, bool allMembersFetched)
{
    bool enough = false;
    bool sourcesLost = false;
    {
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return;
        enough = this->holdings.enoughFetched();
        if (!enough && this->holdings.extendPlan())
            this->nextFill = this->parts.clock.now();
        else
            sourcesLost = this->remainingSourcesLost(enough, allMembersFetched);
    }
    bool complete = (enough || sourcesLost) && this->logFetched() && this->completeFill(roster);
    LogLine(complete ? LogLevel::Info : LogLevel::Warning, "records_fetched")
        .field("epoch", roster.epoch)
        .field("sources", fetched)
        .field("asked", plan.sources.size())
        .field("enough", enough)
        .field("complete", complete)
        .write();
}

// Returns whether the missing sources are permanently lost, that is, more disks failed at once than the deployment
// tolerates. Continuing with the remaining records is then better than never serving again. Sources that are still
// fetching records themselves are waited for longer than lost ones.
bool RecordNode::remainingSourcesLost(bool enough, bool allMembersFetched)
{
    TimePoint now = this->parts.clock.now();
    if (enough || !allMembersFetched) {
        this->sourcesMissingSince.reset();
        return false;
    }
    if (!this->sourcesMissingSince)
        this->sourcesMissingSince = now;
    Duration timeout = this->holdings.enoughOnceSourcesAreFilled() ? unfilledSourcesTimeout : lostSourcesTimeout;
    if (now - *this->sourcesMissingSince < timeout)
        return false;
    LogLine(LogLevel::Error, "records_may_be_lost").field("epoch", this->holdings.roster().epoch).write();
    this->sourcesMissingSince.reset();
    return true;
}

// Fetches the records that the filter selects, continuing after the last fetch with the same filter. Returns the epochs
// for which the source had itself fetched everything, or nullopt if the fetch is incomplete or not on the own disk.
std::optional<std::vector<std::uint64_t>> RecordNode::fetchFrom(const RosterMember& source, const FillFilter& filter)
{
    Cursor& cursor = this->cursors[source.address];
    if (!(cursor.filter == filter))
        cursor = { filter, 0, 0 };
    for (;;) {
        auto page = this->sendRequest(source.address, FillRequest { cursor.position, filter }, fillTimeout);
        if (!page || page->status != RecordStatus::Ok || page->disk != source.disk)
            return std::nullopt;
        if (page->session != cursor.session) {
            bool restart = cursor.position != 0;
            cursor.session = page->session;
            cursor.position = 0;
            if (restart)
                continue;
        }
        std::uint64_t next = page->next;
        bool last = page->last;
        std::vector<std::uint64_t> filledEpochs = page->filledEpochs;
        if (!this->mergeFetched(std::move(*page), filter))
            return std::nullopt;
        cursor.position = next;
        if (last)
            return filledEpochs;
        std::lock_guard lock(this->wakeMutex);
        if (this->stopping)
            return std::nullopt;
    }
}

// Fetches the reservations that were granted with the platform's vote.
bool RecordNode::fetchFromPlatform()
{
    auto reservations = this->platform.reservations();
    if (!reservations)
        return false;
    RecordResponse page;
    page.reservations = std::move(*reservations);
    return this->mergeFetched(
        std::move(page), makeFilter(this->settings.node, this->roster(), {}, this->settings.tolerance));
}

// Adds fetched records to the table and the log. Returns false if they are not on the disk.
bool RecordNode::mergeFetched(RecordResponse page, const FillFilter& filter)
{
    GroupSelector selector(filter, this->settings.tolerance);
    {
        std::lock_guard lock(this->mutex);
        for (StoredTurn& turn : page.turns) {
            if (selector.wants(turn.group))
                this->addFetched(std::move(turn));
        }
        for (const Reservation& reservation : page.reservations) {
            if (selector.wants(reservation.program))
                this->addFetched(reservation);
        }
    }
    return this->logFetched();
}

// `mutex` must be held.
void RecordNode::addFetched(StoredTurn turn)
{
    if (this->table.turnEntry(turn.id))
        return;
    TurnHead head = headOf(turn);
    auto encoded = std::make_shared<const std::string>(encodeLoggedEntry(std::move(turn)));
    this->table.addTurn(head, { {}, encoded });
    this->unloggedEntries.push_back({ std::move(encoded), this->turnStored(std::move(head)) });
}

// `mutex` must be held.
void RecordNode::addFetched(const Reservation& reservation)
{
    if (!this->table.add(reservation))
        return;
    const Reservation* merged = this->table.reservation(reservation.program, reservation.requestId);
    this->unloggedEntries.push_back({ std::make_shared<const std::string>(encodeLoggedEntry(*merged)),
        this->reservationStored(reservation.program, reservation.requestId) });
}

// Writes fetched records to the log that it lacks. A record that the table has is not added to it, and so not logged,
// by another fetch.
bool RecordNode::logFetched()
{
    if (this->unloggedEntries.empty())
        return true;
    if (!this->log.appendAllDurably(this->unloggedEntries)) {
        LogLine(LogLevel::Error, "records_fetched").field("problem", "write to disk failed").write();
        return false;
    }
    this->unloggedEntries.clear();
    return true;
}

// Removes this node from the roster and retires once the other members have fetched its records.
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
        this->announce(next);
        roster = next;
    }
    if (!this->handedOver(roster))
        return;
    std::lock_guard lock(this->mutex);
    this->isRetired = true;
}

// Returns whether every member has completed the fill of the roster, so that none needs this node as a source any more.
// Members that have been silent for a while are not waited for, as long as each record still has enough copies without
// them to survive the loss of another disk.
bool RecordNode::handedOver(const Roster& roster)
{
    TimePoint now = this->parts.clock.now();
    std::size_t filled = 0;
    std::size_t lost = 0;
    for (const RosterMember& member : roster.members) {
        auto adopted = this->sendRequest(member.address, AdoptRequest { roster }, inspectTimeout);
        if (adopted && adopted->roster && adopted->roster->epoch > roster.epoch) {
            this->adopt(*adopted->roster, false); // the next call asks its members
            return false;
        }
        auto state = this->sendRequest(member.address, InspectRequest {}, inspectTimeout);
        if (state) {
            this->silentSince.erase(member.node);
            filled += state->filledEpoch >= roster.epoch ? 1 : 0;
            continue;
        }
        TimePoint since = this->silentSince.emplace(member.node, now).first->second;
        lost += now - since >= silentMemberTimeout ? 1 : 0;
    }
    std::size_t copies = std::min(roster.members.size(), replicationFactor(this->settings.tolerance));
    std::size_t neededCopies = std::min<std::size_t>(copies, this->settings.tolerance.machines + 1);
    std::size_t tolerated = std::min(lost, copies - neededCopies);
    std::size_t needed = std::max<std::size_t>(roster.members.size() - tolerated, 1);
    LogLine(LogLevel::Info, "retiring")
        .field("epoch", roster.epoch)
        .field("members", roster.members.size())
        .field("filled", filled)
        .field("silent", lost)
        .field("needed", needed)
        .write();
    return filled >= needed;
}

void RecordNode::expire()
{
    {
        std::lock_guard lock(this->mutex);
        this->promises.removeExpired(this->parts.clock.now());
    }
    this->removeExpired();
    this->compactLog();
}

void RecordNode::compactLog()
{
    std::lock_guard progressLock(this->progressMutex);
    this->log.compactIfLarge(
        [this](std::string_view bytes, const LogLocation& at) { return this->replacementOf(bytes, at); });
}

// Returns the present state of the record of an entry, if no other entry has it. `progressMutex` must be held.
std::optional<RecordLog::NewEntry> RecordNode::replacementOf(std::string_view bytes, const LogLocation& at)
{
    auto entry = decodeLoggedEntry(bytes);
    if (!entry)
        return std::nullopt;
    std::lock_guard lock(this->mutex);
    if (std::holds_alternative<ReplicaProgress>(*entry)) {
        if (!(at == this->progressAt))
            return std::nullopt;
        return RecordLog::NewEntry { std::make_shared<const std::string>(encodeLoggedEntry(this->holdings.progress())),
            this->progressStored() };
    }
    if (const auto* turn = std::get_if<StoredTurn>(&*entry)) {
        auto held = this->table.turnEntry(turn->id);
        if (!held || !(held->at == at))
            return std::nullopt;
        return RecordLog::NewEntry { std::make_shared<const std::string>(bytes), this->turnMoved(turn->id) };
    }
    const auto& logged = std::get<Reservation>(*entry);
    auto held = this->table.reservationLocation(logged.program, logged.requestId);
    if (!held || !(*held == at))
        return std::nullopt;
    const Reservation* merged = this->table.reservation(logged.program, logged.requestId);
    return RecordLog::NewEntry { std::make_shared<const std::string>(encodeLoggedEntry(*merged)),
        this->reservationStored(logged.program, logged.requestId) };
}

std::optional<RecordResponse> RecordNode::sendRequest(
    const std::string& address, const RecordRequest& request, Duration timeout)
{
    return recordResponseOf(
        this->parts.peers.request(address, RecordCall { encodeRecordRequest(request) }, timeout, {}));
}

} // namespace lovagecross
