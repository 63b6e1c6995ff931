// A gateway between scripted backend servers and raw connections of callers.

#include "lovagecross/gateway/Gateway.h"

#include "lovagecross/gateway/CallerSession.h"
#include "lovagecross/testing/ScriptedServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using testing::Script;
using testing::ScriptedConnection;
using testing::ScriptedRequest;
using testing::ScriptedServer;

// Plain header names, as a platform of the tests.
class TestCodec final : public CallCodec {
public:
    Call decodeCall(const HeaderList& headers) const override
    {
        Call call;
        call.requestId = this->text(headers, "Id");
        call.program = this->text(headers, "Program");
        call.session = this->text(headers, "Session");
        call.previousTurn = this->text(headers, "Previous");
        call.affinityKey = this->text(headers, "Affinity");
        if (auto millis = parseUnsigned(this->text(headers, "Time")))
            call.timeLeft = milliseconds(*millis);
        call.tokenBudget = parseUnsigned(this->text(headers, "Budget"));
        call.maxOutputTokens = parseUnsigned(this->text(headers, "Max")).value_or(0);
        return call;
    }
    HeaderList encodeOrder(const HeaderList& callerHeaders, const ServerOrder& order) const override
    {
        HeaderList headers;
        for (const HeaderField& field : callerHeaders.fields()) {
            if (!isConnectionField(field.name, callerHeaders) && !equalsIgnoringCase(field.name, "Time"))
                headers.add(field.name, field.value);
        }
        headers.add("Time", std::to_string(toMillis(order.timeLeft)));
        headers.add("Server", order.serverId);
        if (order.resumeAfter)
            headers.set("Last-Event-Id", std::to_string(*order.resumeAfter));
        return headers;
    }
    ServerRemarks decodeRemarks(int, const HeaderList& headers) const override
    {
        return { this->text(headers, "Id"), headers.has("Signed"), headers.has("Not-Executed") };
    }
    HeaderList encodeAnswer(const Call& call, std::optional<Duration> retryAfter) const override
    {
        HeaderList headers;
        headers.add("Id", call.requestId);
        if (retryAfter)
            headers.add("Retry-After", std::to_string(std::chrono::duration<double>(*retryAfter).count()));
        return headers;
    }

private:
    static std::string text(const HeaderList& headers, const char* name)
    {
        const std::string* value = headers.find(name);
        return value != nullptr ? *value : std::string();
    }
};

class FakeTurns final : public TurnStore, public TokenBudgets {
public:
    Chain chain(const std::string& id, TimePoint) override
    {
        std::lock_guard lock(this->mutex);
        if (!this->available)
            return { ChainStatus::Unavailable, {}, 0, milliseconds(70) };
        auto found = this->kept.find(id);
        if (found == this->kept.end())
            return { ChainStatus::Absent, {}, 0, Duration(0) };
        return { ChainStatus::Found, found->second.input + found->second.output, 1, Duration(0) };
    }
    bool keep(const TurnRecord& record, TimePoint) override
    {
        std::lock_guard lock(this->mutex);
        if (!this->available)
            return false;
        this->kept[record.id] = record;
        return true;
    }
    Grant reserve(const GrantRequest& request, TimePoint) override
    {
        std::lock_guard lock(this->mutex);
        if (this->used + request.tokens > request.budget)
            return { GrantStatus::Exhausted, this->used, Duration(0) };
        this->used += request.tokens;
        return { GrantStatus::Granted, this->used, Duration(0) };
    }
    void settle(const GrantRequest& request, std::uint64_t usedTokens) override
    {
        std::lock_guard lock(this->mutex);
        this->used -= request.tokens - usedTokens;
    }

    std::mutex mutex;
    bool available = true;
    std::map<std::string, TurnRecord> kept;
    std::uint64_t used = 0;
};

std::string answerTo(const ScriptedRequest& request, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
        + "\r\nSigned: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const ScriptedRequest& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSigned: " + request.header("Server")
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& content)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", content.size());
    return size + content + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// One connection of a caller.
class CallerSocket {
public:
    explicit CallerSocket(const std::string& address)
        : socket(Poco::Net::SocketAddress(address))
    {
        this->socket.setReceiveTimeout(Poco::Timespan(5, 0));
    }

