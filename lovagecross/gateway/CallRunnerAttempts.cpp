#include "lovagecross/gateway/CallRunner.h"

// The attempts of a call: choice of a server, permits, the exchange, and the events of a stream.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/base/Hash.h"
#include "lovagecross/gateway/CrashGuard.h"
#include "lovagecross/gateway/RelayFields.h"
#include "lovagecross/http/BodyDecoder.h"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxBufferedResponseBytes = 1024 * 1024; // limit for a response that is not a stream
constexpr std::size_t maxEventBytes = 256 * 1024; // limit for one event of a stream
constexpr std::size_t maxReceivedBytes = 48 * 1024; // decoded at a time
constexpr Duration answerMemoryPollInterval = std::chrono::milliseconds(10);
constexpr std::uint32_t maxExtraSends = 2; // allows for servers that confirm that they did not run the call
constexpr std::uint32_t deniedPermitsToAvoidLimits = 2; // servers without a rate limit are preferred from then on
constexpr std::uint32_t maxDeniedPermits = 8;

// Whether the status tells the caller that the call was not executed.
bool claimsNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

// --- Attempts

CallRunner::AttemptOutcome CallRunner::runAttempts(const Route& found)
{
    this->askToLeaveDataCentre();
    const ChoiceRequest request = this->choiceRequest();
    AttemptOutcome outcome = AttemptOutcome::TryNextServer;
    while (
        outcome == AttemptOutcome::TryNextServer && this->maySendAgain() && this->timeLeft() > detail::minTimeToSend) {
        if (this->successor) {
            outcome = this->runAttempt(found, *std::exchange(this->successor, std::nullopt));
            continue;
        }
        // Read anew for each attempt: a server may have left, or come back with another version, since the last one.
        auto current = this->parts.directory.view();
        const std::vector<ServerEntry>& servers = current->serversOf(this->service);
        std::optional<ServerEntry> chosen;
        if (this->versionIsFixed() && this->serverListTooOld())
            this->lastFailure = "server_list_too_old";
        else
            chosen = this->chooseServer(request, servers);
        outcome = chosen ? this->runAttemptIfPermitted(found, *chosen) : this->waitBeforeNextTry(servers);
    }
    if (this->successor)
        this->endCount(*this->successor, AttemptEnd::Withheld);
    return outcome;
}

// The number of sends is limited until the response has begun.
bool CallRunner::maySendAgain() const
{
    return this->headWritten || this->sends < this->route->maxAttempts + maxExtraSends;
}

ChoiceRequest CallRunner::choiceRequest() const
{
    ChoiceRequest request;
    request.engine = this->servedByEngine;
    request.promptTokens = this->call.promptTokens;
    // Sub-agents have sessions of their own and begin with the prompt of their program.
    const std::string& owner = this->call.program.empty() ? this->call.session : this->call.program;
    if (!owner.empty() && this->route->kind == RouteKind::Streaming)
        request.affinityHash = stableHash(owner) | 1U;
    else if (this->route->sticky && !this->call.affinityKey.empty())
        request.affinityHash = stableHash(this->call.affinityKey) | 1U;
    if (this->parts.spill != nullptr)
        request.wantedDataCentre
            = this->spillPermit ? this->spillPermit.dataCentre() : this->parts.book.ownDataCentre();
    if (this->servedByEngine && this->call.prompt.size() > 1) { // the last part belongs to the call alone
        request.prefixHash = stableHash(this->call.prompt.front().id) | 1U;
        request.prefixTokens = this->call.prompt.front().tokens;
        for (std::size_t i = 0; i + 1 < this->call.prompt.size(); ++i)
            request.historyTokens += this->call.prompt[i].tokens;
    }
    return request;
}

void CallRunner::askToLeaveDataCentre()
{
    if (this->parts.spill == nullptr)
        return;
    std::uint64_t hash = this->choiceRequest().affinityHash;
    if (hash == 0)
        hash = stableHash(this->call.requestId);
    CallSize size { static_cast<double>(this->body.size()),
        this->servedByEngine ? static_cast<double>(this->call.promptTokens) : 0 };
    this->spillPermit = this->parts.spill->mayLeave(this->service, hash, size);
}

