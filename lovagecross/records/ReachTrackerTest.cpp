#include "lovagecross/records/ReachTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

} // namespace

class ReachTrackerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReachTrackerTest);
    CPPUNIT_TEST(oneMissedRoundTurnsNobodyAway);
    CPPUNIT_TEST(confirmedMissTurnsCallersAway);
    CPPUNIT_TEST(cutDataCentreNamesTheTimeOfTheBalancer);
    CPPUNIT_TEST(outageOfAllNodesTurnsNobodyAway);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;

    // A lost packet delays a vote by 200 ms; a node that left the rotation for it would be missed for seconds.
    void oneMissedRoundTurnsNobodyAway()
    {
        ReachTracker tracker;
        tracker.round(true, true, false, this->clock.now());
        tracker.round(false, true, false, this->clock.now());
        CPPUNIT_ASSERT(tracker.reach() == Reach::Doubtful && !tracker.shouldTurnAway());
        tracker.round(false, true, false, this->clock.now());
        CPPUNIT_ASSERT(tracker.reach() == Reach::Doubtful);
        tracker.round(true, true, true, this->clock.now());
        CPPUNIT_ASSERT(tracker.reach() == Reach::Reachable);
    }

    // Calls that keep arriving at a node that is cut off each waited for votes that could not come.
    void confirmedMissTurnsCallersAway()
    {
        ReachTracker tracker;
        tracker.round(true, true, false, this->clock.now());
        tracker.round(false, false, false, this->clock.now());
        tracker.round(false, false, true, this->clock.now());
        CPPUNIT_ASSERT(tracker.reach() == Reach::Cut && tracker.shouldTurnAway());
        CPPUNIT_ASSERT(tracker.retryAfter(this->clock.now()) < milliseconds(100));
        tracker.round(true, true, true, this->clock.now());
        CPPUNIT_ASSERT(!tracker.shouldTurnAway());
    }

    // Before the balancer has noticed, a caller that comes back is sent to the same data centre.
    void cutDataCentreNamesTheTimeOfTheBalancer()
    {
        ReachTracker tracker;
        tracker.round(false, true, false, this->clock.now());
        this->clock.advance(milliseconds(300));
        tracker.round(false, true, true, this->clock.now());
        CPPUNIT_ASSERT(tracker.retryAfter(this->clock.now()) == ReachTracker::balancerNotice - milliseconds(300));
        this->clock.advance(std::chrono::seconds(5));
        CPPUNIT_ASSERT(tracker.retryAfter(this->clock.now()) < milliseconds(100));
    }

    // When no node reaches the record nodes, leaving the rotation would only stop the calls that need no records.
    void outageOfAllNodesTurnsNobodyAway()
    {
        ReachTracker tracker;
        tracker.round(false, false, false, this->clock.now());
        tracker.round(false, false, true, this->clock.now());
        tracker.heard({ 3, 0, 2 });
        CPPUNIT_ASSERT(!tracker.shouldTurnAway());
        tracker.heard({ 3, 0, 1 }); // only the node of the own data centre answers: it is the data centre that is cut
        CPPUNIT_ASSERT(tracker.shouldTurnAway());
        tracker.heard({ 3, 1, 2 });
        CPPUNIT_ASSERT(tracker.shouldTurnAway());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachTrackerTest);

} // namespace lovagecross
