#include "lovagecross/sharing/LoadTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class LoadTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(callsOfAllNodesAreSummed);
    CPPUNIT_TEST(otherDataCentresAreNotToldTwice);
    CPPUNIT_TEST(silentNodeLeavesNoCalls);
    CPPUNIT_TEST_SUITE_END();

    LoadTable table;
    TimePoint now { std::chrono::seconds(10) };

    std::vector<ServerRunning> ask(const std::string& node, bool forDataCentre, std::vector<ServerRunning> running)
    {
        DirectoryFetch fetch;
        fetch.node = node;
        fetch.forDataCentre = forDataCentre;
        fetch.running = std::move(running);
        DirectoryUpdate update;
        answerLoads(this->table, fetch, update, this->now);
        return update.running;
    }

    void callsOfAllNodesAreSummed()
    {
        this->ask("n1", false, { { "s1", 2 }, { "s2", 1 } });
        auto sums = this->ask("n2", false, { { "s1", 3 } });
        CPPUNIT_ASSERT((sums == std::vector<ServerRunning> { { "s1", 5 }, { "s2", 1 } }));
        sums = this->ask("n2", false, {});
        CPPUNIT_ASSERT((sums == std::vector<ServerRunning> { { "s1", 2 }, { "s2", 1 } }));
        CPPUNIT_ASSERT(this->ask("", false, { { "s1", 100 } }).empty());
    }

    // Sums that went around between data centres would grow without end.
    void otherDataCentresAreNotToldTwice()
    {
        this->ask("n1", false, { { "s1", 2 } });
        auto forOther = this->ask("publisher-b", true, { { "s1", 4 } });
        CPPUNIT_ASSERT((forOther == std::vector<ServerRunning> { { "s1", 2 } }));
        CPPUNIT_ASSERT((this->ask("n1", false, { { "s1", 2 } }) == std::vector<ServerRunning> { { "s1", 6 } }));
    }

    void silentNodeLeavesNoCalls()
    {
        this->ask("n1", false, { { "s1", 2 } });
        this->now += LoadTable::memory + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(this->ask("n2", false, {}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTableTest);

} // namespace lovagecross