void CallRunner::countDataCentre(const ServerEntry& server)
{
    if (server.dataCentre == this->parts.book.ownDataCentre())
        return;
    if (this->parts.spill == nullptr)
        this->leftBecause = LeaveCause::Cost;
    else
        this->leftBecause = this->spillPermit && server.dataCentre == this->spillPermit.dataCentre()
            ? LeaveCause::Measured
            : LeaveCause::NoServerHere;
    this->parts.counters.leftDataCentre.at(*this->leftBecause)->add();
}

// Chooses among the servers of the stream's version, and among all if it has no event yet and that version has none.
std::optional<ServerEntry> CallRunner::chooseServer(
    const ChoiceRequest& request, const std::vector<ServerEntry>& servers)
{
    if (!this->route->resumable || this->origin.revision == 0)
        return this->chooseAndCount(request, servers);
    std::vector<ServerEntry> sameVersion;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(sameVersion),
        [this](const ServerEntry& server) { return server.softwareVersion == this->origin.softwareVersion; });
    auto chosen = this->chooseAndCount(request, sameVersion);
    return chosen || this->versionIsFixed() ? chosen : this->chooseAndCount(request, servers);
}

// The chosen server counts a running call of this node until `endCount`.
std::optional<ServerEntry> CallRunner::chooseAndCount(
    const ChoiceRequest& request, const std::vector<ServerEntry>& servers)
{
    auto choice = this->parts.book.choose(servers, request, this->call.prompt, this->serversToSkip(servers));
    if (!choice)
        return std::nullopt;
    this->countedAt.push_back(choice->server);
    this->lastChoice = choice->reason;
    if (this->servedByEngine && request.affinityHash != 0)
        (choice->reason == ChoiceReason::Preferred ? this->parts.counters.preferredEngine
                                                   : this->parts.counters.otherEngine)
            .add();
    return choice->server;
}

void CallRunner::endCount(const ServerEntry& server, AttemptEnd outcome, Duration taken)
{
    std::erase_if(this->countedAt, [&server](const ServerEntry& counted) { return counted.id == server.id; });
    this->parts.book.finished(server, outcome, taken, this->call.prompt);
}

// Makes an attempt at the chosen server once the origin of the stream is recorded and a permit was obtained.
CallRunner::AttemptOutcome CallRunner::runAttemptIfPermitted(const Route& found, const ServerEntry& server)
{
    AttemptOutcome outcome = this->recordOrigin(found, server);
    if (outcome != AttemptOutcome::TryNextServer) {
        this->endCount(server, AttemptEnd::Withheld);
        return outcome;
    }
    if (!this->obtainPermit(server))
        return this->deniedPermits < maxDeniedPermits ? AttemptOutcome::TryNextServer
                                                      : this->waitBeforeNextTry({ server });
    return this->runAttempt(found, server);
}

// Returns the servers that have been tried and those whose permits are used up. After some denied permits, only servers
// without a limit are tried, if there are any.
std::set<std::string> CallRunner::serversToSkip(const std::vector<ServerEntry>& servers)
{
    std::set<std::string> skip = this->triedServers;
    for (const ServerEntry& server : servers) {
        if (this->quarantine && this->quarantine->versions.count(server.softwareVersion) > 0)
            skip.insert(server.id);
    }
    PermitOutlook outlook = this->parts.permits.outlook(servers);
    for (const std::string& id : outlook.exhausted) {
        if (skip.insert(id).second)
            this->noteDeniedPermit(outlook.retryAfter);
    }
    if (this->deniedPermits < deniedPermitsToAvoidLimits)
        return skip;
    std::set<std::string> unlimitedOnly = skip;
    unlimitedOnly.insert(outlook.limited.begin(), outlook.limited.end());
    bool anyLeft = std::any_of(servers.begin(), servers.end(), [&](const ServerEntry& server) {
        return server.state == ServerState::Ready && unlimitedOnly.count(server.id) == 0;
    });
    return anyLeft ? unlimitedOnly : skip;
}

bool CallRunner::obtainPermit(const ServerEntry& server)
{
    Permit permit = this->parts.permits.acquire(server, this->deadline);
    if (permit.granted)
        return true;
    this->endCount(server, AttemptEnd::Withheld);
    ++this->deniedPermits;
    this->noteDeniedPermit(permit.retryAfter);
    return false;
}

void CallRunner::noteDeniedPermit(Duration retryAfter)
{
    this->nextPermitIn = this->nextPermitIn ? std::min(*this->nextPermitIn, retryAfter) : retryAfter;
}

