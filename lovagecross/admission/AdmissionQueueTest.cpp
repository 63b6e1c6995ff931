#include "lovagecross/admission/AdmissionQueue.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<RankPolicy> testRanks { { "bulk", 0, 20, 100 }, { "urgent", 10, 30, 100 }, { "middle", 5, 0, 100 } };

WaitingCall call(const std::string& rank, std::uint64_t program, std::uint64_t attained = 0)
{
    return WaitingCall { rank, ProgramId { { "lodz1", 0 }, program }, "tenant", attained, TimePoint {}, 100 };
}

AdmissionTicket add(AdmissionQueue& queue, const WaitingCall& waiting, TimePoint now = TimePoint {})
{
    EnqueueResult result = queue.enqueue(waiting, now);
    CPPUNIT_ASSERT_MESSAGE(result.reason, result.accepted);
    return result.ticket;
}

// Keeps the queues of `ranks` filled with programs of one call each, and returns how many of 100,000 served tokens went
// to `rank`.
std::uint64_t shareUnderOverload(
    const std::vector<std::string>& ranks, const std::string& rank, std::uint64_t callTokens)
{
    AdmissionQueue queue(testRanks, 1);
    std::map<AdmissionTicket, std::string> rankOf;
    std::uint64_t granted = 0;
    std::uint64_t program = 0;
    for (std::uint64_t served = 0; served < 100'000;) {
        for (const std::string& name : ranks) {
            while (queue.waitingByRank().at(name) < 3)
                rankOf[add(queue, call(name, ++program))] = name;
        }
        AdmissionTicket ticket = queue.next(TimePoint {}).value();
        // All calls are estimated at 100 tokens, but calls of `rank` use `callTokens`.
        std::uint64_t tokens = rankOf.at(ticket) == rank ? callTokens : 100;
        granted += rankOf.at(ticket) == rank ? tokens : 0;
        served += tokens;
        queue.finished(ticket, tokens, TimePoint {});
    }
    return granted;
}

// Applies random operations to a queue and compares it with a model of the waiting and running calls.
struct RandomUse {
    explicit RandomUse(std::uint64_t seed)
        : random(seed)
    {
    }

    void step()
    {
        this->now += milliseconds(this->random() % 50);
        switch (this->random() % 8) {
        case 0:
            this->capacity = 1 + this->random() % 6;
            this->queue.configure(this->random() % 2 == 0
                    ? testRanks
                    : std::vector<RankPolicy> { { "urgent", 1, 10, 50 }, { "bulk", 1, 90, 50 } },
                this->capacity);
            break;
        case 1:
            this->cancelOne();
            break;
        case 2:
        case 3:
            this->finishOne();
            break;
        default:
            this->enqueue();
        }
        this->grant();
        CPPUNIT_ASSERT_EQUAL(this->waiting.size(), this->queue.waiting());
        CPPUNIT_ASSERT_EQUAL(this->running.size(), this->queue.running());
        std::size_t byRank = 0;
        for (const auto& [rank, count] : this->queue.waitingByRank())
            byRank += count;
        CPPUNIT_ASSERT_EQUAL(this->waiting.size(), byRank);
    }

    void enqueue()
    {
        static const std::vector<std::string> names { "urgent", "middle", "bulk" };
        WaitingCall next = call(names.at(this->random() % 3), this->random() % 40, this->random() % 100'000);
        next.tenant = std::to_string(this->random() % 3);
        if (this->random() % 2 == 0)
            next.deadline = this->now + milliseconds(1 + this->random() % 2000);
        EnqueueResult result = this->queue.enqueue(next, this->now);
        if (result.accepted)
            CPPUNIT_ASSERT(this->waiting.insert(result.ticket).second);
    }

    void cancelOne()
    {
        if (this->waiting.empty())
            return;
        this->queue.cancel(*this->waiting.begin());
        this->waiting.erase(this->waiting.begin());
    }

    void finishOne()
    {
        if (this->running.empty())
            return;
        this->queue.finished(*this->running.begin(), this->random() % 1000, this->now);
        this->running.erase(this->running.begin());
    }

    void grant()
    {
        while (auto ticket = this->queue.next(this->now)) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->waiting.erase(*ticket));
            CPPUNIT_ASSERT(this->running.insert(*ticket).second);
            CPPUNIT_ASSERT(this->running.size() <= this->capacity);
        }
        for (AdmissionTicket expired : this->queue.takeExpired())
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->waiting.erase(expired));
        CPPUNIT_ASSERT(this->waiting.empty() || this->running.size() >= this->capacity);
    }

    std::mt19937_64 random;
    std::size_t capacity = 3;
    AdmissionQueue queue { testRanks, 3 };
    std::set<AdmissionTicket> waiting;
    std::set<AdmissionTicket> running;
    TimePoint now = TimePoint {} + seconds(1);
};

} // namespace

class AdmissionQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(urgentGoesFirstAndSlotsAreBounded);
    CPPUNIT_TEST(floorsHoldWhenAnyRankIsOverloaded);
    CPPUNIT_TEST(idleRankSavesNoCredit);
    CPPUNIT_TEST(leastAttainedProgramGoesFirst);
    CPPUNIT_TEST(tenantsShareARank);
    CPPUNIT_TEST(lateDeadlineIsNotStarved);
    CPPUNIT_TEST(expiredAndCancelledCallsAreNotGranted);
    CPPUNIT_TEST(fullQueuesRefuseWithTheServiceRate);
    CPPUNIT_TEST(unmeetableDeadlineIsRefusedEarly);
    CPPUNIT_TEST(removedRankKeepsItsCalls);
    CPPUNIT_TEST(everyCallEndsExactlyOnce);
    CPPUNIT_TEST_SUITE_END();

    // An urgent call must not wait behind less urgent ones, and no call may be granted without a free slot, which would
    // overload servers.
    void urgentGoesFirstAndSlotsAreBounded()
    {
        AdmissionQueue queue(testRanks, 2);
        AdmissionTicket bulk = add(queue, call("bulk", 1));
        add(queue, call("middle", 2));
        AdmissionTicket urgent = add(queue, call("urgent", 3));
        CPPUNIT_ASSERT_EQUAL(urgent, queue.next(TimePoint {}).value());
        CPPUNIT_ASSERT_EQUAL(
            bulk, queue.next(TimePoint {}).value()); // after the first grant, "bulk" is below its floor
        CPPUNIT_ASSERT(!queue.next(TimePoint {}));
        queue.finished(urgent, 100, TimePoint {});
        queue.finished(urgent, 100, TimePoint {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.running());
        CPPUNIT_ASSERT(queue.next(TimePoint {}) && !queue.next(TimePoint {}));
    }

    // Overload in one rank must not reduce another rank's service below its floor share, whatever the size of the
    // calls.
    void floorsHoldWhenAnyRankIsOverloaded()
    {
        for (std::uint64_t tokens : { 20, 100, 700 }) {
            CPPUNIT_ASSERT(shareUnderOverload({ "urgent", "bulk" }, "bulk", tokens) >= 19'000);
            CPPUNIT_ASSERT(shareUnderOverload({ "urgent", "bulk" }, "bulk", tokens) <= 21'000);
            CPPUNIT_ASSERT(shareUnderOverload({ "urgent", "middle", "bulk" }, "bulk", tokens) >= 19'000);
            CPPUNIT_ASSERT(shareUnderOverload({ "urgent", "middle", "bulk" }, "urgent", tokens) >= 79'000);
            CPPUNIT_ASSERT(shareUnderOverload({ "middle", "bulk" }, "bulk", tokens) >= 19'000);
        }
    }

    // A rank must not accumulate credit while it has no waiting calls; it would later delay urgent calls.
    void idleRankSavesNoCredit()
    {
        AdmissionQueue queue(testRanks, 1);
        for (std::uint64_t i = 0; i < 50; ++i) {
            add(queue, call("urgent", i));
            queue.finished(queue.next(TimePoint {}).value(), 100, TimePoint {});
        }
        add(queue, call("bulk", 100));
        AdmissionTicket urgent = add(queue, call("urgent", 101));
        CPPUNIT_ASSERT_EQUAL(urgent, queue.next(TimePoint {}).value());
    }

    // A short program must not wait behind long ones, and a pause between calls must not change a program's position.
    void leastAttainedProgramGoesFirst()
    {
        AdmissionQueue queue(testRanks, 10);
        AdmissionTicket longProgram = add(queue, call("urgent", 1, 50'000));
        AdmissionTicket middle = add(queue, call("urgent", 2, 5'000));
        AdmissionTicket fresh = add(queue, call("urgent", 3, 0));
        for (AdmissionTicket expected : { fresh, middle, longProgram })
            CPPUNIT_ASSERT_EQUAL(expected, queue.next(TimePoint {}).value());
    }

    // However many calls one tenant has waiting, a call of another tenant in the same rank must wait for at most one of
    // them.
    void tenantsShareARank()
    {
        AdmissionQueue queue(testRanks, 100);
        for (std::uint64_t i = 0; i < 50; ++i)
            add(queue, call("urgent", i));
        for (int i = 0; i < 20; ++i)
            queue.next(TimePoint {});
        WaitingCall other = call("urgent", 1000, 50'000);
        other.tenant = "other";
        AdmissionTicket first = add(queue, other);
        other.program.number = 1001;
        AdmissionTicket second = add(queue, other);
        std::vector<AdmissionTicket> order;
        order.reserve(4);
        for (int i = 0; i < 4; ++i)
            order.push_back(queue.next(TimePoint {}).value());
        CPPUNIT_ASSERT(std::find(order.begin(), order.begin() + 2, first) != order.begin() + 2);
        CPPUNIT_ASSERT(std::find(order.begin(), order.end(), second) != order.end());
    }

    // Ordering only by attained service would starve a long program while new programs keep arriving.
    void lateDeadlineIsNotStarved()
    {
        AdmissionQueue queue(testRanks, 1);
        TimePoint now;
        for (std::uint64_t i = 0; i < 30; ++i) { // the queue measures a call duration of 1 s
            add(queue, call("urgent", i), now);
            AdmissionTicket ticket = queue.next(now).value();
            now += seconds(1);
            queue.finished(ticket, 100, now);
        }
        WaitingCall old = call("urgent", 99, 100'000);
        old.deadline = now + seconds(20);
        AdmissionTicket late = add(queue, old, now);
        bool granted = false;
        for (std::uint64_t i = 100; i < 130 && !granted; ++i) {
            add(queue, call("urgent", i), now);
            AdmissionTicket ticket = queue.next(now).value();
            granted = ticket == late;
            now += milliseconds(250);
            queue.finished(ticket, 100, now);
        }
        CPPUNIT_ASSERT(!granted); // its deadline is not near enough yet
        for (std::uint64_t i = 200; i < 300 && !granted; ++i) {
            add(queue, call("urgent", i), now);
            AdmissionTicket ticket = queue.next(now).value();
            granted = ticket == late;
            now += milliseconds(250);
            queue.finished(ticket, 100, now);
        }
        CPPUNIT_ASSERT(granted);
        CPPUNIT_ASSERT(now < old.deadline);
    }

    // Granting a slot to a call that has expired or was cancelled would waste it.
    void expiredAndCancelledCallsAreNotGranted()
    {
        AdmissionQueue queue(testRanks, 1);
        WaitingCall shortLived = call("urgent", 1);
        shortLived.deadline = TimePoint {} + seconds(1);
        AdmissionTicket expired = add(queue, shortLived);
        AdmissionTicket cancelled = add(queue, call("urgent", 2));
        AdmissionTicket kept = add(queue, call("urgent", 3));
        queue.cancel(cancelled);
        queue.cancel(cancelled);
        CPPUNIT_ASSERT_EQUAL(kept, queue.next(TimePoint {} + seconds(1)).value());
        CPPUNIT_ASSERT(queue.takeExpired() == std::vector<AdmissionTicket> { expired });
        CPPUNIT_ASSERT(queue.takeExpired().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.waiting());
    }

    // Queue lengths must be bounded, and the retry time of a refused call must match the service rate of its rank.
    void fullQueuesRefuseWithTheServiceRate()
    {
        AdmissionQueue queue(testRanks, 1);
        for (std::size_t i = 0; i < AdmissionQueue::maxQueuedPerProgram; ++i)
            add(queue, call("bulk", 7));
        CPPUNIT_ASSERT(!queue.enqueue(call("bulk", 7), TimePoint {}).accepted);
        for (std::uint64_t i = 100; queue.waiting() < 100; ++i)
            add(queue, call("bulk", i));
        EnqueueResult unmeasured = queue.enqueue(call("bulk", 1000), TimePoint {});
        CPPUNIT_ASSERT(!unmeasured.accepted && unmeasured.retryAfter == seconds(1));
        TimePoint now;
        for (std::uint64_t i = 2000; i < 2200; ++i) {
            AdmissionTicket ticket = queue.next(now).value();
            now += milliseconds(200);
            queue.finished(ticket, 100, now);
            add(queue, call("bulk", i), now);
        }
        EnqueueResult refused = queue.enqueue(call("bulk", 1000), now);
        CPPUNIT_ASSERT(!refused.accepted && refused.reason.find("100") != std::string::npos);
        CPPUNIT_ASSERT(refused.retryAfter > seconds(15) && refused.retryAfter < seconds(25)); // 100 calls of 200 ms
        CPPUNIT_ASSERT(!queue.enqueue(call("nosuch", 1), now).accepted);
    }

    // A call that can't meet its deadline must be refused immediately instead of expiring in the queue.
    void unmeetableDeadlineIsRefusedEarly()
    {
        AdmissionQueue queue(testRanks, 1);
        TimePoint now;
        for (std::uint64_t i = 0; i < 50; ++i)
            add(queue, call("bulk", i), now);
        for (std::uint64_t i = 50; i < 150; ++i) {
            AdmissionTicket ticket = queue.next(now).value();
            now += milliseconds(200);
            queue.finished(ticket, 100, now);
            add(queue, call("bulk", i), now);
        }
        WaitingCall tooLate = call("bulk", 1000);
        tooLate.deadline = now + seconds(2); // 50 calls of 200 ms are ahead
        CPPUNIT_ASSERT(!queue.enqueue(tooLate, now).accepted);
        tooLate.deadline = now + seconds(20);
        CPPUNIT_ASSERT(queue.enqueue(tooLate, now).accepted);
        WaitingCall past = call("urgent", 1001);
        past.deadline = now;
        CPPUNIT_ASSERT(!queue.enqueue(past, now).accepted);
    }

    // Removing a rank must not lose its waiting calls, and its running calls must still be able to finish.
    void removedRankKeepsItsCalls()
    {
        AdmissionQueue queue(testRanks, 1);
        AdmissionTicket running = add(queue, call("middle", 1));
        CPPUNIT_ASSERT_EQUAL(running, queue.next(TimePoint {}).value());
        AdmissionTicket waiting = add(queue, call("middle", 2));
        queue.configure({ { "urgent", 10, 30, 100 }, { "bulk", 0, 20, 100 } }, 2);
        AdmissionTicket urgent = add(queue, call("urgent", 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.waitingByRank().at("bulk"));
        CPPUNIT_ASSERT_EQUAL(urgent, queue.next(TimePoint {}).value());
        queue.finished(running, 100, TimePoint {});
        CPPUNIT_ASSERT_EQUAL(waiting, queue.next(TimePoint {}).value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queue.running());
        queue.configure({}, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.waiting());
    }

    // A call must not be lost, granted twice or left waiting while a slot is free, even if the configuration changes:
    // its program would hang.
    void everyCallEndsExactlyOnce()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            RandomUse use(seed);
            for (int step = 0; step < 1000; ++step)
                use.step();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

} // namespace lovagecross
