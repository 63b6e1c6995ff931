// Tests of streams whose backend servers fall silent for about a second and go on.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>

namespace lovagecross {

class PausingServerTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(PausingServerTest);
    CPPUNIT_TEST(streamOutlastsPausesOfAllItsServers);
    CPPUNIT_TEST(streamOutlastsAPauseOfTheOnlyServerOfItsVersion);
    CPPUNIT_TEST(streamOutlastsAPauseWhileTheServerListIsOld);
    CPPUNIT_TEST(streamOutlastsAPauseBeforeItsFirstEvent);
    CPPUNIT_TEST(silentServerIsLeftOnceAndTheNextOneIsWaitedFor);
    CPPUNIT_TEST(unreachableServerIsLeftEarlier);
    CPPUNIT_TEST(streamReturnsToASilentServerIfNoOtherTakesIt);
    CPPUNIT_TEST(streamWaitsForAServerUntilTheCallerLeaves);
    CPPUNIT_TEST(streamOfASilentServerEndsAtTheDeadline);
    CPPUNIT_TEST(streamGoesOnAfterItsRouteWasRemoved);
    CPPUNIT_TEST(onlyServerOfItsVersionIsWaitedForBeyondAPause);
    CPPUNIT_TEST(oldListIsWaitedForBeyondAPause);
    CPPUNIT_TEST(silentServerIsNotLeftForOneThatCanNotBeReached);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration soundPause = milliseconds(1300);
    static constexpr int lastEvent = 6;

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        GatewayConfiguration patient = this->configuration();
        patient.version = 2;
        for (Route& each : patient.routes)
            each.timeout = milliseconds(4000);
        this->directory->applyConfiguration(std::move(patient));
    }