ServerRequest CallRunner::makeRequest(const Route& found, const ServerEntry& server) const
{
    ServerRequestFields order;
    order.serverId = server.id;
    order.timeLeft = this->timeLeft();
    order.priority = std::min(this->priorityOn(found), lowestPriority);
    order.identifiesTenant = !this->view->configuration->tenants.empty();
    if (this->tenant != nullptr)
        order.tenant = this->tenant->name;
    order.resumeAfter = this->lastEventId ? this->lastEventId : this->call.lastEventId;
    ServerRequest request;
    request.method = this->head.method;
    request.target = this->head.target;
    request.headers = this->parts.codec.encodeServerRequest(this->head.headers, order);
    if (this->callOrigin == CallOrigin::Node)
        removeRelayFields(request.headers);
    request.body = this->body;
    request.requestId = this->call.requestId;
    request.reuse = found.repeatable() ? Reuse::Any : Reuse::IfRecentlyUsed;
    return request;
}

CallRunner::AttemptOutcome CallRunner::runAttempt(const Route& found, const ServerEntry& server)
{
    if (this->caller.peerClosed()) { // e.g. while this process was paused
        this->endCount(server, AttemptEnd::Withheld);
        return AttemptOutcome::CallerLeft;
    }
    if (this->sends == 0 && this->keyWasRevoked()) {
        this->endCount(server, AttemptEnd::Withheld);
        this->refusal = this->refuse(detail::statusUnauthorized, "the key was revoked");
        return AttemptOutcome::Refused;
    }
    if (auto withheld = this->withholdQuarantined(server))
        return *withheld;
    this->triedServers.insert(server.id);
    this->lastServer = server.id;
    this->lastServerStarted = server.startedUnixMillis;
    this->lastVersion = server.softwareVersion;
    ++this->sends;
    this->parts.counters.sends.add();
    this->countDataCentre(server);
    TimePoint sentAt = this->parts.clock.now();
    std::uint32_t mayHaveRunBefore = this->mayHaveRun;
    this->noteProgress(sentAt);
    if (this->sends == 1) {
        this->firstSendAt = sentAt;
        this->parts.counters.timeToFirstSend.record(sentAt - this->receivedAt);
    }
    ServerExchange exchange(this->parts.pool, this->parts.codec, this->parts.clock, server, this->caller);
    ExchangeStatus end = exchange.start(this->makeRequest(found, server), this->waitUntil());
    if (exchange.openedConnection())
        this->parts.counters.connectionsOpened.add();
    while (end == ExchangeStatus::TimedOut && this->parts.clock.now() < this->deadline
        && !this->leavesSilentServer(server))
        end = exchange.awaitHead(this->waitUntil());
    TimePoint answeredAt = this->parts.clock.now();
    if (end == ExchangeStatus::Ok && this->parts.crashes != nullptr)
        this->parts.crashes->heard(server, sentAt);
    if (end == ExchangeStatus::Ok && this->parts.relay != nullptr)
        this->parts.relay->paths.heard();
    if (exchange.serverLeaves())
        this->noteLeavingServer(server);
    if (end == ExchangeStatus::Ok && exchange.remarks().fromServer)
        this->parts.permits.observe(server, exchange.remarks().requestsPerSecond, sentAt);
    AttemptOutcome outcome = AttemptOutcome::TryNextServer;
    AttemptEnd attemptEnd = AttemptEnd::Answered;
    if (end != ExchangeStatus::Ok) {
        bool leftSilent = end == ExchangeStatus::TimedOut && answeredAt < this->deadline;
        this->lastFailure = leftSilent ? "silent" : exchangeStatusNames.name(end);
        outcome = this->handleFailedExchange(found, end);
        attemptEnd = end == ExchangeStatus::CallerLeft ? AttemptEnd::Abandoned : AttemptEnd::Failed;
    } else if (exchange.remarks().notExecuted) {
        ++this->refusals;
        this->lastFailure = "refused_" + std::to_string(exchange.head().status);
        std::string ignored;
        if (exchange.readAll(ignored, maxBufferedResponseBytes, this->deadline) == ExchangeStatus::Ok)
            exchange.release();
        attemptEnd = AttemptEnd::Refused;
    } else {
        outcome = this->handleResponse(found, exchange, server);
        if (outcome == AttemptOutcome::CallerLeft || outcome == AttemptOutcome::OutOfMemory)
            attemptEnd = AttemptEnd::Abandoned;
        else if (outcome != AttemptOutcome::Completed)
            attemptEnd = AttemptEnd::Failed;
    }
    this->endCount(server, attemptEnd, answeredAt - sentAt);
    bool lost = this->mayHaveRun > mayHaveRunBefore && outcome != AttemptOutcome::OutOfMemory;
    if (lost)
        this->noteLostRun(server, this->parts.clock.now(), this->lastLoss);
    else if (outcome == AttemptOutcome::CallerLeft && !this->answeredWhole)
        this->noteLostRun(server, this->parts.clock.now(), LossKind::Abandoned);
    if (outcome == AttemptOutcome::TryNextServer && this->mustStopAttempts())
        outcome = AttemptOutcome::GiveUp;
    if (outcome != AttemptOutcome::Completed)
        LogLine(LogLevel::Info, "attempt")
            .field("request", this->call.requestId)
            .field("server", server.id)
            .field("serverVersion", server.softwareVersion)
            .field("end", attemptEndNames.name(attemptEnd))
            .field("why", this->lastFailure)
            .field("ms", toMillis(this->parts.clock.now() - sentAt))
            .field("registryAgeMs", toMillis(this->parts.directory.registryAge()))
            .write();
    return outcome;
}

