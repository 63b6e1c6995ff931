#include "lovagecross/gateway/ServerExchange.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxResponseHeadBytes = 32 * 1024;
constexpr std::size_t maxDiscardedBodyBytes = 1024 * 1024; // of a response to another request
constexpr std::size_t maxBodyBytesBesideHead = 16 * 1024; // a small body is sent with the head, in one packet
constexpr int maxSkippedResponses = 3;
constexpr int maxInterimResponses = 32; // with a status below 200, before the final one
constexpr std::size_t maxBytesAfterDeadline = 256 * 1024;
constexpr Duration defaultIdleTimeout = std::chrono::seconds(4); // for a server that sends no Keep-Alive timeout
constexpr Duration idleTimeoutMargin = milliseconds(500); // drops an idle connection before the server closes it
constexpr std::string_view headEnd = "\r\n\r\n";

} // namespace

ServerExchange::ServerExchange(ConnectionPool& connections, const CallCodec& headerCodec, const Clock& clock,
    ServerEntry target, const ByteStream& callerStream)
    : pool(connections)
    , codec(headerCodec)
    , clock(clock)
    , server(std::move(target))
    , caller(callerStream)
{
}

ExchangeStatus ServerExchange::start(const ServerRequest& request, TimePoint deadline)
{
    PooledConnection connection = this->pool.open(this->server, request.requestId, request.reuse, deadline);
    if (!connection.stream)
        return ExchangeStatus::NotSent;
    this->stream = std::move(connection.stream);
    this->reused = connection.reused;
    this->connected = true;
    this->sentRequests = std::move(connection.sentRequests);
    HeaderList headers = request.headers;
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        headers.set("Content-Length", std::to_string(request.body.size()));
    this->unsentHead = printRequestHead(request.method, request.target, headers);
    this->unsentBody = request.body;
    if (this->unsentBody.size() <= maxBodyBytesBesideHead) {
        this->unsentHead += this->unsentBody;
        this->unsentBody = {};
    }
    this->requestId = request.requestId;
    this->toHeadRequest = request.method == "HEAD";
    return this->awaitHead(deadline);
}

ExchangeStatus ServerExchange::awaitHead(TimePoint deadline)
{
    ExchangeStatus sent = this->sendRequest(deadline);
    return sent == ExchangeStatus::Ok ? this->readHead(deadline) : sent;
}

// Sends the bytes that the connection accepts, and sets `sent` to their number.
IoStatus ServerExchange::sendMore(std::size_t& sent)
{
    IoStatus status = this->stream->sendSome(this->unsentHead.empty() ? this->unsentBody : this->unsentHead, sent);
    if (this->unsentHead.empty())
        this->unsentBody.remove_prefix(sent);
    else
        this->unsentHead.erase(0, sent);
    return status;
}

void ServerExchange::dropUnsent()
{
    this->unsentHead.clear();
    this->unsentBody = {};
}

// Sends what is left of the request. A server may respond before it has read a long body; sending then stops, and the
// connection is not reused.
ExchangeStatus ServerExchange::sendRequest(TimePoint deadline)
{
    while (!this->unsentHead.empty() || !this->unsentBody.empty()) {
        std::size_t sent = 0;
        if (this->sendMore(sent) != IoStatus::Ok)
            return ExchangeStatus::Lost;
        this->requestSent = this->unsentHead.empty() && this->unsentBody.empty();
        if (sent > 0)
            continue;
        Duration left = deadline - this->clock.now();
        if (left <= Duration(0))
            return ExchangeStatus::TimedOut;
        std::array<pollfd, 2> items { { { this->stream->descriptor(), POLLIN | POLLOUT, 0 },
            { this->caller.descriptor(), POLLIN, 0 } } };
        ::poll(items.data(), this->watchCaller ? 2 : 1, static_cast<int>(toMillis(left) + 1));
        if ((items[0].revents & POLLIN) != 0)
            this->dropUnsent();
        if (items[1].revents == 0)
            continue;
        if (this->caller.peerClosed())
            return ExchangeStatus::CallerLeft;
        this->watchCaller = false; // the caller's next request has arrived
    }
    return ExchangeStatus::Ok;
}

ExchangeStatus ServerExchange::waitForServer(TimePoint deadline)
{
    for (;;) {
        switch (waitEither(*this->stream, this->caller, this->watchCaller, deadline, this->clock)) {
        case PairEvent::First:
            return ExchangeStatus::Ok;
        case PairEvent::TimedOut:
            return ExchangeStatus::TimedOut;
        case PairEvent::Second:
            if (this->caller.peerClosed())
                return ExchangeStatus::CallerLeft;
            this->watchCaller = false; // the caller's next request has arrived; it is read after this one
            break;
        }
    }
}

