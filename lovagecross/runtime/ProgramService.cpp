#include "lovagecross/runtime/ProgramService.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/Json.h"
#include "lovagecross/runtime/ProgramAnswers.h"
#include "lovagecross/runtime/ProgramInternals.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lovagecross {

namespace detail {

Error notRunError(ErrorCode code, std::string message, Duration retryAfter)
{
    return { code, std::move(message), {}, RunState::NotRun, retryAfter };
}

Result<void> waitUntilDurable(OwnedShard& ownedShard, JournalTicket ticket, TimePoint deadline)
{
    switch (ownedShard.waitDurable(ticket, deadline)) {
    case WaitResult::Ready:
        return {};
    case WaitResult::Lost:
        return fail(Error { ErrorCode::NotOwner, "the shard changed owners before the record was durable", {},
            RunState::Unknown, std::chrono::milliseconds(500) });
    case WaitResult::TimedOut:
        break;
    }
    return fail(
        Error { ErrorCode::Unavailable, "the record did not become durable in time; retry with the same request id", {},
            RunState::Unknown, std::chrono::seconds(1) });
}

Result<void> requireAuthority(const Shard& shard)
{
    if (shard.waitForAuthority(authorityTimeout))
        return {};
    return fail(notRunError(ErrorCode::NotOwner, "the owner's lease is not confirmed", std::chrono::seconds(1)));
}

} // namespace detail

using detail::budgetJson;
using detail::commitTimeout;
using detail::finishedCallAnswer;
using detail::historyJson;
using detail::jsonString;
using detail::notRunError;
using detail::programJson;
using detail::QueueGuard;
using detail::requireAuthority;
using detail::waitUntilDurable;

namespace {

constexpr std::uint64_t initialCeilingTokens = 4096; // a new program's spending before its ceiling must be raised
constexpr std::uint64_t maxBudgetTokens = 1'000'000'000'000;

std::uint64_t randomNumber()
{
    static thread_local std::mt19937_64 generator(std::random_device {}());
    return generator();
}

} // namespace

ProgramService::ProgramService(Clock& clock, ActiveConfiguration& config, Backends& backends, AdmissionGate& gate,
    ModelEngine& engines, ServiceClient& services, Counters& counters, DecisionLog& decisions)
    : clock(clock)
    , config(config)
    , backends(backends)
    , gate(gate)
    , engines(engines)
    , services(services)
    , counters(counters)
    , decisions(decisions)
{
}

ForwardEnd ProgramService::serve(Shard& shard, const ForwardRequest& request, const ChunkSink& sink)
{
    return handle(
        [&]() -> Result<ForwardEnd> {
            std::shared_ptr<OwnedShard> ownedShard = shard.owned();
            if (!ownedShard)
                return fail(notRunError(ErrorCode::NotOwner, "this node does not own shard " + shard.id().toString(),
                    std::chrono::milliseconds(200)));
            BOOST_LEAF_CHECK(requireAuthority(shard));
            switch (request.kind) {
            case ForwardKind::CreateProgram:
                return this->createProgram(shard, *ownedShard, request);
            case ForwardKind::Call:
                return this->call(shard, *ownedShard, request, sink);
            case ForwardKind::Read:
                return this->read(*ownedShard, request);
            case ForwardKind::EndProgram:
                return this->endProgram(*ownedShard, request);
            }
            return fail(ErrorCode::BadRequest, "kind", "unknown kind of request");
        },
        [&](const Error& error) {
            this->counters.counter("requests.refused." + std::string(errorCodeNames.name(error.code))).add();
            return errorAnswer(error);
        });
}

Result<void> ProgramService::checkTenant(OwnedShard& ownedShard, const ProgramId& program, const std::string& tenant)
{
    BOOST_LEAF_AUTO(
        owner, ownedShard.withProgram(program, [](const ProgramState& state) { return state.created.tenant; }));
    // The same error as for a missing program, so that a tenant can't find out the program ids of another tenant.
    if (owner != tenant)
        return fail(notRunError(ErrorCode::UnknownProgram, "no program " + program.toString(), Duration(0)));
    return {};
}

