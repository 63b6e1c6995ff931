// Recovery of a shard's journal: reading and sealing it, writing the new owner's snapshot and deleting old generations.
// docs/design.md, section 4.2.

#include "lovagecross/journal/Batch.h"
#include "lovagecross/journal/Journal.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace lovagecross {

namespace {

// An attempt is repeated if another writer has created or deleted an object meanwhile. A former owner creates at most 4
// objects per second, so a recovery that needs more attempts than this is failing for another reason.
constexpr int maxRecoveryAttempts = 100;

using SequencesByGeneration = std::map<std::uint32_t, std::set<std::uint64_t>>;

boost::leaf::error_id unavailableError(const std::string& key, StoreStatus status)
{
    return fail(
        ErrorCode::Unavailable, key, key + ": the platform answered " + std::string(storeStatusNames.name(status)));
}

boost::leaf::error_id corruptDataError(const std::string& key, std::string_view reason)
{
    return fail(ErrorCode::CorruptData, key, key + ": " + std::string(reason));
}

bool sameWriter(const JournalWriter& left, const JournalWriter& right)
{
    return left.node == right.node && left.epoch == right.epoch;
}

bool isEarlier(const JournalBatch& left, const JournalBatch& right)
{
    return left.position < right.position;
}

Result<SequencesByGeneration> listGenerations(ObjectStore& store, const ShardId& shard)
{
    ListResult listed = store.list(journalPrefix(shard), false);
    if (listed.status != StoreStatus::Ok && listed.status != StoreStatus::NotFound)
        return unavailableError(journalPrefix(shard), listed.status);
    SequencesByGeneration generations;
    for (const StoredObject& object : listed.objects) {
        std::optional<JournalPosition> position = parseJournalKey(shard, object.key);
        if (!position)
            return corruptDataError(object.key, "not a journal key of this shard");
        generations[position->generation].insert(position->sequence);
    }
    return generations;
}

// Fails with VersionConflict if a generation newer than `generation` exists. Must be called after a write into
// `generation`: the write may have succeeded only because a later owner has deleted the object in its place. An owner
// deletes a generation only after it has completed a newer one, and from then on a newer generation always exists.
Result<void> checkNewestGeneration(
    ObjectStore& store, const ShardId& shard, std::uint32_t generation, const JournalWriter& writer)
{
    BOOST_LEAF_AUTO(generations, listGenerations(store, shard));
    if (generations.empty() || generations.rbegin()->first <= generation)
        return {};
    return fail(ErrorCode::VersionConflict, journalPrefix(shard),
        journalPrefix(shard) + ": generation " + std::to_string(generations.rbegin()->first)
            + " exists; the claim of epoch " + std::to_string(writer.epoch) + " is stale");
}

// State of one generation, computed from its objects.
struct GenerationState {
    bool hasFirstObject = false; // an object with sequence 0 exists
    bool complete = false; // its snapshot is complete; always true for generation 0, which has none
    std::optional<Seal> seal;
    std::uint64_t nextSequence = 0; // after the last object read
    std::optional<JournalWriter> owner; // writer of all batches except possibly the seal
};

class Recovery {
public:
    Recovery(ObjectStore& store, const ShardId& shard, const JournalWriter& claim, std::vector<JournalBatch> copies)
        : store(store)
        , shard(shard)
        , claim(claim)
        , bridgeCopies(std::move(copies))
    {
    }

    Result<RecoveredShard> run();

private:
    // Returns whether the tail was sealed; false if another writer has changed the journal and it must be read again.
    Result<bool> attemptRecovery();

    Result<void> findBase();
    Result<void> findTail();
    Result<GenerationState> readGeneration(std::uint32_t generation);
    Result<void> readRemainingObjects(std::uint32_t generation, GenerationState& state);
    Result<const detail::VerifiedBatch*> loadBatch(JournalPosition position);
    Result<void> checkClaim(const std::string& key, const JournalWriter& writer) const;
    Result<void> checkRecordOrder(
        const std::string& key, const detail::VerifiedBatch& checked, GenerationState& state) const;
    Result<bool> copyContinuesTail(const JournalBatch& copy);
    Result<bool> writeCopies();
    Result<bool> sealTail();
    Result<RecoveredShard> collectRecords();

