// Servers that say in their answers that they leave, while the registry lists them as ready.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>

namespace lovagecross {

namespace {

std::string refusal(const ScriptedRequest& request)
{
    return "HTTP/1.1 503 Service Unavailable\r\nId: " + request.header("Id")
        + "\r\nNot-Executed: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string answer(const std::string& id, const std::string& more, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: x\r\n" + more + "Content-Length: " + std::to_string(length)
        + "\r\n\r\n";
}

} // namespace

class LeavingServerTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(LeavingServerTest);
    CPPUNIT_TEST(noCallFollowsAnAnswerOfAnyForm);
    CPPUNIT_TEST(retryOfAnEarlierCallAvoidsTheServer);
    CPPUNIT_TEST(streamThatBreaksOffContinuesElsewhere);
    CPPUNIT_TEST(callsAreRefusedAtOnceWhenAllServersLeave);
    CPPUNIT_TEST(otherNodesAreTold);
    CPPUNIT_TEST_SUITE_END();

    // Adds a server that writes `first` in answer to its first request, and one that always answers.
    void addLeavingServer(std::function<bool(const ScriptedRequest&, ScriptedConnection&)> first)
    {
        this->addServer([first = std::move(first)](const ScriptedRequest& request, ScriptedConnection& connection) {
            return first(request, connection);
        });
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "sound"));
        });
    }

    void sendUntilReached(const ScriptedServer& server)
    {
        for (int i = 0; i < 200 && server.requests() == 0; ++i)
            this->sendRequest(get("/safe/", "first" + std::to_string(i)));
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void clearServers()
    {
        this->servers.clear();
        this->entries.clear();
        this->book->retain({});
    }

    // Guards against calls that reach a server after it has said that it leaves, in whichever answer it said so.
    void noCallFollowsAnAnswerOfAnyForm()
    {
        struct Row {
            const char* name;
            std::function<bool(const ScriptedRequest&, ScriptedConnection&)> first;
        };
        const std::vector<Row> rows {
            { "whole",
                [](const ScriptedRequest& request, ScriptedConnection& connection) {
                    return connection.write(answer(request.header("Id"), "Leaving: 1\r\n", 2) + "ok");
                } },
            { "refusal",
                [](const ScriptedRequest& request, ScriptedConnection& connection) {
                    return connection.write(refusal(request));
                } },
            { "interim",
                [](const ScriptedRequest& request, ScriptedConnection& connection) {
                    return connection.write(
                        "HTTP/1.1 103 Early Hints\r\nLeaving: 1\r\n\r\n" + answer(request.header("Id"), "", 2) + "ok");
                } },
            { "skipped",
                [](const ScriptedRequest& request, ScriptedConnection& connection) {
                    return connection.write(
                        answer("other", "Leaving: 1\r\n", 3) + "old" + answer(request.header("Id"), "", 2) + "ok");
                } },
            { "broken off",
                [](const ScriptedRequest& request, ScriptedConnection& connection) {
                    connection.write(answer(request.header("Id"), "Leaving: 1\r\n", 200) + "part");
                    connection.reset();
                    return false;
                } },
        };
        int revision = 1000; // above those of earlier rows
        for (const Row& row : rows) {
            this->clearServers();
            this->addLeavingServer(row.first);
            for (ServerEntry& entry : this->entries)
                entry.startedUnixMillis = revision; // another lifetime than in the rows before
            this->directory->replaceServers(this->entries, static_cast<std::uint64_t>(++revision));
            this->sendUntilReached(*this->servers[0]);
            for (int i = 0; i < 30; ++i)
                this->sendRequest(get("/safe/", "later" + std::to_string(i)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, this->servers[0]->requests());
        }
    }

    // Guards against a retry, of a call that began before the server said so, that goes to the server.
    void retryOfAnEarlierCallAvoidsTheServer()
    {
        std::atomic<int> holder { -1 }; // the server that has got the early call; the other one leaves
        std::atomic<bool> told { false };
        std::atomic<int> earlyRequests { 0 };
        for (int index = 0; index < 2; ++index) {
            this->addServer([&, index](const ScriptedRequest& request, ScriptedConnection& connection) {
                if (request.header("Id") != "early") {
                    const char* leaving = index == holder ? "" : "Leaving: 1\r\n";
                    return connection.write(answer(request.header("Id"), leaving, 2) + "ok");
                }
                ++earlyRequests;
                holder = index;
                while (!told)
                    std::this_thread::sleep_for(milliseconds(1));
                connection.reset();
                return false;
            });
        }
        std::string early;
        std::thread caller([&] { early = this->sendRequest(get("/safe/", "early")); });
        while (holder < 0)
            std::this_thread::sleep_for(milliseconds(1));
        auto other = static_cast<std::size_t>(1 - holder);
        for (int i = 0; i < 200 && this->directory->view()->serversOf("s")[other].state == ServerState::Ready; ++i)
            this->sendRequest(get("/safe/", "second" + std::to_string(i)));
        bool otherLeaves = this->directory->view()->serversOf("s")[other].state == ServerState::Draining;
        told = true;
        caller.join();
        CPPUNIT_ASSERT(otherLeaves);
        CPPUNIT_ASSERT_MESSAGE(early, contains(early, "HTTP/1.1 502"));
        CPPUNIT_ASSERT_EQUAL(1, earlyRequests.load());
    }

    // Guards against a stream that is taken up again at a server that has said that it leaves.
    void streamThatBreaksOffContinuesElsewhere()
    {
        Script leaving = [](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string head = streamHead(request);
            head.insert(head.find("Signed"), "Leaving: 1\r\n");
            std::string first = event(1);
            connection.write(head + printChunk(first));
            std::this_thread::sleep_for(milliseconds(20));
            connection.reset();
            return false;
        };
        this->addServer(leaving);
        CallerSocket caller(this->address);
        caller.write(post("/stream/", "s1", "x", "Time: 1200\r\n"));
        std::string response = caller.readResponse();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e1") && contains(response, "<closed>"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    // Guards against calls that wait, or go to a server that leaves, when no other server is left.
    void callsAreRefusedAtOnceWhenAllServersLeave()
    {
        this->addServers(3, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(refusal(request));
        });
        std::string first = this->sendRequest(get("/safe/", "first"));
        CPPUNIT_ASSERT_MESSAGE(first, contains(first, "HTTP/1.1 503"));
        int reached = this->totalServerRequests();
        CPPUNIT_ASSERT_EQUAL(3, reached);
        TimePoint start = this->clock.now();
        std::string second = this->sendRequest(post("/unsafe/", "second", "x"));
        CPPUNIT_ASSERT_MESSAGE(second, contains(second, "HTTP/1.1 503") && contains(second, "Retry-After: "));
        CPPUNIT_ASSERT(this->clock.now() - start < milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(reached, this->totalServerRequests());
    }

    // Guards against nodes that each have to learn it from an answer of the server.
    void otherNodesAreTold()
    {
        std::atomic<int> reports { 0 };
        this->parts->reportLeavingServer = [&reports](const ServerKey& server) {
            if (server.id == "server1")
                ++reports;
        };
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(refusal(request));
        });
        this->sendRequest(get("/safe/", "first"));
        this->sendRequest(get("/safe/", "second"));
        CPPUNIT_ASSERT_EQUAL(1, reports.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServerTest);

} // namespace lovagecross
