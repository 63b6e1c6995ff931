// Calls at an entry node that reaches no backend server, which it sends through another entry node.

#include "lovagecross/gateway/RelayFixture.h"

#include <atomic>

namespace lovagecross {

class RelayTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(callsOfAllKindsAreServed);
    CPPUNIT_TEST(callThatMayHaveRunIsNotSentAgain);
    CPPUNIT_TEST(callIsSentAgainIfItWasNotTaken);
    CPPUNIT_TEST(refusalIsPassedOn);
    CPPUNIT_TEST(relayedCallIsNeverPassedOn);
    CPPUNIT_TEST(callIsRefusedAtOnceWithoutAnotherNode);
    CPPUNIT_TEST(callerThatLeavesFreesTheServer);
    CPPUNIT_TEST(streamThatBreaksOffIsNotComplete);
    CPPUNIT_TEST(numberOfCallsForOthersIsLimited);
    CPPUNIT_TEST(whatTheServerSaysOfItselfIsKnownAtBothNodes);
    CPPUNIT_TEST(callFallsBackBeforeTheLossIsKnown);
    CPPUNIT_TEST(turnsOfANodeWithoutRecordsAreServed);
    CPPUNIT_TEST(nodeWithAnOlderConfigurationTakesNoCall);
    CPPUNIT_TEST_SUITE_END();

