#include "lovagecross/runtime/ConversationRecord.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class ConversationRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConversationRecordTest);
    CPPUNIT_TEST(keepsOnlyNewMessages);
    CPPUNIT_TEST(keepsEverythingOfAnotherConversation);
    CPPUNIT_TEST(growsWithTheConversation);
    CPPUNIT_TEST_SUITE_END();

    static std::string message(const std::string& content) { return R"({"role":"user","content":")" + content + "\"}"; }
    static std::string body(const std::string& messages) { return R"({"model":"m1","messages":[)" + messages + "]}"; }

    static std::string record(const std::string& previous, const std::string& request)
    {
        return handle([&] { return recordedRequest(previous, request); },
            [](const Error& error) { return "error: " + error.message; });
    }

    static bool contains(const std::string& text, const std::string& piece)
    {
        return text.find(piece) != std::string::npos;
    }

    // Storing the whole conversation with each turn would make the history grow quadratically.
    void keepsOnlyNewMessages()
    {
        std::string first = record("", body(message("one")));
        CPPUNIT_ASSERT_MESSAGE(first, contains(first, "\"one\"") && contains(first, "\"messagesBefore\":0"));
        std::string second = record(first, body(message("one") + "," + message("two")));
        CPPUNIT_ASSERT_MESSAGE(second,
            !contains(second, "\"one\"") && contains(second, "\"two\"") && contains(second, "\"messagesBefore\":1"));
        std::string third = record(second, body(message("one") + "," + message("two") + "," + message("three")));
        CPPUNIT_ASSERT_MESSAGE(third,
            !contains(third, "\"two\"") && contains(third, "\"three\"") && contains(third, "\"messagesBefore\":2"));
    }

    // A changed or shortened conversation must be stored whole. Otherwise the history would contain messages that were
    // never sent.
    void keepsEverythingOfAnotherConversation()
    {
        std::string first = record("", body(message("one") + "," + message("two")));
        for (const std::string& messages :
            { message("one") + "," + message("other") + "," + message("three"), message("one") }) {
            std::string second = record(first, body(messages));
            CPPUNIT_ASSERT_MESSAGE(second, contains(second, "\"one\"") && contains(second, "\"messagesBefore\":0"));
        }
        CPPUNIT_ASSERT(contains(record("not JSON", body(message("one"))), "error"));
        CPPUNIT_ASSERT(contains(record("", "{}"), "error"));
    }

    // 140 turns of 1 KB each must take about 140 KB. Quadratic growth would take 10 MB.
    void growsWithTheConversation()
    {
        std::string previous;
        std::string messages;
        std::size_t kept = 0;
        for (int turn = 0; turn < 140; ++turn) {
            messages += (turn > 0 ? "," : "") + message(std::to_string(turn) + std::string(1024, 'x'));
            previous = record(previous, body(messages));
            kept += previous.size();
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(kept), kept < 140 * 1400);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConversationRecordTest);

} // namespace lovagecross
