#include "lovagecross/records/RecordNode.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration maintainInterval = milliseconds(200);
constexpr Duration refreshInterval = std::chrono::seconds(4); // changes also come from the members that make them
constexpr Duration expiryInterval = std::chrono::seconds(5);
constexpr Duration inspectTimeout = milliseconds(500);
constexpr Duration fillTimeout = milliseconds(1500);
constexpr std::size_t fillPageBytes = 256 * 1024;
constexpr std::size_t logShareOfDisk = 3; // the log is rewritten above a third of the disk

std::uint64_t randomSession()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

} // namespace

RecordNode::RecordNode(RecordNodeSettings nodeSettings, RecordNodeParts nodeParts)
    : settings(std::move(nodeSettings))
    , parts(nodeParts)
    , log(this->settings.dataFolder + "/records", this->settings.diskBytes / logShareOfDisk)
    , session(randomSession())
    , votes(nodeParts.counters.counter("records.votes"))
    , turnsStored(nodeParts.counters.counter("records.turnsStored"))
    , chainsRead(nodeParts.counters.counter("records.chainsRead"))
{
}

RecordNode::~RecordNode()
{
    this->stop();
}

std::string RecordNode::load()
{
    LogRecovery recovery = this->log.open();
    if (!recovery.opened)
        return recovery.error;
    this->disk = recovery.disk;
    this->newDisk = recovery.wasEmpty;
    std::int64_t now = this->parts.clock.unixMillis();
    std::size_t count = 0;
    {
        std::lock_guard lock(this->mutex);
        for (const std::string& bytes : recovery.entries) {
            auto entry = decodeLoggedEntry(bytes);
            if (!entry)
                continue;
            ++count;
            if (auto* roster = std::get_if<Roster>(&*entry))
                this->current = std::move(*roster);
            else if (auto* turn = std::get_if<StoredTurn>(&*entry))
                this->table.add(std::move(*turn));
            else
                this->table.add(std::get<Reservation>(std::move(*entry)));
        }
        this->table.expire(now);
        const RosterMember* self = this->current.find(this->settings.node);
        this->complete = self != nullptr && self->disk == this->disk;
        this->wasMember = this->complete;
        this->filledEpoch = this->complete ? this->current.epoch : 0;
    }
    LogLine(LogLevel::Info, "records_loaded")
        .field("entries", count)
        .field("droppedBytes", recovery.droppedBytes)
        .field("newDisk", recovery.wasEmpty)
        .field("epoch", this->roster().epoch)
        .field("ready", this->ready())
        .write();
    return {};
}

