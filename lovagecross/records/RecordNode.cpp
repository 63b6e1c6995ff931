#include "lovagecross/records/RecordNode.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lovagecross {

namespace {

// The log is compacted when discarded entries take such a share of the disk, or of the memory: a start reads them.
constexpr std::size_t discardedShareOfDisk = 16;
constexpr std::size_t discardedShareOfMemory = 8;
constexpr std::size_t segmentsOfDisk = 32;
constexpr std::size_t minSegmentBytes = 1024 * 1024;
constexpr std::size_t maxSegmentBytes = 8 * 1024 * 1024;
constexpr int maxReadAttempts = 3; // of a turn that a compaction moves meanwhile

LogLimits logLimitsOf(const RecordNodeSettings& settings)
{
    return { std::clamp(settings.diskBytes / segmentsOfDisk, minSegmentBytes, maxSegmentBytes),
        std::min(settings.diskBytes / discardedShareOfDisk, settings.memoryBytes / discardedShareOfMemory) };
}

std::uint64_t randomSession()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

} // namespace

RecordNode::RecordNode(RecordNodeSettings nodeSettings, RecordNodeParts nodeParts)
    : settings(std::move(nodeSettings))
    , parts(nodeParts)
    , room(recordRoomOf(this->settings.diskBytes, this->settings.memoryBytes))
    , log(this->settings.dataFolder + "/records", logLimitsOf(this->settings))
    , session(randomSession())
    , holdings(this->settings.node, this->settings.tolerance)
    , memberWatch(this->settings.memberRemovalTimeout)
    , platform(nodeParts.store, nodeParts.counters)
    , votes(nodeParts.counters.counter("records.votes"))
    , refusedForRoom(nodeParts.counters.counter("records.refusedForRoom"))
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
    LoadedLog loaded;
    LogRecovery recovery;
    {
        std::lock_guard lock(this->mutex);
        recovery = this->log.open(
            [&](std::string_view bytes, const LogLocation& at) { this->applyLogged(bytes, at, loaded); });
        if (!recovery.opened)
            return recovery.error;
        this->disk = recovery.disk;
        this->newDisk = recovery.wasEmpty;
        this->holdings.restore(loaded.progress, this->disk);
    }
    this->rewriteMerged(loaded);
    LogLine(LogLevel::Info, "records_loaded")
        .field("entries", loaded.entries)
        .field("droppedBytes", recovery.droppedBytes)
        .field("newDisk", recovery.wasEmpty)
        .field("epoch", this->roster().epoch)
        .field("filledEpoch", this->handleInspect().filledEpoch)
        .field("ready", this->ready())
        .write();
    return {};
}

// Adds an entry of the log to the table, or to `loaded` if it is about the progress. Expired records are added too:
// only the other replicas can tell whether a later record needs them. `mutex` must be held.
void RecordNode::applyLogged(std::string_view bytes, const LogLocation& at, LoadedLog& loaded)
{
    auto entry = decodeLoggedEntry(bytes);
    if (!entry) {
        this->log.discard(at);
        return;
    }
    ++loaded.entries;
    if (auto* progress = std::get_if<ReplicaProgress>(&*entry)) {
        bool newer = progress->roster.epoch >= loaded.progress.roster.epoch;
        this->log.discard(newer ? std::exchange(this->progressAt, at) : at);
        if (newer)
            loaded.progress = std::move(*progress);
        return;
    }
    if (const auto* turn = std::get_if<StoredTurn>(&*entry)) {
        if (!this->table.addTurn(headOf(*turn), { at, nullptr }))
            this->log.discard(at);
        return;
    }
    const auto& reservation = std::get<Reservation>(*entry);
    if (!this->table.add(reservation)) {
        this->log.discard(at);
        return;
    }
    auto before = this->table.setReservationLocation(reservation.program, reservation.requestId, at);
    if (before)
        this->log.discard(*before);
    const Reservation* merged = this->table.reservation(reservation.program, reservation.requestId);
    if (encodeLoggedEntry(*merged) != bytes)
        loaded.inSeveralEntries.insert({ reservation.program, reservation.requestId });
    else
        loaded.inSeveralEntries.erase({ reservation.program, reservation.requestId });
}

// Writes reservations whose present state an earlier version has left in several entries, of which only the last one
// counts as needed.
void RecordNode::rewriteMerged(const LoadedLog& loaded)
{
    for (const auto& [program, request] : loaded.inSeveralEntries) {
        std::string entry;
        {
            std::lock_guard lock(this->mutex);
            const Reservation* merged = this->table.reservation(program, request);
            if (merged == nullptr)
                continue;
            entry = encodeLoggedEntry(*merged);
        }
        this->log.appendAsync(std::move(entry), this->reservationStored(program, request));
    }
}

