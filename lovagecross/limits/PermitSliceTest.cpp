#include "lovagecross/limits/PermitSlice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PermitSliceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitSliceTest);
    CPPUNIT_TEST(grantsStayWithinTheRate);
    CPPUNIT_TEST(idleTimeIsNotSavedUp);
    CPPUNIT_TEST(waitingNodesComeBackOneAfterTheOther);
    CPPUNIT_TEST(changedRateIsFollowed);
    CPPUNIT_TEST_SUITE_END();

    TimePoint now { seconds(100) };
    PermitSlice slice;

    int grantsWithin(Duration time)
    {
        int grants = 0;
        for (TimePoint end = this->now + time; this->now < end; this->now += milliseconds(5))
            grants += takePermit(this->slice, this->now).granted ? 1 : 0;
        return grants;
    }

    // Demand far above the rate: a slice that grants more than its rate exceeds the server's limit.
    void grantsStayWithinTheRate()
    {
        setSliceRate(this->slice, 2.5, this->now);
        CPPUNIT_ASSERT(!takePermit(this->slice, this->now).granted); // a new slice is empty
        int grants = this->grantsWithin(seconds(8));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(grants), grants >= 18 && grants <= 20);
    }

    // A burst after a pause: saved-up permits would let a server in need get all of them at once.
    void idleTimeIsNotSavedUp()
    {
        setSliceRate(this->slice, 10, this->now);
        this->now += seconds(60);
        CPPUNIT_ASSERT_EQUAL(5, this->grantsWithin(milliseconds(80)));
        setSliceRate(this->slice, 0.1, this->now);
        this->now += seconds(60);
        CPPUNIT_ASSERT_EQUAL(1, this->grantsWithin(milliseconds(80)));
    }

    // Many nodes in want: if all were told the time of the next permit, all but one would ask in vain each time.
    void waitingNodesComeBackOneAfterTheOther()
    {
        setSliceRate(this->slice, 10, this->now);
        Duration last { 0 };
        for (int i = 0; i < 9; ++i) {
            PermitDecision decision = takePermit(this->slice, this->now);
            CPPUNIT_ASSERT(!decision.granted && decision.retryAfter > last);
            last = decision.retryAfter;
        }
        CPPUNIT_ASSERT(last <= maxPermitRetryAfter);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(takePermit(this->slice, this->now).retryAfter <= maxPermitRetryAfter);
    }

    // A server that recovers or gets worse names another rate.
    void changedRateIsFollowed()
    {
        setSliceRate(this->slice, 10, this->now);
        this->grantsWithin(seconds(1));
        setSliceRate(this->slice, 1, this->now);
        int grants = this->grantsWithin(seconds(4));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(grants), grants >= 3 && grants <= 5);
        setSliceRate(this->slice, 20, this->now);
        grants = this->grantsWithin(seconds(1));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(grants), grants >= 18 && grants <= 21);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitSliceTest);

} // namespace lovagecross
