#include "lovagecross/records/RecordMessages.h"

#include "lovagecross/records/records.pb.h"

#include <limits>

namespace lovagecross {

namespace {

void write(const StoredTurn& turn, proto::Turn* out)
{
    out->set_id(turn.id);
    out->set_previous(turn.previous);
    out->set_input(turn.input);
    out->set_output(turn.output);
    out->set_group(turn.group);
    out->set_expires_unix_millis(turn.expiresUnixMillis);
}

StoredTurn read(const proto::Turn& in)
{
    return { in.id(), in.previous(), in.input(), in.output(), in.group(), in.expires_unix_millis() };
}

void write(const Reservation& reservation, proto::Reservation* out)
{
    out->set_program(reservation.program);
    out->set_request_id(reservation.requestId);
    out->set_tokens(reservation.tokens);
    out->set_settled(reservation.settled);
    out->set_expires_unix_millis(reservation.expiresUnixMillis);
    out->set_stream_version(reservation.origin.softwareVersion);
    out->set_stream_revision(reservation.origin.revision);
    out->set_stream_service(reservation.origin.service);
}

Reservation read(const proto::Reservation& in)
{
    return { in.program(), in.request_id(), in.tokens(), in.settled(), in.expires_unix_millis(),
        { in.stream_version(), in.stream_revision(), in.stream_service() } };
}

void writeMembers(
    const std::vector<RosterMember>& members, google::protobuf::RepeatedPtrField<proto::RecordMember>& out)
{
    for (const RosterMember& member : members) {
        proto::RecordMember* entry = out.Add();
        entry->set_node(member.node);
        entry->set_disk(member.disk);
        entry->set_address(member.address);
        entry->set_data_centre(member.dataCentre);
    }
}

std::vector<RosterMember> readMembers(const google::protobuf::RepeatedPtrField<proto::RecordMember>& in)
{
    std::vector<RosterMember> members;
    for (const proto::RecordMember& member : in)
        members.push_back({ member.node(), member.disk(), member.address(), member.data_centre() });
    return members;
}

void write(const Roster& roster, proto::RecordRoster* out)
{
    out->set_epoch(roster.epoch);
    writeMembers(roster.members, *out->mutable_members());
    for (const RosterChange& change : roster.changes) {
        proto::RosterChange* entry = out->add_changes();
        entry->set_epoch(change.epoch);
        for (const std::string& node : change.added)
            entry->add_added(node);
        writeMembers(change.removed, *entry->mutable_removed());
    }
}

Roster read(const proto::RecordRoster& in)
{
    Roster roster { in.epoch(), readMembers(in.members()), {} };
    for (const proto::RosterChange& change : in.changes())
        roster.changes.push_back(
            { change.epoch(), { change.added().begin(), change.added().end() }, readMembers(change.removed()) });
    return roster;
}

FillRequest read(const proto::Fill& in)
{
    FillRequest request { in.after(), { in.node(), read(in.target()), {} } };
    for (const proto::RecordRoster& roster : in.held())
        request.filter.alreadyHeld.push_back(read(roster));
    return request;
}

ConfirmExpiryRequest read(const proto::ConfirmExpiry& in)
{
    ConfirmExpiryRequest request;
    request.epoch = in.epoch();
    for (const proto::ExpiringTurn& turn : in.turns())
        request.expired.turns.push_back({ turn.id(), turn.group() });
    for (const std::string& program : in.programs())
        request.expired.programs.push_back(program);
    return request;
}

struct RequestWriter {
    proto::RecordRequest& out;

