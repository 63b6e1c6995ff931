#pragma once

// Kept turns and reservations of one node, in memory. Pure state without I/O.
//
//     RecordTable table;
//     table.add(record, position);
//     Standing standing = table.standing("program", "request");   // tokens used by the program's other turns
//
// Records never conflict: a turn is immutable, and of two reservations for one request the settled one holds. A turn
// keeps the turns that it continues as long as itself.
//
// Thread safety: not synchronized; the owner guards it with one lock.

#include "lovagecross/records/RecordMessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagecross {

// The reservations of a program, by request id.
using ProgramReservations = std::map<std::string, Reservation, std::less<>>;

// Tokens of all reservations except that of `exceptRequest`.
std::uint64_t usedTokens(const ProgramReservations& reservations, std::string_view exceptRequest);

// Adds a reservation, or replaces an open one of the same request by a settled one. False when nothing changed.
bool mergeReservation(ProgramReservations& reservations, const Reservation& reservation);

class RecordTable {
public:
    static constexpr std::size_t maxChainTurns = 4096;

    // False when the record was known already.
    bool add(const StoredRecord& record);

    const ProgramReservations& reservationsOf(std::string_view program) const;

    // The turn and those that it continues, the newest first, as far as they are known here.
    // `reachedStart` is set when the last one starts its conversation.
    std::vector<StoredTurn> chain(std::string_view id, bool& reachedStart) const;

    // Looking at more at once would hold up the votes that wait for the lock.
    static constexpr std::size_t maxRecordsLookedAt = 1000;

    // Records of the groups that `wantsGroup` accepts, in the order of their arrival, after position `after`, up to
    // about `maxBytes`. `next` is the position to go on from and `last` whether nothing is left.
    std::vector<StoredRecord> recordsAfter(std::uint64_t after, std::size_t maxBytes,
        const std::function<bool(std::string_view)>& wantsGroup, std::uint64_t& next, bool& last) const;

    void expire(std::int64_t nowUnixMillis);

    std::size_t turnCount() const { return this->turns.size(); }
    std::size_t programCount() const { return this->programs.size(); }
    std::size_t bytes() const { return this->heldBytes; }

private:
    struct KeptTurn {
        StoredTurn turn;
        std::uint64_t position = 0;
    };
    struct Key {
        bool isTurn = false;
        std::string first; // turn id or program
        std::string second; // request id of a reservation
    };

    void place(Key key);
    void keepAncestors(const StoredTurn& turn);

    std::unordered_map<std::string, KeptTurn> turns; // by id
    std::map<std::string, ProgramReservations, std::less<>> programs;
    std::map<std::uint64_t, Key> order; // by position of arrival
    std::uint64_t lastPosition = 0;
    std::size_t heldBytes = 0;
};

} // namespace lovagecross