// From now on no attempt of any call goes to the server.
void CallRunner::noteLeavingServer(const ServerEntry& server)
{
    if (!this->parts.directory.serverLeaves(keyOf(server)))
        return;
    this->parts.counters.serversLeaving.add();
    LogLine(LogLevel::Info, "server_leaves")
        .field("request", this->call.requestId)
        .field("server", server.id)
        .field("started", server.startedUnixMillis)
        .field("registryState", serverStateNames.name(server.state))
        .write();
    this->parts.reportLeavingServer(keyOf(server));
}

CallRunner::AttemptOutcome CallRunner::handleFailedExchange(const Route& found, ExchangeStatus end)
{
    if (end == ExchangeStatus::CallerLeft)
        return AttemptOutcome::CallerLeft;
    if (end == ExchangeStatus::NotSent)
        return AttemptOutcome::TryNextServer;
    ++this->mayHaveRun;
    if (end == ExchangeStatus::OutOfMemory)
        return AttemptOutcome::OutOfMemory;
    this->lastLoss = end == ExchangeStatus::TimedOut ? LossKind::Silent : LossKind::Closed;
    if (end == ExchangeStatus::Lost)
        this->failedServers.insert(this->lastServer);
    return this->mayRetry(found, end) ? AttemptOutcome::TryNextServer : AttemptOutcome::GiveUp;
}

bool CallRunner::mayRetry(const Route& found, ExchangeStatus end) const
{
    bool late = end == ExchangeStatus::TimedOut && this->parts.clock.now() >= this->deadline;
    return found.repeatable() && !late && this->mayHaveRun < found.maxAttempts;
}

CallRunner::AttemptOutcome CallRunner::handleResponse(
    const Route& found, ServerExchange& exchange, const ServerEntry& server)
{
    int status = exchange.head().status;
    bool success = status >= 200 && status < 300;
    // Servers of these routes sign every success and never encode the content, so any other success is not theirs.
    bool unexpected
        = success && (!exchange.remarks().signedByServer || exchange.head().headers.has("Content-Encoding"));
    if (unexpected || (!success && claimsNotExecuted(status))) {
        this->lastFailure = "unexpected_" + std::to_string(status);
        return this->handleFailedExchange(found, ExchangeStatus::Lost);
    }
    if (success && found.kind == RouteKind::Streaming)
        return this->forwardStream(found, exchange, server);
    if (this->headWritten) { // the resumption of a stream was rejected
        this->lastFailure = "resumption_" + std::to_string(status);
        return this->handleFailedExchange(found, ExchangeStatus::Lost);
    }
    return this->forwardBufferedResponse(found, exchange);
}

// Forwards a response only after all of it has been read.
CallRunner::AttemptOutcome CallRunner::forwardBufferedResponse(const Route& found, ServerExchange& exchange)
{
    std::string content;
    BufferReservation memory(this->parts.memory, this->parts.clock, [this] { this->caller.shutdown(); });
    ExchangeStatus end = this->readAnswer(exchange, content, memory);
    if (end != ExchangeStatus::Ok) {
        this->lastFailure = std::string("answer_") + std::string(exchangeStatusNames.name(end));
        return this->handleFailedExchange(found, end);
    }
    ResponseHead response = exchange.head();
    exchange.release();
    memory.startWriting();
    return this->writeResponse(response, content);
}

