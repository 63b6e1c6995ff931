#include "lovagecross/program/ProgramState.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>
#include <variant>

namespace lovagecross {

namespace {

constexpr std::size_t approximateNodeBytes = 64; // approximate size of a map or hash table node with a string key

std::uint64_t saturatingAdd(std::uint64_t left, std::uint64_t right)
{
    constexpr std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max();
    return left > maxValue - right ? maxValue : left + right;
}

std::uint64_t reservedTokens(const ProgramState& state)
{
    std::uint64_t sum = 0;
    for (const auto& [requestId, intent] : state.openIntents)
        sum = saturatingAdd(sum, intent.reservedTokens);
    return sum;
}

bool isEmpty(const ProgramState& state)
{
    return state.created.program == ProgramId {};
}

boost::leaf::error_id corrupt(const ProgramId& program, const std::string& what)
{
    return fail(ErrorCode::CorruptData, "program " + program.toString(), what);
}

Admission refuse(ErrorCode code, std::string field, std::string message, RunState run = RunState::NotRun)
{
    Admission admission;
    admission.error = Error { code, std::move(message), std::move(field), run, Duration(0) };
    return admission;
}

TurnSnapshot turnOf(const CallFinished& record)
{
    return TurnSnapshot { record.requestId, record.bodyDigest, record.kind, record.outcome, record.target,
        record.backendServer, record.request, record.answer, record.costTokens };
}

std::size_t turnBytes(const TurnSnapshot& turn)
{
    return sizeof(TurnSnapshot) + turn.requestId.size() + turn.bodyDigest.size() + turn.target.size()
        + turn.backendServer.size() + turn.request.size() + turn.answer.size();
}

void addTurn(ProgramState& state, TurnSnapshot turn)
{
    state.turnByRequestId.emplace(turn.requestId, state.turns.size());
    state.turns.push_back(std::move(turn));
}

Result<void> apply(ProgramState& state, const ProgramCreated& record)
{
    if (!isEmpty(state))
        return corrupt(record.program, "created twice");
    if (record.ceilingTokens > record.budgetTokens)
        return corrupt(record.program, "created with a ceiling above the budget");
    state = ProgramState(record);
    return {};
}

Result<void> apply(ProgramState& state, const CeilingRaised& record)
{
    if (state.ended)
        return corrupt(record.program, "ceiling raised after the end");
    if (record.ceilingTokens < state.ceilingTokens)
        return corrupt(record.program, "ceiling lowered by CeilingRaised");
    if (record.ceilingTokens > state.created.budgetTokens)
        return corrupt(record.program, "ceiling raised above the budget");
    state.ceilingTokens = record.ceilingTokens;
    return {};
}

Result<void> apply(ProgramState& state, const CallIntent& record)
{
    if (state.ended)
        return corrupt(record.program, "intent after the end");
    if (record.requestId.empty())
        return corrupt(record.program, "intent without a request id");
    if (state.turnByRequestId.contains(record.requestId) || state.openIntents.contains(record.requestId))
        return corrupt(record.program, "second intent of request " + record.requestId);
    std::uint64_t committed = saturatingAdd(state.spentTokens, reservedTokens(state));
    if (saturatingAdd(committed, record.reservedTokens) > state.ceilingTokens)
        return corrupt(record.program, "intent of request " + record.requestId + " reserves above the ceiling");
    state.openIntents.emplace(record.requestId, record);
    return {};
}

Result<void> checkFinished(const ProgramState& state, const CallFinished& record)
{
    std::uint64_t spent = saturatingAdd(state.spentTokens, record.costTokens);
    if (spent > state.ceilingTokens)
        return corrupt(record.program, "request " + record.requestId + " costs more than the ceiling allows");
    if (record.ceilingTokens > state.created.budgetTokens)
        return corrupt(record.program, "ceiling above the budget after request " + record.requestId);
    if (!record.requestId.empty() && state.turnByRequestId.contains(record.requestId))
        return corrupt(record.program, "request " + record.requestId + " finished twice");
    auto intent = state.openIntents.find(record.requestId);
    if (intent != state.openIntents.end() && intent->second.bodyDigest != record.bodyDigest)
        return corrupt(record.program, "request " + record.requestId + " finished with another body than its intent");
    return {};
}

Result<void> apply(ProgramState& state, const CallFinished& record)
{
    if (auto result = checkFinished(state, record); !result)
        return result.error();
    state.openIntents.erase(record.requestId);
    state.spentTokens += record.costTokens;
    std::uint64_t committed = saturatingAdd(state.spentTokens, reservedTokens(state));
    state.ceilingTokens = std::min(state.created.budgetTokens, std::max(record.ceilingTokens, committed));
    if (record.requestId.empty() || record.outcome == CallOutcome::NotRun)
        return {};
    if (record.kind == CallKind::Model && !record.backendServer.empty())
        state.openSessions.insert(record.backendServer);
    addTurn(state, turnOf(record));
    return {};
}

Result<void> apply(ProgramState& state, const ProgramEnded& record)
{
    if (state.ended)
        return corrupt(record.program, "ended twice");
    state.ended = true;
    state.endReason = record.reason;
    return {};
}

Result<void> apply(ProgramState& state, const SessionReleased& record)
{
    state.openSessions.erase(record.backendServer);
    return {};
}

ProgramState stateOf(const ProgramSnapshot& record)
{
    ProgramState state(record.created);
    state.spentTokens = record.spentTokens;
    state.ceilingTokens = record.ceilingTokens;
    state.ended = record.ended;
    state.endReason = record.endReason;
    state.openSessions.insert(record.openSessions.begin(), record.openSessions.end());
    for (const CallIntent& intent : record.openIntents)
        state.openIntents.emplace(intent.requestId, intent);
    return state;
}

Result<void> checkSnapshot(const ProgramState& state, const ProgramSnapshot& record)
{
    const ProgramId& program = record.created.program;
    if (record.ceilingTokens > record.created.budgetTokens || record.spentTokens > record.ceilingTokens)
        return corrupt(program, "snapshot with spending above the ceiling or the budget");
    if (record.firstTurn != state.turns.size())
        return corrupt(program, "snapshot part starts at the wrong turn");
    if (isEmpty(state))
        return {};
    if (record.firstTurn == 0)
        return corrupt(program, "second first part of a snapshot");
    if (record.spentTokens != state.spentTokens || record.ceilingTokens != state.ceilingTokens
        || record.ended != state.ended)
        return corrupt(program, "parts of a snapshot differ");
    return {};
}

Result<void> checkSnapshotTurns(const ProgramState& state, const ProgramSnapshot& record)
{
    std::set<std::string> ids;
    for (const TurnSnapshot& turn : record.turns) {
        if (state.turnByRequestId.contains(turn.requestId) || !ids.insert(turn.requestId).second)
            return corrupt(record.created.program, "request " + turn.requestId + " is twice in the snapshot");
    }
    return {};
}

Result<void> apply(ProgramState& state, const ProgramSnapshot& record)
{
    if (auto result = checkSnapshot(state, record); !result)
        return result.error();
    if (auto result = checkSnapshotTurns(state, record); !result)
        return result.error();
    if (isEmpty(state))
        state = stateOf(record);
    for (const TurnSnapshot& turn : record.turns)
        addTurn(state, turn);
    return {};
}

Result<void> apply(ProgramState& state, const Seal&)
{
    return corrupt(state.created.program, "seal applied to a program");
}

Result<void> apply(ProgramState& state, const SnapshotEnd&)
{
    return corrupt(state.created.program, "end of snapshot applied to a program");
}

// Returns the program that a record belongs to, or nullptr for a record that concerns the whole journal.
const ProgramId* programOf(const Record& record)
{
    return std::visit(
        [](const auto& typed) -> const ProgramId* {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, Seal> || std::is_same_v<Type, SnapshotEnd>)
                return nullptr;
            else if constexpr (std::is_same_v<Type, ProgramSnapshot>)
                return &typed.created.program;
            else
                return &typed.program;
        },
        record);
}

bool startsProgram(const Record& record)
{
    return std::holds_alternative<ProgramCreated>(record) || std::holds_alternative<ProgramSnapshot>(record);
}

Result<void> applyToTable(ProgramTable& programs, const ProgramId& program, const Record& record)
{
    auto found = programs.find(program);
    if (found != programs.end())
        return applyRecord(found->second, record);
    if (!startsProgram(record))
        return corrupt(program, "record of a program that was never created");
    ProgramState state;
    if (auto result = applyRecord(state, record); !result)
        return result.error();
    programs.emplace(program, std::move(state));
    return {};
}

CallFinished finishedWithUnknownOutcome(const ProgramState& state, const CallIntent& intent)
{
    CallFinished finished;
    finished.program = state.created.program;
    finished.requestId = intent.requestId;
    finished.bodyDigest = intent.bodyDigest;
    finished.kind = intent.kind;
    finished.outcome = CallOutcome::Unknown;
    finished.costTokens = intent.reservedTokens;
    finished.ceilingTokens = state.ceilingTokens;
    return finished;
}

void settleProgram(const ProgramState& state, std::vector<Record>& records)
{
    std::uint64_t spent = state.spentTokens;
    for (const auto& [requestId, intent] : state.openIntents) {
        records.emplace_back(finishedWithUnknownOutcome(state, intent));
        spent += intent.reservedTokens;
    }
    if (state.ended || spent >= state.ceilingTokens)
        return;
    CallFinished remainder;
    remainder.program = state.created.program;
    remainder.outcome = CallOutcome::Unknown;
    remainder.costTokens = state.ceilingTokens - spent;
    remainder.ceilingTokens = state.ceilingTokens;
    records.emplace_back(std::move(remainder));
}

ProgramSnapshot firstSnapshotPart(const ProgramState& state)
{
    ProgramSnapshot part;
    part.created = state.created;
    part.spentTokens = state.spentTokens;
    part.ceilingTokens = state.ceilingTokens;
    part.ended = state.ended;
    part.endReason = state.endReason;
    part.openSessions.assign(state.openSessions.begin(), state.openSessions.end());
    for (const auto& [requestId, intent] : state.openIntents)
        part.openIntents.push_back(intent);
    return part;
}

ProgramSnapshot followingSnapshotPart(const ProgramState& state, std::size_t firstTurn)
{
    ProgramSnapshot part;
    part.created = state.created;
    part.spentTokens = state.spentTokens;
    part.ceilingTokens = state.ceilingTokens;
    part.ended = state.ended;
    part.endReason = state.endReason;
    part.firstTurn = static_cast<std::uint32_t>(firstTurn);
    return part;
}

void snapshotProgram(const ProgramState& state, std::size_t maxRecordBytes, std::vector<Record>& records)
{
    ProgramSnapshot part = firstSnapshotPart(state);
    std::size_t bytes = 0;
    for (std::size_t turn = 0; turn < state.turns.size(); ++turn) {
        std::size_t turnSize = turnBytes(state.turns[turn]);
        if (!part.turns.empty() && bytes + turnSize > maxRecordBytes) {
            records.emplace_back(std::move(part));
            part = followingSnapshotPart(state, turn);
            bytes = 0;
        }
        part.turns.push_back(state.turns[turn]);
        bytes += turnSize;
    }
    records.emplace_back(std::move(part));
}

} // namespace

