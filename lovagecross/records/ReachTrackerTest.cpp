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

    // A lost packet delays a vote by 200 ms. If a node left the load balancer's rotation for that, its capacity would
    // be missing for seconds.
    void oneMissedRoundTurnsNobodyAway()
    {
        ReachTracker tracker;
        tracker.recordRound(true, true, false, this->clock.now());
        tracker.recordRound(false, true, false, this->clock.now());
        CPPUNIT_ASSERT(tracker.reachability() == Reachability::Suspected && !tracker.shouldLeaveRotation());
        tracker.recordRound(false, true, false, this->clock.now());
        CPPUNIT_ASSERT(tracker.reachability() == Reachability::Suspected);
        tracker.recordRound(true, true, true, this->clock.now());
        CPPUNIT_ASSERT(tracker.reachability() == Reachability::Reachable);
    }

    // Regression test: each call that arrived at a partitioned node waited for votes that could not arrive.
    void confirmedMissTurnsCallersAway()
    {
        ReachTracker tracker;
        tracker.recordRound(true, true, false, this->clock.now());
        tracker.recordRound(false, false, false, this->clock.now());
        tracker.recordRound(false, false, true, this->clock.now());
        CPPUNIT_ASSERT(tracker.reachability() == Reachability::Partitioned && tracker.shouldLeaveRotation());
        CPPUNIT_ASSERT(tracker.retryAfter(this->clock.now()) < milliseconds(100));
        tracker.recordRound(true, true, true, this->clock.now());
        CPPUNIT_ASSERT(!tracker.shouldLeaveRotation());
    }

    // Until the load balancer detects the partition, it routes retries to the same data centre.
    void cutDataCentreNamesTheTimeOfTheBalancer()
    {
        ReachTracker tracker;
        tracker.recordRound(false, true, false, this->clock.now());
        this->clock.advance(milliseconds(300));
        tracker.recordRound(false, true, true, this->clock.now());
        CPPUNIT_ASSERT(
            tracker.retryAfter(this->clock.now()) == ReachTracker::balancerDetectionTime - milliseconds(300));
        this->clock.advance(std::chrono::seconds(5));
        CPPUNIT_ASSERT(tracker.retryAfter(this->clock.now()) < milliseconds(100));
    }

    // If no node reaches the record nodes, leaving the rotation would only stop the calls that need no records.
    void outageOfAllNodesTurnsNobodyAway()
    {
        ReachTracker tracker;
        tracker.recordRound(false, false, false, this->clock.now());
        tracker.recordRound(false, false, true, this->clock.now());
        tracker.recordPeerReachability({ 3, 0, 2 });
        CPPUNIT_ASSERT(!tracker.shouldLeaveRotation());
        // Only one node, in the same data centre, responds: the data centre is partitioned.
        tracker.recordPeerReachability({ 3, 0, 1 });
        CPPUNIT_ASSERT(tracker.shouldLeaveRotation());
        tracker.recordPeerReachability({ 3, 1, 2 });
        CPPUNIT_ASSERT(tracker.shouldLeaveRotation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachTrackerTest);

} // namespace lovagecross
