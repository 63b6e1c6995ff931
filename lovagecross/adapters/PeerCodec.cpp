#include "lovagecross/adapters/PeerCodec.h"

#include "lovagecross/adapters/PeerDirectoryCodec.h"
#include "lovagecross/adapters/PeerQuotaCodec.h"
#include "lovagecross/config/Address.h"

#include "lovagecross/proto/peer.pb.h"

#include <algorithm>
#include <limits>

namespace lovagecross::detail {

namespace {

// The overloads for parts of messages, which those of this file would hide.
using detail::read;
using detail::write;

constexpr std::size_t maxPathBytes = 512;
constexpr int maxBatches = 4096; // in one BridgeCopies message

void write(const ShardId& shard, proto::Shard* out)
{
    out->set_data_centre(shard.dataCentre);
    out->set_index(shard.index);
}

bool read(const proto::Shard& in, ShardId& shard)
{
    shard.dataCentre = in.data_centre();
    shard.index = in.index();
    return isValidName(shard.dataCentre) && shard.index < maxShardsPerDataCentre;
}

void write(const NodeIncarnation& node, proto::Incarnation* out)
{
    out->set_node(node.node);
    out->set_incarnation(node.incarnation);
}

// An empty node name is valid and means that there is no node.
bool read(const proto::Incarnation& in, NodeIncarnation& node)
{
    node.node = in.node();
    node.incarnation = in.incarnation();
    return node.node.empty() || isValidName(node.node);
}

void write(const BridgeBatch& batch, proto::BridgeBatch* out)
{
    write(batch.shard, out->mutable_shard());
    out->set_epoch(batch.epoch);
    out->set_generation(batch.generation);
    out->set_sequence(batch.sequence);
    out->set_content(batch.bytes);
}

bool read(const proto::BridgeBatch& in, BridgeBatch& batch)
{
    batch.epoch = in.epoch();
    batch.generation = in.generation();
    batch.sequence = in.sequence();
    batch.bytes = in.content();
    return read(in.shard(), batch.shard);
}

void write(const MemberEntry& entry, proto::MemberEntry* out)
{
    write(entry.node, out->mutable_node());
    out->set_data_centre(entry.dataCentre);
    out->set_heartbeat(entry.heartbeat);
    out->set_peer_address(entry.peerAddress);
    out->set_caller_address(entry.callerAddress);
    out->set_admin_address(entry.adminAddress);
    out->set_config_version(entry.configVersion);
    out->set_draining(entry.draining);
    for (const HeldShard& shard : entry.shards) {
        proto::HeldShard* held = out->add_shards();
        held->set_index(shard.index);
        held->set_epoch(shard.epoch);
    }
}

bool read(const proto::MemberEntry& in, MemberEntry& entry)
{
    entry.dataCentre = in.data_centre();
    entry.heartbeat = in.heartbeat();
    entry.peerAddress = in.peer_address();
    entry.callerAddress = in.caller_address();
    entry.adminAddress = in.admin_address();
    entry.configVersion = in.config_version();
    entry.draining = in.draining();
    for (const proto::HeldShard& held : in.shards())
        entry.shards.push_back({ held.index(), held.epoch() });
    return read(in.node(), entry.node) && !entry.node.empty() && isValidName(entry.dataCentre)
        && isAddressText(entry.peerAddress) && isAddressText(entry.callerAddress) && isAddressText(entry.adminAddress)
        && entry.shards.size() <= maxShardsPerDataCentre;
}

void write(const Gossip& gossip, proto::Gossip* out)
{
    for (const MemberEntry& entry : gossip.entries)
        write(entry, out->add_entries());
}

bool read(const proto::Gossip& in, Gossip& gossip)
{
    if (in.entries_size() > static_cast<int>(maxGossipEntries))
        return false;
    gossip.entries.resize(static_cast<std::size_t>(in.entries_size()));
    for (int i = 0; i < in.entries_size(); ++i) {
        if (!read(in.entries(i), gossip.entries[static_cast<std::size_t>(i)]))
            return false;
    }
    return true;
}

bool read(const proto::ForwardRequest& in, ForwardRequest& request)
{
    if (!proto::ForwardKind_IsValid(in.kind()))
        return false;
    request.kind = static_cast<ForwardKind>(in.kind());
    request.program = in.program();
    request.requestId = in.request_id();
    request.tenant = in.tenant();
    request.path = in.path();
    request.bodyJson = in.body_json();
    request.hops = in.hops();
    return read(in.shard(), request.shard) && request.program.size() <= maxIdBytes
        && request.requestId.size() <= maxIdBytes && request.tenant.size() <= maxIdBytes
        && request.path.size() <= maxPathBytes;
}

// One overload for each type of request and control message.
struct BodyWriter {
    proto::Envelope& out;

