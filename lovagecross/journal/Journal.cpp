#include "lovagecross/journal/Journal.h"

#include "lovagecross/journal/Batch.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagecross {

Journal::Journal(ShardId shard, JournalWriter writer, JournalPosition position, JournalSettings settings)
    : shard(std::move(shard))
    , writer(std::move(writer))
    , nextPosition(position)
    , settings(settings)
{
}

Result<JournalTicket> Journal::append(const std::vector<Record>& records)
{
    constexpr std::size_t maxAppendBytes = maxObjectBytes - detail::maxBatchHeaderBytes;
    if (this->isFenced)
        return fail(ErrorCode::NotOwner, {}, "another owner has sealed the journal of shard " + this->shard.toString());
    if (this->sealAppended)
        return fail(ErrorCode::Unavailable, {}, "the generation is sealed and the next one is not written yet");
    PendingAppend append;
    append.recordCount = records.size();
    for (const Record& record : records) {
        append.framedRecords += detail::frameRecord(record);
        append.seal |= std::holds_alternative<Seal>(record);
    }
    std::size_t bytes = append.framedRecords.size();
    if (append.seal && records.size() != 1)
        return fail(ErrorCode::Internal, "records", "a Seal must be appended alone");
    if (bytes > maxAppendBytes)
        return fail(ErrorCode::TooLarge, "records",
            "records of " + std::to_string(bytes) + " bytes exceed the limit of " + std::to_string(maxAppendBytes));
    if (this->pendingByteCount + bytes > this->settings.maxPendingBytes)
        return fail(ErrorCode::Overloaded, {},
            "the journal of shard " + this->shard.toString() + " has " + std::to_string(this->pendingByteCount)
                + " bytes of uncommitted records");
    append.ticket = ++this->lastTicket;
    this->sealAppended = append.seal;
    this->pendingByteCount += bytes;
    this->pending.push_back(std::move(append));
    return this->lastTicket;
}

TicketState Journal::state(JournalTicket ticket) const
{
    if (ticket <= this->durableTicket)
        return TicketState::Durable;
    return this->isFenced ? TicketState::Fenced : TicketState::Pending;
}

std::optional<TimePoint> Journal::nextFlush() const
{
    bool nothingToWrite = this->pending.empty() && !this->inFlight;
    if (this->isFenced || this->flushInProgress || this->snapshotTicket || nothingToWrite)
        return std::nullopt;
    return this->lastFlush ? *this->lastFlush + this->settings.minCommitInterval : TimePoint();
}

bool Journal::flushDue(TimePoint now) const
{
    std::optional<TimePoint> due = this->nextFlush();
    return due && *due <= now;
}

JournalBatch Journal::makeBatch()
{
    std::string framed = std::move(this->pending.front().framedRecords);
    std::size_t recordCount = this->pending.front().recordCount;
    bool seal = this->pending.front().seal;
    this->inFlightTicket = this->pending.front().ticket;
    this->pending.pop_front();
    while (!seal && !this->pending.empty()) {
        const PendingAppend& next = this->pending.front();
        if (next.seal || framed.size() + next.framedRecords.size() > this->settings.maxBatchBytes)
            break;
        framed += next.framedRecords;
        recordCount += next.recordCount;
        this->inFlightTicket = next.ticket;
        this->pending.pop_front();
    }
    this->inFlightRecordBytes = framed.size();
    std::string bytes = detail::assembleBatch(this->writer, this->shard, this->nextPosition, framed, recordCount);
    return { this->shard, this->nextPosition, std::move(bytes) };
}

std::optional<JournalBatch> Journal::beginFlush(TimePoint now)
{
    if (this->isFenced || this->flushInProgress || this->snapshotTicket)
        return std::nullopt;
    if (!this->inFlight) {
        if (this->pending.empty())
            return std::nullopt;
        this->inFlight = this->makeBatch();
    }
    this->flushInProgress = true;
    this->lastFlush = now;
    return this->inFlight;
}

void Journal::markInFlightDurable()
{
    this->durableTicket = this->inFlightTicket;
    this->pendingByteCount -= this->inFlightRecordBytes;
    ++this->nextPosition.sequence;
    ++this->objectsSinceStart;
    this->bytesSinceStart += this->inFlight->bytes.size();
}

void Journal::finishFlush(FlushOutcome outcome)
{
    this->flushInProgress = false;
    if (outcome == FlushOutcome::Fenced)
        this->isFenced = true;
    bool durable = outcome == FlushOutcome::Committed || outcome == FlushOutcome::Bridged;
    if (!durable || !this->inFlight)
        return;
    this->markInFlightDurable();
    if (outcome == FlushOutcome::Bridged) {
        this->bridgedByteCount += this->inFlight->bytes.size();
        this->bridgedBatches.push_back(std::move(*this->inFlight));
    }
    this->inFlight.reset();
}

void Journal::bridgedBatchesWritten(JournalPosition position)
{
    while (!this->bridgedBatches.empty() && this->bridgedBatches.front().position <= position) {
        this->bridgedByteCount -= this->bridgedBatches.front().bytes.size();
        this->bridgedBatches.pop_front();
    }
}

bool Journal::compactionDue() const
{
    return this->objectsSinceStart > this->settings.compactAfterObjects
        || this->bytesSinceStart > this->settings.compactAfterBytes;
}

bool Journal::snapshotAllowed() const
{
    return !this->isFenced && !this->flushInProgress && !this->inFlight && !this->sealAppended
        && this->bridgedBatches.empty();
}

void Journal::beginSnapshot()
{
    this->snapshotTicket = this->lastTicket;
    this->pending.clear();
    this->pendingByteCount = 0;
}

void Journal::finishSnapshot(JournalPosition position)
{
    this->durableTicket = std::max(this->durableTicket, this->snapshotTicket.value_or(0));
    this->snapshotTicket.reset();
    this->nextPosition = position;
    this->objectsSinceStart = 0;
    this->bytesSinceStart = 0;
}

FlushOutcome writeBatch(ObjectStore& store, const JournalBatch& batch)
{
    std::string key = journalKey(batch.shard, batch.position);
    StoreStatus created = store.create(key, batch.bytes).status;
    if (created == StoreStatus::Ok)
        return FlushOutcome::Committed;
    if (created != StoreStatus::Conflict && created != StoreStatus::Unknown)
        return FlushOutcome::Retry;
    StoreResult existing = store.get(key);
    if (!existing.ok())
        return FlushOutcome::Retry;
    return existing.object.value == batch.bytes ? FlushOutcome::Committed : FlushOutcome::Fenced;
}

FlushOutcome commitBatch(ObjectStore& store, const BridgeSend& bridge, const JournalBatch& batch, bool bridgedBefore)
{
    if (!bridgedBefore) {
        FlushOutcome written = writeBatch(store, batch);
        if (written != FlushOutcome::Retry)
            return written;
    }
    return bridge && bridge(batch) ? FlushOutcome::Bridged : FlushOutcome::Retry;
}

} // namespace lovagecross
