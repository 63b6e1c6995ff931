// Tests of calls without streams, connections, limits and shutdown of a gateway.

#include "lovagecross/gateway/CallerSession.h"
#include "lovagecross/gateway/GatewayFixture.h"

namespace lovagecross {

class GatewayTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(callPassesThroughUnchanged);
    CPPUNIT_TEST(unsafeCallIsNeverSentTwice);
    CPPUNIT_TEST(rejectedCallIsSentToAnotherServer);
    CPPUNIT_TEST(fullServersYield503);
    CPPUNIT_TEST(safeCallIsRetriedUpToMaxAttempts);
    CPPUNIT_TEST(lateResponseToAnotherRequestIsSkipped);
    CPPUNIT_TEST(surplusBytesAreDiscarded);
    CPPUNIT_TEST(invalidResponsesAreNotForwarded);
    CPPUNIT_TEST(earlyResponseToLongBodyIsForwarded);
    CPPUNIT_TEST(truncatedResponseWithoutLengthIsRejected);
    CPPUNIT_TEST(callerDisconnectReleasesServer);
    CPPUNIT_TEST(unknownRouteAndMissingConfiguration);
    CPPUNIT_TEST(invalidRequestsAreNotForwarded);
    CPPUNIT_TEST(routeTimeoutEndsACall);
    CPPUNIT_TEST(configurationMayChangeDuringACall);
    CPPUNIT_TEST(drainingClosesConnectionAfterResponse);
    CPPUNIT_TEST(unansweredRequestDuringCloseIsNotForwarded);
    CPPUNIT_TEST(callerThatLeftBeforeTheRequestWasReadReachesNoServer);
    CPPUNIT_TEST(connectionAfterTheStopIsRefusedAtOnce);
    CPPUNIT_TEST(connectionsOpenedBeforeTheStopAreServed);
    CPPUNIT_TEST(callThatCanNotEndBeforeTheStopIsRefused);
    CPPUNIT_TEST(serverThatPausesIsWaitedFor);
    CPPUNIT_TEST_SUITE_END();

