// Tests of turns that are too long to be stored, or that the record nodes have no room for.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/testing/ProcessHarness.h"

namespace lovagecross {

class LongTurnTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(LongTurnTest);
    CPPUNIT_TEST(inputThatCannotBeStoredIsRefusedBeforeItRuns);
    CPPUNIT_TEST(longInputThatCanBeStoredIsAnswered);
    CPPUNIT_TEST(turnWhoseOutputCannotBeStoredIsBrokenOff);
    CPPUNIT_TEST(turnWithoutRoomIsRefusedBeforeItRuns);
    CPPUNIT_TEST(roomIsReservedForTheWholeTurn);
    CPPUNIT_TEST(conversationWithoutMemoryIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024 * 1024;

    void allowLongBodies()
    {
        this->turns->longestTurn = megabyte + 32 * 1024;
        GatewayConfiguration longer = this->configuration();
        longer.version = 2;
        longer.limits.maxBodyBytes = 4 * megabyte;
        this->directory->applyConfiguration(longer);
    }

    // Guards against turns that run, are never stored, and are never answered whole.
    void inputThatCannotBeStoredIsRefusedBeforeItRuns()
    {
        this->allowLongBodies();
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
        std::string response = this->sendRequest(post("/turn/", "t1", std::string(3 * megabyte / 2, 'x')));
        CPPUNIT_ASSERT_MESSAGE(response.substr(0, 300), contains(response, "HTTP/1.1 413"));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    // Guards against a limit that refuses turns which the record nodes store.
    void longInputThatCanBeStoredIsAnswered()
    {
        this->allowLongBodies();
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
        std::string response = this->sendRequest(post("/turn/", "t1", std::string(megabyte, 'x')));
        CPPUNIT_ASSERT_MESSAGE(response.substr(0, 300), contains(response, lastChunk.data()));
        CPPUNIT_ASSERT_EQUAL(megabyte, this->turns->kept["t1"].input.size());
    }

    // Guards against a server that answers without end and fills the node's memory with the turn's output.
    void turnWhoseOutputCannotBeStoredIsBrokenOff()
    {
        this->allowLongBodies();
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string bytes = streamHead(request);
            for (int id = 1; id <= 40; ++id)
                bytes += printChunk("id: " + std::to_string(id) + "\ndata: " + std::string(100 * 1024, 'x') + "\n\n");
            return connection.write(bytes + std::string(lastChunk));
        });
        std::string response = this->sendRequest(post("/turn/", "t1", "x"));
        CPPUNIT_ASSERT(contains(response, "id: 1\n") && !contains(response, "id: 20\n"));
        CPPUNIT_ASSERT(contains(response, "<closed>"));
        CPPUNIT_ASSERT(this->turns->kept.empty());
    }

    void addStreamServer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
    }

    // Guards against turns that run although the record nodes can't keep them, with and without a token budget.
    void turnWithoutRoomIsRefusedBeforeItRuns()
    {
        this->addStreamServer();
        this->turns->roomBytes = minTurnOutputBytes;
        for (const char* fields : { "", "Program: p\r\nBudget: 100\r\n" }) {
            std::string response = this->sendRequest(post("/turn/", "t1", "input", fields));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503") && contains(response, "Retry-After"));
            CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
        }
        this->turns->roomBytes = minTurnOutputBytes + std::string("input").size();
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t2", "input")), lastChunk.data()));
    }

    // Guards against room that is reserved for the preceding turns too, which are kept already.
    void roomIsReservedForTheWholeTurn()
    {
        this->addStreamServer();
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t1", std::string(1000, 'x'))), lastChunk.data()));
        this->turns->roomBytes = minTurnOutputBytes + 10;
        std::string response = this->sendRequest(post("/turn/", "t2", std::string(10, 'x'), "Previous: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, lastChunk.data()));
    }

    // Guards against a conversation that is read although there is no memory for it.
    void conversationWithoutMemoryIsRefused()
    {
        this->addStreamServer();
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t1", std::string(100'000, 'x'))), lastChunk.data()));
        std::size_t others = 0;
        CPPUNIT_ASSERT(this->parts->memory.growConversation(others, 1000 * megabyte));
        std::string response = this->sendRequest(post("/turn/", "t2", "x", "Previous: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503") && contains(response, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
        this->parts->memory.shrinkConversation(others, others);
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "t3", "x", "Previous: t1\r\n")), lastChunk.data()));
        CPPUNIT_ASSERT(testing::waitUntil(
            [this] { return this->parts->memory.used(MemoryUse::Conversations) == 0; }, std::chrono::seconds(10)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongTurnTest);

} // namespace lovagecross