ProgramState::ProgramState(const ProgramCreated& createdRecord)
    : created(createdRecord)
    , ceilingTokens(std::min(createdRecord.ceilingTokens, createdRecord.budgetTokens))
{
}

Admission admitCall(const ProgramState& state, const CallRequest& call, std::int64_t nowUnixMillis)
{
    if (auto turn = state.turnByRequestId.find(call.requestId); turn != state.turnByRequestId.end()) {
        if (state.turns[turn->second].bodyDigest != call.bodyDigest)
            return refuse(
                ErrorCode::RequestIdConflict, "requestId", "request " + call.requestId + " was made with another body");
        Admission replay;
        replay.verdict = AdmissionVerdict::Replay;
        replay.turn = turn->second;
        return replay;
    }
    if (auto intent = state.openIntents.find(call.requestId); intent != state.openIntents.end()) {
        if (intent->second.bodyDigest != call.bodyDigest)
            return refuse(
                ErrorCode::RequestIdConflict, "requestId", "request " + call.requestId + " was made with another body");
        return refuse(ErrorCode::OutcomeUnknown, "requestId",
            "request " + call.requestId + " was sent and has no recorded outcome", RunState::Unknown);
    }
    if (state.ended)
        return refuse(ErrorCode::ProgramEnded, "program", "the program has ended: " + state.endReason);
    if (state.created.maxTurns != 0 && state.turns.size() >= state.created.maxTurns)
        return refuse(ErrorCode::Forbidden, "maxTurns",
            "the program has used its " + std::to_string(state.created.maxTurns) + " turns");
    if (state.created.deadlineUnixMillis != 0 && nowUnixMillis >= state.created.deadlineUnixMillis)
        return refuse(ErrorCode::DeadlineExceeded, "deadlineMs", "the program's deadline has passed");
    std::uint64_t committed = saturatingAdd(state.spentTokens, reservedTokens(state));
    std::uint64_t needed = saturatingAdd(committed, call.maxCostTokens);
    if (needed > state.created.budgetTokens)
        return refuse(ErrorCode::BudgetExceeded, "budget.tokens",
            "the call may cost " + std::to_string(call.maxCostTokens) + " tokens and "
                + std::to_string(state.created.budgetTokens - std::min(state.created.budgetTokens, committed)) + " of "
                + std::to_string(state.created.budgetTokens) + " are left");
    Admission run;
    run.verdict = AdmissionVerdict::Run;
    run.needsCeiling = needed > state.ceilingTokens;
    run.ceilingTokens = std::max(needed, state.ceilingTokens);
    return run;
}

