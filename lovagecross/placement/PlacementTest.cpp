#include "lovagecross/placement/Placement.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

PlacementCandidate candidate(std::string_view name)
{
    PlacementCandidate result;
    result.name = name;
    result.dataCentre = "lodz1";
    result.hasReport = true;
    return result;
}

const PlacementRequest request { "model", "lodz1", 4000, 200, false };

PlacementDecision choose(const std::vector<PlacementCandidate>& candidates, std::uint64_t tieBreak = 0)
{
    return choosePlacement(request, candidates, PlacementSettings {}, tieBreak);
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(unavailableServersAreNeverChosen);
    CPPUNIT_TEST(cacheOutweighsAShortQueueOnly);
    CPPUNIT_TEST(transferIsUsedWhenCheaper);
    CPPUNIT_TEST(ownSendsCountBeforeTheNextReport);
    CPPUNIT_TEST(modelLoadAndCorrectionCount);
    CPPUNIT_TEST(freeSlotsAreUsedWhileCallsWait);
    CPPUNIT_TEST(tiesAreSpread);
    CPPUNIT_TEST(bestListsTheChosenFirst);
    CPPUNIT_TEST_SUITE_END();

    // A leaving or failing server must not get new calls, even if it has the whole prompt cached.
    void unavailableServersAreNeverChosen()
    {
        PlacementCandidate leaving = candidate("leaving");
        leaving.available = false;
        leaving.cachedTokens = 4000;
        CPPUNIT_ASSERT(!choose({}).chosen && !choose({ leaving }).chosen);
        PlacementDecision decision = choose({ leaving, candidate("other") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *decision.chosen);
        CPPUNIT_ASSERT(decision.reason == PlacementReason::OnlyCandidate);
    }

    // Placement by cache affinity alone would overload one server; placement by load alone would recompute every
    // prompt.
    void cacheOutweighsAShortQueueOnly()
    {
        PlacementCandidate cached = candidate("cached");
        cached.cachedTokens = 3800;
        cached.reportedRunning = 7;
        PlacementDecision decision = choose({ candidate("idle"), cached });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *decision.chosen);
        CPPUNIT_ASSERT_EQUAL(25.0, decision.best.front().millis); // 200 tokens at 8,000 a second
        // The idle server costs 6 * 475 ms of additional prefill; the cached one costs the wait for queued prefill
        // tokens and 7/8 of 80 ms for its occupied slots.
        cached.reportedPrefillTokens = 8 * (6 * 475 - 70 + 10);
        PlacementDecision loaded = choose({ candidate("idle"), cached });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *loaded.chosen);
        CPPUNIT_ASSERT(loaded.reason == PlacementReason::LeastTime);
        cached.reportedPrefillTokens = 8 * (6 * 475 - 70 - 10);
        CPPUNIT_ASSERT(choose({ candidate("idle"), cached }).reason == PlacementReason::CacheAffinity);
        cached.reportedQueued = 20;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choose({ candidate("idle"), cached }).chosen);
    }

    // A KV cache entry that another server can export must be transferred, unless recomputing it is faster.
    void transferIsUsedWhenCheaper()
    {
        PlacementCandidate fetching = candidate("fetching");
        fetching.transferableTokens = 3600;
        PlacementDecision decision = choose({ fetching });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60 + 50, decision.best.front().millis, 1e-9);
        PlacementSettings slowTransfer;
        slowTransfer.kvTransferTokensPerSecond = 2000;
        decision = choosePlacement(request, { fetching }, slowTransfer, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, decision.best.front().millis, 1e-9);
    }

    // A node that ignored the requests it sent since the last load report would send all of them to one server.
    void ownSendsCountBeforeTheNextReport()
    {
        std::vector<PlacementCandidate> servers { candidate("a"), candidate("b"), candidate("c") };
        for (std::uint64_t send = 0; send < 60; ++send) {
            PlacementCandidate& chosen = servers[*choose(servers, send).chosen];
            ++chosen.ownSinceReport;
            chosen.ownPrefillSinceReport += request.promptTokens;
        }
        for (const PlacementCandidate& server : servers)
            CPPUNIT_ASSERT_EQUAL(20U, server.ownSinceReport);
    }

    // An idle server must not be preferred if it has to load the model first or is slower than its reports suggest.
    void modelLoadAndCorrectionCount()
    {
        PlacementCandidate busy = candidate("busy");
        busy.reportedRunning = 8;
        busy.meanCallMillis = 2000;
        PlacementCandidate other = candidate("other");
        other.modelLoaded = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choose({ busy, other }).chosen);
        other.modelLoaded = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *choose({ busy, other }).chosen);
        other.timeFactor = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choose({ busy, other }).chosen);
    }

    // While other calls wait, a free slot must be preferred to a warm cache. Otherwise calls queue on full servers and
    // a server that has recovered stays idle.
    void freeSlotsAreUsedWhileCallsWait()
    {
        PlacementCandidate full = candidate("full");
        full.reportedRunning = 8;
        full.meanCallMillis = 1600;
        full.cachedTokens = 2000;
        PlacementRequest waiting = request;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *choose({ candidate("returned"), full }).chosen);
        waiting.slotsScarce = true;
        auto chosen = choosePlacement(waiting, { candidate("returned"), full }, PlacementSettings {}, 0).chosen;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *chosen);
    }

    // Nodes with the same data must not all choose the first server.
    void tiesAreSpread()
    {
        std::vector<PlacementCandidate> servers(5, candidate("same"));
        std::array<int, 5> counts {};
        for (std::uint64_t tieBreak = 0; tieBreak < 100; ++tieBreak)
            ++counts.at(*choose(servers, tieBreak).chosen);
        for (int count : counts)
            CPPUNIT_ASSERT_EQUAL(20, count);
    }

    // The log entry of a decision must show the chosen server and the next best ones.
    void bestListsTheChosenFirst()
    {
        std::vector<PlacementCandidate> servers(9, candidate("same"));
        for (std::size_t i = 0; i < servers.size(); ++i)
            servers[i].reportedPrefillTokens = static_cast<std::uint32_t>(1000 * (8 - i));
        PlacementDecision decision = choose(servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), decision.best.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), decision.best[0].candidate);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), decision.best[1].candidate);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), decision.best[3].candidate);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace lovagecross
