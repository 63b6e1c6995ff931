#pragma once

// A shard's journal: a durable, ordered log of records in the platform's object store. docs/design.md, section 4.2,
// describes it in detail.
//
// The log is divided into generations, and a generation into batches. Each batch is one object, whose key contains the
// generation and the batch's sequence number in it, from 0 without gaps. Every generation but the first (number 0)
// starts with a snapshot of the shard's state. A generation ends with a Seal record that names the next generation. A
// new owner seals the last generation, so that the next create of the former owner fails: the former owner is fenced.
//
// Bridging: while the platform can't be reached, the owner sends its batches to the shard's standby, which keeps them
// as bridge copies. Draining: when the platform can be reached again, the owner writes the bridged batches to it.
//
// Opening a shard:
//
//     Result<RecoveredShard> recovered = recoverShard(store, shard, writer, bridgeCopies);
//     ... apply recovered->records in order
//     Result<JournalPosition> position
//         = writeSnapshot(store, shard, writer, recovered->nextGeneration, snapshot, maxBatchBytes);
//     Journal journal(shard, writer, *position, settings);
//     removeGenerations(store, shard, recovered->oldGenerations);
//
// Committing:
//
//     Result<JournalTicket> ticket = journal.append({ CallFinished { ... } });
//     if (journal.flushDue(now)) {
//         while (drain && !journal.bridged().empty())     // the platform can be reached again
//             ... writeBatch(store, front): Committed: bridgedBatchesWritten(front.position);
//                                           Fenced: finishFlush(Fenced)
//         std::optional<JournalBatch> batch = journal.beginFlush(now);
//         journal.finishFlush(commitBatch(store, bridge, *batch, !journal.bridged().empty()));
//     }
//     journal.state(*ticket);    // Pending, Durable or Fenced
//
// Compaction: call `beginSnapshot` and copy the state under the shard's lock; then write a Seal at `position()` with
// writeBatch and the snapshot into the Seal's nextGeneration with writeSnapshot, and call `finishSnapshot`. Records
// appended meanwhile stay pending until then.
//
// Thread safety: `Journal` is not synchronized. Call `beginFlush` and `finishFlush` under the shard's lock, and
// `commitBatch` and `writeBatch`, which call the store, without it.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/journal/Record.h"
#include "lovagecross/ports/ObjectStore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

// The position of a batch in a shard's journal.
struct JournalPosition {
    std::uint32_t generation = 0;
    std::uint64_t sequence = 0; // number of the object within the generation

    // clang-tidy 14 takes the literal 0 in the comparisons generated from <=> for a null pointer constant.
    auto operator<=>(const JournalPosition&) const = default; // NOLINT(modernize-use-nullptr)
};

struct JournalSettings {
    std::size_t maxBatchBytes = 900 * 1024; // below maxObjectBytes, with room for the header
    Duration minCommitInterval = std::chrono::milliseconds(250); // at most 4 writes/s per shard
    std::size_t compactAfterObjects = 256;
    std::size_t compactAfterBytes = 64 * 1024 * 1024;
    std::size_t maxPendingBytes = 8 * 1024 * 1024; // appends beyond this fail with Overloaded
};

// Identity of the writer of a batch. It is part of the batch header, so that a writer that got no answer to a create
// can tell its own object from another writer's.
struct JournalWriter {
    NodeIncarnation node;
    std::uint64_t epoch = 0;
};

// An encoded batch with the shard and position that its key is made from.
struct JournalBatch {
    ShardId shard;
    JournalPosition position;
    std::string bytes;
};

std::string journalKey(const ShardId& shard, JournalPosition position);
std::string journalPrefix(const ShardId& shard);

// The position in a key made by `journalKey`, or nullopt for any other key.
std::optional<JournalPosition> parseJournalKey(const ShardId& shard, std::string_view key);

// Encodes records into one batch. Errors: TooLarge when the batch exceeds maxObjectBytes.
Result<std::string> encodeBatch(const JournalWriter& writer, const std::vector<Record>& records);

struct DecodedBatch {
    JournalWriter writer;
    std::vector<Record> records;
};

// Errors: CorruptData naming `key` and the byte offset, for an invalid header, checksum, length or record.
Result<DecodedBatch> decodeBatch(std::string_view key, std::string_view bytes);

