#include "lovagecross/runtime/OwnedShard.h"

#include "lovagecross/testing/InMemoryObjectStore.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

// Callers, the commit thread and a reader use the shard concurrently, so scripts/test runs this test with the thread
// sanitizer as well.
class OwnedShardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnedShardTest);
    CPPUNIT_TEST(concurrentCallersKeepOrderAndDurability);
    CPPUNIT_TEST(repeatedCreationGivesTheSameProgram);
    CPPUNIT_TEST(losingTheShardWakesEveryone);
    CPPUNIT_TEST_SUITE_END();

    const ShardId shardId { "lodz1", 0 };
    const JournalWriter writer { { "node0", 7 }, 1 };
    SystemClock clock;

    OwnedShard makeShard()
    {
        JournalSettings settings;
        settings.minCommitInterval = std::chrono::milliseconds(1);
        return { this->shardId, 1, {}, Journal(this->shardId, this->writer, {}, settings), this->clock };
    }

    ProgramCreated created(std::uint64_t number) const
    {
        ProgramCreated record;
        record.program = { this->shardId, number };
        record.creationRequestId = "create-" + std::to_string(number);
        record.rank = "urgent";
        record.budgetTokens = 1000000;
        record.ceilingTokens = 1000000;
        return record;
    }

    static void commitUntil(OwnedShard& shard, ObjectStore& store, const std::atomic<bool>& stop)
    {
        while (!stop) {
            if (shard.waitForWork(std::chrono::milliseconds(5)) != WaitResult::Ready)
                continue;
            if (std::optional<JournalBatch> batch = shard.beginFlush())
                shard.finishFlush(writeBatch(store, *batch));
        }
    }

    TimePoint soon() const { return this->clock.now() + std::chrono::seconds(20); }

    template <typename T> static T value(Result<T> result)
    {
        CPPUNIT_ASSERT(result);
        return *result;
    }

    // A program's calls run one at a time, in queue order. A call that overtakes another one would break guarantee 1.
    void concurrentCallersKeepOrderAndDurability()
    {
        InMemoryObjectStore store;
        OwnedShard shard = this->makeShard();
        std::atomic<bool> stop { false };
        std::thread committer([&] { commitUntil(shard, store, stop); });
        JournalTicket ticket = 0;
        ProgramId program = value(shard.createProgram(this->created(1), ticket));
        std::atomic<int> inside { 0 };
        std::atomic<int> errors { 0 };
        std::vector<std::thread> callers;
        callers.reserve(4);
        for (int caller = 0; caller < 4; ++caller)
            callers.emplace_back([&, caller] {
                for (int i = 0; i < 10; ++i) {
                    QueueTicket queueTicket = value(shard.enterQueue(program));
                    errors += shard.waitForQueueHead(queueTicket, this->soon()) == WaitResult::Ready ? 0 : 1;
                    errors += inside.fetch_add(1) == 0 ? 0 : 1;
                    CallFinished finished;
                    finished.program = program;
                    finished.requestId = std::to_string(caller) + "-" + std::to_string(i);
                    finished.costTokens = 1;
                    finished.ceilingTokens = 1000000;
                    JournalTicket recorded = value(shard.record(program, { finished }));
                    errors += shard.waitDurable(recorded, this->soon()) == WaitResult::Ready ? 0 : 1;
                    --inside;
                    shard.leaveQueue(queueTicket);
                }
            });
        for (int i = 0; i < 50; ++i)
            shard.summaries();
        for (std::thread& caller : callers)
            caller.join();
        stop = true;
        committer.join();
        CPPUNIT_ASSERT_EQUAL(0, errors.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), shard.summaries().front().turns);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), shard.summaries().front().spentTokens);
    }

    // A retried creation request must not create a second program with a budget of its own.
    void repeatedCreationGivesTheSameProgram()
    {
        OwnedShard shard = this->makeShard();
        JournalTicket ticket = 0;
        ProgramId first = value(shard.createProgram(this->created(1), ticket));
        ProgramCreated again = this->created(1);
        again.program.number = 99;
        CPPUNIT_ASSERT(first == value(shard.createProgram(again, ticket)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shard.summaries().size());
    }

    // When a shard is lost, waiting calls must return at once and report the loss.
    void losingTheShardWakesEveryone()
    {
        OwnedShard shard = this->makeShard();
        JournalTicket ticket = 0;
        ProgramId program = value(shard.createProgram(this->created(1), ticket));
        QueueTicket running = value(shard.enterQueue(program));
        QueueTicket waiting = value(shard.enterQueue(program));
        WaitResult queueResult = WaitResult::Ready;
        WaitResult durableResult = WaitResult::Ready;
        std::thread queueWaiter([&] { queueResult = shard.waitForQueueHead(waiting, this->soon()); });
        std::thread durableWaiter([&] { durableResult = shard.waitDurable(ticket, this->soon()); });
        shard.markLost();
        queueWaiter.join();
        durableWaiter.join();
        CPPUNIT_ASSERT(queueResult == WaitResult::Lost);
        CPPUNIT_ASSERT(durableResult == WaitResult::Lost);
        shard.leaveQueue(waiting);
        shard.leaveQueue(running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shard.activeCalls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnedShardTest);

} // namespace lovagecross
