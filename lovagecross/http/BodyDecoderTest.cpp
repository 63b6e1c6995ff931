#include "lovagecross/http/BodyDecoder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

// Feeds `bytes` in pieces of `step`; returns the content and how many bytes were used.
std::string decode(BodyDecoder& decoder, const std::string& bytes, std::size_t step, std::size_t& used)
{
    std::string content;
    std::string rest;
    used = 0;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
        rest += bytes.substr(i, step);
        std::size_t taken = decoder.take(rest, content);
        rest.erase(0, taken);
        used += taken;
    }
    return content;
}

} // namespace

class BodyDecoderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BodyDecoderTest);
    CPPUNIT_TEST(chunksAreJoinedHoweverTheyArrive);
    CPPUNIT_TEST(surplusBytesAreNotUsed);
    CPPUNIT_TEST(cutBodiesAreNotComplete);
    CPPUNIT_TEST(malformedChunksAreBroken);
    CPPUNIT_TEST_SUITE_END();

    void chunksAreJoinedHoweverTheyArrive()
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

    // Bytes behind a body are another message's; taken into the body they would mix two answers.
    void surplusBytesAreNotUsed()
    {
        BodyDecoder byLength({ BodyFraming::Length, 3 });
        std::size_t used = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), decode(byLength, "abcHTTP/1.1 200", 100, used));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), used);
        BodyDecoder chunked({ BodyFraming::Chunked, 0 });
        CPPUNIT_ASSERT_EQUAL(std::string("a"), decode(chunked, "1\r\na\r\n0\r\n\r\nHTTP", 100, used));
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), used);
    }

    // A cut answer that looks whole would be passed on as whole.
    void cutBodiesAreNotComplete()
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
        BodyDecoder open({ BodyFraming::UntilClose, 0 });
        decode(open, "abc", 100, used);
        CPPUNIT_ASSERT(open.state() == BodyState::Reading);
        open.connectionEnded();
        CPPUNIT_ASSERT(open.state() == BodyState::Complete);
    }

    void malformedChunksAreBroken()
    {
        for (const char* bytes : { "x\r\n", "\r\n", "3\r\nabcde\r\n", "-1\r\n", "fffffffffffffffff\r\n" }) {
            BodyDecoder decoder({ BodyFraming::Chunked, 0 });
            std::size_t used = 0;
            decode(decoder, bytes, 100, used);
            CPPUNIT_ASSERT_MESSAGE(bytes, decoder.state() == BodyState::Broken);
        }
        BodyDecoder endless({ BodyFraming::Chunked, 0 });
        std::size_t used = 0;
        decode(endless, std::string(1000, '1'), 1000, used);
        CPPUNIT_ASSERT(endless.state() == BodyState::Broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyDecoderTest);

} // namespace lovagecross
