#include "lovagecross/gateway/ServerExchange.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxAnswerHeadBytes = 32 * 1024;
constexpr std::size_t maxSkippedBytes = 1024 * 1024; // of an answer to another request
constexpr int maxSkippedAnswers = 3;
constexpr Duration defaultKeepTime = std::chrono::seconds(4); // for a server that states no idle timeout
constexpr Duration keepMargin = milliseconds(500); // a connection is given up before the server closes it
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

ExchangeEnd ServerExchange::start(const ServerRequest& request, TimePoint deadline)
{
    PooledConnection connection = this->pool.open(this->server, request.reuse, deadline);
    if (!connection.stream)
        return ExchangeEnd::NotSent;
    this->stream = std::move(connection.stream);
    this->reused = connection.reused;
    HeaderList headers = request.headers;
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        headers.set("Content-Length", std::to_string(request.body.size()));
    std::string bytes = printRequestHead(request.method, request.target, headers);
    bytes += request.body;
    ExchangeEnd sent = this->sendAll(bytes, deadline);
    return sent == ExchangeEnd::Ok ? this->readHead(request, deadline) : sent;
}

// A server may answer before it has read a long body. Sending ends then; the connection is not used again.
ExchangeEnd ServerExchange::sendAll(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        std::size_t sent = 0;
        if (this->stream->sendSome(bytes, sent) != IoStatus::Ok)
            return ExchangeEnd::Lost;
        bytes.remove_prefix(sent);
        if (bytes.empty())
            break;
        if (sent > 0)
            continue;
        pollfd item { this->stream->descriptor(), POLLIN | POLLOUT, 0 };
        Duration left = deadline - this->clock.now();
        if (left <= Duration(0))
            return ExchangeEnd::TimedOut;
        ::poll(&item, 1, static_cast<int>(toMillis(left) + 1));
        if ((item.revents & POLLIN) != 0)
            return ExchangeEnd::Ok;
    }
    this->sentWhole = true;
    return ExchangeEnd::Ok;
}

ExchangeEnd ServerExchange::waitForServer(TimePoint deadline)
{
    for (;;) {
        switch (waitEither(*this->stream, this->caller, this->watchCaller, deadline, this->clock)) {
        case PairEvent::First:
            return ExchangeEnd::Ok;
        case PairEvent::TimedOut:
            return ExchangeEnd::TimedOut;
        case PairEvent::Second:
            if (this->caller.peerGone())
                return ExchangeEnd::CallerLeft;
            this->watchCaller = false; // its next request has arrived; it is read when this one has ended
            break;
        }
    }
}

ExchangeEnd ServerExchange::readHead(const ServerRequest& request, TimePoint deadline)
{
    int skipped = 0;
    for (;;) {
        std::size_t end = this->stream->buffered.find(headEnd);
        if (end == std::string::npos) {
            if (this->streamEnded || this->stream->buffered.size() > maxAnswerHeadBytes)
                return ExchangeEnd::Lost;
            if (ExchangeEnd waited = this->waitForServer(deadline); waited != ExchangeEnd::Ok)
                return waited;
            this->streamEnded = this->stream->receive() != IoStatus::Ok;
            continue;
        }
        std::string bytes = this->stream->buffered.substr(0, end + headEnd.size());
        this->stream->buffered.erase(0, bytes.size());
        bool interim = false;
        ExchangeEnd taken = this->takeHead(bytes, request.method == "HEAD", interim);
        if (taken != ExchangeEnd::Ok)
            return taken;
        if (interim)
            continue;
        if (this->answerRemarks.requestId == request.requestId)
            return ExchangeEnd::Ok;
        // A server that sheds early names no request. On a kept connection it may be shedding an earlier one.
        bool nameless = this->answerRemarks.requestId.empty();
        if (nameless && this->answerRemarks.notExecuted && !this->reused && skipped == 0)
            return ExchangeEnd::Ok;
        if (nameless || ++skipped > maxSkippedAnswers)
            return ExchangeEnd::Lost;
        if (ExchangeEnd passed = this->skipBody(deadline); passed != ExchangeEnd::Ok)
            return passed;
    }
}

ExchangeEnd ServerExchange::takeHead(std::string_view bytes, bool toHeadRequest, bool& interim)
{
    std::optional<ResponseHead> parsed = parseResponseHead(bytes, toHeadRequest);
    if (!parsed)
        return ExchangeEnd::Lost;
    interim = parsed->status < 200;
    this->answer = std::move(*parsed);
    this->answerRemarks = this->codec.decodeRemarks(this->answer.status, this->answer.headers);
    this->decoder.emplace(this->answer.framing);
    return ExchangeEnd::Ok;
}

ExchangeEnd ServerExchange::skipBody(TimePoint deadline)
{
    std::string content;
    ExchangeEnd end = this->readAll(content, maxSkippedBytes, deadline);
    bool openEnded = this->answer.framing.kind == BodyFraming::UntilClose || !this->answer.keepAlive;
    return end == ExchangeEnd::Ok && openEnded ? ExchangeEnd::Lost : end;
}

ExchangeEnd ServerExchange::readSome(std::string& content, TimePoint deadline)
{
    for (;;) {
        std::size_t before = content.size();
        std::size_t used = this->decoder->take(this->stream->buffered, content);
        this->stream->buffered.erase(0, used);
        if (this->decoder->state() == BodyState::Broken)
            return ExchangeEnd::Lost;
        if (this->complete() || content.size() > before)
            return ExchangeEnd::Ok;
        if (this->streamEnded)
            return ExchangeEnd::Lost;
        if (ExchangeEnd waited = this->waitForServer(deadline); waited != ExchangeEnd::Ok)
            return waited;
        IoStatus status = this->stream->receive();
        if (status == IoStatus::Ok)
            continue;
        this->streamEnded = true;
        if (status == IoStatus::Closed && this->stream->buffered.empty())
            this->decoder->connectionEnded();
    }
}

ExchangeEnd ServerExchange::readAll(std::string& content, std::size_t maxBytes, TimePoint deadline)
{
    while (!this->complete()) {
        ExchangeEnd end = this->readSome(content, deadline);
        if (end != ExchangeEnd::Ok)
            return end;
        if (content.size() > maxBytes)
            return ExchangeEnd::Lost;
    }
    return ExchangeEnd::Ok;
}

void ServerExchange::release()
{
    if (!this->stream)
        return;
    bool reusable = this->complete() && this->sentWhole && !this->streamEnded && this->answer.keepAlive
        && this->answer.framing.kind != BodyFraming::UntilClose && this->stream->quiet();
    Duration keepFor = this->keepTime();
    if (reusable && keepFor > Duration(0))
        this->pool.keep(this->server, std::move(this->stream), keepFor);
    this->stream.reset();
}

Duration ServerExchange::keepTime() const
{
    const std::string* field = this->answer.headers.find("Keep-Alive");
    if (field == nullptr)
        return defaultKeepTime;
    std::size_t at = field->find("timeout=");
    if (at == std::string::npos)
        return defaultKeepTime;
    std::size_t start = at + 8;
    std::size_t end = field->find_first_not_of("0123456789", start);
    auto seconds = parseUnsigned(std::string_view(*field).substr(start, end - start));
    if (!seconds)
        return defaultKeepTime;
    return std::min<Duration>(
        std::chrono::seconds(std::min<std::uint64_t>(*seconds, 3600)) - keepMargin, std::chrono::seconds(30));
}

} // namespace lovagecross
