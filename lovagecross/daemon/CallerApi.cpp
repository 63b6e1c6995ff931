#include "lovagecross/daemon/CallerApi.h"

#include "lovagecross/daemon/HttpServer.h"
#include "lovagecross/runtime/Digest.h"
#include "lovagecross/runtime/Json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSONString.h>
#include <Poco/URI.h>
#include <algorithm>
#include <ostream>
#include <vector>

namespace lovagecross {

namespace {

constexpr std::size_t maxRequestIdLength = 128;

bool isValidRequestId(const std::string& text)
{
    auto allowed = [](unsigned char character) {
        return std::isalnum(character) || character == '.' || character == '_' || character == ':' || character == '-';
    };
    return !text.empty() && text.size() <= maxRequestIdLength && std::all_of(text.begin(), text.end(), allowed);
}

// Writes a streamed chat completion as server-sent events.
class EventStream {
public:
    EventStream(Poco::Net::HTTPServerResponse& response, std::string id)
        : response(response)
        , id(std::move(id))
    {
    }

    bool started() const { return this->out != nullptr; }

    bool writeText(std::string_view text)
    {
        this->sentBytes += text.size();
        return this->writeEvent("{\"id\":" + this->id
            + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
            + Poco::toJSON(std::string(text)) + "},\"finish_reason\":null}]}");
    }

    void finish(const std::string& answerJson)
    {
        lovagecross::handle(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(answer, parseJsonObject(answerJson));
                Poco::JSON::Object::Ptr choice = answer->getArray("choices")->getObject(0);
                std::string text = choice->getObject("message")->getValue<std::string>("content");
                // If the answer was replayed, none or only part of its text has been streamed: send the rest.
                if (this->sentBytes < text.size())
                    this->writeText(std::string_view(text).substr(this->sentBytes));
                this->writeEvent("{\"id\":" + this->id
                    + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":"
                    + Poco::toJSON(choice->getValue<std::string>("finish_reason"))
                    + "}],\"usage\":" + toJson(*answer->getObject("usage")) + "}");
                return true;
            },
            [](const Error&) { return false; });
        this->writeEvent("[DONE]");
    }

    bool writeEvent(const std::string& data)
    {
        if (!this->out) {
            this->response.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
            this->response.setContentType("text/event-stream");
            this->response.set("Cache-Control", "no-cache");
            this->response.setChunkedTransferEncoding(true);
            this->out = &this->response.send();
        }
        *this->out << "data: " << data << "\n\n" << std::flush;
        return this->out->good();
    }

private:
    Poco::Net::HTTPServerResponse& response;
    std::string id; // request id as a quoted JSON string
    std::ostream* out = nullptr;
    std::size_t sentBytes = 0;
};

// Memory for the parsed form of a body, until its call ends: it is parsed again on the way.
class ParsedMemory {
public:
    explicit ParsedMemory(MemoryAccount& memoryAccount)
        : account(memoryAccount)
    {
    }
    ~ParsedMemory() { this->account.shrinkConversation(this->held, this->held); }
    ParsedMemory(const ParsedMemory&) = delete;
    ParsedMemory& operator=(const ParsedMemory&) = delete;

    // Returns false if there is none.
    bool reserve(const std::string& body)
    {
        return body.empty() || this->account.growConversation(this->held, parsedBytes(body));
    }

private:
    MemoryAccount& account;
    std::size_t held = 0;
};

} // namespace

CallerApi::CallerApi(Node& node, Counters& counters)
    : node(node)
    , counters(counters)
    , memory(memorySharesOf(node.settings().memoryMegabytes * bytesPerMegabyte))
{
}

Result<std::string> CallerApi::tenantOf(const Poco::Net::HTTPServerRequest& request) const
{
    std::shared_ptr<const ConfigSnapshot> snapshot = this->node.configuration().current();
    const std::vector<Tenant>& tenants = snapshot->configuration.tenants;
    if (tenants.empty())
        return std::string();
    std::string digest = sha256Hex(bearerToken(request));
    for (const Tenant& tenant : tenants) {
        if (tenant.tokenDigest == digest)
            return tenant.name;
    }
    return fail(ErrorCode::Unauthorized, "Authorization", "does not match the token of any tenant");
}

