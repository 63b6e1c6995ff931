#include "lovagecross/records/RecordTable.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

// Memory of an entry of the index in addition to its texts: nodes of the maps, and the allocator's share.
constexpr std::size_t turnIndexBytes = 384;
constexpr std::size_t reservationIndexBytes = 576;

} // namespace

TurnHead headOf(const StoredTurn& turn)
{
    return { turn.id, turn.previous, turn.group, turn.expiresUnixMillis };
}

std::uint64_t usedTokens(const ProgramReservations& reservations, std::string_view exceptRequest)
{
    std::uint64_t used = 0;
    for (const auto& [requestId, reservation] : reservations) {
        if (requestId != exceptRequest)
            used += reservation.tokens;
    }
    return used;
}

bool mergeReservation(ProgramReservations& reservations, const Reservation& reservation)
{
    auto [entry, added] = reservations.emplace(reservation.requestId, reservation);
    return added || mergeReservation(entry->second, reservation);
}

bool mergeReservation(Reservation& stored, const Reservation& reservation)
{
    bool settles = reservation.settled && !stored.settled;
    bool newerOrigin = reservation.origin.revision > stored.origin.revision;
    if (settles) {
        stored.tokens = reservation.tokens;
        stored.settled = true;
    }
    if (newerOrigin)
        stored.origin = reservation.origin;
    if (settles || newerOrigin)
        stored.expiresUnixMillis = std::max(stored.expiresUnixMillis, reservation.expiresUnixMillis);
    return settles || newerOrigin;
}

// --- Records

std::size_t RecordTable::indexBytesOf(const Turns::value_type& turn)
{
    return turnIndexBytes + turn.first.size() + turn.second.previous.size() + turn.second.group.size();
}

// The program's name is counted with each of its reservations, which have a copy.
std::size_t RecordTable::indexBytesOf(const Reservation& record)
{
    return reservationIndexBytes + 2 * record.program.size() + 2 * record.requestId.size()
        + record.origin.softwareVersion.size() + record.origin.service.size();
}

bool RecordTable::addTurn(TurnHead turn, TurnEntryRef entry)
{
    auto [added, isNew] = this->turns.try_emplace(std::move(turn.id));
    if (!isNew)
        return false;
    TurnState& state = added->second;
    state.previous = std::move(turn.previous);
    state.group = std::move(turn.group);
    state.entry = std::move(entry);
    state.neededUntilUnixMillis = turn.expiresUnixMillis;
    state.position = this->appendToArrivalOrder(&*added);
    this->heldTurnBytes += state.entry.bytes();
    this->heldIndexBytes += indexBytesOf(*added);
    return true;
}

bool RecordTable::add(const Reservation& reservation)
{
    ProgramEntry& program = this->programs[reservation.program];
    auto [found, isNew] = program.reservations.try_emplace(reservation.requestId);
    HeldReservation& held = found->second;
    std::size_t before = isNew ? 0 : indexBytesOf(held.record);
    if (isNew)
        held.record = reservation;
    else if (!mergeReservation(held.record, reservation))
        return false;
    this->heldIndexBytes += indexBytesOf(held.record);
    this->heldIndexBytes -= before;
    program.neededUntilUnixMillis = std::max(program.neededUntilUnixMillis, reservation.expiresUnixMillis);
    this->arrivalOrder.erase(held.position); // those who have read it must read it again
    held.position = this->appendToArrivalOrder(&held);
    return true;
}

std::uint64_t RecordTable::appendToArrivalOrder(Key key)
{
    this->arrivalOrder.emplace(++this->lastPosition, key);
    return this->lastPosition;
}

std::optional<LogLocation> RecordTable::setTurnLocation(const std::string& id, const LogLocation& at)
{
    auto found = this->turns.find(id);
    if (found == this->turns.end())
        return std::nullopt;
    TurnEntryRef& entry = found->second.entry;
    this->heldTurnBytes += at.bytes;
    this->heldTurnBytes -= entry.bytes();
    return std::exchange(entry, TurnEntryRef { at, nullptr }).at;
}

