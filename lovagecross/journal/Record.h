#pragma once

// Record types of a shard's journal. A program's state is the result of applying its records in order
// (`program/ProgramState.h`). The journal (`journal/Journal.h`) makes the records durable.
//
// Thread safety: plain values.

#include "lovagecross/base/Ids.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lovagecross {

enum class CallKind {
    Model,
    Service,
};

inline constexpr NameTable<CallKind, 2> callKindNames { { {
    { CallKind::Model, "model" },
    { CallKind::Service, "service" },
} } };

enum class CallOutcome {
    Succeeded,
    Failed, // the backend server ran the call and returned an error
    Unknown, // a non-idempotent call was sent and got no answer, so it may or may not have run
    NotRun,
};

inline constexpr NameTable<CallOutcome, 4> callOutcomeNames { { {
    { CallOutcome::Succeeded, "succeeded" },
    { CallOutcome::Failed, "failed" },
    { CallOutcome::Unknown, "unknown" },
    { CallOutcome::NotRun, "not_run" },
} } };

struct ProgramCreated {
    ProgramId program;
    std::string creationRequestId; // a repeated create request with this id returns the same program
    std::string tenant;
    std::string rank;
    std::uint64_t budgetTokens = 0;
    std::uint64_t ceilingTokens = 0; // tokens that may be spent before a record with a higher ceiling is needed
    std::uint32_t maxTurns = 0;
    std::int64_t deadlineUnixMillis = 0; // 0 if the program has no deadline
};

// Raises the number of tokens that may be spent before a further record is needed.
struct CeilingRaised {
    ProgramId program;
    std::uint64_t ceilingTokens = 0;
};

// Must be durable before a non-idempotent call is sent.
struct CallIntent {
    ProgramId program;
    std::string requestId;
    std::string bodyDigest;
    CallKind kind = CallKind::Service;
    std::uint64_t reservedTokens = 0;
};

// The result of a call, which forms one turn of the program's history.
struct CallFinished {
    ProgramId program;
    std::string requestId;
    std::string bodyDigest;
    CallKind kind = CallKind::Model;
    CallOutcome outcome = CallOutcome::Succeeded;
    std::string target; // model or service name
    std::string backendServer;
    std::string request; // JSON as sent by the caller
    std::string answer; // JSON or text as returned to the caller
    std::uint64_t costTokens = 0;
    std::uint64_t ceilingTokens = 0; // the program's new ceiling, for the next call
};

struct ProgramEnded {
    ProgramId program;
    std::string reason;
};

// The backend server confirmed that it keeps no more state of the ended program.
struct SessionReleased {
    ProgramId program;
    std::string backendServer;
};

// Last record of a generation; no record may follow it. The journal continues in `nextGeneration` once the snapshot at
// the start of that generation is complete.
struct Seal {
    std::uint64_t epoch = 0;
    NodeIncarnation holder;
    std::uint32_t nextGeneration = 0;
};

// Marks the end of the snapshot at the start of a generation. A generation with this record is complete.
struct SnapshotEnd {
    std::uint64_t programs = 0; // number of programs in the snapshot, verified during recovery
};

// A turn in a ProgramSnapshot. Has the fields of CallFinished that describe the turn.
struct TurnSnapshot {
    std::string requestId;
    std::string bodyDigest;
    CallKind kind = CallKind::Model;
    CallOutcome outcome = CallOutcome::Succeeded;
    std::string target;
    std::string backendServer;
    std::string request;
    std::string answer;
    std::uint64_t costTokens = 0;
};

// A program's state or a part of it. A program whose turns don't fit one batch is written as several of these records,
// each with the turns that follow those of the previous record.
struct ProgramSnapshot {
    ProgramCreated created;
    std::uint64_t spentTokens = 0;
    std::uint64_t ceilingTokens = 0;
    bool ended = false;
    std::string endReason;
    std::vector<std::string> openSessions; // backend servers that may still use engine memory for the program
    std::vector<CallIntent> openIntents;
    std::uint32_t firstTurn = 0; // index of turns[0] in the program's history
    std::vector<TurnSnapshot> turns;
};

using Record = std::variant<ProgramCreated, CeilingRaised, CallIntent, CallFinished, ProgramEnded, SessionReleased,
    Seal, SnapshotEnd, ProgramSnapshot>;

} // namespace lovagecross