void RecordNode::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void RecordNode::stop()
{
    {
        std::lock_guard lock(this->wakeMutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
    this->log.stop();
}

// --- Messages

RecordResponse RecordNode::handle(const RecordRequest& request)
{
    struct Handler {
        RecordNode& node;

        RecordResponse operator()(const StoreTurnRequest& body) const { return this->node.handleStoreTurn(body); }
        RecordResponse operator()(const ReadChainRequest& body) const { return this->node.handleReadChain(body); }
        RecordResponse operator()(const ReserveRequest& body) const { return this->node.handleReserve(body); }
        RecordResponse operator()(const SettleRequest& body) const { return this->node.handleSettle(body); }
        RecordResponse operator()(const AdoptRequest& body) const { return this->node.handleAdopt(body); }
        RecordResponse operator()(const FillRequest& body) const { return this->node.handleFill(body); }
        RecordResponse operator()(const InspectRequest&) const { return this->node.handleInspect(); }
    };
    return std::visit(Handler { *this }, request);
}

// Under the lock. A newer epoch than the own one means that this node has missed a change.
bool RecordNode::acceptsEpoch(std::uint64_t epoch, RecordResponse& response) const
{
    if (epoch == this->current.epoch && this->isMember())
        return true;
    response.status = epoch < this->current.epoch ? RecordStatus::OldEpoch : RecordStatus::NotReady;
    response.roster = this->current;
    return false;
}

RecordResponse RecordNode::handleStoreTurn(const StoreTurnRequest& request)
{
    RecordResponse response;
    {
        std::lock_guard lock(this->mutex);
        if (!this->acceptsEpoch(request.epoch, response))
            return response;
        this->table.add(request.turn);
    }
    bool stored = this->log.appendDurably(encodeLoggedEntry(request.turn));
    std::lock_guard lock(this->mutex);
    // A roster that came meanwhile may have ended this node's membership: its copy may not count.
    if (!this->acceptsEpoch(request.epoch, response))
        return response;
    response.status = stored ? RecordStatus::Ok : RecordStatus::NotStored;
    this->turnsStored.add(stored ? 1 : 0);
    return response;
}

RecordResponse RecordNode::handleReadChain(const ReadChainRequest& request) const
{
    RecordResponse response;
    std::lock_guard lock(this->mutex);
    this->chainsRead.add();
    response.turns = this->table.chain(request.id, response.reachedStart);
    response.status = response.turns.empty() ? RecordStatus::Absent : RecordStatus::Ok;
    response.complete = this->complete && this->isMember();
    response.roster = this->current;
    return response;
}

RecordResponse RecordNode::handleReserve(const ReserveRequest& request)
{
    RecordResponse response;
    const Reservation& reservation = request.reservation;
    {
        std::lock_guard lock(this->mutex);
        if (!this->acceptsEpoch(request.epoch, response))
            return response;
        if (!this->complete)
            return response; // NotReady
        const ProgramReservations& others = this->table.reservationsOf(reservation.program);
        for (const auto& [requestId, other] : others) {
            if (requestId != reservation.requestId)
                response.reservations.push_back(other);
        }
        if (usedTokens(others, reservation.requestId) + reservation.tokens > request.budget) {
            response.status = RecordStatus::Exhausted;
            return response;
        }
        this->table.add(reservation);
    }
    bool stored = this->log.appendDurably(encodeLoggedEntry(reservation));
    std::lock_guard lock(this->mutex);
    if (!this->acceptsEpoch(request.epoch, response))
        return response;
    response.status = stored ? RecordStatus::Ok : RecordStatus::NotStored;
    this->votes.add();
    return response;
}

RecordResponse RecordNode::handleSettle(const SettleRequest& request)
{
    bool changed = false;
    {
        std::lock_guard lock(this->mutex);
        changed = this->table.add(request.reservation);
    }
    if (changed)
        this->log.appendLater(encodeLoggedEntry(request.reservation));
    RecordResponse response;
    response.status = RecordStatus::Ok;
    return response;
}

RecordResponse RecordNode::handleAdopt(const AdoptRequest& request)
{
    RecordResponse response;
    bool adopted = this->adopt(request.roster, false);
    std::lock_guard lock(this->mutex);
    response.roster = this->current;
    response.status
        = adopted || this->current.epoch >= request.roster.epoch ? RecordStatus::Ok : RecordStatus::NotStored;
    return response;
}

RecordResponse RecordNode::handleFill(const FillRequest& request) const
{
    RecordResponse response;
    std::lock_guard lock(this->mutex);
    for (StoredRecord& record : this->table.recordsAfter(request.after, fillPageBytes, response.next, response.last)) {
        if (auto* turn = std::get_if<StoredTurn>(&record))
            response.turns.push_back(std::move(*turn));
        else
            response.reservations.push_back(std::get<Reservation>(std::move(record)));
    }
    response.status = RecordStatus::Ok;
    response.session = this->session;
    return response;
}

RecordResponse RecordNode::handleInspect() const
{
    RecordResponse response;
    std::lock_guard lock(this->mutex);
    response.status = RecordStatus::Ok;
    response.complete = this->complete && this->isMember();
    response.filledEpoch = this->filledEpoch;
    if (this->current.epoch > 0)
        response.roster = this->current;
    return response;
}

// --- State

bool RecordNode::isMember() const
{
    const RosterMember* self = this->current.find(this->settings.node);
    return self != nullptr && self->disk == this->disk;
}

bool RecordNode::ready() const
{
    std::lock_guard lock(this->mutex);
    return this->complete && this->isMember();
}

Roster RecordNode::roster() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

void RecordNode::retire()
{
    {
        std::lock_guard lock(this->mutex);
        this->retireRequested = true;
    }
    std::lock_guard lock(this->wakeMutex);
    this->hurry = true;
    this->wake.notify_all();
}

bool RecordNode::retired() const
{
    std::lock_guard lock(this->mutex);
    return this->isRetired;
}

// Takes on a newer roster. `joinedNow`: this node has just put itself into it with nothing to fetch.
bool RecordNode::adopt(const Roster& next, bool joinedNow)
{
    // Durable first: after a restart, nothing may be accepted for an older epoch.
    if (next.epoch <= this->roster().epoch)
        return false;
    if (!this->log.appendDurably(encodeLoggedEntry(next)))
        return false;
    bool member = false;
    bool nowComplete = false;
    {
        std::lock_guard lock(this->mutex);
        if (next.epoch <= this->current.epoch)
            return false;
        bool gains = !joinedNow && mayGainGroups(this->current, next, this->settings.node, this->settings.tolerance);
        std::size_t replicas
            = std::min<std::size_t>(this->current.members.size(), 2 * this->settings.tolerance.machines + 1);
        std::size_t mayMiss = replicas > 0 ? majorityOf(replicas) - 1 : 0;
        if (gains)
            this->complete = false;
        if (joinedNow)
            this->complete = true;
        this->sources.clear();
        for (const Roster* roster : { static_cast<const Roster*>(&this->current), &next }) {
            for (const RosterMember& source : roster->members) {
                bool known = std::any_of(this->sources.begin(), this->sources.end(),
                    [&](const auto& other) { return other.address == source.address; });
                if (!known && source.node != this->settings.node)
                    this->sources.push_back(source);
            }
        }
        std::size_t before = this->current.members.size();
        this->sourcesNeeded = before > mayMiss ? before - mayMiss : 0;
        if (this->current.find(this->settings.node) != nullptr && this->wasMember && this->sourcesNeeded > 0)
            --this->sourcesNeeded; // what this node held itself
        if (joinedNow)
            this->filledEpoch = next.epoch;
        this->current = next;
        member = this->isMember();
        nowComplete = this->complete;
    }
    LogLine(LogLevel::Info, "roster_adopted")
        .field("epoch", next.epoch)
        .field("members", next.members.size())
        .field("member", member)
        .field("complete", nowComplete)
        .write();
    return true;
}

// --- Maintenance

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
    bool member = false;
    bool leaving = false;
    bool filled = false;
    {
        std::lock_guard lock(this->mutex);
        member = this->isMember();
        leaving = this->retireRequested && !this->isRetired;
        filled = this->filledEpoch >= this->current.epoch;
    }
    if (now >= this->nextRefresh || !member) {
        this->nextRefresh = now + refreshInterval;
        this->refreshRoster();
        std::lock_guard lock(this->mutex);
        member = this->isMember();
        filled = this->filledEpoch >= this->current.epoch;
    }
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
    if (!founding) {
        lost = this->unreachableMembers(before);
        for (const RosterMember& member : before.members) {
            bool reachable = std::find(lost.begin(), lost.end(), member.node) == lost.end();
            if (member.node != this->settings.node && reachable)
                this->fetchFrom(member);
        }
    }
    Roster next = withMember(before, self, lost);
    if (!this->writeRoster(next, this->rosterVersion))
        return;
    LogLine(LogLevel::Info, "roster_joined")
        .field("epoch", next.epoch)
        .field("founding", founding)
        .field("replaced", lost.empty() ? std::string() : lost.front())
        .write();
    this->newDisk = false;
    this->adopt(next, founding);
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
    std::vector<RosterMember> from;
    std::size_t needed = 0;
    {
        std::lock_guard lock(this->mutex);
        roster = this->current;
        from = this->sources;
        needed = this->sourcesNeeded;
    }
    std::size_t fetched = 0;
    for (const RosterMember& source : from) {
        bool answered = false;
        RecordResponse adopted = this->ask(source.address, AdoptRequest { roster }, inspectTimeout, answered);
        if (answered && adopted.status == RecordStatus::Ok && this->fetchFrom(source))
            ++fetched;
    }
    bool enough = fetched >= needed;
    {
        std::lock_guard lock(this->mutex);
        if (this->current.epoch != roster.epoch)
            return;
        if (enough) {
            this->complete = true;
            this->wasMember = this->isMember();
            this->filledEpoch = roster.epoch;
        }
    }
    LogLine(enough ? LogLevel::Info : LogLevel::Warning, "records_fetched")
        .field("epoch", roster.epoch)
        .field("sources", fetched)
        .field("needed", needed)
        .field("asked", from.size())
        .write();
}

bool RecordNode::fetchFrom(const RosterMember& source)
{
    Cursor& cursor = this->cursors[source.address];
    for (;;) {
        bool answered = false;
        RecordResponse page = this->ask(source.address, FillRequest { cursor.position }, fillTimeout, answered);
        if (!answered || page.status != RecordStatus::Ok)
            return false;
        if (page.session != cursor.session) {
            bool restart = cursor.position != 0;
            cursor = { page.session, 0 };
            if (restart)
                continue;
        }
        this->takeFetched(page);
        cursor.position = page.next;
        if (page.last)
            return true;
        std::lock_guard lock(this->wakeMutex);
        if (this->stopping)
            return false;
    }
}

void RecordNode::takeFetched(const RecordResponse& page)
{
    std::vector<std::string> added;
    {
        std::lock_guard lock(this->mutex);
        for (const StoredTurn& turn : page.turns) {
            if (this->holdsGroup(turn.group) && this->table.add(turn))
                added.push_back(encodeLoggedEntry(turn));
        }
        for (const Reservation& reservation : page.reservations) {
            if (this->holdsGroup(reservation.program) && this->table.add(reservation))
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

// Under the lock. Before it is a member, a node doesn't know which groups it will hold.
bool RecordNode::holdsGroup(std::string_view group) const
{
    if (!this->isMember())
        return true;
    auto replicas = replicasOf(this->current, group, this->settings.tolerance);
    return std::any_of(replicas.begin(), replicas.end(),
        [this](const RosterMember* member) { return member->node == this->settings.node; });
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
        bool answered = false;
        this->ask(member.address, AdoptRequest { roster }, inspectTimeout, answered);
        RecordResponse state = this->ask(member.address, InspectRequest {}, inspectTimeout, answered);
        if (answered && state.filledEpoch >= roster.epoch)
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
    if (this->current.epoch > 0)
        entries.push_back(encodeLoggedEntry(this->current));
    std::uint64_t position = 0;
    bool last = false;
    while (!last) {
        for (StoredRecord& record : this->table.recordsAfter(position, fillPageBytes, position, last)) {
            if (auto* turn = std::get_if<StoredTurn>(&record))
                entries.push_back(encodeLoggedEntry(*turn));
            else
                entries.push_back(encodeLoggedEntry(std::get<Reservation>(record)));
        }
    }
    return entries;
}

RecordResponse RecordNode::ask(
    const std::string& address, const RecordRequest& request, Duration timeout, bool& answered)
{
    PeerResult result = this->parts.peers.request(address, RecordCall { encodeRecordRequest(request) }, timeout, {});
    answered = false;
    const auto* reply = std::get_if<RecordReply>(&result.answer);
    if (result.status != PeerStatus::Ok || reply == nullptr)
        return {};
    auto response = decodeRecordResponse(reply->content);
    answered = response.has_value();
    return response.value_or(RecordResponse {});
}

} // namespace lovagecross
