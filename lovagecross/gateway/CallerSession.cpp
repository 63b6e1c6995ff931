#include "lovagecross/gateway/CallerSession.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/CallRunner.h"
#include "lovagecross/http/BodyDecoder.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t maxHeldBodyBytes = 24 * 1024 * 1024; // of all requests of this node together
constexpr Duration longestBody = std::chrono::seconds(10);
constexpr Duration refusalWriteTimeout = std::chrono::seconds(1);
constexpr Duration gentleCloseTime = milliseconds(300);
constexpr std::size_t maxDiscardedBytes = 1024 * 1024;

// Keeps a counter of held bytes right through every way out.
class HeldBody {
public:
    explicit HeldBody(Counter& heldBytes)
        : counter(heldBytes)
    {
    }
    ~HeldBody() { this->counter.subtract(this->size); }
    HeldBody(const HeldBody&) = delete;
    HeldBody& operator=(const HeldBody&) = delete;

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

CallerSession::CallerSession(GatewayParts& shared, const Poco::Net::StreamSocket& socket)
    : parts(shared)
    , stream(socket)
{
}

CallerLimits CallerSession::limits() const
{
    auto view = this->parts.directory.view();
    return view->configuration ? view->configuration->limits : CallerLimits {};
}

void CallerSession::run()
{
    for (;;) {
        RequestHead head;
        std::string body;
        HeldBody held(this->parts.counters.bodyBytes);
        ReadEnd end = this->readHead(head);
        if (end == ReadEnd::Ok)
            end = this->readBody(head, body);
        if (end == ReadEnd::Refused)
            this->closeGently();
        if (end != ReadEnd::Ok)
            return;
        held.set(body.size());
        CallRunner runner(this->parts, this->stream, head, std::move(body), this->headArrivedAt);
        if (runner.run() == AfterCall::Close) {
            this->closeGently();
            return;
        }
    }
}

void CallerSession::endIfIdle()
{
    std::lock_guard lock(this->idleMutex);
    this->endWhenIdle = true;
    if (!this->idle || this->ended || !this->stream.quiet())
        return;
    this->ended = true;
    this->stream.shutdown();
}

// False when the connection is to end instead of waiting for another request, or was ended while it waited. A request
// that arrived just then is not read: its caller sees a connection that was closed before it answered anything.
bool CallerSession::setIdle(bool nowIdle)
{
    std::lock_guard lock(this->idleMutex);
    this->idle = nowIdle;
    return !this->ended && !(nowIdle && this->endWhenIdle && this->stream.quiet());
}

CallerSession::ReadEnd CallerSession::waitForRequest(const CallerLimits& callerLimits)
{
    if (!this->stream.buffered.empty())
        return ReadEnd::Ok;
    if (!this->setIdle(true))
        return ReadEnd::Ended;
    TimePoint idleUntil = this->parts.clock.now() + callerLimits.idleTimeout;
    IoStatus status = waitReadable(this->stream, idleUntil, this->parts.clock);
    bool mayRead = this->setIdle(false);
    if (!mayRead || status != IoStatus::Ok || this->stream.receive() != IoStatus::Ok)
        return ReadEnd::Ended;
    return ReadEnd::Ok;
}

CallerSession::ReadEnd CallerSession::readHead(RequestHead& head)
{
    CallerLimits callerLimits = this->limits();
    if (this->waitForRequest(callerLimits) != ReadEnd::Ok)
        return ReadEnd::Ended;
    TimePoint headBy = this->parts.clock.now() + callerLimits.headTimeout;
    std::size_t end = std::string::npos;
    while ((end = this->stream.buffered.find(headEnd)) == std::string::npos) {
        if (this->stream.buffered.size() > callerLimits.maxHeadBytes) {
            this->refuse(431, "the head is too long");
            return ReadEnd::Refused;
        }
        if (waitReadable(this->stream, headBy, this->parts.clock) != IoStatus::Ok) {
            this->refuse(408, "the head did not arrive in time");
            return ReadEnd::Refused;
        }
        if (this->stream.receive() != IoStatus::Ok)
            return ReadEnd::Ended;
    }
    this->headArrivedAt = this->parts.clock.now();
    end += headEnd.size();
    if (end > callerLimits.maxHeadBytes) {
        this->refuse(431, "the head is too long");
        return ReadEnd::Refused;
    }
    ParsedRequest parsed = parseRequestHead(std::string_view(this->stream.buffered).substr(0, end));
    this->stream.buffered.erase(0, end);
    if (parsed.problem != HeadProblem::None) {
        bool version = parsed.problem == HeadProblem::UnsupportedVersion;
        this->refuse(version ? 505 : 400, version ? "the protocol version is not supported" : "the head is malformed");
        return ReadEnd::Refused;
    }
    head = std::move(parsed.head);
    return ReadEnd::Ok;
}

CallerSession::ReadEnd CallerSession::readBody(const RequestHead& head, std::string& body)
{
    CallerLimits callerLimits = this->limits();
    if (head.framing.kind == BodyFraming::Length && head.framing.length > callerLimits.maxBodyBytes) {
        this->refuse(413, "the body is too long");
        return ReadEnd::Refused;
    }
    if (head.framing.kind != BodyFraming::None && this->parts.counters.bodyBytes.value() > maxHeldBodyBytes) {
        this->refuse(503, "too many bodies are held");
        return ReadEnd::Refused;
    }
    if (head.expectsContinue && this->stream.buffered.empty())
        this->stream.send(
            "HTTP/1.1 100 Continue\r\n\r\n", this->headArrivedAt + refusalWriteTimeout, this->parts.clock);
    BodyDecoder decoder(head.framing);
    TimePoint bodyBy = this->headArrivedAt + longestBody;
    for (;;) {
        this->stream.buffered.erase(0, decoder.take(this->stream.buffered, body));
        if (body.size() > callerLimits.maxBodyBytes) {
            this->refuse(413, "the body is too long");
            return ReadEnd::Refused;
        }
        if (decoder.state() == BodyState::Complete)
            return ReadEnd::Ok;
        if (decoder.state() == BodyState::Broken) {
            this->refuse(400, "the body's chunks are malformed");
            return ReadEnd::Refused;
        }
        if (waitReadable(this->stream, bodyBy, this->parts.clock) != IoStatus::Ok) {
            this->refuse(408, "the body did not arrive in time");
            return ReadEnd::Refused;
        }
        if (this->stream.receive() != IoStatus::Ok)
            return ReadEnd::Ended;
    }
}

// An answer to a request whose framing is in doubt, or whose body is not read: the connection closes after it.
void CallerSession::refuse(int status, std::string_view reason)
{
    this->parts.counters.refused.add();
    HeaderList headers;
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

// Closing with unread bytes resets the connection, and the answer may be lost with it.
void CallerSession::closeGently()
{
    ::shutdown(this->stream.descriptor(), SHUT_WR);
    TimePoint until = this->parts.clock.now() + gentleCloseTime;
    std::size_t discarded = 0;
    while (discarded < maxDiscardedBytes && waitReadable(this->stream, until, this->parts.clock) == IoStatus::Ok) {
        this->stream.buffered.clear();
        if (this->stream.receive() != IoStatus::Ok)
            return;
        discarded += this->stream.buffered.size();
    }
}

} // namespace lovagecross
