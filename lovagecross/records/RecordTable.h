#pragma once

// In-memory index of one node's kept turns, whose texts are in the log, and table of its reservations. Does no I/O.
//
//     RecordTable table;
//     table.addTurn(headOf(turn), { {}, encoded });     // its text is in memory until it is durable
//     table.setTurnLocation(turn.id, at);               // from now on it is in the log
//     table.add(reservation);
//     std::uint64_t used = usedTokens(table.reservationsOf("program"), "request"); // by the program's other turns
//
// Records never conflict: a turn is immutable, and of two reservations for the same request the settled one gives the
// tokens and the one with the higher revision gives the origin of the stream.
//
// A turn is needed until it expires and while a turn that continues it, directly or not, is needed. The reservations of
// a program are needed until the last of them expires. The table removes nothing by itself: other replicas may hold a
// later record that this one has missed, so the owner asks them about `expired` records first.
//
// Thread safety: not synchronized; the owner must hold a lock.

#include "lovagecross/records/RecordLog.h"
#include "lovagecross/records/RecordMessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace lovagecross {

// Reservations of a program, keyed by request id.
using ProgramReservations = std::map<std::string, Reservation, std::less<>>;

// Returns the total tokens of all reservations except that of `exceptRequest`.
std::uint64_t usedTokens(const ProgramReservations& reservations, std::string_view exceptRequest);

// Adds a reservation, or merges it with the one of the same request. Returns whether anything changed.
bool mergeReservation(ProgramReservations& reservations, const Reservation& reservation);

// Merges a reservation with the stored one of the same request. Returns whether anything changed.
bool mergeReservation(Reservation& stored, const Reservation& reservation);

// What the index has of a turn.
struct TurnHead {
    std::string id;
    std::string previous; // empty at the start of a conversation
    std::string group;
    std::int64_t expiresUnixMillis = 0;
};

TurnHead headOf(const StoredTurn& turn);

// Where the entry of a turn is: in the log, or in memory until it is durable.
struct TurnEntryRef {
    LogLocation at;
    std::shared_ptr<const std::string> pending; // the encoded entry; nullptr once it is in the log

    std::size_t bytes() const { return this->pending ? this->pending->size() : this->at.bytes; }
};

struct FoundTurn {
    std::string id;
    TurnEntryRef entry;
};

class RecordTable {
public:
    static constexpr std::size_t maxChainTurns = 4096;

    // Returns false, with the table as it was, if it has the turn.
    bool addTurn(TurnHead turn, TurnEntryRef entry);

    // Returns false if the reservation adds nothing to what the table holds.
    bool add(const Reservation& reservation);

    // Notes where a turn is in the log, and frees its entry in memory. Returns where it was before, in the log or
    // nowhere, or nullopt if the table doesn't have the turn.
    std::optional<LogLocation> setTurnLocation(const std::string& id, const LogLocation& at);

    // Returns nullopt if the table doesn't have the turn.
    std::optional<TurnEntryRef> turnEntry(const std::string& id) const;

    // The same for the reservation of a request, whose present state has become durable.
    std::optional<LogLocation> setReservationLocation(
        const std::string& program, const std::string& request, const LogLocation& at);
    std::optional<LogLocation> reservationLocation(const std::string& program, const std::string& request) const;

    // The reservation as merged from all that were added; nullptr if there is none.
    const Reservation* reservation(const std::string& program, const std::string& request) const;
    ProgramReservations reservationsOf(const std::string& program) const;
    bool hasProgram(const std::string& program) const { return this->programs.count(program) > 0; }

    // Returns the turn and the turns that it continues, newest first, as far as this table has them, of about
    // `maxBytes` in all, the first one at least. Sets `reachedStart` to whether the last one starts its conversation.
    std::vector<FoundTurn> chain(std::string_view id, std::size_t maxBytes, bool& reachedStart) const;

    // Limit for one call of `recordsAfter`. Scanning more would delay the votes that wait for the lock.
    static constexpr std::size_t maxRecordsScanned = 1000;

    struct PositionedRecord {
        std::uint64_t position = 0;
        std::variant<FoundTurn, Reservation> record;
    };

    // Returns records of the groups that `wantsGroup` accepts, in order of arrival, after position `after`, up to about
    // `maxBytes`. Sets `next` to the position to continue from and `last` to whether no records are left.
    std::vector<PositionedRecord> recordsAfter(std::uint64_t after, std::size_t maxBytes,
        const std::function<bool(std::string_view)>& wantsGroup, std::uint64_t& next, bool& last) const;

    // Returns records that are no longer needed by what this table holds, at most about `maxRecords`.
    ExpiredRecords expired(std::int64_t nowUnixMillis, std::size_t maxRecords) const;

    // Sets `turnsConfirmed` and `programsConfirmed` of the response: whether this table needs the records no more.
    // `mayConfirm` tells whether this node can answer for a group.
    void confirmExpiry(const ExpiredRecords& records, std::int64_t nowUnixMillis,
        const std::function<bool(std::string_view)>& mayConfirm, RecordResponse& response) const;

    // Treats expired records as needed until the given time. Does not shorten an earlier extension.
    void extendTurn(const std::string& id, std::int64_t untilUnixMillis);
    void extendProgram(const std::string& program, std::int64_t untilUnixMillis);

    // Return where the removed records are in the log.
    std::vector<LogLocation> removeTurn(const std::string& id);
    std::vector<LogLocation> removeProgram(const std::string& program);

    std::size_t turnCount() const { return this->turns.size(); }
    std::size_t programCount() const { return this->programs.size(); }

    // Bytes of the turns in the log, those that are about to be written included.
    std::size_t turnBytes() const { return this->heldTurnBytes; }

    // Approximate bytes of memory, without the entries that are about to be written.
    std::size_t indexBytes() const { return this->heldIndexBytes; }

private:
    struct TurnState {
        std::string previous;
        std::string group;
        TurnEntryRef entry;
        std::uint64_t position = 0;
        std::int64_t neededUntilUnixMillis = 0;
    };
    using Turns = std::unordered_map<std::string, TurnState>; // keyed by turn id
    struct HeldReservation {
        Reservation record;
        LogLocation at; // of the last state that has become durable
        std::uint64_t position = 0;
    };
    struct ProgramEntry {
        std::map<std::string, HeldReservation> reservations; // keyed by request id
        std::int64_t neededUntilUnixMillis = 0;
    };
    // Turns that must be kept, as far as this table can tell.
    struct NeededTurns {
        std::unordered_set<std::string_view> ids; // including continued turns that this table has missed
        std::set<std::string_view> groupsWithGaps; // with a missed turn: it may continue any turn of its group
    };
    // The elements of the maps stay where they are.
    using Key = std::variant<const Turns::value_type*, const HeldReservation*>;

    const HeldReservation* find(const std::string& program, const std::string& request) const;
    std::uint64_t appendToArrivalOrder(Key key);
    NeededTurns neededTurns(std::int64_t nowUnixMillis) const;
    static std::size_t indexBytesOf(const Turns::value_type& turn);
    static std::size_t indexBytesOf(const Reservation& record);

    Turns turns;
    std::map<std::string, ProgramEntry> programs;
    std::map<std::uint64_t, Key> arrivalOrder; // keyed by position in order of arrival
    std::uint64_t lastPosition = 0;
    std::size_t heldTurnBytes = 0;
    std::size_t heldIndexBytes = 0;
};

} // namespace lovagecross