private:
    // Writes the events after Last-Event-Id and the end of the stream, with a pause before the one numbered `pauseAt`;
    // 0: before the head of the response.
    static Script pausesBefore(int pauseAt, Duration pause = soundPause)
    {
        return [pauseAt, pause](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string after = request.header("Last-Event-Id");
            if (pauseAt == 0)
                std::this_thread::sleep_for(pause);
            connection.write(streamHead(request));
            for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= lastEvent; ++id) {
                if (id == pauseAt)
                    std::this_thread::sleep_for(pause);
                if (!connection.write(printChunk(event(id))))
                    return false;
            }
            return connection.write(std::string(lastChunk));
        };
    }

    static void assertWhole(const std::string& response)
    {
        std::size_t at = 0;
        for (int id = 1; id <= lastEvent; ++id) {
            std::size_t found = response.find(event(id));
            CPPUNIT_ASSERT_MESSAGE(response, found != std::string::npos && found >= at);
            CPPUNIT_ASSERT_MESSAGE("doubled " + response, response.find(event(id), found + 1) == std::string::npos);
            at = found;
        }
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, lastChunk.data()));
    }

    // Guards against a stream that is cut because each server that its attempts allow has paused.
    void streamOutlastsPausesOfAllItsServers()
    {
        this->addServers(3, pausesBefore(3));
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
    }

    // Guards against a stream that is cut at the first pause, because no other server of its version is ready.
    void streamOutlastsAPauseOfTheOnlyServerOfItsVersion()
    {
        for (const char* version : { "v1", "v2" }) {
            this->addServer(pausesBefore(3));
            this->entries.back().softwareVersion = version;
        }
        this->directory->replaceServers(this->entries, 100);
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
    }

    // Guards against a stream that is cut at a pause, because the node hasn't read the server list for a while.
    void streamOutlastsAPauseWhileTheServerListIsOld()
    {
        this->addServers(2, pausesBefore(3));
        std::this_thread::sleep_for(milliseconds(2100));
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
    }

    // Guards against a 502 for a call whose servers have all paused before their first byte.
    void streamOutlastsAPauseBeforeItsFirstEvent()
    {
        this->addServers(2, pausesBefore(0));
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
    }

    // Guards against a stream that is left at a server which has died without a word, and against one that is cut when
    // the next server is silent for as long.
    void silentServerIsLeftOnceAndTheNextOneIsWaitedFor()
    {
        std::atomic<bool> firstIsLeft { false };
        std::atomic<int> begun { 0 };
        this->addServers(3, [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (++begun == 1) {
                connection.write(streamHead(request) + printChunk(event(1)));
                firstIsLeft = connection.waitForClose();
                return false;
            }
            CPPUNIT_ASSERT(begun <= 2);
            return pausesBefore(3, milliseconds(1700))(request, connection);
        });
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
        CPPUNIT_ASSERT(firstIsLeft);
    }

    // Guards against a stream that waits at a server that is gone for as long as at one that pauses.
    void unreachableServerIsLeftEarlier()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        std::thread gone([&listener] {
            ScriptedRequest request;
            request.head = "\r\nId: r\r\nServer: gone\r\n";
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            listener.close();
            std::string received;
            for (char byte = 0; !contains(received, "\r\n\r\nx") && socket.receiveBytes(&byte, 1) > 0;)
                received += byte;
            ScriptedConnection connection(socket);
            connection.write(streamHead(request) + printChunk(event(1)));
            connection.waitForClose();
        });
        ServerEntry entry;
        entry.id = "gone";
        entry.service = "s";
        entry.address = listener.address().toString();
        entry.dataCentre = "a"; // preferred
        this->entries.push_back(entry);
        this->addServer(pausesBefore(9));
        this->entries.back().dataCentre = "b";
        this->directory->replaceServers(this->entries, 100);
        TimePoint start = this->clock.now();
        std::string response = this->sendRequest(post("/stream/", "r", "x"));
        gone.join();
        assertWhole(response);
        Duration taken = this->clock.now() - start;
        CPPUNIT_ASSERT(taken >= milliseconds(600) && taken < milliseconds(1200));
    }

    // Guards against a stream that is cut because the server to which it moved, and all others, have no room.
    void streamReturnsToASilentServerIfNoOtherTakesIt()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            bool isFirst = request.header("Last-Event-Id").empty();
            return pausesBefore(isFirst ? 3 : 0, isFirst ? milliseconds(1700) : milliseconds(0))(request, connection);
        });
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->directory->replaceServers(this->entries, 100);
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(2, this->servers[0]->requests());
        CPPUNIT_ASSERT_EQUAL(1, this->servers[1]->requests());
    }

    // Guards against a stream that is cut while it could still go on, and against one that goes on for a caller that
    // left.
    void streamWaitsForAServerUntilTheCallerLeaves()
    {
        std::atomic<bool> full { true };
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(milliseconds(20));
            connection.reset();
            return false;
        });
        this->addServer([&full](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (!full)
                return pausesBefore(9)(request, connection);
            return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->directory->replaceServers(this->entries, 100);
        {
            CallerSocket caller(this->address);
            caller.write(post("/stream/", "r1", "x"));
            caller.read([](const std::string& bytes) { return contains(bytes, event(1)); });
            std::this_thread::sleep_for(milliseconds(500));
            full = false;
            assertWhole(event(1) + caller.readResponse());
        }
        full = true;
        this->book->retain({});
        CallerSocket caller(this->address);
        caller.write(post("/stream/", "r2", "x"));
        caller.read([](const std::string& bytes) { return contains(bytes, event(1)); });
        std::this_thread::sleep_for(milliseconds(300));
        int whileWaiting = this->servers[1]->requests();
        caller.close();
        std::this_thread::sleep_for(milliseconds(500));
        int before = this->servers[1]->requests();
        std::this_thread::sleep_for(milliseconds(500));
        CPPUNIT_ASSERT(before >= whileWaiting && whileWaiting > 1);
        CPPUNIT_ASSERT_EQUAL(before, this->servers[1]->requests());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->parts->running.load());
    }

    // Guards against a stream that never ends because its server doesn't.
    void streamOfASilentServerEndsAtTheDeadline()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            connection.waitForClose();
            return false;
        });
        TimePoint start = this->clock.now();
        std::string response = this->sendRequest(post("/stream/", "r", "x", "Time: 2500\r\n"));
        Duration taken = this->clock.now() - start;
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(1)) && contains(response, "<closed>"));
        CPPUNIT_ASSERT(taken >= milliseconds(2400) && taken < milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->counters.counter("gateway.brokenOff.deadline").value());
    }

    // Guards against a stream that gives up the only connection that still works, on a node whose new ones are refused.
    void silentServerIsNotLeftForOneThatCanNotBeReached()
    {
        this->addServer(pausesBefore(3, milliseconds(1700)));
        ServerEntry refusing = this->entries.back();
        refusing.id = "refusing";
        refusing.dataCentre = "b"; // so that the first one is preferred
        refusing.address = testing::freeAddress();
        this->entries.push_back(refusing);
        this->directory->replaceServers(this->entries, 100);
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(1, this->servers[0]->requests());
    }

    // Guards against a stream that finds no server because a newer configuration names neither its route nor its
    // service.
    void streamGoesOnAfterItsRouteWasRemoved()
    {
        std::atomic<int> begun { 0 };
        this->addServers(2, [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (++begun > 1)
                return pausesBefore(9)(request, connection);
            connection.write(streamHead(request) + printChunk(event(1)));
            GatewayConfiguration next = this->configuration();
            next.version = 3;
            next.routes.resize(1);
            next.services.clear();
            this->directory->applyConfiguration(std::move(next));
            connection.reset();
            return false;
        });
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(2, begun.load());
    }

    // Guards against a stream that leaves a silent server although no other server of its version is ready.
    void onlyServerOfItsVersionIsWaitedForBeyondAPause()
    {
        for (const char* version : { "v1", "v2" }) {
            this->addServer(pausesBefore(3, milliseconds(2200)));
            this->entries.back().softwareVersion = version;
        }
        this->directory->replaceServers(this->entries, 100);
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    // Guards against a stream that leaves a silent server by a list of servers that is too old to continue by.
    void oldListIsWaitedForBeyondAPause()
    {
        this->addServers(2, pausesBefore(3, milliseconds(2200)));
        std::this_thread::sleep_for(milliseconds(2100));
        assertWhole(this->sendRequest(post("/stream/", "r", "x")));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausingServerTest);

} // namespace lovagecross