Result<ForwardRequest> CallerApi::parse(Poco::Net::HTTPServerRequest& request, BufferReservation& reservation) const
{
    ForwardRequest parsed;
    BOOST_LEAF_ASSIGN(parsed.tenant, this->tenantOf(request));
    std::vector<std::string> segments;
    Poco::URI(request.getURI()).getPathSegments(segments);
    const std::string& method = request.getMethod();
    if (segments.size() < 2 || segments[0] != "v1")
        return fail(ErrorCode::NotFound, "path", "no such resource");
    if (method == "POST") {
        parsed.requestId = request.get("X-Lovagecross-Request-Id", "");
        if (!isValidRequestId(parsed.requestId))
            return fail(
                ErrorCode::BadRequest, "X-Lovagecross-Request-Id", "must be 1 to 128 characters of [A-Za-z0-9._:-]");
        BOOST_LEAF_ASSIGN(parsed.bodyJson, readBody(request, this->node.settings().maxBodyBytes, &reservation));
        if (segments.size() == 2 && segments[1] == "programs") {
            parsed.kind = ForwardKind::CreateProgram;
            parsed.shard = this->node.router().shardForCreation(parsed.tenant, parsed.requestId);
            return parsed;
        }
        parsed.kind = ForwardKind::Call;
        if (segments.size() == 3 && segments[1] == "chat" && segments[2] == "completions")
            parsed.path = chatPath;
        else if (segments.size() == 2 && segments[1] == "calls")
            parsed.path = servicePath;
        else
            return fail(ErrorCode::NotFound, "path", "no such resource");
        parsed.program = request.get("X-Lovagecross-Program", "");
    } else {
        if (segments[1] != "programs" || segments.size() < 3)
            return fail(ErrorCode::NotFound, "path", "no such resource");
        parsed.program = segments[2];
        if (method == "GET") {
            parsed.kind = ForwardKind::Read;
            for (std::size_t i = 3; i < segments.size(); ++i)
                parsed.path += (i > 3 ? "/" : "") + segments[i];
        } else if (method == "DELETE" && segments.size() == 3) {
            parsed.kind = ForwardKind::EndProgram;
        } else {
            return fail(ErrorCode::BadRequest, "method", "is not supported here");
        }
    }
    std::optional<ProgramId> program = ProgramId::parse(parsed.program);
    if (!program)
        return fail(ErrorCode::UnknownProgram, method == "POST" ? "X-Lovagecross-Program" : "program",
            "no program \"" + parsed.program.substr(0, 80) + "\"");
    parsed.shard = program->shard;
    return parsed;
}

void CallerApi::stream(const ForwardRequest& request, Poco::Net::HTTPServerResponse& response)
{
    EventStream events(response, Poco::toJSON(request.requestId));
    ForwardEnd answer
        = this->node.router().route(request, [&](std::string_view text) { return events.writeText(text); });
    if (answer.httpStatus == 200)
        events.finish(answer.bodyJson);
    else if (events.started())
        events.writeEvent(
            answer.bodyJson); // the error ends the stream, without [DONE] because the answer is incomplete
    else
        sendAnswer(response, answer);
}

void CallerApi::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    this->counters.counter("http.caller_requests").add();
    std::size_t announced
        = request.hasContentLength() ? static_cast<std::size_t>(request.getContentLength64()) : std::size_t(0);
    BufferReservation reservation(this->memory, this->clock, announced, [&request] { endInput(request); });
    ParsedMemory parsedMemory(this->memory);
    ForwardRequest parsed;
    bool streamed = false;
    ForwardEnd refusal = lovagecross::handle(
        [&]() -> Result<ForwardEnd> {
            BOOST_LEAF_ASSIGN(parsed, this->parse(request, reservation));
            if (!parsedMemory.reserve(parsed.bodyJson))
                return fail(Error { ErrorCode::Overloaded, "the memory for request bodies is used up", {},
                    RunState::NotRun, memoryRetryAfter });
            if (parsed.kind == ForwardKind::Call && parsed.path == chatPath) {
                BOOST_LEAF_AUTO(body, parseJsonObject(parsed.bodyJson));
                BOOST_LEAF_ASSIGN(streamed, optionalBool(*body, "stream", false));
            }
            return ForwardEnd {};
        },
        [](const Error& error) { return errorAnswer(error); });
    if (refusal.httpStatus != 0) {
        reservation.release(parsed.bodyJson);
        discardBody(request);
        response.setKeepAlive(false); // part of a body above the limit may be left unread
        sendAnswer(response, refusal);
    } else if (streamed) {
        this->stream(parsed, response);
    } else {
        sendAnswer(response, this->node.router().route(parsed, {}));
    }
}

} // namespace lovagecross
