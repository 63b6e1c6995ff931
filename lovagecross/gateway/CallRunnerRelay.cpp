#include "lovagecross/gateway/CallRunner.h"

// Calls that are sent through another entry node, because this one lacks the path to the backend servers or to the
// record nodes, and the acceptance of such calls from other nodes.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/RelayFields.h"

#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxRelaysTried = 3;
constexpr Duration declinedRetryAfter = std::chrono::milliseconds(200);

} // namespace

// --- On the node that sends a call through another one

bool CallRunner::mustRelay(const Route& found) const
{
    if (this->callOrigin != CallOrigin::Caller || this->parts.relay == nullptr)
        return false;
    if (!this->parts.relay->paths.reachesServers())
        return true;
    return this->needsRecords(found) && !this->parts.relay->reachesRecords() && !this->parts.relay->nodes.empty();
}

// Whether the call reads or writes what record nodes keep: turns, token budgets, or the origin of a stream.
bool CallRunner::needsRecords(const Route& found) const
{
    return found.kind == RouteKind::Streaming
        && (found.storesTurns || found.resumable || this->call.tokenBudget.has_value());
}

// No connection could be opened, and this node doesn't know yet whether that is due to the servers. A stream has
// reserved tokens and recorded its origin for this node's attempts, so it is left to the caller.
bool CallRunner::mayFallBackToRelay(const Route& found, AttemptOutcome outcome) const
{
    bool unsent = this->sends > 0 && this->mayHaveRun == 0 && this->refusals == 0;
    bool unfinished = outcome == AttemptOutcome::TryNextServer || outcome == AttemptOutcome::GiveUp;
    return unsent && unfinished && found.kind != RouteKind::Streaming && this->callOrigin == CallOrigin::Caller
        && this->parts.relay != nullptr && !this->parts.relay->nodes.empty();
}

CallRunner::AttemptOutcome CallRunner::relay(const Route& found)
{
    AttemptOutcome outcome = AttemptOutcome::TryNextServer;
    std::set<std::string> tried;
    while (tried.size() < maxRelaysTried && this->timeLeft() > detail::minTimeToSend) {
        std::optional<RelayChoice> choice = this->parts.relay->nodes.next(tried);
        if (!choice)
            break;
        tried.insert(choice->node.address);
        outcome = this->relayThrough(found, choice->node);
        if (outcome != AttemptOutcome::TryNextServer || choice->isGuess)
            break;
    }
    if (outcome == AttemptOutcome::TryNextServer)
        this->otherNodes = this->parts.relay->nodes.whyLeftOut();
    if (outcome != AttemptOutcome::Completed)
        this->closeAfterCall = true; // so that the caller's next call can reach another node
    return outcome;
}

CallRunner::AttemptOutcome CallRunner::relayThrough(const Route& found, const RelayNode& node)
{
    ServerEntry target;
    target.id = node.address;
    target.address = node.address;
    ServerRequest request;
    request.method = this->head.method;
    request.target = this->head.target;
    bool withoutKey = !this->view->configuration->tenants.empty();
    request.headers = this->parts.codec.encodeRelayedRequest(this->head.headers, this->timeLeft(), withoutKey);
    if (withoutKey && this->call.credential.kind == CredentialKind::Key)
        request.headers.set(relayKeyDigestField, printKeyDigest(this->call.credential.digest));
    request.headers.set(relayedForField, this->parts.relay->nodeName);
    request.headers.set(relayConfigurationField, std::to_string(this->view->configuration->version));
    request.body = this->body;
    request.requestId = this->call.requestId;
    request.reuse = found.repeatable() ? Reuse::Any : Reuse::IfRecentlyUsed;
    this->lastServer = node.address;
    TimePoint sentAt = this->parts.clock.now();
    this->firstSendAt = sentAt;
    this->relayTried = true;
    this->noteProgress(sentAt);
    ServerExchange exchange(this->parts.relay->connections, this->parts.codec, this->parts.clock, target, this->caller);
    ExchangeStatus end = exchange.start(request, this->deadline);
    if (end == ExchangeStatus::NotSent || end == ExchangeStatus::Lost)
        this->parts.relay->nodes.failed(node.address);
    if (end != ExchangeStatus::Ok) {
        this->lastFailure = std::string("relay_") + std::string(exchangeStatusNames.name(end));
        AttemptOutcome outcome = this->handleFailedExchange(found, end);
        // The other node may have recorded the origin of a stream, which a third one would not know.
        bool unknown = end == ExchangeStatus::Lost || end == ExchangeStatus::TimedOut;
        return unknown && found.kind == RouteKind::Streaming ? AttemptOutcome::GiveUp : outcome;
    }
    if (auto decline = relayDeclineOf(exchange.head().headers)) {
        this->lastFailure = "relay_declined_" + std::string(declineReasonNames.name(decline->reason));
        this->parts.relay->nodes.declined(node.address, *decline);
        return AttemptOutcome::TryNextServer;
    }
    this->parts.relay->nodes.answered(node.address, sentAt);
    ++this->sends;
    this->parts.counters.relayedAway.add();
    this->learnFromRelay(exchange, sentAt);
    return this->forwardRelayedResponse(found, exchange);
}

