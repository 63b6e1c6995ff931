#include "lovagecross/gateway/CallerSession.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/CallRunner.h"

#include <algorithm>
#include <exception>
#include <sys/socket.h>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr Duration firstRequestDelay = milliseconds(100); // from a new connection to its first request
constexpr Duration bodyTimeout = std::chrono::seconds(10);
constexpr Duration refusalWriteTimeout = std::chrono::seconds(1);
constexpr Duration lingeringCloseTimeout = milliseconds(300);
constexpr std::size_t maxDiscardedBytes = 1024 * 1024;
constexpr std::size_t maxUndecodedBytes = 16 * 1024; // beyond the limit of a chunked body, before it is refused

constexpr std::size_t minNodeBodyLimitBytes = 24 * 1024 * 1024;
constexpr std::size_t minNodeHeadLimitBytes = 256 * 1024; // a node with another configuration may allow as much
constexpr std::size_t maxRelayFieldBytes = 4 * 1024; // that a node adds to the head of a call

// The limits for calls of other nodes. The node that read a call has applied the limits of the configuration, maybe of
// another version, and keeps connections for longer than callers may.
CallerLimits limitsForNodes(const CallerLimits& configured)
{
    CallerLimits limits;
    limits.maxHeadBytes = std::max(configured.maxHeadBytes, minNodeHeadLimitBytes) + maxRelayFieldBytes;
    limits.maxBodyBytes = std::max(configured.maxBodyBytes, minNodeBodyLimitBytes);
    limits.headTimeout = std::max(configured.headTimeout, limits.headTimeout);
    limits.idleTimeout = std::max(configured.idleTimeout, limits.idleTimeout);
    return limits;
}

// Counts one request body in the counter of buffered bytes and removes it on destruction.
class BufferedBodyBytes {
public:
    explicit BufferedBodyBytes(Counter& bufferedBytes)
        : counter(bufferedBytes)
    {
    }
    ~BufferedBodyBytes() { this->counter.subtract(this->size); }
    BufferedBodyBytes(const BufferedBodyBytes&) = delete;
    BufferedBodyBytes& operator=(const BufferedBodyBytes&) = delete;

    void set(std::size_t newSize)
    {
        this->counter.add(newSize);
        this->counter.subtract(this->size);
        this->size = newSize;
    }

private:
    Counter& counter;
    std::size_t size = 0;
};

} // namespace

CallerSession::CallerSession(GatewayContext& shared, const Poco::Net::StreamSocket& socket,
    TrackedConnection& trackedConnection, CallOrigin callOrigin)
    : parts(shared)
    , connection(trackedConnection)
    , origin(callOrigin)
    , stream(socket)
    , openedAt(shared.clock.now())
{
    if (this->origin == CallOrigin::Node)
        ++this->parts.relay->openConnections;
}

CallerSession::~CallerSession()
{
    if (this->origin == CallOrigin::Node)
        --this->parts.relay->openConnections;
}

CallerLimits CallerSession::limits() const
{
    auto view = this->parts.directory.view();
    CallerLimits configured = view->configuration ? view->configuration->limits : CallerLimits {};
    return this->origin == CallOrigin::Node ? limitsForNodes(configured) : configured;
}

void CallerSession::run()
{
    for (;;) {
        RequestHead head;
        ReadResult end = this->readHead(head);
        if (end == ReadResult::Closed)
            return;
        if (end == ReadResult::Refused || this->serve(head) == AfterCall::Close) {
            this->lingeringClose();
            return;
        }
    }
}

// Reads the body and runs the call. The memory of the body is reserved until the call has ended.
AfterCall CallerSession::serve(const RequestHead& head)
{
    std::size_t announced = head.framing.kind == BodyFraming::Length ? head.framing.length : 0;
    BufferReservation reservation(
        this->parts.memory, this->parts.clock, announced, [this] { this->stream.endInput(); });
    std::string body;
    if (this->readBody(head, body, reservation) != ReadResult::Ok || !this->connection.runsRequest())
        return AfterCall::Close;
    BufferedBodyBytes bodyBytes(this->parts.counters.bodyBytes);
    bodyBytes.set(body.size());
    return this->runCall(head, std::move(body));
}

