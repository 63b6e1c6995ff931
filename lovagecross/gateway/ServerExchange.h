#pragma once

// One request to one backend server: sends it, reads the head of its answer, then its body. The caller's connection is
// watched meanwhile, so that a caller who leaves frees the server at once.
//
//     ServerExchange exchange(parts, server, caller);
//     if (exchange.start(request, deadline) == ExchangeEnd::Ok)
//         ... exchange.head(), exchange.readSome(content, deadline) ...
//     exchange.release();   // keeps the connection if the answer was read whole
//
// Answers to other requests that arrive first on a kept connection are skipped by their request id.
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

namespace lovagecross {

enum class ExchangeEnd {
    Ok,
    NotSent, // no connection: no byte of the request has left
    Lost, // bytes were sent; the connection ended, or the answer is malformed, cut or not to this request
    TimedOut, // bytes were sent and `deadline` has passed
    CallerLeft,
};

inline constexpr NameTable<ExchangeEnd, 5> exchangeEndNames { { {
    { ExchangeEnd::Ok, "ok" },
    { ExchangeEnd::NotSent, "not_sent" },
    { ExchangeEnd::Lost, "lost" },
    { ExchangeEnd::TimedOut, "timed_out" },
    { ExchangeEnd::CallerLeft, "caller_left" },
} } };

struct ServerRequest {
    std::string method;
    std::string target;
    HeaderList headers; // without framing
    std::string_view body;
    std::string requestId;
    Reuse reuse = Reuse::Any;
};

class ServerExchange {
public:
    ServerExchange(ConnectionPool& connections, const CallCodec& headerCodec, const Clock& clock, ServerEntry target,
        const ByteStream& callerStream);

    // Sends the request and reads the head of its answer.
    ExchangeEnd start(const ServerRequest& request, TimePoint deadline);

    const ResponseHead& head() const { return this->answer; }
    const ServerRemarks& remarks() const { return this->answerRemarks; }

    // Appends content that has arrived; waits for some if there is none. Ok with `complete()` set at the end of the
    // body, else Ok with more to come.
    ExchangeEnd readSome(std::string& content, TimePoint deadline);
    bool complete() const { return this->decoder && this->decoder->state() == BodyState::Complete; }

    // Reads the rest of the body. Lost when it is longer than `maxBytes`.
    ExchangeEnd readAll(std::string& content, std::size_t maxBytes, TimePoint deadline);

    // Keeps the connection for another call if nothing speaks against it; otherwise closes it.
    void release();

private:
    ExchangeEnd sendAll(std::string_view bytes, TimePoint deadline);
    ExchangeEnd readHead(const ServerRequest& request, TimePoint deadline);
    ExchangeEnd takeHead(std::string_view bytes, bool toHeadRequest, bool& interim);
    ExchangeEnd waitForServer(TimePoint deadline);
    ExchangeEnd skipBody(TimePoint deadline);
    Duration keepTime() const;

    ConnectionPool& pool;
    const CallCodec& codec;
    const Clock& clock;
    const ServerEntry server;
    const ByteStream& caller;
    bool watchCaller = true;
    std::unique_ptr<ByteStream> stream;
    bool reused = false;
    bool sentWhole = false;
    bool streamEnded = false;
    ResponseHead answer;
    ServerRemarks answerRemarks;
    std::optional<BodyDecoder> decoder;
};

} // namespace lovagecross
