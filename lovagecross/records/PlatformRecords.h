#pragma once

// Records stored at the platform because too few record nodes can store them: kept turns and token reservations.
//
//     if (platform.keepTurn(turn)) ...
//     PlatformAnswer answer = platform.vote({ epoch, reservation, budget }, known);
//
// While the number of record nodes is even and below 2 * machines + 1, the platform is an additional replica of every
// budget. Without its vote, the loss of one of the last two nodes would stop all grants. Each program has one object at
// the platform, which is changed by conditional updates.
//
// A vote counts only if the roster at the platform still has its epoch after the reservation was written. A member of a
// new roster reads the reservations at the platform after that roster was written there. So either it reads the
// reservation, or the vote doesn't count. This needs linearizable reads (see `ObjectStore`).
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/records/RecordTable.h"
#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class TurnRead {
    Found,
    Absent,
    Unavailable,
};

enum class PlatformVote {
    Accepted,
    Exhausted, // the request would exceed the budget
    Unavailable, // no grant; the reservation may nevertheless have been stored and count against the budget
    OldEpoch, // no grant: the platform has a newer roster; the reservation was stored and counts against the budget
};

inline constexpr NameTable<PlatformVote, 4> platformVoteNames { { {
    { PlatformVote::Accepted, "accepted" },
    { PlatformVote::Exhausted, "exhausted" },
    { PlatformVote::Unavailable, "unavailable" },
    { PlatformVote::OldEpoch, "old_epoch" },
} } };

struct PlatformAnswer {
    PlatformVote vote = PlatformVote::Unavailable;
    ProgramReservations reservations; // for Accepted: those that were known and those at the platform
    Roster newerRoster; // for OldEpoch
};

// Returns the roster of the platform's object, without its changes. Returns nullopt if the object could not be read,
// and logs one whose content is invalid.
std::optional<Roster> rosterOf(const StoreResult& stored);

class PlatformRecords {
public:
    PlatformRecords(ObjectStore& objectStore, Counters& counters);

    // Stores a turn. Returns whether the platform has acknowledged it.
    bool keepTurn(const StoredTurn& turn);
    TurnRead readTurn(const std::string& id, StoredTurn& turn);

    // Votes on a reservation as a replica of the roster with the epoch of the request. `known` has the program's
    // reservations that the other replicas reported. A vote with OldEpoch or Unavailable takes nothing back: the
    // reservation may count against the budget until the request is settled.
    PlatformAnswer vote(const ReserveRequest& request, const ProgramReservations& known);

    // Adds the reservation unless it would exceed the budget together with `known` and the reservations at the
    // platform. Sets `all` to both, unless it is null or the platform doesn't accept. Alone, this is no vote: the
    // roster may have changed.
    PlatformVote reserve(const Reservation& reservation, ProgramReservations known, std::uint64_t budget,
        ProgramReservations* all = nullptr);

    // Returns all reservations at the platform, or nullopt if any of them can't be read.
    std::optional<std::vector<Reservation>> reservations();

    // Passes all readable turns at the platform to `visitTurn`, which may take long, one after the other. Returns false
    // if the platform doesn't respond.
    bool visitTurns(const std::function<void(StoredTurn turn)>& visitTurn);

    void removeTurn(const std::string& id);
    // Removes the objects of programs whose reservations at the platform have all expired, unless `isInUse` returns
    // true: the program may have later reservations on the disks of the members.
    void removeExpiredBudgets(std::int64_t nowUnixMillis, const std::function<bool(const std::string&)>& isInUse);

private:
    struct ListedObject {
        std::string key;
        std::uint64_t version = 0;
        std::optional<RecordResponse> records; // nullopt if the object can't be decoded
    };

    // Returns false if the platform doesn't respond.
    bool visit(std::string_view prefix, const std::function<void(ListedObject object)>& visitObject);

    ObjectStore& store;
    Counter& turnsKept;
    Counter& votes;
    Counter& removed;
};

} // namespace lovagecross
