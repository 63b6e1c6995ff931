#include "lovagecross/standins/ObjectTable.h"
#include "lovagecross/standins/RateLimiter.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>

namespace lovagecross::standins {

using namespace std::chrono_literals;

class ObjectTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ObjectTableTest);
    CPPUNIT_TEST(writesNeedTheCurrentVersion);
    CPPUNIT_TEST(versionsGrowOverADelete);
    CPPUNIT_TEST(listIsInKeyOrderAndLimitedToThePrefix);
    CPPUNIT_TEST(valueAboveOneMegabyteIsRefused);
    CPPUNIT_TEST(rateLimiterCountsEachCall);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesNeedTheCurrentVersion()
    {
        ObjectTable table;
        CPPUNIT_ASSERT(table.update("a", "x", 1).status == StoreStatus::NotFound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), table.create("a", "x").object.version);
        const StoreResult second = table.create("a", "y");
        CPPUNIT_ASSERT(second.status == StoreStatus::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), second.object.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), table.update("a", "z", 1).object.version);
        const StoreResult late = table.update("a", "w", 1);
        CPPUNIT_ASSERT(late.status == StoreStatus::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), late.object.version);
        CPPUNIT_ASSERT_EQUAL(std::string("z"), table.get("a").object.value);
        CPPUNIT_ASSERT(table.remove("a", 1).status == StoreStatus::Conflict);
        CPPUNIT_ASSERT(table.remove("a", 2).ok());
        CPPUNIT_ASSERT(table.get("a").status == StoreStatus::NotFound);
    }

    // A version that starts again at 1 would let a writer that was away over a delete pass a conditional update.
    void versionsGrowOverADelete()
    {
        ObjectTable table;
        table.create("a", "x");
        table.remove("a", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), table.create("a", "y").object.version);
        CPPUNIT_ASSERT(table.update("a", "z", 1).status == StoreStatus::Conflict);
    }

    void listIsInKeyOrderAndLimitedToThePrefix()
    {
        ObjectTable table;
        for (const char* key : { "journal/b", "journal/a", "journal", "journal0", "journal/c" })
            table.create(key, key);
        table.remove("journal/c", 0);
        const auto objects = table.list("journal/", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("journal/a"), objects[0].key);
        CPPUNIT_ASSERT_EQUAL(std::string("journal/b"), objects[1].value);
        CPPUNIT_ASSERT(table.list("journal/", false)[0].value.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), table.list("", false).size());
    }

    void valueAboveOneMegabyteIsRefused()
    {
        ObjectTable table;
        CPPUNIT_ASSERT(table.create("a", std::string(maxObjectBytes, 'x')).ok());
        CPPUNIT_ASSERT(table.create("b", std::string(maxObjectBytes + 1, 'x')).status == StoreStatus::TooLarge);
        CPPUNIT_ASSERT(table.update("a", std::string(maxObjectBytes + 1, 'x'), 1).status == StoreStatus::TooLarge);
    }

    void rateLimiterCountsEachCall()
    {
        ManualClock clock;
        RateLimiter limiter;
        CPPUNIT_ASSERT(!limiter.take(clock.now()));
        limiter.setLimit(100, clock.now());
        int passed = 0;
        for (int millis = 0; millis < 1000; ++millis) {
            for (int call = 0; call < 3; ++call)
                passed += limiter.take(clock.now()) ? 0 : 1;
            clock.advance(1ms);
        }
        // A second's calls, and the burst of a quarter of a second.
        CPPUNIT_ASSERT(passed >= 124 && passed <= 126);
        std::optional<Duration> wait;
        while (!wait)
            wait = limiter.take(clock.now());
        CPPUNIT_ASSERT(*wait > 0ms && *wait <= 10ms);
        clock.advance(*wait + 1us);
        CPPUNIT_ASSERT(!limiter.take(clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectTableTest);

} // namespace lovagecross::standins