    ObjectStore& store;
    const ShardId& shard;
    const JournalWriter& claim;
    std::vector<JournalBatch> bridgeCopies;
    SequencesByGeneration generations;
    std::map<JournalPosition, detail::VerifiedBatch> loadedBatches; // kept between attempts, since objects never change
    bool listedObjectDeleted = false; // an object was deleted between the listing and the read
    std::uint32_t base = 0; // the newest complete generation, whose records are recovered
    GenerationState baseState;
    std::uint32_t tail = 0; // the last generation that the chain of seals leads to; the same as base or incomplete
    GenerationState tailState;
    std::uint32_t nextGeneration = 0; // the generation that the new owner starts
};

Result<const detail::VerifiedBatch*> Recovery::loadBatch(JournalPosition position)
{
    auto found = this->loadedBatches.find(position);
    if (found != this->loadedBatches.end())
        return &found->second;
    std::string key = journalKey(this->shard, position);
    StoreResult present = this->store.get(key);
    if (present.status == StoreStatus::NotFound)
        this->listedObjectDeleted = true;
    if (!present.ok())
        return unavailableError(key, present.status);
    BOOST_LEAF_AUTO(checked, detail::decodeAndVerifyBatch(key, present.object.value));
    return &this->loadedBatches.emplace(position, std::move(checked)).first->second;
}

Result<void> Recovery::checkClaim(const std::string& key, const JournalWriter& writer) const
{
    if (writer.epoch < this->claim.epoch || sameWriter(writer, this->claim))
        return {};
    return fail(ErrorCode::VersionConflict, key,
        key + ": written in epoch " + std::to_string(writer.epoch) + " by " + writer.node.node + "; the claim of epoch "
            + std::to_string(this->claim.epoch) + " is stale");
}

// Checks that the records of a generation are in this order: ProgramSnapshot records and a SnapshotEnd (neither exists
// in generation 0), other records, Seal.
Result<void> Recovery::checkRecordOrder(
    const std::string& key, const detail::VerifiedBatch& checked, GenerationState& state) const
{
    for (const Record& record : checked.batch.records) {
        if (state.seal)
            return corruptDataError(key, "a record follows the seal of its generation");
        if (const auto* seal = std::get_if<Seal>(&record)) {
            state.seal = *seal;
            continue;
        }
        bool isSnapshotRecord
            = std::holds_alternative<ProgramSnapshot>(record) || std::holds_alternative<SnapshotEnd>(record);
        if (isSnapshotRecord == state.complete)
            return corruptDataError(key,
                isSnapshotRecord ? "a snapshot record follows the snapshot's end"
                                 : "a record precedes the end of the snapshot");
        state.complete |= std::holds_alternative<SnapshotEnd>(record);
    }
    return {};
}

Result<GenerationState> Recovery::readGeneration(std::uint32_t generation)
{
    GenerationState state;
    state.complete = generation == 0;
    state.hasFirstObject = this->generations[generation].contains(0);
    if (Result<void> read = this->readRemainingObjects(generation, state); !read)
        return read.error();
    return state;
}

// Reads the objects from state.nextSequence on and updates `state`.
Result<void> Recovery::readRemainingObjects(std::uint32_t generation, GenerationState& state)
{
    const std::set<std::uint64_t>& sequences = this->generations[generation];
    while (sequences.contains(state.nextSequence)) {
        JournalPosition position { generation, state.nextSequence };
        std::string key = journalKey(this->shard, position);
        BOOST_LEAF_AUTO(checked, this->loadBatch(position));
        if (Result<void> valid = this->checkClaim(key, checked->batch.writer); !valid)
            return valid.error();
        if (Result<void> valid = this->checkRecordOrder(key, *checked, state); !valid)
            return valid.error();
        ++state.nextSequence;
        if (!state.owner)
            state.owner = checked->batch.writer;
    }
    return {};
}

// Finds the newest complete generation. Older generations may be partly deleted, so they are not checked.
Result<void> Recovery::findBase()
{
    std::vector<std::uint32_t> descending;
    for (const auto& [generation, sequences] : this->generations)
        descending.push_back(generation);
    std::reverse(descending.begin(), descending.end());
    for (std::uint32_t generation : descending) {
        BOOST_LEAF_AUTO(state, this->readGeneration(generation));
        if (state.hasFirstObject && state.complete) {
            this->base = generation;
            this->baseState = state;
            return {};
        }
    }
    if (!descending.empty())
        return corruptDataError(
            journalKey(this->shard, { descending.front(), 0 }), "the journal has no complete generation");
    this->base = 0;
    this->baseState = GenerationState {};
    this->baseState.complete = true;
    return {};
}

Result<void> Recovery::findTail()
{
    this->tail = this->base;
    this->tailState = this->baseState;
    for (;;) {
        const std::set<std::uint64_t>& sequences = this->generations[this->tail];
        if (sequences.size() != this->tailState.nextSequence)
            return corruptDataError(journalKey(this->shard, { this->tail, this->tailState.nextSequence }),
                "the object is missing but later ones exist");
        if (!this->tailState.seal)
            break;
        std::uint32_t following = this->tailState.seal->nextGeneration;
        if (following <= this->tail)
            return corruptDataError(journalKey(this->shard, { this->tail, this->tailState.nextSequence - 1 }),
                "the seal names generation " + std::to_string(following) + " as the next, which is not newer");
        this->tail = following;
        BOOST_LEAF_ASSIGN(this->tailState, this->readGeneration(following));
    }
    std::uint32_t newest = this->generations.rbegin()->first;
    if (newest > this->tail)
        return corruptDataError(
            journalKey(this->shard, { newest, 0 }), "the chain of seals does not lead to this generation");
    return {};
}

Result<bool> Recovery::copyContinuesTail(const JournalBatch& copy)
{
    std::string key = journalKey(copy.shard, copy.position);
    BOOST_LEAF_AUTO(checked, detail::decodeAndVerifyBatch(key, copy.bytes));
    if (copy.shard != this->shard || copy.position.generation < this->tail)
        return false;
    std::string missingKey = journalKey(this->shard, { this->tail, this->tailState.nextSequence });
    if (copy.position.generation > this->tail)
        return corruptDataError(missingKey, "the journal ends here but a bridge copy of a later generation exists");
    const std::optional<JournalWriter>& owner = this->tailState.owner;
    bool writtenByOwner = !owner || sameWriter(*owner, checked.batch.writer);
    if (!this->tailState.complete || !writtenByOwner)
        return false;
    if (copy.position.sequence > this->tailState.nextSequence)
        return corruptDataError(missingKey, "the object is missing but a bridge copy of a later one exists");
    if (copy.position.sequence == this->tailState.nextSequence)
        return true;
    if (this->loadedBatches.at(copy.position).nonce != checked.nonce)
        return corruptDataError(key, "the object differs from the bridge copy of the same writer");
    return false;
}

// Writes the bridge copies that continue the tail. Returns false if the journal must be read again, because another
// writer has changed it or a copy has sealed the tail.
Result<bool> Recovery::writeCopies()
{
    for (const JournalBatch& copy : this->bridgeCopies) {
        BOOST_LEAF_AUTO(continues, this->copyContinuesTail(copy));
        if (!continues)
            continue;
        std::string key = journalKey(copy.shard, copy.position);
        FlushOutcome outcome = writeBatch(this->store, copy);
        if (outcome == FlushOutcome::Retry)
            return unavailableError(key, StoreStatus::Unavailable);
        if (outcome == FlushOutcome::Fenced)
            return false;
        this->generations[this->tail].insert(copy.position.sequence);
        if (Result<void> read = this->readRemainingObjects(this->tail, this->tailState); !read)
            return read.error();
        if (this->tailState.seal)
            return false;
    }
    if (this->tail == this->base)
        this->baseState = this->tailState;
    return true;
}

Result<bool> Recovery::sealTail()
{
    this->nextGeneration = this->tail + 1;
    Record seal = Seal { this->claim.epoch, this->claim.node, this->nextGeneration };
    JournalPosition position { this->tail, this->tailState.nextSequence };
    JournalBatch batch { this->shard, position,
        detail::assembleBatch(this->claim, this->shard, position, detail::frameRecord(seal), 1) };
    FlushOutcome outcome = writeBatch(this->store, batch);
    if (outcome == FlushOutcome::Retry)
        return unavailableError(journalKey(this->shard, position), StoreStatus::Unavailable);
    return outcome == FlushOutcome::Committed;
}

Result<bool> Recovery::attemptRecovery()
{
    BOOST_LEAF_ASSIGN(this->generations, listGenerations(this->store, this->shard));
    if (Result<void> found = this->findBase(); !found)
        return found.error();
    if (Result<void> found = this->findTail(); !found)
        return found.error();
    BOOST_LEAF_AUTO(unchanged, this->writeCopies());
    if (!unchanged)
        return false;
    BOOST_LEAF_AUTO(sealed, this->sealTail());
    if (!sealed)
        return false;
    if (Result<void> newest = checkNewestGeneration(this->store, this->shard, this->tail, this->claim); !newest)
        return newest.error();
    return true;
}

Result<RecoveredShard> Recovery::collectRecords()
{
    RecoveredShard recovered;
    recovered.sealedGeneration = this->tail;
    recovered.nextGeneration = this->nextGeneration;
    recovered.objectsRead = this->loadedBatches.size();
    for (const auto& [generation, sequences] : this->generations)
        recovered.oldGenerations.push_back(generation);
    std::set<ProgramId> programs;
    for (std::uint64_t sequence = 0; sequence < this->baseState.nextSequence; ++sequence) {
        JournalPosition position { this->base, sequence };
        for (Record& record : this->loadedBatches.at(position).batch.records) {
            if (const auto* snapshot = std::get_if<ProgramSnapshot>(&record))
                programs.insert(snapshot->created.program);
            const auto* end = std::get_if<SnapshotEnd>(&record);
            if (end && end->programs != programs.size())
                return corruptDataError(journalKey(this->shard, position),
                    "the snapshot has " + std::to_string(programs.size())
                        + " programs, but its SnapshotEnd record says " + std::to_string(end->programs));
            if (!end && !std::holds_alternative<Seal>(record))
                recovered.records.push_back(std::move(record));
        }
    }
    return recovered;
}

Result<RecoveredShard> Recovery::run()
{
    std::sort(this->bridgeCopies.begin(), this->bridgeCopies.end(), isEarlier);
    for (int i = 0; i < maxRecoveryAttempts; ++i) {
        this->listedObjectDeleted = false;
        Result<bool> sealed = this->attemptRecovery();
        if (sealed && *sealed)
            return this->collectRecords();
        if (!sealed && !this->listedObjectDeleted)
            return sealed.error();
    }
    return fail(
        ErrorCode::Unavailable, journalPrefix(this->shard), "other writers kept changing the journal during recovery");
}

// Returns the first unused sequence number of a generation, or nullopt if the platform could not list its objects.
std::optional<std::uint64_t> firstFreeSequence(ObjectStore& store, const ShardId& shard, std::uint32_t generation)
{
    std::string first = journalKey(shard, { generation, 0 });
    ListResult listed = store.list(first.substr(0, first.rfind('/') + 1), false);
    if (listed.status != StoreStatus::Ok && listed.status != StoreStatus::NotFound)
        return std::nullopt;
    std::uint64_t sequence = 0;
    for (const StoredObject& object : listed.objects)
        sequence += object.key == journalKey(shard, { generation, sequence }) ? 1 : 0;
    return sequence;
}

} // namespace

