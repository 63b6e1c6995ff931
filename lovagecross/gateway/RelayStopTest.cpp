// What callers get when the entry node that runs their call stops, is lost, pauses or closes its connections.

#include "lovagecross/gateway/RelayFixture.h"

#include <atomic>

namespace lovagecross {

class RelayStopTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(RelayStopTest);
    CPPUNIT_TEST(streamEndsWholeInAPlannedStop);
    CPPUNIT_TEST(callsDuringAPlannedStopReachAnotherNode);
    CPPUNIT_TEST(callsAreRefusedOnceTheOnlyNodeHasStopped);
    CPPUNIT_TEST(callOfANodeThatIsLostHasAnEnd);
    CPPUNIT_TEST(callOfASilentNodeEndsAtItsDeadline);
    CPPUNIT_TEST(pauseOfTheOtherNodeIsWaitedFor);
    CPPUNIT_TEST(unsafeCallsSurviveIdleConnectionsThatClose);
    CPPUNIT_TEST(idleConnectionsLeaveThreadsForCalls);
    CPPUNIT_TEST(longestHeadIsRelayed);
    CPPUNIT_TEST(newerLimitsDontApplyToRelayedCalls);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration pause = milliseconds(1300);
    static constexpr Duration grace = std::chrono::seconds(5);

    // A route's timeout that a pause leaves time to spare in.
    GatewayConfiguration patientConfiguration() const
    {
        GatewayConfiguration next = this->configuration();
        next.version = 2;
        for (Route& each : next.routes)
            each.timeout = std::chrono::seconds(4);
        return next;
    }

    void applyAtBothNodes(const GatewayConfiguration& next)
    {
        this->strandedDirectory.applyConfiguration(next);
        this->directory->applyConfiguration(next);
    }

    static bool answerDone(const ScriptedRequest& request, ScriptedConnection& connection)
    {
        return connection.write(signedResponse(request, "done"));
    }

    // As PlatformNode does it: no new calls, then the listener and the connections.
    void stopSoundNode()
    {
        this->gateway->drain();
        this->relayGateway->stop(grace);
    }