// Result of recoverShard.
struct RecoveredShard {
    // Records of the newest complete generation, ProgramSnapshot records first. Seal and SnapshotEnd records are
    // validated and left out.
    std::vector<Record> records;
    std::uint32_t sealedGeneration = 0; // the last generation, which recoverShard has sealed
    std::uint32_t nextGeneration = 0; // where the new owner writes its snapshot
    std::vector<std::uint32_t> oldGenerations; // ascending; to be passed to removeGenerations after writeSnapshot
    std::uint64_t objectsRead = 0;
};

enum class FlushOutcome {
    Nothing, // there was nothing to write
    Committed, // the batch is stored at the platform
    Bridged, // the standby has stored a copy; the batch is written to the platform later
    Retry, // neither the platform nor the standby stored the batch; the records stay pending
    Fenced, // another writer's object is in the batch's place, usually a seal; this writer must stop
};

// Writes the bridge copies of one shard to the platform, in order. A node that takes over a shard does this before it
// claims the lease, and passes the same copies to recoverShard. Otherwise the records would be lost if the node died
// between its claim and the recovery, since neither the fenced owner nor the next standby could write them. Safe at any
// other time, since the copies are byte for byte the owner's batches. Copies of generations before that of the newest
// copy are skipped, since the owner drains before it compacts.
//
// Returns Nothing if there are no copies. Returns Fenced if another object is in the place of a copy or an object
// before a copy is missing; that copy and the later ones were not written.
FlushOutcome createBridgeCopies(ObjectStore& store, std::vector<JournalBatch> copies);

// Reads the shard's journal and seals its last generation for `claim`, so that no earlier writer can append. First
// writes the batches of `bridgeCopies` that continue the last generation, in order. Skips copies that the journal
// already contains and copies left by a fenced writer.
// Errors: Unavailable (call again with the same arguments), CorruptData (such as a gap or a wrong checksum; nothing was
// sealed unless the error is the snapshot's program count, which is checked last), VersionConflict (the claim is stale:
// another writer of the same or a later epoch has written to the journal).
Result<RecoveredShard> recoverShard(ObjectStore& store, const ShardId& shard, const JournalWriter& claim,
    const std::vector<JournalBatch>& bridgeCopies);

// Writes `snapshot`, followed by a SnapshotEnd record, as the start of `generation`. Returns the position after it.
// Errors: Unavailable (may be called again with the same arguments), VersionConflict (another owner has written to this
// generation or to a newer one).
Result<JournalPosition> writeSnapshot(ObjectStore& store, const ShardId& shard, const JournalWriter& writer,
    std::uint32_t generation, const std::vector<Record>& snapshot, std::size_t maxBatchBytes);

// Number of generations before the newest whose seal is kept when their other objects are deleted.
//
// A deleted seal no longer fences its generation: a writer that was paused together with its clock could create its
// next object in the seal's place. Such a writer stays fenced until this many compactions (at least 68 minutes, since
// each follows 256 writes at intervals of at least 250 ms) or takeovers (at least 4 s each) have happened.
inline constexpr std::uint32_t retainedSealGenerations = 64;

// Deletes the objects of `generations` and of all earlier generations in ascending order, and those of each
// generation from its first object on. Keeps a generation's last object, its seal, if it is one of the
// `retainedSealGenerations` generations before the newest. Idempotent. Returns whether everything was deleted.
bool removeGenerations(ObjectStore& store, const ShardId& shard, const std::vector<std::uint32_t>& generations);

// Number of an append, ascending. Appends become durable in this order.
using JournalTicket = std::uint64_t;

enum class TicketState {
    Pending,
    Durable,
    Fenced, // another owner has sealed the journal; the record is not part of it
};

// Sends a batch to the standby. Returns true once the standby has stored it. Implementations must ensure all of the
// following, since the next owner finds only the copies of the standby that the lease names:
// - The lease names the same standby before and after the call.
// - The standby rejects batches once it has started a takeover or has given its copies to a claimant.
// - The standby is changed only while `bridged()` is empty and no send is in progress.
using BridgeSend = std::function<bool(const JournalBatch& batch)>;

// The owner's write side of a journal: collects records and writes them in batches (group commit). A Journal belongs to
// one epoch; a node that loses its lease and claims it again needs a new Journal for the new epoch. Since that can
// happen while the store is being called, the caller must check that `epoch()` is still the lease's epoch before it
// reports a record as durable and before it sends a batch to the standby.
class Journal {
public:
    Journal(ShardId shard, JournalWriter writer, JournalPosition position, JournalSettings settings);

    // Adds records that become durable together. A Seal must be appended alone and ends the generation.
    // Errors: Overloaded if maxPendingBytes would be exceeded; TooLarge if the records don't fit one object; NotOwner
    // if fenced; Unavailable after a Seal; Internal if a Seal is not the only record.
    Result<JournalTicket> append(const std::vector<Record>& records);