std::uint64_t nextCeiling(const ProgramState& state, std::uint64_t costTokens, std::uint64_t nextCostTokens)
{
    std::uint64_t spent = saturatingAdd(state.spentTokens, costTokens);
    std::uint64_t ceiling = saturatingAdd(spent, std::max(nextCostTokens, reservedTokens(state)));
    return std::min(ceiling, state.created.budgetTokens);
}

Result<void> applyRecord(ProgramState& state, const Record& record)
{
    const ProgramId* program = programOf(record);
    if (program && !isEmpty(state) && *program != state.created.program)
        return corrupt(*program, "record applied to program " + state.created.program.toString());
    if (program && isEmpty(state) && !startsProgram(record))
        return corrupt(*program, "record before the program was created");
    return std::visit([&](const auto& typed) { return apply(state, typed); }, record);
}

Result<void> applyRecords(ProgramTable& programs, const std::vector<Record>& records)
{
    bool snapshotEnded = false;
    bool sealed = false;
    for (const Record& record : records) {
        if (sealed)
            return fail(ErrorCode::CorruptData, "journal", "record after the seal");
        if (const auto* end = std::get_if<SnapshotEnd>(&record)) {
            if (snapshotEnded || end->programs != programs.size())
                return fail(ErrorCode::CorruptData, "journal",
                    "snapshot of " + std::to_string(programs.size()) + " programs ends with a count of "
                        + std::to_string(end->programs));
            snapshotEnded = true;
            continue;
        }
        if (std::holds_alternative<Seal>(record)) {
            sealed = true;
            continue;
        }
        if (snapshotEnded && std::holds_alternative<ProgramSnapshot>(record))
            return fail(ErrorCode::CorruptData, "journal", "snapshot part after the end of the snapshot");
        if (auto result = applyToTable(programs, *programOf(record), record); !result)
            return result.error();
    }
    return {};
}

std::vector<Record> resolveOpenCalls(const ProgramTable& programs)
{
    std::vector<Record> records;
    for (const auto& [program, state] : programs)
        settleProgram(state, records);
    return records;
}

std::vector<Record> snapshotRecords(const ProgramTable& programs, std::size_t maxRecordBytes)
{
    std::vector<Record> records;
    for (const auto& [program, state] : programs)
        snapshotProgram(state, maxRecordBytes, records);
    return records;
}

std::size_t memoryBytes(const ProgramState& state)
{
    std::size_t bytes = sizeof(ProgramState) + state.created.tenant.size() + state.created.rank.size()
        + state.created.creationRequestId.size() + state.endReason.size();
    for (const TurnSnapshot& turn : state.turns)
        bytes += turnBytes(turn) + turn.requestId.size() + approximateNodeBytes;
    for (const auto& [requestId, intent] : state.openIntents)
        bytes += sizeof(CallIntent) + 2 * requestId.size() + intent.bodyDigest.size() + approximateNodeBytes;
    for (const std::string& server : state.openSessions)
        bytes += server.size() + approximateNodeBytes;
    return bytes;
}

} // namespace lovagecross
