#pragma once

// The in-memory state of a shard that this node owns: its programs, their call queues and the journal that makes
// changes durable. It exists from the end of recovery until the shard is handed over or lost.
//
//     QueueTicket queued = shard.enterQueue(program);
//     if (shard.waitForQueueHead(queued, deadline) == WaitResult::Ready) {
//         JournalTicket ticket = shard.record(program, records);
//         shard.waitDurable(ticket, deadline);
//     }
//     shard.leaveQueue(queued);
//
// Thread safety: every member may be called from any thread. One lock guards the whole shard; members that wait release
// it meanwhile.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/journal/Journal.h"
#include "lovagecross/program/ProgramState.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecross {

inline constexpr std::size_t maxQueuedCallsPerProgram = 16;
inline constexpr std::size_t maxProgramsPerShard = 20000;

enum class WaitResult {
    Ready,
    TimedOut,
    Lost, // this node no longer owns the shard; records not yet durable may or may not survive
};

// A call's position in its program's queue. Calls of a program run one at a time, in queue order.
struct QueueTicket {
    ProgramId program;
    std::uint64_t number = 0;
};

// The state of a program as shown to operators.
struct ProgramSummary {
    ProgramId id;
    std::string rank;
    std::string tenant;
    std::size_t turns = 0;
    bool ended = false;
    std::uint64_t spentTokens = 0;
    std::uint64_t budgetTokens = 0;
};

class OwnedShard {
public:
    OwnedShard(ShardId id, std::uint64_t epoch, ProgramTable programs, Journal journal, Clock& clock);

    const ShardId& id() const { return this->shardId; }
    std::uint64_t epoch() const { return this->shardEpoch; }

    // Creates a program, or returns the one created by an earlier request with the same id and tenant. The creation is
    // durable once `ticket` is. Errors: Overloaded, NotOwner while the shard is closing.
    Result<ProgramId> createProgram(ProgramCreated created, JournalTicket& ticket);

    // Joins the program's queue. Errors: UnknownProgram, Overloaded, NotOwner while the shard is closing.
    Result<QueueTicket> enterQueue(const ProgramId& program);
    WaitResult waitForQueueHead(const QueueTicket& queueTicket, TimePoint deadline);
    void leaveQueue(const QueueTicket& queueTicket);

    // Calls `body(const ProgramState&)` with the lock held and returns its result. Errors: UnknownProgram.
    template <typename Body>
    auto withProgram(const ProgramId& program, Body&& body)
        -> Result<decltype(body(std::declval<const ProgramState&>()))>
    {
        std::lock_guard lock(this->mutex);
        auto found = this->programs.find(program);
        if (found == this->programs.end())
            return fail(unknownProgram(program));
        return body(found->second);
    }

    // Appends records of one program to the journal and applies them to its state, as one unit. Errors: NotOwner when
    // the shard is lost, UnknownProgram, Internal for a record that can't be applied, and the errors of
    // Journal::append.
    Result<JournalTicket> record(const ProgramId& program, const std::vector<Record>& records);

    WaitResult waitDurable(JournalTicket ticket, TimePoint deadline);

    // Waits until everything recorded so far is durable. A read that waits for this first returns no state that a
    // takeover could roll back.
    WaitResult waitAllDurable(TimePoint deadline);

    std::vector<ProgramSummary> summaries() const;
    std::vector<std::pair<ProgramId, std::vector<std::string>>> endedWithSessions() const;

    // Returns whether the program exists and has not ended.
    bool isRunning(const ProgramId& program) const;

    // Rejects new calls and programs from now on; calls already queued continue.
    void close();

    // The number of calls in the queues, waiting or running.
    std::size_t activeCalls() const;

    // Marks the shard as no longer owned by this node and wakes all waiting threads with WaitResult::Lost.
    void markLost();
    bool lost() const;

    // For the commit thread; see Journal.
    WaitResult waitForWork(Duration longest);
    std::optional<JournalBatch> beginFlush();
    void finishFlush(FlushOutcome outcome);
    std::optional<JournalBatch> oldestBridgedBatch() const;
    std::vector<JournalBatch> bridgedBatchesAfter(JournalPosition position) const;
    void bridgedBatchesWritten(JournalPosition position);
    std::size_t bridgedBytes() const;
    bool journalIdle() const;
    bool compactionDue() const;

    // Compaction, called by the commit thread while no flush is in progress. `beginSnapshot` returns the whole state,
    // including records not yet flushed; `finishSnapshot` continues the journal at `position`, after the snapshot.
    std::vector<Record> beginSnapshot(std::size_t maxRecordBytes);
    void finishSnapshot(JournalPosition position);
    JournalPosition position() const;

private:
    struct Queue {
        std::deque<std::uint64_t> numbers;
    };

    static Error unknownProgram(const ProgramId& program);
    Result<void> checkOpen() const;

    ShardId shardId;
    std::uint64_t shardEpoch;
    Clock& clock;
    mutable std::mutex mutex;
    std::condition_variable changed; // notified when a queue, durability or ownership changes
    std::condition_variable workAvailable; // wakes the commit thread
    ProgramTable programs;
    std::unordered_map<std::string, ProgramId> programByCreation; // by "<tenant>/<creation request id>"
    std::unordered_map<ProgramId, Queue> queues;
    Journal journal;
    std::uint64_t nextTicketNumber = 1;
    std::size_t activeCallCount = 0;
    bool isClosing = false;
    bool isLost = false;
};

} // namespace lovagecross
