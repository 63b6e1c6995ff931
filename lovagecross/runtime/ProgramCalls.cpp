// How ProgramService runs a call: queueing, admission, attempts on backend servers, and the durable record of the
// answer.
#include "lovagecross/runtime/ProgramService.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/ConversationRecord.h"
#include "lovagecross/runtime/Digest.h"
#include "lovagecross/runtime/Json.h"
#include "lovagecross/runtime/ProgramAnswers.h"
#include "lovagecross/runtime/ProgramInternals.h"
#include "lovagecross/runtime/PromptPrefixes.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <sstream>
#include <thread>
#include <utility>

namespace lovagecross {

using detail::authorityTimeout;
using detail::chatAnswer;
using detail::commitTimeout;
using detail::finishedCallAnswer;
using detail::notRunError;
using detail::QueueGuard;
using detail::requireAuthority;
using detail::waitUntilDurable;

namespace {

constexpr std::uint32_t defaultMaxTokens = 1024;
constexpr std::uint32_t maxTokensLimit = 32768;
constexpr std::size_t maxTurnBytes = 1000 * 1024; // the limit is 1,024 KB; leaves room for the record's other fields
constexpr std::uint32_t maxAttempts = 4;

// Returns the stored request of the program's last model call, or an empty string.
std::string lastConversation(const ProgramState& state)
{
    for (auto turn = state.turns.rbegin(); turn != state.turns.rend(); ++turn) {
        if (turn->kind == CallKind::Model && !turn->request.empty())
            return turn->request;
    }
    return {};
}

// Holds an admission slot while a call is prepared and runs. The slot is released before the answer's record is
// committed: when it was held during the group commit, 8 slots at 100 calls/s gave a median time to first token of
// 2.3 s.
class SlotGuard {
public:
    SlotGuard(AdmissionGate& gate, AdmissionTicket ticket)
        : gate(gate)
        , ticket(ticket)
    {
    }
    ~SlotGuard() { this->release(0); }
    SlotGuard(const SlotGuard&) = delete;
    SlotGuard& operator=(const SlotGuard&) = delete;

    void release(std::uint64_t servedTokens)
    {
        if (!std::exchange(this->released, true))
            this->gate.leave(this->ticket, servedTokens);
    }

private:
    AdmissionGate& gate;
    AdmissionTicket ticket;
    bool released = false;
};

// Adds the time between its construction and destruction to `total`.
class ScopedTimer {
public:
    ScopedTimer(const Clock& clock, Duration& total)
        : clock(clock)
        , total(total)
        , startedAt(clock.now())
    {
    }
    ~ScopedTimer() { this->total += this->clock.now() - this->startedAt; }
    ScopedTimer(const ScopedTimer&) = delete;
    ScopedTimer& operator=(const ScopedTimer&) = delete;

private:
    const Clock& clock;
    Duration& total;
    TimePoint startedAt;
};

// Adds the decision about a call to the log on destruction. Calls answered without scheduling, such as replays, have no
// outcome and are not logged.
class DecisionGuard {
public:
    explicit DecisionGuard(DecisionLog& log)
        : log(log)
    {
    }
    ~DecisionGuard()
    {
        if (!this->decision.outcome.empty())
            this->log.add(std::move(this->decision));
    }
    DecisionGuard(const DecisionGuard&) = delete;
    DecisionGuard& operator=(const DecisionGuard&) = delete;

