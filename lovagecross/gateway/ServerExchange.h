#pragma once

// One request to one backend server: sends it, then reads the response head and body. Meanwhile it watches the caller's
// connection, so that the server is released as soon as the caller disconnects.
//
//     ServerExchange exchange(pool, codec, clock, server, caller);
//     ExchangeStatus status = exchange.start(request, deadline);
//     while (status == ExchangeStatus::TimedOut && ... the response is still wanted ...)
//         status = exchange.awaitHead(laterDeadline);
//     if (status == ExchangeStatus::Ok)
//         ... exchange.head(), exchange.readSome(content, deadline) ...
//     exchange.release();   // returns the connection to the pool if the response was read completely
//
// TimedOut ends only the wait: the exchange can go on with a later deadline.
//
// Late responses to earlier requests on a reused connection are recognized by their request id and skipped.
//
// Thread safety: not synchronized; one thread at a time.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ConnectionPool.h"
#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/http/ByteStream.h"
#include "lovagecross/http/MessageHead.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lovagecross {

enum class ExchangeStatus {
    Ok,
    NotSent, // no connection, and no byte of the request was sent
    Lost, // bytes were sent; the connection closed, or the response is malformed, truncated or for another request
    TimedOut, // bytes were sent and `deadline` has passed
    CallerLeft,
    OutOfMemory, // this node has no memory for the response, which says nothing about the server
};

inline constexpr NameTable<ExchangeStatus, 6> exchangeStatusNames { { {
    { ExchangeStatus::Ok, "ok" },
    { ExchangeStatus::NotSent, "not_sent" },
    { ExchangeStatus::Lost, "lost" },
    { ExchangeStatus::TimedOut, "timed_out" },
    { ExchangeStatus::CallerLeft, "caller_left" },
    { ExchangeStatus::OutOfMemory, "out_of_memory" },
} } };

struct ServerRequest {
    std::string method;
    std::string target;
    HeaderList headers; // without body framing fields
    std::string_view body; // must stay valid until the response's head is read
    std::string requestId;
    Reuse reuse = Reuse::Any;
};

class ServerExchange {
public:
    ServerExchange(ConnectionPool& connections, const CallCodec& headerCodec, const Clock& clock, ServerEntry target,
        const ByteStream& callerStream);

    // Sends the request and reads the response head.
    ExchangeStatus start(const ServerRequest& request, TimePoint deadline);

    // Goes on after `start` or `awaitHead` has returned TimedOut.
    ExchangeStatus awaitHead(TimePoint deadline);

    const ResponseHead& head() const { return this->response; }
    // Whether the request was sent on a new connection.
    bool openedConnection() const { return this->connected && !this->reused; }

    const ResponseMetadata& remarks() const { return this->responseRemarks; }

    // Whether any response on this connection said that the server leaves: an interim one, one to an earlier request,
    // or one that broke off.
    bool serverLeaves() const { return this->leaving; }

    // All reads end with TimedOut at their deadline. What has already arrived by then is still read, up to a limit, so
    // that a response is not lost because this process was suspended and bytes without end do not keep it reading.
    //
    // Appends the content that has arrived, and waits for some if there is none. After Ok, `complete()` tells whether
    // the body has ended.
    ExchangeStatus readSome(std::string& content, TimePoint deadline);
    bool complete() const { return this->decoder && this->decoder->state() == BodyState::Complete; }

    // Reads the rest of the body. Returns Lost if it is longer than `maxBytes`.
    ExchangeStatus readAll(std::string& content, std::size_t maxBytes, TimePoint deadline);

    // Returns the connection to the pool if it can be reused; otherwise closes it.
    void release();

private:
    ExchangeStatus sendRequest(TimePoint deadline);
    IoStatus sendMore(std::size_t& sent);
    void dropUnsent();
    ExchangeStatus readHead(TimePoint deadline);
    ExchangeStatus parseHead(std::string_view bytes, bool& interim);
    ExchangeStatus receiveMore(TimePoint deadline);
    ExchangeStatus waitForServer(TimePoint deadline);
    ExchangeStatus discardBody(TimePoint deadline);
    Duration idleTimeout() const;

    ConnectionPool& pool;
    const CallCodec& codec;
    const Clock& clock;
    const ServerEntry server;
    const ByteStream& caller;
    bool watchCaller = true;
    std::unique_ptr<ByteStream> stream;
    bool reused = false;
    bool connected = false;
    std::unordered_set<std::uint64_t> sentRequests; // on this connection, hashes of their ids
    std::string requestId;
    bool toHeadRequest = false;
    std::string unsentHead; // rest of the request's head
    std::string_view unsentBody; // rest of the request's body, which the owner of the request holds
    bool requestSent = false; // completely
    int skippedResponses = 0; // to earlier requests
    bool discarding = false; // the body of such a response
    int interimResponses = 0;
    bool streamEnded = false;
    std::size_t bytesAfterDeadline = 0;
    ResponseHead response;
    ResponseMetadata responseRemarks;
    bool leaving = false;
    std::optional<BodyDecoder> decoder;
};

} // namespace lovagecross