    void callPassesThroughUnchanged()
    {
        std::string seen;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            seen = request.head + request.body;
            return connection.write(signedResponse(request, "result " + request.body));
        });
        CallerSocket caller(this->address);
        for (int i = 0; i < 3; ++i) {
            std::string id = "r" + std::to_string(i);
            caller.write("POST /unsafe/x?y=%20z HTTP/1.1\r\nHost: h\r\nId: " + id
                + "\r\nTime: 900\r\nX-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            std::string response = caller.readResponse();
            CPPUNIT_ASSERT_MESSAGE(
                response, contains(response, "HTTP/1.1 200 OK\r\n") && contains(response, "result abcde"));
            CPPUNIT_ASSERT(contains(response, "Id: " + id) && contains(response, "Signed: x"));
        }
        CPPUNIT_ASSERT_MESSAGE(
            seen, contains(seen, "POST /unsafe/x?y=%20z HTTP/1.1\r\n") && contains(seen, "X-Own: kept"));
        CPPUNIT_ASSERT_MESSAGE(seen, contains(seen, "Server: server1") && !contains(seen, "chunked"));
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), seen.substr(seen.size() - 5));
    }

    // If the response to a non-idempotent call is lost, the call may have run.
    void unsafeCallIsNeverSentTwice()
    {
        this->addServers(3, [](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.reset();
            return false;
        });
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502 "));
        CPPUNIT_ASSERT(!contains(response, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    void rejectedCallIsSentToAnotherServer()
    {
        std::mutex mutex;
        std::set<std::string> ran;
        Script script = [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::lock_guard lock(mutex);
            bool first = ran.empty();
            ran.insert(request.header("Server"));
            if (first)
                return connection.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return connection.write(signedResponse(request, "done"));
        };
        this->addServers(2, script);
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), ran.size());
    }

    // A 503 response guarantees that the call has not run; a 502 response doesn't.
    void fullServersYield503()
    {
        this->addServers(3, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After"));
        this->servers.clear(); // connections are refused from now on
        response = this->sendRequest(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503 "));
    }

    void safeCallIsRetriedUpToMaxAttempts()
    {
        this->addServers(4, [](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.reset();
            return false;
        });
        std::string response = this->sendRequest(get("/safe/", "r1"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502 "));
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
    }

    // A reused connection may deliver a second response to an earlier call before the expected one.
    void lateResponseToAnotherRequestIsSkipped()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (request.number == 2) {
                ScriptedRequest earlier = request;
                earlier.head = "GET / HTTP/1.1\r\nId: r1\r\n\r\n";
                connection.write(signedResponse(earlier, "stale"));
            }
            return connection.write(signedResponse(request, "fresh"));
        });
        CallerSocket caller(this->address);
        caller.write(get("/safe/", "r1"));
        CPPUNIT_ASSERT(contains(caller.readResponse(), "fresh"));
        caller.write(get("/safe/", "r2"));
        std::string response = caller.readResponse();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "fresh") && !contains(response, "stale"));
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
    }

    void surplusBytesAreDiscarded()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(signedResponse(request, "whole") + "HTTP/1.1 200 OK\r\nId: r2\r\nSigned: x\r\n");
            return connection.write("Content-Length: 5\r\n\r\nwrong");
        });
        CallerSocket caller(this->address);
        for (int i = 1; i <= 3; ++i) {
            caller.write(get("/safe/", "r" + std::to_string(i)));
            std::string response = caller.readResponse();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "whole") && !contains(response, "wrong"));
        }
    }

    void invalidResponsesAreNotForwarded()
    {
        struct Row {
            std::string response;
            std::string status;
        };
        const std::vector<Row> rows {
            { "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx", "502" }, // not signed
            { "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", "502" },
            { "HTTP/1.1 200 OK\r\nId: other\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx",
                "504" }, // response to another request
            { "HTTP/1.1 503 Busy\r\nId: r1\r\nSigned: x\r\nContent-Length: 0\r\n\r\n", "502" }, // may have run
            { "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nContent-Length: 9\r\n\r\nx", "504" }, // truncated
            { "not HTTP at all\r\n\r\n", "502" },
            { "HTTP/1.1 000 \r\nId: r1\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "502" }, // no status of HTTP
            { "HTTP/1.1 099 Odd\r\nId: r1\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "502" },
            { "HTTP/1.1 600 Odd\r\nId: r1\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "502" },
            { "HTTP/1.1 500 Failed\r\nId: r1\r\nSigned: x\r\nContent-Length: 1\r\n\r\nx", "500" }, // server's own error
        };
        for (const Row& row : rows) {
            this->servers.clear();
            this->entries.clear();
            this->clearServerStatistics();
            this->addServer([&](const ScriptedRequest&, ScriptedConnection& connection) {
                connection.write(row.response);
                connection.waitForClose();
                return false;
            });
            std::string response = this->sendRequest(post("/unsafe/", "r1", "x", "Time: 300\r\n"));
            CPPUNIT_ASSERT_MESSAGE(row.response + " gave " + response, contains(response, "HTTP/1.1 " + row.status));
        }
        this->servers.clear(); // the scripts hold references to `rows`
    }

    // Clears the server statistics, so that a row isn't affected by the failures of the previous row.
    void clearServerStatistics() { this->book->retain({}); }

    void earlyResponseToLongBodyIsForwarded()
    {
        // Responds as soon as the request head has arrived, and doesn't read the body.
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        std::thread server([&] {
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            socket.setReceiveBufferSize(4096);
            std::string head;
            char byte = 0;
            while (!contains(head, "\r\n\r\n") && socket.receiveBytes(&byte, 1) == 1)
                head += byte;
            std::string response = "HTTP/1.1 413 Long\r\nId: r1\r\nSigned: x\r\nContent-Length: 5\r\n\r\nearly";
            socket.sendBytes(response.data(), static_cast<int>(response.size()));
            ScriptedConnection(socket).waitForClose();
        });
        ServerEntry entry { "early", "s", listener.address().toString(), "a", 8, ServerState::Ready, Duration(0), 0,
            {} };
        this->directory->replaceServers({ entry }, 50);
        std::string response = this->sendRequest(post("/unsafe/", "r1", std::string(90'000, 'b')));
        server.join();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 413 Long") && contains(response, "early"));
    }

    void truncatedResponseWithoutLengthIsRejected()
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
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/unsafe/", "r1", "x")), "HTTP/1.1 502"));
        cut = false;
        std::string whole = this->sendRequest(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(whole, contains(whole, "Content-Length: 4") && contains(whole, "part"));
    }

    // A server that keeps running a call after the caller has disconnected wastes a slot.
    void callerDisconnectReleasesServer()
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

    void unknownRouteAndMissingConfiguration()
    {
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/nowhere/", "r1")), "HTTP/1.1 404"));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r1")), "HTTP/1.1 503")); // no server is registered
        Directory empty(this->clock);
        GatewayContext unconfigured { this->clock, empty, *this->book, *this->pool, this->codec, *this->turns,
            *this->turns, this->permits(), GatewayCounters(this->counters) };
        std::string other = testing::freeAddress();
        Gateway second({ other, 4 }, unconfigured);
        second.start();
        CallerSocket caller(other);
        caller.write(get("/nowhere/", "r1"));
        std::string response = caller.readResponse();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503"));
        caller.close();
        second.stop(std::chrono::seconds(1));
    }

    void invalidRequestsAreNotForwarded()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "ran"));
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
            { "GET /safe/ HTTP/1.1\r\nHost: h\r\n", "408" }, // incomplete head
            { "GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n", "400" }, // no request id
        };
        for (const Row& row : rows) {
            std::string response = this->sendRequest(row.request);
            CPPUNIT_ASSERT_MESSAGE(
                row.request.substr(0, 80) + " gave " + response, contains(response, "HTTP/1.1 " + row.status));
        }
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    void routeTimeoutEndsACall()
    {
        this->addServer([](const ScriptedRequest&, ScriptedConnection& connection) {
            connection.waitForClose();
            return false;
        });
        TimePoint start = this->clock.now();
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x", "Time: 60000\r\n"));
        Duration taken = this->clock.now() - start;
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 504"));
        CPPUNIT_ASSERT(taken >= milliseconds(1490) && taken < milliseconds(1900));
    }

    // A call finishes under the configuration that accepted it: its route must outlive a change, and the new
    // configuration may lack its service.
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
            std::string response = this->sendRequest(get("/safe/", "r" + std::to_string(i)));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502") || contains(response, "HTTP/1.1 503"));
        }
    }

    void drainingClosesConnectionAfterResponse()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::this_thread::sleep_for(milliseconds(100));
            return connection.write(signedResponse(request, "done"));
        });
        CallerSocket caller(this->address);
        caller.write(get("/safe/", "r1"));
        std::this_thread::sleep_for(milliseconds(30));
        this->gateway->drain();
        std::string response = caller.readResponse();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done") && contains(response, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::string("<closed>"), caller.read([](const std::string&) { return false; }));
    }

    // A stop closes idle connections on which a request may just arrive. A request that gets no response must not reach
    // a server, because the caller repeats even a non-idempotent call after such a close.
    void unansweredRequestDuringCloseIsNotForwarded()
    {
        std::atomic<int> ran { 0 };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++ran;
            return connection.write(signedResponse(request, "done"));
        });
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        CallerSocket caller(listener.address().toString());
        ConnectionTable connections(this->parts->clock, 1, Duration(0));
        TrackedConnection connection(connections, [] {});
        CallerSession session(*this->parts, listener.acceptConnection(), connection, CallOrigin::Caller);
        caller.write(post("/unsafe/", "r1", "x"));
        std::this_thread::sleep_for(milliseconds(50)); // the request has arrived but has not been read
        session.closeIfIdle();
        std::thread thread([&] { session.run(); });
        std::string response = caller.readResponse();
        caller.close();
        thread.join();
        CPPUNIT_ASSERT_EQUAL(contains(response, "done") ? 1 : 0, ran.load());
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }

    // Guards against a server that runs a call for nobody: its caller left before the node read the request, as after a
    // pause of the node.
    void callerThatLeftBeforeTheRequestWasReadReachesNoServer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        for (const char* path : { "/safe/", "/unsafe/", "/turn/" }) {
            Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
            CallerSocket caller(listener.address().toString());
            ConnectionTable connections(this->parts->clock, 1, Duration(0));
            TrackedConnection connection(connections, [] {});
            CallerSession session(*this->parts, listener.acceptConnection(), connection, CallOrigin::Caller);
            caller.write(post(path, "r1", "x"));
            caller.close();
            session.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 0, this->totalServerRequests());
        }
    }

    // Guards against a second run, or a lost answer, because a sound server was silent for a second and a half, on a
    // new connection and on a kept one.
    void serverThatPausesIsWaitedFor()
    {
        GatewayConfiguration patient = this->configuration();
        patient.version = 2;
        for (Route& each : patient.routes)
            each.timeout = std::chrono::seconds(4);
        this->directory->applyConfiguration(patient);
        this->addServers(2, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::this_thread::sleep_for(milliseconds(1500));
            if (contains(request.head, "/turn/"))
                return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
            return connection.write(signedResponse(request, "done"));
        });
        int calls = 0;
        for (const char* path : { "/safe/", "/unsafe/", "/turn/", "/unsafe/" }) {
            std::string response = this->sendRequest(post(path, "r" + std::to_string(++calls), "x"));
            CPPUNIT_ASSERT_MESSAGE(path + response, contains(response, "HTTP/1.1 200"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, calls, this->totalServerRequests());
        }
    }

    // Guards against a call that arrives late in a planned stop, is passed on, and is cut off without an answer when
    // the time for the stop is over, although it may not be repeated.
    void callThatCanNotEndBeforeTheStopIsRefused()
    {
        std::atomic<int> ran { 0 };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++ran;
            std::this_thread::sleep_for(milliseconds(1000));
            return connection.write(signedResponse(request, "done"));
        });
        auto reachGateway = [this](const std::string& bytes) {
            auto caller = std::make_unique<CallerSocket>(this->address);
            caller->write(bytes);
            return caller;
        };
        std::string late = post("/unsafe/", "late", "x", "Time: 1400\r\n");
        std::string quick = post("/unsafe/", "quick", "x", "Time: 150\r\n");
        auto slowCaller = reachGateway(late.substr(0, 20));
        auto quickCaller = reachGateway(quick.substr(0, 20));
        std::this_thread::sleep_for(milliseconds(50));
        std::thread stopper([this] { this->gateway->stop(milliseconds(700)); });
        std::this_thread::sleep_for(milliseconds(100));
        slowCaller->write(late.substr(20));
        quickCaller->write(quick.substr(20));
        std::string refused = slowCaller->readResponse();
        std::string ended = quickCaller->readResponse();
        stopper.join();
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 503") && contains(refused, "Connection: close"));
        CPPUNIT_ASSERT_MESSAGE(ended, contains(ended, "HTTP/1.1 504")); // it was sent, and its own time was over
        CPPUNIT_ASSERT_EQUAL(1, ran.load());
    }

    // Guards against a listener that stays open while the last calls end: its connections would never be answered.
    void connectionAfterTheStopIsRefusedAtOnce()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::this_thread::sleep_for(milliseconds(1200));
            return connection.write(signedResponse(request, "done"));
        });
        CallerSocket caller(this->address);
        caller.write(get("/safe/", "r1"));
        std::this_thread::sleep_for(milliseconds(50));
        std::thread stopper([this] { this->gateway->stop(std::chrono::seconds(5)); });
        std::this_thread::sleep_for(milliseconds(500));
        bool refused = false;
        try {
            CallerSocket late(this->address);
        } catch (const Poco::Exception&) {
            refused = true;
        }
        std::string response = caller.readResponse();
        stopper.join();
        CPPUNIT_ASSERT(refused);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }

    // Guards against connections that are cut between their arrival in the listen queue and the first read.
    void connectionsOpenedBeforeTheStopAreServed()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        std::vector<std::unique_ptr<CallerSocket>> callers;
        for (int i = 0; i < 40; ++i) {
            callers.push_back(std::make_unique<CallerSocket>(this->address));
            callers.back()->write(get("/safe/", "r" + std::to_string(i)));
        }
        this->gateway->drain();
        this->gateway->stop(std::chrono::seconds(5));
        for (const auto& caller : callers) {
            std::string response = caller->readResponse();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace lovagecross
