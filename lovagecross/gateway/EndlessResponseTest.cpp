// Tests of backend servers that send bytes without end, or too few to make progress, in each part of a response.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>
#include <thread>

namespace lovagecross {

namespace {

// Sends `bytes` again and again until the other side closes the connection.
bool flood(ScriptedConnection& connection, const std::string& bytes)
{
    std::string block;
    while (block.size() < 8192)
        block += bytes;
    while (connection.write(block)) { }
    return false;
}

} // namespace

class EndlessResponseTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(endlessInterimResponsesEndTheCall);
    CPPUNIT_TEST(endlessHeadEndsTheCall);
    CPPUNIT_TEST(endlessChunkExtensionEndsTheCall);
    CPPUNIT_TEST(endlessBodyEndsTheCall);
    CPPUNIT_TEST(endlessTrailerEndsTheCall);
    CPPUNIT_TEST(endlessResponseToAnotherRequestEndsTheCall);
    CPPUNIT_TEST(endlessEventEndsTheStream);
    CPPUNIT_TEST(endlessEventsEndAtTheDeadline);
    CPPUNIT_TEST(commentsDoNotKeepAStalledStreamOpen);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST(callerThatLeavesEndsAnEndlessResponse);
    CPPUNIT_TEST_SUITE_END();

    // Adds a server that sends `start`, then `bytes` without end, and expects that the caller is told that the call
    // failed and may have run.
    void expectFailure(const std::function<std::string(const ScriptedRequest&)>& start, const std::string& bytes)
    {
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(start(request));
            return flood(connection, bytes);
        });
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 50") && !contains(response, "503"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    void endlessInterimResponsesEndTheCall()
    {
        this->expectFailure([](const ScriptedRequest&) { return std::string(); }, "HTTP/1.1 102 Processing\r\n\r\n");
    }

    void endlessHeadEndsTheCall()
    {
        this->expectFailure([](const ScriptedRequest&) { return "HTTP/1.1 200 OK\r\n"; }, "X-Field: value\r\n");
    }

    void endlessChunkExtensionEndsTheCall()
    {
        this->expectFailure([](const ScriptedRequest& request) { return streamHead(request) + "5;"; }, "extension");
    }

    void endlessBodyEndsTheCall() { this->expectFailure(streamHead, printChunk("body")); }

    void endlessTrailerEndsTheCall()
    {
        this->expectFailure([](const ScriptedRequest& request) { return streamHead(request) + "4\r\nbody\r\n0\r\n"; },
            "X-Field: value\r\n");
    }

    void endlessResponseToAnotherRequestEndsTheCall()
    {
        this->expectFailure(
            [](const ScriptedRequest&) {
                return "HTTP/1.1 200 OK\r\nId: earlier\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";
            },
            printChunk("body"));
    }

    // Guards against memory that grows with an event that never ends.
    void endlessEventEndsTheStream()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            return flood(connection, printChunk("data: more "));
        });
        std::string response = this->sendRequest(post("/turn/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
    }

    void endlessEventsEndAtTheDeadline()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            return flood(connection, printChunk("data: x\n\n"));
        });
        CallerSocket caller(this->address);
        caller.write(post("/turn/", "r1", "x", "Time: 400\r\n"));
        auto start = std::chrono::steady_clock::now();
        std::string response = caller.read(
            [&](const std::string&) { return std::chrono::steady_clock::now() - start > std::chrono::seconds(10); });
        CPPUNIT_ASSERT(contains(response.substr(response.size() - 8), "<closed>"));
        CPPUNIT_ASSERT(!contains(response, "0\r\n\r\n"));
    }

    void commentsDoNotKeepAStalledStreamOpen()
    {
        this->addServers(2, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            static std::atomic<int> streams { 0 };
            connection.write(streamHead(request));
            if (streams++ > 0)
                return connection.write(printChunk(event(1)) + "0\r\n\r\n");
            while (connection.write(printChunk(": still here\n\n")))
                std::this_thread::sleep_for(milliseconds(20));
            return false;
        });
        std::string response = this->sendRequest(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(1)) && contains(response, "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
    }

    // Events that come several times slower than the route declares are still progress.
    void slowStreamIsNotCut()
    {
        this->addServers(2, [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            for (int id = 1; id <= 3; ++id) {
                std::this_thread::sleep_for(milliseconds(400));
                connection.write(printChunk(event(id)));
            }
            return connection.write("0\r\n\r\n");
        });
        std::string response = this->sendRequest(post("/stream/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(3)) && contains(response, "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    // Guards against bytes of the server that hide the end of the caller's connection.
    void callerThatLeavesEndsAnEndlessResponse()
    {
        std::atomic<bool> ended { false };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            while (connection.write(printChunk(": comment\n\n"))) { }
            ended = true;
            return false;
        });
        this->configureTimeout(std::chrono::minutes(1));
        auto caller = std::make_unique<CallerSocket>(this->address);
        caller->write(post("/turn/", "r1", "x"));
        std::this_thread::sleep_for(milliseconds(200));
        CPPUNIT_ASSERT(!ended);
        caller->close();
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!ended && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(5));
        CPPUNIT_ASSERT(ended);
    }

    // Puts a configuration in force whose routes have the given timeout.
    void configureTimeout(Duration timeout)
    {
        GatewayConfiguration changed = this->configuration();
        changed.version = 2;
        for (Route& route : changed.routes)
            route.timeout = timeout;
        this->directory->applyConfiguration(std::move(changed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

} // namespace lovagecross
