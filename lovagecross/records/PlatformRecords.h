#pragma once

// Records that lie at the platform, because too few record nodes can take them: kept turns, and reservations of token
// budgets.
//
//     if (platform.keepTurn(turn)) ...
//     PlatformVote vote = platform.reserve(reservation, known, budget);
//
// While an even number of record nodes is left (fewer than 2 * machines + 1), the platform is one more replica of every
// budget: with two nodes left, the loss of one would otherwise end all grants. Each program has one object there, which
// is changed by conditional update.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/records/RecordTable.h"

#include <cstdint>
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
    Exhausted, // the budget does not hold the tokens
    Unavailable, // nothing may be granted; the reservation may count all the same
};

inline constexpr NameTable<PlatformVote, 3> platformVoteNames { { {
    { PlatformVote::Accepted, "accepted" },
    { PlatformVote::Exhausted, "exhausted" },
    { PlatformVote::Unavailable, "unavailable" },
} } };

class PlatformRecords {
public:
    PlatformRecords(ObjectStore& objectStore, Counters& counters);

    // True once the platform has acknowledged it.
    bool keepTurn(const StoredTurn& turn);
    TurnRead readTurn(const std::string& id, StoredTurn& turn);

    // Adds the reservation unless the budget would be exceeded by `known` and by what lies at the platform together.
    PlatformVote reserve(const Reservation& reservation, ProgramReservations known, std::uint64_t budget);

    // Every reservation at the platform; nullopt when not all can be read.
    std::optional<std::vector<Reservation>> reservations();

    // Every turn at the platform; nullopt when they can't be read.
    std::optional<std::vector<StoredTurn>> turns();

    void removeTurn(const std::string& id);
    void removeExpiredBudgets(std::int64_t nowUnixMillis);

private:
    struct Listed {
        std::string key;
        std::uint64_t version = 0;
        std::optional<RecordResponse> records; // nullopt: they can't be read
    };

    // nullopt when the platform doesn't answer.
    std::optional<std::vector<Listed>> list(std::string_view prefix);

    ObjectStore& store;
    Counter& turnsKept;
    Counter& votes;
    Counter& removed;
};

} // namespace lovagecross