    CallDecision decision;

private:
    DecisionLog& log;
};

} // namespace

Result<ProgramService::Call> ProgramService::parseCall(const ProgramState& state, const ForwardRequest& request)
{
    std::shared_ptr<const ConfigSnapshot> snapshot = this->config.current();
    const Configuration& configuration = snapshot->configuration;
    Call call;
    call.program = state.created.program;
    call.requestId = request.requestId;
    call.tenant = request.tenant;
    call.digest = sha256Hex(request.path + "\n" + request.bodyJson);
    call.request = request.bodyJson;
    auto rank = std::find_if(configuration.ranks.begin(), configuration.ranks.end(),
        [&](const Rank& item) { return item.name == state.created.rank; });
    // Programs whose rank was removed from the configuration keep running, with default settings for the rank.
    call.rank = rank != configuration.ranks.end() ? *rank : Rank { state.created.rank, 0, 0, 1000, 60000 };
    call.deadline = this->clock.now() + std::chrono::milliseconds(call.rank.callTimeoutMillis);
    BOOST_LEAF_AUTO(body, parseJsonObject(request.bodyJson));
    if (request.path == chatPath) {
        BOOST_LEAF_ASSIGN(call.target, requiredString(*body, "model"));
        Poco::JSON::Array::Ptr messages = body->getArray("messages");
        if (!messages || messages->size() == 0)
            return fail(ErrorCode::BadRequest, "messages", "must be an array with at least one message");
        std::ostringstream text;
        messages->stringify(text);
        call.payload = text.str();
        BOOST_LEAF_AUTO(maxTokens, optionalNumber(*body, "max_tokens", defaultMaxTokens, 1, maxTokensLimit));
        call.maxTokens = static_cast<std::uint32_t>(maxTokens);
        // Each token covers at least one byte, so the prompt has at most this many tokens.
        call.maxPromptTokens = static_cast<std::uint32_t>(call.payload.size());
        call.maxCost = std::uint64_t(call.maxPromptTokens) + call.maxTokens;
        return call;
    }
    BOOST_LEAF_CHECK(checkMembers(*body, { "service", "operation", "body", "idempotent" }));
    call.kind = CallKind::Service;
    BOOST_LEAF_ASSIGN(call.target, requiredString(*body, "service"));
    BOOST_LEAF_ASSIGN(call.operation, requiredString(*body, "operation"));
    if (call.operation.empty() || call.operation.size() > 64
        || !std::all_of(call.operation.begin(), call.operation.end(),
            [](unsigned char character) { return std::isalnum(character) || character == '-' || character == '_'; }))
        return fail(ErrorCode::BadRequest, "operation", "must be 1 to 64 characters of [A-Za-z0-9_-]");
    BOOST_LEAF_ASSIGN(call.idempotent, optionalBool(*body, "idempotent", false));
    Poco::JSON::Object::Ptr payload
        = body->has("body") ? body->getObject("body") : Poco::JSON::Object::Ptr(new Poco::JSON::Object);
    if (!payload)
        return fail(ErrorCode::BadRequest, "body", "must be an object");
    call.payload = toJson(*payload);
    bool known = false;
    for (const BackendServer& server : configuration.backendServers) {
        if (server.kind != BackendKind::Service || server.service != call.target)
            continue;
        known = true;
        call.maxCost = std::max<std::uint64_t>(call.maxCost, server.costTokens);
    }
    if (!known)
        return fail(ErrorCode::BadRequest, "service", "no service \"" + call.target + "\" is configured");
    return call;
}

Result<ForwardEnd> ProgramService::call(
    Shard& shard, OwnedShard& ownedShard, const ForwardRequest& request, const ChunkSink& sink)
{
    std::optional<ProgramId> program = ProgramId::parse(request.program);
    if (!program)
        return fail(ErrorCode::BadRequest, "X-Lovagecross-Program", "is not a program id");
    BOOST_LEAF_CHECK(this->checkTenant(ownedShard, *program, request.tenant));
    BOOST_LEAF_AUTO(queueTicket, ownedShard.enterQueue(*program));
    QueueGuard guard(ownedShard, queueTicket);
    BOOST_LEAF_AUTO(parsed,
        ownedShard.withProgram(*program, [&](const ProgramState& state) { return this->parseCall(state, request); }));
    BOOST_LEAF_AUTO(call, std::move(parsed));
    this->counters.counter("calls.received").add();
    DecisionGuard log(this->decisions);
    log.decision.call = call.program.toString() + ":" + call.requestId;
    log.decision.rank = call.rank.name;
    log.decision.tenant = call.tenant;
    log.decision.target = call.target;
    log.decision.receivedUnixMillis = this->clock.unixMillis();
    call.decision = &log.decision;
    WaitResult waited = WaitResult::Ready;
    {
        ScopedTimer timer(this->clock, call.decision->queueWait);
        waited = ownedShard.waitForQueueHead(queueTicket, call.deadline);
    }
    switch (waited) {
    case WaitResult::Ready:
        break;
    case WaitResult::Lost:
        call.decision->outcome = "not run: the shard changed owners";
        return fail(notRunError(ErrorCode::NotOwner, "the shard changed owners", std::chrono::milliseconds(200)));
    case WaitResult::TimedOut:
        call.decision->outcome = "not run: the deadline passed while earlier calls of the program were running";
        return fail(notRunError(
            ErrorCode::DeadlineExceeded, "earlier calls of the program are still running", std::chrono::seconds(1)));
    }
    return this->runQueuedCall(shard, ownedShard, call, sink);
}

Result<ForwardEnd> ProgramService::runQueuedCall(
    Shard& shard, OwnedShard& ownedShard, Call& call, const ChunkSink& sink)
{
    CallRequest request { call.requestId, call.digest, call.kind, call.idempotent, call.maxCost };
    ForwardEnd replay;
    std::uint64_t attained = 0;
    BOOST_LEAF_AUTO(admission, ownedShard.withProgram(call.program, [&](const ProgramState& state) {
        Admission decided = admitCall(state, request, this->clock.unixMillis());
        attained = state.spentTokens;
        if (decided.verdict == AdmissionVerdict::Replay)
            replay = finishedCallAnswer(state.turns[decided.turn].outcome, state.turns[decided.turn].answer);
        return decided;
    }));
    if (admission.verdict == AdmissionVerdict::Refuse) {
        call.decision->outcome = "refused: " + admission.error.message;
        return fail(admission.error);
    }
    if (admission.verdict == AdmissionVerdict::Replay) {
        BOOST_LEAF_CHECK(requireAuthority(shard));
        if (ownedShard.waitAllDurable(call.deadline) != WaitResult::Ready)
            return fail(Error { ErrorCode::NotOwner, "the shard changed owners", {}, RunState::Unknown,
                std::chrono::milliseconds(500) });
        this->counters.counter("calls.replayed").add();
        return replay;
    }
    if (this->backends.quarantined(call.digest))
        return fail(notRunError(
            ErrorCode::Quarantined, "this request has crashed backend servers and is quarantined", Duration(0)));
    WaitingCall waiting { call.rank.name, call.program, call.tenant, attained, call.deadline,
        call.maxPromptTokens / 4 + call.maxTokens };
    GateResult granted;
    {
        ScopedTimer timer(this->clock, call.decision->admissionWait);
        granted = this->gate.enter(waiting);
    }
    call.decision->outcome = granted.granted ? "not run" : "refused: " + granted.reason;
    if (!granted.granted)
        return fail(notRunError(ErrorCode::Overloaded, granted.reason, granted.retryAfter));
    AttemptResult attempted;
    {
        SlotGuard guard(this->gate, granted.ticket);
        BOOST_LEAF_CHECK(this->commitBeforeSend(ownedShard, call, admission));
        attempted = call.kind == CallKind::Model ? this->attemptModel(shard, ownedShard, call, sink)
                                                 : this->attemptService(shard, ownedShard, call);
        guard.release(attempted.cost);
    }
    return this->recordOutcome(ownedShard, call, attempted);
}

CallFinished ProgramService::finishedRecord(const Call& call, CallOutcome outcome)
{
    CallFinished record;
    record.program = call.program;
    record.requestId = call.requestId;
    record.bodyDigest = call.digest;
    record.kind = call.kind;
    record.outcome = outcome;
    record.target = call.target;
    return record;
}

// Records the outcome of a call's attempts and returns the answer for the caller.
Result<ForwardEnd> ProgramService::recordOutcome(
    OwnedShard& ownedShard, const Call& call, const AttemptResult& attempted)
{
    call.decision->outcome = attempted.outcome == CallOutcome::NotRun
        ? "not run: " + attempted.error.message
        : std::string(callOutcomeNames.name(attempted.outcome));
    if (attempted.outcome != CallOutcome::NotRun)
        return this->recordFinishedCall(ownedShard, call, attempted);
    if (!call.idempotent || attempted.cost > 0) {
        // Closes the intent, so that the same request id can run later, and charges the tokens that attempts without an
        // answer may have used.
        CallFinished notRun = finishedRecord(call, CallOutcome::NotRun);
        notRun.costTokens = attempted.cost;
        BOOST_LEAF_ASSIGN(notRun.ceilingTokens, ownedShard.withProgram(call.program, [&](const ProgramState& state) {
            return nextCeiling(state, attempted.cost, call.maxCost);
        }));
        BOOST_LEAF_AUTO(ticket, ownedShard.record(call.program, { notRun }));
        (void)ticket; // not awaited: the error answer does not depend on the record
    }
    return fail(attempted.error);
}

// Commits the records that must be durable before the call is sent: a raised spending ceiling and, for a call that is
// not idempotent, its intent.
Result<void> ProgramService::commitBeforeSend(OwnedShard& ownedShard, const Call& call, const Admission& admission)
{
    std::vector<Record> records;
    if (admission.needsCeiling)
        records.push_back(CeilingRaised { call.program, admission.ceilingTokens });
    if (!call.idempotent)
        records.push_back(CallIntent { call.program, call.requestId, call.digest, call.kind, call.maxCost });
    if (records.empty())
        return {};
    ScopedTimer timer(this->clock, call.decision->commitWait);
    BOOST_LEAF_AUTO(ticket, ownedShard.record(call.program, records));
    TimePoint deadline = std::min(call.deadline, this->clock.now() + commitTimeout);
    WaitResult waited = ownedShard.waitDurable(ticket, deadline);
    if (waited == WaitResult::Ready)
        return {};
    if (waited == WaitResult::Lost)
        return fail(notRunError(
            ErrorCode::NotOwner, "the shard changed owners before the call was sent", std::chrono::milliseconds(500)));
    if (!call.idempotent) {
        CallFinished notRun = finishedRecord(call, CallOutcome::NotRun);
        BOOST_LEAF_ASSIGN(notRun.ceilingTokens,
            ownedShard.withProgram(call.program, [](const ProgramState& state) { return state.ceilingTokens; }));
        BOOST_LEAF_CHECK(ownedShard.record(call.program, { notRun }));
    }
    return fail(notRunError(ErrorCode::Unavailable,
        "neither the platform nor the standby could store the call's record in time", std::chrono::seconds(2)));
}

void ProgramService::logPlacement(const Call& call, const BackendChoice& choice, std::uint32_t attempt)
{
    LogLine(LogLevel::Info, "placement")
        .field("program", call.program.toString())
        .field("call", call.requestId)
        .field("rank", call.rank.name)
        .field("target", call.target)
        .field("backendServer", choice.server.name)
        .field("reason", placementReasonNames.name(choice.reason))
        .field("scores", describeScores(choice.alternatives))
        .field("cachedTokens", choice.expectedCachedTokens)
        .field("attempt", attempt)
        .write();
}

void ProgramService::attemptEnded(const Call& call, const BackendChoice& choice, BackendStatus status,
    std::uint32_t cachedTokens, TimePoint startedAt)
{
    this->backends.finished(choice, status, cachedTokens);
    call.decision->attempts.push_back({ choice.server.name, choice.reason, choice.slotsScarce,
        choice.expectedCachedTokens, choice.alternatives, status, this->clock.now() - startedAt });
}

// Waits before a retry. Returns false without waiting if the backoff would end after the deadline.
bool ProgramService::waitBackoff(std::uint32_t attempt, TimePoint deadline)
{
    Duration wait = this->backends.backoffBefore(attempt);
    if (this->clock.now() + wait >= deadline)
        return false;
    std::this_thread::sleep_for(wait);
    return true;
}

ProgramService::AttemptResult ProgramService::attemptModel(
    Shard& shard, OwnedShard& ownedShard, const Call& call, const ChunkSink& sink)
{
    AttemptResult result;
    result.error = notRunError(ErrorCode::Unavailable, "no backend server can take the call", std::chrono::seconds(1));
    StreamContinuation stream(sink);
    const std::string program = call.program.toString();
    ChoiceQuery query;
    query.target = call.target;
    query.prefixes = promptPrefixes(call.payload);
    query.promptTokens = query.prefixes.empty() ? call.maxPromptTokens / 4 : query.prefixes.back().tokens;
    query.maxTokens = call.maxTokens;
    bool retryIsFree = false; // nothing was sent, so a retry adds no load and needs no retry budget
    this->backends.firstAttempt();
    for (std::uint32_t attempt = 0; attempt < maxAttempts; ++attempt) {
        // An attempt without an answer may have used all tokens reserved for it, so a retry needs a reservation of its
        // own.
        if (result.cost > 0) {
            bool reserved = handle(
                [&]() -> Result<bool> {
                    BOOST_LEAF_AUTO(admission, ownedShard.withProgram(call.program, [&](const ProgramState& state) {
                        CallRequest again { call.requestId, call.digest, call.kind, call.idempotent,
                            result.cost + call.maxCost };
                        return admitCall(state, again, this->clock.unixMillis());
                    }));
                    if (admission.verdict != AdmissionVerdict::Run)
                        return false;
                    BOOST_LEAF_CHECK(this->commitBeforeSend(ownedShard, call, admission));
                    return true;
                },
                [](const Error&) { return false; });
            if (!reserved)
                break;
        }
        if (attempt > 0 && (!(retryIsFree || this->backends.tryRetry()) || !this->waitBackoff(attempt, call.deadline)))
            break;
        if (!shard.waitForAuthority(authorityTimeout)) {
            result.error.message = "the owner's lease is not confirmed";
            if (result.error.run == RunState::NotRun)
                result.error.code = ErrorCode::NotOwner; // nothing was sent, so the next owner may serve it
            break;
        }
        query.slotsScarce = this->gate.waiting() > 0;
        std::optional<BackendChoice> choice = this->backends.choose(query);
        if (!choice) {
            this->counters.counter("placement.none").add();
            break;
        }
        this->logPlacement(call, *choice, attempt);
        stream.restart();
        TimePoint startedAt = this->clock.now();
        ModelRequest request;
        request.address = choice->server.address;
        request.streamId
            = program + ":" + call.requestId + ":" + std::to_string(ownedShard.epoch()) + ":" + std::to_string(attempt);
        request.session = program;
        request.model = call.target;
        request.messagesJson = call.payload;
        request.maxTokens = call.maxTokens;
        request.priority = call.rank.urgency;
        request.epoch = ownedShard.epoch();
        request.deadline = call.deadline;
        std::string text;
        auto collect = [&](std::string_view piece) {
            if (text.empty())
                this->backends.firstToken(*choice);
            text += piece;
            stream.write(piece);
            return true;
        };
        ModelAnswer answer = this->engines.generate(request, collect);
        std::uint32_t generated = answer.generatedTokens;
        if (answer.status == BackendStatus::Silent || answer.status == BackendStatus::ConnectionLost) {
            this->counters.counter("streams.resumed").add();
            request.resumeOffset = generated;
            ModelAnswer rest = this->engines.generate(request, collect);
            generated += rest.generatedTokens;
            if (rest.status == BackendStatus::Ok || answer.status == BackendStatus::Silent)
                answer = rest;
            LogLine(LogLevel::Warning, "stream_resume")
                .field("program", program)
                .field("call", call.requestId)
                .field("backendServer", choice->server.name)
                .field("offset", request.resumeOffset)
                .field("status", backendStatusNames.name(rest.status))
                .write();
        }
        std::uint32_t context = answer.promptTokens + generated;
        this->attemptEnded(call, *choice, answer.status, answer.cachedTokens, startedAt);
        result.backendServer = choice->server.name;
        if (answer.status == BackendStatus::Ok) {
            this->backends.crashCleared(call.digest);
            result.outcome = CallOutcome::Succeeded;
            result.cost += std::min<std::uint64_t>(context, call.maxCost);
            result.answer = chatAnswer(call.requestId, call.target, text, answer.finishReason, answer.promptTokens,
                answer.cachedTokens, generated);
            this->counters.counter("tokens.prompt").add(answer.promptTokens);
            this->counters.counter("tokens.cached").add(answer.cachedTokens);
            this->counters.counter("tokens.generated").add(generated);
            return result;
        }
        this->counters.counter("calls.attempt_failed." + std::string(backendStatusNames.name(answer.status))).add();
        if (answer.status == BackendStatus::Failed) {
            result.outcome = CallOutcome::Failed;
            result.cost += std::min<std::uint64_t>(context, call.maxCost);
            result.answer = errorJson({ ErrorCode::BackendFailed, answer.message, {}, RunState::Run, Duration(0) });
            return result;
        }
        query.excluded.insert(choice->server.name);
        retryIsFree = answer.status == BackendStatus::NotSent;
        if (answer.status == BackendStatus::NotSent || answer.status == BackendStatus::Refused)
            continue;
        result.cost += call.maxCost;
        result.error.run = RunState::Unknown;
        this->engines.cancel(request.address, request.streamId);
        if (answer.status == BackendStatus::ConnectionLost)
            this->backends.crashSuspected(call.digest, choice->server.name);
        if (this->backends.quarantined(call.digest)) {
            this->counters.counter("calls.quarantined").add();
            LogLine(LogLevel::Warning, "quarantine")
                .field("program", program)
                .field("call", call.requestId)
                .field("digest", call.digest)
                .write();
            result.error = { ErrorCode::Quarantined, "this request has crashed backend servers", {}, RunState::Run,
                Duration(0) };
            return result;
        }
        if (answer.status == BackendStatus::DeadlineExceeded) {
            result.error = { ErrorCode::DeadlineExceeded, "the call's deadline passed while it ran", {},
                RunState::Unknown, Duration(0) };
            return result;
        }
    }
    return result;
}

ProgramService::AttemptResult ProgramService::attemptService(Shard& shard, OwnedShard& ownedShard, const Call& call)
{
    AttemptResult result;
    result.error = notRunError(ErrorCode::Unavailable, "no backend server can take the call", std::chrono::seconds(1));
    ChoiceQuery query;
    query.kind = BackendKind::Service;
    query.target = call.target;
    this->backends.firstAttempt();
    for (std::uint32_t attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0 && (!this->backends.tryRetry() || !this->waitBackoff(attempt, call.deadline)))
            break;
        if (!shard.waitForAuthority(authorityTimeout)) {
            result.error.message = "the owner's lease is not confirmed";
            if (result.error.run == RunState::NotRun)
                result.error.code = ErrorCode::NotOwner; // nothing was sent, so the next owner may serve it
            break;
        }
        query.slotsScarce = this->gate.waiting() > 0;
        std::optional<BackendChoice> choice = this->backends.choose(query);
        if (!choice)
            break;
        this->logPlacement(call, *choice, attempt);
        ServiceRequest request { choice->server.address, call.operation, call.payload,
            call.program.toString() + ":" + call.requestId, call.idempotent, ownedShard.epoch(), call.deadline };
        TimePoint startedAt = this->clock.now();
        ServiceAnswer answer = this->services.call(request);
        this->attemptEnded(call, *choice, answer.status, 0, startedAt);
        result.backendServer = choice->server.name;
        if (answer.status == BackendStatus::Ok || answer.status == BackendStatus::Failed) {
            bool succeeded = answer.status == BackendStatus::Ok;
            result.outcome = succeeded ? CallOutcome::Succeeded : CallOutcome::Failed;
            result.cost = choice->server.costTokens;
            result.answer = succeeded
                ? "{\"result\":" + (answer.body.empty() ? "null" : answer.body) + "}"
                : errorJson({ ErrorCode::BackendFailed, answer.message, {}, RunState::Run, Duration(0) });
            return result;
        }
        this->counters.counter("calls.attempt_failed." + std::string(backendStatusNames.name(answer.status))).add();
        query.excluded.insert(choice->server.name);
        if (answer.status == BackendStatus::NotSent || answer.status == BackendStatus::Refused)
            continue;
        if (!call.idempotent) {
            result.outcome = CallOutcome::Unknown;
            result.cost = choice->server.costTokens;
            result.answer = errorJson(
                { ErrorCode::OutcomeUnknown, "the request was sent but no answer was received: " + answer.message, {},
                    RunState::Unknown, Duration(0) });
            return result;
        }
        result.error.run = RunState::Unknown;
        if (answer.status == BackendStatus::DeadlineExceeded) {
            result.error = { ErrorCode::DeadlineExceeded, "the call's deadline passed while it ran", {},
                RunState::Unknown, Duration(0) };
            return result;
        }
        // When all servers have been tried, each of them may be tried again.
        if (query.excluded.size() >= this->backends.servers(BackendKind::Service).size())
            query.excluded.clear();
    }
    return result;
}