// --- Entries in the log

// A turn that was removed from the table while it was written is added again: its sender is told that it is stored.
RecordLog::StoredFunction RecordNode::turnStored(TurnHead turn)
{
    return [this, head = std::move(turn)](const LogLocation& at) {
        std::lock_guard lock(this->mutex);
        if (auto before = this->table.setTurnLocation(head.id, at))
            this->log.discard(*before);
        else
            this->table.addTurn(head, { at, nullptr });
    };
}

RecordLog::StoredFunction RecordNode::turnMoved(const std::string& id)
{
    return [this, id](const LogLocation& at) {
        std::lock_guard lock(this->mutex);
        auto before = this->table.setTurnLocation(id, at);
        this->log.discard(before ? *before : at);
    };
}

RecordLog::StoredFunction RecordNode::reservationStored(const std::string& program, const std::string& request)
{
    return [this, program, request](const LogLocation& at) {
        std::lock_guard lock(this->mutex);
        auto before = this->table.setReservationLocation(program, request, at);
        this->log.discard(before ? *before : at);
    };
}

RecordLog::StoredFunction RecordNode::progressStored()
{
    return [this](const LogLocation& at) {
        std::lock_guard lock(this->mutex);
        this->log.discard(std::exchange(this->progressAt, at));
    };
}

// Returns nullopt if the turn is gone or can't be read.
std::optional<StoredTurn> RecordNode::readTurn(FoundTurn turn) const
{
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        std::optional<std::string> bytes;
        if (!turn.entry.pending)
            bytes = this->log.read(turn.entry.at);
        if (turn.entry.pending || bytes) {
            auto entry = decodeLoggedEntry(turn.entry.pending ? *turn.entry.pending : *bytes);
            auto* stored = entry ? std::get_if<StoredTurn>(&*entry) : nullptr;
            return stored != nullptr ? std::optional(std::move(*stored)) : std::nullopt;
        }
        std::lock_guard lock(this->mutex);
        auto moved = this->table.turnEntry(turn.id);
        if (!moved || (!moved->pending && moved->at == turn.entry.at))
            return std::nullopt;
        turn.entry = *moved;
    }
    return std::nullopt;
}

// `mutex` must be held.
RoomUse RecordNode::usedRoom() const
{
    return { this->table.turnBytes() + this->promises.bytes(), this->table.indexBytes() + this->promises.indexBytes() };
}

void RecordNode::start()
{
    if (this->settings.firstStart)
        this->nextJoin = this->parts.clock.now() + this->randomJoinDelay();
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
        RecordResponse operator()(const ConfirmExpiryRequest& body) const
        {
            return this->node.handleConfirmExpiry(body);
        }
    };
    return std::visit(Handler { *this }, request);
}

// Returns whether a write for `epoch` can be accepted; otherwise sets the status and the roster of the response. If
// `epoch` is newer, this node has missed a roster change. `mutex` must be held.
bool RecordNode::acceptsEpoch(std::uint64_t epoch, RecordResponse& response)
{
    const Roster& roster = this->holdings.roster();
    if (epoch == roster.epoch && this->holdings.isMember())
        return true;
    this->newerEpochSeen = this->newerEpochSeen || epoch > roster.epoch;
    response.status = epoch < roster.epoch ? RecordStatus::OldEpoch : RecordStatus::NotReady;
    response.roster = withoutChanges(roster);
    return false;
}

RecordResponse RecordNode::handleStoreTurn(const StoreTurnRequest& request)
{
    RecordResponse response;
    auto encoded = std::make_shared<const std::string>(encodeLoggedEntry(request.turn));
    {
        std::lock_guard lock(this->mutex);
        if (!this->acceptsEpoch(request.epoch, response))
            return response;
        bool mustStore = this->table.turnEntry(request.turn.id) || this->promises.has(request.turn.id);
        this->promises.release(request.turn.id);
        if (!mustStore && !fitsIntoRoom(this->room, this->usedRoom(), encoded->size()))
            return this->refuseForRoom();
        this->table.addTurn(headOf(request.turn), { {}, encoded });
    }
    bool stored = this->log.appendAllDurably({ { encoded, this->turnStored(headOf(request.turn)) } });
    std::lock_guard lock(this->mutex);
    auto held = this->table.turnEntry(request.turn.id);
    if (!stored && held && held->at.segment == 0)
        this->table.removeTurn(request.turn.id); // it would take memory for as long as the disk refuses it
    // A roster adopted during the write may have ended this node's membership, and its copy must not count then.
    if (!this->acceptsEpoch(request.epoch, response))
        return response;
    response.status = stored ? RecordStatus::Ok : RecordStatus::NotStored;
    this->turnsStored.add(stored ? 1 : 0);
    return response;
}

