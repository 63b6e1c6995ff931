// Tests of streams, conversation turns and token budgets through a gateway.

#include "lovagecross/gateway/GatewayFixture.h"

#include <algorithm>

namespace lovagecross {

class GatewayStreamTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(GatewayStreamTest);
    CPPUNIT_TEST(resumableStreamContinuesOnAnotherServer);
    CPPUNIT_TEST(sessionsOfAProgramShareAServer);
    CPPUNIT_TEST(truncatedStreamIsNotCompleted);
    CPPUNIT_TEST(streamWithMissingEventIsAborted);
    CPPUNIT_TEST(streamWithMissingEventContinuesOnAnotherServer);
    CPPUNIT_TEST(errorOfTheNextServerIsNoPartOfTheStream);
    CPPUNIT_TEST(responseThatEndsInsideItsHeadIsNone);
    CPPUNIT_TEST(turnIncludesPrecedingConversation);
    CPPUNIT_TEST(turnsOfAnotherProgramAreStoredWithTheFirst);
    CPPUNIT_TEST(tooLongConversationIsRefused);
    CPPUNIT_TEST(unstoredTurnIsNotCompleted);
    CPPUNIT_TEST(exhaustedBudgetIsRejectedWithoutRunning);
    CPPUNIT_TEST_SUITE_END();

