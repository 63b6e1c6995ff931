#include "lovagecross/gateway/EventStream.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class EventStreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventStreamTest);
    CPPUNIT_TEST(eventsAreCompleteForAnyChunkSize);
    CPPUNIT_TEST(fieldsAreParsed);
    CPPUNIT_TEST_SUITE_END();

    // A partial event that was sent to the caller can't be retracted when another server continues the stream.
    void eventsAreCompleteForAnyChunkSize()
    {
        const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
        for (std::size_t step : { 1U, 3U, 100U }) {
            EventSplitter splitter;
            std::string joined;
            int count = 0;
            for (std::size_t i = 0; i < text.size(); i += step) {
                splitter.add(text.substr(i, step));
                while (auto event = splitter.next()) {
                    joined += event->bytes;
                    ++count;
                }
            }
            CPPUNIT_ASSERT_EQUAL(2, count);
            CPPUNIT_ASSERT_EQUAL(text.substr(0, text.size() - 8), joined);
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), splitter.pendingBytes());
        }
    }

    void fieldsAreParsed()
    {
        EventSplitter splitter;
        splitter.add("x-version: 2\nid: 17\ndata: one\ndata:two\n\n: comment\n\nid:x\r\ndata: dos\r\n\r\n");
        auto event = splitter.next();
        CPPUNIT_ASSERT(event && event->id == std::uint64_t(17) && event->hasData);
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo"), event->data);
        event = splitter.next();
        CPPUNIT_ASSERT(event && !event->id && !event->hasData);
        event = splitter.next();
        CPPUNIT_ASSERT(event && !event->id && event->data == "dos");
        CPPUNIT_ASSERT(!splitter.next());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);

} // namespace lovagecross