    void operator()(const PeerRequest& request) const { std::visit(*this, request); }
    void operator()(const PromiseRequest& request) const
    {
        proto::PromiseRequest* promise = this->out.mutable_promise();
        write(request.shard, promise->mutable_shard());
        promise->set_epoch(request.epoch);
        write(request.holder, promise->mutable_holder());
        write(request.standby, promise->mutable_standby());
    }
    void operator()(const BridgeBatch& batch) const { write(batch, this->out.mutable_bridge_batch()); }
    void operator()(const BridgeTrim& trim) const
    {
        write(trim.shard, this->out.mutable_bridge_trim()->mutable_shard());
        this->out.mutable_bridge_trim()->set_generation(trim.generation);
        this->out.mutable_bridge_trim()->set_sequence(trim.sequence);
    }
    void operator()(const BridgeFetch& fetch) const
    {
        write(fetch.shard, this->out.mutable_bridge_fetch()->mutable_shard());
    }
    void operator()(const Gossip& gossip) const { write(gossip, this->out.mutable_gossip()); }
    void operator()(const ConfigFetch&) const { this->out.mutable_config_fetch(); }
    void operator()(const ForwardRequest& request) const
    {
        proto::ForwardRequest* forward = this->out.mutable_forward();
        forward->set_kind(static_cast<proto::ForwardKind>(request.kind));
        write(request.shard, forward->mutable_shard());
        forward->set_program(request.program);
        forward->set_request_id(request.requestId);
        forward->set_tenant(request.tenant);
        forward->set_path(request.path);
        forward->set_body_json(request.bodyJson);
        forward->set_hops(request.hops);
    }
    void operator()(const RecordCall& call) const { this->out.mutable_record_call()->set_content(call.content); }
    void operator()(const DirectoryFetch& fetch) const
    {
        this->out.mutable_directory_fetch()->set_configuration_version(fetch.configurationVersion);
        this->out.mutable_directory_fetch()->set_servers_digest(fetch.serversDigest);
        this->out.mutable_directory_fetch()->set_relay_address(fetch.relayAddress);
        this->out.mutable_directory_fetch()->set_relay_data_centre(fetch.relayDataCentre);
        this->out.mutable_directory_fetch()->set_relays(fetch.relays);
        if (fetch.crashes.log != 0)
            write(fetch.crashes, this->out.mutable_directory_fetch()->mutable_crashes());
        if (fetch.programLoad)
            write(*fetch.programLoad, this->out.mutable_directory_fetch()->mutable_program_load());
        if (!fetch.load.node.empty())
            write(fetch.load, this->out.mutable_directory_fetch()->mutable_load());
    }
    void operator()(const PermitRequest& request) const
    {
        write(request.known, this->out.mutable_permit_request()->mutable_known());
    }
    void operator()(const QuotaRequest& request) const { write(request, this->out.mutable_quota_request()); }
    void operator()(const LimitReport& report) const
    {
        writeAll(report.limits, this->out.mutable_limit_report()->mutable_limits());
        this->out.mutable_limit_report()->set_relayed(report.relayed);
    }
    void operator()(const CrashReport& report) const
    {
        writeAll(report.notices, this->out.mutable_crash_report()->mutable_notices());
        this->out.mutable_crash_report()->set_relayed(report.relayed);
    }
    void operator()(const LoadReport& report) const { write(report, this->out.mutable_load_report()); }
    void operator()(const LeavingReport& report) const
    {
        for (const LeavingServer& leaving : report.servers) {
            proto::LeavingServer* entry = this->out.mutable_leaving_report()->add_servers();
            entry->set_server(leaving.server);
            entry->set_started_unix_millis(leaving.startedUnixMillis);
        }
    }
    void operator()(const RelayFetch& fetch) const
    {
        this->out.mutable_relay_fetch()->set_own_address(fetch.ownAddress);
    }
    void operator()(const ForwardCancel&) const { this->out.mutable_cancel(); }
    void operator()(const ForwardChunk& chunk) const
    {
        this->out.mutable_chunk()->set_position(chunk.position);
        this->out.mutable_chunk()->set_text(chunk.text);
    }
    void operator()(const Heartbeat&) const { this->out.mutable_heartbeat(); }
    void operator()(const Goodbye&) const { this->out.mutable_goodbye(); }
    void operator()(const AnswerPart& part) const
    {
        this->out.mutable_answer()->set_position(part.position);
        this->out.mutable_answer()->set_last(part.last);
        this->out.mutable_answer()->set_content(part.content);
    }
    void operator()(const Refusal& refusal) const
    {
        this->out.mutable_refusal()->set_nothing_done(refusal.nothingDone);
        this->out.mutable_refusal()->set_reason(refusal.reason);
    }
};

bool readRequest(const proto::Envelope& in, PeerRequest& request)
{
    switch (in.body_case()) {
    case proto::Envelope::kPromise: {
        PromiseRequest promise;
        promise.epoch = in.promise().epoch();
        bool valid = read(in.promise().shard(), promise.shard) && read(in.promise().holder(), promise.holder)
            && read(in.promise().standby(), promise.standby) && !promise.holder.empty();
        request = std::move(promise);
        return valid;
    }
    case proto::Envelope::kBridgeBatch: {
        BridgeBatch batch;
        bool valid = read(in.bridge_batch(), batch);
        request = std::move(batch);
        return valid;
    }
    case proto::Envelope::kBridgeTrim: {
        BridgeTrim trim { {}, in.bridge_trim().generation(), in.bridge_trim().sequence() };
        bool valid = read(in.bridge_trim().shard(), trim.shard);
        request = std::move(trim);
        return valid;
    }
    case proto::Envelope::kBridgeFetch: {
        BridgeFetch fetch;
        bool valid = read(in.bridge_fetch().shard(), fetch.shard);
        request = std::move(fetch);
        return valid;
    }
    case proto::Envelope::kGossip: {
        Gossip gossip;
        bool valid = read(in.gossip(), gossip);
        request = std::move(gossip);
        return valid;
    }
    case proto::Envelope::kConfigFetch:
        request = ConfigFetch {};
        return true;
    case proto::Envelope::kForward: {
        ForwardRequest forward;
        bool valid = read(in.forward(), forward);
        request = std::move(forward);
        return valid;
    }
    case proto::Envelope::kRecordCall:
        request = RecordCall { in.record_call().content() };
        return true;
    case proto::Envelope::kDirectoryFetch: {
        DirectoryFetch fetch { in.directory_fetch().configuration_version(), in.directory_fetch().servers_digest(),
            in.directory_fetch().relay_address(), in.directory_fetch().relay_data_centre(),
            in.directory_fetch().relays(), read(in.directory_fetch().crashes()) };
        bool valid = fetch.relayAddress.empty() || isAddress(fetch.relayAddress);
        if (in.directory_fetch().has_program_load())
            valid = read(in.directory_fetch().program_load(), fetch.programLoad.emplace()) && valid;
        valid = read(in.directory_fetch().load(), fetch.load) && valid;
        request = std::move(fetch);
        return valid;
    }
    case proto::Envelope::kLoadReport: {
        LoadReport report;
        bool valid = read(in.load_report(), report);
        request = std::move(report);
        return valid;
    }
    case proto::Envelope::kRelayFetch:
        request = RelayFetch { in.relay_fetch().own_address() };
        return true;
    case proto::Envelope::kPermitRequest: {
        PermitRequest permit;
        bool valid = read(in.permit_request().known(), permit.known);
        request = std::move(permit);
        return valid;
    }
    case proto::Envelope::kQuotaRequest: {
        QuotaRequest quota;
        bool valid = read(in.quota_request(), quota);
        request = std::move(quota);
        return valid;
    }
    case proto::Envelope::kLimitReport: {
        LimitReport report;
        report.relayed = in.limit_report().relayed();
        bool valid = readAll(in.limit_report().limits(), report.limits);
        request = std::move(report);
        return valid;
    }
    case proto::Envelope::kCrashReport: {
        CrashReport report;
        report.relayed = in.crash_report().relayed();
        bool valid = readAll(in.crash_report().notices(), report.notices);
        request = std::move(report);
        return valid;
    }
    case proto::Envelope::kLeavingReport: {
        LeavingReport report;
        for (const proto::LeavingServer& entry : in.leaving_report().servers())
            report.servers.push_back({ entry.server(), entry.started_unix_millis() });
        request = std::move(report);
        return true;
    }
    default:
        return false;
    }
}

bool readBody(const proto::Envelope& in, PeerBody& body)
{
    switch (in.body_case()) {
    case proto::Envelope::kCancel:
        body = ForwardCancel {};
        return true;
    case proto::Envelope::kChunk:
        body = ForwardChunk { in.chunk().position(), in.chunk().text() };
        return true;
    case proto::Envelope::kHeartbeat:
        body = Heartbeat {};
        return true;
    case proto::Envelope::kGoodbye:
        body = Goodbye {};
        return true;
    case proto::Envelope::kAnswer:
        body = AnswerPart { in.answer().position(), in.answer().last(), in.answer().content() };
        return true;
    case proto::Envelope::kRefusal:
        body = Refusal { in.refusal().nothing_done(), in.refusal().reason() };
        return true;
    default: {
        PeerRequest request;
        bool valid = readRequest(in, request);
        body = std::move(request);
        return valid;
    }
    }
}

struct AnswerWriter {
    proto::Answer& out;

