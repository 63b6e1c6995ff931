// Tests of calls in which an unexpected exception is thrown.

#include "lovagecross/gateway/GatewayFixture.h"

namespace lovagecross {

class UnexpectedErrorTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(UnexpectedErrorTest);
    CPPUNIT_TEST(errorBeforeTheCallIsSentIsARefusal);
    CPPUNIT_TEST(errorAfterTheCallWasSentIsNoRefusal);
    CPPUNIT_TEST(errorInAStreamThatHasBegunBreaksItOff);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a caller whose connection is closed without a response, though its call has not run.
    void errorBeforeTheCallIsSentIsARefusal()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        this->turns->failsToRead = true;
        for (const std::string& request :
            { get("/unsafe/", "r1", "Undecodable: 1\r\n"), post("/turn/", "r2", "x", "Previous: t\r\n") }) {
            std::string response = this->sendRequest(request);
            CPPUNIT_ASSERT_MESSAGE(
                response, contains(response, "HTTP/1.1 503") && contains(response, "unexpected error"));
        }
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->parts->running.load());
    }

    // Guards against a caller that is told nothing, or that its call has not run, after it was sent.
    void errorAfterTheCallWasSentIsNoRefusal()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write("HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                + "\r\nSigned: x\r\nUndecodable: 1\r\nContent-Length: 0\r\n\r\n");
            return false;
        });
        for (const char* path : { "/safe/", "/unsafe/", "/stream/", "/turn/" }) {
            std::string response = this->sendRequest(post(path, "r", "x"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
        }
    }

    // Guards against an error response in the middle of a stream, and against a stream that ends as if it were
    // complete.
    void errorInAStreamThatHasBegunBreaksItOff()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
        this->turns->failsToKeep = true;
        std::string response = this->sendRequest(post("/turn/", "r", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(1)) && contains(response, "<closed>"));
        CPPUNIT_ASSERT_MESSAGE(response, response.find("HTTP/1.1", 1) == std::string::npos);
        this->turns->failsToKeep = false;
        response = this->sendRequest(post("/turn/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, lastChunk.data()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnexpectedErrorTest);

} // namespace lovagecross