    void operator()(const StoreTurnRequest& request) const
    {
        this->out.mutable_store_turn()->set_epoch(request.epoch);
        write(request.turn, this->out.mutable_store_turn()->mutable_turn());
    }
    void operator()(const ReadChainRequest& request) const { this->out.mutable_read_chain()->set_id(request.id); }
    void operator()(const ReserveRequest& request) const
    {
        this->out.mutable_reserve()->set_epoch(request.epoch);
        this->out.mutable_reserve()->set_budget(request.budget);
        this->out.mutable_reserve()->set_turn_bytes(request.turnBytes);
        this->out.mutable_reserve()->set_continues_turn(request.continuesTurn);
        write(request.reservation, this->out.mutable_reserve()->mutable_reservation());
    }
    void operator()(const SettleRequest& request) const
    {
        write(request.reservation, this->out.mutable_settle()->mutable_reservation());
    }
    void operator()(const AdoptRequest& request) const
    {
        write(request.roster, this->out.mutable_adopt()->mutable_roster());
    }
    void operator()(const FillRequest& request) const
    {
        proto::Fill& fill = *this->out.mutable_fill();
        fill.set_after(request.after);
        fill.set_node(request.filter.node);
        write(request.filter.target, fill.mutable_target());
        for (const Roster& roster : request.filter.alreadyHeld)
            write(roster, fill.add_held());
    }
    void operator()(const InspectRequest&) const { this->out.mutable_inspect(); }
    void operator()(const ConfirmExpiryRequest& request) const
    {
        proto::ConfirmExpiry& confirm = *this->out.mutable_confirm_expiry();
        confirm.set_epoch(request.epoch);
        for (const ExpiringTurn& turn : request.expired.turns) {
            proto::ExpiringTurn* entry = confirm.add_turns();
            entry->set_id(turn.id);
            entry->set_group(turn.group);
        }
        for (const std::string& program : request.expired.programs)
            confirm.add_programs(program);
    }
};

template <typename Message> bool parse(std::string_view bytes, Message& message)
{
    return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max())
        && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encodeRecordRequest(const RecordRequest& request)
{
    proto::RecordRequest out;
    std::visit(RequestWriter { out }, request);
    return out.SerializeAsString();
}

std::optional<RecordRequest> decodeRecordRequest(std::string_view bytes)
{
    proto::RecordRequest in;
    if (!parse(bytes, in))
        return std::nullopt;
    switch (in.kind_case()) {
    case proto::RecordRequest::kStoreTurn:
        return StoreTurnRequest { in.store_turn().epoch(), read(in.store_turn().turn()) };
    case proto::RecordRequest::kReadChain:
        return ReadChainRequest { in.read_chain().id() };
    case proto::RecordRequest::kReserve:
        return ReserveRequest { in.reserve().epoch(), read(in.reserve().reservation()), in.reserve().budget(),
            in.reserve().turn_bytes(), in.reserve().continues_turn() };
    case proto::RecordRequest::kSettle:
        return SettleRequest { read(in.settle().reservation()) };
    case proto::RecordRequest::kAdopt:
        return AdoptRequest { read(in.adopt().roster()) };
    case proto::RecordRequest::kFill:
        return read(in.fill());
    case proto::RecordRequest::kInspect:
        return InspectRequest {};
    case proto::RecordRequest::kConfirmExpiry:
        return read(in.confirm_expiry());
    default:
        return std::nullopt;
    }
}

std::string encodeRecordResponse(const RecordResponse& response)
{
    proto::RecordResponse out;
    out.set_status(static_cast<std::uint32_t>(response.status));
    if (response.roster)
        write(*response.roster, out.mutable_roster());
    out.set_complete(response.complete);
    for (const StoredTurn& turn : response.turns)
        write(turn, out.add_turns());
    for (const Reservation& reservation : response.reservations)
        write(reservation, out.add_reservations());
    out.set_reached_start(response.reachedStart);
    out.set_next(response.next);
    out.set_last(response.last);
    out.set_session(response.session);
    out.set_filled_epoch(response.filledEpoch);
    for (std::uint64_t epoch : response.filledEpochs)
        out.add_filled_epochs(epoch);
    out.set_disk(response.disk);
    for (bool confirmed : response.turnsConfirmed)
        out.add_turns_confirmed(confirmed);
    for (bool confirmed : response.programsConfirmed)
        out.add_programs_confirmed(confirmed);
    out.set_full(response.full);
    return out.SerializeAsString();
}

std::optional<RecordResponse> decodeRecordResponse(std::string_view bytes)
{
    proto::RecordResponse in;
    if (!parse(bytes, in) || in.status() > static_cast<std::uint32_t>(RecordStatus::Absent))
        return std::nullopt;
    RecordResponse response;
    response.status = static_cast<RecordStatus>(in.status());
    if (in.has_roster())
        response.roster = read(in.roster());
    response.complete = in.complete();
    for (const proto::Turn& turn : in.turns())
        response.turns.push_back(read(turn));
    for (const proto::Reservation& reservation : in.reservations())
        response.reservations.push_back(read(reservation));
    response.reachedStart = in.reached_start();
    response.next = in.next();
    response.last = in.last();
    response.session = in.session();
    response.filledEpoch = in.filled_epoch();
    response.filledEpochs.assign(in.filled_epochs().begin(), in.filled_epochs().end());
    response.disk = in.disk();
    response.turnsConfirmed.assign(in.turns_confirmed().begin(), in.turns_confirmed().end());
    response.programsConfirmed.assign(in.programs_confirmed().begin(), in.programs_confirmed().end());
    response.full = in.full();
    return response;
}

std::optional<RecordResponse> recordResponseOf(const PeerResult& result)
{
    const auto* reply = std::get_if<RecordReply>(&result.answer);
    if (result.status != PeerStatus::Ok || reply == nullptr)
        return std::nullopt;
    return decodeRecordResponse(reply->content);
}

std::string encodeLoggedEntry(const LoggedEntry& entry)
{
    proto::LogEntry out;
    if (const auto* turn = std::get_if<StoredTurn>(&entry))
        write(*turn, out.mutable_turn());
    else if (const auto* reservation = std::get_if<Reservation>(&entry))
        write(*reservation, out.mutable_reservation());
    else {
        const auto& progress = std::get<ReplicaProgress>(entry);
        write(progress.roster, out.mutable_progress()->mutable_roster());
        for (std::uint64_t epoch : progress.filledEpochs)
            out.mutable_progress()->add_filled_epochs(epoch);
    }
    return out.SerializeAsString();
}

std::optional<LoggedEntry> decodeLoggedEntry(std::string_view bytes)
{
    proto::LogEntry in;
    if (!parse(bytes, in))
        return std::nullopt;
    if (in.has_turn())
        return read(in.turn());
    if (in.has_reservation())
        return read(in.reservation());
    if (in.has_progress()) {
        const auto& epochs = in.progress().filled_epochs();
        return ReplicaProgress { read(in.progress().roster()), { epochs.begin(), epochs.end() } };
    }
    if (in.has_roster()) // an earlier version did not log fills
        return ReplicaProgress { read(in.roster()), { in.roster().epoch() } };
    return std::nullopt;
}

} // namespace lovagecross
