#pragma once

// A caller's request as the gateway works with it, and the port that translates it from and to the header names of a
// platform. Adapter: `platform/HeaderCodec`.
//
// Thread safety: plain values; a codec is immutable and may be used from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/http/MessageHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

// One part of a prompt. Requests with the same id share the part; the last part is the request's or session's own.
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;
};

struct Call {
    std::string requestId; // new for each attempt of the caller
    std::optional<Duration> timeLeft; // that the caller waits, from when the head arrived
    std::string affinityKey; // requests that concern the same object share it
    std::optional<std::uint64_t> lastEventId; // the caller has the stream up to this event
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    std::string program;
    std::string session; // one line of turns of the program
    std::optional<Duration> programTimeLeft;
    std::optional<std::uint64_t> tokenBudget; // of all turns of the program together
    std::string previousTurn; // request id of the turn that this one continues
};

// What the gateway adds to a request that it sends to a backend server.
struct ServerOrder {
    std::string serverId; // any other server refuses the request
    Duration timeLeft { 0 };
    std::uint32_t priority = 0; // 0 is the most urgent
    std::optional<std::uint64_t> resumeAfter; // the stream goes on after this event
};

// What a backend server's answer says beside its status and body.
struct ServerRemarks {
    std::string requestId; // of the request that it answers
    bool signedByServer = false;
    bool notExecuted = false; // the server says that it did not run the request
};

class CallCodec {
public:
    virtual ~CallCodec() = default;

    virtual Call decodeCall(const HeaderList& headers) const = 0;

    // The fields to send to a backend server: those of the caller without the ones that only this system may set.
    virtual HeaderList encodeOrder(const HeaderList& callerHeaders, const ServerOrder& order) const = 0;

    virtual ServerRemarks decodeRemarks(int status, const HeaderList& headers) const = 0;

    // Fields of an answer of this system itself.
    virtual HeaderList encodeAnswer(const Call& call, std::optional<Duration> retryAfter) const = 0;
};

} // namespace lovagecross
