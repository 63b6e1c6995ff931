#include "lovagecross/scheduling/LoadBoard.h"

#include "lovagecross/scheduling/TenantUsage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LoadBoardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadBoardTest);
    CPPUNIT_TEST(nodeThatIsGoneNoLongerCounts);
    CPPUNIT_TEST(nodeCountsOnce);
    CPPUNIT_TEST(newBoardNamesNoSum);
    CPPUNIT_TEST(tenantIsInExcessOnlyWithAllNodesTogether);
    CPPUNIT_TEST(singleTenantIsNeverInExcess);
    CPPUNIT_TEST(usageDecaysAndIsLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    // After the time in which the board names no sum.
    void setUp() override
    {
        this->board.record({ "entry1", 1, {} });
        this->clock.advance(LoadBoard::settleTime);
    }

private:
    ManualClock clock;
    LoadBoard board { this->clock };

    // Guards against the calls of a killed node that hold back programs for ever.
    void nodeThatIsGoneNoLongerCounts()
    {
        this->board.record({ "entry1", 7, {} });
        this->clock.advance(milliseconds(900));
        this->board.record({ "entry2", 4, {} });
        CPPUNIT_ASSERT_EQUAL(11U, this->board.sum().calls);
        this->clock.advance(milliseconds(200));
        FleetShare all = this->board.sum();
        CPPUNIT_ASSERT_EQUAL(4U, all.calls);
        CPPUNIT_ASSERT_EQUAL(1U, all.nodes);
    }

    // Guards against a report that is added to the former one of the same node.
    void nodeCountsOnce()
    {
        this->board.record({ "entry1", 7, {} });
        this->board.record({ "entry1", 5, {} });
        CPPUNIT_ASSERT_EQUAL(5U, this->board.sum().calls);
        CPPUNIT_ASSERT_EQUAL(1U, this->board.sum().nodes);
    }

    // Guards against a sum of the first reports alone, by which a record node that takes over would name too small a
    // load.
    void newBoardNamesNoSum()
    {
        LoadBoard fresh(this->clock);
        fresh.record({ "entry1", 7, {} });
        CPPUNIT_ASSERT_EQUAL(0U, fresh.sum().nodes);
        this->clock.advance(LoadBoard::settleTime);
        fresh.record({ "entry1", 7, {} });
        CPPUNIT_ASSERT_EQUAL(1U, fresh.sum().nodes);
        this->clock.advance(LoadBoard::reportLifetime * 2); // the nodes went elsewhere, and come back
        fresh.record({ "entry1", 7, {} });
        CPPUNIT_ASSERT_EQUAL(0U, fresh.sum().nodes);
    }

    // Guards against a flood that isn't seen because each node has only a few programs of it.
    void tenantIsInExcessOnlyWithAllNodesTogether()
    {
        for (int i = 0; i < 10; ++i)
            this->board.record(
                { "entry" + std::to_string(i), 3, { { "flood", 2 }, { "calm" + std::to_string(i), 1 } } });
        FleetShare all = this->board.sum();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all.excessTenants.size());
        CPPUNIT_ASSERT_EQUAL(std::string("flood"), all.excessTenants[0]);
    }

    // Guards against holding back a tenant although there are no others, or none has begun more.
    void singleTenantIsNeverInExcess()
    {
        CPPUNIT_ASSERT(tenantsInExcess({ { "only", 1000.0 } }).empty());
        CPPUNIT_ASSERT(tenantsInExcess({}).empty());
        CPPUNIT_ASSERT(tenantsInExcess({ { "a", 10.0 }, { "b", 10.0 } }).empty());
    }

    // Guards against a burst that counts for ever, and a table that grows with the number of tenants.
    void usageDecaysAndIsLimited()
    {
        TenantUsage usage;
        TimePoint now { seconds(100) };
        addUsage(usage, "a", 8, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, usageOf(usage, "a", now + usage.halfLife), 0.01);
        for (std::size_t i = 0; i < 2 * maxTenantsInUsage; ++i)
            addUsage(usage, std::to_string(i), 1, now);
        CPPUNIT_ASSERT_EQUAL(maxTenantsInUsage, usage.uses.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), greatestUses(usage, 1, now).front().first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBoardTest);

} // namespace lovagecross