AfterCall CallerSession::runCall(const RequestHead& head, std::string body)
{
    std::optional<CallRunner> runner;
    try {
        runner.emplace(this->parts, this->stream, head, std::move(body), this->headArrivedAt, this->origin);
    } catch (const std::exception& error) {
        LogLine(LogLevel::Error, "call_error").field("error", error.what()).write();
        this->refuse(503, "an unexpected error occurred");
        return AfterCall::Close;
    }
    this->setRunningRequest(runner->requestId());
    AfterCall after = runner->run();
    this->setRunningRequest({});
    return after;
}

void CallerSession::closeIfIdle()
{
    std::lock_guard lock(this->idleMutex);
    if (this->headArrivedAt == TimePoint() && this->parts.clock.now() - this->openedAt < firstRequestDelay)
        return;
    this->closeWhenIdle = true;
    if (!this->idle || this->closedWhileIdle || !this->stream.isReusable())
        return;
    this->closedWhileIdle = true;
    this->stream.shutdown();
}

void CallerSession::setRunningRequest(const std::string& id)
{
    std::lock_guard lock(this->idleMutex);
    this->runningRequest = id;
}

void CallerSession::logCutCall() const
{
    std::lock_guard lock(this->idleMutex);
    if (this->runningRequest.empty())
        return;
    LogLine(LogLevel::Warning, "call_cut_at_stop")
        .field("request", this->runningRequest)
        .field("ms", toMillis(this->parts.clock.now() - this->headArrivedAt))
        .write();
}

// Returns false if the connection must close instead of waiting for another request, or was closed while it waited. A
// request that arrived at that moment is not read; its caller sees a connection closed before any response.
bool CallerSession::setIdle(bool nowIdle)
{
    std::lock_guard lock(this->idleMutex);
    this->idle = nowIdle;
    return !this->closedWhileIdle && !(nowIdle && this->closeWhenIdle && this->stream.isReusable());
}

CallerSession::ReadResult CallerSession::waitForRequest(const CallerLimits& callerLimits)
{
    if (!this->stream.buffered.empty())
        return ReadResult::Ok;
    if (!this->setIdle(true))
        return ReadResult::Closed;
    this->stream.releaseEmptyBuffer();
    TimePoint idleUntil = this->parts.clock.now() + callerLimits.idleTimeout;
    IoStatus status = waitReadable(this->stream, idleUntil, this->parts.clock);
    bool mayRead = this->setIdle(false);
    if (!mayRead || status != IoStatus::Ok || this->stream.receive() != IoStatus::Ok)
        return ReadResult::Closed;
    return ReadResult::Ok;
}

CallerSession::ReadResult CallerSession::readHead(RequestHead& head)
{
    CallerLimits callerLimits = this->limits();
    this->connection.waits();
    if (this->waitForRequest(callerLimits) != ReadResult::Ok)
        return ReadResult::Closed;
    this->connection.readsRequest();
    TimePoint headBy = this->parts.clock.now() + callerLimits.headTimeout;
    std::size_t end = std::string::npos;
    while ((end = this->stream.buffered.find(headEnd)) == std::string::npos) {
        if (this->stream.buffered.size() > callerLimits.maxHeadBytes) {
            this->refuse(431, "the head is too long");
            return ReadResult::Refused;
        }
        if (waitReadable(this->stream, headBy, this->parts.clock) != IoStatus::Ok) {
            this->refuse(408, "the head did not arrive in time");
            return ReadResult::Refused;
        }
        if (this->stream.receive() != IoStatus::Ok)
            return ReadResult::Closed;
    }
    {
        std::lock_guard lock(this->idleMutex); // `closeIfIdle` reads it on another thread
        this->headArrivedAt = this->parts.clock.now();
    }
    end += headEnd.size();
    if (end > callerLimits.maxHeadBytes) {
        this->refuse(431, "the head is too long");
        return ReadResult::Refused;
    }
    ParsedRequest parsed = parseRequestHead(std::string_view(this->stream.buffered).substr(0, end));
    this->stream.buffered.erase(0, end);
    if (parsed.problem != HeadError::None) {
        bool version = parsed.problem == HeadError::UnsupportedVersion;
        this->refuse(version ? 505 : 400, version ? "the protocol version is not supported" : "the head is malformed");
        return ReadResult::Refused;
    }
    head = std::move(parsed.head);
    return ReadResult::Ok;
}

