#include "lovagecross/spill/SpillControl.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

LoadSummary summary(const std::string& dataCentre, std::uint32_t running, std::uint32_t nodes)
{
    return { dataCentre, { "tool", running, 0, 0, 200 }, nodes, milliseconds(100) };
}

} // namespace

class SpillControlTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpillControlTest);
    CPPUNIT_TEST(nothingLeavesWithoutKnowledge);
    CPPUNIT_TEST(nothingLeavesWhileTheNumberOfNodesChanges);
    CPPUNIT_TEST(callsLeaveUpToTheLimit);
    CPPUNIT_TEST(conversationsLeaveTogether);
    CPPUNIT_TEST(onlyTheDecidedShareOfConversationsLeaves);
    CPPUNIT_TEST(repeatedDecisionsDontUseTheRoomTwice);
    CPPUNIT_TEST(leavingEndsWhenNothingIsHeard);
    CPPUNIT_TEST(reportHasCallsThatAreOnTheirWay);
    CPPUNIT_TEST(recentMinimumAndCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Until the number of nodes counts as steady.
    void setUp() override
    {
        for (int i = 0; i < 6; ++i)
            this->hear(50, 50);
    }

private:
    ManualClock clock;
    Counters counters;
    SpillControl spill { { "e1", "a" }, this->clock, this->counters };
    const SlotTable slots { { "tool", { { "a", 100 }, { "b", 100 } } } };

    void hear(std::uint32_t runningHere, std::uint32_t runningThere, Duration after = milliseconds(300))
    {
        this->clock.advance(after);
        this->spill.learn(
            { summary("a", runningHere, 10), summary("b", runningThere, 10) }, 0, milliseconds(2), this->slots);
    }

    std::vector<SpillPermit> leave(int calls)
    {
        std::vector<SpillPermit> permits;
        for (int i = 0; i < calls; ++i) {
            SpillPermit permit = this->spill.mayLeave("tool", static_cast<std::uint64_t>(i), {});
            if (permit)
                permits.push_back(std::move(permit));
        }
        return permits;
    }

    // Guards against decisions on a sum that lacks some nodes or has them twice: its room or need doesn't exist.
    void nothingLeavesWhileTheNumberOfNodesChanges()
    {
        this->hear(150, 20);
        CPPUNIT_ASSERT(!this->leave(1000).empty());
        this->clock.advance(milliseconds(300));
        this->spill.learn({ summary("a", 150, 10), summary("b", 10, 5) }, 0, milliseconds(2), this->slots);
        CPPUNIT_ASSERT(this->leave(1000).empty());
        for (int i = 0; i < 6; ++i) {
            this->hear(150, 20);
            CPPUNIT_ASSERT(this->leave(1000).empty());
        }
        this->hear(150, 20);
        CPPUNIT_ASSERT(!this->leave(1000).empty());
    }

    // Guards against calls that leave although no loads are known, as beside record nodes of an earlier build.
    void nothingLeavesWithoutKnowledge()
    {
        CPPUNIT_ASSERT(this->leave(50).empty());
        this->spill.learn({}, 0, milliseconds(2), this->slots);
        this->spill.step(this->slots);
        CPPUNIT_ASSERT(this->leave(50).empty());
    }

    // Guards against more calls in a target than the limit, and against calls that still count after their end.
    void callsLeaveUpToTheLimit()
    {
        this->hear(150, 20);
        std::vector<SpillPermit> permits = this->leave(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), permits.size()); // (80 - 20) calls of 10 nodes
        CPPUNIT_ASSERT_EQUAL(std::string("b"), permits[0].dataCentre());
        CPPUNIT_ASSERT(this->counters.snapshot().at("spill.keptAtLimit") > 0);
        permits.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->leave(1000).size());
    }

    // Guards against turns of one conversation that go to different data centres: each change makes an engine read the
    // conversation again.
    void conversationsLeaveTogether()
    {
        this->hear(150, 20);
        for (std::uint64_t conversation = 0; conversation < 100; ++conversation) {
            bool first = bool(this->spill.mayLeave("tool", conversation, {}));
            for (int turn = 0; turn < 5; ++turn)
                CPPUNIT_ASSERT_EQUAL(first, bool(this->spill.mayLeave("tool", conversation, {})));
        }
    }

    // Guards against a draw that lets more or fewer conversations leave than was decided.
    void onlyTheDecidedShareOfConversationsLeaves()
    {
        constexpr int conversations = 1000;
        this->hear(150, 20);
        double share = this->spill.decisionOf("tool").share;
        CPPUNIT_ASSERT(share > 0);
        int left = 0;
        for (std::uint64_t conversation = 0; conversation < conversations; ++conversation)
            left += this->spill.mayLeave("tool", conversation, {}) ? 1 : 0; // the permit ends at once
        CPPUNIT_ASSERT(std::abs(left - share * conversations) < 50);
    }

    // Guards against a second use of the same room: the next summaries don't have the calls yet that left just before.
    void repeatedDecisionsDontUseTheRoomTwice()
    {
        std::vector<SpillPermit> all;
        for (int i = 0; i < 3; ++i) {
            this->hear(150, 20, milliseconds(50)); // within the age of one summary
            for (SpillPermit& permit : this->leave(1000))
                all.push_back(std::move(permit));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), all.size());
    }

    // Guards against calls that go on leaving after the record nodes are gone or the data centre is cut off.
    void leavingEndsWhenNothingIsHeard()
    {
        this->hear(150, 20);
        this->clock.advance(milliseconds(890));
        this->spill.step(this->slots);
        CPPUNIT_ASSERT(!this->leave(1000).empty());
        this->clock.advance(milliseconds(20));
        this->spill.step(this->slots);
        CPPUNIT_ASSERT(this->leave(1000).empty());
        CPPUNIT_ASSERT(this->spill.decisionOf("tool").reason == SpillReason::OldKnowledge);
    }

    // Guards against a report without the calls that have left and not reached a server yet: they use the room, too.
    void reportHasCallsThatAreOnTheirWay()
    {
        this->hear(150, 20);
        std::vector<SpillPermit> permits = this->leave(1000);
        NodeLoad load = this->spill.report({ { "tool", 5, 0, 0, 200, { { "b", 1 }, { "c", 2 } } }, { "other" } });
        CPPUNIT_ASSERT(load.node == "e1" && load.dataCentre == "a" && load.services.size() == 2);
        CPPUNIT_ASSERT(load.services[0].sent[0].running == 6 && load.services[0].sent[0].reserved == 6);
        CPPUNIT_ASSERT(load.services[0].sent[1].running == 2 && load.services[0].sent[1].reserved == 0);
        CPPUNIT_ASSERT(load.services[1].sent.empty());
    }

    // Guards against a minimum that is forgotten too early, which makes room where there is none, and a count that is
    // kept for too long, by which calls go on leaving.
    void recentMinimumAndCount()
    {
        RecentMinimum minimum;
        RecentCount count;
        TimePoint start(milliseconds(10'000));
        minimum.set(5, start);
        minimum.set(2, start + milliseconds(300));
        minimum.set(7, start + milliseconds(400));
        count.add(start);
        count.add(start + milliseconds(400));
        TimePoint later = start + milliseconds(900);
        CPPUNIT_ASSERT_EQUAL(2U, minimum.since(start + milliseconds(100), later));
        CPPUNIT_ASSERT_EQUAL(7U, minimum.since(start + milliseconds(600), later));
        CPPUNIT_ASSERT_EQUAL(2U, count.inLastSecond(later));
        CPPUNIT_ASSERT_EQUAL(1U, count.inLastSecond(later + milliseconds(200)));
        CPPUNIT_ASSERT_EQUAL(7U, minimum.since(later, later + std::chrono::hours(1)));
        CPPUNIT_ASSERT_EQUAL(0U, count.inLastSecond(later + std::chrono::hours(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillControlTest);

} // namespace lovagecross
