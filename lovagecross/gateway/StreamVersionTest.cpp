// Tests that the events of one stream come from servers of one software version, within one response and over a
// caller's attempts at several entry nodes.

#include "lovagecross/gateway/GatewayFixture.h"

namespace lovagecross {

class StreamVersionTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(StreamVersionTest);
    CPPUNIT_TEST(responseContinuesOnlyAtTheVersionThatBeganIt);
    CPPUNIT_TEST(streamIsTakenUpAtItsVersionByANodeWithoutMemory);
    CPPUNIT_TEST(streamOfAVersionThatIsGoneIsRefused);
    CPPUNIT_TEST(streamOfUnknownOriginIsRefused);
    CPPUNIT_TEST(streamWithoutEventsMayBeginAtAnotherVersion);
    CPPUNIT_TEST(serverThatCameBackWithAnotherVersionDoesNotContinue);
    CPPUNIT_TEST(streamIsNotContinuedByAnOldList);
    CPPUNIT_TEST(laterAttemptDoesNotReachAServerThatHasLeftSince);
    CPPUNIT_TEST(streamOfASplitRouteIsTakenUpAtItsService);
    CPPUNIT_TEST_SUITE_END();

    std::uint64_t revision = 1000;

    // Writes events up to `last`, from the one after Last-Event-Id, and ends the stream after the sixth.
    static Script writesUpTo(int last)
    {
        return [last](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string after = request.header("Last-Event-Id");
            std::string events;
            for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= last; ++id)
                events += event(id);
            connection.write(streamHead(request) + (events.empty() ? "" : printChunk(events)));
            return last == 6 && connection.write("0\r\n\r\n");
        };
    }

    void addVersion(const std::string& version, const Script& script)
    {
        this->addServer(script);
        this->entries.back().softwareVersion = version;
        this->publishServers();
    }

    void removeAllServers()
    {
        this->entries.clear();
        this->publishServers();
    }

    void publishServers() { this->directory->replaceServers(this->entries, ++this->revision); }

    // Restarts the entry node: only what the record nodes have on their disks is left.
    void restartNode()
    {
        std::unique_ptr<FakeTurns> kept = std::move(this->turns);
        this->gateway->stop(std::chrono::seconds(5));
        this->gateway.reset();
        this->setUp();
        this->turns->takeOver(*kept);
    }

    std::string begin(const std::string& id)
    {
        return this->sendRequest(post("/stream/", id, "x", "Program: p\r\nBudget: 1000\r\nMax: 40\r\n"));
    }

    std::string takeUp(const std::string& id, const std::string& first, int after)
    {
        return this->sendRequest(post("/stream/", id, "x",
            "Program: p\r\nBudget: 1000\r\nMax: 40\r\nResumes: " + first + "\r\nLast-Event-Id: " + std::to_string(after)
                + "\r\n"));
    }

    // The server of one version failed, and the same response went on at a server of another one.
    void responseContinuesOnlyAtTheVersionThatBeganIt()
    {
        this->addVersion("v2", writesUpTo(3));
        std::string response;
        for (int i = 0; i < 6; ++i) {
            this->addVersion("v1", writesUpTo(6));
            response = this->begin("r" + std::to_string(i));
            bool begunAtV2 = contains(response, "Signed: server1");
            CPPUNIT_ASSERT_MESSAGE(response, begunAtV2 != contains(response, "data: e6\n"));
        }
        this->removeAllServers();
        this->addVersion("v2", writesUpTo(3));
        this->addVersion("v1", writesUpTo(6));
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->publishServers();
        response = this->begin("s");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e3\n") && !contains(response, "data: e4\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "<closed>"));
        this->addVersion("v2", writesUpTo(6));
        response = this->begin("t");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e4\n") && contains(response, "0\r\n\r\n"));
    }

    // All entry nodes lost their memory, and a stream was taken up at a server of any version.
    void streamIsTakenUpAtItsVersionByANodeWithoutMemory()
    {
        this->addVersion("v2", writesUpTo(3));
        CPPUNIT_ASSERT(contains(this->begin("first"), "data: e3\n"));
        this->removeAllServers();
        this->restartNode();
        this->addVersion("v1", writesUpTo(6));
        this->addVersion("v2", writesUpTo(6));
        for (int i = 0; i < 8; ++i) {
            std::string response = this->takeUp("again" + std::to_string(i), "first", 3);
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e4\n") && contains(response, "0\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(
                response, contains(response, "Signed: server" + std::to_string(this->servers.size())));
        }
    }

    // The servers of the old version had left, and the stream was joined from it and a new one.
    void streamOfAVersionThatIsGoneIsRefused()
    {
        this->addVersion("v1", writesUpTo(3));
        this->begin("first");
        this->removeAllServers();
        this->addVersion("v2", writesUpTo(6));
        std::string response = this->takeUp("again", "first", 3);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(0, this->servers.back()->requests());
    }

    // A stream that nobody knows could be joined from any two versions.
    void streamOfUnknownOriginIsRefused()
    {
        this->addVersion("v1", writesUpTo(6));
        CPPUNIT_ASSERT(contains(this->takeUp("again", "unheard-of", 3), "HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(this->takeUp("again2", "", 3), "HTTP/1.1 503 "));
        CPPUNIT_ASSERT_EQUAL(0, this->servers.back()->requests());
    }

    // A stream that has brought no event may still begin elsewhere; refusing it would lose calls at each release.
    void streamWithoutEventsMayBeginAtAnotherVersion()
    {
        this->addVersion("v2", writesUpTo(0));
        this->addVersion("v1", writesUpTo(3));
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->publishServers();
        std::string response = this->begin("first");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e3\n") && contains(response, "Signed: server2"));
        this->addVersion("v2", writesUpTo(6));
        this->addVersion("v1", writesUpTo(6));
        response = this->takeUp("again", "first", 3);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "Signed: server4") && contains(response, "data: e6\n"));
    }

    // Guards against a stream that goes on at a server which has restarted under its id with another version since the
    // call began.
    void serverThatCameBackWithAnotherVersionDoesNotContinue()
    {
        this->addVersion("v1", [this](const ScriptedRequest& request, ScriptedConnection& connection) {
            this->entries[1].softwareVersion = "v2";
            ++this->entries[1].startedUnixMillis;
            this->publishServers();
            connection.write(streamHead(request) + printChunk(event(1) + event(2)));
            return false;
        });
        this->addVersion("v1", writesUpTo(6));
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->publishServers();
        std::string response = this->begin("r");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e2\n") && !contains(response, "data: e3\n"));
        CPPUNIT_ASSERT_EQUAL(0, this->servers[1]->requests());
    }

    // Guards against a node that was cut off or stood still, and continues streams by versions that it knew before.
    void streamIsNotContinuedByAnOldList()
    {
        this->addVersion("v1", writesUpTo(3));
        CPPUNIT_ASSERT(contains(this->begin("first"), "data: e3\n"));
        this->addVersion("v1", writesUpTo(6));
        std::this_thread::sleep_for(milliseconds(2100));
        std::string response = this->takeUp("again", "first", 3);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(0, this->servers.back()->requests());
        this->publishServers();
        response = this->takeUp("later", "first", 3);
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e6\n"));
    }

    // Guards against a long call whose later attempts go by the list of its beginning.
    void laterAttemptDoesNotReachAServerThatHasLeftSince()
    {
        this->addVersion("v1", [this](const ScriptedRequest&, ScriptedConnection& connection) {
            this->entries[1].state = ServerState::Draining;
            this->publishServers();
            connection.reset();
            return false;
        });
        this->addVersion("v1", writesUpTo(6));
        this->entries.back().dataCentre = "b"; // so that the first one is preferred
        this->publishServers();
        this->begin("r");
        CPPUNIT_ASSERT_EQUAL(1, this->servers[0]->requests());
        CPPUNIT_ASSERT_EQUAL(0, this->servers[1]->requests());
    }

    // Guards against a stream that is taken up at another service of a split route than the one that began it: that
    // service has no server of the version, or writes other data under the same version name.
    void streamOfASplitRouteIsTakenUpAtItsService()
    {
        const std::string fields = "Program: p\r\nBudget: 1000\r\nMax: 40\r\n";
        for (const char* service : { "s", "s2", "s3" }) {
            this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
                return writesUpTo(request.header("Last-Event-Id").empty() ? 3 : 6)(request, connection);
            });
            this->entries.back().service = service;
            this->entries.back().softwareVersion = "v1";
        }
        this->publishServers();
        for (int i = 0; i < 12; ++i) {
            std::string id = "r" + std::to_string(i);
            std::string begun = this->sendRequest(post("/split/", id, "x", fields));
            std::string server = begun.substr(begun.find("Signed: "), std::string("Signed: server1").size());
            std::string takeUpFields = fields;
            takeUpFields.append("Resumes: ").append(id).append("\r\nLast-Event-Id: 3\r\n");
            std::string again = this->sendRequest(post("/split/", id + "-again", "x", takeUpFields));
            CPPUNIT_ASSERT_MESSAGE(again, contains(again, server) && contains(again, "data: e6\n"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);

} // namespace lovagecross
