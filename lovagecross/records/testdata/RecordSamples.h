#pragma once

// The records and messages whose forms as written by landed commits are in record-messages-COMMIT.txt,
// record-log-COMMIT.txt and record-objects-COMMIT.txt.
//
// Thread safety: free functions without shared state.

#include "lovagecross/records/RecordMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagecross {

inline constexpr std::int64_t sampleExpiryUnixMillis = 4'102'444'800'000; // in the year 2100
inline constexpr std::uint64_t sampleBudget = 1000; // tokens of the program "p1"
inline constexpr const char* sampleNode = "n7001"; // whose log the sample is

inline Roster sampleRoster()
{
    RosterMember first { "n7001", 0x000fedcba9876543, "10.0.0.1:7001", "a" };
    RosterMember second { "n7002", 17, "10.0.0.1:7002", "b" };
    RosterMember former { "n7003", 18, "10.0.0.1:7003", "c" };
    return { 9, { first, second }, { { 8, { "n7001", "n7002" }, {} }, { 9, {}, { former } } } };
}

// Two turns of one conversation, and one of another conversation.
inline std::vector<StoredTurn> sampleTurns()
{
    return {
        { "t1", "", "in", "out\n", "p1", sampleExpiryUnixMillis },
        { "t2", "t1", "next", std::string("by\0tes\xff", 7), "p1", sampleExpiryUnixMillis + 1 },
        { "id/\xfe", "", "", "", "p2", sampleExpiryUnixMillis + 2 },
    };
}

// A settled one, one with the origin of its stream, and one of another program. The first two leave 530 tokens of the
// sample budget.
inline std::vector<Reservation> sampleReservations()
{
    return {
        { "p1", "t1", 70, true, sampleExpiryUnixMillis, {} },
        { "p1", "t2", 400, false, sampleExpiryUnixMillis, { "2.1", 2, "chat" } },
        { "p2", "t3", 5, false, sampleExpiryUnixMillis, {} },
    };
}

// By the name of their sample, one or more for each alternative.
inline std::map<std::string, RecordRequest> sampleRecordRequests()
{
    FillFilter filter { "n7001", sampleRoster(), { withoutChanges(sampleRoster()) } };
    return {
        { "store-turn", StoreTurnRequest { 9, sampleTurns()[1] } },
        { "read-chain", ReadChainRequest { "t2" } },
        { "reserve", ReserveRequest { 9, sampleReservations()[1], sampleBudget } },
        { "settle", SettleRequest { sampleReservations()[0] } },
        { "adopt", AdoptRequest { sampleRoster() } },
        { "fill", FillRequest { 77, filter } },
        { "inspect", InspectRequest {} },
        { "confirm-expiry", ConfirmExpiryRequest { 9, { { { "t1", "p1" }, { "t2", "p1" } }, { "p1", "p2" } } } },
    };
}

// By the name of their sample: responses as nodes send them, and one in which each field is set.
inline std::map<std::string, RecordResponse> sampleRecordResponses()
{
    RecordResponse stored;
    stored.status = RecordStatus::Ok;
    RecordResponse oldEpoch;
    oldEpoch.status = RecordStatus::OldEpoch;
    oldEpoch.roster = withoutChanges(sampleRoster());
    RecordResponse exhausted;
    exhausted.status = RecordStatus::Exhausted;
    exhausted.reservations = sampleReservations();
    RecordResponse absent;
    absent.status = RecordStatus::Absent;
    RecordResponse full;
    full.status = RecordStatus::NotStored;
    full.roster = sampleRoster();
    full.complete = true;
    full.turns = sampleTurns();
    full.reservations = sampleReservations();
    full.reachedStart = true;
    full.next = 78;
    full.last = true;
    full.session = 0xfedcba9876543210;
    full.filledEpoch = 9;
    full.filledEpochs = { 3, 8, 9 };
    full.disk = 0x000fedcba9876543;
    full.turnsConfirmed = { true, false };
    full.programsConfirmed = { false, true };
    return {
        { "response-stored", stored },
        { "response-not-ready", RecordResponse {} },
        { "response-old-epoch", oldEpoch },
        { "response-exhausted", exhausted },
        { "response-absent", absent },
        { "response-full", full },
    };
}

// By the name of their sample, one for each alternative.
inline std::map<std::string, LoggedEntry> sampleLoggedEntries()
{
    return {
        { "logged-turn", sampleTurns()[1] },
        { "logged-reservation", sampleReservations()[1] },
        { "logged-progress", ReplicaProgress { sampleRoster(), { 3, 8, 9 } } },
    };
}

} // namespace lovagecross