    TicketState state(JournalTicket ticket) const;

    // The last ticket issued, or 0. A reader that waits until it is durable sees only durable records.
    JournalTicket lastAppended() const { return this->lastTicket; }

    // Whether a flush should start now: there are records to write, no flush or snapshot is in progress, and
    // minCommitInterval has passed since the last flush began.
    bool flushDue(TimePoint now) const;

    // The earliest time at which flushDue is true (TimePoint() before the first flush), or nullopt if nothing is
    // pending, a flush or snapshot is in progress, or the journal is fenced.
    std::optional<TimePoint> nextFlush() const;

    // Starts a flush of as many pending records as fit one batch. Returns nullopt if there is nothing to write or a
    // flush can't start now. Otherwise the caller must call finishFlush exactly once. After Retry, the next call
    // returns the same bytes again, since the earlier write may still take effect.
    std::optional<JournalBatch> beginFlush(TimePoint now);

    // Called with the result of a flush. Also called with Fenced, without a flush in progress, when another object was
    // found in the place of a bridged batch while draining.
    void finishFlush(FlushOutcome outcome);

    // Batches of which only the standby has a copy, oldest first. They must be written to the platform in this order
    // before any later batch.
    const std::deque<JournalBatch>& bridged() const { return this->bridgedBatches; }
    std::size_t bridgedBytes() const { return this->bridgedByteCount; }
    // Called when the bridged batches up to and including `position` have been written to the platform.
    void bridgedBatchesWritten(JournalPosition position);

    std::uint64_t epoch() const { return this->writer.epoch; }
    bool fenced() const { return this->isFenced; }

    // Whether more than compactAfterObjects or compactAfterBytes were written since this Journal was created or last
    // compacted. The snapshot at the start of the generation doesn't count; otherwise compaction would be due again
    // right after a large snapshot.
    bool compactionDue() const;

    // Whether a snapshot may begin: no flush is in progress or has to be retried, all bridged batches are drained, no
    // Seal was appended, and the journal is not fenced.
    bool snapshotAllowed() const;

    // Begins a snapshot of the state that the caller copies under the same lock. The snapshot includes the effects of
    // all pending records, so these are discarded here and count as durable after `finishSnapshot`. No flush is due
    // until then.
    void beginSnapshot();
    void finishSnapshot(JournalPosition position);

    JournalPosition position() const { return this->nextPosition; }
    std::size_t pendingBytes() const { return this->pendingByteCount; }

private:
    struct PendingAppend {
        JournalTicket ticket = 0;
        std::string framedRecords;
        std::size_t recordCount = 0;
        bool seal = false;
    };

    JournalBatch makeBatch();
    void markInFlightDurable();

    ShardId shard;
    JournalWriter writer;
    JournalPosition nextPosition;
    JournalSettings settings;
    std::deque<PendingAppend> pending;
    std::deque<JournalBatch> bridgedBatches;
    std::optional<JournalBatch> inFlight; // the batch being written; kept after Retry
    JournalTicket inFlightTicket = 0; // the last ticket in inFlight
    std::size_t inFlightRecordBytes = 0;
    bool flushInProgress = false; // between beginFlush and finishFlush
    std::size_t pendingByteCount = 0;
    std::size_t bridgedByteCount = 0;
    std::size_t objectsSinceStart = 0;
    std::size_t bytesSinceStart = 0;
    JournalTicket lastTicket = 0;
    JournalTicket durableTicket = 0;
    std::optional<TimePoint> lastFlush;
    bool sealAppended = false;
    std::optional<JournalTicket> snapshotTicket; // last ticket in the snapshot that is being written, if there is one
    bool isFenced = false;
};

// Writes one batch to the platform. If the result of the create is Conflict or Unknown, reads the object back and
// compares it: returns Committed if it is this batch, Fenced if it is another, and Retry if it couldn't be read.
FlushOutcome writeBatch(ObjectStore& store, const JournalBatch& batch);

// Commits a batch from beginFlush: writes it to the platform or, if that fails, sends it to the standby. While earlier
// batches are bridged and not yet drained (`bridgedBefore`), sends it only to the standby, since objects must be
// created in order. `bridge` may be empty.
FlushOutcome commitBatch(ObjectStore& store, const BridgeSend& bridge, const JournalBatch& batch, bool bridgedBefore);

} // namespace lovagecross