Result<ForwardEnd> ProgramService::createProgram(Shard& shard, OwnedShard& ownedShard, const ForwardRequest& request)
{
    BOOST_LEAF_AUTO(body, parseJsonObject(request.bodyJson));
    BOOST_LEAF_CHECK(checkMembers(*body, { "class", "rank", "budget", "maxTurns", "deadlineMs" }));
    std::shared_ptr<const ConfigSnapshot> snapshot = this->config.current();
    const Configuration& configuration = snapshot->configuration;
    BOOST_LEAF_AUTO(className, optionalString(*body, "class", ""));
    ProgramClass defaults;
    if (!className.empty()) {
        auto found = std::find_if(configuration.programs.begin(), configuration.programs.end(),
            [&](const ProgramClass& item) { return item.name == className; });
        if (found == configuration.programs.end())
            return fail(ErrorCode::BadRequest, "class", "no program class \"" + className + "\" is configured");
        defaults = *found;
    }
    ProgramCreated created;
    BOOST_LEAF_ASSIGN(created.rank, optionalString(*body, "rank", defaults.rank));
    bool rankKnown = std::any_of(configuration.ranks.begin(), configuration.ranks.end(),
        [&](const Rank& rank) { return rank.name == created.rank; });
    if (!rankKnown)
        return fail(ErrorCode::BadRequest, "rank", "no rank \"" + created.rank + "\" is configured");
    std::uint64_t tokens = defaults.budgetTokens;
    if (body->has("budget")) {
        Poco::JSON::Object::Ptr budget = body->getObject("budget");
        if (!budget)
            return fail(ErrorCode::BadRequest, "budget", "must be an object with the member tokens");
        BOOST_LEAF_CHECK(checkMembers(*budget, { "tokens" }));
        BOOST_LEAF_ASSIGN(tokens, optionalNumber(*budget, "tokens", tokens, 1, maxBudgetTokens));
    }
    if (tokens == 0)
        return fail(ErrorCode::BadRequest, "budget.tokens", "is missing, and there is no class that sets it");
    created.budgetTokens = tokens;
    created.ceilingTokens = std::min(tokens, initialCeilingTokens);
    BOOST_LEAF_AUTO(maxTurns, optionalNumber(*body, "maxTurns", defaults.maxTurns, 1, 100000));
    created.maxTurns = static_cast<std::uint32_t>(maxTurns);
    BOOST_LEAF_AUTO(deadlineMillis, optionalNumber(*body, "deadlineMs", 0, 0, 1000ULL * 3600 * 24 * 365));
    if (deadlineMillis > 0)
        created.deadlineUnixMillis = this->clock.unixMillis() + static_cast<std::int64_t>(deadlineMillis);
    created.tenant = request.tenant;
    created.creationRequestId = request.requestId;
    created.program = { shard.id(), randomNumber() };
    JournalTicket ticket = 0;
    BOOST_LEAF_AUTO(program, ownedShard.createProgram(created, ticket));
    BOOST_LEAF_CHECK(waitUntilDurable(ownedShard, ticket, this->clock.now() + commitTimeout));
    this->counters.counter("programs.created").add();
    BOOST_LEAF_AUTO(
        json, ownedShard.withProgram(program, [](const ProgramState& state) { return programJson(state); }));
    return ForwardEnd { 201, json };
}

