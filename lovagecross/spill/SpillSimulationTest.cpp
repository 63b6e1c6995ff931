// Tests entry and record nodes of several data centres together, in simulated time and without a network.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/spill/SimulatedFleet.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <numbers>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double roomKnownFor = 2.2; // seconds for which room that was there may still be used
constexpr double roomTolerance = 0.125; // of the fillable slots: as many nodes may be missing in a sum
constexpr double longestOverlap = 1; // seconds for which two data centres may send to each other
constexpr double longestEnd = 2.5; // seconds from level load until no call of another data centre runs
constexpr std::uint64_t schedulesInCi = 300;

// The worst values that were seen in a run of a fleet.
class Observer {
public:
    explicit Observer(const SimulatedFleet& observed, std::size_t dataCentres, std::uint32_t slots)
        : fleet(observed)
        , count(dataCentres)
        , fillable(SpillSettings().fillableLoad * slots)
        , rooms(dataCentres)
    {
    }

    void look()
    {
        for (std::size_t i = 0; i < this->count; ++i) {
            auto room = static_cast<std::int64_t>(this->fillable) - this->fleet.ownCalls(i);
            this->rooms[i].push_back(std::max<std::int64_t>(0, room));
            auto known = static_cast<std::size_t>(roomKnownFor * seconds(1) / SimulatedFleet::tickTime);
            auto begin = this->rooms[i].end() - static_cast<std::ptrdiff_t>(std::min(known, this->rooms[i].size()));
            std::int64_t most = *std::max_element(begin, this->rooms[i].end());
            this->mostOverRoom = std::max(this->mostOverRoom, std::int64_t(this->fleet.taken(i)) - most);
            this->mostTaken = std::max(this->mostTaken, this->fleet.taken(i));
            for (std::size_t j = 0; j < i; ++j) {
                double& overlap = this->overlaps[{ i, j }];
                bool both = this->fleet.sends(i, j) && this->fleet.sends(j, i);
                overlap = both ? overlap + std::chrono::duration<double>(SimulatedFleet::tickTime).count() : 0;
                this->longestOverlapSeen = std::max(this->longestOverlapSeen, overlap);
            }
        }
    }

    std::int64_t mostOverRoom = 0; // calls taken beyond the room
    std::uint32_t mostTaken = 0;
    double longestOverlapSeen = 0; // seconds

private:
    const SimulatedFleet& fleet;
    const std::size_t count;
    const double fillable;
    std::vector<std::vector<std::int64_t>> rooms; // of each tick, by data centre
    std::map<std::pair<std::size_t, std::size_t>, double> overlaps;
};

bool anyLeaves(const SimulatedFleet& fleet, std::size_t dataCentres)
{
    for (std::size_t i = 0; i < dataCentres; ++i) {
        if (fleet.taken(i) > 0)
            return true;
    }
    return false;
}

} // namespace

class SpillSimulationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpillSimulationTest);
    CPPUNIT_TEST(floodIsSharedAtEverySize);
    CPPUNIT_TEST(waveGoesOneWayAtATime);
    CPPUNIT_TEST(nothingLeavesIntoACutDataCentre);
    CPPUNIT_TEST(fullDataCentresKeepTheirCalls);
    CPPUNIT_TEST(randomSchedules);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setUpLogging(LogLevel::Warning, LogFormat::Json); }