CallerSession::ReadResult CallerSession::readBody(
    const RequestHead& head, std::string& body, BufferReservation& reservation)
{
    if (head.framing.kind == BodyFraming::Length && head.framing.length > this->limits().maxBodyBytes)
        return this->refuseBody(413, "the body is too long", body, reservation);
    if (head.expectsContinue && this->stream.buffered.empty())
        this->stream.send(
            "HTTP/1.1 100 Continue\r\n\r\n", this->headArrivedAt + refusalWriteTimeout, this->parts.clock);
    BodyDecoder decoder(head.framing);
    TimePoint bodyBy = this->headArrivedAt + bodyTimeout;
    for (;;) {
        if (ReadResult decoded = this->decodeBody(decoder, head, body, reservation); decoded != ReadResult::Ok)
            return decoded;
        if (decoder.state() == BodyState::Complete)
            return reservation.complete() ? ReadResult::Ok : this->refuseForMemory(head, body, reservation);
        this->stream.releaseEmptyBuffer();
        IoStatus waited = waitReadable(this->stream, bodyBy, this->parts.clock);
        if (reservation.mustGiveWay())
            return this->refuseForMemory(head, body, reservation);
        if (waited != IoStatus::Ok)
            return this->refuseBody(408, "the body did not arrive in time", body, reservation);
        if (this->stream.receive() != IoStatus::Ok)
            return ReadResult::Closed;
        this->connection.received(body.size() + this->stream.buffered.size());
    }
}

// Decodes the received bytes, after memory for them has been reserved.
CallerSession::ReadResult CallerSession::decodeBody(
    BodyDecoder& decoder, const RequestHead& head, std::string& body, BufferReservation& reservation)
{
    std::size_t maxBytes = this->limits().maxBodyBytes;
    if (decoder.state() == BodyState::Reading && !this->stream.buffered.empty()) {
        bool announced = head.framing.kind == BodyFraming::Length;
        std::size_t limit = announced ? head.framing.length : maxBytes + maxUndecodedBytes;
        std::size_t needed = body.size() + this->stream.buffered.size();
        if (!reservation.grow(body, announced ? std::min(needed, limit) : needed, limit))
            return this->refuseForMemory(head, body, reservation);
        this->stream.buffered.erase(0, decoder.decode(this->stream.buffered, body));
    }
    if (body.size() > maxBytes)
        return this->refuseBody(413, "the body is too long", body, reservation);
    if (decoder.state() == BodyState::Broken)
        return this->refuseBody(400, "the body's chunks are malformed", body, reservation);
    return ReadResult::Ok;
}

// Frees the body before the response is sent: a caller that does not read may delay it.
CallerSession::ReadResult CallerSession::refuseBody(
    int status, std::string_view reason, std::string& body, BufferReservation& reservation)
{
    reservation.release(body);
    this->refuse(status, reason);
    return ReadResult::Refused;
}

CallerSession::ReadResult CallerSession::refuseForMemory(
    const RequestHead& head, std::string& body, BufferReservation& reservation)
{
    reservation.release(body);
    this->parts.counters.outOfMemory.add();
    this->refuse(503, "the memory for request bodies is used up",
        this->parts.codec.encodeResponseHeaders(this->parts.codec.decodeCall(head.headers), memoryRetryAfter));
    return ReadResult::Refused;
}

// Sends an error response to a request whose framing is invalid or whose body is not read. The connection must be
// closed afterwards.
void CallerSession::refuse(int status, std::string_view reason, HeaderList headers)
{
    this->parts.counters.refused.add();
    headers.add("Connection", "close");
    LogLine(LogLevel::Info, "call")
        .field("outcome", reason)
        .field("status", status)
        .field("peerBytes", this->stream.buffered.size())
        .write();
    IoStatus sent = this->stream.send(printError(status, reason, std::move(headers)),
        this->parts.clock.now() + refusalWriteTimeout, this->parts.clock);
    if (sent != IoStatus::Ok)
        LogLine(LogLevel::Info, "caller_left").field("status", status).write();
}

// Shuts down sending and discards input for a short time before the connection is closed. Closing a socket with unread
// bytes resets the connection, and the caller may lose the response.
void CallerSession::lingeringClose()
{
    this->connection.waits();
    ::shutdown(this->stream.descriptor(), SHUT_WR);
    TimePoint until = this->parts.clock.now() + lingeringCloseTimeout;
    std::size_t discarded = 0;
    while (discarded < maxDiscardedBytes && waitReadable(this->stream, until, this->parts.clock) == IoStatus::Ok) {
        this->stream.buffered.clear();
        if (this->stream.receive() != IoStatus::Ok)
            return;
        discarded += this->stream.buffered.size();
    }
}

} // namespace lovagecross
