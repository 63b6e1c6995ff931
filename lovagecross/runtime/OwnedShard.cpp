#include "lovagecross/runtime/OwnedShard.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

// Waits are bounded because advancing a test's manual clock does not wake waiting threads.
constexpr std::chrono::milliseconds recheckInterval(20);

std::string creationKey(const ProgramCreated& created)
{
    return created.tenant + "/" + created.creationRequestId;
}

} // namespace

OwnedShard::OwnedShard(ShardId id, std::uint64_t epoch, ProgramTable recovered, Journal startedJournal, Clock& clock)
    : shardId(std::move(id))
    , shardEpoch(epoch)
    , clock(clock)
    , programs(std::move(recovered))
    , journal(std::move(startedJournal))
{
    for (const auto& [program, state] : this->programs)
        this->programByCreation.emplace(creationKey(state.created), program);
}

Error OwnedShard::unknownProgram(const ProgramId& program)
{
    return { ErrorCode::UnknownProgram, "no program " + program.toString(), "program", RunState::NotRun, Duration(0) };
}

Result<void> OwnedShard::checkOpen() const
{
    if (this->isLost || this->isClosing)
        return fail(Error { ErrorCode::NotOwner, "shard " + this->shardId.toString() + " is changing owners", {},
            RunState::NotRun, std::chrono::milliseconds(200) });
    return {};
}

Result<ProgramId> OwnedShard::createProgram(ProgramCreated created, JournalTicket& ticket)
{
    std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->checkOpen());
    auto known = this->programByCreation.find(creationKey(created));
    if (known != this->programByCreation.end()) {
        ticket = this->journal.lastAppended();
        return known->second;
    }
    if (this->programs.size() >= maxProgramsPerShard)
        return fail(Error { ErrorCode::Overloaded,
            "the shard has reached its limit of " + std::to_string(maxProgramsPerShard) + " programs", {},
            RunState::NotRun, std::chrono::seconds(10) });
    while (this->programs.count(created.program) != 0)
        ++created.program.number;
    BOOST_LEAF_ASSIGN(ticket, this->journal.append({ created }));
    this->programs.emplace(created.program, ProgramState(created));
    this->programByCreation.emplace(creationKey(created), created.program);
    this->workAvailable.notify_one();
    return created.program;
}

Result<QueueTicket> OwnedShard::enterQueue(const ProgramId& program)
{
    std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->checkOpen());
    if (this->programs.count(program) == 0)
        return fail(unknownProgram(program));
    Queue& queue = this->queues[program];
    if (queue.numbers.size() >= maxQueuedCallsPerProgram)
        return fail(Error { ErrorCode::Overloaded,
            "the program has reached its limit of " + std::to_string(maxQueuedCallsPerProgram) + " waiting calls", {},
            RunState::NotRun, std::chrono::seconds(1) });
    QueueTicket queueTicket { program, this->nextTicketNumber++ };
    queue.numbers.push_back(queueTicket.number);
    ++this->activeCallCount;
    return queueTicket;
}

WaitResult OwnedShard::waitForQueueHead(const QueueTicket& queueTicket, TimePoint deadline)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        if (this->isLost)
            return WaitResult::Lost;
        if (this->queues[queueTicket.program].numbers.front() == queueTicket.number)
            return WaitResult::Ready;
        if (this->clock.now() >= deadline)
            return WaitResult::TimedOut;
        this->changed.wait_for(lock, recheckInterval);
    }
}

void OwnedShard::leaveQueue(const QueueTicket& queueTicket)
{
    std::lock_guard lock(this->mutex);
    auto found = this->queues.find(queueTicket.program);
    std::erase(found->second.numbers, queueTicket.number);
    if (found->second.numbers.empty())
        this->queues.erase(found);
    --this->activeCallCount;
    this->changed.notify_all();
}

Result<JournalTicket> OwnedShard::record(const ProgramId& program, const std::vector<Record>& records)
{
    std::lock_guard lock(this->mutex);
    if (this->isLost)
        return fail(
            Error { ErrorCode::NotOwner, "shard " + this->shardId.toString() + " is no longer owned by this node", {},
                RunState::Unknown, Duration(0) });
    auto found = this->programs.find(program);
    if (found == this->programs.end())
        return fail(unknownProgram(program));
    BOOST_LEAF_AUTO(ticket, this->journal.append(records));
    for (const Record& entry : records) {
        bool applied = handle(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(applyRecord(found->second, entry));
                return true;
            },
            [](const Error&) { return false; });
        if (!applied) {
            // The state no longer matches the journal. The shard is given up, because only a recovery from the journal
            // restores a consistent state.
            this->isLost = true;
            this->changed.notify_all();
            return fail(
                Error { ErrorCode::Internal, "a journal record can't be applied to program " + program.toString(), {},
                    RunState::Unknown, Duration(0) });
        }
    }
    this->workAvailable.notify_one();
    return ticket;
}