    // Guards against a stream that a planned stop of the node that runs it cuts within its grace.
    void streamEndsWholeInAPlannedStop()
    {
        std::atomic<bool> begun { false };
        this->addServer([&begun](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            begun = true;
            for (int id = 2; id <= 4; ++id) {
                std::this_thread::sleep_for(milliseconds(150));
                connection.write(printChunk(event(id)));
            }
            return connection.write(std::string(lastChunk));
        });
        CallerSocket caller(this->strandedAddress);
        caller.write(post("/turn/", "t1", "x", "Program: p\r\n"));
        while (!begun)
            std::this_thread::sleep_for(milliseconds(1));
        this->stopSoundNode();
        std::string response = caller.readResponse();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e4") && contains(response, "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->turns->kept.size());
    }

    // Guards against callers that pay for the stop of one node while another one could run their calls.
    void callsDuringAPlannedStopReachAnotherNode()
    {
        this->addServer(answerDone);
        ScriptedServer third(answerDone);
        this->strandedNodes.replace({ { this->relayAddress, "b" }, { third.address(), "c" } });
        std::thread stopping([this] {
            std::this_thread::sleep_for(milliseconds(50));
            this->gateway->drain();
            std::this_thread::sleep_for(milliseconds(50));
            this->gateway->stop(milliseconds(500)); // shorter than the calls' deadlines
            std::this_thread::sleep_for(milliseconds(100));
            this->relayGateway->stop(milliseconds(500));
        });
        TimePoint until = this->clock.now() + milliseconds(400);
        std::vector<std::string> unanswered;
        for (int i = 0; this->clock.now() < until; ++i) {
            std::string response = this->sendToStranded(post("/unsafe/", "r" + std::to_string(i), "x"));
            if (!contains(response, "done"))
                unanswered.push_back(response);
        }
        stopping.join();
        CPPUNIT_ASSERT_MESSAGE(unanswered.empty() ? std::string() : unanswered[0], unanswered.empty());
    }

    // Guards against callers without a refusal after the only other node has stopped.
    void callsAreRefusedOnceTheOnlyNodeHasStopped()
    {
        this->addServer(answerDone);
        CPPUNIT_ASSERT(contains(this->sendToStranded(post("/unsafe/", "r1", "x")), "done")); // its connection is kept
        this->stopSoundNode();
        for (const char* path : { "/unsafe/", "/safe/", "/turn/", "/stream/" }) {
            std::string response = this->sendToStranded(post(path, std::string("id") + path[1], "x", "Program: p\r\n"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "other entry nodes: failed ("));
        }
    }

    // Guards against a caller without any end of its call, or with an end that looks whole.
    void callOfANodeThatIsLostHasAnEnd()
    {
        ScriptedServer lost([](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (contains(request.head, "/stream/"))
                connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(milliseconds(30));
            connection.reset();
            return false;
        });
        this->strandedNodes.replace({ { lost.address(), "b" } });
        std::string response = this->sendToStranded(post("/stream/", "s1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e1") && contains(response, "<closed>"));
        CPPUNIT_ASSERT_MESSAGE(response, !contains(response, "0\r\n\r\n"));
        response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
    }

    // Guards against a caller that waits past its deadline for a node that was cut off.
    void callOfASilentNodeEndsAtItsDeadline()
    {
        ScriptedServer silent([](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (contains(request.head, "/stream/"))
                connection.write(streamHead(request) + printChunk(event(1)));
            connection.waitForClose();
            return false;
        });
        this->strandedNodes.replace({ { silent.address(), "b" } });
        TimePoint start = this->clock.now();
        std::string response = this->sendToStranded(post("/stream/", "s1", "x", "Time: 400\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e1") && contains(response, "<closed>"));
        response = this->sendToStranded(post("/unsafe/", "r1", "x", "Time: 400\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 504"));
        CPPUNIT_ASSERT(this->clock.now() - start < milliseconds(1600));
    }

    // Guards against a call that ends because the node that runs it pauses, before its response or in it.
    void pauseOfTheOtherNodeIsWaitedFor()
    {
        ScriptedServer pausing([](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (!contains(request.head, "/stream/")) {
                std::this_thread::sleep_for(pause);
                return connection.write(signedResponse(request, "done"));
            }
            connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(pause);
            return connection.write(printChunk(event(2)) + std::string(lastChunk));
        });
        this->strandedDirectory.applyConfiguration(this->patientConfiguration());
        this->strandedNodes.replace({ { pausing.address(), "b" } });
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        response = this->sendToStranded(post("/stream/", "s1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e2") && contains(response, "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(2, pausing.requests());
    }

    // Guards against an unsafe call that is sent on a kept connection at the moment the other node closes it as idle.
    void unsafeCallsSurviveIdleConnectionsThatClose()
    {
        this->addServer(answerDone);
        GatewayConfiguration next = this->patientConfiguration();
        next.limits.idleTimeout = milliseconds(20);
        this->applyAtBothNodes(next);
        for (int i = 0; i < 150; ++i) {
            std::string response = this->sendToStranded(post("/unsafe/", "r" + std::to_string(i), "x"));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i) + ": " + response, contains(response, "done"));
            std::this_thread::sleep_for(milliseconds(19) + std::chrono::microseconds(10 * i));
        }
    }

    // Guards against an unsafe call whose connection is closed unread, because kept ones of other nodes use all
    // threads.
    void idleConnectionsLeaveThreadsForCalls()
    {
        constexpr int listenerThreads = 36;
        this->addServer(answerDone);
        this->soundRelay->maxCalls = 16; // half of the listener's connections, as in PlatformNode
        std::vector<std::unique_ptr<CallerSocket>> kept;
        const std::string fields = "Lovagecross-Relayed-For: other\r\nTime: 1000\r\n";
        for (int i = 0; i < listenerThreads; ++i) {
            auto connection = std::make_unique<CallerSocket>(this->relayAddress);
            connection->write(post("/unsafe/", "i" + std::to_string(i), "x", fields));
            std::string response = connection->readResponse();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
            if (!contains(response, "Connection: close"))
                kept.push_back(std::move(connection));
        }
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), kept.size());
    }

    // Guards against a head that this node accepts and the other one refuses, as it has more fields there.
    void longestHeadIsRelayed()
    {
        this->addServer(answerDone);
        std::string request = get("/safe/", "r1", "Padding: \r\n");
        request.insert(request.find("Padding: ") + 9, this->configuration().limits.maxHeadBytes - request.size(), 'p');
        std::string response = this->sendToStranded(request);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }

    // Guards against a body that this node accepts and the other one refuses, as its configuration is newer.
    void newerLimitsDontApplyToRelayedCalls()
    {
        this->addServer(answerDone);
        GatewayConfiguration next = this->patientConfiguration();
        next.limits.maxBodyBytes = 10;
        this->directory->applyConfiguration(next);
        std::string response = this->sendToStranded(post("/unsafe/", "r1", std::string(100, 'x')));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayStopTest);

} // namespace lovagecross
