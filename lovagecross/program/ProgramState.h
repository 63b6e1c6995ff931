#pragma once

// The state of one program: its history, its budget and its calls. It is always the result of applying the program's
// journal records in order, both during normal operation and during recovery.
//
//     ProgramState state(created);
//     Admission admission = admitCall(state, call, nowUnixMillis);     // doesn't change the state
//     if (admission.verdict == AdmissionVerdict::Run) {
//         ... create records and append them to the journal
//         applyRecord(state, record);
//     }
//
// Spending is accounted for in two steps. The ceiling (`ceilingTokens`), which limits the total spending, is made
// durable before a call is sent; CallFinished then charges the call. A crash between the two loses the charge but not
// the ceiling, and `resolveOpenCalls` then counts everything up to the ceiling as spent. The owner must therefore never
// let a call cost more than the `maxCostTokens` it was admitted with.
//
// Thread safety: not thread-safe; the shard's lock guards the state.

#include "lovagecross/base/Error.h"
#include "lovagecross/journal/Record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecross {

struct ProgramState {
    ProgramCreated created;
    std::uint64_t spentTokens = 0;
    std::uint64_t ceilingTokens = 0; // durable spending limit, at most created.budgetTokens
    bool ended = false;
    std::string endReason;
    std::vector<TurnSnapshot> turns;
    std::unordered_map<std::string, std::size_t> turnByRequestId;
    std::map<std::string, CallIntent> openIntents; // calls without a recorded outcome, by request id
    std::set<std::string> openSessions; // backend servers that may hold engine memory for the program

    ProgramState() = default;
    explicit ProgramState(const ProgramCreated& created);
};

struct CallRequest {
    std::string requestId;
    std::string bodyDigest;
    CallKind kind = CallKind::Model;
    bool idempotent = true;
    std::uint64_t maxCostTokens = 0; // upper bound of the call's cost
};

enum class AdmissionVerdict {
    Run,
    Replay, // the call has already finished; Admission::turn is the turn that contains its answer
    Refuse,
};

struct Admission {
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    std::size_t turn = 0; // for Replay: index into ProgramState::turns
    Error error; // for Refuse
    bool needsCeiling = false; // for Run: a CeilingRaised to `ceilingTokens` must be durable before the call is sent
    std::uint64_t ceilingTokens = 0; // for Run
};

// Decides whether a call at the head of its program's queue is run, replayed or refused. Errors for refusals:
// ProgramEnded, RequestIdConflict, BudgetExceeded (spent tokens, open reservations and `maxCostTokens` together exceed
// the budget), DeadlineExceeded, Forbidden if the program has reached `maxTurns` (0: no limit), and OutcomeUnknown for
// the id of an open intent. A finished call is replayed even after the program has ended or its deadline has passed.
Admission admitCall(const ProgramState& state, const CallRequest& call, std::int64_t nowUnixMillis);

// The ceiling to record when a call finishes with a cost of `costTokens`: enough for a next call of up to
// `nextCostTokens` or for the reservations of open intents, whichever is more, but at most the budget.
std::uint64_t nextCeiling(const ProgramState& state, std::uint64_t costTokens, std::uint64_t nextCostTokens);

// Applies a record of this program. A record that belongs to another program, is out of order, or spends more than the
// ceiling violates an invariant: it is reported as CorruptData and leaves the state unchanged.
//  - ProgramCreated and the first ProgramSnapshot require an empty state.
//  - CallFinished with outcome NotRun closes its intent and adds no turn, so the caller may send the same id again.
//  - CallFinished may follow ProgramEnded for a call that was in progress; no other spending record may.
//  - If the ceiling in CallFinished is below the sum of spent and reserved tokens, that sum becomes the ceiling.
Result<void> applyRecord(ProgramState& state, const Record& record);

// All programs of a shard.
using ProgramTable = std::map<ProgramId, ProgramState>;

// Applies the records that journal recovery has read, including snapshots. Errors: CorruptData.
Result<void> applyRecords(ProgramTable& programs, const std::vector<Record>& records);

// Returns the records that a new owner writes after a takeover to close what the previous owner left open. Each open
// intent gets a CallFinished with outcome Unknown and the reservation as its cost. The remaining tokens up to the
// ceiling are charged by a CallFinished with an empty request id, because CeilingRaised can't lower the ceiling. For an
// ended program, which can't send another call, only the open intents are charged. After the records have been applied,
// another call returns none.
std::vector<Record> resolveOpenCalls(const ProgramTable& programs);

// Returns the whole table as snapshot records with at most `maxRecordBytes` of turns each; a larger turn gets a record
// of its own.
std::vector<Record> snapshotRecords(const ProgramTable& programs, std::size_t maxRecordBytes);

// Approximate memory use of the state in bytes, for limits and capacity figures.
std::size_t memoryBytes(const ProgramState& state);

} // namespace lovagecross
