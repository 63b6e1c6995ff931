#include "lovagecross/gateway/PlacementSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace lovagecross {

namespace {

PlacementFleet fleetA()
{
    PlacementFleet fleet;
    fleet.engines = { 15, 15, 14 };
    fleet.plainServers = { 30, 30, 29 };
    fleet.nodes = { 27, 34, 30 };
    return fleet;
}

PlacementFleet fleetB()
{
    PlacementFleet fleet;
    fleet.engines = { 24, 24, 23 };
    fleet.plainServers = { 23, 23, 22 };
    fleet.nodes = { 25, 25, 24 };
    fleet.slots = 16;
    fleet.cacheTokens = 118'344;
    fleet.stepMillis = 6.73;
    fleet.prefillTokensPerMilli = 30.6;
    fleet.chunkTokens = 4096;
    return fleet;
}

PlacementFleet smallFleet()
{
    PlacementFleet fleet;
    fleet.engines = { 3, 3, 3 };
    fleet.plainServers = { 2, 2, 2 };
    fleet.nodes = { 3, 3, 2 };
    fleet.callers = 16;
    fleet.programsPerSecond = 18;
    return fleet;
}

// The baseline: an engine is chosen by session among all of them, and prompts and running calls cost little.
PlacementPolicy formerPolicy()
{
    PlacementPolicy policy;
    policy.byProgram = false;
    policy.byFirstPart = false;
    policy.byHistory = false;
    policy.plainSubset = false;
    policy.settings.prefillWeight = 1;
    policy.settings.loadMillisPerCall = 1;
    policy.settings.engineOtherDataCentreMillis = policy.settings.otherDataCentreMillis;
    policy.settings.rankToleranceMillis = 1;
    return policy;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

double connectionsPerCall(const PlacementOutcome& outcome)
{
    return share(outcome.connections, outcome.turns + outcome.plainCalls);
}

PlacementOutcome play(const char* name, const PlacementFleet& fleet, const PlacementPolicy& policy)
{
    PlacementOutcome outcome = playPlacement(fleet, policy);
    std::cout << "\n  " << name << ": prompt tokens read " << outcome.promptTokens / 1000 << "k, shared parts again "
              << 100 * share(outcome.sharedTokensAgain, outcome.promptTokens) << "%, programs in time "
              << 100 * share(outcome.inTime, outcome.programs) << "% of " << outcome.programs << ", left data centre "
              << 100 * share(outcome.leftDataCentre, outcome.turns) << "%, connections a call "
              << connectionsPerCall(outcome) << ", plain calls beyond slots "
              << 100 * share(outcome.plainCallsBeyondSlots, outcome.plainCalls) << "%, first token after "
              << outcome.meanFirstTokenMillis << " ms" << std::flush;
    return outcome;
}

} // namespace

class PlacementSimulationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementSimulationTest);
    CPPUNIT_TEST(largeFleetsReadAndConnectLess);
    CPPUNIT_TEST(heavyLoadIsServedInTimeMoreOften);
    CPPUNIT_TEST(smallFleetsAreServedNoWorse);
    CPPUNIT_TEST_SUITE_END();

    // Engines that read the same first parts again and again have no time for the streams that they run, and nodes that
    // call every server open connections all the time.
    void largeFleetsReadAndConnectLess()
    {
        for (const PlacementFleet& fleet : { fleetA(), fleetB() }) {
            PlacementOutcome former = play("former", fleet, formerPolicy());
            PlacementOutcome now = play("now", fleet, {});
            CPPUNIT_ASSERT(share(now.sharedTokensAgain, now.promptTokens) < 0.12);
            CPPUNIT_ASSERT(now.promptTokens < former.promptTokens);
            CPPUNIT_ASSERT(connectionsPerCall(now) < std::min(0.15, connectionsPerCall(former) / 2));
        }
    }

    // With little memory for cached prompts, each engine that a program or a first part comes to reads it again.
    void heavyLoadIsServedInTimeMoreOften()
    {
        for (PlacementFleet fleet : { fleetA(), fleetB() }) {
            fleet.cacheTokens /= 4;
            PlacementOutcome former = play("little memory, former", fleet, formerPolicy());
            PlacementOutcome now = play("little memory, now", fleet, {});
            CPPUNIT_ASSERT(share(now.sharedTokensAgain, now.promptTokens) < 0.12);
            CPPUNIT_ASSERT(share(now.inTime, now.programs) > share(former.inTime, former.programs) + 0.05);
        }
    }

    // Guards against small fleets that lose programs, or read prompts again, because few engines serve each first part.
    void smallFleetsAreServedNoWorse()
    {
        PlacementFleet middle = smallFleet();
        middle.engines = { 15, 15, 15 };
        middle.plainServers = { 6, 6, 5 };
        middle.nodes = { 20, 20, 19 };
        middle.callers = 120;
        middle.programsPerSecond = 90;
        for (const PlacementFleet& fleet : { smallFleet(), middle }) {
            PlacementOutcome former = play("small fleet, former", fleet, formerPolicy());
            PlacementOutcome now = play("small fleet, now", fleet, {});
            CPPUNIT_ASSERT(share(now.inTime, now.programs) >= share(former.inTime, former.programs) - 0.005);
            CPPUNIT_ASSERT(share(now.promptTokens, former.promptTokens) < 1.1);
            CPPUNIT_ASSERT(now.leftDataCentre <= former.leftDataCentre);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementSimulationTest);

} // namespace lovagecross
