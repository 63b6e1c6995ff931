#include "lovagecross/gateway/CrashEvidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashEvidenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashEvidenceTest);
    CPPUNIT_TEST(serverThatAcceptsNothingHasEnded);
    CPPUNIT_TEST(serverWithTooManyConnectionsHasNotEnded);
    CPPUNIT_TEST(newProcessUnderTheIdShowsAnEnd);
    CPPUNIT_TEST(tornConnectionIsNoEnd);
    CPPUNIT_TEST(silentServerHasNotEnded);
    CPPUNIT_TEST(serverThatEndsSoonAfterTheCallerLeftCounts);
    CPPUNIT_TEST(nodeWithoutPathsSeesNoEnd);
    CPPUNIT_TEST(lossWithoutEvidenceIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

    static LostRun refused(Duration age)
    {
        LostRun run;
        run.age = age;
        run.refused = true;
        run.othersReached = true;
        return run;
    }

    // Guards against a server's end that isn't counted.
    void serverThatAcceptsNothingHasEnded()
    {
        CPPUNIT_ASSERT(endEvidence(refused(milliseconds(10))) == EndEvidence::Pending);
        CPPUNIT_ASSERT(endEvidence(refused(milliseconds(100))) == EndEvidence::Ended);
        LostRun closes = refused(milliseconds(100));
        closes.refused = false;
        CPPUNIT_ASSERT(endEvidence(closes) == EndEvidence::Pending);
        closes.closesNewConnections = true;
        CPPUNIT_ASSERT(endEvidence(closes) == EndEvidence::Pending && looksEnded(closes));
        closes.age = milliseconds(500);
        CPPUNIT_ASSERT(endEvidence(closes) == EndEvidence::Ended);
    }

    // Guards against sound requests that are refused because servers with too many connections reset theirs.
    void serverWithTooManyConnectionsHasNotEnded()
    {
        LostRun run = refused(milliseconds(500));
        run.refused = false;
        run.closesNewConnections = true;
        run.answered = true; // on a connection that it had before
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown && !looksEnded(run));
    }

    // Guards against an end that isn't counted since the server was back before anybody tried to connect.
    void newProcessUnderTheIdShowsAnEnd()
    {
        LostRun run;
        run.age = seconds(4);
        run.answered = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown);
        run.restarted = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Ended && looksEnded(run));
    }

    // Guards against sound requests that are refused because a middlebox resets connections or answers get lost.
    void tornConnectionIsNoEnd()
    {
        LostRun run;
        run.age = milliseconds(200);
        run.othersReached = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Pending && !looksEnded(run));
        run = refused(milliseconds(200));
        run.answered = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown && !looksEnded(run));
    }

    // Guards against sound requests that are refused because a path was cut or a rack lost power: their servers fall
    // silent, and may refuse connections once their VMs are back.
    void silentServerHasNotEnded()
    {
        LostRun run = refused(seconds(1));
        run.kind = LossKind::Silent;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Pending && !looksEnded(run));
        run.restarted = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Ended);
    }

    // Guards against a request that ends servers uncounted since its callers don't wait for that, and against a sound
    // request that is blamed for what its server does long after it was told to stop it.
    void serverThatEndsSoonAfterTheCallerLeftCounts()
    {
        LostRun run = refused(milliseconds(500));
        run.kind = LossKind::Abandoned;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Ended && looksEnded(run));
        run.age = abandonedEvidenceTime + milliseconds(1);
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown);
    }

    // Guards against a node that was cut from all servers and takes them all for ended.
    void nodeWithoutPathsSeesNoEnd()
    {
        LostRun run = refused(seconds(2));
        run.othersReached = false;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::Pending);
        run.age = evidenceTime + milliseconds(1);
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown);
    }

    // Guards against losses that are watched without end.
    void lossWithoutEvidenceIsGivenUp()
    {
        LostRun run;
        run.age = evidenceTime + milliseconds(1);
        run.othersReached = true;
        CPPUNIT_ASSERT(endEvidence(run) == EndEvidence::NotShown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

} // namespace lovagecross
