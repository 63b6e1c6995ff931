#include "lovagecross/adapters/HttpModelEngine.h"

#include "lovagecross/adapters/HttpConnection.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <algorithm>
#include <sstream>

namespace lovagecross {

using detail::HttpCall;
using detail::HttpConnection;
using detail::HttpEnd;
using detail::HttpLimits;

namespace {

constexpr std::size_t maxErrorBodyBytes = 16 * 1024;
constexpr std::size_t maxControlResponseBytes = 16 * 1024 * 1024;
constexpr int maxJsonDepth = 16;

Poco::JSON::Object::Ptr parseObject(const std::string& text)
{
    Poco::JSON::Parser parser;
    parser.setDepth(maxJsonDepth);
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

Poco::JSON::Object::Ptr objectAt(const Poco::JSON::Array::Ptr& array, std::size_t index)
{
    auto object = array->getObject(static_cast<unsigned>(index));
    if (!object)
        throw Poco::DataFormatException("list entry is not a JSON object");
    return object;
}

std::string toJsonString(const std::string& text)
{
    std::ostringstream out;
    Poco::JSON::Stringifier::stringify(text, out);
    return out.str();
}

HttpCall makeGenerateCall(const ModelRequest& request, std::string& body)
{
    HttpCall call;
    call.headers = { { "X-Stream-Id", request.streamId }, { "X-Session", request.session },
        { "X-Priority", std::to_string(request.priority) }, { "X-Epoch", std::to_string(request.epoch) } };
    if (request.resumeOffset > 0) {
        call.method = "GET";
        call.path = "/v1/streams/" + detail::encodePath(request.streamId, false)
            + "?offset=" + std::to_string(request.resumeOffset);
        return call;
    }
    body = R"({"model":)" + toJsonString(request.model) + R"(,"messages":)" + request.messagesJson + R"(,"max_tokens":)"
        + std::to_string(request.maxTokens) + R"(,"stream":true})";
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.body = body;
    return call;
}

BackendStatus statusWithoutResponse(HttpEnd end)
{
    switch (end) {
    case HttpEnd::NotSent:
        return BackendStatus::NotSent;
    case HttpEnd::ProgressTimeout:
        return BackendStatus::Silent;
    case HttpEnd::DeadlinePassed:
        return BackendStatus::DeadlineExceeded;
    default:
        return BackendStatus::ConnectionLost;
    }
}

// Returns Refused only for responses that guarantee that the engine did nothing.
BackendStatus statusOfError(int status, const std::string& code)
{
    bool refused = status == 429 || status == 503 || (status == 409 && code == "old_epoch")
        || (status == 404 && code == "unknown_model");
    return refused ? BackendStatus::Refused : BackendStatus::Failed;
}

enum class EventKind {
    Other, // a comment, a blank line or a field other than `data`
    Data,
    Done,
};

// Parses one line of the stream, stores usage and finish reason in `answer` and the generated text in `text`. Throws on
// malformed JSON.
EventKind parseEvent(std::string_view line, ModelAnswer& answer, std::string& text)
{
    constexpr std::string_view prefix = "data:";
    if (!line.starts_with(prefix))
        return EventKind::Other;
    line.remove_prefix(prefix.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (line == "[DONE]")
        return EventKind::Done;
    auto event = parseObject(std::string(line));
    if (auto usage = event->getObject("usage")) {
        answer.promptTokens = usage->optValue<Poco::UInt32>("prompt_tokens", 0);
        answer.cachedTokens = usage->optValue<Poco::UInt32>("cached_tokens", 0);
    }
    auto choices = event->getArray("choices");
    if (!choices || choices->size() == 0)
        return EventKind::Data;
    auto choice = choices->getObject(0);
    if (!choice)
        throw Poco::DataFormatException("choices[0] is not an object");
    if (choice->has("finish_reason") && !choice->isNull("finish_reason"))
        answer.finishReason = choice->getValue<std::string>("finish_reason");
    auto delta = choice->getObject("delta");
    if (delta && delta->has("content") && !delta->isNull("content"))
        text = delta->getValue<std::string>("content");
    return EventKind::Data;
}

} // namespace

HttpModelEngine::HttpModelEngine(HttpModelEngineSettings settings, const Clock& clock)
    : settings(settings)
    , clock(clock)
{
}

ModelAnswer HttpModelEngine::generate(const ModelRequest& request, const TokenSink& sink)
{
    ModelAnswer answer;
    if (!detail::isHeaderValue(request.streamId) || !detail::isHeaderValue(request.session)) {
        answer.message = "stream id or session contains characters not allowed in a header";
        return answer;
    }
    std::string requestBody;
    HttpCall call = makeGenerateCall(request, requestBody);
    HttpLimits limits;
    limits.deadline = request.deadline;
    limits.connectTimeout = this->settings.connectTimeout;
    limits.progressDeadline = this->clock.now() + this->settings.firstTokenTimeout;
    HttpConnection connection(request.address, this->clock);
    Poco::Net::HTTPResponse response;
    HttpEnd end = connection.exchange(call, limits, response);
    if (end == HttpEnd::Complete && response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
        this->receiveStream(connection, request, sink, answer);
        return answer;
    }
    std::string body;
    if (end == HttpEnd::Complete)
        end = connection.readBody(body, maxErrorBodyBytes);
    if (end != HttpEnd::Complete && end != HttpEnd::TooLarge) {
        answer.status = statusWithoutResponse(end);
        answer.message = connection.errorMessage();
        return answer;
    }
    std::string code = end == HttpEnd::Complete ? detail::readErrorCode(body) : "";
    answer.status = statusOfError(response.getStatus(), code);
    answer.retryAfter = detail::readRetryAfter(response);
    answer.message = "HTTP status " + std::to_string(response.getStatus()) + (code.empty() ? "" : " " + code);
    return answer;
}

void HttpModelEngine::receiveStream(
    HttpConnection& connection, const ModelRequest& request, const TokenSink& sink, ModelAnswer& answer)
{
    auto finish = [&](BackendStatus status, std::string message) {
        answer.status = status;
        answer.message = std::move(message);
    };
    std::string line;
    for (;;) {
        bool atEnd = false;
        HttpEnd end = connection.readLine(line, this->settings.maxLineBytes, atEnd);
        if (end != HttpEnd::Complete)
            return finish(statusWithoutResponse(end), connection.errorMessage());
        if (atEnd)
            return finish(BackendStatus::ConnectionLost, "the stream ended before [DONE]");
        std::string text;
        EventKind kind = EventKind::Other;
        try {
            kind = parseEvent(line, answer, text);
        } catch (const std::exception&) {
            return finish(BackendStatus::ConnectionLost, "the stream contains a malformed event");
        }
        if (kind == EventKind::Done)
            return finish(BackendStatus::Ok, {});
        if (kind == EventKind::Data)
            connection.setProgressDeadline(this->clock.now() + this->settings.progressTimeout);
        if (text.empty())
            continue;
        if (answer.text.size() + text.size() > this->settings.maxTextBytes)
            return finish(BackendStatus::ConnectionLost, "the generated text exceeds the size limit");
        answer.text += text;
        ++answer.generatedTokens;
        if (sink && !sink(text)) {
            this->cancel(request.address, request.streamId);
            return finish(BackendStatus::Cancelled, {});
        }
    }
}

bool HttpModelEngine::sendControlRequest(
    std::string_view address, std::string method, std::string path, std::uint64_t epoch, std::string& body)
{
    HttpCall call;
    call.method = std::move(method);
    call.path = std::move(path);
    if (epoch > 0)
        call.headers.emplace_back("X-Epoch", std::to_string(epoch));
    HttpLimits limits;
    limits.deadline = this->clock.now() + this->settings.controlTimeout;
    limits.connectTimeout = this->settings.connectTimeout;
    HttpConnection connection(std::string(address), this->clock);
    Poco::Net::HTTPResponse response;
    if (connection.exchange(call, limits, response) != HttpEnd::Complete)
        return false;
    if (connection.readBody(body, maxControlResponseBytes) != HttpEnd::Complete)
        return false;
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
}

bool HttpModelEngine::cancel(std::string_view address, std::string_view streamId)
{
    std::string body;
    return this->sendControlRequest(address, "DELETE", "/v1/streams/" + detail::encodePath(streamId, false), 0, body);
}

bool HttpModelEngine::releaseSession(std::string_view address, std::string_view session, std::uint64_t epoch)
{
    std::string body;
    return this->sendControlRequest(
        address, "DELETE", "/v1/sessions/" + detail::encodePath(session, false), epoch, body);
}

bool HttpModelEngine::listSessions(std::string_view address, std::vector<std::string>& sessions)
{
    std::string body;
    if (!this->sendControlRequest(address, "GET", "/v1/sessions", 0, body))
        return false;
    try {
        auto array = parseObject(body)->getArray("sessions");
        if (!array)
            return false;
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < std::min(array->size(), this->settings.maxListEntries); ++i)
            ids.push_back(objectAt(array, i)->getValue<std::string>("id"));
        sessions = std::move(ids);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

bool HttpModelEngine::load(std::string_view address, EngineLoad& load)
{
    std::string body;
    if (!this->sendControlRequest(address, "GET", "/v1/load", 0, body))
        return false;
    try {
        auto object = parseObject(body);
        EngineLoad parsed;
        parsed.runningRequests = object->getValue<Poco::UInt32>("running");
        parsed.queuedRequests = object->getValue<Poco::UInt32>("queued");
        parsed.queuedPrefillTokens = object->getValue<Poco::UInt32>("queuedPrefillTokens");
        parsed.freeKvTokens = object->getValue<Poco::UInt32>("freeKvTokens");
        parsed.reportAgeMillis = object->getValue<Poco::UInt64>("reportAgeMs");
        load = parsed;
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

bool HttpModelEngine::cacheEvents(
    std::string_view address, std::uint64_t afterSequence, std::vector<CacheEvent>& events)
{
    std::string body;
    if (!this->sendControlRequest(address, "GET", "/v1/cache-events?after=" + std::to_string(afterSequence), 0, body))
        return false;
    try {
        auto array = parseObject(body)->getArray("events");
        if (!array)
            return false;
        std::vector<CacheEvent> parsed;
        for (std::size_t i = 0; i < std::min(array->size(), this->settings.maxListEntries); ++i) {
            auto entry = objectAt(array, i);
            CacheEvent event;
            event.sequence = entry->getValue<Poco::UInt64>("sequence");
            event.stored = entry->getValue<std::string>("type") == "stored";
            event.prefixDigest = entry->getValue<std::string>("prefixDigest");
            event.tokens = entry->getValue<Poco::UInt32>("tokens");
            parsed.push_back(std::move(event));
        }
        events = std::move(parsed);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace lovagecross
