#include "lovagecross/http/BodyDecoder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

// Passes `bytes` to the decoder in pieces of `step` bytes. Returns the content; `used` is the number of bytes consumed.
std::string decode(BodyDecoder& decoder, const std::string& bytes, std::size_t step, std::size_t& used)
{
    std::string content;
    std::string rest;
    used = 0;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
        rest += bytes.substr(i, step);
        std::size_t taken = decoder.decode(rest, content);
        rest.erase(0, taken);
        used += taken;
    }
    return content;
}

} // namespace

class BodyDecoderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BodyDecoderTest);
    CPPUNIT_TEST(chunksAreJoinedForAnySplitOfTheInput);
    CPPUNIT_TEST(bytesAfterTheBodyAreNotConsumed);
    CPPUNIT_TEST(truncatedBodiesAreNotComplete);
    CPPUNIT_TEST(malformedChunksAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void chunksAreJoinedForAnySplitOfTheInput()
    {
        const std::string bytes = "4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\nTrailer: 1\r\n\r\n";
        for (std::size_t step : { 1U, 2U, 3U, 7U, 100U }) {
            BodyDecoder decoder({ BodyFraming::Chunked, 0 });
            std::size_t used = 0;
            CPPUNIT_ASSERT_EQUAL(std::string("abcdefg"), decode(decoder, bytes, step, used));
            CPPUNIT_ASSERT(decoder.state() == BodyState::Complete);
            CPPUNIT_ASSERT_EQUAL(bytes.size(), used);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("5\r\nhello\r\n"), printChunk("hello"));
    }

    // Bytes after a body belong to the next message. If they were added to the body, two responses would be mixed.
    void bytesAfterTheBodyAreNotConsumed()
    {
        BodyDecoder byLength({ BodyFraming::Length, 3 });
        std::size_t used = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), decode(byLength, "abcHTTP/1.1 200", 100, used));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), used);
        BodyDecoder chunked({ BodyFraming::Chunked, 0 });
        CPPUNIT_ASSERT_EQUAL(std::string("a"), decode(chunked, "1\r\na\r\n0\r\n\r\nHTTP", 100, used));
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), used);
    }

    // If a truncated response counted as complete, it would be forwarded to the caller as a complete one.
    void truncatedBodiesAreNotComplete()
    {
        std::size_t used = 0;
        BodyDecoder byLength({ BodyFraming::Length, 5 });
        decode(byLength, "abc", 100, used);
        byLength.connectionEnded();
        CPPUNIT_ASSERT(byLength.state() == BodyState::Broken);
        BodyDecoder chunked({ BodyFraming::Chunked, 0 });
        decode(chunked, "3\r\nabc\r\n", 100, used);
        chunked.connectionEnded();
        CPPUNIT_ASSERT(chunked.state() == BodyState::Broken);
        BodyDecoder untilClose({ BodyFraming::UntilClose, 0 });
        decode(untilClose, "abc", 100, used);
        CPPUNIT_ASSERT(untilClose.state() == BodyState::Reading);
        untilClose.connectionEnded();
        CPPUNIT_ASSERT(untilClose.state() == BodyState::Complete);
    }

    void malformedChunksAreRejected()
    {
        for (const char* bytes : { "x\r\n", "\r\n", "3\r\nabcde\r\n", "-1\r\n", "fffffffffffffffff\r\n" }) {
            BodyDecoder decoder({ BodyFraming::Chunked, 0 });
            std::size_t used = 0;
            decode(decoder, bytes, 100, used);
            CPPUNIT_ASSERT_MESSAGE(bytes, decoder.state() == BodyState::Broken);
        }
        BodyDecoder overlongLine({ BodyFraming::Chunked, 0 });
        std::size_t used = 0;
        decode(overlongLine, std::string(1000, '1'), 1000, used);
        CPPUNIT_ASSERT(overlongLine.state() == BodyState::Broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyDecoderTest);

} // namespace lovagecross
