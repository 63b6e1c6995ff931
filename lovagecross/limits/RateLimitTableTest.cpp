#include "lovagecross/limits/RateLimitTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RateLimitTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RateLimitTableTest);
    CPPUNIT_TEST(limitHoldsUntilALaterAnswerNamesNone);
    CPPUNIT_TEST(laterObservationOfAnotherNodeIsKept);
    CPPUNIT_TEST(restartedServerHasNoLimit);
    CPPUNIT_TEST(unconfirmedAndEndedLimitsAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    const ServerKey server { "s1", 7 };
    const TimePoint start { seconds(100) };
    RateLimitTable table;

    // Answers overtake each other: one to a request sent before the server named its limit must not end it.
    void limitHoldsUntilALaterAnswerNamesNone()
    {
        CPPUNIT_ASSERT(!this->table.observe(this->server, std::nullopt, this->start, this->start));
        CPPUNIT_ASSERT(this->table.observe(this->server, 5.0, this->start, this->start + milliseconds(50)));
        TimePoint named = this->start + milliseconds(50);
        CPPUNIT_ASSERT(
            !this->table.observe(this->server, std::nullopt, named - milliseconds(10), named + milliseconds(40)));
        CPPUNIT_ASSERT(this->table.limitOf(this->server) == 5.0);
        CPPUNIT_ASSERT(this->table.observe(this->server, 2.5, named, named + milliseconds(60))); // it falls
        CPPUNIT_ASSERT(this->table.limitOf(this->server) == 2.5);
        TimePoint later = named + seconds(1);
        CPPUNIT_ASSERT(this->table.observe(this->server, std::nullopt, later, later + milliseconds(80)));
        CPPUNIT_ASSERT(!this->table.limitOf(this->server));
    }

    // A report that was on its way for long must not bring back a limit that has ended, or end one that has begun.
    void laterObservationOfAnotherNodeIsKept()
    {
        CPPUNIT_ASSERT(this->table.learn(this->server, { 5.0, this->start }));
        CPPUNIT_ASSERT(!this->table.learn(this->server, { std::nullopt, this->start - milliseconds(1) }));
        CPPUNIT_ASSERT(!this->table.learn(this->server, { 5.0, this->start + milliseconds(1) })); // no change
        CPPUNIT_ASSERT(this->table.learn(this->server, { std::nullopt, this->start + milliseconds(2) }));
        CPPUNIT_ASSERT(!this->table.learn(this->server, { 5.0, this->start + milliseconds(1) }));
        CPPUNIT_ASSERT(!this->table.limitOf(this->server));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->table.list().size()); // others learn of the end from it
    }

    // A server that came back under its id would be starved by the limit of its former lifetime.
    void restartedServerHasNoLimit()
    {
        this->table.observe(this->server, 5.0, this->start, this->start);
        CPPUNIT_ASSERT(!this->table.limitOf({ "s1", 8 }));
    }

    // Without an end, the table grows with each server that was ever in need.
    void unconfirmedAndEndedLimitsAreForgotten()
    {
        this->table.learn(this->server, { 5.0, this->start });
        this->table.learn({ "s2", 0 }, { 5.0, this->start });
        this->table.learn({ "s2", 0 }, { std::nullopt, this->start + seconds(1) });
        this->table.removeExpired(this->start + seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->table.list().size());
        this->table.removeExpired(this->start + RateLimitTable::unconfirmedRetention + seconds(1));
        CPPUNIT_ASSERT(this->table.list().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTableTest);

} // namespace lovagecross
