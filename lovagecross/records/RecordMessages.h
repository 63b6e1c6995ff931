#pragma once

// Messages of the record store between nodes, and their bytes (lovagecross/records/records.proto).
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/NameTable.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/records/Holdings.h"
#include "lovagecross/records/Roster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecross {

// A kept turn with the time until which it must be kept.
struct StoredTurn {
    std::string id;
    std::string previous; // empty at the start of a conversation
    std::string input;
    std::string output;
    std::string group; // program that it belongs to: decides its replicas
    std::int64_t expiresUnixMillis = 0;
};

// Tokens of one turn that count against the budget of its program.
struct Reservation {
    std::string program;
    std::string requestId;
    std::uint64_t tokens = 0;
    bool settled = false; // `tokens` is what was used, no longer the most that may be used
    std::int64_t expiresUnixMillis = 0;
};

using StoredRecord = std::variant<StoredTurn, Reservation>;

// A node also logs each roster that it takes on, so that it doesn't fall back to an older one after a restart.
using LoggedEntry = std::variant<StoredTurn, Reservation, Roster>;

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
};

struct SettleRequest {
    Reservation reservation;
};

// Makes the receiver take on a newer roster; it accepts nothing for an older epoch from then on.
struct AdoptRequest {
    Roster roster;
};

// Asks for the records that the filter wants, after a position in the receiver's order of arrival.
struct FillRequest {
    std::uint64_t after = 0;
    FillFilter filter;
};

struct InspectRequest { };

using RecordRequest = std::variant<StoreTurnRequest, ReadChainRequest, ReserveRequest, SettleRequest, AdoptRequest,
    FillRequest, InspectRequest>;

enum class RecordStatus {
    Ok,
    OldEpoch, // the receiver knows a newer roster, which the response carries
    NotReady, // the receiver doesn't have every record yet that it should have
    Exhausted, // the budget doesn't hold the tokens
    NotStored, // the disk took nothing
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
    std::optional<Roster> roster; // the newest that the sender knows, where it matters
    bool complete = false; // the sender has every record that it should have
    std::vector<StoredTurn> turns; // ReadChain: the newest first; Fill
    std::vector<Reservation> reservations; // Reserve: those of the program; Fill
    bool reachedStart = false; // ReadChain: the last of `turns` starts the conversation
    std::uint64_t next = 0; // Fill: the position to go on from
    bool last = false; // Fill: nothing is left after `next` for now
    std::uint64_t session = 0; // Fill: positions hold only within one session of the sender
    std::uint64_t filledEpoch
        = 0; // Inspect, Fill, Reserve: the newest epoch for which the sender has fetched what others held
};

std::string encodeRecordRequest(const RecordRequest& request);
std::optional<RecordRequest> decodeRecordRequest(std::string_view bytes);
std::string encodeRecordResponse(const RecordResponse& response);
std::optional<RecordResponse> decodeRecordResponse(std::string_view bytes);

// What a peer has answered to a record request; nullopt when it did not, or not with a record response.
std::optional<RecordResponse> recordResponseOf(const PeerResult& result);

// One entry of a disk log.
std::string encodeLoggedEntry(const LoggedEntry& entry);
std::optional<LoggedEntry> decodeLoggedEntry(std::string_view bytes);

} // namespace lovagecross