RecordResponse RecordNode::refuseForRoom()
{
    this->refusedForRoom.add();
    RecordResponse response;
    response.status = RecordStatus::NotStored;
    response.full = true;
    return response;
}

RecordResponse RecordNode::handleReadChain(const ReadChainRequest& request) const
{
    RecordResponse response;
    std::vector<FoundTurn> found;
    {
        std::lock_guard lock(this->mutex);
        this->chainsRead.add();
        found = this->table.chain(request.id, detail::chainPageBytes, response.reachedStart);
        response.complete = this->holdings.complete();
        response.roster = withoutChanges(this->holdings.roster());
    }
    response.status = found.empty() ? RecordStatus::Absent : RecordStatus::Ok;
    for (FoundTurn& turn : found) {
        auto stored = this->readTurn(std::move(turn));
        if (!stored) {
            // The turn exists, or did just now: this node can't say that it is absent.
            response.reachedStart = false;
            response.complete = response.complete && !response.turns.empty();
            response.status = response.turns.empty() ? RecordStatus::NotReady : RecordStatus::Ok;
            break;
        }
        response.turns.push_back(std::move(*stored));
    }
    return response;
}

RecordResponse RecordNode::handleReserve(const ReserveRequest& request)
{
    RecordResponse response;
    const Reservation& reservation = request.reservation;
    std::string entry;
    {
        std::lock_guard lock(this->mutex);
        if (!this->acceptsEpoch(request.epoch, response))
            return response;
        if (!this->holdings.complete(reservation.program))
            return response; // NotReady
        ProgramReservations others = this->table.reservationsOf(reservation.program);
        bool known = others.erase(reservation.requestId) > 0;
        for (const auto& [requestId, other] : others)
            response.reservations.push_back(other);
        if (usedTokens(others, reservation.requestId) + reservation.tokens > request.budget) {
            response.status = RecordStatus::Exhausted;
            return response;
        }
        RoomRequest wanted { static_cast<std::size_t>(request.turnBytes), request.continuesTurn };
        if (!known && !hasRoom(this->room, this->usedRoom(), wanted))
            return this->refuseForRoom();
        this->table.add(reservation);
        if (wanted.turnBytes > 0)
            this->promises.add(reservation.requestId, wanted.turnBytes, this->parts.clock.now());
        entry = encodeLoggedEntry(*this->table.reservation(reservation.program, reservation.requestId));
    }
    bool stored = this->log.appendDurably(
        std::move(entry), this->reservationStored(reservation.program, reservation.requestId));
    std::lock_guard lock(this->mutex);
    if (!this->acceptsEpoch(request.epoch, response))
        return response;
    response.status = stored ? RecordStatus::Ok : RecordStatus::NotStored;
    this->votes.add();
    response.filledEpoch = this->holdings.filledEpoch();
    return response;
}

RecordResponse RecordNode::handleSettle(const SettleRequest& request)
{
    const Reservation& reservation = request.reservation;
    std::string entry;
    {
        std::lock_guard lock(this->mutex);
        // The settlement of a request that was refused for room adds a record too.
        bool known = this->table.reservation(reservation.program, reservation.requestId) != nullptr;
        if ((known || hasRoom(this->room, this->usedRoom(), {})) && this->table.add(reservation))
            entry = encodeLoggedEntry(*this->table.reservation(reservation.program, reservation.requestId));
        if (reservation.tokens > 0)
            this->promises.shorten(reservation.requestId, this->parts.clock.now());
        else
            this->promises.release(reservation.requestId);
    }
    if (!entry.empty())
        this->log.appendAsync(std::move(entry), this->reservationStored(reservation.program, reservation.requestId));
    RecordResponse response;
    response.status = RecordStatus::Ok;
    return response;
}

RecordResponse RecordNode::handleAdopt(const AdoptRequest& request)
{
    RecordResponse response;
    bool adopted = this->adopt(request.roster, false);
    std::lock_guard lock(this->mutex);
    response.roster = withoutChanges(this->holdings.roster());
    response.status
        = adopted || response.roster->epoch >= request.roster.epoch ? RecordStatus::Ok : RecordStatus::NotStored;
    return response;
}

