#pragma once

// Calls to backend servers: model engines, tool services and plain application services.
// Adapters: `adapters/HttpModelEngine` and `adapters/HttpServiceClient`. Tests use mocks.
//
// Thread safety: implementations may be called from any thread. The calls block the calling thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

// Outcome of a request to a backend server. Only `NotSent` and `Refused` guarantee that the request did not run.
enum class BackendStatus {
    Ok,
    NotSent, // no byte was sent to the backend server
    Refused, // rejected by the backend server without running it, for example with 429, 503 or for an old epoch
    Failed, // the backend server ran the request and returned an error
    ConnectionLost, // bytes were sent, and the connection ended before a complete answer arrived
    Silent, // no progress on the connection within the progress timeout
    DeadlineExceeded, // bytes were sent, and the deadline passed before a complete answer arrived
    Cancelled, // the token sink returned false
};

inline constexpr NameTable<BackendStatus, 8> backendStatusNames { { {
    { BackendStatus::Ok, "ok" },
    { BackendStatus::NotSent, "not_sent" },
    { BackendStatus::Refused, "refused" },
    { BackendStatus::Failed, "failed" },
    { BackendStatus::ConnectionLost, "connection_lost" },
    { BackendStatus::Silent, "silent" },
    { BackendStatus::DeadlineExceeded, "deadline_exceeded" },
    { BackendStatus::Cancelled, "cancelled" },
} } };

struct ModelRequest {
    std::string address; // host:port of the engine
    std::string streamId; // unique for each call; identifies the stream when it is resumed or cancelled
    std::string session; // the program id, to which the engine attributes cache and memory use
    std::string model;
    std::string messagesJson; // the chat-completions `messages` array
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0; // higher runs first
    std::uint64_t epoch = 0; // fencing token of the shard
    std::uint32_t resumeOffset = 0; // tokens already received; if above 0, `streamId` is resumed instead of started
    TimePoint deadline;
};

struct ModelAnswer {
    BackendStatus status = BackendStatus::NotSent;
    std::string text; // text received in this attempt, which starts at `resumeOffset`
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; // prompt tokens served from the prefix cache; included in `promptTokens`
    std::uint32_t generatedTokens = 0; // tokens received in this attempt
    std::string finishReason; // "stop" or "length"
    std::string message; // description of a failure, for logs and error answers
    Duration retryAfter { 0 };
};

// Receives each piece of text as it arrives. Returning false cancels the stream.
using TokenSink = std::function<bool(std::string_view text)>;

struct EngineLoad {
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    std::uint32_t queuedPrefillTokens = 0;
    std::uint32_t freeKvTokens = 0;
    std::uint64_t reportAgeMillis = 0; // age of these values when the engine sent them
};

struct CacheEvent {
    std::uint64_t sequence = 0; // consecutive for each engine; a skipped number means that events were missed
    bool stored = false; // false: evicted
    std::string prefixDigest;
    std::uint32_t tokens = 0;
};

class ModelEngine {
public:
    virtual ~ModelEngine() = default;

    virtual ModelAnswer generate(const ModelRequest& request, const TokenSink& sink) = 0;

    // Both calls are idempotent and return true if the engine confirmed.
    virtual bool cancel(std::string_view address, std::string_view streamId) = 0;
    virtual bool releaseSession(std::string_view address, std::string_view session, std::uint64_t epoch) = 0;

    // Returns false if the engine did not answer; `sessions` is then unchanged.
    virtual bool listSessions(std::string_view address, std::vector<std::string>& sessions) = 0;
    virtual bool load(std::string_view address, EngineLoad& load) = 0;
    virtual bool cacheEvents(std::string_view address, std::uint64_t afterSequence, std::vector<CacheEvent>& events)
        = 0;
};

struct ServiceRequest {
    std::string address; // host:port
    std::string operation; // a URL path segment, such as `print`
    std::string body; // JSON
    std::string callId; // passed to the service for its logs; the service is not required to deduplicate by it
    bool idempotent = false;
    std::uint64_t epoch = 0;
    TimePoint deadline;
};

struct ServiceAnswer {
    BackendStatus status = BackendStatus::NotSent;
    int httpStatus = 0;
    std::string body;
    std::string message;
};

class ServiceClient {
public:
    virtual ~ServiceClient() = default;
    virtual ServiceAnswer call(const ServiceRequest& request) = 0;
};

} // namespace lovagecross