// Records a call that has run, waits until the record is durable, and returns the answer.
Result<ForwardEnd> ProgramService::recordFinishedCall(
    OwnedShard& ownedShard, const Call& call, const AttemptResult& attempted)
{
    CallFinished finished = finishedRecord(call, attempted.outcome);
    finished.backendServer = attempted.backendServer;
    finished.request = call.request;
    if (call.kind == CallKind::Model) {
        BOOST_LEAF_AUTO(previous, ownedShard.withProgram(call.program, lastConversation));
        // If the previous stored request can't be parsed, the whole request is stored, which only costs space.
        finished.request = handle(
            [&] { return recordedRequest(previous, call.request); }, [&](const Error&) { return call.request; });
    }
    finished.answer = attempted.answer;
    finished.costTokens = attempted.cost;
    // The request and the answer share one size-limited platform object. The request is dropped if both don't fit,
    // because callers may ask for the answer again.
    if (finished.request.size() + finished.answer.size() > maxTurnBytes)
        finished.request.clear();
    // A conversation grows with each turn, so the next call may cost more.
    std::uint64_t nextCost = call.maxCost + call.maxCost / 4;
    BOOST_LEAF_ASSIGN(finished.ceilingTokens, ownedShard.withProgram(call.program, [&](const ProgramState& state) {
        return nextCeiling(state, attempted.cost, nextCost);
    }));
    ScopedTimer timer(this->clock, call.decision->commitWait);
    BOOST_LEAF_AUTO(ticket, ownedShard.record(call.program, { finished }));
    BOOST_LEAF_CHECK(waitUntilDurable(ownedShard, ticket, this->clock.now() + commitTimeout));
    this->counters.counter("calls.finished." + std::string(callOutcomeNames.name(attempted.outcome))).add();
    return finishedCallAnswer(attempted.outcome, attempted.answer);
}

} // namespace lovagecross
