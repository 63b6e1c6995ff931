#include "lovagecross/journal/RecordCodec.h"

#include "lovagecross/journal/journal.pb.h"

#include <utility>

namespace lovagecross::detail {

namespace {

void toProto(const ProgramId& id, journalpb::ProgramId& out)
{
    out.set_data_centre(id.shard.dataCentre);
    out.set_shard(id.shard.index);
    out.set_number(id.number);
}

void toProto(const ProgramCreated& record, journalpb::ProgramCreated& out)
{
    toProto(record.program, *out.mutable_program());
    out.set_creation_request_id(record.creationRequestId);
    out.set_tenant(record.tenant);
    out.set_rank(record.rank);
    out.set_budget_tokens(record.budgetTokens);
    out.set_ceiling_tokens(record.ceilingTokens);
    out.set_max_turns(record.maxTurns);
    out.set_deadline_unix_millis(record.deadlineUnixMillis);
}

void toProto(const CallIntent& record, journalpb::CallIntent& out)
{
    toProto(record.program, *out.mutable_program());
    out.set_request_id(record.requestId);
    out.set_body_digest(record.bodyDigest);
    out.set_kind(static_cast<std::uint32_t>(record.kind));
    out.set_reserved_tokens(record.reservedTokens);
}

// For CallFinished and TurnSnapshot, whose turn fields have the same names.
template <typename TurnRecord> void turnToProto(const TurnRecord& record, journalpb::Turn& out)
{
    out.set_request_id(record.requestId);
    out.set_body_digest(record.bodyDigest);
    out.set_kind(static_cast<std::uint32_t>(record.kind));
    out.set_outcome(static_cast<std::uint32_t>(record.outcome));
    out.set_target(record.target);
    out.set_backend_server(record.backendServer);
    out.set_request(record.request);
    out.set_answer(record.answer);
    out.set_cost_tokens(record.costTokens);
}

struct RecordEncoder {
    journalpb::Record& out;

    void operator()(const ProgramCreated& record) const { toProto(record, *this->out.mutable_program_created()); }

    void operator()(const CeilingRaised& record) const
    {
        auto& raised = *this->out.mutable_ceiling_raised();
        toProto(record.program, *raised.mutable_program());
        raised.set_ceiling_tokens(record.ceilingTokens);
    }

    void operator()(const CallIntent& record) const { toProto(record, *this->out.mutable_call_intent()); }

    void operator()(const CallFinished& record) const
    {
        auto& finished = *this->out.mutable_call_finished();
        toProto(record.program, *finished.mutable_program());
        turnToProto(record, *finished.mutable_turn());
        finished.set_ceiling_tokens(record.ceilingTokens);
    }

    void operator()(const ProgramEnded& record) const
    {
        auto& ended = *this->out.mutable_program_ended();
        toProto(record.program, *ended.mutable_program());
        ended.set_reason(record.reason);
    }

    void operator()(const SessionReleased& record) const
    {
        auto& released = *this->out.mutable_session_released();
        toProto(record.program, *released.mutable_program());
        released.set_backend_server(record.backendServer);
    }

    void operator()(const Seal& record) const
    {
        auto& seal = *this->out.mutable_seal();
        seal.set_epoch(record.epoch);
        seal.mutable_holder()->set_node(record.holder.node);
        seal.mutable_holder()->set_incarnation(record.holder.incarnation);
        seal.set_next_generation(record.nextGeneration);
    }

    void operator()(const SnapshotEnd& record) const
    {
        this->out.mutable_snapshot_end()->set_programs(record.programs);
    }

