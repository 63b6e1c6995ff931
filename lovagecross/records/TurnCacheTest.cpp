#include "lovagecross/records/TurnCache.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class TurnCacheTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TurnCacheTest);
    CPPUNIT_TEST(leastRecentlyUsedTurnIsDroppedAtTheLimit);
    CPPUNIT_TEST(turnsOfEndedConversationsAreDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t turnBytes = 4096;

    ManualClock clock;

    static CachedTurn turn(int number) { return { "t" + std::to_string(number), "", std::string(turnBytes, 'x') }; }

    void leastRecentlyUsedTurnIsDroppedAtTheLimit()
    {
        TurnCache cache(this->clock, 3 * (turnBytes + 512));
        for (int i = 1; i <= 3; ++i)
            cache.add(turn(i));
        CPPUNIT_ASSERT(cache.find("t1").has_value());
        cache.add(turn(4));
        CPPUNIT_ASSERT(cache.find("t1").has_value());
        CPPUNIT_ASSERT(!cache.find("t2").has_value());
    }

    // Guards against a cache that grows to its limit with the turns of conversations that will not continue.
    void turnsOfEndedConversationsAreDropped()
    {
        TurnCache cache(this->clock, 1000 * turnBytes);
        for (int i = 1; i <= 100; ++i)
            cache.add(turn(i));
        this->clock.advance(TurnCache::unusedLifetime);
        CPPUNIT_ASSERT(cache.find("t100").has_value()); // this conversation goes on
        this->clock.advance(std::chrono::seconds(1));
        cache.add(turn(101));
        CPPUNIT_ASSERT(cache.find("t100").has_value());
        CPPUNIT_ASSERT(!cache.find("t1").has_value());
        CPPUNIT_ASSERT(cache.size() < 3 * turnBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TurnCacheTest);

} // namespace lovagecross
