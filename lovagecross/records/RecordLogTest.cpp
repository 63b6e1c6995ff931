#include "lovagecross/records/RecordLog.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <memory>
#include <set>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lovagecross {

class RecordLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordLogTest);
    CPPUNIT_TEST(durableEntriesAreReadBack);
    CPPUNIT_TEST(entriesAcrossBlocksAreReadBack);
    CPPUNIT_TEST(tornTailIsDropped);
    CPPUNIT_TEST(damagedEntryEndsItsSegment);
    CPPUNIT_TEST(anEmptyFolderIsANewDisk);
    CPPUNIT_TEST(manyWritersShareSyncs);
    CPPUNIT_TEST(entriesAreReadWhereTheyAre);
    CPPUNIT_TEST(fullSegmentsAreFollowedByOthers);
    CPPUNIT_TEST(compactionKeepsWhatLives);
    CPPUNIT_TEST(compactionFollowsTheDiscardedBytes);
    CPPUNIT_TEST(segmentWithoutLiveEntriesNeedsNoSpace);
    CPPUNIT_TEST(entriesAppendedDuringACompactionAreKept);
    CPPUNIT_TEST(failedCompactionKeepsTheLog);
    CPPUNIT_TEST(unwritableFolderIsReported);
    CPPUNIT_TEST_SUITE_END();

    static constexpr LogLimits noCompaction {};
    std::string folder;

