#include "lovagecross/records/RecordTable.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

std::size_t sizeOf(const StoredTurn& turn)
{
    return turn.id.size() + turn.previous.size() + turn.input.size() + turn.output.size() + turn.group.size();
}

} // namespace

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
    if (added)
        return true;
    Reservation& stored = entry->second;
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

bool RecordTable::add(const StoredRecord& record)
{
    if (const auto* turn = std::get_if<StoredTurn>(&record)) {
        auto [entry, added] = this->turns.emplace(turn->id, TurnEntry { *turn, this->lastPosition + 1 });
        if (!added)
            return false;
        this->heldBytes += sizeOf(*turn);
        this->appendToArrivalOrder({ true, turn->id, {} });
        this->extendAncestorExpiry(*turn);
        return true;
    }
    const auto& reservation = std::get<Reservation>(record);
    if (!mergeReservation(this->programs[reservation.program], reservation))
        return false;
    this->appendToArrivalOrder({ false, reservation.program, reservation.requestId });
    return true;
}

void RecordTable::extendAncestorExpiry(const StoredTurn& turn)
{
    std::string id = turn.previous;
    for (std::size_t depth = 0; !id.empty() && depth < maxChainTurns; ++depth) {
        auto found = this->turns.find(id);
        if (found == this->turns.end() || found->second.turn.expiresUnixMillis >= turn.expiresUnixMillis)
            return;
        found->second.turn.expiresUnixMillis = turn.expiresUnixMillis;
        id = found->second.turn.previous;
    }
}

void RecordTable::appendToArrivalOrder(Key key)
{
    this->arrivalOrder.emplace(++this->lastPosition, std::move(key));
}

const ProgramReservations& RecordTable::reservationsOf(std::string_view program) const
{
    static const ProgramReservations none;
    auto found = this->programs.find(program);
    return found == this->programs.end() ? none : found->second;
}

std::vector<StoredTurn> RecordTable::chain(std::string_view id, bool& reachedStart) const
{
    std::vector<StoredTurn> chain;
    reachedStart = false;
    std::string next(id);
    while (chain.size() < maxChainTurns) {
        auto found = this->turns.find(next);
        if (found == this->turns.end())
            return chain;
        chain.push_back(found->second.turn);
        next = chain.back().previous;
        if (next.empty()) {
            reachedStart = true;
            return chain;
        }
    }
    return chain;
}

std::vector<StoredRecord> RecordTable::recordsAfter(std::uint64_t after, std::size_t maxBytes,
    const std::function<bool(std::string_view)>& wantsGroup, std::uint64_t& next, bool& last) const
{
    std::vector<StoredRecord> records;
    std::size_t size = 0;
    std::size_t scanned = 0;
    next = after;
    auto it = this->arrivalOrder.upper_bound(after);
    for (; it != this->arrivalOrder.end() && size < maxBytes && scanned < maxRecordsScanned; ++it, ++scanned) {
        next = it->first;
        const Key& key = it->second;
        if (key.isTurn) {
            auto found = this->turns.find(key.first);
            if (found == this->turns.end() || !wantsGroup(found->second.turn.group))
                continue;
            records.emplace_back(found->second.turn);
            size += sizeOf(found->second.turn);
            continue;
        }
        if (!wantsGroup(key.first))
            continue;
        const ProgramReservations& reservations = this->reservationsOf(key.first);
        auto found = reservations.find(key.second);
        if (found == reservations.end())
            continue;
        records.emplace_back(found->second);
        size += key.first.size() + key.second.size() + sizeof(Reservation);
    }
    last = it == this->arrivalOrder.end();
    return records;
}

void RecordTable::expire(std::int64_t nowUnixMillis)
{
    for (auto it = this->turns.begin(); it != this->turns.end();) {
        if (it->second.turn.expiresUnixMillis > nowUnixMillis) {
            ++it;
            continue;
        }
        this->heldBytes -= sizeOf(it->second.turn);
        this->arrivalOrder.erase(it->second.position);
        it = this->turns.erase(it);
    }
    // A program's reservations are removed together, once all of them have expired. Removing only some of them would
    // make used tokens appear free.
    std::erase_if(this->programs, [nowUnixMillis](const auto& program) {
        return std::all_of(program.second.begin(), program.second.end(),
            [nowUnixMillis](const auto& entry) { return entry.second.expiresUnixMillis <= nowUnixMillis; });
    });
    std::erase_if(this->arrivalOrder, [this](const auto& entry) {
        const Key& key = entry.second;
        return !key.isTurn && this->reservationsOf(key.first).count(key.second) == 0;
    });
}

} // namespace lovagecross