// For the text of a refusal, after its reason.
std::string CallRunner::describeOtherNodes() const
{
    if (!this->otherNodes)
        return {};
    return "; other entry nodes: " + std::string(relayProblemNames.name(this->otherNodes->problem)) + " ("
        + std::to_string(toMillis(this->otherNodes->age)) + " ms ago)";
}

// What the server said about itself concerns this node too, once it reaches the server again.
void CallRunner::learnFromRelay(const ServerExchange& exchange, TimePoint sentAt)
{
    std::optional<ServerKey> key = relayServerOf(exchange.head().headers);
    if (!key)
        return;
    ServerEntry server;
    server.id = key->id;
    server.startedUnixMillis = key->startedUnixMillis;
    this->parts.permits.observe(server, exchange.remarks().requestsPerSecond, sentAt);
    if (exchange.serverLeaves())
        this->noteLeavingServer(server);
}

CallRunner::AttemptOutcome CallRunner::forwardRelayedResponse(const Route& found, ServerExchange& exchange)
{
    if (exchange.head().framing.kind == BodyFraming::Chunked)
        return this->forwardRelayedStream(exchange);
    std::string content;
    BufferReservation memory(this->parts.memory, this->parts.clock, [this] { this->caller.shutdown(); });
    ExchangeStatus end = this->readAnswer(exchange, content, memory);
    if (end != ExchangeStatus::Ok) {
        this->lastFailure = std::string("relayed_answer_") + std::string(exchangeStatusNames.name(end));
        return this->handleFailedExchange(found, end);
    }
    ResponseHead response = exchange.head();
    removeRelayFields(response.headers);
    exchange.release();
    memory.startWriting();
    return this->writeResponse(response, content);
}

// Passes on the bytes of a stream as they arrive. The other node has checked the events, and ends the stream in order
// only if it is complete.
CallRunner::AttemptOutcome CallRunner::forwardRelayedStream(ServerExchange& exchange)
{
    this->streamHead = exchange.head();
    removeRelayFields(this->streamHead->headers);
    if (!this->writeStreamHead())
        return AttemptOutcome::CallerLeft;
    while (!exchange.complete()) {
        std::string content;
        ExchangeStatus end = exchange.readSome(content, this->deadline);
        if (!content.empty())
            this->noteProgress(this->parts.clock.now());
        if (!content.empty() && !this->write(printChunk(content)))
            return AttemptOutcome::CallerLeft;
        if (end == ExchangeStatus::CallerLeft)
            return AttemptOutcome::CallerLeft;
        if (end != ExchangeStatus::Ok) {
            this->lastFailure = std::string("relayed_stream_") + std::string(exchangeStatusNames.name(end));
            this->breakCause = BreakCause::OtherNode;
            return AttemptOutcome::Truncated;
        }
    }
    exchange.release();
    if (!this->write(lastChunk))
        return AttemptOutcome::CallerLeft;
    this->parts.counters.answered.add();
    this->logCall("answered", this->streamHead->status);
    return AttemptOutcome::Completed;
}

// --- On the node that runs a call for another one

// Returns nullopt if this node can run the call. Of several reasons, the one that lasts longest comes first.
std::optional<DeclineReason> CallRunner::reasonToDecline() const
{
    const RelayContext& relay = *this->parts.relay;
    if (this->parts.draining || this->parts.stopsAt.load() != TimePoint::max())
        return DeclineReason::Stopping;
    if (this->view->configuration == nullptr
        || this->view->configuration->version < relayConfigurationOf(this->head.headers))
        return DeclineReason::OlderConfiguration;
    if (!relay.paths.reachesServers() || !relay.reachesRecords())
        return DeclineReason::NoPath;
    if (relay.calls > relay.maxCalls)
        return DeclineReason::Busy;
    return std::nullopt;
}

AfterCall CallRunner::declineRelayedCall(DeclineReason reason)
{
    this->parts.counters.relaysDeclined.add();
    HeaderList headers = this->parts.codec.encodeResponseHeaders(this->call, declinedRetryAfter);
    headers.add(relayDeclinedField, "1");
    headers.add(relayDeclineReasonField, declineReasonNames.name(reason));
    this->lastFailure = declineReasonNames.name(reason);
    headers.add("Connection", "close");
    this->logCall("relayed call declined", 503);
    this->write(printError(503, "relayed call declined", std::move(headers)));
    return AfterCall::Close;
}

void CallRunner::addRelayFields(HeaderList& headers) const
{
    if (this->callOrigin == CallOrigin::Node && !this->lastServer.empty())
        headers.set(relayServerField, printRelayServer({ this->lastServer, this->lastServerStarted }));
}

} // namespace lovagecross