    void write(const std::string& bytes) { this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { this->socket.close(); }

    // Everything until the connection ends or `complete` is satisfied.
    std::string read(const std::function<bool(const std::string&)>& complete)
    {
        std::string bytes;
        char buffer[4096];
        try {
            while (!complete(bytes)) {
                int count = this->socket.receiveBytes(buffer, sizeof(buffer));
                if (count <= 0)
                    return bytes + "<closed>";
                bytes.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::TimeoutException&) {
            return bytes + "<timeout>";
        } catch (const Poco::Exception&) {
            return bytes + "<reset>";
        }
        return bytes;
    }

    // One answer with a length, or a whole chunked one.
    std::string readAnswer()
    {
        return this->read([](const std::string& bytes) {
            std::size_t end = bytes.find("\r\n\r\n");
            if (end == std::string::npos)
                return false;
            std::size_t at = bytes.find("Content-Length: ");
            if (at < end)
                return bytes.size() >= end + 4 + std::stoul(bytes.substr(at + 16));
            return bytes.size() >= 5 && bytes.substr(bytes.size() - 5) == "0\r\n\r\n";
        });
    }

private:
    Poco::Net::StreamSocket socket;
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(callPassesThroughUnchanged);
    CPPUNIT_TEST(unsafeCallIsNeverSentTwice);
    CPPUNIT_TEST(refusedCallGoesToAnotherServer);
    CPPUNIT_TEST(fullServersGiveATruthfulRefusal);
    CPPUNIT_TEST(safeCallIsSentAgainWithinItsAttempts);
    CPPUNIT_TEST(lateAnswerToAnotherRequestIsSkipped);
    CPPUNIT_TEST(surplusBytesReachNobody);
    CPPUNIT_TEST(foreignAnswersAreNotPassedOn);
    CPPUNIT_TEST(earlyAnswerToALongBodyArrives);
    CPPUNIT_TEST(cutAnswerWithoutLengthIsNotWhole);
    CPPUNIT_TEST(resumableStreamGoesOnElsewhere);
    CPPUNIT_TEST(cutStreamIsNotCompletedWithoutItsEnd);
    CPPUNIT_TEST(streamWithMissingEventEnds);
    CPPUNIT_TEST(leavingCallerFreesItsServer);
    CPPUNIT_TEST(turnCarriesItsConversation);
    CPPUNIT_TEST(turnThatCanNotBeKeptHasNoEnd);
    CPPUNIT_TEST(spentBudgetIsRefusedWithoutRunning);
    CPPUNIT_TEST(unknownRouteAndUnknownConfiguration);
    CPPUNIT_TEST(badRequestsReachNoServer);
    CPPUNIT_TEST(routeTimeoutEndsACall);
    CPPUNIT_TEST(configurationMayChangeDuringACall);
    CPPUNIT_TEST(drainingClosesAfterTheAnswer);
    CPPUNIT_TEST(requestThatCrossesTheCloseIsNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

    SystemClock clock;
    Counters counters;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<ServerBook> book;
    std::unique_ptr<ConnectionPool> pool;
    TestCodec codec;
    std::unique_ptr<FakeTurns> turns;
    std::unique_ptr<GatewayParts> parts;
    std::unique_ptr<Gateway> gateway;
    std::string address;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<ServerEntry> entries;

public:
    void setUp() override
    {
        this->directory = std::make_unique<Directory>(this->clock);
        this->book = std::make_unique<ServerBook>(this->clock, "a");
        this->pool = std::make_unique<ConnectionPool>(this->clock, milliseconds(300));
        this->turns = std::make_unique<FakeTurns>();
        this->parts.reset(new GatewayParts { this->clock, *this->directory, *this->book, *this->pool, this->codec,
            *this->turns, *this->turns, GatewayCounters(this->counters) });
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        this->address = probe.address().toString();
        probe.close();
        this->gateway = std::make_unique<Gateway>(GatewaySettings { this->address, 64 }, *this->parts);
        this->gateway->start();
        this->directory->applyConfiguration(this->configuration());
    }

    void tearDown() override
    {
        this->gateway->stop(std::chrono::seconds(5));
        this->gateway.reset();
        this->servers.clear();
        this->entries.clear();
    }

private:
    static Route route(const std::string& prefix, CallKind kind, std::uint32_t attempts)
    {
        Route made;
        made.name = prefix;
        made.host = "h";
        made.pathPrefix = prefix;
        made.kind = kind;
        made.services = { { "s", 1 } };
        made.timeout = milliseconds(1500);
        made.targetLatency = milliseconds(100);
        made.targetGap = milliseconds(100);
        made.maxAttempts = attempts;
        return made;
    }

    GatewayConfiguration configuration() const
    {
        GatewayConfiguration made;
        made.version = 1;
        made.routes = { route("/safe/", CallKind::Safe, 2), route("/unsafe/", CallKind::Unsafe, 2),
            route("/stream/", CallKind::Streaming, 2), route("/turn/", CallKind::Streaming, 2) };
        made.routes[2].resumable = true;
        made.routes[3].keepsTurns = true;
        ServiceSpec service;
        service.name = "s";
        service.engine = EngineTraits {};
        service.engine->tokensPerEvent = 4;
        made.services["s"] = service;
        made.limits.maxHeadBytes = 2000;
        made.limits.maxBodyBytes = 100'000;
        made.limits.headTimeout = milliseconds(300);
        return made;
    }

    void addServer(Script script)
    {
        this->servers.push_back(std::make_unique<ScriptedServer>(std::move(script)));
        ServerEntry entry;
        entry.id = "server" + std::to_string(this->servers.size());
        entry.service = "s";
        entry.address = this->servers.back()->address();
        entry.dataCentre = "a";
        entry.slots = 8;
        this->entries.push_back(entry);
        this->directory->replaceServers(this->entries, this->entries.size());
    }

    // Several servers with the same script.
    void addServers(int count, const Script& script)
    {
        for (int i = 0; i < count; ++i)
            this->addServer(script);
    }

    int requestsAtServers() const
    {
        int total = 0;
        for (const auto& server : this->servers)
            total += server->requests();
        return total;
    }

    static std::string get(const std::string& path, const std::string& id, const std::string& more = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + more + "\r\n";
    }
    static std::string post(
        const std::string& path, const std::string& id, const std::string& body, const std::string& more = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + more
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string ask(const std::string& request)
    {
        CallerSocket caller(this->address);
        caller.write(request);
        return caller.readAnswer();
    }

    void callPassesThroughUnchanged()
    {
        std::string seen;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            seen = request.head + request.body;
            return connection.write(answerTo(request, "result " + request.body));
        });
        CallerSocket caller(this->address);
        for (int i = 0; i < 3; ++i) {
            std::string id = "r" + std::to_string(i);
            caller.write("POST /unsafe/x?y=%20z HTTP/1.1\r\nHost: h\r\nId: " + id
                + "\r\nTime: 900\r\nX-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            std::string answer = caller.readAnswer();
            CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 200 OK\r\n") && has(answer, "result abcde"));
            CPPUNIT_ASSERT(has(answer, "Id: " + id) && has(answer, "Signed: x"));
        }
        CPPUNIT_ASSERT_MESSAGE(seen, has(seen, "POST /unsafe/x?y=%20z HTTP/1.1\r\n") && has(seen, "X-Own: kept"));
        CPPUNIT_ASSERT_MESSAGE(seen, has(seen, "Server: server1") && !has(seen, "chunked"));
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), seen.substr(seen.size() - 5));
    }

    // A lost answer of a non-idempotent call says nothing about whether it ran.
    void unsafeCallIsNeverSentTwice()
    {
        this->addServers(3, [](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.reset();
            return false;
        });
        std::string answer = this->ask(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 502 "));
        CPPUNIT_ASSERT(!has(answer, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(1, this->requestsAtServers());
    }

    void refusedCallGoesToAnotherServer()
    {
        std::mutex mutex;
        std::set<std::string> ran;
        Script script = [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::lock_guard lock(mutex);
            bool first = ran.empty();
            ran.insert(request.header("Server"));
            if (first)
                return connection.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return connection.write(answerTo(request, "done"));
        };
        this->addServers(2, script);
        std::string answer = this->ask(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "done"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), ran.size());
    }

    // 503 promises that the call has not run; 502 promises nothing.
    void fullServersGiveATruthfulRefusal()
    {
        this->addServers(3, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
        std::string answer = this->ask(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 503 ") && has(answer, "Retry-After"));
        this->servers.clear(); // nothing listens any more
        answer = this->ask(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 503 "));
    }

    void safeCallIsSentAgainWithinItsAttempts()
    {
        this->addServers(4, [](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.reset();
            return false;
        });
        std::string answer = this->ask(get("/safe/", "r1"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 502 "));
        CPPUNIT_ASSERT_EQUAL(2, this->requestsAtServers());
    }

    // A second answer to an earlier call may lie in a kept connection, where the next answer is expected.
    void lateAnswerToAnotherRequestIsSkipped()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (request.number == 2) {
                ScriptedRequest earlier = request;
                earlier.head = "GET / HTTP/1.1\r\nId: r1\r\n\r\n";
                connection.write(answerTo(earlier, "stale"));
            }
            return connection.write(answerTo(request, "fresh"));
        });
        CallerSocket caller(this->address);
        caller.write(get("/safe/", "r1"));
        CPPUNIT_ASSERT(has(caller.readAnswer(), "fresh"));
        caller.write(get("/safe/", "r2"));
        std::string answer = caller.readAnswer();
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "fresh") && !has(answer, "stale"));
        CPPUNIT_ASSERT_EQUAL(2, this->requestsAtServers());
    }

    void surplusBytesReachNobody()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(answerTo(request, "whole") + "HTTP/1.1 200 OK\r\nId: r2\r\nSigned: x\r\n");
            return connection.write("Content-Length: 5\r\n\r\nwrong");
        });
        CallerSocket caller(this->address);
        for (int i = 1; i <= 3; ++i) {
            caller.write(get("/safe/", "r" + std::to_string(i)));
            std::string answer = caller.readAnswer();
            CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "whole") && !has(answer, "wrong"));
        }
    }

    void foreignAnswersAreNotPassedOn()
    {
        struct Row {
            std::string answer;
            std::string status;
        };
        const std::vector<Row> rows {
            { "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx", "502" }, // not signed
            { "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", "502" },
            { "HTTP/1.1 200 OK\r\nId: other\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "504" }, // another's answer
            { "HTTP/1.1 503 Busy\r\nId: r1\r\nSigned: x\r\nContent-Length: 0\r\n\r\n", "502" }, // may have run
            { "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nContent-Length: 9\r\n\r\nx", "504" }, // cut
            { "not HTTP at all\r\n\r\n", "502" },
            { "HTTP/1.1 500 Failed\r\nId: r1\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "500" }, // the server's own
        };
        for (const Row& row : rows) {
            this->servers.clear();
            this->entries.clear();
            this->setUpFreshBook();
            this->addServer([&](const ScriptedRequest&, ScriptedConnection& connection) {
                connection.write(row.answer);
                connection.waitForClose();
                return false;
            });
            std::string answer = this->ask(post("/unsafe/", "r1", "x", "Time: 300\r\n"));
            CPPUNIT_ASSERT_MESSAGE(row.answer + " gave " + answer, has(answer, "HTTP/1.1 " + row.status));
        }
        this->servers.clear(); // their script refers to the rows
    }

    // A new registry revision and new server ids, so that a row doesn't inherit the failures of the one before.
    void setUpFreshBook() { this->book->retain({}); }

    void earlyAnswerToALongBodyArrives()
    {
        // Answers as soon as the head has arrived, and reads nothing more.
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        std::thread server([&] {
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            socket.setReceiveBufferSize(4096);
            std::string head;
            char byte = 0;
            while (!has(head, "\r\n\r\n") && socket.receiveBytes(&byte, 1) == 1)
                head += byte;
            std::string answer = "HTTP/1.1 413 Long\r\nId: r1\r\nSigned: x\r\nContent-Length: 5\r\n\r\nearly";
            socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
            ScriptedConnection(socket).waitForClose();
        });
        ServerEntry entry { "early", "s", listener.address().toString(), "a", 8, ServerState::Ready, Duration(0), 0 };
        this->directory->replaceServers({ entry }, 50);
        std::string answer = this->ask(post("/unsafe/", "r1", std::string(90'000, 'b')));
        server.join();
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 413 Long") && has(answer, "early"));
    }

    void cutAnswerWithoutLengthIsNotWhole()
    {
        std::atomic<bool> cut { true };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write("HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSigned: x\r\n\r\npart");
            if (cut) {
                std::this_thread::sleep_for(milliseconds(50));
                connection.reset();
            }
            return false;
        });
        CPPUNIT_ASSERT(has(this->ask(post("/unsafe/", "r1", "x")), "HTTP/1.1 502"));
        cut = false;
        std::string whole = this->ask(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(whole, has(whole, "Content-Length: 4") && has(whole, "part"));
    }

    // The second server must not repeat or lose an event, and the answer keeps the first server's signature.
    void resumableStreamGoesOnElsewhere()
    {
        std::mutex mutex;
        std::vector<std::string> resumedAfter;
        this->addServers(2, [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string after = request.header("Last-Event-Id");
            {
                std::lock_guard lock(mutex);
                resumedAfter.push_back(after);
            }
            int start = after.empty() ? 1 : std::stoi(after) + 1;
            connection.write(streamHead(request) + chunk(event(start)) + chunk(event(start + 1)));
            if (after.empty()) {
                connection.write("8\r\nid: 3\nda");
                connection.reset();
                return false;
            }
            return connection.write(chunk(event(start + 2)) + "0\r\n\r\n");
        });
        std::string answer = this->ask(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "0\r\n\r\n"));
        std::size_t at = 0;
        for (int id = 1; id <= 5; ++id) {
            std::size_t next = answer.find(event(id));
            CPPUNIT_ASSERT_MESSAGE(answer, next != std::string::npos && next >= at);
            CPPUNIT_ASSERT_MESSAGE("doubled " + answer, answer.find(event(id), next + 1) == std::string::npos);
            at = next;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), resumedAfter.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), resumedAfter[1]);
    }

    void cutStreamIsNotCompletedWithoutItsEnd()
    {
        this->addServers(2, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + chunk(event(1)));
            connection.reset();
            return false;
        });
        std::string answer = this->ask(post("/turn/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, event(1)) && !has(answer, "0\r\n\r\n") && has(answer, "<closed>"));
        CPPUNIT_ASSERT_EQUAL(1, this->requestsAtServers());
        CPPUNIT_ASSERT(this->turns->kept.empty());
    }

    void streamWithMissingEventEnds()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + chunk(event(1)) + chunk(event(3)) + "0\r\n\r\n");
        });
        std::string answer = this->ask(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(answer, !has(answer, event(3)) && !has(answer, "0\r\n\r\n"));
    }

    // A server that works for a caller who has left holds a slot for nobody.
    void leavingCallerFreesItsServer()
    {
        std::atomic<bool> freed { false };
        std::atomic<bool> begun { false };
        this->addServer([&](const ScriptedRequest&, ScriptedConnection& connection) {
            begun = true;
            freed = connection.waitForClose();
            return false;
        });
        CallerSocket caller(this->address);
        caller.write(post("/unsafe/", "r1", "x"));
        while (!begun)
            std::this_thread::sleep_for(milliseconds(1));
        TimePoint left = this->clock.now();
        caller.close();
        while (!freed && this->clock.now() - left < std::chrono::seconds(4))
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(freed && this->clock.now() - left < milliseconds(500));
    }

    void turnCarriesItsConversation()
    {
        std::mutex mutex;
        std::vector<std::string> bodies;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::lock_guard lock(mutex);
            bodies.push_back(request.body);
            return connection.write(streamHead(request) + chunk(event(1) + event(2)) + "0\r\n\r\n");
        });
        CPPUNIT_ASSERT(has(this->ask(post("/turn/", "t1", "first|")), "0\r\n\r\n"));
        CPPUNIT_ASSERT(has(this->ask(post("/turn/", "t2", "second|", "Previous: t1\r\n")), "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("first|e1\ne2\nsecond|"), bodies[1]);
        CPPUNIT_ASSERT_EQUAL(std::string("second|"), this->turns->kept["t2"].input);
        std::string unknown = this->ask(post("/turn/", "t3", "third|", "Previous: none\r\n"));
        CPPUNIT_ASSERT_MESSAGE(unknown, has(unknown, "HTTP/1.1 404"));
        this->turns->available = false;
        std::string unavailable = this->ask(post("/turn/", "t4", "x", "Previous: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(unavailable, has(unavailable, "HTTP/1.1 503") && has(unavailable, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bodies.size());
    }

    // The end of an answer says that the turn is kept.
    void turnThatCanNotBeKeptHasNoEnd()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
        });
        this->turns->available = false;
        std::string answer = this->ask(post("/turn/", "t1", "first"));
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, event(1)) && !has(answer, "0\r\n\r\n"));
    }

    void spentBudgetIsRefusedWithoutRunning()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
        });
        const std::string fields = "Program: p\r\nBudget: 100\r\nMax: 60\r\n";
        CPPUNIT_ASSERT(has(this->ask(post("/stream/", "r1", "x", fields)), "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), this->turns->used); // one event of four tokens
        this->turns->used = 50;
        std::string refused = this->ask(post("/stream/", "r2", "x", fields));
        CPPUNIT_ASSERT_MESSAGE(refused, has(refused, "HTTP/1.1 402"));
        CPPUNIT_ASSERT_EQUAL(1, this->requestsAtServers());
    }

    void unknownRouteAndUnknownConfiguration()
    {
        CPPUNIT_ASSERT(has(this->ask(get("/nowhere/", "r1")), "HTTP/1.1 404"));
        CPPUNIT_ASSERT(has(this->ask(get("/safe/", "r1")), "HTTP/1.1 503")); // no server is registered
        Directory empty(this->clock);
        GatewayParts unconfigured { this->clock, empty, *this->book, *this->pool, this->codec, *this->turns,
            *this->turns, GatewayCounters(this->counters) };
        Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        std::string other = probe.address().toString();
        probe.close();
        Gateway second({ other, 4 }, unconfigured);
        second.start();
        CallerSocket caller(other);
        caller.write(get("/nowhere/", "r1"));
        std::string answer = caller.readAnswer();
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 503"));
        caller.close();
        second.stop(std::chrono::seconds(1));
    }

    void badRequestsReachNoServer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(answerTo(request, "ran"));
        });
        struct Row {
            std::string request;
            std::string status;
        };
        const std::vector<Row> rows {
            { "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 3\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n\r\n",
                "400" },
            { "GARBAGE\r\n\r\n", "400" }, { "GET /safe/ HTTP/3.0\r\nHost: h\r\n\r\n", "505" },
            { get("/safe/", "r", "X: " + std::string(3000, 'x') + "\r\n"), "431" },
            { "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 200000\r\n\r\n", "413" },
            { "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400" },
            { "GET /safe/ HTTP/1.1\r\nHost: h\r\n", "408" }, // never ends
            { "GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n", "400" }, // no id
        };
        for (const Row& row : rows) {
            std::string answer = this->ask(row.request);
            CPPUNIT_ASSERT_MESSAGE(
                row.request.substr(0, 80) + " gave " + answer, has(answer, "HTTP/1.1 " + row.status));
        }
        CPPUNIT_ASSERT_EQUAL(0, this->requestsAtServers());
    }

    void routeTimeoutEndsACall()
    {
        this->addServer([](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.waitForClose();
            return false;
        });
        TimePoint start = this->clock.now();
        std::string answer = this->ask(post("/unsafe/", "r1", "x", "Time: 60000\r\n"));
        Duration taken = this->clock.now() - start;
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 504"));
        CPPUNIT_ASSERT(taken >= milliseconds(1490) && taken < milliseconds(1900));
    }

    // A call that was accepted under one configuration ends under it: its route must outlive the change, and the
    // service may be gone from the new configuration.
    void configurationMayChangeDuringACall()
    {
        this->addServers(2, [this](const ScriptedRequest&, ScriptedConnection& connection) {
            for (std::uint64_t version = 10; version < 30; ++version) {
                GatewayConfiguration next;
                next.version = version + this->directory->view()->configuration->version;
                this->directory->applyConfiguration(std::move(next));
            }
            connection.reset();
            return false;
        });
        for (int i = 0; i < 20; ++i) {
            GatewayConfiguration again = this->configuration();
            again.version = this->directory->view()->configuration->version + 1;
            this->directory->applyConfiguration(std::move(again));
            std::string answer = this->ask(get("/safe/", "r" + std::to_string(i)));
            CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "HTTP/1.1 502") || has(answer, "HTTP/1.1 503"));
        }
    }

    void drainingClosesAfterTheAnswer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::this_thread::sleep_for(milliseconds(100));
            return connection.write(answerTo(request, "done"));
        });
        CallerSocket caller(this->address);
        caller.write(get("/safe/", "r1"));
        std::this_thread::sleep_for(milliseconds(30));
        this->gateway->drain();
        std::string answer = caller.readAnswer();
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "done") && has(answer, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::string("<closed>"), caller.read([](const std::string&) { return false; }));
    }

    // At the end of a stop, idle connections are closed while requests may be on their way on them. One that isn't
    // answered must not reach a server: its caller sends a non-idempotent call again after such a close.
    void requestThatCrossesTheCloseIsNotPassedOn()
    {
        std::atomic<int> ran { 0 };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++ran;
            return connection.write(answerTo(request, "done"));
        });
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        CallerSocket caller(listener.address().toString());
        CallerSession session(*this->parts, listener.acceptConnection());
        caller.write(post("/unsafe/", "r1", "x"));
        std::this_thread::sleep_for(milliseconds(50)); // the request has arrived and is not read yet
        session.endIfIdle();
        std::thread thread([&] { session.run(); });
        std::string answer = caller.readAnswer();
        caller.close();
        thread.join();
        CPPUNIT_ASSERT_EQUAL(has(answer, "done") ? 1 : 0, ran.load());
        CPPUNIT_ASSERT_MESSAGE(answer, has(answer, "done"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace lovagecross