    // Guards against callers of a node without servers that are refused or wait, although another node could serve
    // them.
    void callsOfAllKindsAreServed()
    {
        std::mutex mutex;
        std::string seen;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            {
                std::lock_guard lock(mutex);
                seen += request.head;
            }
            if (contains(request.head, "/stream/") || contains(request.head, "/turn/"))
                return connection.write(
                    streamHead(request) + printChunk(event(1)) + printChunk(event(2)) + std::string(lastChunk));
            return connection.write(signedResponse(request, "result " + request.body));
        });
        CallerSocket caller(this->strandedAddress);
        for (const char* path : { "/safe/", "/unsafe/", "/stream/", "/turn/" }) {
            std::string id = std::string("id") + path[1];
            caller.write(post(path, id, "abc", "Time: 1400\r\nProgram: p\r\nX-Own: kept\r\n"));
            std::string response = caller.readResponse();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 OK") && contains(response, "Signed: "));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "result abc") || contains(response, "data: e2"));
            CPPUNIT_ASSERT_MESSAGE(response, !contains(response, "Lovagecross-"));
        }
        CPPUNIT_ASSERT_EQUAL(4, this->totalServerRequests());
        CPPUNIT_ASSERT_MESSAGE(seen, contains(seen, "X-Own: kept") && !contains(seen, "Lovagecross-"));
        CPPUNIT_ASSERT_MESSAGE(seen, !contains(seen, "Time: 1400")); // what is left of it
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->turns->kept.size());
        CPPUNIT_ASSERT(this->sendToStranded(get("/nowhere/", "n")).find("HTTP/1.1 404") == 0);
    }

    // Guards against work that is done twice because the other node was lost after it had got the call.
    void callThatMayHaveRunIsNotSentAgain()
    {
        std::vector<std::unique_ptr<ScriptedServer>> lost;
        std::vector<RelayNode> nodes;
        for (int i = 0; i < 3; ++i) {
            lost.push_back(std::make_unique<ScriptedServer>([](const ScriptedRequest&, ScriptedConnection& connection) {
                connection.reset();
                return false;
            }));
            nodes.push_back({ lost.back()->address(), "b" });
        }
        auto total = [&lost] {
            int count = 0;
            for (const auto& node : lost)
                count += node->requests();
            return count;
        };
        for (const char* path : { "/unsafe/", "/turn/", "/stream/" }) {
            this->strandedNodes.replace(nodes);
            int before = total();
            std::string response = this->sendToStranded(post(path, "r1", "x"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, before + 1, total());
            std::this_thread::sleep_for(RelayTable::failurePause + milliseconds(20));
        }
        std::string response = this->sendToStranded(get("/safe/", "r2"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
        CPPUNIT_ASSERT_EQUAL(5, total()); // as many as the route allows
    }

    // Guards against a refusal because the first other node is down.
    void callIsSentAgainIfItWasNotTaken()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        this->strandedNodes.replace(
            { { this->relayAddress, "b" }, { testing::freeAddress(), "b" }, { testing::freeAddress(), "c" } });
        for (int i = 0; i < 10; ++i) {
            std::string response = this->sendToStranded(post("/unsafe/", "r" + std::to_string(i), "x"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        }
        CPPUNIT_ASSERT_EQUAL(10, this->totalServerRequests());
    }

    // Guards against a refusal that loses its promise or its time on the way.
    void refusalIsPassedOn()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503") && contains(response, "Retry-After: "));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "Id: r1"));
    }

    // Guards against calls that circle between nodes without servers.
    void relayedCallIsNeverPassedOn()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        this->soundNodes.replace({ { this->relayAddress, "b" } });
        this->losePaths(this->soundPaths);
        TimePoint start = this->clock.now();
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503") && contains(response, "Retry-After: "));
        CPPUNIT_ASSERT(this->clock.now() - start < milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    // Guards against a caller that waits although nothing can serve it.
    void callIsRefusedAtOnceWithoutAnotherNode()
    {
        this->strandedNodes.failed(this->relayAddress);
        TimePoint start = this->clock.now();
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503") && contains(response, "Connection: close"));
        CPPUNIT_ASSERT(this->clock.now() - start < milliseconds(200));
    }

    // Guards against a server that goes on working for a caller that has left, two hops away.
    void callerThatLeavesFreesTheServer()
    {
        std::atomic<bool> freed { false };
        std::atomic<bool> begun { false };
        this->addServer([&](const ScriptedRequest&, ScriptedConnection& connection) {
            begun = true;
            freed = connection.waitForClose();
            return false;
        });
        CallerSocket caller(this->strandedAddress);
        caller.write(post("/unsafe/", "r1", "x"));
        while (!begun)
            std::this_thread::sleep_for(milliseconds(1));
        TimePoint left = this->clock.now();
        caller.close();
        while (!freed && this->clock.now() - left < std::chrono::seconds(4))
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(freed && this->clock.now() - left < milliseconds(500));
    }

    // Guards against a stream that looks complete although the server, or the other node, broke it off.
    void streamThatBreaksOffIsNotComplete()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(milliseconds(30));
            connection.reset();
            return false;
        });
        std::string response = this->sendToStranded(post("/turn/", "t1", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e1") && contains(response, "<closed>"));
        CPPUNIT_ASSERT_MESSAGE(response, !contains(response, "0\r\n\r\n"));
        CPPUNIT_ASSERT(this->turns->kept.empty());
    }

    // Guards against a node whose own callers are pushed aside by those of nodes without servers.
    void numberOfCallsForOthersIsLimited()
    {
        std::atomic<int> waiting { 0 };
        std::atomic<bool> answer { false };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++waiting;
            while (!answer && waiting <= 2)
                std::this_thread::sleep_for(milliseconds(1));
            return connection.write(signedResponse(request, "done"));
        });
        this->soundRelay->maxCalls = 2;
        std::vector<std::unique_ptr<CallerSocket>> callers;
        for (int i = 0; i < 2; ++i) {
            callers.push_back(std::make_unique<CallerSocket>(this->strandedAddress));
            callers.back()->write(post("/unsafe/", "r" + std::to_string(i), "x"));
        }
        while (waiting < 2)
            std::this_thread::sleep_for(milliseconds(1));
        std::string third = this->sendToStranded(post("/unsafe/", "third", "x"));
        CPPUNIT_ASSERT_MESSAGE(third, contains(third, "HTTP/1.1 503") && contains(third, "Retry-After: "));
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/unsafe/", "own", "x")), "done"));
        answer = true;
        for (const auto& caller : callers)
            CPPUNIT_ASSERT(contains(caller->readResponse(), "done"));
    }

    // Guards against calls that this node sends, once it reaches the servers again, to one that has said that it leaves
    // in an answer that another node had obtained.
    void whatTheServerSaysOfItselfIsKnownAtBothNodes()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string response = signedResponse(request, "done");
            response.insert(response.find("Signed"), "Leaving: 1\r\n");
            return connection.write(response);
        });
        this->strandedDirectory.replaceServers(this->entries, 1);
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done") && contains(response, "Leaving: 1"));
        for (Directory* each : { this->directory.get(), &this->strandedDirectory })
            CPPUNIT_ASSERT(each->view()->serversOf("s")[0].state == ServerState::Draining);
    }

    // Guards against refusals in the time that it takes to notice that no server is reached.
    void callFallsBackBeforeTheLossIsKnown()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        ServerEntry unreachable = this->entries[0];
        unreachable.address = testing::freeAddress();
        this->strandedDirectory.replaceServers({ unreachable }, 1);
        this->strandedPaths.connected("x");
        this->strandedPaths.connected("y");
        CPPUNIT_ASSERT(this->strandedPaths.reachesServers());
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    // Guards against turns that are refused because their node has lost the record nodes, while others reach them;
    // plain calls of that node take no detour.
    void turnsOfANodeWithoutRecordsAreServed()
    {
        std::atomic<int> direct { 0 };
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
        ScriptedServer ownServer([&direct](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++direct;
            return connection.write(signedResponse(request, "direct"));
        });
        ServerEntry own = this->entries[0];
        own.address = ownServer.address();
        this->strandedDirectory.replaceServers({ own }, 1);
        this->strandedPaths.connected("x");
        this->strandedPaths.connected("y");
        this->strandedRelay->reachesRecords = [] { return false; };
        CPPUNIT_ASSERT(contains(this->sendToStranded(post("/unsafe/", "r1", "x")), "direct"));
        std::string turn = this->sendToStranded(post("/turn/", "t1", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_MESSAGE(turn, contains(turn, "data: e1") && contains(turn, "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(1, direct.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->turns->kept.size());
        this->soundRelay->reachesRecords = [] { return false; };
        turn = this->sendToStranded(post("/turn/", "t2", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_MESSAGE(turn, contains(turn, "HTTP/1.1 503"));
    }

    // Guards against a call that is handled by an older configuration than that of the node which received it: refused
    // with 404, or sent to another service.
    void nodeWithAnOlderConfigurationTakesNoCall()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            CPPUNIT_ASSERT(!contains(request.head, "Relay"));
            return connection.write(signedResponse(request, "done"));
        });
        GatewayConfiguration next = this->configuration();
        next.version = 2;
        next.routes.push_back(route("/new/", RouteKind::Unsafe, 2));
        this->strandedDirectory.applyConfiguration(next);
        std::string refused = this->sendToStranded(post("/new/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 503") && contains(refused, "Retry-After: "));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
        this->directory->applyConfiguration(next);
        std::this_thread::sleep_for(RelayTable::failurePause + milliseconds(50));
        std::string response = this->sendToStranded(post("/new/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        next.version = 3;
        this->directory->applyConfiguration(next); // a newer one is no reason to decline
        response = this->sendToStranded(post("/new/", "r3", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace lovagecross
