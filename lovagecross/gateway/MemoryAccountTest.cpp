#include "lovagecross/gateway/MemoryAccount.h"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

using std::chrono::milliseconds;

class MemoryAccountTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryAccountTest);
    CPPUNIT_TEST(capacityDoublesUpToTheLimit);
    CPPUNIT_TEST(sharesLeaveRoomForTheProcess);
    CPPUNIT_TEST(longestSilentBodyGivesWayFirst);
    CPPUNIT_TEST(bodiesThatArriveDoNotGiveWay);
    CPPUNIT_TEST(bodiesAlreadyLeavingAreCounted);
    CPPUNIT_TEST(reservationIsGivenBack);
    CPPUNIT_TEST(bufferHoldsNoMoreThanIsReserved);
    CPPUNIT_TEST(completeBodyDoesNotGiveWay);
    CPPUNIT_TEST(smallBodyFitsBesideLargeOnes);
    CPPUNIT_TEST(onlyBodyIsAlwaysGranted);
    CPPUNIT_TEST(firstConversationIsAlwaysGranted);
    CPPUNIT_TEST(shortConversationFitsBesideLongOnes);
    CPPUNIT_TEST(oneOfTheWaitingAnswersGoesOn);
    CPPUNIT_TEST(waitForMemoryIsNotBoundedByWakeUps);
    CPPUNIT_TEST(waitForMemoryEndsInTime);
    CPPUNIT_TEST(noMoreBodiesGiveWayThanAreNeeded);
    CPPUNIT_TEST(accountIsUsableWhileBodiesAreWoken);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t share = 1024 * 1024;
    static constexpr MemoryShares shares { { share, share, share } };

    // A buffer that doubles past the limit would hold twice the largest legal body.
    void capacityDoublesUpToTheLimit()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(8192), nextBodyCapacity(4096, 5000, 10000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10000), nextBodyCapacity(8192, 9000, 10000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(700), nextBodyCapacity(0, 700, 700));
        CPPUNIT_ASSERT_EQUAL(std::size_t(16000), nextBodyCapacity(0, 16000, 20000));
    }

    // Shares that add up to the whole memory would leave none for the process itself.
    void sharesLeaveRoomForTheProcess()
    {
        MemoryShares parts = memorySharesOf(88 * bytesPerMegabyte);
        std::size_t sum = 0;
        for (std::size_t bytes : parts.bytes)
            sum += bytes;
        CPPUNIT_ASSERT(sum < 60 * bytesPerMegabyte);
        CPPUNIT_ASSERT(parts.of(MemoryUse::LargeBodies) > 2 * 6 * bytesPerMegabyte); // two that grow to 4 MB
    }

    // A caller that is still sending must not be refused before one that has stopped.
    void longestSilentBodyGivesWayFirst()
    {
        TimePoint now(std::chrono::hours(1));
        std::vector<UnfinishedBody> bodies { { 100, now - milliseconds(400) }, { 100, now - milliseconds(900) },
            { 100, now - milliseconds(600) } };
        CPPUNIT_ASSERT((std::vector<std::size_t> { 1 }) == bodiesThatGiveWay(bodies, 100, now));
        CPPUNIT_ASSERT((std::vector<std::size_t> { 1, 2 }) == bodiesThatGiveWay(bodies, 150, now));
    }

    // Refusing bodies that arrive would let two crowds end each other's requests for ever.
    void bodiesThatArriveDoNotGiveWay()
    {
        TimePoint now(std::chrono::hours(1));
        CPPUNIT_ASSERT(bodiesThatGiveWay({ { 100, now - milliseconds(20) } }, 100, now).empty());
    }

    // Without this, each waiting caller would end more bodies while those told before are still being freed.
    void bodiesAlreadyLeavingAreCounted()
    {
        TimePoint now(std::chrono::hours(1));
        std::vector<UnfinishedBody> bodies { { 100, now - milliseconds(900), true }, { 100, now - milliseconds(800) } };
        CPPUNIT_ASSERT(bodiesThatGiveWay(bodies, 100, now).empty());
    }

    // A reservation that leaks would use up the share for good.
    void reservationIsGivenBack()
    {
        ManualClock clock;
        MemoryAccount account(shares);
        {
            BufferReservation reservation(account, clock, 0, [] {});
            std::string body;
            CPPUNIT_ASSERT(reservation.grow(body, 5000, 100'000));
            CPPUNIT_ASSERT(account.used(MemoryUse::SmallBodies) > 5000);
            CPPUNIT_ASSERT(reservation.grow(body, 80'000, 100'000));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::SmallBodies));
            CPPUNIT_ASSERT(account.used(MemoryUse::LargeBodies) > 80'000);
            reservation.release(body);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::LargeBodies));
            CPPUNIT_ASSERT(reservation.grow(body, 5000, 100'000));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::SmallBodies));
    }

    // A string that grows by itself doubles its buffer beyond what was reserved.
    void bufferHoldsNoMoreThanIsReserved()
    {
        ManualClock clock;
        MemoryAccount account(shares);
        BufferReservation reservation(account, clock, 300'000, [] {});
        std::string body;
        while (body.size() < 300'000) {
            std::size_t piece = std::min<std::size_t>(16'000, 300'000 - body.size());
            CPPUNIT_ASSERT(reservation.grow(body, body.size() + piece, 300'000));
            body.append(piece, 'x');
            CPPUNIT_ASSERT(body.capacity() <= account.used(MemoryUse::LargeBodies));
        }
        CPPUNIT_ASSERT(body.capacity() <= 300'000);
    }

    // A request that may already be running must not be answered as one that has not run.
    void completeBodyDoesNotGiveWay()
    {
        ManualClock clock;
        MemoryAccount account(shares);
        int woken = 0;
        BufferReservation silent(account, clock, share, [&woken] { ++woken; });
        std::string body;
        CPPUNIT_ASSERT(silent.grow(body, 600'000, share));
        CPPUNIT_ASSERT(silent.complete());
        clock.advance(std::chrono::seconds(2));
        BufferReservation other(account, clock, share, [] {});
        std::string otherBody;
        CPPUNIT_ASSERT(!other.grow(otherBody, 600'000, share));
        CPPUNIT_ASSERT_EQUAL(0, woken);
    }

    // A crowd of large bodies must not keep ordinary requests out.
    void smallBodyFitsBesideLargeOnes()
    {
        ManualClock clock;
        MemoryAccount account(shares);
        BufferReservation large(account, clock, share, [] {});
        std::string body;
        CPPUNIT_ASSERT(large.grow(body, 1'000'000, share));
        BufferReservation small(account, clock, 1000, [] {});
        std::string smallBody;
        CPPUNIT_ASSERT(small.grow(smallBody, 1000, 1000));
    }

    // A single body inside the operators' limit must be served, also by a node whose share is smaller.
    void onlyBodyIsAlwaysGranted()
    {
        ManualClock clock;
        MemoryAccount account(shares);
        BufferReservation only(account, clock, 3 * share, [] {});
        std::string body;
        CPPUNIT_ASSERT(only.grow(body, share, 3 * share));
        body.append(share, 'x');
        CPPUNIT_ASSERT(only.grow(body, 3 * share, 3 * share));
        BufferReservation second(account, clock, share, [] {});
        std::string other;
        CPPUNIT_ASSERT(!second.grow(other, 1000, share));
    }

    // A conversation that is larger than the share must still be served by a calm node, and by no busy one.
    void firstConversationIsAlwaysGranted()
    {
        MemoryAccount account(shares);
        std::size_t first = 0;
        std::size_t second = 0;
        CPPUNIT_ASSERT(account.growConversation(first, share) && account.growConversation(first, 2 * share));
        CPPUNIT_ASSERT(!account.growConversation(second, smallBodyBytes + 1));
        account.shrinkConversation(first, 3 * share);
        CPPUNIT_ASSERT(account.growConversation(first, smallBodyBytes + 1));
        CPPUNIT_ASSERT(account.growConversation(second, share - smallBodyBytes - 1));
        CPPUNIT_ASSERT(!account.growConversation(first, 1));
        CPPUNIT_ASSERT_EQUAL(smallBodyBytes + 1, first);
    }

    // A crowd of long conversations must not keep short ones from being read.
    void shortConversationFitsBesideLongOnes()
    {
        MemoryAccount account(shares);
        std::size_t longOne = 0;
        std::size_t shortOne = 0;
        CPPUNIT_ASSERT(account.growConversation(longOne, 2 * share));
        CPPUNIT_ASSERT(account.growConversation(shortOne, smallBodyBytes));
        CPPUNIT_ASSERT(!account.growConversation(shortOne, 1));
        account.shrinkConversation(shortOne, smallBodyBytes);
        account.shrinkConversation(longOne, 2 * share);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::SmallBodies));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::Conversations));
    }

    struct Answer {
        BufferReservation memory;
        std::string content;
        bool grown = false;
        bool ended = false;

        Answer(MemoryAccount& account, const Clock& clock)
            : memory(account, clock, [] {})
        {
        }
    };

    // Answers without a length that hold part of the memory, and all wait for more, would block each other until their
    // deadlines. The oldest must go on, and no more may end than it needs.
    void oneOfTheWaitingAnswersGoesOn()
    {
        constexpr std::size_t begun = 300 * 1024;
        constexpr std::size_t answers = 17;
        ManualClock clock;
        MemoryAccount account(memorySharesOf(88 * bytesPerMegabyte));
        std::vector<std::unique_ptr<Answer>> waiting;
        for (std::size_t i = 0; i < answers; ++i) {
            waiting.push_back(std::make_unique<Answer>(account, clock));
            CPPUNIT_ASSERT(waiting.back()->memory.grow(waiting.back()->content, begun, share));
        }
        for (std::size_t round = 0; round < answers; ++round) {
            for (auto& answer : waiting) {
                if (answer->grown || answer->ended)
                    continue;
                answer->grown = answer->memory.grow(answer->content, 2 * begun, share);
                answer->ended = answer->memory.mustGiveWay();
                if (answer->grown || answer->ended)
                    answer->memory.release(answer->content);
            }
        }
        auto ended = std::count_if(waiting.begin(), waiting.end(), [](const auto& answer) { return answer->ended; });
        auto grown = std::count_if(waiting.begin(), waiting.end(), [](const auto& answer) { return answer->grown; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(15), grown);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), ended);
        CPPUNIT_ASSERT(waiting.front()->grown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.used(MemoryUse::Answers));
    }

    // A clock that counts how often it is read, and goes on by `step` each time.
    class CountingClock final : public Clock {
    public:
        explicit CountingClock(Duration stepOfReads)
            : step(stepOfReads)
        {
        }

        TimePoint now() const override
        {
            return TimePoint(this->step * this->reads.fetch_add(1)) + this->advanced.load();
        }
        std::int64_t unixMillis() const override { return 0; }

        const Duration step;
        mutable std::atomic<std::int64_t> reads { 0 };
        std::atomic<Duration> advanced { Duration(0) };
    };

    // On a busy node memory that is freed elsewhere wakes the waiting caller often. Bounding the wait by wake-ups would
    // refuse it before the bodies that were told to give way have done so.
    void waitForMemoryIsNotBoundedByWakeUps()
    {
        constexpr int wakeUps = 400;
        CountingClock clock { Duration(0) };
        MemoryAccount account(shares);
        std::atomic<bool> woken { false };
        BufferReservation silent(account, clock, share, [&woken] { woken = true; });
        std::string silentBody;
        CPPUNIT_ASSERT(silent.grow(silentBody, 600'000, share));
        clock.advanced = std::chrono::seconds(2);
        std::atomic<bool> ended { false };
        bool granted = false;
        std::thread grower([&] {
            BufferReservation growing(account, clock, share, [] {});
            std::string body;
            granted = growing.grow(body, 600'000, share);
            ended = true;
        });
        while (!woken && !ended)
            std::this_thread::yield();
        BufferReservation busy(account, clock, 0, [] {});
        std::string busyBody;
        for (int i = 0; i < wakeUps && !ended; ++i) {
            busy.grow(busyBody, 1000, 1000);
            busy.release(busyBody);
            std::this_thread::sleep_for(milliseconds(1));
        }
        silent.release(silentBody);
        grower.join();
        CPPUNIT_ASSERT(granted);
    }

    // A caller must not wait without end for bodies that were told to give way and do not.
    void waitForMemoryEndsInTime()
    {
        CountingClock clock { milliseconds(10) };
        MemoryAccount account(shares);
        BufferReservation silent(account, clock, share, [] {});
        std::string silentBody;
        CPPUNIT_ASSERT(silent.grow(silentBody, 600'000, share));
        clock.advanced = std::chrono::seconds(2);
        BufferReservation growing(account, clock, share, [] {});
        std::string body;
        std::int64_t readsBefore = clock.reads;
        CPPUNIT_ASSERT(!growing.grow(body, 600'000, share));
        CPPUNIT_ASSERT(clock.reads - readsBefore < 50); // 0.3 s of this clock, and some reads more
    }

    // Callers that could finish must not be refused for memory that is free already.
    void noMoreBodiesGiveWayThanAreNeeded()
    {
        CountingClock clock { milliseconds(10) };
        MemoryAccount account(shares);
        int woken = 0;
        std::vector<std::unique_ptr<BufferReservation>> silent;
        std::vector<std::string> bodies(4);
        for (std::string& body : bodies) {
            silent.push_back(std::make_unique<BufferReservation>(account, clock, 200'000, [&woken] { ++woken; }));
            CPPUNIT_ASSERT(silent.back()->grow(body, 200'000, 200'000));
        }
        clock.advanced = std::chrono::seconds(2);
        BufferReservation growing(account, clock, 300'000, [] {});
        std::string body;
        growing.grow(body, 300'000, 300'000);
        CPPUNIT_ASSERT_EQUAL(1, woken);
    }

    // Waking a session makes system calls. Every other connection would wait for them if the account were locked.
    void accountIsUsableWhileBodiesAreWoken()
    {
        CountingClock clock { milliseconds(10) };
        MemoryAccount account(shares);
        bool usable = false;
        std::future<std::size_t> used;
        BufferReservation silent(account, clock, share, [&] {
            used = std::async(std::launch::async, [&account] { return account.used(MemoryUse::LargeBodies); });
            usable = used.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
        });
        std::string silentBody;
        CPPUNIT_ASSERT(silent.grow(silentBody, 600'000, share));
        clock.advanced = std::chrono::seconds(2);
        BufferReservation growing(account, clock, share, [] {});
        std::string body;
        growing.grow(body, 600'000, share);
        CPPUNIT_ASSERT(usable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);

} // namespace lovagecross