WaitResult OwnedShard::waitDurable(JournalTicket ticket, TimePoint deadline)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        if (this->journal.state(ticket) == TicketState::Durable)
            return WaitResult::Ready;
        if (this->isLost || this->journal.state(ticket) == TicketState::Fenced)
            return WaitResult::Lost;
        if (this->clock.now() >= deadline)
            return WaitResult::TimedOut;
        this->changed.wait_for(lock, recheckInterval);
    }
}

WaitResult OwnedShard::waitAllDurable(TimePoint deadline)
{
    JournalTicket last = 0;
    {
        std::lock_guard lock(this->mutex);
        last = this->journal.lastAppended();
    }
    return this->waitDurable(last, deadline);
}

std::vector<ProgramSummary> OwnedShard::summaries() const
{
    std::lock_guard lock(this->mutex);
    std::vector<ProgramSummary> all;
    for (const auto& [program, state] : this->programs)
        all.push_back({ program, state.created.rank, state.created.tenant, state.turns.size(), state.ended,
            state.spentTokens, state.created.budgetTokens });
    return all;
}

std::vector<std::pair<ProgramId, std::vector<std::string>>> OwnedShard::endedWithSessions() const
{
    std::lock_guard lock(this->mutex);
    std::vector<std::pair<ProgramId, std::vector<std::string>>> ended;
    for (const auto& [program, state] : this->programs) {
        if (state.ended && !state.openSessions.empty())
            ended.emplace_back(program, std::vector<std::string>(state.openSessions.begin(), state.openSessions.end()));
    }
    return ended;
}

bool OwnedShard::isRunning(const ProgramId& program) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->programs.find(program);
    return found != this->programs.end() && !found->second.ended;
}

void OwnedShard::close()
{
    std::lock_guard lock(this->mutex);
    this->isClosing = true;
}

std::size_t OwnedShard::activeCalls() const
{
    std::lock_guard lock(this->mutex);
    return this->activeCallCount;
}

void OwnedShard::markLost()
{
    std::lock_guard lock(this->mutex);
    this->isLost = true;
    this->changed.notify_all();
    this->workAvailable.notify_all();
}

bool OwnedShard::lost() const
{
    std::lock_guard lock(this->mutex);
    return this->isLost;
}

WaitResult OwnedShard::waitForWork(Duration longest)
{
    std::unique_lock lock(this->mutex);
    TimePoint start = this->clock.now();
    while (true) {
        if (this->isLost)
            return WaitResult::Lost;
        TimePoint now = this->clock.now();
        if (this->journal.flushDue(now))
            return WaitResult::Ready;
        if (now - start >= longest)
            return WaitResult::TimedOut;
        Duration wait = longest - (now - start);
        if (auto next = this->journal.nextFlush())
            wait = std::min(wait, std::max<Duration>(*next - now, std::chrono::microseconds(200)));
        this->workAvailable.wait_for(lock, wait);
    }
}

std::optional<JournalBatch> OwnedShard::beginFlush()
{
    std::lock_guard lock(this->mutex);
    return this->journal.beginFlush(this->clock.now());
}

void OwnedShard::finishFlush(FlushOutcome outcome)
{
    std::lock_guard lock(this->mutex);
    this->journal.finishFlush(outcome);
    this->changed.notify_all();
}

std::optional<JournalBatch> OwnedShard::oldestBridgedBatch() const
{
    std::lock_guard lock(this->mutex);
    if (this->journal.bridged().empty())
        return std::nullopt;
    return this->journal.bridged().front();
}

std::vector<JournalBatch> OwnedShard::bridgedBatchesAfter(JournalPosition position) const
{
    std::lock_guard lock(this->mutex);
    std::vector<JournalBatch> batches;
    for (const JournalBatch& batch : this->journal.bridged()) {
        if (batch.position > position)
            batches.push_back(batch);
    }
    return batches;
}

void OwnedShard::bridgedBatchesWritten(JournalPosition position)
{
    std::lock_guard lock(this->mutex);
    this->journal.bridgedBatchesWritten(position);
}

std::size_t OwnedShard::bridgedBytes() const
{
    std::lock_guard lock(this->mutex);
    return this->journal.bridgedBytes();
}

bool OwnedShard::journalIdle() const
{
    std::lock_guard lock(this->mutex);
    return this->journal.pendingBytes() == 0 && this->journal.bridged().empty();
}

bool OwnedShard::compactionDue() const
{
    std::lock_guard lock(this->mutex);
    return this->journal.compactionDue() && this->journal.snapshotAllowed();
}

std::vector<Record> OwnedShard::beginSnapshot(std::size_t maxRecordBytes)
{
    std::lock_guard lock(this->mutex);
    this->journal.beginSnapshot();
    return snapshotRecords(this->programs, maxRecordBytes);
}

void OwnedShard::finishSnapshot(JournalPosition position)
{
    std::lock_guard lock(this->mutex);
    this->journal.finishSnapshot(position);
    this->changed.notify_all();
}

JournalPosition OwnedShard::position() const
{
    std::lock_guard lock(this->mutex);
    return this->journal.position();
}

} // namespace lovagecross
