// Contract tests of the HTTP adapters. Each test runs against a loopback server with scripted faults.
#include "lovagecross/adapters/HttpModelEngine.h"
#include "lovagecross/adapters/HttpObjectStore.h"
#include "lovagecross/adapters/HttpServiceClient.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace lovagecross {

namespace {

using Poco::Net::StreamSocket;

constexpr Duration longTimeout = std::chrono::seconds(20); // must never expire, even on a heavily loaded machine
constexpr Duration shortTimeout = std::chrono::milliseconds(500); // for tests in which the client times out

// What the server does after it has sent a response.
enum class Then {
    Keep, // reads the next request on the connection
    Close,
    Hang, // keeps the connection open without sending anything
    Trickle, // sends `trickled` repeatedly, one byte every 20 ms, until the client closes the connection
};

struct Behaviour {
    std::string response;
    Then then = Then::Keep;
    std::string trickled {};
};

// Applies one of the given behaviours per request, in order, and repeats the last one for further requests.
class MisbehavingServer {
public:
    explicit MisbehavingServer(std::vector<Behaviour> behaviours, bool readsRequests = true)
        : behaviours(std::move(behaviours))
        , readsRequests(readsRequests)
        , listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , acceptor([this] { this->accept(); })
    {
    }

    ~MisbehavingServer()
    {
        {
            std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        this->acceptor.join();
        for (std::thread& thread : this->threads)
            thread.join();
    }

    std::string address() const { return this->listener.address().toString(); }

    std::vector<std::string> requests()
    {
        std::lock_guard lock(this->mutex);
        return this->received;
    }

    void waitForClosed(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [&] { return this->closed >= count; });
    }

private:
    void accept()
    {
        while (!this->isStopping()) {
            if (!this->listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ))
                continue;
            auto socket = std::make_shared<StreamSocket>(this->listener.acceptConnection());
            this->threads.emplace_back([this, socket] { this->serve(*socket); });
        }
    }

    void serve(StreamSocket& socket)
    {
        try {
            while (this->readRequest(socket) && this->sendResponse(socket)) { }
        } catch (const Poco::Exception&) { // the client closed the connection
        }
        socket.close();
        std::lock_guard lock(this->mutex);
        ++this->closed;
        this->changed.notify_all();
    }

    bool sendResponse(StreamSocket& socket)
    {
        Behaviour behaviour = this->nextBehaviour();
        for (std::size_t sent = 0; sent < behaviour.response.size();)
            sent += static_cast<std::size_t>(
                socket.sendBytes(behaviour.response.data() + sent, static_cast<int>(behaviour.response.size() - sent)));
        for (std::size_t i = 0; behaviour.then == Then::Trickle && !this->waitForStop(std::chrono::milliseconds(20));
             ++i)
            socket.sendBytes(behaviour.trickled.data() + (i % behaviour.trickled.size()), 1);
        if (behaviour.then == Then::Hang)
            this->waitForStop(std::chrono::hours(1));
        return behaviour.then == Then::Keep;
    }

    bool readRequest(StreamSocket& socket)
    {
        if (!this->readsRequests) {
            this->waitForStop(std::chrono::hours(1));
            return false;
        }
        std::string text;
        char buffer[4096];
        while (!isCompleteRequest(text)) {
            if (!socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                if (this->isStopping())
                    return false;
                continue;
            }
            int count = socket.receiveBytes(buffer, sizeof(buffer));
            if (count <= 0)
                return false;
            text.append(buffer, static_cast<std::size_t>(count));
        }
        std::lock_guard lock(this->mutex);
        this->received.push_back(text);
        return true;
    }

    static bool isCompleteRequest(const std::string& text)
    {
        std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        std::size_t length = text.find("Content-Length: ");
        std::size_t body = length < end ? std::stoul(text.substr(length + 16)) : 0;
        return text.size() >= end + 4 + body;
    }

    Behaviour nextBehaviour()
    {
        std::lock_guard lock(this->mutex);
        return this->behaviours[std::min(this->received.size(), this->behaviours.size()) - 1];
    }

    bool isStopping() { return this->waitForStop(Duration(0)); }