FlushOutcome createBridgeCopies(ObjectStore& store, std::vector<JournalBatch> copies)
{
    if (copies.empty())
        return FlushOutcome::Nothing;
    std::sort(copies.begin(), copies.end(), isEarlier);
    const JournalBatch& last = copies.back();
    std::optional<std::uint64_t> free = firstFreeSequence(store, last.shard, last.position.generation);
    if (!free)
        return FlushOutcome::Retry;
    for (const JournalBatch& copy : copies) {
        if (copy.position.generation < last.position.generation)
            continue;
        if (copy.position.sequence > *free)
            return FlushOutcome::Fenced;
        FlushOutcome outcome = writeBatch(store, copy);
        if (outcome != FlushOutcome::Committed)
            return outcome;
        *free = std::max(*free, copy.position.sequence + 1);
    }
    return FlushOutcome::Committed;
}

Result<RecoveredShard> recoverShard(
    ObjectStore& store, const ShardId& shard, const JournalWriter& claim, const std::vector<JournalBatch>& bridgeCopies)
{
    return Recovery(store, shard, claim, bridgeCopies).run();
}

namespace {

struct SnapshotWriter {
    ObjectStore& store;
    const ShardId& shard;
    const JournalWriter& writer;
    JournalPosition position;
    std::size_t maxBatchBytes = 0;
    std::string framed {};
    std::size_t recordCount = 0;

