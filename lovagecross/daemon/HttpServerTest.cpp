#include "lovagecross/daemon/HttpServer.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

constexpr std::size_t maxTestBody = 64 * 1024;

// Sends `bytes` to the listener and returns everything it sends back until it closes the connection.
std::string answerTo(const std::string& address, const std::string& bytes)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    socket.shutdownSend();
    std::string answer;
    char buffer[4096];
    for (int count = 1; count > 0;) {
        count = socket.receiveBytes(buffer, sizeof(buffer));
        answer.append(buffer, static_cast<std::size_t>(std::max(0, count)));
    }
    return answer;
}

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(malformedHeadsGet400AndClose);
    CPPUNIT_TEST(nothingIsReadAfterMalformedChunks);
    CPPUNIT_TEST(wellFormedRequestsAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->address = testing::freeAddress();
        this->listener = std::make_unique<HttpListener>(
            HttpListenerSettings { this->address, 8 }, [this](auto& request, auto& response) {
                ++this->handled;
                handle(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(body, readBody(request, maxTestBody));
                        sendJson(response, 200, "{\"bytes\":" + std::to_string(body.size()) + "}");
                        return {};
                    },
                    [&](const Error& error) { sendJson(response, 400, "{\"field\":\"" + error.field + "\"}"); });
            });
        this->listener->start();
    }

    void tearDown() override { this->listener.reset(); }

private:
    // Guards against two faults: POCO echoed an invalid version token of the request in the status line, and a
    // malformed Content-Length was answered with 500.
    void malformedHeadsGet400AndClose()
    {
        const std::vector<std::string> heads {
            "GET / HTTQ/1.1\r\nHost: x\r\n\r\n",
            "GET / garbage\r\nHost: x\r\n\r\n",
            "GET / HTTP/1.17\r\nHost: x\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3x\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nabc",
            "GET / HTTP/1.1\r\n\r\n",
        };
        for (const std::string& head : heads) {
            std::string answer = answerTo(this->address, head);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("HTTP/1.1 400"), answer.substr(0, 12));
            CPPUNIT_ASSERT_MESSAGE(head, answer.find("Connection: Close") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, this->handled.load());
    }

    // Guards against request smuggling: the bytes after a malformed chunk were parsed as the next request of the
    // connection.
    void nothingIsReadAfterMalformedChunks()
    {
        std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
        std::string answer = answerTo(this->address, head + "3\r\nabc\r\nzz\r\n" + smuggled);
        CPPUNIT_ASSERT_EQUAL(1, this->handled.load());
        CPPUNIT_ASSERT(answer.find("Connection: Close") != std::string::npos);
    }

    void wellFormedRequestsAreServed()
    {
        std::string answer = answerTo(this->address,
            "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
            "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: "
            "close\r\n\r\n5\r\nabcde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(answer.find("{\"bytes\":3}") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("{\"bytes\":5}") != std::string::npos);
    }

    std::string address;
    std::unique_ptr<HttpListener> listener;
    std::atomic<int> handled { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace lovagecross
