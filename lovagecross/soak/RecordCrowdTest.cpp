// Record nodes, as real processes, under crowds of callers that send turns of legal size: no process ends, each stays
// within the memory and the disk of its VM, at work and after a start, what was answered whole stays readable, what was
// refused has not run, and one ordinary request is answered afterwards.

#include "lovagecross/soak/MemoryCrowd.h"
#include "lovagecross/soak/SmallDeployment.h"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross::soak {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::uint32_t recordMegabytes = 64;
constexpr std::size_t recordBoundBytes = recordMegabytes * megabyte; // what the VM has
constexpr std::size_t entryBoundBytes = 70 * megabyte; // of 88, as for the other crowds
constexpr std::size_t descriptorBound = 500;
constexpr std::size_t crowdSize = 12; // callers at a time
constexpr std::size_t sampledTurns = 20; // of the kept ones
constexpr Duration ordinaryTimeout = std::chrono::seconds(30);

struct TurnCrowd {
    std::size_t turns = 0; // that are sent in all
    std::size_t inputBytes = 0;
    std::size_t nameBytes = 24; // of each request id and program id
    std::size_t promptParts = 0; // of each turn, which no other turn has
};

// A name of `bytes` bytes that ends with a number.
std::string nameOf(const std::string& kind, std::size_t number, std::size_t bytes)
{
    std::string end = kind + "-" + std::to_string(number);
    return std::string(bytes > end.size() ? bytes - end.size() : 0, 'n') + end;
}

// A list of parts that no other number has.
std::string promptOf(std::size_t number, std::size_t parts)
{
    std::string prompt;
    for (std::size_t i = 0; i < parts; ++i)
        prompt += (i == 0 ? "" : ",") + nameOf(std::to_string(number), i, 0) + ":1";
    return prompt;
}

class RecordCrowd {
public:
    explicit RecordCrowd(DeploymentOptions options)
        : deployment(withRecordNodes(std::move(options)))
    {
    }

    // Sends the turns, each the first of a program of its own, from `crowdSize` callers.
    void send(const TurnCrowd& crowd)
    {
        std::atomic<std::size_t> next { 0 };
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < crowdSize; ++i) {
            callers.emplace_back([&] {
                for (std::size_t number = next++; number < crowd.turns; number = next++)
                    this->sendOne(crowd, number);
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        std::cerr << " [statuses:";
        for (const auto& [status, count] : this->statuses)
            std::cerr << ' ' << count << " times " << status << ';';
        std::cerr << "] ";
    }

    // Fails the test unless all processes live within their bounds.
    void checkProcesses()
    {
        for (std::size_t i = 0; i < this->deployment.recordNodeCount(); ++i) {
            MemoryWatch watch(this->deployment.recordNode(i).processId(), this->deployment.recordMetricsAddress(i));
            std::cerr << " [record node: peak " << watch.peakBytes / megabyte << " MB, " << watch.peakDescriptors
                      << " descriptors, disk " << diskBytes(this->deployment.dataFolder(i)) / megabyte << " MB] ";
            CPPUNIT_ASSERT_MESSAGE("a record node has ended", this->deployment.recordNode(i).running());
            CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(watch.peakBytes) + " bytes at a record node",
                watch.peakBytes < recordBoundBytes);
            CPPUNIT_ASSERT(watch.peakDescriptors < descriptorBound);
        }
        MemoryWatch watch(this->deployment.entry().processId(), this->deployment.callerAddress);
        std::cerr << " [entry node: peak " << watch.peakBytes / megabyte << " MB] ";
        CPPUNIT_ASSERT_MESSAGE("the entry node has ended", this->deployment.entry().running());
        CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(watch.peakBytes) + " bytes at the entry node",
            watch.peakBytes < entryBoundBytes);
        CPPUNIT_ASSERT(watch.peakDescriptors < descriptorBound);
    }

    void checkRefused() const
    {
        for (const std::string& id : this->refused)
            CPPUNIT_ASSERT_MESSAGE("a turn was refused and has run", !this->deployment.hasRun(id));
    }

