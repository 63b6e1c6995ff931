#include "lovagecross/http/MessageHead.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

struct HeadCase {
    std::string bytes;
    HeadError problem;
};

} // namespace

class MessageHeadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageHeadTest);
    CPPUNIT_TEST(requestHeadIsParsed);
    CPPUNIT_TEST(headsWithAmbiguousFramingAreMalformed);
    CPPUNIT_TEST(responseFramingIsDetermined);
    CPPUNIT_TEST(malformedResponsesAreRejected);
    CPPUNIT_TEST(hopByHopFieldsAreRecognized);
    CPPUNIT_TEST(tokensAreFoundInLists);
    CPPUNIT_TEST_SUITE_END();

    void requestHeadIsParsed()
    {
        ParsedRequest parsed = parseRequestHead("POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\nContent-Length: "
                                                "12\r\nX-Empty:\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(parsed.problem == HeadError::None);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), parsed.head.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=1"), parsed.head.target);
        CPPUNIT_ASSERT(parsed.head.path() == "/a/b");
        CPPUNIT_ASSERT(parsed.head.framing.kind == BodyFraming::Length && parsed.head.framing.length == 12);
        CPPUNIT_ASSERT(parsed.head.keepAlive && parsed.head.expectsContinue);
        CPPUNIT_ASSERT_EQUAL(std::string(), *parsed.head.headers.find("x-empty"));
        ParsedRequest closing = parseRequestHead("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Close\r\n\r\n");
        CPPUNIT_ASSERT(!closing.head.keepAlive);
        CPPUNIT_ASSERT(!parseRequestHead("GET / HTTP/1.0\r\n\r\n").head.keepAlive);
    }

    // Request smuggling: if two parsers frame a request differently, a caller can pass a second, unchecked request to a
    // backend server.
    void headsWithAmbiguousFramingAreMalformed()
    {
        const std::string host = "Host: x\r\n";
        const std::vector<HeadCase> cases {
            { "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n", HeadError::Malformed },
            { "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n" + host + "X: a\r\n b\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n" + host + "X: a\nY: b\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n" + host + "X: a\rb\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n" + host + "no colon\r\n\r\n", HeadError::Malformed },
            { "GET / HTTP/1.1\r\n" + host + ": empty name\r\n\r\n", HeadError::Malformed },
            { "GET / HTTQ/1.1\r\n" + host + "\r\n", HeadError::Malformed },
            { "GET x HTTP/1.1\r\n" + host + "\r\n", HeadError::Malformed },
            { "GET /a b HTTP/1.1\r\n" + host + "\r\n", HeadError::Malformed },
            { "GET / HTTP/2.0\r\n" + host + "\r\n", HeadError::UnsupportedVersion },
        };
        for (const HeadCase& entry : cases)
            CPPUNIT_ASSERT_MESSAGE(entry.bytes, parseRequestHead(entry.bytes).problem == entry.problem);
    }

    void responseFramingIsDetermined()
    {
        auto chunked = parseResponseHead("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false);
        CPPUNIT_ASSERT(chunked && chunked->framing.kind == BodyFraming::Chunked && chunked->status == 200);
        auto untilClose = parseResponseHead("HTTP/1.1 200\r\n\r\n", false);
        CPPUNIT_ASSERT(untilClose && untilClose->framing.kind == BodyFraming::UntilClose);
        auto none = parseResponseHead("HTTP/1.1 204 No Content\r\n\r\n", false);
        CPPUNIT_ASSERT(none && none->framing.kind == BodyFraming::None);
        auto toHead = parseResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true);
        CPPUNIT_ASSERT(toHead && toHead->framing.kind == BodyFraming::None);
    }

    void malformedResponsesAreRejected()
    {
        for (const char* bytes : { "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n",
                 "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nbad line\r\n\r\n", "HTTP/1.1 999 OK\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" })
            CPPUNIT_ASSERT_MESSAGE(bytes, !parseResponseHead(bytes, false));
    }

    // A forwarded hop-by-hop field would change how the next connection is handled.
    void hopByHopFieldsAreRecognized()
    {
        HeaderList headers;
        headers.add("Connection", "close, X-Hop");
        CPPUNIT_ASSERT(isHopByHopField("x-hop", headers));
        CPPUNIT_ASSERT(isHopByHopField("TRANSFER-ENCODING", headers) && isHopByHopField("Keep-Alive", headers));
        CPPUNIT_ASSERT(!isHopByHopField("Cookie", headers));
    }

    void tokensAreFoundInLists()
    {
        CPPUNIT_ASSERT(listHasToken("a, Close ,b", "close"));
        CPPUNIT_ASSERT(!listHasToken("closed", "close") && !listHasToken("", "close"));
        CPPUNIT_ASSERT(!parseUnsigned("") && !parseUnsigned("1 ") && *parseUnsigned("007") == 7);
        CPPUNIT_ASSERT(!parseUnsigned("99999999999999999999999"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageHeadTest);

} // namespace lovagecross