Result<ForwardEnd> ProgramService::read(OwnedShard& ownedShard, const ForwardRequest& request)
{
    std::optional<ProgramId> program = ProgramId::parse(request.program);
    if (!program)
        return fail(ErrorCode::BadRequest, "program", "is not a program id");
    BOOST_LEAF_CHECK(this->checkTenant(ownedShard, *program, request.tenant));
    if (ownedShard.waitAllDurable(this->clock.now() + commitTimeout) != WaitResult::Ready)
        return fail(notRunError(ErrorCode::Unavailable, "the state is not durable yet", std::chrono::seconds(1)));
    constexpr std::string_view callsPrefix = "calls/";
    if (request.path.empty()) {
        BOOST_LEAF_AUTO(json, ownedShard.withProgram(*program, programJson));
        return ForwardEnd { 200, json };
    }
    if (request.path == "history") {
        BOOST_LEAF_AUTO(json, ownedShard.withProgram(*program, historyJson));
        return ForwardEnd { 200, json };
    }
    if (request.path == "budget") {
        BOOST_LEAF_AUTO(json, ownedShard.withProgram(*program, budgetJson));
        return ForwardEnd { 200, json };
    }
    if (request.path.compare(0, callsPrefix.size(), callsPrefix) != 0)
        return fail(ErrorCode::NotFound, "path", "no such resource");
    std::string requestId = request.path.substr(callsPrefix.size());
    std::optional<ForwardEnd> found;
    BOOST_LEAF_AUTO(running, ownedShard.withProgram(*program, [&](const ProgramState& state) {
        auto turn = state.turnByRequestId.find(requestId);
        if (turn != state.turnByRequestId.end())
            found = finishedCallAnswer(state.turns[turn->second].outcome, state.turns[turn->second].answer);
        return state.openIntents.count(requestId) > 0;
    }));
    if (found)
        return *found;
    if (running)
        return ForwardEnd { 409,
            errorJson({ ErrorCode::Unavailable, "the call is still running", {}, RunState::Unknown,
                std::chrono::milliseconds(500) }) };
    return fail(ErrorCode::NotFound, "requestId", "no finished call with this request id");
}

Result<ForwardEnd> ProgramService::endProgram(OwnedShard& ownedShard, const ForwardRequest& request)
{
    std::optional<ProgramId> program = ProgramId::parse(request.program);
    if (!program)
        return fail(ErrorCode::BadRequest, "program", "is not a program id");
    BOOST_LEAF_CHECK(this->checkTenant(ownedShard, *program, request.tenant));
    BOOST_LEAF_AUTO(queueTicket, ownedShard.enterQueue(*program));
    QueueGuard guard(ownedShard, queueTicket);
    if (ownedShard.waitForQueueHead(queueTicket, this->clock.now() + commitTimeout) != WaitResult::Ready)
        return fail(
            notRunError(ErrorCode::Unavailable, "a call of the program is still running", std::chrono::seconds(1)));
    BOOST_LEAF_AUTO(ended, ownedShard.withProgram(*program, [](const ProgramState& state) { return state.ended; }));
    if (!ended) {
        BOOST_LEAF_AUTO(ticket, ownedShard.record(*program, { ProgramEnded { *program, "caller" } }));
        BOOST_LEAF_CHECK(waitUntilDurable(ownedShard, ticket, this->clock.now() + commitTimeout));
        this->counters.counter("programs.ended").add();
    }
    return ForwardEnd { 200, "{\"id\":" + jsonString(program->toString()) + ",\"ended\":true}" };
}

void ProgramService::releaseSessions(Shard& shard)
{
    std::shared_ptr<OwnedShard> ownedShard = shard.owned();
    if (!ownedShard)
        return;
    for (const auto& [program, servers] : ownedShard->endedWithSessions()) {
        for (const std::string& name : servers) {
            std::optional<BackendServer> server = this->backends.find(name);
            // A server that is no longer configured as a model server is treated as having released its sessions.
            bool released = !server || server->kind != BackendKind::Model;
            if (!released && shard.hasAuthority())
                released = this->engines.releaseSession(server->address, program.toString(), ownedShard->epoch());
            if (!released) {
                this->counters.counter("sessions.release_failed").add();
                continue;
            }
            this->counters.counter("sessions.released").add();
            handle(
                [&, id = program]() -> Result<bool> {
                    BOOST_LEAF_CHECK(ownedShard->record(id, { SessionReleased { id, name } }));
                    return true;
                },
                [](const Error&) { return false; });
        }
    }
}

void ProgramService::auditSessions(Shard& shard, const BackendServer& server, const std::vector<std::string>& sessions)
{
    std::shared_ptr<OwnedShard> ownedShard = shard.owned();
    if (!ownedShard)
        return;
    for (const std::string& session : sessions) {
        std::optional<ProgramId> program = ProgramId::parse(session);
        if (!program || program->shard != shard.id() || ownedShard->isRunning(*program) || !shard.hasAuthority())
            continue;
        this->counters.counter("sessions.audit_released").add();
        LogLine(LogLevel::Warning, "session_audit")
            .field("program", session)
            .field("backendServer", server.name)
            .write();
        this->engines.releaseSession(server.address, session, ownedShard->epoch());
    }
}

} // namespace lovagecross
