#pragma once

// Runs one call of a caller: finds its route, prepares a turn of a conversation, sends it to backend servers until one
// answers or nothing more may be tried, and writes the answer.
//
//     CallRunner runner(parts, caller, head, body, receivedAt);
//     if (runner.run() == AfterCall::Close)
//         ... the caller's connection ends ...
//
// What may be sent again follows from the route's kind only:
//  - nothing has left, or the server said that it did not run the call: another server is tried;
//  - the outcome is unknown: only a safe call is sent again, and only a resumable stream goes on elsewhere, from the
//    last event that the caller has.
// An answer 503 is given only when the call has not run and will not run.
//
// Thread safety: not synchronized; one thread runs the call.

#include "lovagecross/gateway/EventStream.h"
#include "lovagecross/gateway/GatewayParts.h"
#include "lovagecross/gateway/ServerExchange.h"
#include "lovagecross/http/ByteStream.h"
#include "lovagecross/http/MessageHead.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lovagecross {

enum class AfterCall {
    KeepOpen,
    Close,
};

class CallRunner {
public:
    // `body` is whole. `receivedAt` is when the head's last byte had arrived.
    CallRunner(GatewayParts& shared, ByteStream& callerStream, const RequestHead& requestHead, std::string requestBody,
        TimePoint receivedAt);

    AfterCall run();

private:
    // Where an attempt leaves the call.
    enum class Step {
        Done, // an answer was written, whole
        Broken, // an answer was begun and can't be finished
        Left, // the caller has left
        TryNext,
        GiveUp, // the outcome is unknown and the call must not be sent again
    };

    AfterCall runRouted(const Route& route);
    Step attempts(const Route& route, const std::string& service);
    Step attempt(const Route& route, const ServerEntry& server);
    Step afterExchange(const Route& route, ExchangeEnd end);
    Step takeAnswer(const Route& route, ServerExchange& exchange);
    Step takeWholeAnswer(const Route& route, ServerExchange& exchange);
    Step takeStream(const Route& route, ServerExchange& exchange);
    Step forwardEvents(EventSplitter& splitter);
    Step finishStream(const Route& route);
    bool acceptEvent(const StreamEvent& event, bool& duplicate);
    bool mayTryAgain(const Route& route, ExchangeEnd end) const;
    TimePoint stallLimit(const Route& route) const;

    std::optional<AfterCall> prepareTurn(const Route& route);
    std::optional<AfterCall> loadChain();
    std::optional<AfterCall> reserveTokens(const Route& route);
    void settleTokens();

    ServerRequest makeRequest(const Route& route, const ServerEntry& server) const;
    AfterCall refuse(int status, std::string_view reason, std::optional<Duration> retryAfter = std::nullopt);
    AfterCall giveUp();
    Step writeAnswer(const ResponseHead& head, std::string_view content);
    bool writeStreamHead();
    static HeaderList forwardedFields(const ResponseHead& answer);
    void addConnectionFields(HeaderList& headers) const;
    bool mustClose() const;
    bool write(std::string_view bytes);
    void logEnd(std::string_view outcome, int status);
    Duration timeLeft() const;

    GatewayParts& parts;
    ByteStream& caller;
    const RequestHead& head;
    std::string body;
    const TimePoint receivedAt;
    const std::shared_ptr<const DirectoryView> view; // owns the route of the call
    Call call;
    TimePoint deadline;
    const Route* route = nullptr;
    bool closeAfter = false; // the caller's next call should reach another node
    std::string callerText; // of a turn, before its conversation is put in front of it

    // Attempts
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t mayHaveRun = 0; // sends whose server may have run the call
    std::uint32_t refusals = 0; // sends that servers confirmed not to have run
    std::string lastServer;
    std::string lastFailure;
    TimePoint firstSendAt;

    // The stream so far
    std::optional<ResponseHead> streamHead;
    bool headWritten = false;
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t eventsWritten = 0;
    std::uint64_t resumptions = 0;
    std::string output; // data of the events, for a turn that is kept
    TimePoint lastEventAt;
    std::optional<Duration> endTaken; // from the last event to the end, the durable record included

    // Token budget
    std::optional<GrantRequest> grant;
    std::uint32_t tokensPerEvent = 1;
    bool toEngine = false; // the call's service is served by model engines
};

} // namespace lovagecross
