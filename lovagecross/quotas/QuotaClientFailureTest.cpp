// Tests one entry node whose issuers stand still, fail, or answer while other calls arrive.

#include "lovagecross/quotas/QuotaClient.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <future>
#include <stdexcept>
#include <utility>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string tenantName = "zielone";
constexpr Duration longEnough = seconds(10); // of real time; a call that takes longer hangs

// Answers each request as the test says.
class ScriptedIssuer final : public PeerClient {
public:
    PeerResult request(const std::string&, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        return this->answer(std::get<QuotaRequest>(request));
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string&, const PeerRequest&) override { }
    void failForwardsTo(const std::string&) override { }

    std::function<PeerResult(const QuotaRequest& request)> answer;
};

PeerResult granting(std::uint32_t tokens)
{
    QuotaAnswer answer;
    answer.issuer = true;
    answer.granted = tokens;
    answer.retryAfter = seconds(1);
    return { PeerStatus::Ok, answer };
}

// Calls `beforeReading` whenever it is read.
class HookedClock final : public Clock {
public:
    TimePoint now() const override
    {
        if (this->beforeReading)
            this->beforeReading();
        return this->time.now();
    }
    std::int64_t unixMillis() const override { return this->time.unixMillis(); }
    void advance(Duration amount) { this->time.advance(amount); }

    std::function<void()> beforeReading;

private:
    ManualClock time;
};

struct EntryNode {
    HookedClock clock;
    ScriptedIssuer issuer;
    Counters counters;
    QuotaClientSettings settings;
    std::unique_ptr<QuotaClient> client;

    EntryNode()
    {
        this->clock.advance(seconds(1000));
        this->settings.policy = { seconds(500), 0.1, 20 };
        this->settings.issuersOf = [](const std::string&) { return std::vector<std::string> { "r1" }; };
        this->settings.quotaOf = [](const std::string&) { return KnownQuota { 1, true, { 100, 100 } }; };
        this->settings.pause = [this](Duration pause) { this->clock.advance(pause); };
        this->settings.longestWait = Duration(0);
    }

    void start()
    {
        this->client = std::make_unique<QuotaClient>(this->clock, this->issuer, this->settings, this->counters);
    }

    QuotaOutcome call(const std::string& tenant, TimePoint deadline)
    {
        TenantEntry caller { tenant, {}, std::nullopt, { 100, 100 } };
        return this->client->admit(caller, QuotaUse::BegunProgram, deadline).outcome;
    }
    QuotaOutcome call(const std::string& tenant) { return this->call(tenant, this->clock.now() + seconds(10)); }
};

} // namespace

class QuotaClientFailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaClientFailureTest);
    CPPUNIT_TEST(callBehindAnotherOnesRequestKeepsItsDeadline);
    CPPUNIT_TEST(failedCallNoLongerCountsAsWaiting);
    CPPUNIT_TEST(failedCallTakesTheLockAgain);
    CPPUNIT_TEST(tenantThatReturnsDuringAStepIsKept);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a call that waits past its deadline while another thread asks a silent issuer.
    void callBehindAnotherOnesRequestKeepsItsDeadline()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeBehindASilentIssuer(false));
        CPPUNIT_ASSERT_EQUAL(std::string("over_quota"), outcomeBehindASilentIssuer(true));
    }

    // Guards against a call that counts as waiting for good after an exception, so that tokens are drawn for it.
    void failedCallNoLongerCountsAsWaiting()
    {
        for (std::string place : { "request", "issuersOf", "pause" }) {
            EntryNode node;
            bool fails = true;
            auto failAt = [&](const std::string& here) {
                if (fails && place == here)
                    throw std::runtime_error("failure in " + place);
            };
            std::uint32_t needed = 0;
            node.settings.longestWait = seconds(1);
            node.settings.issuersOf = [&](const std::string&) {
                failAt("issuersOf");
                return std::vector<std::string> { "r1" };
            };
            node.settings.pause = [&](Duration pause) {
                failAt("pause");
                node.clock.advance(pause);
            };
            node.issuer.answer = [&](const QuotaRequest& request) {
                failAt("request");
                needed = request.needed;
                PeerResult result = granting(fails ? 0 : request.needed);
                std::get<QuotaAnswer>(result.answer).retryAfter = milliseconds(10);
                return result;
            };
            node.start();
            CPPUNIT_ASSERT_THROW(node.call(tenantName), std::runtime_error);
            fails = false;
            node.clock.advance(seconds(1));
            CPPUNIT_ASSERT(node.call(tenantName) == QuotaOutcome::Admitted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(place, 1u, needed);
        }
    }

    // Guards against an exception that changes a tenant's state while another thread holds the lock. The client reads
    // the clock with the lock held, so a thread that stands still there keeps it.
    void failedCallTakesTheLockAgain()
    {
        EntryNode node;
        std::promise<void> asked;
        std::promise<void> failing;
        std::promise<void> locked;
        std::promise<void> released;
        std::atomic<bool> first { true };
        static thread_local bool standsStill = false;
        node.issuer.answer = [&](const QuotaRequest& request) {
            if (!first.exchange(false))
                return granting(request.needed);
            asked.set_value();
            failing.get_future().wait();
            throw std::runtime_error("failure of the request");
        };
        node.clock.beforeReading = [&] {
            if (!std::exchange(standsStill, false))
                return;
            locked.set_value();
            released.get_future().wait();
        };
        node.start();
        TimePoint deadline = node.clock.now() + seconds(10);
        auto failed = std::async(std::launch::async, [&] { return node.call(tenantName, deadline); });
        asked.get_future().wait();
        auto holder = std::async(std::launch::async, [&] {
            standsStill = true;
            return node.call(tenantName, deadline);
        });
        locked.get_future().wait();
        failing.set_value();
        bool endedWithoutLock = failed.wait_for(milliseconds(200)) == std::future_status::ready;
        released.set_value();
        CPPUNIT_ASSERT_THROW(failed.get(), std::runtime_error);
        CPPUNIT_ASSERT(holder.get() == QuotaOutcome::Admitted);
        CPPUNIT_ASSERT(!endedWithoutLock);
    }

    // Guards against forgetting what issuers have said of a tenant whose next call arrives while `step` asks for
    // tokens of another one.
    void tenantThatReturnsDuringAStepIsKept()
    {
        EntryNode node;
        int requestsForIdle = 0;
        bool inStep = false;
        node.issuer.answer = [&](const QuotaRequest& request) {
            if (request.tenant == "idle") {
                ++requestsForIdle;
                return granting(0);
            }
            if (inStep)
                CPPUNIT_ASSERT(node.call("idle") == QuotaOutcome::OverQuota);
            return granting(request.needed);
        };
        node.start();
        node.call("idle");
        node.clock.advance(seconds(61));
        CPPUNIT_ASSERT(node.call("busy") == QuotaOutcome::Admitted);
        inStep = true;
        node.client->step();
        CPPUNIT_ASSERT_EQUAL(2, requestsForIdle);
        CPPUNIT_ASSERT(node.call("idle") == QuotaOutcome::OverQuota);
        CPPUNIT_ASSERT_EQUAL(2, requestsForIdle);
    }

    // Returns the outcome of a call whose deadline passes while an earlier call's request is unanswered; "hangs" if it
    // only ends with that request.
    static std::string outcomeBehindASilentIssuer(bool reachedBefore)
    {
        EntryNode node;
        node.start();
        if (reachedBefore) {
            node.issuer.answer = [](const QuotaRequest&) { return granting(0); };
            node.call(tenantName);
            node.clock.advance(seconds(2));
        }
        std::promise<void> asked;
        std::promise<void> released;
        std::shared_future<void> release = released.get_future().share();
        std::atomic<bool> first { true };
        node.issuer.answer = [&](const QuotaRequest&) {
            if (first.exchange(false))
                asked.set_value();
            release.wait();
            return PeerResult { PeerStatus::NoAnswer, {} };
        };
        auto asking = std::async(std::launch::async, [&node] { node.call(tenantName); });
        asked.get_future().wait();
        TimePoint deadline = node.clock.now() + milliseconds(30);
        auto waiting = std::async(std::launch::async, [&node, deadline] { return node.call(tenantName, deadline); });
        node.clock.advance(milliseconds(30));
        bool ended = waiting.wait_for(longEnough) == std::future_status::ready;
        released.set_value();
        asking.get();
        QuotaOutcome outcome = waiting.get();
        return ended ? std::string(quotaOutcomeNames.name(outcome)) : "hangs";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaClientFailureTest);

} // namespace lovagecross