ExchangeStatus ServerExchange::readHead(TimePoint deadline)
{
    for (;;) {
        if (ExchangeStatus discarded = this->discardBody(deadline); discarded != ExchangeStatus::Ok)
            return discarded;
        std::size_t end = this->stream->buffered.find(headEnd);
        if (end == std::string::npos) {
            if (this->streamEnded || this->stream->buffered.size() > maxResponseHeadBytes)
                return ExchangeStatus::Lost;
            if (ExchangeStatus received = this->receiveMore(deadline); received != ExchangeStatus::Ok)
                return received;
            continue;
        }
        std::string bytes = this->stream->buffered.substr(0, end + headEnd.size());
        this->stream->buffered.erase(0, bytes.size());
        bool interim = false;
        ExchangeStatus taken = this->parseHead(bytes, interim);
        if (taken != ExchangeStatus::Ok)
            return taken;
        if (interim && ++this->interimResponses > maxInterimResponses)
            return ExchangeStatus::Lost;
        if (interim)
            continue;
        if (this->responseRemarks.requestId == this->requestId)
            return ExchangeStatus::Ok;
        // A server that sheds load before it parses the request sends no request id. On a reused connection such a
        // response may belong to an earlier request.
        bool withoutId = this->responseRemarks.requestId.empty();
        if (withoutId && this->responseRemarks.notExecuted && !this->reused && this->skippedResponses == 0)
            return ExchangeStatus::Ok;
        if (withoutId || ++this->skippedResponses > maxSkippedResponses)
            return ExchangeStatus::Lost;
        this->discarding = true;
    }
}

ExchangeStatus ServerExchange::parseHead(std::string_view bytes, bool& interim)
{
    std::optional<ResponseHead> parsed = parseResponseHead(bytes, this->toHeadRequest);
    if (!parsed)
        return ExchangeStatus::Lost;
    interim = parsed->status < 200;
    this->response = std::move(*parsed);
    this->responseRemarks = this->codec.decodeResponseMetadata(this->response.status, this->response.headers);
    this->leaving = this->leaving || this->responseRemarks.leaving;
    this->decoder.emplace(this->response.framing);
    return ExchangeStatus::Ok;
}

// Skips the rest of the body of a response to an earlier request.
ExchangeStatus ServerExchange::discardBody(TimePoint deadline)
{
    if (!this->discarding)
        return ExchangeStatus::Ok;
    std::string content;
    ExchangeStatus end = this->readAll(content, maxDiscardedBodyBytes, deadline);
    if (end != ExchangeStatus::Ok)
        return end;
    this->discarding = false;
    bool closesConnection = this->response.framing.kind == BodyFraming::UntilClose || !this->response.keepAlive;
    return closesConnection ? ExchangeStatus::Lost : ExchangeStatus::Ok;
}

ExchangeStatus ServerExchange::readSome(std::string& content, TimePoint deadline)
{
    for (;;) {
        std::size_t before = content.size();
        std::size_t used = this->decoder->decode(this->stream->buffered, content);
        this->stream->buffered.erase(0, used);
        if (this->decoder->state() == BodyState::Broken)
            return ExchangeStatus::Lost;
        if (this->complete() || content.size() > before)
            return ExchangeStatus::Ok;
        if (this->streamEnded)
            return ExchangeStatus::Lost;
        if (ExchangeStatus received = this->receiveMore(deadline); received != ExchangeStatus::Ok)
            return received;
    }
}

// Waits for bytes from the server and reads them. Sets `streamEnded` if the connection has ended instead.
ExchangeStatus ServerExchange::receiveMore(TimePoint deadline)
{
    if (ExchangeStatus waited = this->waitForServer(deadline); waited != ExchangeStatus::Ok)
        return waited;
    std::size_t before = this->stream->buffered.size();
    IoStatus status = this->stream->receive();
    if (this->clock.now() >= deadline)
        this->bytesAfterDeadline += this->stream->buffered.size() - before;
    else
        this->bytesAfterDeadline = 0;
    if (this->bytesAfterDeadline > maxBytesAfterDeadline)
        return ExchangeStatus::TimedOut;
    if (status == IoStatus::Ok)
        return ExchangeStatus::Ok;
    this->streamEnded = true;
    if (status == IoStatus::Closed && this->stream->buffered.empty() && this->decoder)
        this->decoder->connectionEnded();
    return ExchangeStatus::Ok;
}

ExchangeStatus ServerExchange::readAll(std::string& content, std::size_t maxBytes, TimePoint deadline)
{
    while (!this->complete()) {
        ExchangeStatus end = this->readSome(content, deadline);
        if (end != ExchangeStatus::Ok)
            return end;
        if (content.size() > maxBytes)
            return ExchangeStatus::Lost;
    }
    return ExchangeStatus::Ok;
}

void ServerExchange::release()
{
    if (!this->stream)
        return;
    bool reusable = this->complete() && this->requestSent && !this->streamEnded && this->response.keepAlive
        && this->response.framing.kind != BodyFraming::UntilClose && this->stream->isReusable();
    Duration keepFor = this->idleTimeout();
    if (reusable && keepFor > Duration(0))
        this->pool.keep(
            this->server, { std::move(this->stream), this->reused, std::move(this->sentRequests) }, keepFor);
    this->stream.reset();
}

Duration ServerExchange::idleTimeout() const
{
    const std::string* field = this->response.headers.find("Keep-Alive");
    if (field == nullptr)
        return defaultIdleTimeout;
    std::size_t at = field->find("timeout=");
    if (at == std::string::npos)
        return defaultIdleTimeout;
    std::size_t start = at + 8;
    std::size_t end = field->find_first_not_of("0123456789", start);
    auto seconds = parseUnsigned(std::string_view(*field).substr(start, end - start));
    if (!seconds)
        return defaultIdleTimeout;
    return std::min<Duration>(
        std::chrono::seconds(std::min<std::uint64_t>(*seconds, 3600)) - idleTimeoutMargin, std::chrono::seconds(30));
}

} // namespace lovagecross
