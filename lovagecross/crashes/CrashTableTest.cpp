#include "lovagecross/crashes/CrashTable.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <utility>
#include <vector>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class CrashTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashTableTest);
    CPPUNIT_TEST(callThatEndsThreeServersIsQuarantined);
    CPPUNIT_TEST(oneEndReportedByManyNodesCountsOnce);
    CPPUNIT_TEST(nextProcessUnderTheSameIdCounts);
    CPPUNIT_TEST(delayedReportOfAnEndCountsOnce);
    CPPUNIT_TEST(answeredCallIsClear);
    CPPUNIT_TEST(lateReportOfAnEndBeforeTheAnswerDoesNotCount);
    CPPUNIT_TEST(callBesideTheCauseIsNotQuarantined);
    CPPUNIT_TEST(callThatMetSeveralCausesIsNotQuarantined);
    CPPUNIT_TEST(twoCausesAtTheSameServersAreBothStopped);
    CPPUNIT_TEST(causeThatRanBesideAnotherOneIsStopped);
    CPPUNIT_TEST(ambiguousCallOfManyEndsIsQuarantined);
    CPPUNIT_TEST(reportsInAnyOrderGiveTheSameFinding);
    CPPUNIT_TEST(callsWithTheMostEndsAreKept);
    CPPUNIT_TEST(crashingRequestIsQuarantined);
    CPPUNIT_TEST(unrelatedRequestOfACrashIsCleared);
    CPPUNIT_TEST(repeatedSuspectsAreRetriedSeparately);
    CPPUNIT_TEST(quarantineIsBounded);
    CPPUNIT_TEST_SUITE_END();

    // Two ends are enough, and ambiguous calls are held back, as in the mode with programs.
    static constexpr CrashSettings twoEnds { 2, 1'000'000, seconds(10), std::chrono::hours(1), seconds(1),
        milliseconds(10) };

    static bool refused(CrashTable& table, const std::string& call, TimePoint now)
    {
        CrashVerdict verdict = table.find(call, now).verdict;
        return verdict == CrashVerdict::Quarantined || verdict == CrashVerdict::Ambiguous;
    }

    static ServerEnd end(const std::string& server, TimePoint at, std::int64_t started = 1)
    {
        return { server, started, "v1", at };
    }

    // Guards against a call that is sent to servers without end.
    void callThatEndsThreeServersIsQuarantined()
    {
        CrashTable table;
        TimePoint now;
        for (const char* server : { "s1", "s2", "s3" }) {
            CPPUNIT_ASSERT(table.find("cause", now).verdict != CrashVerdict::Quarantined);
            now += seconds(1);
            CPPUNIT_ASSERT(table.record(end(server, now), "cause"));
        }
        CrashFinding finding = table.find("cause", now + seconds(2));
        CPPUNIT_ASSERT(finding.verdict == CrashVerdict::Quarantined);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), finding.ends);
        CPPUNIT_ASSERT(finding.age == seconds(2) && finding.servers.back() == "s3");
        CPPUNIT_ASSERT(finding.versions == std::set<std::string> { "v1" });
        CPPUNIT_ASSERT(table.find("cause", now + minutes(61)).verdict == CrashVerdict::Unmarked);
    }

    // Guards against a sound call that is refused because several nodes saw the end of one server.
    void oneEndReportedByManyNodesCountsOnce()
    {
        CrashTable table;
        TimePoint now;
        CPPUNIT_ASSERT(table.record(end("s1", now), "call"));
        for (int i = 1; i < 9; ++i)
            CPPUNIT_ASSERT(!table.record(end("s1", now + milliseconds(10 * i)), "call"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), table.find("call", now).ends);
    }

    // Guards against a cause that is not found because the servers come back under their ids.
    void nextProcessUnderTheSameIdCounts()
    {
        CrashTable table;
        TimePoint now;
        for (int process = 1; process <= 3; ++process)
            table.record(end("s1", now + milliseconds(100 * process), process), "call");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), table.find("call", now + seconds(4)).ends);
    }

    // Guards against an end that counts again when a report of it was held up on the way, by a node that was paused or
    // a link that was cut: such a report looks newer than it is.
    void delayedReportOfAnEndCountsOnce()
    {
        CrashTable table;
        TimePoint now;
        for (int delay = 0; delay < 10; ++delay)
            table.record(end("s1", now + seconds(delay)), "call");
        for (int delay = 0; delay < 10; ++delay) // of a server whose start is unknown
            table.record(end("s2", now + seconds(delay), 0), "call");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), table.find("call", now + seconds(10)).ends);
    }

    // Guards against a sound call that collects the ends of hours.
    void answeredCallIsClear()
    {
        CrashTable table;
        TimePoint now;
        for (int i = 0; i < 6; ++i) {
            now += seconds(5);
            table.record(end("s" + std::to_string(i), now), "call");
            if (i % 2 == 1)
                CPPUNIT_ASSERT(table.cleared("call", now + seconds(1)));
            CPPUNIT_ASSERT(table.find("call", now + seconds(2)).verdict != CrashVerdict::Quarantined);
        }
        CPPUNIT_ASSERT(!table.cleared("call", now + seconds(3)));
        CPPUNIT_ASSERT(!table.cleared("unknown", now));
    }

    // Guards against marks that come back with repeated messages after the call was answered.
    void lateReportOfAnEndBeforeTheAnswerDoesNotCount()
    {
        CrashTable table;
        TimePoint now;
        table.record(end("s1", now), "call");
        table.cleared("call", now + seconds(2));
        CPPUNIT_ASSERT(!table.record(end("s2", now + seconds(1)), "call"));
        CPPUNIT_ASSERT(table.find("call", now + seconds(3)).verdict == CrashVerdict::Unmarked);
    }

    // Guards against a sound call that is refused because it ran beside the cause each time.
    void callBesideTheCauseIsNotQuarantined()
    {
        CrashTable table;
        TimePoint now;
        for (const char* server : { "s1", "s2", "s3" }) {
            now += seconds(1);
            table.record(end(server, now), "cause");
            table.record(end(server, now), "beside");
        }
        CPPUNIT_ASSERT(table.find("beside", now).verdict == CrashVerdict::Suspected);
        CPPUNIT_ASSERT(table.find("cause", now).verdict == CrashVerdict::Suspected);
        now += seconds(1);
        table.record(end("s4", now), "cause"); // the next run tells them apart
        CPPUNIT_ASSERT(table.find("cause", now).verdict == CrashVerdict::Quarantined);
        CPPUNIT_ASSERT(table.find("beside", now).verdict == CrashVerdict::Suspected);
    }

    // Guards against a sound call that is refused because it ran beside one cause and then beside another.
    void callThatMetSeveralCausesIsNotQuarantined()
    {
        CrashTable table;
        TimePoint now;
        for (int i = 0; i < 3; ++i) {
            now += seconds(1);
            table.record(end("s" + std::to_string(i), now), "cause");
            if (i > 0)
                table.record(end("s" + std::to_string(i), now), "beside");
        }
        CPPUNIT_ASSERT(table.find("cause", now).verdict == CrashVerdict::Quarantined);
        now += seconds(1);
        table.record(end("s3", now), "beside"); // of another cause
        CPPUNIT_ASSERT(table.find("beside", now).verdict == CrashVerdict::Suspected);
    }

    // Guards against causes that hide each other.
    void twoCausesAtTheSameServersAreBothStopped()
    {
        CrashTable table;
        TimePoint now;
        int ends = 0;
        for (; ends < 20; ++ends) {
            now += seconds(1);
            bool any = false;
            for (const char* call : { "cause1", "cause2" }) {
                if (table.find(call, now).verdict == CrashVerdict::Quarantined)
                    continue;
                table.record(end("s" + std::to_string(ends), now), call);
                any = true;
            }
            if (!any)
                break;
        }
        CPPUNIT_ASSERT(ends <= 5);
    }

    // Guards against a cause that ends a fifth server because another cause ran beside it twice.
    void causeThatRanBesideAnotherOneIsStopped()
    {
        CrashTable table;
        TimePoint now;
        const std::vector<std::pair<const char*, const char*>> servers { { "s1", "s1" }, { "s2", "s3" }, { "s4", "s4" },
            { "s5", "s6" } };
        for (const auto& [first, second] : servers) {
            now += seconds(1);
            table.record(end(first, now), "cause1");
            table.record(end(second, now), "cause2");
        }
        CPPUNIT_ASSERT(table.find("cause1", now).verdict == CrashVerdict::Quarantined);
        CPPUNIT_ASSERT(table.find("cause2", now).verdict == CrashVerdict::Quarantined);
    }

    // Guards against a cause that is never found since other calls are always beside it.
    void ambiguousCallOfManyEndsIsQuarantined()
    {
        CrashTable table;
        TimePoint now;
        for (int i = 0; i < 4; ++i) {
            now += seconds(1);
            for (const char* call : { "cause", "beside" })
                table.record(end("s" + std::to_string(i), now), call);
        }
        CPPUNIT_ASSERT(table.find("cause", now).verdict == CrashVerdict::Quarantined);
    }

    // Guards against nodes that refuse different calls because their messages came in another order.
    void reportsInAnyOrderGiveTheSameFinding()
    {
        TimePoint now;
        std::vector<int> order { 0, 1, 2 };
        do {
            CrashTable table;
            for (int i : order) {
                table.record(end("s" + std::to_string(i), now + seconds(i)), "cause");
                if (i != 2)
                    table.record(end("s" + std::to_string(i), now + seconds(i)), "beside");
            }
            CPPUNIT_ASSERT(table.find("cause", now + seconds(3)).verdict == CrashVerdict::Quarantined);
            CPPUNIT_ASSERT(table.find("beside", now + seconds(3)).verdict == CrashVerdict::Suspected);
            CPPUNIT_ASSERT_EQUAL(std::string("s2"), table.find("cause", now + seconds(3)).servers.back());
        } while (std::next_permutation(order.begin(), order.end()));
    }

    // Guards against one caller's many calls that push a quarantined one out of the memory.
    void callsWithTheMostEndsAreKept()
    {
        CrashTable table;
        TimePoint now;
        for (int i = 0; i < 3; ++i)
            table.record(end("s" + std::to_string(i), now + seconds(i)), "cause");
        now += seconds(9);
        for (int i = 0; i < 25'000; ++i)
            table.record(end("t" + std::to_string(i % 900), now), "call" + std::to_string(i));
        CPPUNIT_ASSERT(table.size() <= CrashTable::maxCalls);
        CPPUNIT_ASSERT(table.find("cause", now).verdict == CrashVerdict::Quarantined);
        table.removeExpired(now + minutes(61));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.size());
        CPPUNIT_ASSERT(!table.knowsPrefix("caus"));
    }

    // A request must not crash one server after another while its caller keeps resending it.
    void crashingRequestIsQuarantined()
    {
        CrashTable table(twoEnds);
        TimePoint now;
        table.record(end("engine1", now, 0), "poison");
        CPPUNIT_ASSERT(!refused(table, "poison", now));
        now += milliseconds(50);
        table.record(end("engine1", now, 0), "poison"); // sent again to the restarted server
        CPPUNIT_ASSERT(refused(table, "poison", now));
        CPPUNIT_ASSERT(refused(table, "poison", now + minutes(59)));
        CPPUNIT_ASSERT(!refused(table, "poison", now + minutes(61)));
    }

    // A request must not be refused because it was running on the same server as one that crashed it.
    void unrelatedRequestOfACrashIsCleared()
    {
        CrashTable table(twoEnds);
        TimePoint now;
        table.record(end("engine1", now, 0), "poison");
        table.record(end("engine1", now, 0), "innocent");
        now += seconds(5);
        table.record(end("engine2", now, 0), "other");
        table.record(end("engine2", now, 0), "poison");
        CPPUNIT_ASSERT(refused(table, "poison", now));
        CPPUNIT_ASSERT(!refused(table, "other", now) && !refused(table, "innocent", now));
        table.cleared("innocent", now);
        table.record(end("engine3", now, 0), "innocent");
        CPPUNIT_ASSERT(!refused(table, "innocent", now));
    }

    // Two requests were lost together twice. Neither may be quarantined for long until they have been retried
    // separately, which shows which one causes the crashes.
    void repeatedSuspectsAreRetriedSeparately()
    {
        CrashTable table(twoEnds);
        TimePoint now;
        for (const char* server : { "engine1", "engine2" }) {
            now += seconds(5);
            table.record(end(server, now, 0), "poison");
            table.record(end(server, now, 0), "innocent");
        }
        CPPUNIT_ASSERT(refused(table, "poison", now) && refused(table, "innocent", now));
        now += 2 * twoEnds.ambiguousHold;
        CPPUNIT_ASSERT(!refused(table, "poison", now) && !refused(table, "innocent", now));
        table.cleared("innocent", now);
        table.record(end("engine3", now, 0), "poison");
        CPPUNIT_ASSERT(refused(table, "poison", now + minutes(30)));
        CPPUNIT_ASSERT(!refused(table, "innocent", now));
    }

    // Memory use must be bounded, and a quarantined request must not be evicted by many requests that were lost once.
    void quarantineIsBounded()
    {
        CrashTable table(twoEnds);
        TimePoint now;
        table.record(end("engine1", now, 0), "poison");
        table.record(end("engine2", now, 0), "poison");
        for (int i = 0; i < 30000; ++i)
            table.record(end("engine" + std::to_string(i % 9000), now, 0), "d" + std::to_string(i));
        CPPUNIT_ASSERT(table.size() <= CrashTable::maxCalls);
        CPPUNIT_ASSERT(refused(table, "poison", now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTableTest);

} // namespace lovagecross
