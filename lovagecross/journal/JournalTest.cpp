#include "lovagecross/journal/Journal.h"

#include "lovagecross/testing/InMemoryObjectStore.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using namespace std::chrono_literals;
using Numbers = std::vector<std::uint64_t>;

const ShardId shard { "lodz1", 2 };
const JournalWriter owner { { "n1", 0x9f03c1d2a4b5e677 }, 1 };
const JournalWriter successor { { "n2", 7 }, 2 };

Record endedRecord(std::uint64_t number)
{
    return ProgramEnded { { shard, number }, std::string(3, '\xff') }; // invalid UTF-8
}

template <typename T> T requireValue(Result<T> result)
{
    CPPUNIT_ASSERT(result);
    return std::move(*result);
}

// Returns the error of `body`, or a default Error (Internal, empty message) if it succeeds.
template <typename Body> Error errorOf(Body&& body)
{
    return handle(
        [&]() -> Result<Error> {
            auto result = body();
            if (!result)
                return result.error();
            return Error {};
        },
        [](const Error& error) { return error; });
}

// Returns one record of each type, with every field set to a value that is not its default.
std::vector<Record> oneRecordOfEachKind()
{
    ProgramId program { shard, 0xfedcba9876543210 };
    ProgramCreated created { program, "c1", "tenant", "urgent", 1, 2, 3, -4 };
    CallIntent intent { program, "r1", "d1", CallKind::Model, 5 };
    CallFinished finished { program, "r1", "d1", CallKind::Service, CallOutcome::Unknown, "t", "b", "q", "a", 6, 7 };
    TurnSnapshot turn { "r2", "d2", CallKind::Service, CallOutcome::NotRun, "t", "b", "q", "a", 8 };
    ProgramSnapshot snapshot { created, 9, 10, true, "why", { "s1", "s2" }, { intent }, 11, { turn, turn } };
    return { snapshot, SnapshotEnd { 1 }, created, CeilingRaised { program, 12 }, intent, finished, endedRecord(13),
        SessionReleased { program, "b" }, Seal { 14, { "n1", 0xfedcba9876543210 }, 15 } };
}

// Returns the program numbers of the ProgramEnded and ProgramSnapshot records, in order.
Numbers programNumbers(const std::vector<Record>& records)
{
    Numbers list;
    for (const Record& record : records) {
        if (const auto* end = std::get_if<ProgramEnded>(&record))
            list.push_back(end->program.number);
        if (const auto* snapshot = std::get_if<ProgramSnapshot>(&record))
            list.push_back(snapshot->created.program.number);
    }
    return list;
}

std::vector<Record> snapshotOf(const Numbers& list)
{
    std::vector<Record> records;
    for (std::uint64_t number : list) {
        ProgramSnapshot snapshot;
        snapshot.created.program = { shard, number };
        records.emplace_back(snapshot);
    }
    return records;
}

// Opens a shard as a new owner does: recovers it, writes the snapshot (in batches of one record) and deletes the old
// generations.
Result<Journal> openShard(ObjectStore& store, const JournalWriter& writer, Numbers& history,
    const std::vector<JournalBatch>& copies = {}, JournalSettings settings = {})
{
    BOOST_LEAF_AUTO(recovered, recoverShard(store, shard, writer, copies));
    history = programNumbers(recovered.records);
    BOOST_LEAF_AUTO(position, writeSnapshot(store, shard, writer, recovered.nextGeneration, snapshotOf(history), 1));
    removeGenerations(store, shard, recovered.oldGenerations);
    return Journal(shard, writer, position, settings);
}

FlushOutcome commit(ObjectStore& store, Journal& journal, std::uint64_t number, const BridgeSend& bridge = {})
{
    requireValue(journal.append({ endedRecord(number) }));
    std::optional<JournalBatch> batch = journal.beginFlush(TimePoint());
    FlushOutcome outcome = commitBatch(store, bridge, *batch, !journal.bridged().empty());
    journal.finishFlush(outcome);
    return outcome;
}