    void operator()(const std::monostate&) const { this->out.mutable_nothing(); }
    void operator()(const PromiseAnswer& answer) const
    {
        proto::PromiseAnswer* promise = this->out.mutable_promise();
        promise->set_promised(answer.promised);
        promise->set_epoch(answer.epoch);
        write(answer.from, promise->mutable_from());
        promise->set_duration_nanos(answer.duration.count());
    }
    void operator()(const BridgeAnswer& answer) const
    {
        this->out.mutable_bridge()->set_stored(answer.stored);
        write(answer.from, this->out.mutable_bridge()->mutable_from());
    }
    void operator()(const BridgeCopies& copies) const
    {
        write(copies.from, this->out.mutable_copies()->mutable_from());
        for (const BridgeBatch& batch : copies.batches)
            write(batch, this->out.mutable_copies()->add_batches());
    }
    void operator()(const Gossip& gossip) const { write(gossip, this->out.mutable_gossip()); }
    void operator()(const ConfigDocument& document) const
    {
        this->out.mutable_config()->set_version(document.version);
        this->out.mutable_config()->set_json(document.json);
    }
    void operator()(const ForwardEnd& end) const
    {
        this->out.mutable_end()->set_http_status(end.httpStatus);
        this->out.mutable_end()->set_body_json(end.bodyJson);
    }
    void operator()(const DirectoryUpdate& update) const { write(update, this->out.mutable_directory_update()); }
    void operator()(const PermitAnswer& permit) const
    {
        this->out.mutable_permit()->set_issuer(permit.issuer);
        this->out.mutable_permit()->set_granted(permit.granted);
        this->out.mutable_permit()->set_retry_after_nanos(permit.retryAfter.count());
        write(permit.newest, this->out.mutable_permit()->mutable_newest());
    }
    void operator()(const QuotaAnswer& answer) const { write(answer, this->out.mutable_quota()); }
    void operator()(const RelayList& list) const
    {
        for (const RelayNode& node : list.nodes) {
            proto::RelayNode* entry = this->out.mutable_relay_list()->add_nodes();
            entry->set_address(node.address);
            entry->set_data_centre(node.dataCentre);
        }
        this->out.mutable_relay_list(); // also if it is empty
    }
    void operator()(const RecordReply& reply) const { this->out.mutable_record_reply()->set_content(reply.content); }
};

bool readCopies(const proto::BridgeCopies& in, BridgeCopies& copies)
{
    if (in.batches_size() > maxBatches || !read(in.from(), copies.from))
        return false;
    copies.batches.resize(static_cast<std::size_t>(in.batches_size()));
    for (int i = 0; i < in.batches_size(); ++i) {
        if (!read(in.batches(i), copies.batches[static_cast<std::size_t>(i)]))
            return false;
    }
    return true;
}

bool readAnswer(const proto::Answer& in, PeerAnswer& answer)
{
    switch (in.kind_case()) {
    case proto::Answer::kNothing:
        answer = std::monostate {};
        return true;
    case proto::Answer::kPromise: {
        PromiseAnswer promise;
        promise.promised = in.promise().promised();
        promise.epoch = in.promise().epoch();
        promise.duration = Duration(in.promise().duration_nanos());
        bool valid = read(in.promise().from(), promise.from) && promise.duration >= Duration(0);
        answer = std::move(promise);
        return valid;
    }
    case proto::Answer::kBridge: {
        BridgeAnswer bridge;
        bridge.stored = in.bridge().stored();
        bool valid = read(in.bridge().from(), bridge.from);
        answer = std::move(bridge);
        return valid;
    }
    case proto::Answer::kCopies: {
        BridgeCopies copies;
        bool valid = readCopies(in.copies(), copies);
        answer = std::move(copies);
        return valid;
    }
    case proto::Answer::kGossip: {
        Gossip gossip;
        bool valid = read(in.gossip(), gossip);
        answer = std::move(gossip);
        return valid;
    }
    case proto::Answer::kConfig:
        answer = ConfigDocument { in.config().version(), in.config().json() };
        return true;
    case proto::Answer::kEnd:
        answer = ForwardEnd { in.end().http_status(), in.end().body_json() };
        return true;
    case proto::Answer::kRecordReply:
        answer = RecordReply { in.record_reply().content() };
        return true;
    case proto::Answer::kPermit: {
        PermitAnswer permit;
        permit.issuer = in.permit().issuer();
        permit.granted = in.permit().granted();
        permit.retryAfter = Duration(in.permit().retry_after_nanos());
        bool valid = read(in.permit().newest(), permit.newest) && isSaneDuration(permit.retryAfter);
        answer = std::move(permit);
        return valid;
    }
    case proto::Answer::kQuota: {
        QuotaAnswer quota;
        bool valid = read(in.quota(), quota);
        answer = quota;
        return valid;
    }
    case proto::Answer::kRelayList: {
        RelayList list;
        for (const proto::RelayNode& node : in.relay_list().nodes()) {
            if (!isAddress(node.address()))
                return false;
            list.nodes.push_back({ node.address(), node.data_centre() });
        }
        answer = std::move(list);
        return true;
    }
    case proto::Answer::kDirectoryUpdate: {
        DirectoryUpdate update;
        bool valid = read(in.directory_update(), update);
        answer = std::move(update);
        return valid;
    }
    default:
        return false;
    }
}

template <typename Message> bool parse(std::string_view bytes, Message& message)
{
    return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max())
        && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encodeEnvelope(const PeerEnvelope& envelope)
{
    proto::Envelope out;
    out.set_session(envelope.id.session);
    out.set_number(envelope.id.number);
    out.set_notification(envelope.notification);
    std::visit(BodyWriter { out }, envelope.body);
    return out.SerializeAsString();
}

std::optional<PeerEnvelope> decodeEnvelope(std::string_view bytes)
{
    proto::Envelope in;
    PeerEnvelope envelope;
    if (!parse(bytes, in) || !readBody(in, envelope.body))
        return std::nullopt;
    envelope.id = { in.session(), in.number() };
    envelope.notification = in.notification();
    return envelope;
}

std::string encodeAnswer(const PeerAnswer& answer)
{
    proto::Answer out;
    std::visit(AnswerWriter { out }, answer);
    return out.SerializeAsString();
}

std::optional<PeerAnswer> decodeAnswer(std::string_view bytes)
{
    proto::Answer in;
    PeerAnswer answer;
    if (!parse(bytes, in) || !readAnswer(in, answer))
        return std::nullopt;
    return answer;
}

bool answersTo(const PeerRequest& request, const PeerAnswer& answer)
{
    struct Matcher {
        const PeerAnswer& answer;

        bool operator()(const PromiseRequest&) const { return std::holds_alternative<PromiseAnswer>(this->answer); }
        bool operator()(const BridgeBatch&) const { return std::holds_alternative<BridgeAnswer>(this->answer); }
        bool operator()(const BridgeTrim&) const { return std::holds_alternative<std::monostate>(this->answer); }
        bool operator()(const BridgeFetch&) const { return std::holds_alternative<BridgeCopies>(this->answer); }
        bool operator()(const Gossip&) const { return std::holds_alternative<Gossip>(this->answer); }
        bool operator()(const ConfigFetch&) const { return std::holds_alternative<ConfigDocument>(this->answer); }
        bool operator()(const ForwardRequest&) const { return std::holds_alternative<ForwardEnd>(this->answer); }
        bool operator()(const DirectoryFetch&) const { return std::holds_alternative<DirectoryUpdate>(this->answer); }
        bool operator()(const PermitRequest&) const { return std::holds_alternative<PermitAnswer>(this->answer); }
        bool operator()(const QuotaRequest&) const { return std::holds_alternative<QuotaAnswer>(this->answer); }
        bool operator()(const LimitReport&) const { return std::holds_alternative<std::monostate>(this->answer); }
        bool operator()(const CrashReport&) const { return std::holds_alternative<std::monostate>(this->answer); }
        bool operator()(const LoadReport&) const { return std::holds_alternative<std::monostate>(this->answer); }
        bool operator()(const LeavingReport&) const { return std::holds_alternative<std::monostate>(this->answer); }
        bool operator()(const RelayFetch&) const { return std::holds_alternative<RelayList>(this->answer); }
        bool operator()(const RecordCall&) const { return std::holds_alternative<RecordReply>(this->answer); }
    };
    return std::visit(Matcher { answer }, request);
}

} // namespace lovagecross::detail
