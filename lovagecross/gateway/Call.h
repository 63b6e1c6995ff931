#pragma once

// The gateway's representation of a caller's request, and the interface that maps it to and from a platform's header
// fields. Implemented by `platform/HeaderCodec`.
//
// Thread safety: plain values; a codec is immutable and may be used from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/http/MessageHead.h"
#include "lovagecross/tenants/ApiKey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

// Where a call was received from.
enum class CallOrigin {
    Caller,
    Node, // another entry node that reaches no backend server
};

enum class CredentialKind {
    None, // the caller sent no key
    Malformed, // of an unknown scheme, sent twice, or a key that no tenant can have
    Key,
};

// What a caller sent to identify its tenant. Holds the digest of the key, never the key.
struct Credential {
    CredentialKind kind = CredentialKind::None;
    KeyDigest digest; // for CredentialKind::Key
};

// One part of a prompt. Requests with the same part id share that part; the last part belongs to the request or
// session.
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;
};

inline constexpr std::size_t maxNameBytes = 256; // of each id that callers choose and nodes keep

struct Call {
    std::string requestId; // new for each attempt by the caller
    Credential credential;
    std::optional<Duration> timeLeft; // how long the caller waits, counted from the arrival of the head
    std::string affinityKey; // shared by requests that concern the same object
    std::optional<std::uint64_t> lastEventId; // last stream event that the caller has received
    std::string resumes; // request id of the attempt that brought the first event of the stream to resume
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    std::string program;
    std::string session; // one sequence of turns of the program
    std::optional<Duration> programTimeLeft;
    std::optional<std::uint64_t> tokenBudget; // for all turns of the program together
    std::string previousTurn; // request id of the turn that this one continues
};

// Fields that the gateway adds to a request to a backend server.
struct ServerRequestFields {
    std::string serverId; // other servers reject the request
    Duration timeLeft { 0 };
    std::uint32_t priority = 0; // 0 is the most urgent
    std::optional<std::uint64_t> resumeAfter; // resume the stream after this event
    bool identifiesTenant = false; // callers identify themselves to this system: their keys are not passed on
    std::string tenant {}; // if `identifiesTenant`: the caller's tenant; empty for a caller without one
};

// Metadata of a backend server's response, besides status and body.
struct ResponseMetadata {
    std::string requestId; // id of the request that the response belongs to
    bool signedByServer = false;
    bool notExecuted = false; // the server states that it did not run the request
    std::optional<double> requestsPerSecond; // rate that the server accepts from all nodes together; nullopt: no limit
    bool fromServer = true; // false: another server has its address and answered
    bool leaving = false; // the server states that it is about to stop and must get no further requests
};

class CallCodec {
public:
    virtual ~CallCodec() = default;

    virtual Call decodeCall(const HeaderList& headers) const = 0;

    // Returns the header fields for a backend server: `order`, and the caller's fields except those that only this
    // system may set.
    virtual HeaderList encodeServerRequest(const HeaderList& callerHeaders, const ServerRequestFields& order) const = 0;

    // Returns the header fields of a caller's request for another entry node, which runs it as if it had received it
    // with `timeLeft` to go. `withoutKey`: the caller's key is left out.
    virtual HeaderList encodeRelayedRequest(
        const HeaderList& callerHeaders, Duration timeLeft, bool withoutKey) const = 0;

    virtual ResponseMetadata decodeResponseMetadata(int status, const HeaderList& headers) const = 0;

    // Returns the header fields of a response that this system generates itself.
    virtual HeaderList encodeResponseHeaders(const Call& call, std::optional<Duration> retryAfter) const = 0;
};

} // namespace lovagecross