    // Fails the test unless kept turns can be continued, and a plain call is served.
    void checkServed()
    {
        CPPUNIT_ASSERT_MESSAGE("no turn was kept", !this->kept.empty());
        std::size_t step = std::max<std::size_t>(this->kept.size() / sampledTurns, 1);
        for (std::size_t i = 0; i < this->kept.size(); i += step) {
            int status = 0;
            bool served = testing::waitUntil(
                [&] { return (status = this->continueTurn(this->kept[i])) == 200; }, ordinaryTimeout);
            CPPUNIT_ASSERT_MESSAGE("a kept turn can't be continued: " + std::to_string(status), served);
        }
        CPPUNIT_ASSERT_EQUAL(200, this->deployment.sendPlainCall("ordinary", ordinaryTimeout).status);
    }

    static std::size_t diskBytes(const std::string& folder)
    {
        std::size_t bytes = 0;
        std::error_code gone; // a file may be removed meanwhile
        for (const auto& entry : std::filesystem::recursive_directory_iterator(folder, gone)) {
            std::error_code problem;
            std::uintmax_t size = entry.file_size(problem);
            bytes += problem ? 0 : static_cast<std::size_t>(size);
        }
        return bytes;
    }

    SmallDeployment deployment;

private:
    struct KeptTurn {
        std::string id;
        std::string program;
    };

    static DeploymentOptions withRecordNodes(DeploymentOptions options)
    {
        options.recordNodes = 3;
        options.recordMegabytes = recordMegabytes;
        return options;
    }

    void sendOne(const TurnCrowd& crowd, std::size_t number)
    {
        TurnCall turn { nameOf("turn", number, crowd.nameBytes), nameOf("program", number, crowd.nameBytes), {},
            std::string(crowd.inputBytes, 'x'), promptOf(number, crowd.promptParts) };
        int status = this->deployment.sendTurn(turn).status;
        std::lock_guard lock(this->mutex);
        ++this->statuses[status];
        if (status == 200)
            this->kept.push_back({ turn.id, turn.program });
        else if (status == 429 || status == 503 || status == 408 || status == 421)
            this->refused.push_back(turn.id);
    }

    int continueTurn(const KeptTurn& turn)
    {
        std::string id = "next-" + std::to_string(++this->continued);
        return this->deployment.sendTurn({ id, turn.program, turn.id, "go on" }).status;
    }

    std::mutex mutex;
    std::vector<KeptTurn> kept;
    std::vector<std::string> refused;
    std::map<int, std::size_t> statuses; // of the answers, with their numbers; 0: none
    int continued = 0;
};

} // namespace

class RecordCrowdTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordCrowdTest);
    CPPUNIT_TEST(largeTurns);
    CPPUNIT_TEST(usualTurns);
    CPPUNIT_TEST(longNames);
    CPPUNIT_TEST(shortTurns);
    CPPUNIT_TEST(distinctPrompts);
    CPPUNIT_TEST(fullDisk);
    CPPUNIT_TEST(lostDisk);
    CPPUNIT_TEST(longConversation);
    CPPUNIT_TEST_SUITE_END();

    // The nodes are killed once the turns are kept, so that they start with all of them.
    static void endure(const std::string& name, const TurnCrowd& turns)
    {
        RecordCrowd crowd({ .name = name });
        crowd.send(turns);
        crowd.checkProcesses();
        crowd.checkRefused();
        crowd.checkServed();
        crowd.deployment.restartRecordNodes();
        crowd.checkServed();
        crowd.checkProcesses();
    }

    // Guards against kept turns of nearly the largest size that exhaust the memory of a record node.
    void largeTurns() { endure("largeTurns", { .turns = 120, .inputBytes = 900'000 }); }

    // Guards against many kept turns of usual size that exhaust the memory of a record node.
    void usualTurns() { endure("usualTurns", { .turns = 3000, .inputBytes = 30'000 }); }

    // Guards against names that exhaust the memory of nodes, which hold them several times.
    void longNames()
    {
        RecordCrowd crowd({ .name = "longNames" });
        crowd.send({ .turns = 3000, .inputBytes = 100, .nameBytes = 4000 });
        crowd.checkProcesses();
        crowd.checkRefused();
        CPPUNIT_ASSERT_EQUAL(200, crowd.deployment.sendPlainCall("ordinary", ordinaryTimeout).status);
        int turns = 0;
        CPPUNIT_ASSERT_MESSAGE("an ordinary turn is not answered",
            testing::waitUntil(
                [&] {
                    std::string id = "ordinary-" + std::to_string(++turns);
                    return crowd.deployment.sendTurn({ .id = id, .program = id, .input = "hello" }).status == 200;
                },
                ordinaryTimeout));
    }

    // Guards against short turns with names of the longest length, which take more memory for the index than space.
    void shortTurns()
    {
        RecordCrowd crowd({ .name = "shortTurns" });
        crowd.send({ .turns = 20'000, .inputBytes = 10, .nameBytes = 250 });
        crowd.checkProcesses();
        crowd.checkRefused();
        crowd.checkServed();
    }

    // Guards against prompts of many parts, each of which an entry node remembers for some time.
    void distinctPrompts()
    {
        RecordCrowd crowd({ .name = "distinctPrompts" });
        crowd.send({ .turns = 1000, .inputBytes = 100, .promptParts = 1200 });
        crowd.checkProcesses();
        crowd.checkRefused();
        crowd.checkServed();
    }

    // Guards against kept turns that fill the disk of a record node, after which it can store nothing.
    void fullDisk()
    {
        constexpr std::uint32_t diskMegabytes = 48;
        RecordCrowd crowd({ .name = "fullDisk", .diskMegabytes = diskMegabytes });
        crowd.send({ .turns = 2500, .inputBytes = 30'000 });
        crowd.checkProcesses();
        crowd.checkRefused();
        crowd.checkServed();
        for (std::size_t i = 0; i < crowd.deployment.recordNodeCount(); ++i) {
            std::size_t used = RecordCrowd::diskBytes(crowd.deployment.dataFolder(i));
            CPPUNIT_ASSERT_MESSAGE("disk of " + std::to_string(used) + " bytes", used < diskMegabytes * megabyte);
        }
        crowd.deployment.restartRecordNodes();
        crowd.checkServed();
        crowd.checkProcesses();
    }

    // Guards against a record node with a new disk that needs more memory to fetch the kept turns than it has.
    void lostDisk()
    {
        RecordCrowd crowd({ .name = "lostDisk" });
        crowd.send({ .turns = 120, .inputBytes = 900'000 });
        crowd.deployment.wipeRecordNode(0);
        CPPUNIT_ASSERT_MESSAGE("the turns were not fetched",
            testing::waitUntil(
                [&] {
                    return RecordCrowd::diskBytes(crowd.deployment.dataFolder(0)) * 10
                        > RecordCrowd::diskBytes(crowd.deployment.dataFolder(1)) * 9;
                },
                ordinaryTimeout));
        crowd.checkProcesses();
        crowd.checkServed();
    }

    // Guards against conversations near the limit whose bytes exhaust the memory of the nodes while they are read.
    void longConversation()
    {
        constexpr std::size_t turns = 16;
        RecordCrowd crowd({ .name = "longConversation" });
        std::string previous;
        for (std::size_t i = 0; i < turns; ++i) {
            std::string id = "long-" + std::to_string(i);
            int status = 0;
            CPPUNIT_ASSERT_MESSAGE("a turn of the conversation is not kept",
                testing::waitUntil(
                    [&] {
                        status = crowd.deployment.sendTurn({ id, "long", previous, std::string(950'000, 'x') }).status;
                        return status == 200;
                    },
                    ordinaryTimeout));
            previous = id;
        }
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < crowdSize; ++i) {
            callers.emplace_back([&, i] {
                for (std::size_t number = 0; number < 3; ++number)
                    crowd.deployment.sendTurn(
                        { "branch-" + std::to_string(i) + "-" + std::to_string(number), "long", previous, "go on" });
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        crowd.checkProcesses();
        CPPUNIT_ASSERT_EQUAL(200, crowd.deployment.sendPlainCall("ordinary", ordinaryTimeout).status);
        int attempts = 0;
        CPPUNIT_ASSERT_MESSAGE("the conversation can't be continued",
            testing::waitUntil(
                [&] {
                    std::string id = "last-" + std::to_string(++attempts);
                    return crowd.deployment.sendTurn({ id, "long", previous, "go on" }).status == 200;
                },
                ordinaryTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCrowdTest);

} // namespace lovagecross::soak