// Reads the rest of an answer, after its memory has been reserved.
ExchangeStatus CallRunner::readAnswer(ServerExchange& exchange, std::string& content, BufferReservation& memory)
{
    const Framing& framing = exchange.head().framing;
    if (framing.kind == BodyFraming::Length && framing.length > maxBufferedResponseBytes)
        return ExchangeStatus::Lost;
    while (!exchange.complete()) {
        ExchangeStatus reserved = this->reserveForAnswer(framing, content, memory);
        if (reserved != ExchangeStatus::Ok)
            return reserved;
        ExchangeStatus end = exchange.readSome(content, this->deadline);
        if (end != ExchangeStatus::Ok)
            return end;
        if (content.size() > maxBufferedResponseBytes)
            return ExchangeStatus::Lost;
    }
    return ExchangeStatus::Ok;
}

// Reserves memory for an answer's announced length, or for its next bytes; waits while there is none, without reading
// from the server. Returns OutOfMemory at the deadline, or if this answer must end for an older one.
ExchangeStatus CallRunner::reserveForAnswer(const Framing& framing, std::string& content, BufferReservation& memory)
{
    if (content.size() <= smallAnswerBytes)
        return ExchangeStatus::Ok;
    bool isAnnounced = framing.kind == BodyFraming::Length;
    std::size_t needed = isAnnounced ? framing.length : content.size() + maxReceivedBytes;
    std::size_t limit = isAnnounced ? framing.length : maxBufferedResponseBytes + maxReceivedBytes;
    while (!memory.grow(content, needed, limit)) {
        if (this->caller.peerClosed())
            return ExchangeStatus::CallerLeft;
        if (memory.mustGiveWay() || this->timeLeft() <= Duration(0))
            return ExchangeStatus::OutOfMemory;
        std::this_thread::sleep_for(answerMemoryPollInterval);
    }
    return ExchangeStatus::Ok;
}

// --- Streams

CallRunner::AttemptOutcome CallRunner::forwardStream(
    const Route& found, ServerExchange& exchange, const ServerEntry& server)
{
    if (!this->headWritten) {
        this->streamHead = exchange.head();
    } else {
        ++this->resumptions;
        this->parts.counters.streamsResumed.add();
    }
    EventSplitter splitter;
    for (;;) {
        std::string content;
        ExchangeStatus end = exchange.readSome(content, this->waitUntil());
        splitter.add(content);
        if (!content.empty() && this->parts.relay != nullptr)
            this->parts.relay->paths.heard();
        if (!content.empty() && this->parts.crashes != nullptr)
            this->parts.crashes->heardMore(server);
        if (auto outcome = this->forwardEvents(splitter))
            return *outcome;
        // Also after bytes that were no event: they must not keep a stream at a server that makes no progress.
        bool mayWait = end == ExchangeStatus::Ok || end == ExchangeStatus::TimedOut;
        if (mayWait && !exchange.complete() && this->leavesSilentServer(server)) {
            this->lastFailure = "stream_silent";
            return this->handleFailedExchange(found, ExchangeStatus::TimedOut);
        }
        if (end == ExchangeStatus::TimedOut && this->parts.clock.now() < this->deadline)
            continue;
        if (end != ExchangeStatus::Ok) {
            this->lastFailure = std::string("stream_") + std::string(exchangeStatusNames.name(end));
            return this->handleFailedExchange(found, end);
        }
        if (splitter.pendingBytes() > maxEventBytes) {
            this->lastFailure = "stream_event_too_long";
            return this->handleFailedExchange(found, ExchangeStatus::Lost);
        }
        if (!exchange.complete())
            continue;
        if (splitter.pendingBytes() > 0) {
            this->lastFailure = "stream_ends_in_event";
            return this->handleFailedExchange(found, ExchangeStatus::Lost);
        }
        exchange.release();
        return this->finishStream(found);
    }
}