    bool waitForStop(Duration duration)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, duration, [this] { return this->stopping; });
    }

    const std::vector<Behaviour> behaviours;
    const bool readsRequests;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::size_t closed = 0;
    std::vector<std::string> received;
    std::list<std::thread> threads; // only the acceptor thread adds to it
    Poco::Net::ServerSocket listener;
    std::thread acceptor;
};

// A loopback address on which no server listens.
std::string closedAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

std::string httpResponse(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string unterminatedChunkedResponse(const std::string& body)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return "HTTP/1.1 200 X\r\nX-Version: 7\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + body + "\r\n";
}

template <typename Enum, std::size_t count>
void assertStatus(const NameTable<Enum, count>& names, const char* what, Enum expected, Enum actual)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(names.name(expected)), std::string(names.name(actual)));
}

} // namespace

class ObjectStoreContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ObjectStoreContractTest);
    CPPUNIT_TEST(requestsHaveTheDocumentedForm);
    CPPUNIT_TEST(faultsMapToExactStatus);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST(stalledUploadIsUnknown);
    CPPUNIT_TEST(closedReusedConnectionRetriesOnlyReads);
    CPPUNIT_TEST(connectionClosedWhileIdleIsNotUsed);
    CPPUNIT_TEST(excessBytesNeverReachTheNextCall);
    CPPUNIT_TEST(watchAndListParseResponses);
    CPPUNIT_TEST(exhaustedPoolIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

    SystemClock clock;

    void requestsHaveTheDocumentedForm()
    {
        MisbehavingServer server(
            { { httpResponse(200, "X-Version: 7\r\n", "value") }, { httpResponse(201, "X-Version: 1\r\n", "") },
                { httpResponse(200, "X-Version: 8\r\n", "") }, { "HTTP/1.1 204 X\r\n\r\n" } });
        HttpObjectStore store({ .address = server.address(), .timeout = longTimeout }, this->clock);
        StoreResult read = store.get("journal/lodz1/02/a b?");
        CPPUNIT_ASSERT(read.ok() && read.object.value == "value" && read.object.version == 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.create("k", std::string("\0\r\n", 3)).object.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), store.update("k", "v", 7).object.version);
        CPPUNIT_ASSERT(store.remove("k", 8).ok());
        auto requests = server.requests();
        CPPUNIT_ASSERT(requests[0].starts_with("GET /objects/journal/lodz1/02/a%20b%3F HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(requests[1].starts_with("PUT /objects/k HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(requests[1].find("If-None-Match: *\r\n") != std::string::npos);
        CPPUNIT_ASSERT(requests[1].ends_with(std::string("\r\n\r\n\0\r\n", 7)));
        CPPUNIT_ASSERT(requests[2].find("If-Match: 7\r\n") != std::string::npos);
        CPPUNIT_ASSERT(requests[3].starts_with("DELETE /objects/k HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(requests[3].find("If-Match: 8\r\n") != std::string::npos);
    }

    // A write that may have taken effect must never be reported as not done, and a write that certainly had no effect
    // must never be reported as Unknown.
    void faultsMapToExactStatus()
    {
        const std::string complete = httpResponse(200, "X-Version: 7\r\n", "value");
        const std::string half = complete.substr(0, complete.size() - 2);
        struct Row {
            const char* name;
            Behaviour behaviour;
            StoreStatus read;
            StoreStatus write;
            bool timesOut = false;
        };
        using S = StoreStatus;
        const std::vector<Row> rows {
            { "whole answer", { complete }, S::Ok, S::Ok },
            { "chunked answer", { unterminatedChunkedResponse("value") + "0\r\n\r\n" }, S::Ok, S::Ok },
            { "never answers", { "", Then::Hang }, S::Unavailable, S::Unknown, true },
            { "closes after the request", { "", Then::Close }, S::Unavailable, S::Unknown },
            { "half a status line", { "HTTP/1.", Then::Close }, S::Unavailable, S::Unknown },
            { "half a body, then closes", { half, Then::Close }, S::Unavailable, S::Unknown },
            { "half a body, then silence", { half, Then::Hang }, S::Unavailable, S::Unknown, true },
            { "trickles headers", { "HTTP/1.1 200 X\r\n", Then::Trickle, "A: b\r\n" }, S::Unavailable, S::Unknown,
                true },
            { "garbage", { "\x01\x02garbage\r\n\r\n", Then::Close }, S::Unavailable, S::Unknown },
            { "cut chunks", { unterminatedChunkedResponse("value"), Then::Close }, S::Unavailable, S::Unknown },
            { "garbage chunk size", { unterminatedChunkedResponse("value") + "zz\r\n\r\n", Then::Close },
                S::Unavailable, S::Unknown },
            { "no length", { "HTTP/1.1 200 X\r\nX-Version: 7\r\n\r\nval", Then::Close }, S::Unavailable, S::Unknown },
            { "no version", { httpResponse(200, "", "value") }, S::Unavailable, S::Unknown },
            { "garbage version", { httpResponse(200, "X-Version: 7x\r\n", "") }, S::Unavailable, S::Unknown },
            { "too long", { httpResponse(200, "X-Version: 7\r\n", std::string(maxObjectBytes + 1, 'x')) },
                S::Unavailable, S::Unknown },
            { "404", { httpResponse(404, "", "{}") }, S::NotFound, S::NotFound },
            { "412", { httpResponse(412, "X-Version: 9\r\n", "{}") }, S::Conflict, S::Conflict },
            { "413", { httpResponse(413, "", "{}") }, S::TooLarge, S::TooLarge },
            { "429", { httpResponse(429, "Retry-After-Ms: 250\r\n", "{}") }, S::RateLimited, S::RateLimited },
            { "503", { httpResponse(503, "", "{}") }, S::Unavailable, S::Unavailable },
            { "503 cut", { "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n{", Then::Close }, S::Unavailable, S::Unknown },
            { "500", { httpResponse(500, "", "{}") }, S::Unavailable, S::Unknown },
            { "400", { httpResponse(400, "", "{}") }, S::Unavailable, S::Unavailable },
        };
        for (const Row& row : rows) {
            MisbehavingServer server({ row.behaviour });
            Duration timeout = row.timesOut ? shortTimeout : longTimeout;
            HttpObjectStore store({ .address = server.address(), .timeout = timeout }, this->clock);
            StoreResult read = store.get("k");
            assertStatus(storeStatusNames, row.name, row.read, read.status);
            if (row.read == S::RateLimited)
                CPPUNIT_ASSERT(read.retryAfter == std::chrono::milliseconds(250));
            assertStatus(storeStatusNames, row.name, row.write, store.create("k", "v").status);
            assertStatus(storeStatusNames, row.name, row.write, store.update("k", "v", 6).status);
            assertStatus(storeStatusNames, row.name, row.write, store.remove("k", 6).status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(4), server.requests().size());
        }
    }

    void refusedConnectionIsUnavailable()
    {
        HttpObjectStore store({ .address = closedAddress(), .timeout = longTimeout }, this->clock);
        assertStatus(storeStatusNames, "get", StoreStatus::Unavailable, store.get("k").status);
        assertStatus(storeStatusNames, "create", StoreStatus::Unavailable, store.create("k", "v").status);
        HttpObjectStore malformed({ .address = "nowhere", .timeout = longTimeout }, this->clock);
        assertStatus(storeStatusNames, "address", StoreStatus::Unavailable, malformed.create("k", "v").status);
        std::string tooLong(maxObjectBytes + 1, 'x');
        assertStatus(storeStatusNames, "size", StoreStatus::TooLarge, store.create("k", tooLong).status);
    }

    // The platform may have processed the request even if it never read all the bytes that were sent.
    void stalledUploadIsUnknown()
    {
        MisbehavingServer server({ { "" } }, false);
        HttpObjectStore store({ .address = server.address(), .timeout = shortTimeout }, this->clock);
        std::string value(maxObjectBytes, 'x');
        assertStatus(storeStatusNames, "create", StoreStatus::Unknown, store.create("k", value).status);
    }

    // A write must not be resent after the server closes the reused connection it was sent on.
    void closedReusedConnectionRetriesOnlyReads()
    {
        std::vector<Behaviour> behaviours { { httpResponse(200, "X-Version: 7\r\n", "a") }, { "", Then::Close },
            { httpResponse(200, "X-Version: 7\r\n", "b") } };
        MisbehavingServer reads(behaviours);
        HttpObjectStore readStore({ .address = reads.address(), .timeout = longTimeout }, this->clock);
        CPPUNIT_ASSERT(readStore.get("k").ok());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), readStore.get("k").object.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), reads.requests().size());

        MisbehavingServer writes(behaviours);
        HttpObjectStore writeStore({ .address = writes.address(), .timeout = longTimeout }, this->clock);
        CPPUNIT_ASSERT(writeStore.get("k").ok());
        assertStatus(storeStatusNames, "create", StoreStatus::Unknown, writeStore.create("k", "v").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), writes.requests().size());
    }

    void connectionClosedWhileIdleIsNotUsed()
    {
        MisbehavingServer server({ { httpResponse(200, "X-Version: 7\r\n", "a"), Then::Close },
            { httpResponse(201, "X-Version: 8\r\n", "") } });
        HttpObjectStore store({ .address = server.address(), .timeout = longTimeout }, this->clock);
        CPPUNIT_ASSERT(store.get("k").ok());
        server.waitForClosed(1);
        assertStatus(storeStatusNames, "create", StoreStatus::Ok, store.create("k", "v").status);
    }

    // Bytes that a server sends beyond the announced length must not be taken as the response to the next call.
    void excessBytesNeverReachTheNextCall()
    {
        MisbehavingServer server(
            { { httpResponse(200, "X-Version: 7\r\n", "a") + httpResponse(200, "X-Version: 6\r\n", "stale") },
                { httpResponse(200, "X-Version: 8\r\n", "b") } });
        HttpObjectStore store({ .address = server.address(), .timeout = longTimeout }, this->clock);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), store.get("k").object.value);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), store.get("k").object.value);
    }

    void watchAndListParseResponses()
    {
        std::string list
            = R"({"objects":[{"key":"a/1","version":3,"value":"AAEC"},{"key":"a/2","version":1,"value":""}]})";
        MisbehavingServer server({ { httpResponse(200, "X-Version: 9\r\n", "new") }, { "HTTP/1.1 304 X\r\n\r\n" },
            { httpResponse(503, "", "") }, { httpResponse(200, "", list) },
            { httpResponse(200, "", "{\"objects\":[{}]}") }, { httpResponse(200, "", "[]") }, { "", Then::Close } });
        HttpObjectStore store({ .address = server.address(), .timeout = longTimeout }, this->clock);
        Duration wait = std::chrono::milliseconds(500);
        StoreResult changed = store.watch("k", 8, wait);
        CPPUNIT_ASSERT(changed.ok() && changed.object.value == "new" && changed.object.version == 9);
        CPPUNIT_ASSERT(server.requests()[0].starts_with("GET /watch/k?after=8&timeoutMs=500 HTTP/1.1\r\n"));
        assertStatus(storeStatusNames, "304", StoreStatus::NotFound, store.watch("k", 9, wait).status);
        assertStatus(storeStatusNames, "503", StoreStatus::Unavailable, store.watch("k", 9, wait).status);
        ListResult listed = store.list("a/", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), listed.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("\0\1\2", 3), listed.objects[0].value);
        CPPUNIT_ASSERT(server.requests()[3].starts_with("GET /objects?prefix=a%2F&values=true HTTP/1.1\r\n"));
        for (const char* what : { "entry without key", "not an object", "closed" })
            assertStatus(storeStatusNames, what, StoreStatus::Unavailable, store.list("a/", true).status);
    }

    void exhaustedPoolIsUnavailable()
    {
        MisbehavingServer server({ { "", Then::Hang } });
        HttpObjectStore store(
            { .address = server.address(), .timeout = shortTimeout, .maxConnections = 0 }, this->clock);
        assertStatus(storeStatusNames, "create", StoreStatus::Unavailable, store.create("k", "v").status);
        CPPUNIT_ASSERT(server.requests().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreContractTest);

namespace {

std::string textEvent(const std::string& text)
{
    return R"(data: {"choices":[{"delta":{"content":")" + text + R"("},"finish_reason":null}]})" + "\n\n";
}

std::string finalEvents()
{
    return R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":2,"cached_tokens":4}})"
           "\r\n\r\ndata: [DONE]\n\n";
}

std::string streamResponse(const std::string& events)
{
    return "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n" + events;
}

std::string errorBody(const char* code)
{
    return std::string(R"({"error":{"code":")") + code + R"("}})";
}

} // namespace

class ModelEngineContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ModelEngineContractTest);
    CPPUNIT_TEST(streamIsReadCompletelyAndInOrder);
    CPPUNIT_TEST(resumeRequestsTheOffset);
    CPPUNIT_TEST(faultsMapToExactStatus);
    CPPUNIT_TEST(onlyUnsentRequestsAreReportedNotSent);
    CPPUNIT_TEST(sinkCancelsAtTheEngine);
    CPPUNIT_TEST(controlCallsParseResponses);
    CPPUNIT_TEST(failedControlCallsLeaveOutputUnchanged);
    CPPUNIT_TEST_SUITE_END();

    SystemClock clock;

    ModelRequest requestTo(const std::string& address, Duration deadline = longTimeout)
    {
        ModelRequest request;
        request.address = address;
        request.streamId = "s/1";
        request.session = "lodz1-02-9f03c1d2a4b5e677";
        request.model = "m\"1";
        request.messagesJson = R"([{"role":"user","content":"hi"}])";
        request.maxTokens = 20;
        request.priority = 3;
        request.epoch = 5;
        request.deadline = this->clock.now() + deadline;
        return request;
    }

    static HttpModelEngineSettings longTimeoutSettings()
    {
        return { .connectTimeout = longTimeout,
            .progressTimeout = longTimeout,
            .firstTokenTimeout = longTimeout,
            .controlTimeout = longTimeout };
    }

    void streamIsReadCompletelyAndInOrder()
    {
        MisbehavingServer server(
            { { streamResponse(": comment\n\n" + textEvent("Hel") + textEvent("lo") + finalEvents()), Then::Close } });
        HttpModelEngine engine(longTimeoutSettings(), this->clock);
        std::string streamed;
        ModelAnswer answer = engine.generate(requestTo(server.address()), [&](std::string_view text) {
            streamed += text;
            return true;
        });
        assertStatus(backendStatusNames, "status", BackendStatus::Ok, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("Hello"), answer.text);
        CPPUNIT_ASSERT_EQUAL(std::string("Hello"), streamed);
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), answer.finishReason);
        CPPUNIT_ASSERT(answer.promptTokens == 9 && answer.cachedTokens == 4 && answer.generatedTokens == 2);
        std::string sent = server.requests()[0];
        CPPUNIT_ASSERT(sent.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
        for (const char* header : { "X-Stream-Id: s/1\r\n", "X-Session: lodz1-02-9f03c1d2a4b5e677\r\n",
                 "X-Priority: 3\r\n", "X-Epoch: 5\r\n" })
            CPPUNIT_ASSERT_MESSAGE(header, sent.find(header) != std::string::npos);
        CPPUNIT_ASSERT(sent.ends_with(
            R"({"model":"m\"1","messages":[{"role":"user","content":"hi"}],"max_tokens":20,"stream":true})"));
    }

    void resumeRequestsTheOffset()
    {
        MisbehavingServer server({ { streamResponse(textEvent("lo") + finalEvents()), Then::Close },
            { httpResponse(404, "", errorBody("unknown_stream")) } });
        HttpModelEngine engine(longTimeoutSettings(), this->clock);
        ModelRequest request = requestTo(server.address());
        request.resumeOffset = 7;
        CPPUNIT_ASSERT_EQUAL(std::string("lo"), engine.generate(request, {}).text);
        CPPUNIT_ASSERT(server.requests()[0].starts_with("GET /v1/streams/s%2F1?offset=7 HTTP/1.1\r\n"));
        // The call has run, so an engine that no longer knows the stream must not be reported as refusing it.
        assertStatus(backendStatusNames, "404", BackendStatus::Failed, engine.generate(request, {}).status);
    }

    // Only NotSent and Refused allow the caller to be told that the call did not run.
    void faultsMapToExactStatus()
    {
        struct Row {
            const char* name;
            Behaviour behaviour;
            BackendStatus status;
            const char* text = "";
            Duration progress = longTimeout;
            Duration deadline = longTimeout;
        };
        using B = BackendStatus;
        const std::string one = streamResponse(textEvent("a"));
        const std::vector<Row> rows {
            { "chunked", { unterminatedChunkedResponse(textEvent("a") + finalEvents()), Then::Hang }, B::Ok, "a" },
            { "closes after the request", { "", Then::Close }, B::ConnectionLost },
            { "garbage", { "\x01garbage\r\n\r\n", Then::Close }, B::ConnectionLost },
            { "closes after a token", { one, Then::Close }, B::ConnectionLost, "a" },
            { "closes within an event", { one + "data: {\"choi", Then::Close }, B::ConnectionLost, "a" },
            { "no [DONE], whole body", { httpResponse(200, "", textEvent("a")) }, B::ConnectionLost, "a" },
            { "malformed event", { one + "data: {\"choices\":7\n\n", Then::Hang }, B::ConnectionLost, "a" },
            { "event of another type", { one + "data: [1]\n\n", Then::Hang }, B::ConnectionLost, "a" },
            { "endless line", { one + std::string(70'000, 'x'), Then::Hang }, B::ConnectionLost, "a" },
            { "never answers", { "", Then::Hang }, B::Silent, "", shortTimeout },
            { "silent after a token", { one, Then::Hang }, B::Silent, "a", shortTimeout },
            { "only comments", { one, Then::Trickle, ": x\n" }, B::Silent, "a", shortTimeout },
            { "deadline before the answer", { "", Then::Hang }, B::DeadlineExceeded, "", longTimeout, shortTimeout },
            { "deadline in the stream", { one, Then::Hang }, B::DeadlineExceeded, "a", longTimeout,
                std::chrono::seconds(2) },
            { "429", { httpResponse(429, "Retry-After-Ms: 250\r\n", "") }, B::Refused },
            { "503", { httpResponse(503, "", "") }, B::Refused },
            { "503, cut", { "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n{", Then::Close }, B::ConnectionLost },
            { "old epoch", { httpResponse(409, "", errorBody("old_epoch")) }, B::Refused },
            { "another conflict", { httpResponse(409, "", errorBody("busy")) }, B::Failed },
            { "unknown model", { httpResponse(404, "", errorBody("unknown_model")) }, B::Refused },
            { "another 404", { httpResponse(404, "", "[]") }, B::Failed },
            { "500", { httpResponse(500, "", std::string(100'000, 'x')) }, B::Failed },
        };
        for (const Row& row : rows) {
            MisbehavingServer server({ row.behaviour });
            HttpModelEngineSettings settings = longTimeoutSettings();
            settings.progressTimeout = row.progress;
            if (row.text[0] == 0)
                settings.firstTokenTimeout = row.progress;
            HttpModelEngine engine(settings, this->clock);
            ModelAnswer answer = engine.generate(requestTo(server.address(), row.deadline), {});
            assertStatus(backendStatusNames, row.name, row.status, answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.text), answer.text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(1), server.requests().size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status == B::Ok, answer.message.empty());
            if (std::string(row.name) == "429")
                CPPUNIT_ASSERT(answer.retryAfter == std::chrono::milliseconds(250));
        }
    }

    void onlyUnsentRequestsAreReportedNotSent()
    {
        HttpModelEngine engine(longTimeoutSettings(), this->clock);
        for (const std::string& address : { closedAddress(), std::string("nowhere") })
            assertStatus(backendStatusNames, address.c_str(), BackendStatus::NotSent,
                engine.generate(requestTo(address), {}).status);
        MisbehavingServer server({ { "", Then::Close } });
        ModelRequest late = requestTo(server.address(), -std::chrono::seconds(1));
        assertStatus(backendStatusNames, "late", BackendStatus::NotSent, engine.generate(late, {}).status);
        ModelRequest forged = requestTo(server.address());
        forged.session = "s\r\nX-Priority: 9"; // would inject a header
        assertStatus(backendStatusNames, "header", BackendStatus::NotSent, engine.generate(forged, {}).status);
        CPPUNIT_ASSERT(server.requests().empty());
        MisbehavingServer stalled({ { "" } }, false);
        ModelRequest large = requestTo(stalled.address());
        large.messagesJson = "\"" + std::string(32U << 20U, 'x') + "\""; // larger than the kernel's socket buffers
        large.deadline = this->clock.now() + std::chrono::seconds(2); // enough to build the body under a sanitizer
        assertStatus(backendStatusNames, "stalled", BackendStatus::DeadlineExceeded, engine.generate(large, {}).status);
    }

    void sinkCancelsAtTheEngine()
    {
        MisbehavingServer server(
            { { streamResponse(textEvent("a") + textEvent("b")), Then::Hang }, { "HTTP/1.1 204 X\r\n\r\n" } });
        HttpModelEngine engine(longTimeoutSettings(), this->clock);
        ModelAnswer answer = engine.generate(requestTo(server.address()), [](std::string_view) { return false; });
        assertStatus(backendStatusNames, "status", BackendStatus::Cancelled, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.text);
        CPPUNIT_ASSERT(server.requests().at(1).starts_with("DELETE /v1/streams/s%2F1 HTTP/1.1\r\n"));
    }

    void controlCallsParseResponses()
    {
        MisbehavingServer server(
            { { "HTTP/1.1 204 X\r\n\r\n" }, { httpResponse(200, "", R"({"sessions":[{"id":"a","tokens":4}]})") },
                { httpResponse(
                    200, "", R"({"running":1,"queued":2,"queuedPrefillTokens":3,"freeKvTokens":4,"reportAgeMs":5})") },
                { httpResponse(
                    200, "", R"({"events":[{"sequence":8,"type":"stored","prefixDigest":"d","tokens":9}]})") } });
        HttpModelEngine engine(longTimeoutSettings(), this->clock);
        CPPUNIT_ASSERT(engine.releaseSession(server.address(), "a", 6));
        CPPUNIT_ASSERT(server.requests()[0].starts_with("DELETE /v1/sessions/a HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(server.requests()[0].find("X-Epoch: 6\r\n") != std::string::npos);
        std::vector<std::string> sessions;
        CPPUNIT_ASSERT(engine.listSessions(server.address(), sessions) && sessions == std::vector<std::string> { "a" });
        EngineLoad load;
        CPPUNIT_ASSERT(engine.load(server.address(), load));
        CPPUNIT_ASSERT(load.runningRequests == 1 && load.queuedRequests == 2 && load.queuedPrefillTokens == 3
            && load.freeKvTokens == 4 && load.reportAgeMillis == 5);
        std::vector<CacheEvent> events;
        CPPUNIT_ASSERT(engine.cacheEvents(server.address(), 7, events) && events.size() == 1);
        CPPUNIT_ASSERT(
            events[0].sequence == 8 && events[0].stored && events[0].prefixDigest == "d" && events[0].tokens == 9);
        CPPUNIT_ASSERT(server.requests()[3].starts_with("GET /v1/cache-events?after=7 HTTP/1.1\r\n"));
    }

    void failedControlCallsLeaveOutputUnchanged()
    {
        for (const Behaviour& behaviour :
            std::vector<Behaviour> { { httpResponse(503, "", "{}") }, { httpResponse(200, "", "[") },
                { httpResponse(200, "", R"({"sessions":[1],"events":[{"sequence":1}],"running":1})") },
                { "", Then::Close }, { "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n{", Then::Close } }) {
            MisbehavingServer server({ behaviour });
            HttpModelEngine engine(longTimeoutSettings(), this->clock);
            std::vector<std::string> sessions { "old" };
            std::vector<CacheEvent> events(1);
            EngineLoad load;
            CPPUNIT_ASSERT(!engine.listSessions(server.address(), sessions) && sessions.size() == 1);
            CPPUNIT_ASSERT(!engine.cacheEvents(server.address(), 0, events) && events.size() == 1);
            CPPUNIT_ASSERT(!engine.load(server.address(), load) && load.runningRequests == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelEngineContractTest);

class ServiceContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceContractTest);
    CPPUNIT_TEST(faultsMapToExactStatus);
    CPPUNIT_TEST(unsentCallsAreReportedNotSent);
    CPPUNIT_TEST(callsShareNoConnection);
    CPPUNIT_TEST_SUITE_END();

    SystemClock clock;

    ServiceRequest requestTo(const std::string& address, Duration deadline = longTimeout)
    {
        return { address, "print", R"({"copies":2})", "call-1", false, 5, this->clock.now() + deadline };
    }

    // A call that may have run must never be reported as not run, and must be sent only once.
    void faultsMapToExactStatus()
    {
        struct Row {
            const char* name;
            Behaviour behaviour;
            BackendStatus status;
            Duration deadline = longTimeout;
        };
        using B = BackendStatus;
        const std::string complete = httpResponse(200, "", "{\"done\":true}");
        const std::vector<Row> rows {
            { "whole answer", { complete }, B::Ok },
            { "201", { httpResponse(201, "", "{}") }, B::Ok },
            { "chunked", { unterminatedChunkedResponse("{}") + "0\r\n\r\n" }, B::Ok },
            { "never answers", { "", Then::Hang }, B::DeadlineExceeded, shortTimeout },
            { "half, then silence", { complete.substr(0, 50), Then::Hang }, B::DeadlineExceeded, shortTimeout },
            { "trickles", { "HTTP/1.1 200 X\r\n", Then::Trickle, "A: b\r\n" }, B::DeadlineExceeded, shortTimeout },
            { "closes after the request", { "", Then::Close }, B::ConnectionLost },
            { "half, then closes", { complete.substr(0, complete.size() - 1), Then::Close }, B::ConnectionLost },
            { "garbage", { "garbage", Then::Close }, B::ConnectionLost },
            { "cut chunks", { unterminatedChunkedResponse("{}"), Then::Close }, B::ConnectionLost },
            { "no length", { "HTTP/1.1 200 X\r\n\r\n{}", Then::Close }, B::ConnectionLost },
            { "too long", { httpResponse(200, "", std::string((1U << 20U) + 1, 'x')) }, B::Failed },
            { "429", { httpResponse(429, "", "{}") }, B::Refused },
            { "503", { httpResponse(503, "", "{}") }, B::Refused },
            { "503, cut", { "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n{", Then::Close }, B::ConnectionLost },
            { "old epoch", { httpResponse(409, "", errorBody("old_epoch")) }, B::Refused },
            { "another conflict", { httpResponse(409, "", "{}") }, B::Failed },
            { "404", { httpResponse(404, "", "{}") }, B::Failed },
            { "500", { httpResponse(500, "", "{}") }, B::Failed },
        };
        for (const Row& row : rows) {
            MisbehavingServer server({ row.behaviour });
            HttpServiceClient client({ .connectTimeout = longTimeout }, this->clock);
            ServiceAnswer answer = client.call(requestTo(server.address(), row.deadline));
            assertStatus(backendStatusNames, row.name, row.status, answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status == B::Ok, answer.message.empty());
            std::vector<std::string> requests = server.requests();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(1), requests.size());
            CPPUNIT_ASSERT(requests[0].starts_with("POST /print HTTP/1.1\r\n"));
            CPPUNIT_ASSERT(requests[0].find("X-Call-Id: call-1\r\n") != std::string::npos);
            CPPUNIT_ASSERT(requests[0].find("X-Epoch: 5\r\n") != std::string::npos);
            CPPUNIT_ASSERT(requests[0].ends_with("\r\n\r\n{\"copies\":2}"));
        }
    }

    void unsentCallsAreReportedNotSent()
    {
        MisbehavingServer server({ { "", Then::Close } });
        HttpServiceClient client({ .connectTimeout = longTimeout }, this->clock);
        auto expectNotSent = [&](const char* what, const ServiceRequest& request) {
            assertStatus(backendStatusNames, what, BackendStatus::NotSent, client.call(request).status);
        };
        expectNotSent("closed port", requestTo(closedAddress()));
        expectNotSent("malformed address", requestTo("nowhere"));
        expectNotSent("late", requestTo(server.address(), -std::chrono::seconds(1)));
        ServiceRequest request = requestTo(server.address());
        request.callId = "c\r\nX-Epoch: 9";
        expectNotSent("forged header", request);
        request = requestTo(server.address());
        request.operation = "..";
        expectNotSent("parent path", request);
        CPPUNIT_ASSERT(server.requests().empty());
    }

    // If the service closed a reused connection, the client couldn't tell whether the call ran.
    void callsShareNoConnection()
    {
        MisbehavingServer server({ { httpResponse(200, "", "1") }, { httpResponse(200, "", "2") } });
        HttpServiceClient client({ .connectTimeout = longTimeout }, this->clock);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.call(requestTo(server.address())).body);
        server.waitForClosed(1);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), client.call(requestTo(server.address())).body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceContractTest);

} // namespace lovagecross