    Result<void> add(const Record& record);
    Result<void> flush();
};

Result<void> SnapshotWriter::add(const Record& record)
{
    std::string next = detail::frameRecord(record);
    if (this->recordCount > 0 && this->framed.size() + next.size() > this->maxBatchBytes) {
        if (Result<void> flushed = this->flush(); !flushed)
            return flushed.error();
    }
    this->framed += next;
    ++this->recordCount;
    return {};
}

Result<void> SnapshotWriter::flush()
{
    JournalBatch batch { this->shard, this->position,
        detail::assembleBatch(this->writer, this->shard, this->position, this->framed, this->recordCount) };
    std::string key = journalKey(batch.shard, batch.position);
    if (batch.bytes.size() > maxObjectBytes)
        return fail(ErrorCode::TooLarge, key, key + ": a snapshot record exceeds the maximum object size");
    FlushOutcome outcome = writeBatch(this->store, batch);
    if (outcome == FlushOutcome::Fenced)
        return fail(ErrorCode::VersionConflict, key, key + ": another owner has written this object");
    if (outcome != FlushOutcome::Committed)
        return unavailableError(key, StoreStatus::Unavailable);
    ++this->position.sequence;
    this->framed.clear();
    this->recordCount = 0;
    return {};
}

} // namespace