// Writes the complete events that have arrived, up to a gap in their ids. Returns nullopt if reading should continue.
std::optional<CallRunner::AttemptOutcome> CallRunner::forwardEvents(EventSplitter& splitter)
{
    std::string events;
    std::uint64_t count = 0;
    bool missesEvent = false;
    while (auto event = splitter.next()) {
        bool duplicate = false;
        missesEvent = !this->acceptEvent(*event, duplicate);
        if (missesEvent)
            break;
        if (duplicate)
            continue;
        events += event->bytes;
        if (event->hasData) {
            ++count;
            if (this->route->storesTurns)
                this->turnOutput += event->data + '\n';
        }
    }
    if (!events.empty() && !this->writeEvents(events, count))
        return AttemptOutcome::CallerLeft;
    if (!this->turnFits()) {
        this->lastFailure = "turn_too_long";
        this->breakCause = BreakCause::TurnNotKept;
        return AttemptOutcome::Truncated;
    }
    if (!missesEvent)
        return std::nullopt;
    this->lastFailure = "stream_misses_event";
    return this->handleFailedExchange(*this->route, ExchangeStatus::Lost);
}

// Whether the turn can still be stored, as far as its output is known.
bool CallRunner::turnFits() const
{
    std::size_t input = this->body.size() - this->inputStart;
    return !this->route->storesTurns || input + this->turnOutput.size() <= this->parts.turns.maxTurnBytes();
}

// `count` is the number of events with data. Returns false if the caller has left.
bool CallRunner::writeEvents(std::string_view events, std::uint64_t count)
{
    this->eventsWritten += count;
    if (count > 0) { // events without data are no progress, and must not keep a stalled stream open
        this->noteProgress(this->parts.clock.now());
        this->serverRetryInterval = detail::minServerRetryInterval;
    }
    if (!this->headWritten && !this->writeStreamHead())
        return false;
    return this->write(printChunk(events));
}

// Returns false if at least one event before this one is missing.
bool CallRunner::acceptEvent(const StreamEvent& event, bool& duplicate)
{
    if (!event.id)
        return true;
    std::optional<std::uint64_t> last = this->lastEventId ? this->lastEventId : this->call.lastEventId;
    if (last && *event.id <= *last) {
        duplicate = true;
        return true;
    }
    if (last && *event.id != *last + 1)
        return false;
    this->lastEventId = event.id;
    return true;
}

// Stores the turn, whose input and output are gone afterwards.
bool CallRunner::keepTurn(const Route& found)
{
    TurnRecord record { this->scoped(this->call.requestId), this->scoped(this->call.previousTurn),
        this->scoped(this->call.program), this->takeTurnInput(), std::move(this->turnOutput), found.retention,
        std::move(this->conversationGroup) };
    std::size_t bytes = record.input.size() + record.output.size();
    if (!this->parts.memory.reserveStoredTurn(bytes, this->deadline, this->parts.clock))
        return false;
    bool kept = this->parts.turns.keep(std::move(record), this->deadline);
    this->parts.memory.releaseStoredTurn(bytes);
    return kept;
}

CallRunner::AttemptOutcome CallRunner::finishStream(const Route& found)
{
    TimePoint lastByteAt = this->parts.clock.now();
    if (!this->headWritten && !this->writeStreamHead())
        return AttemptOutcome::CallerLeft;
    // Must precede the end of the response: the caller may send its next turn right after it.
    this->settleTokens();
    this->noteAnswered();
    if (found.storesTurns) {
        bool kept = this->keepTurn(found);
        this->parts.counters.turnWrite.record(this->parts.clock.now() - lastByteAt);
        if (!kept) {
            this->lastFailure = "turn_not_kept";
            this->breakCause = BreakCause::TurnNotKept;
            return AttemptOutcome::Truncated;
        }
    }
    if (!this->write(lastChunk))
        return AttemptOutcome::CallerLeft;
    this->completionDelay = this->parts.clock.now() - lastByteAt;
    this->parts.counters.completionDelay.record(*this->completionDelay);
    this->parts.counters.answered.add();
    this->logCall("answered", this->streamHead->status);
    return AttemptOutcome::Completed;
}

bool CallRunner::writeStreamHead()
{
    HeaderList headers = forwardedFields(*this->streamHead);
    this->addRelayFields(headers);
    headers.add("Transfer-Encoding", "chunked");
    this->addConnectionFields(headers);
    this->headWritten = true;
    return this->write(printResponseHead(this->streamHead->status, this->streamHead->reason, headers));
}

} // namespace lovagecross
