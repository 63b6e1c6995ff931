#include "lovagecross/retry/RetryPolicy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class RetryPolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RetryPolicyTest);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(backoffIsSpreadAndBounded);
    CPPUNIT_TEST(breakerOpensAndRampsUp);
    CPPUNIT_TEST(failedProbeDoublesTheOpenTime);
    CPPUNIT_TEST(respondingServerIsProbedOnceEarly);
    CPPUNIT_TEST_SUITE_END();

    // Retries must not multiply the load during an outage.
    void retriesStayWithinTheBudget()
    {
        RetryBudget budget { RetrySettings {} };
        TimePoint now;
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            now += milliseconds(9);
            budget.firstAttempt(now);
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, retries);
        now += seconds(11);
        for (int call = 0; call < 3; ++call)
            CPPUNIT_ASSERT(budget.tryRetry(now));
        CPPUNIT_ASSERT(!budget.tryRetry(now));
    }

    // Calls that failed at the same time must not be retried at the same time, and the delay must be bounded.
    void backoffIsSpreadAndBounded()
    {
        RetrySettings settings;
        std::mt19937_64 random(1);
        Duration sum { 0 };
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(backoff(settings, 1, random()) <= settings.firstBackoff);
            Duration wait = backoff(settings, 40, random());
            CPPUNIT_ASSERT(wait <= settings.maxBackoff);
            sum += wait;
        }
        CPPUNIT_ASSERT(sum / 1000 > settings.maxBackoff * 2 / 5 && sum / 1000 < settings.maxBackoff * 3 / 5);
    }

    // A recovering server would fail again if it got its full load at once.
    void breakerOpensAndRampsUp()
    {
        BreakerSettings settings;
        settings.rampTime = seconds(10);
        CircuitBreaker breaker(settings);
        TimePoint now;
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(breaker.allows(now, 7, 8));
            breaker.failed(now);
        }
        CPPUNIT_ASSERT(breaker.open(now) && !breaker.allows(now, 0, 8));
        breaker.succeeded(now); // answer to a request sent before the failures
        CPPUNIT_ASSERT(breaker.open(now));
        now += seconds(2);
        CPPUNIT_ASSERT(breaker.allows(now, 0, 8) && !breaker.allows(now, 1, 8));
        breaker.succeeded(now);
        CPPUNIT_ASSERT(breaker.allows(now, 0, 8) && !breaker.allows(now, 1, 8));
        now += seconds(5);
        CPPUNIT_ASSERT(breaker.allows(now, 3, 8) && !breaker.allows(now, 4, 8));
        now += seconds(5);
        CPPUNIT_ASSERT(breaker.allows(now, 100, 8));
    }

    // A server that keeps failing must be probed less and less often, until the maximum open time is reached.
    void failedProbeDoublesTheOpenTime()
    {
        CircuitBreaker breaker { BreakerSettings {} };
        TimePoint now;
        for (int i = 0; i < 3; ++i)
            breaker.failed(now);
        for (int expected : { 2, 4, 8, 16, 30, 30 }) {
            CPPUNIT_ASSERT(!breaker.allows(now + seconds(expected) - milliseconds(1), 0, 8));
            now += seconds(expected);
            CPPUNIT_ASSERT(breaker.allows(now, 0, 8));
            breaker.failed(now);
        }
    }

    // A server that has recovered must not have to wait for the end of a long open time, but a server that only sends
    // load reports must not be probed after each of them.
    void respondingServerIsProbedOnceEarly()
    {
        CircuitBreaker breaker { BreakerSettings {} };
        TimePoint now;
        for (int i = 0; i < 3; ++i)
            breaker.failed(now);
        breaker.serverResponded(now + seconds(1));
        CPPUNIT_ASSERT(breaker.allows(now + seconds(1), 0, 8));
        now += seconds(1);
        breaker.failed(now);
        breaker.serverResponded(now);
        CPPUNIT_ASSERT(!breaker.allows(now + seconds(3), 0, 8));
        CPPUNIT_ASSERT(breaker.allows(now + seconds(4), 0, 8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

} // namespace lovagecross
