// Tests of responses to callers that stop reading for a while.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>

namespace lovagecross {

class PausingCallerTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(PausingCallerTest);
    CPPUNIT_TEST(callerThatPausesGetsItsWholeResponse);
    CPPUNIT_TEST(callerThatNeverReadsIsLeftAfterItsDeadline);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int events = 200;
    static constexpr std::size_t eventBytes = 100'000; // all events together exceed what sockets buffer

    void serveLargeStreams(std::atomic<bool>& serverWasLeft)
    {
        GatewayConfiguration patient = this->configuration();
        patient.version = 2;
        for (Route& each : patient.routes)
            each.timeout = milliseconds(4000);
        this->directory->applyConfiguration(std::move(patient));
        this->addServer([&serverWasLeft](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            std::string data(eventBytes, 'x');
            for (int id = 1; id <= events; ++id) {
                if (!connection.write(printChunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n"))) {
                    serverWasLeft = true;
                    return false;
                }
            }
            return connection.write(std::string(lastChunk));
        });
    }

    // Guards against a response that is cut because its caller stops reading for a little more than two seconds.
    void callerThatPausesGetsItsWholeResponse()
    {
        std::atomic<bool> serverWasLeft { false };
        this->serveLargeStreams(serverWasLeft);
        CallerSocket caller(this->address);
        caller.write(post("/turn/", "r", "x"));
        std::string response = caller.read([](const std::string& bytes) { return contains(bytes, "data: "); });
        std::this_thread::sleep_for(milliseconds(2400));
        response += caller.read([](const std::string& bytes) {
            return bytes.size() >= lastChunk.size() && bytes.compare(bytes.size() - 5, 5, lastChunk) == 0;
        });
        CPPUNIT_ASSERT(response.size() > events * eventBytes);
        CPPUNIT_ASSERT_EQUAL(std::string(lastChunk), response.substr(response.size() - lastChunk.size()));
        CPPUNIT_ASSERT(!serverWasLeft);
    }

    // Guards against a server that is held by a caller that never reads again.
    void callerThatNeverReadsIsLeftAfterItsDeadline()
    {
        std::atomic<bool> serverWasLeft { false };
        this->serveLargeStreams(serverWasLeft);
        CallerSocket caller(this->address);
        caller.write(post("/turn/", "r", "x"));
        caller.read([](const std::string& bytes) { return contains(bytes, "data: "); });
        std::this_thread::sleep_for(milliseconds(4700));
        CPPUNIT_ASSERT(serverWasLeft);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausingCallerTest);

} // namespace lovagecross