RecordResponse RecordNode::handleFill(const FillRequest& request) const
{
    RecordResponse response;
    std::vector<RecordTable::PositionedRecord> records;
    {
        std::lock_guard lock(this->mutex);
        GroupSelector selector(request.filter, this->settings.tolerance);
        auto wanted = [&selector](std::string_view group) { return selector.wants(group); };
        records = this->table.recordsAfter(request.after, detail::fillPageBytes, wanted, response.next, response.last);
        response.session = this->session;
        response.filledEpochs = this->holdings.filledEpochs();
        response.disk = this->disk;
    }
    response.status = RecordStatus::Ok;
    std::uint64_t readUpTo = request.after;
    for (RecordTable::PositionedRecord& record : records) {
        if (auto* reservation = std::get_if<Reservation>(&record.record)) {
            response.reservations.push_back(std::move(*reservation));
        } else {
            auto& turn = std::get<FoundTurn>(record.record);
            auto stored = this->readTurn(turn);
            if (!stored && this->holdsTurn(turn.id)) {
                // The source asks for it again; without progress, this one can't be fetched from.
                response.next = readUpTo;
                response.last = false;
                response.status = readUpTo == request.after ? RecordStatus::NotReady : RecordStatus::Ok;
                return response;
            }
            if (stored)
                response.turns.push_back(std::move(*stored));
        }
        readUpTo = record.position;
    }
    return response;
}

bool RecordNode::holdsTurn(const std::string& id) const
{
    std::lock_guard lock(this->mutex);
    return this->table.turnEntry(id).has_value();
}

RecordResponse RecordNode::handleInspect() const
{
    RecordResponse response;
    std::lock_guard lock(this->mutex);
    response.status = RecordStatus::Ok;
    response.complete = this->holdings.complete();
    response.filledEpoch = this->holdings.filledEpoch();
    if (this->holdings.roster().epoch > 0)
        response.roster = withoutChanges(this->holdings.roster());
    return response;
}

// --- State

bool RecordNode::ready() const
{
    std::lock_guard lock(this->mutex);
    return this->holdings.complete();
}

Roster RecordNode::roster() const
{
    std::lock_guard lock(this->mutex);
    return this->holdings.roster();
}

void RecordNode::retire()
{
    {
        std::lock_guard lock(this->mutex);
        this->retireRequested = true;
    }
    std::lock_guard lock(this->wakeMutex);
    this->wakeRequested = true;
    this->wake.notify_all();
}

bool RecordNode::retired() const
{
    std::lock_guard lock(this->mutex);
    return this->isRetired;
}

// Adopts a newer roster. `nothingToFetch` is set if this node has just created the first one. The roster is logged
// before it is used, so that no write for an older epoch is accepted after a restart.
bool RecordNode::adopt(const Roster& next, bool nothingToFetch)
{
    bool member = false;
    bool nowComplete = false;
    {
        std::lock_guard progressLock(this->progressMutex);
        ReplicaProgress progress;
        {
            std::lock_guard lock(this->mutex);
            if (next.epoch <= this->holdings.roster().epoch)
                return false;
            progress = this->holdings.progressAfter(next, nothingToFetch);
        }
        if (!this->log.appendDurably(encodeLoggedEntry(progress), this->progressStored()))
            return false;
        std::lock_guard lock(this->mutex);
        this->holdings.adopt(next, nothingToFetch);
        member = this->holdings.isMember();
        nowComplete = this->holdings.complete();
    }
    LogLine(LogLevel::Info, "roster_adopted")
        .field("epoch", next.epoch)
        .field("members", next.members.size())
        .field("member", member)
        .field("complete", nowComplete)
        .write();
    return true;
}

// Records durably that the fill of the roster is complete. Returns false if the roster has changed since, or if the
// disk refuses the entry.
bool RecordNode::completeFill(const Roster& roster)
{
    std::lock_guard progressLock(this->progressMutex);
    ReplicaProgress progress;
    {
        std::lock_guard lock(this->mutex);
        if (this->holdings.roster().epoch != roster.epoch)
            return false;
        progress = this->holdings.progressWhenComplete();
    }
    if (!this->log.appendDurably(encodeLoggedEntry(progress), this->progressStored()))
        return false;
    std::lock_guard lock(this->mutex);
    this->holdings.markComplete();
    return true;
}

} // namespace lovagecross
