// Record nodes under schedules of one kind of trouble each, on the simulation.

#include "lovagecross/records/simulation/RecordSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace lovagecross {

namespace {

constexpr int programs = 6;
constexpr Duration roundDuration = std::chrono::milliseconds(300);

} // namespace

class RecordScenarioTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordScenarioTest);
    CPPUNIT_TEST(nodeKilledAtAnyStepOfAFillVotesOnNothingThatItLacks);
    CPPUNIT_TEST(nodesRetireOnlyAfterTheirRecordsWereTakenOver);
    CPPUNIT_TEST(nodesThatStopAtOnceLoseNothing);
    CPPUNIT_TEST(lostDiskIsRefilledOverRestarts);
    CPPUNIT_TEST(lateFirstStartVotesOnNothingThatItLacks);
    CPPUNIT_TEST(fetchThatTheDiskRefusesIsRepeated);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int seedsOfAScenario = 12;

    static void fail(std::uint64_t seed, const RecordSimulation& simulation, const std::string& violation)
    {
        std::cerr << "seed " << seed << ": " << violation << "\n";
        for (const std::string& line : simulation.schedule())
            std::cerr << "  " << line << "\n";
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + violation);
    }

    // Starts the nodes without faults; the programs spend their budgets, and turns are kept.
    static void startWithRecords(RecordSimulation& simulation)
    {
        simulation.setFaults(false);
        simulation.startNodes();
        for (int i = 0; i < 40; ++i)
            simulation.reserve("p" + std::to_string(i % programs));
        for (int i = 0; i < 20; ++i)
            simulation.keepTurn();
    }

    // Lets nodes leave the roster, while the other nodes do nothing but answer.
    static void leaveRoster(RecordSimulation& simulation, const std::vector<std::string>& names)
    {
        for (const std::string& name : names)
            simulation.retire(name);
        for (int i = 0; i < 10; ++i) {
            simulation.advance(roundDuration);
            for (const std::string& name : names) {
                if (simulation.inRoster(name))
                    simulation.maintain(name);
            }
        }
        for (const std::string& name : names)
            CPPUNIT_ASSERT(!simulation.inRoster(name));
    }

    static void expectNoViolation(RecordSimulation& simulation, std::uint64_t seed)
    {
        simulation.settleDown();
        std::string violation = simulation.check();
        if (!violation.empty())
            fail(seed, simulation, violation);
    }

    // Guards against a node that votes after a restart although it was killed between a roster change and the end of
    // its fill: at each message that it sends in between, with the leaving node gone afterwards.
    void nodeKilledAtAnyStepOfAFillVotesOnNothingThatItLacks()
    {
        bool reachedEnd = false;
        for (int deliveries = 0; !reachedEnd; ++deliveries) {
            CPPUNIT_ASSERT(deliveries < 200);
            RecordSimulation simulation(static_cast<std::uint64_t>(deliveries) + 1);
            startWithRecords(simulation);
            leaveRoster(simulation, { "n5" });
            simulation.killAfterDeliveries("n2", deliveries); // n2 is in the same data centre
            reachedEnd = !simulation.wasKilled("n2");
            if (!reachedEnd)
                simulation.restart("n2");
            expectNoViolation(simulation, static_cast<std::uint64_t>(deliveries) + 1);
        }
    }

    // Guards against retirements that are reported as completed while other nodes still fetch the records.
    void nodesRetireOnlyAfterTheirRecordsWereTakenOver()
    {
        for (int seed = 1; seed <= seedsOfAScenario; ++seed) {
            RecordSimulation simulation(static_cast<std::uint64_t>(seed), { 0, {}, 6, 6 });
            startWithRecords(simulation);
            leaveRoster(simulation, { "n4", "n5" });
            for (int round = 0; round < 20; ++round) {
                simulation.advance(roundDuration);
                for (const char* name : { "n4", "n5", "n1", "n3", "n6" }) // n2 has not fetched yet
                    simulation.maintain(name);
                CPPUNIT_ASSERT(!simulation.retired("n4") && !simulation.retired("n5"));
            }
            expectNoViolation(simulation, static_cast<std::uint64_t>(seed));
            CPPUNIT_ASSERT(simulation.retired("n4") && simulation.retired("n5"));
        }
    }

    // Guards against budgets that are granted anew because all nodes have left the roster for an orderly stop at once.
    void nodesThatStopAtOnceLoseNothing()
    {
        for (int seed = 1; seed <= seedsOfAScenario; ++seed) {
            RecordSimulation simulation(static_cast<std::uint64_t>(seed), { 0, {}, 6, 6 });
            startWithRecords(simulation);
            const std::vector<std::string> all { "n1", "n2", "n3", "n4", "n5", "n6" };
            for (const std::string& name : all)
                simulation.retire(name);
            for (int round = 0; round < seed % 6; ++round) {
                simulation.advance(roundDuration);
                for (const std::string& name : all)
                    simulation.maintain(name);
            }
            for (const std::string& name : all) {
                simulation.kill(name);
                simulation.stopLeaving(name);
            }
            for (const std::string& name : all)
                simulation.restart(name);
            expectNoViolation(simulation, static_cast<std::uint64_t>(seed));
        }
    }

    // Guards against a node that lost its disk and takes itself for complete after a restart, while a source is down.
    void lostDiskIsRefilledOverRestarts()
    {
        for (int seed = 1; seed <= seedsOfAScenario; ++seed) {
            RecordSimulation simulation(static_cast<std::uint64_t>(seed), { 0, {}, 3, 3 });
            startWithRecords(simulation);
            simulation.kill("n3");
            simulation.wipe("n2");
            simulation.restart("n2");
            for (int round = 0; round < 6; ++round) {
                simulation.advance(roundDuration);
                simulation.maintain("n2");
            }
            simulation.kill("n2");
            simulation.restart("n2");
            for (int i = 0; i < 60; ++i)
                simulation.reserve("p" + std::to_string(i % programs));
            simulation.restart("n3");
            expectNoViolation(simulation, static_cast<std::uint64_t>(seed));
        }
    }

    // Guards against a node that is started for the first time after the others have records, and votes without them.
    void lateFirstStartVotesOnNothingThatItLacks()
    {
        for (int seed = 1; seed <= seedsOfAScenario; ++seed) {
            RecordSimulation simulation(static_cast<std::uint64_t>(seed), { 0, {}, 4, 5 });
            startWithRecords(simulation);
            std::string late = simulation.add(true);
            for (int i = 0; i < 5 && !simulation.inRoster(late); ++i) {
                simulation.advance(roundDuration);
                simulation.maintain(late);
            }
            for (int i = 0; i < 60; ++i)
                simulation.reserve("p" + std::to_string(i % programs));
            expectNoViolation(simulation, static_cast<std::uint64_t>(seed));
        }
    }

    // Guards against records that were fetched but not written, and count as fetched after a restart.
    void fetchThatTheDiskRefusesIsRepeated()
    {
        for (int seed = 1; seed <= seedsOfAScenario; ++seed) {
            RecordSimulation simulation(static_cast<std::uint64_t>(seed));
            startWithRecords(simulation);
            leaveRoster(simulation, { "n5" });
            simulation.failNextWrite("n2");
            simulation.settleDown();
            CPPUNIT_ASSERT(simulation.retired("n5"));
            simulation.kill("n2");
            simulation.restart("n2");
            expectNoViolation(simulation, static_cast<std::uint64_t>(seed));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordScenarioTest);

} // namespace lovagecross