std::optional<TurnEntryRef> RecordTable::turnEntry(const std::string& id) const
{
    auto found = this->turns.find(id);
    return found == this->turns.end() ? std::nullopt : std::optional(found->second.entry);
}

const RecordTable::HeldReservation* RecordTable::find(const std::string& program, const std::string& request) const
{
    auto entry = this->programs.find(program);
    if (entry == this->programs.end())
        return nullptr;
    auto found = entry->second.reservations.find(request);
    return found == entry->second.reservations.end() ? nullptr : &found->second;
}

std::optional<LogLocation> RecordTable::setReservationLocation(
    const std::string& program, const std::string& request, const LogLocation& at)
{
    auto entry = this->programs.find(program);
    if (entry == this->programs.end())
        return std::nullopt;
    auto found = entry->second.reservations.find(request);
    if (found == entry->second.reservations.end())
        return std::nullopt;
    return std::exchange(found->second.at, at);
}

std::optional<LogLocation> RecordTable::reservationLocation(
    const std::string& program, const std::string& request) const
{
    const HeldReservation* held = this->find(program, request);
    return held == nullptr ? std::nullopt : std::optional(held->at);
}

const Reservation* RecordTable::reservation(const std::string& program, const std::string& request) const
{
    const HeldReservation* held = this->find(program, request);
    return held == nullptr ? nullptr : &held->record;
}

ProgramReservations RecordTable::reservationsOf(const std::string& program) const
{
    ProgramReservations all;
    auto found = this->programs.find(program);
    if (found == this->programs.end())
        return all;
    for (const auto& [request, held] : found->second.reservations)
        all.emplace_hint(all.end(), request, held.record);
    return all;
}

std::vector<FoundTurn> RecordTable::chain(std::string_view id, std::size_t maxBytes, bool& reachedStart) const
{
    std::vector<FoundTurn> chain;
    reachedStart = false;
    std::string next(id);
    std::size_t bytes = 0;
    while (chain.size() < maxChainTurns) {
        auto found = this->turns.find(next);
        if (found == this->turns.end())
            return chain;
        const TurnState& turn = found->second;
        bytes += turn.entry.bytes();
        if (!chain.empty() && bytes > maxBytes)
            return chain;
        chain.push_back({ next, turn.entry });
        next = turn.previous;
        if (next.empty()) {
            reachedStart = true;
            return chain;
        }
    }
    return chain;
}

std::vector<RecordTable::PositionedRecord> RecordTable::recordsAfter(std::uint64_t after, std::size_t maxBytes,
    const std::function<bool(std::string_view)>& wantsGroup, std::uint64_t& next, bool& last) const
{
    std::vector<PositionedRecord> records;
    std::size_t size = 0;
    std::size_t scanned = 0;
    next = after;
    auto it = this->arrivalOrder.upper_bound(after);
    for (; it != this->arrivalOrder.end() && size < maxBytes && scanned < maxRecordsScanned; ++it, ++scanned) {
        next = it->first;
        if (const auto* turn = std::get_if<const Turns::value_type*>(&it->second)) {
            const TurnState& state = (*turn)->second;
            if (!wantsGroup(state.group))
                continue;
            records.push_back({ it->first, FoundTurn { (*turn)->first, state.entry } });
            size += state.entry.bytes();
            continue;
        }
        const Reservation& record = std::get<const HeldReservation*>(it->second)->record;
        if (!wantsGroup(record.program))
            continue;
        records.push_back({ it->first, record });
        size += record.program.size() + record.requestId.size() + sizeof(Reservation);
    }
    last = it == this->arrivalOrder.end();
    return records;
}

// --- Expiry

