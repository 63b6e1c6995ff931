// Memory that a record node with a long log needs to start and to compact the log.

#include "lovagecross/records/RecordStoreFixture.h"

#include <fstream>
#include <iostream>
#include <malloc.h>

namespace lovagecross {

// Guards against a node that has kept more records than it can load: it is killed at its memory limit during each
// start, and serves no record again.
class RecordMemoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordMemoryTest);
#ifndef __SANITIZE_ADDRESS__ // AddressSanitizer holds freed memory back
    CPPUNIT_TEST(startNeedsNoMemoryForTheKeptTurns);
    CPPUNIT_TEST(compactionNeedsNoCopyOfTheKeptTurns);
#endif
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024 * 1024;
    static constexpr std::size_t turnBytes = 30'000;
    static constexpr std::size_t turnCount = 2400;
    static constexpr std::size_t keptBytes = turnBytes * turnCount;
    static constexpr std::size_t tableOverheadBytes = 8 * megabyte;
    static constexpr std::size_t bufferBytes = 4 * megabyte; // for reading and writing, and for pages of records
    static constexpr std::size_t largeDiskBytes = 1U << 30U; // the log isn't compacted because of it

    RecordNodeSettings settings;
    SystemClock clock;
    InMemoryObjectStore store;
    LoopbackNetwork network;
    LoopbackPeers peers { this->network, "10.0.0.1:7001" };
    Counters counters;
    std::unique_ptr<RecordNode> node;

public:
    void setUp() override
    {
        this->settings.node = "n7001";
        this->settings.address = "10.0.0.1:7001";
        this->settings.dataCentre = "a";
        this->settings.dataFolder = Poco::TemporaryFile::tempName();
        this->settings.diskBytes = largeDiskBytes;
        Poco::File(this->settings.dataFolder).createDirectories();
        Poco::TemporaryFile::registerForDeletion(this->settings.dataFolder);
    }

    void tearDown() override
    {
        this->node.reset();
    }

    void startNeedsNoMemoryForTheKeptTurns()
    {
        this->writeTurns(1);
        std::size_t growth = peakGrowth([this] { this->load(); });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < tableOverheadBytes + bufferBytes);
        this->checkTurns();
    }

    void compactionNeedsNoCopyOfTheKeptTurns()
    {
        this->writeTurns(2);
        this->load();
        std::size_t growth = peakGrowth([this] { this->node->maintain(); });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < bufferBytes);
        CPPUNIT_ASSERT_MESSAGE("the log was not compacted", !Poco::File(this->firstSegment()).exists());
        this->checkTurns();
    }

private:
    std::string firstSegment() const
    {
        return this->settings.dataFolder + "/records/segment-1";
    }

    // Writes each turn `copies` times; of several copies, a compaction keeps one.
    void writeTurns(int copies) const
    {
        RecordLog log(this->settings.dataFolder + "/records", {});
        CPPUNIT_ASSERT(log.open([](std::string_view, const LogLocation&) {}).opened);
        for (std::size_t i = 0; i < turnCount; ++i) {
            std::string id = "t" + std::to_string(i);
            for (int copy = 0; copy < copies; ++copy)
                log.appendAsync(encodeLoggedEntry(
                    StoredTurn { id, {}, std::string(turnBytes, 'x'), {}, "p", this->clock.unixMillis() + 3'600'000 }));
            if (i % 100 == 99)
                CPPUNIT_ASSERT(log.appendAllDurably({}));
        }
        log.stop();
    }

    void checkTurns()
    {
        for (std::size_t i = 0; i < turnCount; ++i) {
            RecordResponse response = this->node->handle(ReadChainRequest { "t" + std::to_string(i) });
            CPPUNIT_ASSERT_MESSAGE("turn " + std::to_string(i), response.status == RecordStatus::Ok);
            CPPUNIT_ASSERT_EQUAL(turnBytes, response.turns.front().input.size());
        }
    }

    void load()
    {
        this->node = std::make_unique<RecordNode>(
            this->settings, RecordNodeParts { this->clock, this->store, this->peers, this->counters });
        CPPUNIT_ASSERT_EQUAL(std::string(), this->node->load());
    }

    // Returns how far the resident memory rises at most while `action` runs.
    template <typename Action> static std::size_t peakGrowth(const Action& action)
    {
        ::malloc_trim(0);
        std::ofstream("/proc/self/clear_refs") << "5"; // the kernel counts VmHWM from the present value on
        std::size_t before = statusBytes("VmRSS");
        CPPUNIT_ASSERT_MESSAGE("VmHWM was not reset", statusBytes("VmHWM") < before + megabyte);
        action();
        std::size_t growth = statusBytes("VmHWM") - before;
        std::cerr << " [peak growth " << growth / megabyte << " MB] ";
        return growth;
    }

    // Returns the value of a line such as "VmHWM:   1234 kB" in bytes.
    static std::size_t statusBytes(const std::string& name)
    {
        std::ifstream file("/proc/self/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, name.size() + 1, name + ':') == 0)
                return std::stoul(line.substr(name.size() + 1)) * 1024;
        }
        CPPUNIT_FAIL("no line " + name);
        return 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordMemoryTest);

} // namespace lovagecross
