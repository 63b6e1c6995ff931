#pragma once

// Messages that nodes exchange for the record store, and their serialization (lovagecross/records/records.proto).
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/NameTable.h"
#include "lovagecross/gateway/Turns.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/records/ReplicaState.h"
#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecross {

// A kept turn with its expiry time.
struct StoredTurn {
    std::string id;
    std::string previous; // empty at the start of a conversation
    std::string input;
    std::string output;
    std::string group; // program that began the conversation; determines the replicas
    std::int64_t expiresUnixMillis = 0;
};

// Tokens of one request that count against the budget of its program, and the origin of its stream.
struct Reservation {
    std::string program;
    std::string requestId;
    std::uint64_t tokens = 0;
    bool settled = false; // if set, `tokens` is the actual usage; otherwise the maximum
    std::int64_t expiresUnixMillis = 0;
    StreamOrigin origin {}; // of the stream that the request began
};

// A node also logs each roster that it adopts, so that it doesn't return to an older one after a restart, and each fill
// that it completes, so that it goes on with one that was interrupted.
using LoggedEntry = std::variant<StoredTurn, Reservation, ReplicaProgress>;

struct StoreTurnRequest {
    std::uint64_t epoch = 0;
    StoredTurn turn;
};

struct ReadChainRequest {
    std::string id;
};

struct ReserveRequest {
    std::uint64_t epoch = 0;
    Reservation reservation;
    std::uint64_t budget = 0;
    std::uint64_t turnBytes = 0; // at most, of the turn that the request will store; 0: it stores none
    bool continuesTurn = false;
};

struct SettleRequest {
    Reservation reservation;
};

// Makes the receiver adopt a newer roster. From then on it rejects writes for an older epoch.
struct AdoptRequest {
    Roster roster;
};

// Requests the records that the filter selects, after a position in the receiver's order of arrival.
struct FillRequest {
    std::uint64_t after = 0;
    FillFilter filter;
};

struct InspectRequest { };

struct ExpiringTurn {
    std::string id;
    std::string group;
};

// Records that a node has kept for their retention time and that no record on its disk needs any more.
struct ExpiredRecords {
    std::vector<ExpiringTurn> turns;
    std::vector<std::string> programs; // whose reservations have all expired

    bool empty() const { return this->turns.empty() && this->programs.empty(); }
};

// Asks a replica whether the sender may remove expired records. The receiver may know of a later turn or reservation
// that the sender has missed.
struct ConfirmExpiryRequest {
    std::uint64_t epoch = 0;
    ExpiredRecords expired;
};

using RecordRequest = std::variant<StoreTurnRequest, ReadChainRequest, ReserveRequest, SettleRequest, AdoptRequest,
    FillRequest, InspectRequest, ConfirmExpiryRequest>;

enum class RecordStatus {
    Ok,
    OldEpoch, // the receiver has a newer roster, which is in the response
    NotReady, // the receiver is no member, lacks records or has an older roster
    Exhausted, // the request would exceed the budget
    NotStored, // the write to disk failed
    Absent,
};

inline constexpr NameTable<RecordStatus, 6> recordStatusNames { { {
    { RecordStatus::Ok, "ok" },
    { RecordStatus::OldEpoch, "old_epoch" },
    { RecordStatus::NotReady, "not_ready" },
    { RecordStatus::Exhausted, "exhausted" },
    { RecordStatus::NotStored, "not_stored" },
    { RecordStatus::Absent, "absent" },
} } };

struct RecordResponse {
    RecordStatus status = RecordStatus::NotReady;
    std::optional<Roster> roster; // the newest roster of the sender; not set in every response
    bool complete = false; // the sender holds all records of its groups
    std::vector<StoredTurn> turns; // ReadChain (newest first), Fill
    std::vector<Reservation> reservations; // Reserve (of the program's other requests), Fill
    bool reachedStart = false; // ReadChain: the last of `turns` starts the conversation
    std::uint64_t next = 0; // Fill: the position to continue from
    bool last = false; // Fill: no records after `next` at this time
    std::uint64_t session = 0; // Fill: positions are valid only within one session of the sender
    // Inspect, Fill, Reserve: the newest epoch for which the sender has fetched all records that other members held.
    std::uint64_t filledEpoch = 0;
    std::vector<std::uint64_t> filledEpochs; // Fill: all epochs for which it has, ascending
    std::uint64_t disk = 0; // Fill: identity of the sender's disk
    // ConfirmExpiry: for each turn and program of the request, whether the sender needs it no more either.
    std::vector<bool> turnsConfirmed;
    std::vector<bool> programsConfirmed;
    bool full = false; // StoreTurn, Reserve: with NotStored, there is no room for the record
};

std::string encodeRecordRequest(const RecordRequest& request);
std::optional<RecordRequest> decodeRecordRequest(std::string_view bytes);
std::string encodeRecordResponse(const RecordResponse& response);
std::optional<RecordResponse> decodeRecordResponse(std::string_view bytes);

// Decodes a peer's response to a record request. Returns nullopt if the peer didn't respond or sent something else.
std::optional<RecordResponse> recordResponseOf(const PeerResult& result);

// Serialization of one entry of a `RecordLog`.
std::string encodeLoggedEntry(const LoggedEntry& entry);
std::optional<LoggedEntry> decodeLoggedEntry(std::string_view bytes);

} // namespace lovagecross
