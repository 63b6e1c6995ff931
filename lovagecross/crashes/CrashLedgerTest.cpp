#include "lovagecross/crashes/CrashLedger.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashLedgerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashLedgerTest);
    CPPUNIT_TEST(noticesReachTheOtherNodeOnce);
    CPPUNIT_TEST(nodeThatStartsAnewGetsAll);
    CPPUNIT_TEST(longListComesInParts);
    CPPUNIT_TEST(releaseReachesTheOtherNode);
    CPPUNIT_TEST(agesGrowOnTheWay);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    Counters counters;

    static CrashNotice notice(const std::string& server, const std::string& call)
    {
        return { server, 1, "v1", "entry1", { call }, milliseconds(10) };
    }

    // Guards against messages that grow with all that was ever known.
    void noticesReachTheOtherNodeOnce()
    {
        CrashLedger from(this->clock, this->counters);
        CrashLedger to(this->clock, this->counters);
        CPPUNIT_ASSERT(from.empty() && from.newsSince({}).notices.empty());
        for (const char* server : { "s1", "s2", "s3" })
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), from.learn({ notice(server, "call") }, CrashSource::Own).size());
        CPPUNIT_ASSERT(from.learn({ notice("s2", "call") }, CrashSource::EntryNode).empty());
        CrashNews news = from.newsSince({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), to.learn(news.notices, CrashSource::RecordNode).size());
        CPPUNIT_ASSERT(from.newsSince(news.upTo).notices.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), to.find("call").ends);
        from.learn({ notice("s4", "call") }, CrashSource::Own);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), from.newsSince(news.upTo).notices.size());
    }

    // Guards against a node that takes another process's cursor for its own and leaves notices out.
    void nodeThatStartsAnewGetsAll()
    {
        CrashLedger first(this->clock, this->counters);
        first.learn({ notice("s1", "call"), notice("s2", "call") }, CrashSource::Own);
        CrashLedger second(this->clock, this->counters);
        second.learn({ notice("s3", "call"), notice("s4", "call") }, CrashSource::Own);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.newsSince(first.newsSince({}).upTo).notices.size());
    }

    // Guards against a message that is larger than a message may be, and against notices that are skipped.
    void longListComesInParts()
    {
        CrashLedger from(this->clock, this->counters);
        CrashLedger to(this->clock, this->counters);
        std::size_t count = CrashLedger::maxNoticesPerAnswer * 2 + 7;
        for (std::size_t i = 0; i < count; ++i)
            from.learn({ notice("s" + std::to_string(i), "call" + std::to_string(i)) }, CrashSource::Own);
        CrashCursor cursor;
        std::size_t received = 0;
        for (int i = 0; i < 4; ++i) {
            CrashNews news = from.newsSince(cursor);
            CPPUNIT_ASSERT(news.notices.size() <= CrashLedger::maxNoticesPerAnswer);
            received += to.learn(news.notices, CrashSource::RecordNode).size();
            cursor = news.upTo;
        }
        CPPUNIT_ASSERT_EQUAL(count, received);
    }

    // Guards against a call that stays suspected on one node although another one has had an answer to it.
    void releaseReachesTheOtherNode()
    {
        CrashLedger from(this->clock, this->counters);
        CrashLedger to(this->clock, this->counters);
        for (const char* server : { "s1", "s2", "s3" })
            from.learn({ notice(server, "call") }, CrashSource::Own);
        CrashNews ends = from.newsSince({});
        to.learn(ends.notices, CrashSource::RecordNode);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), to.quarantined().size());
        this->clock.advance(seconds(1));
        from.learn({ { {}, 0, {}, "entry1", { "call", "unmarked" }, Duration(0) } }, CrashSource::Own);
        CrashNews release = from.newsSince(ends.upTo);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), release.notices.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), release.notices.front().calls.size());
        to.learn(release.notices, CrashSource::RecordNode);
        CPPUNIT_ASSERT(to.find("call").verdict == CrashVerdict::Unmarked && to.quarantined().empty());
    }

    // Guards against an end that looks newer at each node that it reaches, and outlives the answer after it.
    void agesGrowOnTheWay()
    {
        CrashLedger from(this->clock, this->counters);
        from.learn({ notice("s1", "call") }, CrashSource::Own);
        this->clock.advance(seconds(3));
        CPPUNIT_ASSERT(from.newsSince({}).notices.front().age == milliseconds(3010));
        CPPUNIT_ASSERT(from.find("call").age == milliseconds(3010));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);

} // namespace lovagecross