// Visits each turn once, however long the conversations are.
RecordTable::NeededTurns RecordTable::neededTurns(std::int64_t nowUnixMillis) const
{
    NeededTurns needed;
    for (const auto& [id, entry] : this->turns) {
        if (entry.neededUntilUnixMillis <= nowUnixMillis)
            continue;
        std::string_view turnId = id;
        const TurnState* turn = &entry;
        while (needed.ids.insert(turnId).second && !turn->previous.empty()) {
            auto previous = this->turns.find(turn->previous);
            if (previous == this->turns.end()) {
                needed.ids.insert(turn->previous);
                needed.groupsWithGaps.insert(turn->group);
                break;
            }
            turnId = previous->first;
            turn = &previous->second;
        }
    }
    return needed;
}

ExpiredRecords RecordTable::expired(std::int64_t nowUnixMillis, std::size_t maxRecords) const
{
    ExpiredRecords records;
    for (const auto& [program, entry] : this->programs) {
        if (entry.neededUntilUnixMillis <= nowUnixMillis && records.programs.size() < maxRecords)
            records.programs.push_back(program);
    }
    bool anyTurn = std::any_of(this->turns.begin(), this->turns.end(),
        [&](const auto& entry) { return entry.second.neededUntilUnixMillis <= nowUnixMillis; });
    if (!anyTurn)
        return records;
    NeededTurns needed = this->neededTurns(nowUnixMillis);
    for (const auto& [id, entry] : this->turns) {
        bool isNeeded = needed.ids.count(id) > 0 || needed.groupsWithGaps.count(entry.group) > 0;
        if (!isNeeded && records.turns.size() < maxRecords)
            records.turns.push_back({ id, entry.group });
    }
    return records;
}

void RecordTable::confirmExpiry(const ExpiredRecords& records, std::int64_t nowUnixMillis,
    const std::function<bool(std::string_view)>& mayConfirm, RecordResponse& response) const
{
    NeededTurns needed;
    if (!records.turns.empty())
        needed = this->neededTurns(nowUnixMillis);
    for (const ExpiringTurn& turn : records.turns) {
        bool isNeeded = needed.ids.count(turn.id) > 0 || needed.groupsWithGaps.count(turn.group) > 0;
        response.turnsConfirmed.push_back(!isNeeded && mayConfirm(turn.group));
    }
    for (const std::string& program : records.programs) {
        auto found = this->programs.find(program);
        bool isNeeded = found != this->programs.end() && found->second.neededUntilUnixMillis > nowUnixMillis;
        response.programsConfirmed.push_back(!isNeeded && mayConfirm(program));
    }
}

void RecordTable::extendTurn(const std::string& id, std::int64_t untilUnixMillis)
{
    auto found = this->turns.find(id);
    if (found != this->turns.end())
        found->second.neededUntilUnixMillis = std::max(found->second.neededUntilUnixMillis, untilUnixMillis);
}

void RecordTable::extendProgram(const std::string& program, std::int64_t untilUnixMillis)
{
    auto found = this->programs.find(program);
    if (found != this->programs.end())
        found->second.neededUntilUnixMillis = std::max(found->second.neededUntilUnixMillis, untilUnixMillis);
}

std::vector<LogLocation> RecordTable::removeTurn(const std::string& id)
{
    auto found = this->turns.find(id);
    if (found == this->turns.end())
        return {};
    const TurnState& turn = found->second;
    this->heldTurnBytes -= turn.entry.bytes();
    this->heldIndexBytes -= indexBytesOf(*found);
    this->arrivalOrder.erase(turn.position);
    std::vector<LogLocation> locations { turn.entry.at };
    this->turns.erase(found);
    return locations;
}

std::vector<LogLocation> RecordTable::removeProgram(const std::string& program)
{
    auto found = this->programs.find(program);
    if (found == this->programs.end())
        return {};
    std::vector<LogLocation> locations;
    for (const auto& [request, held] : found->second.reservations) {
        this->heldIndexBytes -= indexBytesOf(held.record);
        this->arrivalOrder.erase(held.position);
        locations.push_back(held.at);
    }
    this->programs.erase(found);
    return locations;
}

} // namespace lovagecross
