#pragma once

// HTTP client for model engines that stream with server-sent events (docs/backend-protocols.md).
//
//     HttpModelEngine engine({}, clock);
//     ModelAnswer answer = engine.generate(request, [&](std::string_view text) { return caller.send(text); });
//
// Each request opens its own connection: if the engine closed an idle connection while it was being reused, the client
// couldn't tell whether the request ran. For a resumed stream, NotSent and Refused apply only to the resume request;
// the original call has run.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/ports/Backend.h"

#include <cstddef>

namespace lovagecross {

struct HttpModelEngineSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration progressTimeout = std::chrono::seconds(5); // between two events of a stream; SSE comments don't count
    Duration firstTokenTimeout = std::chrono::seconds(15); // covers queueing and prefill at the engine
    Duration controlTimeout = std::chrono::seconds(2); // for cancel, releaseSession, listSessions, load and cacheEvents
    std::size_t maxLineBytes = 64 * 1024; // one server-sent event
    std::size_t maxTextBytes = 8 * 1024 * 1024; // of generated text per response
    std::size_t maxListEntries = 100'000; // sessions or cache events per response; further entries are dropped
};

namespace detail {
class HttpConnection;
}

class HttpModelEngine final : public ModelEngine {
public:
    HttpModelEngine(HttpModelEngineSettings settings, const Clock& clock);

    ModelAnswer generate(const ModelRequest& request, const TokenSink& sink) override;
    bool cancel(std::string_view address, std::string_view streamId) override;
    bool releaseSession(std::string_view address, std::string_view session, std::uint64_t epoch) override;
    bool listSessions(std::string_view address, std::vector<std::string>& sessions) override;
    bool load(std::string_view address, EngineLoad& load) override;
    bool cacheEvents(std::string_view address, std::uint64_t afterSequence, std::vector<CacheEvent>& events) override;

private:
    // Reads events until the stream ends and stores the text and the final status in `answer`.
    void receiveStream(
        detail::HttpConnection& connection, const ModelRequest& request, const TokenSink& sink, ModelAnswer& answer);

    // Sends a request without a body and reads the response into `body`. Returns true if the status is 200 or 204.
    bool sendControlRequest(
        std::string_view address, std::string method, std::string path, std::uint64_t epoch, std::string& body);

    HttpModelEngineSettings settings;
    const Clock& clock;
};

} // namespace lovagecross