private:
    using Demand = std::function<double(std::size_t dataCentre, double seconds)>;

    static std::uint64_t refusedIn(SimulatedFleet& fleet, const Demand& demand, Observer& seen)
    {
        fleet.demand = demand;
        while (fleet.seconds() < 30) {
            fleet.tick();
            seen.look();
        }
        return fleet.refused(0) + fleet.refused(1);
    }

    static std::uint64_t refusedWithoutLeaving(FleetShape shape, const Demand& demand)
    {
        shape.leaves = false;
        SimulatedFleet fleet(shape, 1);
        Observer seen(fleet, shape.dataCentres, shape.slots);
        return refusedIn(fleet, demand, seen);
    }

    // Guards against many nodes that exceed the room by deciding at once on the same summary, and against few nodes
    // that leave it unused.
    void floodIsSharedAtEverySize()
    {
        auto flood = [](std::size_t dataCentre, double) { return dataCentre == 0 ? 1.4 : 0.4; };
        for (std::size_t nodes : { 3U, 74U, 300U }) {
            FleetShape shape { .dataCentres = 3, .nodes = nodes };
            SimulatedFleet fleet(shape, 1);
            Observer seen(fleet, 3, shape.slots);
            std::uint64_t refused = refusedIn(fleet, flood, seen);
            std::uint64_t refusedBefore = refusedWithoutLeaving(shape, flood);
            std::cout << " [" << nodes << " nodes: refused " << refused << ", without leaving " << refusedBefore
                      << ", most taken " << seen.mostTaken << ", over room " << seen.mostOverRoom << "]";
            CPPUNIT_ASSERT(seen.mostOverRoom <= 0 && seen.longestOverlapSeen == 0);
            CPPUNIT_ASSERT(refused * 3 < refusedBefore * 2);
        }
    }

    // Guards against calls in both directions at once between data centres whose demand swings in opposite phase.
    void waveGoesOneWayAtATime()
    {
        for (double swing : { 0.27, 0.55 }) {
            auto wave = [swing](std::size_t dataCentre, double time) {
                return 0.75 * (1 + swing * std::sin(std::numbers::pi * (time / 6 + double(dataCentre))));
            };
            FleetShape shape { .dataCentres = 2, .nodes = 60 };
            SimulatedFleet fleet(shape, 2);
            Observer seen(fleet, 2, shape.slots);
            std::uint64_t refused = refusedIn(fleet, wave, seen);
            std::uint64_t refusedBefore = refusedWithoutLeaving(shape, wave);
            std::cout << " [swing " << swing << ": refused " << refused << ", without leaving " << refusedBefore
                      << ", most taken " << seen.mostTaken << ", over room " << seen.mostOverRoom << ", overlap "
                      << seen.longestOverlapSeen << " s]";
            CPPUNIT_ASSERT(seen.mostOverRoom <= 0 && seen.longestOverlapSeen <= longestOverlap);
            CPPUNIT_ASSERT(refused <= refusedBefore);
        }
    }

    // Guards against calls into a data centre that is cut off, and against more than one change of the decision after
    // the cut has ended.
    void nothingLeavesIntoACutDataCentre()
    {
        FleetShape shape { .dataCentres = 2, .nodes = 60 };
        SimulatedFleet fleet(shape, 3);
        Observer seen(fleet, 2, shape.slots);
        fleet.demand = [](std::size_t dataCentre, double) { return dataCentre == 0 ? 1.2 : 0.3; };
        bool leftBefore = false;
        int changesAfter = 0;
        bool lastSends = false;
        while (fleet.seconds() < 24) {
            double time = fleet.seconds();
            fleet.cut(1, time >= 6 && time < 12);
            fleet.tick();
            seen.look();
            bool sends = fleet.sends(0, 1);
            leftBefore = leftBefore || (time < 6 && sends);
            CPPUNIT_ASSERT(time < 7.4 || time >= 12 || (!sends && fleet.taken(1) == 0));
            CPPUNIT_ASSERT(!fleet.sends(1, 0));
            changesAfter += time >= 12 && sends != lastSends ? 1 : 0;
            lastSends = sends;
        }
        CPPUNIT_ASSERT(leftBefore && lastSends && changesAfter == 1 && seen.mostOverRoom <= 0);
    }

    // Guards against calls that leave although no data centre has room for them.
    void fullDataCentresKeepTheirCalls()
    {
        SimulatedFleet fleet({ .dataCentres = 3, .nodes = 30 }, 4);
        fleet.demand = [](std::size_t, double time) { return time < 2 ? 1.0 : 1.5; };
        while (fleet.seconds() < 15) {
            fleet.tick();
            CPPUNIT_ASSERT(!anyLeaves(fleet, 3));
        }
    }

    // One schedule: demand that jumps, cuts, kills of record nodes, late and lost messages; then level load.
    static void runSchedule(std::uint64_t seed, Observer& worst, double& slowestEnd, std::uint64_t& leaving)
    {
        std::mt19937_64 random(seed);
        auto below = [&random](std::size_t limit) { return std::size_t(random() % limit); };
        FleetShape shape;
        shape.dataCentres = 2 + below(2);
        shape.nodes = 3 + below(seed % 20 == 0 ? 298 : 40);
        shape.slots = static_cast<std::uint32_t>(90 + below(300));
        shape.callTime = milliseconds(50 + below(350));
        shape.lostMessages = below(2) * 0.05;
        shape.lateMessages = below(2) * 0.1;
        SimulatedFleet fleet(shape, seed);
        Observer seen(fleet, shape.dataCentres, shape.slots);
        std::vector<double> level(shape.dataCentres, 0.5);
        constexpr double levelFrom = 14;
        fleet.demand
            = [&level](std::size_t dataCentre, double time) { return time < levelFrom ? level[dataCentre] : 0.4; };
        std::vector<double> cutUntil(shape.dataCentres, 0);
        double endedAt = levelFrom;
        while (fleet.seconds() < levelFrom + longestEnd + 2) {
            double time = fleet.seconds();
            if (time < levelFrom - 6 && below(150) == 0)
                cutUntil[below(shape.dataCentres)] = time + 0.5 + double(below(55)) / 10;
            if (time < levelFrom && below(100) == 0)
                level[below(shape.dataCentres)] = double(below(160)) / 100;
            if (time < levelFrom && below(300) == 0)
                fleet.killRecordNode(below(shape.dataCentres * shape.recordNodes), milliseconds(300 + below(4000)));
            for (std::size_t i = 0; i < shape.dataCentres; ++i)
                fleet.cut(i, time < cutUntil[i]);
            fleet.tick();
            seen.look();
            if (anyLeaves(fleet, shape.dataCentres))
                endedAt = std::max(levelFrom, fleet.seconds());
        }
        slowestEnd = std::max(slowestEnd, endedAt - levelFrom);
        leaving += seen.mostTaken > 0 ? 1 : 0;
        worst.mostOverRoom = std::max(worst.mostOverRoom, seen.mostOverRoom);
        worst.mostTaken = std::max(worst.mostTaken, seen.mostTaken);
        worst.longestOverlapSeen = std::max(worst.longestOverlapSeen, seen.longestOverlapSeen);
        std::string where = "seed " + std::to_string(seed) + ": over room " + std::to_string(seen.mostOverRoom)
            + ", overlap " + std::to_string(seen.longestOverlapSeen) + " s, end after "
            + std::to_string(endedAt - levelFrom) + " s";
        CPPUNIT_ASSERT_MESSAGE(where,
            static_cast<double>(seen.mostOverRoom) <= roomTolerance * SpillSettings().fillableLoad * shape.slots);
        CPPUNIT_ASSERT_MESSAGE(where, seen.longestOverlapSeen <= longestOverlap);
        CPPUNIT_ASSERT_MESSAGE(where, endedAt - levelFrom <= longestEnd);
    }

    // Guards against calls over the room, calls in both directions, and calls that go on leaving when nobody needs it,
    // after any order of failures. LOVAGECROSS_SPILL_SCHEDULES sets another number of schedules, LOVAGECROSS_SPILL_SEED
    // the first seed.
    void randomSchedules()
    {
        const char* number = std::getenv("LOVAGECROSS_SPILL_SCHEDULES");
        const char* first = std::getenv("LOVAGECROSS_SPILL_SEED");
        std::uint64_t schedules = number != nullptr ? std::strtoull(number, nullptr, 10) : schedulesInCi;
        std::uint64_t seed = first != nullptr ? std::strtoull(first, nullptr, 10) : 1;
        SimulatedFleet none({}, 1);
        Observer worst(none, 0, 0);
        double slowestEnd = 0;
        std::uint64_t leaving = 0; // schedules in which calls left
        for (std::uint64_t i = 0; i < schedules; ++i)
            runSchedule(seed + i, worst, slowestEnd, leaving);
        std::cout << " [" << schedules << " schedules, in " << leaving << " calls left: most taken " << worst.mostTaken
                  << ", over room " << worst.mostOverRoom << ", overlap " << worst.longestOverlapSeen
                  << " s, end after " << slowestEnd << " s]";
        CPPUNIT_ASSERT(leaving * 2 > schedules); // otherwise the other assertions say little
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillSimulationTest);

} // namespace lovagecross
