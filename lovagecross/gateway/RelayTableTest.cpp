#include "lovagecross/gateway/RelayTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class RelayTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayTableTest);
    CPPUNIT_TEST(nodesThatFailAreTriedLessAndLess);
    CPPUNIT_TEST(singleFailuresPauseShortly);
    CPPUNIT_TEST(emptyListKeepsTheNodes);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;

    // Guards against calls that wait for one unreachable node after another, each time anew, at a node that is cut off
    // from all others and could refuse them at once.
    void nodesThatFailAreTriedLessAndLess()
    {
        RelayTable relays(this->clock);
        relays.replace({ { "10.0.0.1:80", "a" } });
        int tried = 0;
        for (int i = 0; i < 300; ++i) { // half a minute
            for (const RelayNode& node : relays.choose(3)) {
                ++tried;
                relays.failed(node.address);
                relays.failed(node.address); // by another call
            }
            this->clock.advance(std::chrono::milliseconds(100));
            relays.replace({ { "10.0.0.1:80", "a" } });
        }
        CPPUNIT_ASSERT(tried >= 5 && tried <= 10);
    }

    // Guards against a node that is left out for long because of a failure some time ago.
    void singleFailuresPauseShortly()
    {
        RelayTable relays(this->clock);
        relays.replace({ { "10.0.0.1:80", "a" } });
        for (int i = 0; i < 4; ++i) {
            relays.failed("10.0.0.1:80");
            CPPUNIT_ASSERT(relays.choose(1).empty());
            this->clock.advance(RelayTable::failurePause);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(1).size());
            this->clock.advance(std::chrono::seconds(3));
        }
    }

    // Guards against a node that forgets the others when it can ask nobody for them.
    void emptyListKeepsTheNodes()
    {
        RelayTable relays(this->clock);
        CPPUNIT_ASSERT(relays.empty());
        relays.replace({ { "10.0.0.1:80", "a" }, { "10.0.0.2:80", "b" } });
        relays.replace({});
        CPPUNIT_ASSERT(!relays.empty() && relays.choose(3).size() == 2 && relays.choose(1).size() == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTableTest);

} // namespace lovagecross
