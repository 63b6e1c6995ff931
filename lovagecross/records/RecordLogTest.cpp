#include "lovagecross/records/RecordLog.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <thread>

namespace lovagecross {

class RecordLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordLogTest);
    CPPUNIT_TEST(durableEntriesAreReadBack);
    CPPUNIT_TEST(tornTailIsDropped);
    CPPUNIT_TEST(anEmptyFolderIsANewDisk);
    CPPUNIT_TEST(manyWritersShareSyncs);
    CPPUNIT_TEST(compactionKeepsWhatLives);
    CPPUNIT_TEST(unwritableFolderIsReported);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t noCompaction = 1U << 30U;
    std::string folder;

public:
    void setUp() override
    {
        this->folder = Poco::TemporaryFile::tempName();
        Poco::TemporaryFile::registerForDeletion(this->folder);
    }

    std::vector<std::string> reopen()
    {
        RecordLog log(this->folder, noCompaction);
        LogRecovery recovery = log.open();
        CPPUNIT_ASSERT_MESSAGE(recovery.error, recovery.opened);
        return recovery.entries;
    }

    void durableEntriesAreReadBack()
    {
        {
            RecordLog log(this->folder, noCompaction);
            CPPUNIT_ASSERT(log.open().opened);
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

    // After a power failure, the unsynced tail may be torn at any byte.
    void tornTailIsDropped()
    {
        {
            RecordLog log(this->folder, noCompaction);
            log.open();
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

    // If a node mistook a new disk for its lost one, it would vote without knowing what it had granted.
    void anEmptyFolderIsANewDisk()
    {
        std::uint64_t first = 0;
        {
            RecordLog log(this->folder, noCompaction);
            LogRecovery recovery = log.open();
            CPPUNIT_ASSERT(recovery.wasEmpty && recovery.disk != 0);
            first = recovery.disk;
        }
        {
            RecordLog log(this->folder, noCompaction);
            LogRecovery recovery = log.open();
            CPPUNIT_ASSERT(!recovery.wasEmpty && recovery.disk == first);
        }
        Poco::File(this->folder).remove(true);
        RecordLog log(this->folder, noCompaction);
        LogRecovery recovery = log.open();
        CPPUNIT_ASSERT(recovery.wasEmpty && recovery.disk != first);
    }

    void manyWritersShareSyncs()
    {
        RecordLog log(this->folder, noCompaction);
        log.open();
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

    void compactionKeepsWhatLives()
    {
        {
            RecordLog log(this->folder, 1000);
            log.open();
            for (int i = 0; i < 100; ++i)
                log.appendDurably("old entry " + std::to_string(i));
            log.compactIfLarge([] { return std::vector<std::string> { "live" }; });
            CPPUNIT_ASSERT(log.bytes() < 100);
            log.appendDurably("new");
        }
        auto entries = this->reopen();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entries.size());
        CPPUNIT_ASSERT(entries[0] == "live" && entries[1] == "new");
    }

    void unwritableFolderIsReported()
    {
        RecordLog log("/proc/no-such-folder", noCompaction);
        LogRecovery recovery = log.open();
        CPPUNIT_ASSERT(!recovery.opened && recovery.error.find("/proc/no-such-folder") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordLogTest);

} // namespace lovagecross
