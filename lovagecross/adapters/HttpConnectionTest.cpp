#include "lovagecross/adapters/HttpConnection.h"
#include "lovagecross/testing/ScriptedServer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross::detail {

class HttpConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(endlessHeadEndsTheExchange);
    CPPUNIT_TEST(endlessInterimResponsesEndTheExchange);
    CPPUNIT_TEST(endlessBodyEndsTheExchange);
    CPPUNIT_TEST(responseThatEndsInsideItsHeadIsNone);
    CPPUNIT_TEST(responseWithAnImpossibleStatusIsNone);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration longDeadline = std::chrono::seconds(20); // must not be what ends the exchange

    SystemClock clock;

    // Calls a server that sends `start`, then `bytes` until the connection closes, and returns how the call ended.
    HttpEnd callServerThatSends(const std::string& start, const std::string& bytes)
    {
        testing::ScriptedServer server([&](const testing::ScriptedRequest&, testing::ScriptedConnection& connection) {
            connection.write(start);
            while (connection.write(bytes)) { }
            return false;
        });
        HttpConnection connection(server.address(), this->clock);
        Poco::Net::HTTPResponse response;
        HttpCall call { "GET", "/object", {}, {} };
        HttpEnd end = connection.exchange(call, { this->clock.now() + longDeadline }, response);
        std::string body;
        return end == HttpEnd::Complete ? connection.readBody(body, 64 * 1024) : end;
    }

    // Guards against header fields that are read until the deadline.
    void endlessHeadEndsTheExchange()
    {
        TimePoint start = this->clock.now();
        CPPUNIT_ASSERT(
            this->callServerThatSends("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n") == HttpEnd::ConnectionFailed);
        CPPUNIT_ASSERT(this->clock.now() - start < longDeadline / 2);
    }

    void endlessInterimResponsesEndTheExchange()
    {
        TimePoint start = this->clock.now();
        CPPUNIT_ASSERT(this->callServerThatSends("", "HTTP/1.1 100 Continue\r\n\r\n") == HttpEnd::ConnectionFailed);
        CPPUNIT_ASSERT(this->clock.now() - start < longDeadline / 2);
    }

    void endlessBodyEndsTheExchange()
    {
        CPPUNIT_ASSERT(
            this->callServerThatSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n")
            == HttpEnd::TooLarge);
    }

    // Guards against a success with an empty body for a server that stopped in the middle of its response's head.
    void responseThatEndsInsideItsHeadIsNone()
    {
        for (const char* head : { "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Fie", "HTTP/1.1 200 OK\r\nContent-Length: 0",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 2" }) {
            testing::ScriptedServer server(
                [head](const testing::ScriptedRequest&, testing::ScriptedConnection& connection) {
                    connection.write(head);
                    return false;
                });
            HttpConnection connection(server.address(), this->clock);
            Poco::Net::HTTPResponse response;
            HttpCall call { "GET", "/object", {}, {} };
            HttpEnd end = connection.exchange(call, { this->clock.now() + std::chrono::seconds(3) }, response);
            std::string body;
            if (end == HttpEnd::Complete)
                end = connection.readBody(body, 64 * 1024);
            CPPUNIT_ASSERT_MESSAGE(head, end == HttpEnd::ConnectionFailed);
        }
    }

    // Guards against a call whose outcome is unknown that counts as answered, because a server in trouble sent bytes
    // that look like a response.
    void responseWithAnImpossibleStatusIsNone()
    {
        for (const char* status : { "000", "099", "600", "999" }) {
            std::string bytes = std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
            testing::ScriptedServer server(
                [bytes](const testing::ScriptedRequest&, testing::ScriptedConnection& connection) {
                    return connection.write(bytes);
                });
            HttpConnection connection(server.address(), this->clock);
            Poco::Net::HTTPResponse response;
            HttpCall call { "GET", "/object", {}, {} };
            HttpEnd end = connection.exchange(call, { this->clock.now() + std::chrono::seconds(3) }, response);
            CPPUNIT_ASSERT_MESSAGE(status, end == HttpEnd::ConnectionFailed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace lovagecross::detail