    void operator()(const ProgramSnapshot& record) const
    {
        auto& snapshot = *this->out.mutable_program_snapshot();
        toProto(record.created, *snapshot.mutable_created());
        snapshot.set_spent_tokens(record.spentTokens);
        snapshot.set_ceiling_tokens(record.ceilingTokens);
        snapshot.set_ended(record.ended);
        snapshot.set_end_reason(record.endReason);
        for (const std::string& session : record.openSessions)
            snapshot.add_open_sessions(session);
        for (const CallIntent& intent : record.openIntents)
            toProto(intent, *snapshot.add_open_intents());
        snapshot.set_first_turn(record.firstTurn);
        for (const TurnSnapshot& turn : record.turns)
            turnToProto(turn, *snapshot.add_turns());
    }
};

template <typename Enum, std::size_t count>
bool enumFromProto(std::uint32_t number, const NameTable<Enum, count>&, Enum& out)
{
    if (number >= count)
        return false;
    out = static_cast<Enum>(number);
    return true;
}

ProgramId fromProto(const journalpb::ProgramId& in)
{
    return { { in.data_centre(), in.shard() }, in.number() };
}

ProgramCreated fromProto(const journalpb::ProgramCreated& in)
{
    ProgramCreated record;
    record.program = fromProto(in.program());
    record.creationRequestId = in.creation_request_id();
    record.tenant = in.tenant();
    record.rank = in.rank();
    record.budgetTokens = in.budget_tokens();
    record.ceilingTokens = in.ceiling_tokens();
    record.maxTurns = in.max_turns();
    record.deadlineUnixMillis = in.deadline_unix_millis();
    return record;
}

std::optional<CallIntent> fromProto(const journalpb::CallIntent& in)
{
    CallIntent record;
    record.program = fromProto(in.program());
    record.requestId = in.request_id();
    record.bodyDigest = in.body_digest();
    record.reservedTokens = in.reserved_tokens();
    if (!enumFromProto(in.kind(), callKindNames, record.kind))
        return std::nullopt;
    return record;
}

template <typename TurnRecord> bool turnFromProto(journalpb::Turn& in, TurnRecord& record)
{
    record.requestId = std::move(*in.mutable_request_id());
    record.bodyDigest = std::move(*in.mutable_body_digest());
    record.target = std::move(*in.mutable_target());
    record.backendServer = std::move(*in.mutable_backend_server());
    record.request = std::move(*in.mutable_request());
    record.answer = std::move(*in.mutable_answer());
    record.costTokens = in.cost_tokens();
    return enumFromProto(in.kind(), callKindNames, record.kind)
        && enumFromProto(in.outcome(), callOutcomeNames, record.outcome);
}

std::optional<Record> fromProto(journalpb::CallFinished& in)
{
    CallFinished record;
    record.program = fromProto(in.program());
    record.ceilingTokens = in.ceiling_tokens();
    if (!turnFromProto(*in.mutable_turn(), record))
        return std::nullopt;
    return record;
}

std::optional<Record> fromProto(journalpb::ProgramSnapshot& in)
{
    ProgramSnapshot record;
    record.created = fromProto(in.created());
    record.spentTokens = in.spent_tokens();
    record.ceilingTokens = in.ceiling_tokens();
    record.ended = in.ended();
    record.endReason = in.end_reason();
    record.openSessions.assign(in.open_sessions().begin(), in.open_sessions().end());
    for (const journalpb::CallIntent& intent : in.open_intents()) {
        std::optional<CallIntent> decoded = fromProto(intent);
        if (!decoded)
            return std::nullopt;
        record.openIntents.push_back(std::move(*decoded));
    }
    record.firstTurn = in.first_turn();
    record.turns.resize(static_cast<std::size_t>(in.turns_size()));
    for (int i = 0; i < in.turns_size(); ++i) {
        if (!turnFromProto(*in.mutable_turns(i), record.turns[static_cast<std::size_t>(i)]))
            return std::nullopt;
    }
    return record;
}

std::optional<Record> fromProto(journalpb::Record& in)
{
    switch (in.record_case()) {
    case journalpb::Record::kProgramCreated:
        return fromProto(in.program_created());
    case journalpb::Record::kCeilingRaised:
        return CeilingRaised { fromProto(in.ceiling_raised().program()), in.ceiling_raised().ceiling_tokens() };
    case journalpb::Record::kCallIntent:
        return fromProto(in.call_intent());
    case journalpb::Record::kCallFinished:
        return fromProto(*in.mutable_call_finished());
    case journalpb::Record::kProgramEnded:
        return ProgramEnded { fromProto(in.program_ended().program()), in.program_ended().reason() };
    case journalpb::Record::kSessionReleased:
        return SessionReleased { fromProto(in.session_released().program()), in.session_released().backend_server() };
    case journalpb::Record::kSeal:
        return Seal { in.seal().epoch(), { in.seal().holder().node(), in.seal().holder().incarnation() },
            in.seal().next_generation() };
    case journalpb::Record::kSnapshotEnd:
        return SnapshotEnd { in.snapshot_end().programs() };
    case journalpb::Record::kProgramSnapshot:
        return fromProto(*in.mutable_program_snapshot());
    case journalpb::Record::RECORD_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encodeRecord(const Record& record)
{
    journalpb::Record out;
    std::visit(RecordEncoder { out }, record);
    return out.SerializeAsString();
}

std::optional<Record> decodeRecord(std::string_view bytes)
{
    journalpb::Record in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return fromProto(in);
}

} // namespace lovagecross::detail
