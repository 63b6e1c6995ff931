// An entry node that sends bytes without end to another one, for which it runs a call.

#include "lovagecross/gateway/RelayFixture.h"

#include <atomic>
#include <string>

namespace lovagecross {

namespace {

constexpr std::size_t blockBytes = 8192;

} // namespace

class RelayEndlessResponseTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(RelayEndlessResponseTest);
    CPPUNIT_TEST(endlessHeadOfAnotherNodeEndsTheCall);
    CPPUNIT_TEST(endlessBodyOfAnotherNodeEndsTheCall);
    CPPUNIT_TEST(endlessStreamOfAnotherNodeEndsAtTheDeadline);
    CPPUNIT_TEST_SUITE_END();

    std::atomic<std::uint64_t> bytesSent { 0 };

    // Puts a node in place of the sound one that sends `start`, then `bytes` until the connection is closed.
    std::string callNodeThatSends(const std::string& start, const std::string& bytes, const std::string& path)
    {
        this->bytesSent = 0;
        ScriptedServer node([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write("HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSigned: x\r\n" + start);
            std::string block;
            while (block.size() < blockBytes)
                block += bytes;
            while (connection.write(block))
                this->bytesSent += block.size();
            return false;
        });
        this->strandedNodes.replace({ { node.address(), "b" } });
        return this->sendToStranded(post(path, "r1", "x"));
    }

    // Guards against a node that keeps all that another one sends, and runs out of memory.
    void endlessHeadOfAnotherNodeEndsTheCall()
    {
        std::string response = this->callNodeThatSends("", "X-Field: value\r\n", "/unsafe/");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
        CPPUNIT_ASSERT(this->bytesSent < 16 * 1024 * 1024);
    }

    // As for the head.
    void endlessBodyOfAnotherNodeEndsTheCall()
    {
        std::string response = this->callNodeThatSends("\r\n", "body", "/unsafe/");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
        CPPUNIT_ASSERT(this->bytesSent < 16 * 1024 * 1024);
    }

    // Guards against a stream that goes on past its deadline because there are always more bytes.
    void endlessStreamOfAnotherNodeEndsAtTheDeadline()
    {
        TimePoint start = this->clock.now();
        std::string response
            = this->callNodeThatSends("Transfer-Encoding: chunked\r\n\r\n", printChunk(event(1)), "/stream/");
        CPPUNIT_ASSERT(contains(response, "HTTP/1.1 200") && contains(response, "<"));
        CPPUNIT_ASSERT(this->clock.now() - start < std::chrono::seconds(4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayEndlessResponseTest);

} // namespace lovagecross
