// Tests entry nodes on a fleet in simulated time, and several threads of one entry node.

#include "lovagecross/quotas/QuotaFleet.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string tenantName = "zielone";

// Answers each request with the tokens that are left.
class FixedIssuer final : public PeerClient {
public:
    explicit FixedIssuer(std::uint32_t tokens)
        : left(tokens)
    {
    }
    PeerResult request(const std::string&, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        ++this->requests;
        std::this_thread::sleep_for(milliseconds(1));
        const auto& wish = std::get<QuotaRequest>(request);
        std::lock_guard lock(this->mutex);
        QuotaAnswer answer;
        answer.issuer = true;
        answer.granted = std::min(this->left, wish.needed);
        this->left -= answer.granted;
        answer.retryAfter = seconds(1);
        return { PeerStatus::Ok, answer };
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string&, const PeerRequest&) override { }
    void failForwardsTo(const std::string&) override { }

    std::atomic<int> requests { 0 };

private:
    std::mutex mutex;
    std::uint32_t left;
};

} // namespace

class QuotaClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaClientTest);
    CPPUNIT_TEST(threadsShareMessagesAndTokens);
    CPPUNIT_TEST(refusalsCostNoMessages);
    CPPUNIT_TEST(nodeWithoutIssuersAdmitsNothing);
    CPPUNIT_TEST(floodedTenantStillGetsItsRate);
    CPPUNIT_TEST(begunProgramsAreServedInAFlood);
    CPPUNIT_TEST(callsWellInsideTheQuotaCostFewMessages);
    CPPUNIT_TEST_SUITE_END();

    // Guards against tokens that two threads use, and against a message for each of the calls that wait together.
    void threadsShareMessagesAndTokens()
    {
        constexpr int threadCount = 16;
        constexpr int callsPerThread = 20;
        FixedIssuer issuer(200);
        SystemClock clock;
        Counters counters;
        QuotaClientSettings settings;
        settings.policy = { seconds(500), 0.1, 20 };
        settings.issuersOf = [](const std::string&) { return std::vector<std::string> { "r1" }; };
        settings.quotaOf = [](const std::string&) { return KnownQuota { 1, true, { 1000, 1000 } }; };
        settings.pause = [](Duration pause) { std::this_thread::sleep_for(pause); };
        QuotaClient client(clock, issuer, settings, counters);
        TenantEntry tenant { tenantName, {}, std::nullopt, { 1000, 1000 } };
        std::atomic<int> admitted { 0 };
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int i = 0; i < threadCount; ++i) {
            threads.emplace_back([&] {
                for (int call = 0; call < callsPerThread; ++call) {
                    QuotaDecision decision
                        = client.admit(tenant, QuotaUse::BegunProgram, clock.now() + milliseconds(300));
                    admitted += decision.outcome == QuotaOutcome::Admitted ? 1 : 0;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(200, admitted.load());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(issuer.requests), issuer.requests < 100);
    }

    // Guards against a message for each call of a flood.
    void refusalsCostNoMessages()
    {
        QuotaFleet fleet(quiet(1), 1);
        start(fleet, { 20, 20 });
        runCalls(fleet, 150, seconds(4));
        std::uint64_t before = fleet.tokenMessages;
        Result result = runCalls(fleet, 2000, seconds(4));
        CPPUNIT_ASSERT(result.refused > 7000);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(fleet.tokenMessages - before), (fleet.tokenMessages - before) * 10 < result.offered);
    }

    // Guards against calls that nobody counts, and a caller that is told to come back to a node that can't serve it.
    void nodeWithoutIssuersAdmitsNothing()
    {
        QuotaFleet fleet(quiet(1), 1);
        start(fleet, { 100, 100 });
        for (int i = 0; i < fleet.recordCount(); ++i)
            fleet.killRecord(fleet.memberAt(i));
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(fleet.call(0, tenantName, QuotaUse::BegunProgram) == QuotaOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), fleet.tokenMessages); // one to each issuer
    }

    // Guards against tokens that are lost between nodes while a tenant sends too much.
    void floodedTenantStillGetsItsRate()
    {
        QuotaFleet fleet(quiet(40), 1);
        start(fleet, { 100, 100 });
        runCalls(fleet, 750, seconds(3));
        Result result = runCalls(fleet, 750, milliseconds(6500));
        double served = result.admitted / 6.5;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= 95 && served <= 110);
    }

    // Guards against begun programs that are refused for new ones.
    void begunProgramsAreServedInAFlood()
    {
        QuotaFleet fleet(quiet(40), 1);
        start(fleet, { 100, 100 });
        int begunServed = 0;
        int begun = 0;
        int newServed = 0;
        int newPrograms = 0;
        for (int i = 0; i < 6500; ++i) { // 1,000 calls a second, a twentieth of them of begun programs
            bool isBegun = i % 20 == 0;
            bool served = fleet.call(i % 40, tenantName, isBegun ? QuotaUse::BegunProgram : QuotaUse::NewProgram)
                == QuotaOutcome::Admitted;
            (isBegun ? begun : newPrograms) += 1;
            (isBegun ? begunServed : newServed) += served ? 1 : 0;
            fleet.advance(milliseconds(1));
            fleet.runSteps();
        }
        std::cout << "\nflood: begun " << begunServed << " of " << begun << ", new " << newServed << " of "
                  << newPrograms << std::endl;
        CPPUNIT_ASSERT(begunServed * newPrograms > 2 * newServed * begun);
    }

    // Guards against a message for each call well inside the quota. Prints what the messages cost; with
    // LOVAGECROSS_QUOTA_COSTS also on larger fleets.
    void callsWellInsideTheQuotaCostFewMessages()
    {
        std::vector<int> sizes { 74 };
        if (std::getenv("LOVAGECROSS_QUOTA_COSTS") != nullptr)
            sizes = { 74, 300, 1000 };
        for (int entries : sizes) {
            FleetSettings settings = quiet(entries);
            settings.records = entries * 11 / 74;
            settings.countsBytes = true;
            settings.oneWay = Duration(0); // calls run one after the other here, so that the time would stretch
            QuotaFleet fleet(settings, 1);
            CPPUNIT_ASSERT(messagesPerCall(fleet, entries) < 0.5);
        }
    }

    struct Result {
        std::uint64_t offered = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    static FleetSettings quiet(int entries)
    {
        FleetSettings settings;
        settings.entries = entries;
        settings.longestWait = Duration(0);
        return settings;
    }

    static void start(QuotaFleet& fleet, const TenantQuota& quota)
    {
        fleet.setQuota(tenantName, quota);
        fleet.settleAll();
        fillSlices(fleet);
    }

    static void fillSlices(QuotaFleet& fleet)
    {
        fleet.restartAll();
        for (int i = 0; i < 20; ++i) {
            fleet.advance(milliseconds(100));
            fleet.runSteps();
        }
    }

    static Result runCalls(QuotaFleet& fleet, int perSecond, Duration length)
    {
        Result result;
        TimePoint start = fleet.now();
        while (fleet.now() < start + length) {
            auto due
                = static_cast<std::uint64_t>(perSecond * std::chrono::duration<double>(fleet.now() - start).count());
            for (; result.offered < due; ++result.offered) {
                QuotaOutcome outcome = fleet.call(fleet.pick(fleet.entryCount()), tenantName, QuotaUse::BegunProgram);
                ++(outcome == QuotaOutcome::Admitted ? result.admitted : result.refused);
            }
            fleet.advance(milliseconds(10));
            fleet.runSteps();
        }
        return result;
    }

    struct Caller {
        int entry = 0;
        std::string tenant;
        double perSecond = 0;
    };

    // Returns the requests for tokens a call, of tenants at half of their quotas: 85 with 153 callers for 74 entry
    // nodes, and in proportion for others.
    static double messagesPerCall(QuotaFleet& fleet, int entries)
    {
        std::vector<Caller> callers;
        int tenants = entries * 85 / 74;
        for (int i = 0; i < tenants; ++i) {
            double rate = 10 * std::pow(70, double(i) / tenants);
            std::string name = "tenant-" + std::to_string(i);
            fleet.setQuota(name, { rate, rate });
            int count = 1 + i * 5 / (2 * tenants);
            for (int caller = 0; caller < count; ++caller)
                callers.push_back({ fleet.pick(entries), name, rate / 2 / count });
        }
        fleet.settleAll();
        fillSlices(fleet);
        TimePoint begin = fleet.now();
        std::uint64_t confirmationsBefore = fleet.confirmations;
        std::uint64_t bytesBefore = fleet.bytes;
        std::uint64_t calls = 0;
        std::uint64_t refused = 0;
        constexpr int stepCount = 1000;
        constexpr double stepSeconds = 0.005;
        for (int step = 0; step < stepCount; ++step) {
            TimePoint end = fleet.now() + milliseconds(5);
            fleet.runSteps();
            for (const Caller& caller : callers) {
                if (!fleet.chance(caller.perSecond * stepSeconds / 2))
                    continue;
                for (int call = 0; call < 2; ++call, ++calls)
                    refused
                        += fleet.call(caller.entry, caller.tenant, QuotaUse::BegunProgram) != QuotaOutcome::Admitted;
            }
            fleet.advance(std::max<Duration>(end - fleet.now(), Duration(0)));
        }
        double seconds = std::chrono::duration<double>(fleet.now() - begin).count();
        std::cout << "\nquota costs: " << entries << " entry nodes, " << tenants << " tenants, " << callers.size()
                  << " callers, " << calls / seconds << " calls/s, refused " << refused << ", requests for tokens "
                  << double(fleet.tokenMessages) / double(calls) << " a call, confirmations "
                  << double(fleet.confirmations - confirmationsBefore) / seconds << "/s, bytes "
                  << double(fleet.bytes - bytesBefore) / double(calls) << " a call" << std::endl;
        return double(fleet.tokenMessages) / double(calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaClientTest);

} // namespace lovagecross
