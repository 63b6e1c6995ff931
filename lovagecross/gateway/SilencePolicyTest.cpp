// Tests of what a call does while its server is silent.

#include "lovagecross/gateway/SilencePolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;

class SilencePolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SilencePolicyTest);
    CPPUNIT_TEST(serverThatPausesForASecondIsNotLeft);
    CPPUNIT_TEST(serverThatAcceptsNoConnectionIsLeft);
    CPPUNIT_TEST(silenceWithinTheTargetMeansNothing);
    CPPUNIT_TEST(eachStepIsCheckedInTime);
    CPPUNIT_TEST_SUITE_END();

    static SilentStream silentFor(Duration silence, ServerContact contact)
    {
        return { silence, milliseconds(300), contact };
    }

    // Guards against streams of a sound server that all move to the others when it pauses.
    void serverThatPausesForASecondIsNotLeft()
    {
        for (int millis = 0; millis < 1400; millis += 50)
            CPPUNIT_ASSERT(
                silenceAction(silentFor(milliseconds(millis), ServerContact::Accepts)) == SilenceAction::Wait);
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(1400), ServerContact::Accepts)) == SilenceAction::Move);
    }

    // Guards against streams that stay at a dead server until their callers leave.
    void serverThatAcceptsNoConnectionIsLeft()
    {
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(599), ServerContact::Unreachable)) == SilenceAction::Wait);
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(599), ServerContact::Unknown)) == SilenceAction::Wait);
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(600), ServerContact::Unknown)) == SilenceAction::Probe);
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(600), ServerContact::Unreachable)) == SilenceAction::Move);
        CPPUNIT_ASSERT(silenceAction(silentFor(milliseconds(1400), ServerContact::Unknown)) == SilenceAction::Move);
    }

    // Guards against moving a stream that is slow by the operator's own target.
    void silenceWithinTheTargetMeansNothing()
    {
        SilentStream slow { milliseconds(2900), std::chrono::seconds(3), ServerContact::Unreachable };
        CPPUNIT_ASSERT(silenceAction(slow) == SilenceAction::Wait);
        slow.silence = std::chrono::seconds(3);
        CPPUNIT_ASSERT(silenceAction(slow) == SilenceAction::Move);
    }

    // Guards against a check that comes late, and against one that is repeated without a pause.
    void eachStepIsCheckedInTime()
    {
        auto next = [](int silence, ServerContact contact) {
            return untilNextSilenceCheck(silentFor(milliseconds(silence), contact));
        };
        CPPUNIT_ASSERT(next(0, ServerContact::Unknown) == milliseconds(600));
        CPPUNIT_ASSERT(next(200, ServerContact::Accepts) == milliseconds(400));
        CPPUNIT_ASSERT(next(600, ServerContact::Accepts) == milliseconds(800));
        CPPUNIT_ASSERT(next(600, ServerContact::Unreachable) == silenceCheckInterval);
        CPPUNIT_ASSERT(next(1390, ServerContact::Accepts) == silenceCheckInterval);
        CPPUNIT_ASSERT(next(5000, ServerContact::Accepts) == silenceCheckInterval);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilencePolicyTest);

} // namespace lovagecross
