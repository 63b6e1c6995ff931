// Plain calls, connections, limits and stops of a gateway.

#include "lovagecross/gateway/CallerSession.h"
#include "lovagecross/gateway/GatewayFixture.h"

namespace lovagecross {

class GatewayTest : public GatewayFixture {
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
    CPPUNIT_TEST(leavingCallerFreesItsServer);
    CPPUNIT_TEST(unknownRouteAndUnknownConfiguration);
    CPPUNIT_TEST(badRequestsReachNoServer);
    CPPUNIT_TEST(routeTimeoutEndsACall);
    CPPUNIT_TEST(configurationMayChangeDuringACall);
    CPPUNIT_TEST(drainingClosesAfterTheAnswer);
    CPPUNIT_TEST(requestThatCrossesTheCloseIsNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

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
