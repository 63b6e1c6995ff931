#include "lovagecross/placement/BackendTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<BackendDescription> twoServers { { "a", "lodz1", { "m" }, 4, false },
    { "b", "lodz1", { "m", "n" }, 4, false } };

const std::vector<PromptPrefix> prompt { { "p1", 100 }, { "p2", 1000 } };

// A BackendTable of one node with a manual clock.
struct View {
    explicit View(BackendTableSettings settings = {})
        : table(settings)
    {
        this->table.configure(twoServers);
    }

    PlacementCandidate candidate(const std::string& name, const std::string& model = "m")
    {
        std::vector<PlacementCandidate> candidates;
        this->table.candidates({ model, prompt, {} }, this->now, candidates);
        for (const PlacementCandidate& candidate : candidates) {
            if (candidate.name == name)
                return candidate;
        }
        return PlacementCandidate { {}, {}, false };
    }

    RequestTicket send(const std::string& server, std::uint32_t expectedCached = 0)
    {
        return this->table.sent({ server, 1000, expectedCached, 100, prompt }, this->now);
    }

    void report(std::uint32_t running, std::uint32_t prefill, std::uint64_t ageMillis)
    {
        this->table.loadReport("a", EngineLoad { running, 0, prefill, 0, ageMillis }, this->now);
    }

    void advance(Duration time) { this->now += time; }

    BackendTable table;
    TimePoint now = TimePoint {} + seconds(1000);
};

} // namespace

class BackendTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendTableTest);
    CPPUNIT_TEST(laggingReportIsCorrectedByOwnSends);
    CPPUNIT_TEST(oldReportCountsAsNone);
    CPPUNIT_TEST(ownAnswersFillTheCacheBeforeEvents);
    CPPUNIT_TEST(gapsKeepAndRestartsClearTheCache);
    CPPUNIT_TEST(cacheIsBounded);
    CPPUNIT_TEST(answersCorrectTheEstimates);
    CPPUNIT_TEST(failingServerIsLeftOutAndLetBackIn);
    CPPUNIT_TEST(openCircuitIsShownAndRereadsEvents);
    CPPUNIT_TEST(refusingServerIsLeftOutWithItsCache);
    CPPUNIT_TEST(leavingAndExcludedServersAreUnavailable);
    CPPUNIT_TEST(configurationChangeKeepsAndForgets);
    CPPUNIT_TEST(loadedModelsFollowReports);
    CPPUNIT_TEST(randomUseKeepsCounts);
    CPPUNIT_TEST_SUITE_END();

    // Each request must be counted once: counted twice, it keeps calls away from the server; not counted, too many
    // calls are sent there.
    void laggingReportIsCorrectedByOwnSends()
    {
        View view;
        RequestTicket early = view.send("a");
        CPPUNIT_ASSERT_EQUAL(1U, view.candidate("a").ownSinceReport);
        view.advance(milliseconds(600));
        RequestTicket late = view.send("a");
        view.advance(milliseconds(400));
        view.report(3, 1500, 500); // measured after the first request was sent and before the second
        CPPUNIT_ASSERT_EQUAL(3U, view.candidate("a").reportedRunning);
        CPPUNIT_ASSERT_EQUAL(1U, view.candidate("a").ownSinceReport);
        CPPUNIT_ASSERT_EQUAL(1000U, view.candidate("a").ownPrefillSinceReport);
        view.table.firstToken(early, view.now);
        CPPUNIT_ASSERT_EQUAL(500U, view.candidate("a").reportedPrefillTokens);
        view.table.finished(early, BackendStatus::Ok, 0, view.now);
        CPPUNIT_ASSERT_EQUAL(2U, view.candidate("a").reportedRunning);
        view.table.finished(late, BackendStatus::Ok, 0, view.now);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").ownSinceReport);
        view.report(9, 0, 800); // measured before the previous report
        CPPUNIT_ASSERT_EQUAL(2U, view.candidate("a").reportedRunning);
        view.report(1, 0, 0);
        CPPUNIT_ASSERT_EQUAL(1U, view.candidate("a").reportedRunning);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.table.inFlight());
    }

    // The last report of a server that stopped reporting must not be used indefinitely.
    void oldReportCountsAsNone()
    {
        View view;
        view.send("a");
        view.report(4, 100, 0);
        CPPUNIT_ASSERT(view.candidate("a").hasReport && !view.candidate("b").hasReport);
        view.advance(seconds(11));
        CPPUNIT_ASSERT(!view.candidate("a").hasReport);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").reportedRunning);
        CPPUNIT_ASSERT_EQUAL(1U, view.candidate("a").ownSinceReport);
    }

    // Cache events arrive seconds late. If only they were used, a program's next turn could be sent to a server that
    // has to recompute the whole prompt.
    void ownAnswersFillTheCacheBeforeEvents()
    {
        BackendTableSettings settings;
        settings.kvTransfer = true;
        View view(settings);
        RequestTicket ticket = view.send("a");
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").cachedTokens);
        view.table.firstToken(ticket, view.now);
        CPPUNIT_ASSERT_EQUAL(1000U, view.candidate("a").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("b").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(1000U, view.candidate("b").transferableTokens);
    }

    // Clearing the entries on every lost event would discard mostly correct data; never clearing them would keep the
    // entries of an engine that restarted.
    void gapsKeepAndRestartsClearTheCache()
    {
        View view;
        view.table.cacheEvents("a", { { 1, true, "p1", 100 }, { 2, true, "p2", 1000 } });
        view.table.cacheEvents("a", { { 2, false, "p2", 1000 }, { 5, true, "x", 10 } });
        CPPUNIT_ASSERT_EQUAL(1000U, view.candidate("a").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), view.table.missedCacheEvents());
        view.table.cacheEvents("a", { { 6, false, "p2", 1000 } });
        CPPUNIT_ASSERT_EQUAL(100U, view.candidate("a").cachedTokens);
        view.table.cacheEvents("a", { { 1, true, "y", 10 } });
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), view.table.lastCacheEvent("a"));
        view.table.cacheEvents("a", { { 2, true, "p2", 1000 }, { 5000, true, "y", 10 } });
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").cachedTokens);
        view.table.cacheEvents("nosuch", { { 1, true, "p1", 100 } });
    }

    // Memory use must be bounded however many cache events engines send.
    void cacheIsBounded()
    {
        BackendTableSettings settings;
        settings.maxPrefixes = 50;
        View view(settings);
        for (std::uint64_t i = 1; i <= 500; ++i)
            view.table.cacheEvents(i % 2 == 0 ? "a" : "b", { { i, true, "q" + std::to_string(i / 4), 10 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), view.table.prefixCount());
        view.table.cacheEvents("a", { { 501, true, "p1", 100 } });
        CPPUNIT_ASSERT_EQUAL(100U, view.candidate("a").cachedTokens);
    }

    // A server that is slower or has less cached than estimated must not keep being preferred. The time correction must
    // expire, so that the server is tried again.
    void answersCorrectTheEstimates()
    {
        View view;
        for (int i = 0; i < 20; ++i) {
            RequestTicket ticket = view.send("a", view.candidate("a").cachedTokens);
            view.advance(milliseconds(400)); // the estimate was 100 ms
            view.table.firstToken(ticket, view.now);
            view.advance(milliseconds(600));
            view.table.finished(ticket, BackendStatus::Ok, 0, view.now);
        }
        PlacementCandidate slow = view.candidate("a");
        CPPUNIT_ASSERT(slow.timeFactor > 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, slow.meanCallMillis, 1);
        CPPUNIT_ASSERT(slow.cachedTokens < 200);
        view.advance(seconds(61));
        CPPUNIT_ASSERT_EQUAL(1.0, view.candidate("a").timeFactor);
    }

    // A restarted engine numbers its events from 1 again, so requesting events after the old number would miss them
    // all.
    void openCircuitIsShownAndRereadsEvents()
    {
        View view;
        view.report(2, 0, 300);
        view.table.cacheEvents("a", { { 700, true, "p2", 1000 } });
        CPPUNIT_ASSERT_EQUAL(2U, view.table.condition("a", view.now)->load->runningRequests);
        CPPUNIT_ASSERT(view.table.condition("a", view.now)->loadAge == milliseconds(300));
        for (int i = 0; i < 3; ++i) {
            RequestTicket ticket = view.send("a");
            CPPUNIT_ASSERT_EQUAL(1U, view.table.condition("a", view.now)->inFlight);
            CPPUNIT_ASSERT(!view.table.condition("a", view.now)->circuitOpen);
            view.table.finished(ticket, BackendStatus::ConnectionLost, 0, view.now);
        }
        BackendCondition lost = view.table.condition("a", view.now).value();
        CPPUNIT_ASSERT(lost.circuitOpen);
        CPPUNIT_ASSERT(!lost.ramping);
        CPPUNIT_ASSERT(!lost.load);
        CPPUNIT_ASSERT_EQUAL(0U, lost.inFlight);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), view.table.lastCacheEvent("a"));
        view.advance(seconds(2));
        view.table.finished(view.send("a"), BackendStatus::Ok, 0, view.now);
        CPPUNIT_ASSERT(view.table.condition("a", view.now)->ramping);
        view.advance(seconds(5));
        CPPUNIT_ASSERT(!view.table.condition("a", view.now)->ramping);
        CPPUNIT_ASSERT(!view.table.condition("nosuch", view.now));
    }

    // A server that refuses all requests reports the lowest load and would be preferred for every call. Its cache
    // entries must be kept, since it did not restart.
    void refusingServerIsLeftOutWithItsCache()
    {
        View view;
        view.table.cacheEvents("a", { { 1, true, "p2", 1000 } });
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(view.candidate("a").available);
            view.table.finished(view.send("a"), BackendStatus::Refused, 0, view.now);
        }
        CPPUNIT_ASSERT(!view.candidate("a").available);
        CPPUNIT_ASSERT_EQUAL(1000U, view.candidate("a").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), view.table.lastCacheEvent("a"));
        view.advance(seconds(2));
        CPPUNIT_ASSERT(view.candidate("a").available);
    }

    // A server that loses connections must not get more calls until it recovers, and its cache entries must be cleared,
    // since it has probably restarted.
    void failingServerIsLeftOutAndLetBackIn()
    {
        View view;
        view.table.cacheEvents("a", { { 1, true, "p2", 1000 } });
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(view.candidate("a").available);
            view.table.finished(view.send("a"), BackendStatus::ConnectionLost, 0, view.now);
        }
        CPPUNIT_ASSERT(!view.candidate("a").available && view.candidate("b").available);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").cachedTokens);
        view.advance(milliseconds(500));
        view.report(0, 0, 600); // measured before the failure
        CPPUNIT_ASSERT(!view.candidate("a").available);
        view.report(0, 0, 100);
        CPPUNIT_ASSERT(view.candidate("a").available);
        RequestTicket probe = view.send("a");
        CPPUNIT_ASSERT(!view.candidate("a").available); // one probe at a time
        CPPUNIT_ASSERT_EQUAL(std::size_t(1 + 4), view.table.usableSlots("lodz1", view.now));
        view.table.finished(probe, BackendStatus::Ok, 0, view.now);
        CPPUNIT_ASSERT(view.candidate("a").available);
        view.advance(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), view.table.usableSlots("", view.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.table.usableSlots("other", view.now));
        view.table.setLeaving("b", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view.table.usableSlots("lodz1", view.now));
    }

    // Calls sent to a leaving server would be aborted when it stops.
    void leavingAndExcludedServersAreUnavailable()
    {
        View view;
        view.table.setLeaving("a", true);
        CPPUNIT_ASSERT(!view.candidate("a").available);
        view.table.setLeaving("a", false);
        CPPUNIT_ASSERT(view.candidate("a").available);
        std::vector<BackendDescription> leaving = twoServers;
        leaving[0].leaving = true;
        view.table.configure(leaving);
        CPPUNIT_ASSERT(!view.candidate("a").available);
        std::vector<PlacementCandidate> candidates;
        view.table.candidates({ "m", {}, { "b", "nosuch" } }, view.now, candidates);
        CPPUNIT_ASSERT(!candidates[0].available && !candidates[1].available);
        view.table.candidates({ "nosuch", {}, {} }, view.now, candidates);
        CPPUNIT_ASSERT(candidates.empty());
    }

    // A new server must not inherit the requests, cache entries or failures of a removed one whose index it reuses, and
    // a configuration change must keep the state of the other servers.
    void configurationChangeKeepsAndForgets()
    {
        View view;
        view.report(2, 0, 0);
        view.table.cacheEvents("a", { { 1, true, "p1", 100 } });
        RequestTicket onB = view.send("b");
        view.table.firstToken(onB, view.now);
        view.table.configure({ twoServers[0], { "c", "lodz1", { "m" }, 4, false } });
        CPPUNIT_ASSERT_EQUAL(2U, view.candidate("a").reportedRunning);
        CPPUNIT_ASSERT_EQUAL(100U, view.candidate("a").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("c").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, view.candidate("c").ownSinceReport);
        view.table.finished(onB, BackendStatus::ConnectionLost, 0, view.now);
        view.table.finished(onB, BackendStatus::ConnectionLost, 0, view.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.table.inFlight());
        CPPUNIT_ASSERT(view.candidate("c").available && !view.candidate("b").available);
        CPPUNIT_ASSERT_EQUAL(RequestTicket(0), view.send("b"));
    }

    // Loading a model takes seconds, so placement must know which models are loaded.
    void loadedModelsFollowReports()
    {
        View view;
        CPPUNIT_ASSERT(view.candidate("b").modelLoaded && !view.candidate("b", "n").modelLoaded);
        view.table.setLoadedModels("b", { "n" });
        CPPUNIT_ASSERT(!view.candidate("b").modelLoaded && view.candidate("b", "n").modelLoaded);
        view.table.setLoadedModels("b", {});
        CPPUNIT_ASSERT(!view.candidate("b").modelLoaded && !view.candidate("b", "n").modelLoaded);
    }

    // Servers are added and removed while their requests and cache events are in flight. Stale references would corrupt
    // memory, and wrong counts would make a server look busy for ever.
    void randomUseKeepsCounts()
    {
        BackendTableSettings settings;
        settings.maxPrefixes = 40;
        settings.maxGap = 20;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            View view(settings);
            std::vector<RequestTicket> open;
            std::uint64_t sequence = 0;
            for (int step = 0; step < 2000; ++step) {
                view.advance(milliseconds(random() % 300));
                this->randomStep(view, open, sequence, random);
                CPPUNIT_ASSERT_EQUAL(open.size(), view.table.inFlight());
                CPPUNIT_ASSERT(view.table.prefixCount() <= settings.maxPrefixes);
            }
            for (RequestTicket ticket : open)
                view.table.finished(ticket, BackendStatus::Ok, 0, view.now);
            view.table.configure(twoServers);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.table.inFlight());
            CPPUNIT_ASSERT_EQUAL(0U, view.candidate("b").ownSinceReport);
            view.report(1, 0, 0);
            view.advance(seconds(11)); // after the report expires, ownSinceReport is the number of requests in flight
            CPPUNIT_ASSERT_EQUAL(0U, view.candidate("a").ownSinceReport);
        }
    }

    static std::vector<BackendDescription> randomServers(std::mt19937_64& random)
    {
        std::vector<BackendDescription> servers;
        for (const char* name : { "a", "b", "c", "d", "e" }) {
            if (random() % 3 != 0)
                servers.push_back({ name, "lodz1", { "m", "n" }, 4, random() % 5 == 0 });
        }
        return servers;
    }

    static void randomStep(
        View& view, std::vector<RequestTicket>& open, std::uint64_t& sequence, std::mt19937_64& random)
    {
        std::string name(1, static_cast<char>('a' + random() % 6)); // "f" is never configured
        std::size_t pick = open.empty() ? 0 : random() % open.size();
        switch (random() % 8) {
        case 0:
            return view.table.configure(randomServers(random));
        case 1:
            sequence = random() % 10 == 0 ? 1 : sequence + 1 + random() % 15;
            return view.table.cacheEvents(
                name, { { sequence, random() % 4 != 0, "p" + std::to_string(random() % 60), 100 } });
        case 2:
            return view.table.loadReport(name, EngineLoad { 3, 1, 50, 0, random() % 900 }, view.now);
        case 3:
            if (!open.empty())
                view.table.firstToken(open[pick], view.now);
            return;
        case 4:
        case 5:
            if (open.empty())
                return;
            view.table.finished(open[pick], backendStatusNames.entries.at(random() % 8).first, 50, view.now);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(pick));
            return;
        default:
            if (RequestTicket ticket = view.send(name, static_cast<std::uint32_t>(random() % 500)))
                open.push_back(ticket);
            view.candidate(name);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTableTest);

} // namespace lovagecross