public:
    void setUp() override
    {
        this->folder = Poco::TemporaryFile::tempName();
        Poco::TemporaryFile::registerForDeletion(this->folder);
    }

    static LogRecovery open(RecordLog& log)
    {
        return log.open([](std::string_view, const LogLocation&) {});
    }

    static bool appendAll(RecordLog& log, const std::vector<std::string>& entries)
    {
        std::vector<RecordLog::NewEntry> all;
        all.reserve(entries.size());
        for (const std::string& entry : entries)
            all.push_back({ std::make_shared<const std::string>(entry) });
        return log.appendAllDurably(std::move(all));
    }

    // Appends an entry and returns where it is.
    static LogLocation append(RecordLog& log, const std::string& entry)
    {
        LogLocation location;
        CPPUNIT_ASSERT(log.appendDurably(entry, [&location](const LogLocation& at) { location = at; }));
        return location;
    }

    // Keeps the entries of a compaction whose text is not in `dead`.
    static RecordLog::ReplaceFunction keepAllBut(std::set<std::string> dead)
    {
        return [dead = std::move(dead)](std::string_view entry, const LogLocation&) {
            bool keep = dead.count(std::string(entry)) == 0;
            return keep ? std::optional(RecordLog::NewEntry { std::make_shared<const std::string>(entry) })
                        : std::nullopt;
        };
    }

    std::vector<std::string> reopen()
    {
        std::size_t droppedBytes = 0;
        return this->reopen(droppedBytes);
    }

    std::vector<std::string> reopen(std::size_t& droppedBytes)
    {
        std::vector<std::string> entries;
        RecordLog log(this->folder, noCompaction);
        LogRecovery recovery
            = log.open([&](std::string_view entry, const LogLocation&) { entries.emplace_back(entry); });
        CPPUNIT_ASSERT_MESSAGE(recovery.error, recovery.opened);
        droppedBytes = recovery.droppedBytes;
        return entries;
    }

    void durableEntriesAreReadBack()
    {
        {
            RecordLog log(this->folder, noCompaction);
            CPPUNIT_ASSERT(open(log).opened);
            CPPUNIT_ASSERT(log.appendDurably("one"));
            log.appendAsync("two");
            CPPUNIT_ASSERT(log.appendDurably(std::string(100'000, 'x')));
            log.appendAsync("last");
        }
        auto entries = this->reopen();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), entries.size());
        CPPUNIT_ASSERT(entries[0] == "one" && entries[1] == "two" && entries[3] == "last");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->reopen().size());
    }

    // Guards against a reader that loses or alters an entry of which a block ends within the header or the content.
    void entriesAcrossBlocksAreReadBack()
    {
        constexpr std::size_t blockBytes = 64 * 1024;
        constexpr std::size_t headerBytes = 8;
        std::vector<std::string> written;
        written.reserve(23);
        for (int i = 0; i < 20; ++i) // each ends one byte earlier in its block
            written.emplace_back(blockBytes - headerBytes - 1, static_cast<char>('a' + i));
        written.emplace_back(3 * blockBytes + 5, 'x');
        written.emplace_back();
        written.emplace_back("last");
        {
            RecordLog log(this->folder, noCompaction);
            CPPUNIT_ASSERT(open(log).opened);
            CPPUNIT_ASSERT(appendAll(log, written));
        }
        std::size_t droppedBytes = 0;
        CPPUNIT_ASSERT(this->reopen(droppedBytes) == written);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), droppedBytes);
    }

    // After a power failure, the unsynced tail may be torn at any byte.
    void tornTailIsDropped()
    {
        {
            RecordLog log(this->folder, noCompaction);
            open(log);
            log.appendDurably("kept-1");
            log.appendDurably("kept-2");
            log.appendDurably("torn");
        }
        std::string path = this->folder + "/segment-1";
        auto size = Poco::File(path).getSize();
        for (Poco::UInt64 cut = 1; cut <= 11; ++cut) {
            Poco::File(path).setSize(size - cut);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->reopen().size());
        }
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(9);
        file.put('X');
        file.close();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->reopen().size());
    }

    // Guards against a reader that takes entries after a damaged one, misses those of later segments, or counts the
    // bytes that it drops wrongly.
    void damagedEntryEndsItsSegment()
    {
        const std::string large(200'000, 'x');
        {
            RecordLog log(this->folder, noCompaction);
            CPPUNIT_ASSERT(open(log).opened);
            CPPUNIT_ASSERT(appendAll(log, { "one", "damaged", large }));
        }
        {
            RecordLog log(this->folder, noCompaction);
            CPPUNIT_ASSERT(open(log).opened);
            CPPUNIT_ASSERT(appendAll(log, { "two", "three" }));
        }
        std::fstream file(this->folder + "/segment-1", std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(8 + 3 + 8);
        file.put('X');
        file.close();
        std::size_t droppedBytes = 0;
        std::vector<std::string> expected { "one", "two", "three" };
        CPPUNIT_ASSERT(this->reopen(droppedBytes) == expected);
        CPPUNIT_ASSERT_EQUAL(8 + std::string("damaged").size() + 8 + large.size(), droppedBytes);
    }

    // If a node mistook a new disk for its lost one, it would vote without knowing what it had granted.
    void anEmptyFolderIsANewDisk()
    {
        std::uint64_t first = 0;
        {
            RecordLog log(this->folder, noCompaction);
            LogRecovery recovery = open(log);
            CPPUNIT_ASSERT(recovery.wasEmpty && recovery.disk != 0);
            first = recovery.disk;
        }
        {
            RecordLog log(this->folder, noCompaction);
            LogRecovery recovery = open(log);
            CPPUNIT_ASSERT(!recovery.wasEmpty && recovery.disk == first);
        }
        Poco::File(this->folder).remove(true);
        RecordLog log(this->folder, noCompaction);
        LogRecovery recovery = open(log);
        CPPUNIT_ASSERT(recovery.wasEmpty && recovery.disk != first);
    }

    void manyWritersShareSyncs()
    {
        RecordLog log(this->folder, noCompaction);
        open(log);
        std::vector<std::thread> writers;
        writers.reserve(16);
        for (int i = 0; i < 16; ++i) {
            writers.emplace_back([&log] {
                for (int j = 0; j < 50; ++j)
                    CPPUNIT_ASSERT(log.appendDurably("entry"));
            });
        }
        for (std::thread& writer : writers)
            writer.join();
        CPPUNIT_ASSERT(log.syncs() < 800);
        log.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(800), this->reopen().size());
    }

    // Guards against an index that points to another entry, in memory and after a start.
    void entriesAreReadWhereTheyAre()
    {
        const std::string large(200'000, 'x');
        LogLocation atSmall, atLarge;
        {
            RecordLog log(this->folder, noCompaction);
            open(log);
            atSmall = append(log, "small");
            atLarge = append(log, large);
            CPPUNIT_ASSERT(log.read(atSmall) == "small" && log.read(atLarge) == large);
        }
        std::vector<LogLocation> locations;
        RecordLog log(this->folder, noCompaction);
        log.open([&locations](std::string_view, const LogLocation& at) { locations.push_back(at); });
        CPPUNIT_ASSERT(locations == std::vector<LogLocation>({ atSmall, atLarge }));
        CPPUNIT_ASSERT(log.read(atLarge) == large);
        atSmall.offset += 1;
        CPPUNIT_ASSERT(!log.read(atSmall));
    }

    // Guards against a segment that grows without end, so that its space never becomes free.
    void fullSegmentsAreFollowedByOthers()
    {
        RecordLog log(this->folder, { .segmentBytes = 1000 });
        open(log);
        for (int i = 0; i < 10; ++i)
            append(log, std::string(500, 'x'));
        CPPUNIT_ASSERT(append(log, "last").segment >= 5);
        log.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), this->reopen().size());
    }

    void compactionKeepsWhatLives()
    {
        {
            RecordLog log(this->folder, { .segmentBytes = 1000, .discardedBytes = 1 });
            open(log);
            std::set<std::string> dead;
            for (int i = 0; i < 100; ++i) {
                std::string entry = "old entry " + std::to_string(i);
                LogLocation at = append(log, entry);
                if (i == 50)
                    continue;
                log.discard(at);
                dead.insert(entry);
            }
            std::size_t before = log.bytes();
            log.compactIfLarge(keepAllBut(dead));
            CPPUNIT_ASSERT(before > 1700 && log.bytes() < 100);
            log.appendDurably("new");
        }
        auto entries = this->reopen();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entries.size());
        CPPUNIT_ASSERT(entries[0] == "old entry 50" && entries[1] == "new");
    }

    // Guards against a log that is much longer than its live entries, which a start reads, and against compactions that
    // remove little.
    void compactionFollowsTheDiscardedBytes()
    {
        RecordLog log(this->folder, { .discardedBytes = 1000 });
        open(log);
        LogLocation first = append(log, std::string(900, 'a'));
        LogLocation second = append(log, std::string(900, 'b'));
        append(log, std::string(900, 'c'));
        int visited = 0;
        auto replace = [&visited](std::string_view entry, const LogLocation&) {
            ++visited;
            bool keep = entry.front() == 'c';
            return keep ? std::optional(RecordLog::NewEntry { std::make_shared<const std::string>(entry) })
                        : std::nullopt;
        };
        log.discard(first);
        log.compactIfLarge(replace);
        CPPUNIT_ASSERT_EQUAL(0, visited);
        log.discard(second);
        log.compactIfLarge(replace);
        CPPUNIT_ASSERT_EQUAL(3, visited);
        CPPUNIT_ASSERT_EQUAL(std::size_t(908), log.bytes());
        log.compactIfLarge(replace);
        CPPUNIT_ASSERT_EQUAL(3, visited);
    }

    // Guards against a disk that is full because no segment can be removed before its entries are written again.
    void segmentWithoutLiveEntriesNeedsNoSpace()
    {
        RecordLog log(this->folder, { .segmentBytes = 100 });
        open(log);
        LogLocation dead = append(log, std::string(200, 'a'));
        append(log, std::string(200, 'b'));
        log.discard(dead);
        log.compactIfLarge([](std::string_view, const LogLocation&) {
            CPPUNIT_FAIL("an entry was visited");
            return std::nullopt;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(208), log.bytes());
        CPPUNIT_ASSERT(!log.read(dead));
    }

    // Guards against an entry that is reported as durable and lost with a segment that a compaction removes, and
    // against writers that wait until the compaction ends.
    void entriesAppendedDuringACompactionAreKept()
    {
        {
            RecordLog log(this->folder, { .discardedBytes = 10 });
            open(log);
            log.discard(append(log, "old entry"));
            append(log, "live");
            bool first = true;
            log.compactIfLarge([&](std::string_view entry, const LogLocation&) -> std::optional<RecordLog::NewEntry> {
                if (std::exchange(first, false))
                    CPPUNIT_ASSERT(log.appendDurably("new"));
                if (entry != "live")
                    return std::nullopt;
                CPPUNIT_ASSERT(log.appendDurably("newer"));
                return RecordLog::NewEntry { std::make_shared<const std::string>(entry) };
            });
            log.appendDurably("newest");
            constexpr std::size_t headerBytes = 8;
            CPPUNIT_ASSERT_EQUAL(4 * headerBytes + std::string("newnewerlivenewest").size(), log.bytes());
        }
        std::vector<std::string> expected { "new", "newer", "live", "newest" };
        CPPUNIT_ASSERT(this->reopen() == expected);
    }

    // Guards against a segment that is removed although its live entries are not on the disk elsewhere.
    void failedCompactionKeepsTheLog()
    {
        RecordLog log(this->folder, { .discardedBytes = 10 });
        open(log);
        log.discard(append(log, "old entry"));
        append(log, "live");
        const std::string next = this->folder + "/segment-2";
        CPPUNIT_ASSERT_EQUAL(0, ::symlink("/dev/full", next.c_str()));
        log.compactIfLarge(keepAllBut({ "old entry" }));
        CPPUNIT_ASSERT_EQUAL(0, ::unlink(next.c_str()));
        CPPUNIT_ASSERT(log.appendDurably("new"));
        log.stop();
        std::vector<std::string> expected { "old entry", "live", "new" };
        CPPUNIT_ASSERT(this->reopen() == expected);
    }

    void unwritableFolderIsReported()
    {
        RecordLog log("/proc/no-such-folder", noCompaction);
        LogRecovery recovery = open(log);
        CPPUNIT_ASSERT(!recovery.opened && recovery.error.find("/proc/no-such-folder") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordLogTest);

} // namespace lovagecross