    // No event may be repeated or lost when a second server continues the stream, and the response keeps the first
    // server's signature.
    void resumableStreamContinuesOnAnotherServer()
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
            connection.write(streamHead(request) + printChunk(event(start)) + printChunk(event(start + 1)));
            if (after.empty()) {
                connection.write("8\r\nid: 3\nda");
                connection.reset();
                return false;
            }
            return connection.write(printChunk(event(start + 2)) + "0\r\n\r\n");
        });
        std::string response = this->sendRequest(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "0\r\n\r\n"));
        std::size_t at = 0;
        for (int id = 1; id <= 5; ++id) {
            std::size_t next = response.find(event(id));
            CPPUNIT_ASSERT_MESSAGE(response, next != std::string::npos && next >= at);
            CPPUNIT_ASSERT_MESSAGE("doubled " + response, response.find(event(id), next + 1) == std::string::npos);
            at = next;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), resumedAfter.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), resumedAfter[1]);
    }

    // A sub-agent that goes to another engine than its parent makes that one read the parent's whole prompt.
    void sessionsOfAProgramShareAServer()
    {
        this->addServers(6, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + "0\r\n\r\n");
        });
        for (int i = 0; i < 12; ++i) {
            std::string id = std::to_string(i);
            std::string fields = "Prompt-Tokens: 4000\r\nProgram: p\r\nSession: s" + id + "\r\n";
            CPPUNIT_ASSERT(contains(this->sendRequest(post("/stream/", "r" + id, "x", fields)), event(1)));
        }
        auto used = [](const auto& server) { return server->requests() > 0; };
        CPPUNIT_ASSERT(std::count_if(this->servers.begin(), this->servers.end(), used) == 1);
        // All but the first call reuse the connection, and all are on the engine of the first rank.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->counters.counter("gateway.connectionsOpened").value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), this->counters.counter("gateway.placedPreferred").value());
    }

    void truncatedStreamIsNotCompleted()
    {
        this->addServers(2, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            connection.reset();
            return false;
        });
        std::string response = this->sendRequest(post("/turn/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response,
            contains(response, event(1)) && !contains(response, "0\r\n\r\n") && contains(response, "<closed>"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
        CPPUNIT_ASSERT(this->turns->kept.empty());
    }

    void streamWithMissingEventIsAborted()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + printChunk(event(3)) + "0\r\n\r\n");
        });
        std::string response = this->sendRequest(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, !contains(response, event(3)) && !contains(response, "0\r\n\r\n"));
    }

    // Guards against a stream that is cut because one server left out an event, although another one could continue it,
    // and against events that are lost because they came together with the one after the gap.
    void streamWithMissingEventContinuesOnAnotherServer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1) + event(2) + event(4)));
            return connection.waitForClose();
        });
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            CPPUNIT_ASSERT_EQUAL(std::string("2"), request.header("Last-Event-Id"));
            return connection.write(
                streamHead(request) + printChunk(event(3)) + printChunk(event(4)) + std::string(lastChunk));
        });
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->directory->replaceServers(this->entries, 100);
        std::string response = this->sendRequest(post("/stream/", "r1", "x"));
        std::size_t at = 0;
        for (int id = 1; id <= 4; ++id) {
            std::size_t next = response.find(event(id));
            CPPUNIT_ASSERT_MESSAGE(response, next != std::string::npos && next >= at);
            at = next;
        }
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, lastChunk.data()));
    }

    // Guards against the text or the head of an error in the middle of a stream, and against a stream that ends as if
    // it were complete because the server that should continue it answered with an error.
    void errorOfTheNextServerIsNoPartOfTheStream()
    {
        const std::vector<std::string> errors {
            "HTTP/1.1 500 Failed\r\nId: @\r\nSigned: x\r\nContent-Length: 9\r\n\r\nnot here\n",
            "HTTP/1.1 404 Gone\r\nId: @\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nnot here\r\n0\r\n\r\n",
            "HTTP/1.1 503 Full\r\nId: @\r\nNot-Executed: 1\r\nContent-Length: 8\r\n\r\nnot here",
            "HTTP/1.1 503 Full\r\nId: @\r\nSigned: x\r\nContent-Length: 8\r\n\r\nnot here",
            "HTTP/1.1 200 OK\r\nId: @\r\nContent-Length: 8\r\n\r\nnot here", // not signed
            "HTTP/1.1 200 OK\r\nId: @\r\nSigned: x\r\nContent-Length: 8\r\n\r\nnot here", // no event
            "HTTP/1.1 500 Failed\r\nId: @\r\nSigned: x\r\n\r\nnot here", // ends with the connection
            "HTTP/1.1 500 Failed\r\nId: @\r\nnot here",
        };
        for (const std::string& error : errors) {
            this->servers.clear();
            this->entries.clear();
            this->book->retain({});
            this->addServers(2, [&error](const ScriptedRequest& request, ScriptedConnection& connection) {
                if (request.header("Last-Event-Id").empty()) {
                    connection.write(streamHead(request) + printChunk(event(1)));
                    std::this_thread::sleep_for(milliseconds(10));
                    connection.reset();
                    return false;
                }
                std::string response = error;
                std::size_t id = response.find('@');
                connection.write(response.replace(id, 1, request.header("Id")));
                return false;
            });
            std::string response = this->sendRequest(post("/stream/", "r1", "x", "Time: 700\r\n"));
            CPPUNIT_ASSERT_MESSAGE(error + response, contains(response, event(1)) && contains(response, "<closed>"));
            CPPUNIT_ASSERT_MESSAGE(error + response, !contains(response, "not here"));
            CPPUNIT_ASSERT_MESSAGE(error + response, !contains(response, "0\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(error + response, response.find("HTTP/1.1", 1) == std::string::npos);
        }
        this->servers.clear(); // the scripts refer to `errors`
    }

    // Guards against a success with an empty or short body for a server that stopped in the middle of its response's
    // head.
    void responseThatEndsInsideItsHeadIsNone()
    {
        for (const char* path : { "/safe/", "/unsafe/", "/stream/", "/turn/" }) {
            for (const char* more : { "", "Content-Length: 0", "Content-Length: 0\r\n", "Transfer-Enc" }) {
                this->servers.clear();
                this->entries.clear();
                this->book->retain({});
                this->addServer([more](const ScriptedRequest& request, ScriptedConnection& connection) {
                    connection.write("HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSigned: x\r\n" + more);
                    return false;
                });
                std::string response = this->sendRequest(post(path, "r1", "x", "Time: 700\r\n"));
                CPPUNIT_ASSERT_MESSAGE(path + response, contains(response, "HTTP/1.1 502"));
            }
        }
        CPPUNIT_ASSERT(this->turns->kept.empty());
    }

    void turnIncludesPrecedingConversation()
    {
        std::mutex mutex;
        std::vector<std::string> bodies;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::lock_guard lock(mutex);
            bodies.push_back(request.body);
            return connection.write(streamHead(request) + printChunk(event(1) + event(2)) + "0\r\n\r\n");
        });
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t1", "first|")), "0\r\n\r\n"));
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t2", "second|", "Previous: t1\r\n")), "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("first|e1\ne2\nsecond|"), bodies[1]);
        CPPUNIT_ASSERT_EQUAL(std::string("second|"), this->turns->kept["t2"].input);
        std::string unknown = this->sendRequest(post("/turn/", "t3", "third|", "Previous: none\r\n"));
        CPPUNIT_ASSERT_MESSAGE(unknown, contains(unknown, "HTTP/1.1 404"));
        this->turns->available = false;
        std::string unavailable = this->sendRequest(post("/turn/", "t4", "x", "Previous: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(
            unavailable, contains(unavailable, "HTTP/1.1 503") && contains(unavailable, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bodies.size());
    }

    // Guards against turns of one conversation that are stored apart and expire apart.
    void turnsOfAnotherProgramAreStoredWithTheFirst()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + "0\r\n\r\n");
        });
        this->sendRequest(post("/turn/", "t1", "first|", "Program: beginner\r\n"));
        this->sendRequest(post("/turn/", "t2", "second|", "Program: follower\r\nPrevious: t1\r\n"));
        this->sendRequest(post("/turn/", "t3", "third|", "Program: another\r\nPrevious: t2\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("beginner"), this->turns->kept["t2"].group);
        CPPUNIT_ASSERT_EQUAL(std::string("beginner"), this->turns->kept["t3"].group);
    }

    // Guards against a conversation that reaches a server in part because it is too long.
    void tooLongConversationIsRefused()
    {
        std::atomic<int> requests { 0 };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++requests;
            return connection.write(streamHead(request) + printChunk(event(1)) + "0\r\n\r\n");
        });
        this->turns->tooLong = true;
        std::string response = this->sendRequest(post("/turn/", "t2", "second|", "Previous: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 413"));
        CPPUNIT_ASSERT_EQUAL(0, requests.load());
    }

    // The end of a response tells the caller that the turn was stored.
    void unstoredTurnIsNotCompleted()
    {
        this->addServer([this](const ScriptedRequest& request, ScriptedConnection& connection) {
            {
                std::lock_guard lock(this->turns->mutex); // a turn is not sent while the store is unavailable
                this->turns->available = false;
            }
            return connection.write(streamHead(request) + printChunk(event(1)) + "0\r\n\r\n");
        });
        std::string response = this->sendRequest(post("/turn/", "t1", "first"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(1)) && !contains(response, "0\r\n\r\n"));
    }

    void exhaustedBudgetIsRejectedWithoutRunning()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + "0\r\n\r\n");
        });
        const std::string fields = "Program: p\r\nBudget: 100\r\nMax: 60\r\n";
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/stream/", "r1", "x", fields)), "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), this->turns->used); // one event of four tokens
        this->turns->used = 50;
        std::string refused = this->sendRequest(post("/stream/", "r2", "x", fields));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 402"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStreamTest);

} // namespace lovagecross