Result<JournalPosition> writeSnapshot(ObjectStore& store, const ShardId& shard, const JournalWriter& writer,
    std::uint32_t generation, const std::vector<Record>& snapshot, std::size_t maxBatchBytes)
{
    SnapshotWriter out { store, shard, writer, { generation, 0 }, maxBatchBytes };
    std::set<ProgramId> programs;
    for (const Record& record : snapshot) {
        const auto* program = std::get_if<ProgramSnapshot>(&record);
        if (!program)
            return fail(ErrorCode::Internal, "snapshot", "a snapshot may contain only ProgramSnapshot records");
        programs.insert(program->created.program);
        if (Result<void> added = out.add(record); !added)
            return added.error();
    }
    if (Result<void> added = out.add(SnapshotEnd { programs.size() }); !added)
        return added.error();
    if (Result<void> flushed = out.flush(); !flushed)
        return flushed.error();
    if (Result<void> newest = checkNewestGeneration(store, shard, generation, writer); !newest)
        return newest.error();
    return out.position;
}

namespace {

bool removeObject(ObjectStore& store, const ShardId& shard, JournalPosition position)
{
    StoreStatus removed = store.remove(journalKey(shard, position), 0).status;
    return removed == StoreStatus::Ok || removed == StoreStatus::NotFound;
}

} // namespace

bool removeGenerations(ObjectStore& store, const ShardId& shard, const std::vector<std::uint32_t>& generations)
{
    if (generations.empty())
        return true;
    ListResult listed = store.list(journalPrefix(shard), false);
    if (listed.status != StoreStatus::Ok)
        return listed.status == StoreStatus::NotFound;
    std::map<std::uint32_t, std::vector<std::uint64_t>> present;
    for (const StoredObject& object : listed.objects) {
        if (std::optional<JournalPosition> position = parseJournalKey(shard, object.key))
            present[position->generation].push_back(position->sequence);
    }
    std::uint32_t newestObsolete = *std::max_element(generations.begin(), generations.end());
    for (auto& [generation, sequences] : present) {
        if (generation > newestObsolete)
            break;
        if (generation + retainedSealGenerations >= present.rbegin()->first)
            sequences.pop_back();
        for (std::uint64_t sequence : sequences) {
            if (!removeObject(store, shard, { generation, sequence }))
                return false;
        }
    }
    return true;
}

} // namespace lovagecross