bool acceptCopy(const JournalBatch&)
{
    return true;
}

bool rejectCopy(const JournalBatch&)
{
    return false;
}

} // namespace

class BatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchTest);
    CPPUNIT_TEST(everyRecordRoundTrips);
    CPPUNIT_TEST(equalRecordsGiveEqualBytes);
    CPPUNIT_TEST(everyTruncationIsCorrupt);
    CPPUNIT_TEST(everyFlippedBitIsCorrupt);
    CPPUNIT_TEST(misplacedAndForeignObjectsAreCorrupt);
    CPPUNIT_TEST(keysRoundTrip);
    CPPUNIT_TEST(tooLargeBatchIsRefused);
    CPPUNIT_TEST_SUITE_END();

    const std::string key = journalKey(shard, { 3, 17 });

    void assertCorrupt(const std::string& bytes, const std::string& what)
    {
        Error error = errorOf([&] { return decodeBatch(this->key, bytes); });
        CPPUNIT_ASSERT_MESSAGE(what, error.code == ErrorCode::CorruptData);
        CPPUNIT_ASSERT_MESSAGE(what + error.message, error.message.starts_with(this->key + ": offset "));
        CPPUNIT_ASSERT_EQUAL(this->key, error.field);
    }

    // A field that the codec leaves out would be lost at the next takeover. Encoding the decoded records again must
    // give the same bytes, which covers every field.
    void everyRecordRoundTrips()
    {
        std::string bytes = requireValue(encodeBatch(owner, oneRecordOfEachKind()));
        DecodedBatch decoded = requireValue(decodeBatch(this->key, bytes));
        CPPUNIT_ASSERT(decoded.writer.node == owner.node && decoded.writer.epoch == owner.epoch);
        CPPUNIT_ASSERT_EQUAL(oneRecordOfEachKind().size(), decoded.records.size());
        for (std::size_t i = 0; i < decoded.records.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(oneRecordOfEachKind()[i].index(), decoded.records[i].index());
        CPPUNIT_ASSERT(requireValue(encodeBatch(owner, decoded.records)) == bytes);
        const auto& finished = std::get<CallFinished>(decoded.records[5]);
        CPPUNIT_ASSERT(finished.outcome == CallOutcome::Unknown && finished.kind == CallKind::Service);
        CPPUNIT_ASSERT(finished.ceilingTokens == 7 && finished.costTokens == 6 && finished.answer == "a");
        const auto& snapshot = std::get<ProgramSnapshot>(decoded.records[0]);
        CPPUNIT_ASSERT(snapshot.created.deadlineUnixMillis == -4 && snapshot.turns[1].costTokens == 8);
    }

    // writeBatch compares bytes when it reads an object back, so a different encoding of the same batch would be taken
    // for another writer's object.
    void equalRecordsGiveEqualBytes()
    {
        CPPUNIT_ASSERT(requireValue(encodeBatch(owner, oneRecordOfEachKind()))
            == requireValue(encodeBatch(owner, oneRecordOfEachKind())));
        CPPUNIT_ASSERT(requireValue(encodeBatch(owner, oneRecordOfEachKind()))
            != requireValue(encodeBatch(successor, oneRecordOfEachKind())));
    }

    // A truncated object must not be decoded as a shorter batch, even if it ends at a record boundary.
    void everyTruncationIsCorrupt()
    {
        std::string bytes = requireValue(encodeBatch(owner, oneRecordOfEachKind()));
        for (std::size_t length = 0; length < bytes.size(); ++length)
            this->assertCorrupt(bytes.substr(0, length), "length " + std::to_string(length));
        this->assertCorrupt(bytes + '\0', "one byte more");
        this->assertCorrupt(bytes + bytes, "twice");
    }

    void everyFlippedBitIsCorrupt()
    {
        const std::string bytes = requireValue(encodeBatch(owner, oneRecordOfEachKind()));
        for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
            std::string flipped = bytes;
            flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
            this->assertCorrupt(flipped, "bit " + std::to_string(bit));
        }
    }

    // Objects stored under the wrong key, and records moved from one batch to another, have valid checksums and must be
    // detected by the header's place and nonce.
    void misplacedAndForeignObjectsAreCorrupt()
    {
        Journal journal(shard, owner, { 3, 16 }, {});
        requireValue(journal.append({ endedRecord(1) }));
        this->assertCorrupt(journal.beginFlush(TimePoint())->bytes, "another position");
        std::string first = requireValue(encodeBatch(owner, { endedRecord(1), endedRecord(2) }));
        std::string second = requireValue(encodeBatch(owner, { endedRecord(2), endedRecord(1) }));
        std::size_t half = first.size() - (first.size() - first.find("n1")) / 4;
        this->assertCorrupt(first.substr(0, half) + second.substr(half), "exchanged records");
        this->assertCorrupt(R"({"not":"a batch"})" + first, "another format");
    }

    void keysRoundTrip()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("journal/lodz1/02/00000003/0000000017"), this->key);
        CPPUNIT_ASSERT((parseJournalKey(shard, this->key) == JournalPosition { 3, 17 }));
        for (const char* bad : { "", "journal/lodz1/02/00000003/000000017", "journal/lodz1/03/00000003/0000000017",
                 "journal/lodz1/02/0000003/00000000017", "journal/lodz1/02/00000003/00000000-1",
                 "journal/lodz1/02/00000003/0000000017x" })
            CPPUNIT_ASSERT_MESSAGE(bad, !parseJournalKey(shard, bad));
    }

    void tooLargeBatchIsRefused()
    {
        ProgramEnded large { { shard, 1 }, std::string(maxObjectBytes, 'x') };
        CPPUNIT_ASSERT(errorOf([&] { return encodeBatch(owner, { large }); }).code == ErrorCode::TooLarge);
        Journal journal(shard, owner, {}, {});
        CPPUNIT_ASSERT(errorOf([&] { return journal.append({ large }); }).code == ErrorCode::TooLarge);
    }
};

class GroupCommitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GroupCommitTest);
    CPPUNIT_TEST(writesKeepTheInterval);
    CPPUNIT_TEST(appendsShareABatchUpToItsLimit);
    CPPUNIT_TEST(retryWritesTheSameBytes);
    CPPUNIT_TEST(writeOutcomes);
    CPPUNIT_TEST(bridgedBatchesKeepTheOrder);
    CPPUNIT_TEST(sealEndsTheGeneration);
    CPPUNIT_TEST(compactionIsDueAfterObjectsOrBytes);
    CPPUNIT_TEST_SUITE_END();

    // At the maximum number of shards, more than 4 writes per second and shard would exceed the platform's rate limit.
    void writesKeepTheInterval()
    {
        Journal journal(shard, owner, {}, {});
        TimePoint now { 10s };
        CPPUNIT_ASSERT(!journal.flushDue(now) && !journal.nextFlush() && !journal.beginFlush(now));
        requireValue(journal.append({ endedRecord(1) }));
        CPPUNIT_ASSERT(journal.flushDue(now) && journal.beginFlush(now));
        requireValue(journal.append({ endedRecord(2) }));
        CPPUNIT_ASSERT(!journal.flushDue(now + 1s) && !journal.nextFlush() && !journal.beginFlush(now + 1s));
        journal.finishFlush(FlushOutcome::Committed);
        CPPUNIT_ASSERT(!journal.flushDue(now + 249ms) && journal.flushDue(now + 250ms));
        CPPUNIT_ASSERT(journal.nextFlush() == now + 250ms);
    }

    void appendsShareABatchUpToItsLimit()
    {
        JournalSettings settings;
        settings.maxBatchBytes = 100;
        settings.maxPendingBytes = 200;
        Journal journal(shard, owner, {}, settings);
        JournalTicket last = 0;
        Error error;
        while ((error = errorOf([&] { return journal.append({ endedRecord(last) }); })).message.empty())
            ++last;
        CPPUNIT_ASSERT(error.code == ErrorCode::Overloaded && journal.pendingBytes() <= settings.maxPendingBytes);
        Numbers written;
        while (std::optional<JournalBatch> batch = journal.beginFlush(TimePoint())) {
            Numbers part
                = programNumbers(requireValue(decodeBatch(journalKey(shard, batch->position), batch->bytes)).records);
            CPPUNIT_ASSERT(part.size() > 1 || written.size() + 1 == last);
            written.insert(written.end(), part.begin(), part.end());
            CPPUNIT_ASSERT(journal.state(written.size()) == TicketState::Pending);
            journal.finishFlush(FlushOutcome::Committed);
            CPPUNIT_ASSERT(journal.state(written.size()) == TicketState::Durable);
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(last), written.size());
        CPPUNIT_ASSERT(std::is_sorted(written.begin(), written.end()) && journal.pendingBytes() == 0);
    }

    // If the retry wrote a longer batch and the first write took effect late, the owner would take its own first batch
    // for another owner's object.
    void retryWritesTheSameBytes()
    {
        Journal journal(shard, owner, {}, {});
        requireValue(journal.append({ endedRecord(1) }));
        JournalBatch first = *journal.beginFlush(TimePoint());
        journal.finishFlush(FlushOutcome::Retry);
        requireValue(journal.append({ endedRecord(2) }));
        JournalBatch second = *journal.beginFlush(TimePoint());
        CPPUNIT_ASSERT(second.bytes == first.bytes && second.position == first.position);
    }

    // Each row: result of the create call, result of the read-back, and the object that was present before the write.
    void writeOutcomes()
    {
        struct Row {
            StoreFault onCreate;
            StoreFault onGet;
            const char* present; // object present before the write: "" for none, "own" or "other"
            FlushOutcome expected;
        };
        const std::vector<Row> rows {
            { StoreFault::None, StoreFault::None, "", FlushOutcome::Committed },
            { StoreFault::None, StoreFault::None, "own", FlushOutcome::Committed },
            { StoreFault::None, StoreFault::None, "other", FlushOutcome::Fenced },
            { StoreFault::None, StoreFault::Unavailable, "own", FlushOutcome::Retry },
            { StoreFault::None, StoreFault::LostBefore, "other", FlushOutcome::Retry },
            { StoreFault::LostAfter, StoreFault::None, "", FlushOutcome::Committed },
            { StoreFault::LostAfter, StoreFault::None, "other", FlushOutcome::Fenced },
            { StoreFault::LostAfter, StoreFault::RateLimited, "", FlushOutcome::Retry },
            { StoreFault::LostBefore, StoreFault::None, "", FlushOutcome::Retry },
            { StoreFault::LostBefore, StoreFault::None, "own", FlushOutcome::Committed },
            { StoreFault::LostBefore, StoreFault::None, "other", FlushOutcome::Fenced },
            { StoreFault::Unavailable, StoreFault::None, "", FlushOutcome::Retry },
            { StoreFault::RateLimited, StoreFault::None, "", FlushOutcome::Retry },
        };
        for (std::size_t i = 0; i < rows.size(); ++i) {
            InMemoryObjectStore store;
            JournalBatch batch { shard, {}, requireValue(encodeBatch(owner, { endedRecord(1) })) };
            if (*rows[i].present != '\0')
                store.create(journalKey(shard, {}), rows[i].present == std::string("own") ? batch.bytes : "other");
            store.setHook([&](const StoreCall& call) {
                return call.operation == StoreOperation::Create ? rows[i].onCreate : rows[i].onGet;
            });
            CPPUNIT_ASSERT_MESSAGE("row " + std::to_string(i), writeBatch(store, batch) == rows[i].expected);
        }
    }

    // If an object were created while an earlier batch is only bridged, the journal would have a gap, and no new owner
    // could recover it.
    void bridgedBatchesKeepTheOrder()
    {
        InMemoryObjectStore store;
        Journal journal(shard, owner, {}, {});
        store.setUnavailable(true);
        CPPUNIT_ASSERT(commit(store, journal, 1, rejectCopy) == FlushOutcome::Retry);
        CPPUNIT_ASSERT(journal.state(1) == TicketState::Pending);
        journal.finishFlush(commitBatch(store, acceptCopy, *journal.beginFlush(TimePoint()), false));
        CPPUNIT_ASSERT(journal.state(1) == TicketState::Durable);
        store.setUnavailable(false);
        CPPUNIT_ASSERT(commit(store, journal, 2, acceptCopy) == FlushOutcome::Bridged);
        CPPUNIT_ASSERT(store.list("", false).objects.empty() && journal.bridged().size() == 2);
        while (!journal.bridged().empty()) {
            CPPUNIT_ASSERT(writeBatch(store, journal.bridged().front()) == FlushOutcome::Committed);
            journal.bridgedBatchesWritten(journal.bridged().front().position);
        }
        CPPUNIT_ASSERT(journal.bridgedBytes() == 0 && commit(store, journal, 3) == FlushOutcome::Committed);
        CPPUNIT_ASSERT(
            (programNumbers(requireValue(recoverShard(store, shard, successor, {})).records) == Numbers { 1, 2, 3 }));
    }

    // A record after the seal would not be part of any generation and would be lost.
    void sealEndsTheGeneration()
    {
        InMemoryObjectStore store;
        Journal journal(shard, owner, {}, {});
        Seal seal { owner.epoch, owner.node, 1 };
        CPPUNIT_ASSERT(errorOf([&] { return journal.append({ seal, endedRecord(1) }); }).code == ErrorCode::Internal);
        requireValue(journal.append({ endedRecord(1) }));
        requireValue(journal.append({ seal }));
        CPPUNIT_ASSERT(errorOf([&] { return journal.append({ endedRecord(2) }); }).code == ErrorCode::Unavailable);
        while (std::optional<JournalBatch> batch = journal.beginFlush(TimePoint()))
            journal.finishFlush(writeBatch(store, *batch));
        CPPUNIT_ASSERT(journal.position().sequence == 2);
        RecoveredShard recovered = requireValue(recoverShard(store, shard, successor, {}));
        CPPUNIT_ASSERT(recovered.sealedGeneration == 1 && recovered.nextGeneration == 2);
        CPPUNIT_ASSERT((programNumbers(recovered.records) == Numbers { 1 }));
    }

    void compactionIsDueAfterObjectsOrBytes()
    {
        InMemoryObjectStore store;
        JournalSettings settings;
        settings.compactAfterObjects = 2;
        Journal byObjects(shard, owner, { 1, 500 }, settings); // position after a large snapshot, which must not count
        settings.compactAfterBytes = 1;
        Journal byBytes(shard, owner, { 2, 0 }, settings);
        for (std::uint64_t number = 1; number <= 2; ++number)
            commit(store, byObjects, number);
        CPPUNIT_ASSERT(!byObjects.compactionDue());
        commit(store, byObjects, 3);
        commit(store, byBytes, 1);
        CPPUNIT_ASSERT(byObjects.compactionDue() && byBytes.compactionDue());
    }
};

class RecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(committedRecordsAreRecovered);
    CPPUNIT_TEST(corruptJournalIsNotOpened);
    CPPUNIT_TEST(bridgeCopiesAreCreatedFirst);
    CPPUNIT_TEST(staleClaimIsRefused);
    CPPUNIT_TEST(oldWriterIsFencedAtEveryPoint);
    CPPUNIT_TEST(newOwnerMayDieAtEveryStep);
    CPPUNIT_TEST(deletedGenerationStillFences);
    CPPUNIT_TEST(overtakenRecoveryIsRefused);
    CPPUNIT_TEST(overtakenSnapshotIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // Records must not be lost or reordered across two changes of owner without faults.
    void committedRecordsAreRecovered()
    {
        InMemoryObjectStore store;
        Numbers history;
        Journal journal = requireValue(openShard(store, owner, history));
        for (std::uint64_t number = 1; number <= 3; ++number)
            CPPUNIT_ASSERT(commit(store, journal, number) == FlushOutcome::Committed);
        Journal next = requireValue(openShard(store, successor, history));
        CPPUNIT_ASSERT((history == Numbers { 1, 2, 3 }));
        CPPUNIT_ASSERT(commit(store, journal, 4) == FlushOutcome::Fenced);
        CPPUNIT_ASSERT(journal.state(4) == TicketState::Fenced);
        CPPUNIT_ASSERT(errorOf([&] { return journal.append({ endedRecord(5) }); }).code == ErrorCode::NotOwner);
        CPPUNIT_ASSERT(commit(store, next, 6) == FlushOutcome::Committed);
        requireValue(openShard(store, { { "n3", 8 }, 3 }, history));
        CPPUNIT_ASSERT((history == Numbers { 1, 2, 3, 6 }));
    }

    // Damages each object of the newest complete generation in turn. Skipping a damaged object silently would lose a
    // part of a program's history.
    void corruptJournalIsNotOpened()
    {
        InMemoryObjectStore whole;
        Numbers history;
        Journal journal = requireValue(openShard(whole, owner, history));
        for (std::uint64_t number = 1; number <= 4; ++number)
            commit(whole, journal, number);
        std::vector<StoredObject> objects = whole.list(journalPrefix(shard) + "00000001", true).objects;
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), objects.size());
        for (const StoredObject& broken : objects) {
            for (const char* kind : { "missing", "truncated", "flipped", "copied" }) {
                bool last = broken.key == objects.back().key;
                if (kind == std::string("missing") && last)
                    continue; // looks the same as a journal that ends one object earlier
                InMemoryObjectStore store;
                for (const StoredObject& object : objects)
                    store.overwrite(object.key, object.value);
                std::string bytes = broken.value;
                bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
                if (kind == std::string("missing"))
                    store.remove(broken.key, 0);
                else if (kind == std::string("truncated"))
                    store.overwrite(broken.key, broken.value.substr(0, broken.value.size() - 1));
                else if (kind == std::string("flipped"))
                    store.overwrite(broken.key, bytes);
                else
                    store.overwrite(broken.key, last ? objects[0].value : objects.back().value);
                Error error = errorOf([&] { return recoverShard(store, shard, successor, {}); });
                CPPUNIT_ASSERT_MESSAGE(kind + broken.key, error.code == ErrorCode::CorruptData);
                CPPUNIT_ASSERT_EQUAL(broken.key, error.field);
                CPPUNIT_ASSERT_EQUAL(kind == std::string("missing") ? objects.size() - 1 : objects.size(),
                    store.list("", false).objects.size());
            }
        }
    }

    void bridgeCopiesAreCreatedFirst()
    {
        InMemoryObjectStore store;
        Numbers history;
        Journal journal = requireValue(openShard(store, owner, history));
        std::vector<JournalBatch> copies;
        BridgeSend bridge = [&](const JournalBatch& batch) {
            copies.insert(copies.begin(), batch); // in reverse order, since callers may pass copies in any order
            return true;
        };
        commit(store, journal, 1);
        store.setUnavailable(true);
        for (std::uint64_t number = 2; number <= 4; ++number)
            CPPUNIT_ASSERT(commit(store, journal, number, bridge) == FlushOutcome::Bridged);
        store.setUnavailable(false);
        CPPUNIT_ASSERT(writeBatch(store, journal.bridged().front()) == FlushOutcome::Committed);
        std::vector<JournalBatch> incomplete(copies.begin(), copies.end() - 2);
        std::size_t objects = store.list("", false).objects.size();
        CPPUNIT_ASSERT(createBridgeCopies(store, incomplete) == FlushOutcome::Fenced);
        CPPUNIT_ASSERT_EQUAL(objects, store.list("", false).objects.size()); // a gap would make the shard unrecoverable
        Error error = errorOf([&] { return recoverShard(store, shard, successor, incomplete); });
        CPPUNIT_ASSERT(error.code == ErrorCode::CorruptData && error.field == journalKey(shard, { 1, 3 }));
        requireValue(openShard(store, successor, history, copies));
        CPPUNIT_ASSERT((history == Numbers { 1, 2, 3, 4 }));
        // Copies that the standby has not deleted yet are skipped if the journal already contains them.
        requireValue(openShard(store, { { "n3", 8 }, 3 }, history, copies));
        CPPUNIT_ASSERT((history == Numbers { 1, 2, 3, 4 }));
        // The former owner, paused until now, finds the seal after its bridged batches and is fenced.
        while (!journal.bridged().empty()) {
            CPPUNIT_ASSERT(writeBatch(store, journal.bridged().front()) == FlushOutcome::Committed);
            journal.bridgedBatchesWritten(journal.bridged().front().position);
        }
        CPPUNIT_ASSERT(commit(store, journal, 5) == FlushOutcome::Fenced);
    }

    void staleClaimIsRefused()
    {
        InMemoryObjectStore store;
        Numbers history;
        requireValue(openShard(store, successor, history));
        for (JournalWriter claim : { owner, JournalWriter { { "n3", 9 }, successor.epoch } })
            CPPUNIT_ASSERT(
                errorOf([&] { return recoverShard(store, shard, claim, {}); }).code == ErrorCode::VersionConflict);
    }

    // The old owner commits a record right before one of the store calls of a takeover, for each call in turn. The
    // record must either be committed and recovered, or fenced and not recovered.
    void oldWriterIsFencedAtEveryPoint()
    {
        for (std::uint64_t point = 1; point < 40; ++point) {
            InMemoryObjectStore store;
            Numbers history;
            Journal journal = requireValue(openShard(store, owner, history));
            for (std::uint64_t number = 1; number <= 3; ++number)
                commit(store, journal, number);
            FlushOutcome lateOutcome = FlushOutcome::Nothing;
            store.setHook([&](const StoreCall& call) {
                if (call.number == point)
                    lateOutcome = commit(store, journal, 4);
                return StoreFault::None;
            });
            requireValue(openShard(store, successor, history));
            store.setHook({});
            CPPUNIT_ASSERT(lateOutcome != FlushOutcome::Retry);
            Numbers expected { 1, 2, 3 };
            if (lateOutcome == FlushOutcome::Committed)
                expected.push_back(4);
            CPPUNIT_ASSERT_MESSAGE("before store call " + std::to_string(point), history == expected);
            requireValue(openShard(store, { { "n3", 8 }, 3 }, history));
            CPPUNIT_ASSERT_MESSAGE("before store call " + std::to_string(point), history == expected);
        }
    }

    // The first new owner loses the store permanently at its n-th call, for each n in turn; a write in that call may or
    // may not take effect. The next owners must recover all records.
    void newOwnerMayDieAtEveryStep()
    {
        std::uint64_t completedRuns = 0;
        for (StoreFault last : { StoreFault::LostBefore, StoreFault::LostAfter }) {
            for (std::uint64_t point = 1; completedRuns < 4; ++point) {
                InMemoryObjectStore store;
                Numbers history;
                Journal journal = requireValue(openShard(store, owner, history));
                std::vector<JournalBatch> copies;
                commit(store, journal, 1);
                store.setUnavailable(true);
                for (std::uint64_t number = 2; number <= 3; ++number)
                    commit(store, journal, number, [&](const JournalBatch& batch) {
                        copies.push_back(batch);
                        return true;
                    });
                store.setUnavailable(false);
                store.setHook([&](const StoreCall& call) {
                    if (call.number < point)
                        return StoreFault::None;
                    return call.number == point ? last : StoreFault::Unavailable;
                });
                completedRuns += createBridgeCopies(store, copies) == FlushOutcome::Committed
                        && openShard(store, successor, history, copies)
                    ? 1
                    : 0;
                bool copiesWereCreated = point > 3;
                store.setHook({});
                for (std::uint64_t epoch = 3; epoch <= 4; ++epoch) {
                    requireValue(openShard(store, { { "n3", 8 }, epoch }, history,
                        copiesWereCreated ? std::vector<JournalBatch> {} : copies));
                    CPPUNIT_ASSERT_MESSAGE("at store call " + std::to_string(point), (history == Numbers { 1, 2, 3 }));
                }
            }
            completedRuns = 0;
        }
    }

    // If no seals were kept, an owner that was paused together with its clock could commit into a deleted generation.
    void deletedGenerationStillFences()
    {
        InMemoryObjectStore store;
        Numbers history;
        Journal journal = requireValue(openShard(store, owner, history));
        commit(store, journal, 1);
        std::uint64_t epoch = successor.epoch;
        for (std::uint32_t i = 0; i < retainedSealGenerations; ++i)
            requireValue(openShard(store, { { "n2", 7 }, epoch++ }, history));
        CPPUNIT_ASSERT(commit(store, journal, 2) == FlushOutcome::Fenced);
        for (std::uint32_t i = 0; i < retainedSealGenerations; ++i) {
            JournalWriter next { { "n2", 7 }, epoch++ };
            RecoveredShard recovered = requireValue(recoverShard(store, shard, next, {}));
            history = programNumbers(recovered.records);
            requireValue(writeSnapshot(store, shard, next, recovered.nextGeneration, snapshotOf(history), 1000));
            CPPUNIT_ASSERT(removeGenerations(store, shard, { recovered.sealedGeneration }));
        }
        // One seal for each generation whose seal is kept, and one object of the current generation.
        CPPUNIT_ASSERT_EQUAL(
            static_cast<std::size_t>(retainedSealGenerations + 1), store.list("", false).objects.size());
        CPPUNIT_ASSERT((history == Numbers { 1 }));
    }

    // A claimant pauses before it seals. Meanwhile the old owner appends, and a later claimant opens the shard and
    // deletes the old generations. The position at which the first claimant then writes its seal is free again, so only
    // the check for a newer generation detects that the claim is stale.
    void overtakenRecoveryIsRefused()
    {
        InMemoryObjectStore store;
        Numbers history;
        Journal journal = requireValue(openShard(store, owner, history));
        commit(store, journal, 1);
        store.setHook([&](const StoreCall& call) {
            if (call.operation == StoreOperation::Create) {
                commit(store, journal, 2);
                requireValue(openShard(store, { { "n3", 8 }, 3 }, history));
                store.setHook({});
            }
            return StoreFault::None;
        });
        Error error = errorOf([&] { return recoverShard(store, shard, successor, {}); });
        CPPUNIT_ASSERT(error.code == ErrorCode::VersionConflict);
        CPPUNIT_ASSERT((history == Numbers { 1, 2 }));
        requireValue(openShard(store, { { "n4", 9 }, 4 }, history));
        CPPUNIT_ASSERT((history == Numbers { 1, 2 }));
    }

    // As overtakenRecoveryIsRefused, but the claimant pauses before its snapshot until the seal of that generation has
    // been deleted too.
    void overtakenSnapshotIsRefused()
    {
        InMemoryObjectStore store;
        Numbers history;
        std::uint32_t generation = requireValue(recoverShard(store, shard, owner, {})).nextGeneration;
        for (std::uint64_t epoch = 2; epoch < retainedSealGenerations + 4; ++epoch)
            requireValue(openShard(store, { { "n2", 7 }, epoch }, history));
        Error error = errorOf([&] { return writeSnapshot(store, shard, owner, generation, {}, 1000); });
        CPPUNIT_ASSERT(error.code == ErrorCode::VersionConflict);
        requireValue(openShard(store, { { "n4", 9 }, retainedSealGenerations + 4 }, history));
        CPPUNIT_ASSERT(history.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GroupCommitTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);

} // namespace lovagecross
