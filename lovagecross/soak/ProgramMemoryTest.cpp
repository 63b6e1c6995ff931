// Memory of a node that owns programs under crowds of callers that send large bodies: the process lives, its memory and
// descriptors stay under a bound, and one ordinary request is answered while the crowd stays connected.

#include "lovagecross/soak/MemoryCrowd.h"
#include "lovagecross/testing/Cluster.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross::soak {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t memoryBoundBytes = 256 * megabyte; // half of what the unit file allows
constexpr std::size_t maxBodyBytes = 768 * 1024;
constexpr std::size_t crowdSize = 400;
constexpr std::size_t descriptorBound = 2 * crowdSize + 200; // the listener has two for each connection
constexpr std::size_t pieceBytes = 64 * 1024;
constexpr Duration ordinaryTimeout = std::chrono::seconds(30);
constexpr std::size_t smallMemoryMegabytes = 64; // of the node that keeps calls
constexpr std::size_t creatingCallers = 16;
constexpr std::size_t createdPrograms = 20'000;
constexpr std::size_t usedPrograms = 8;
constexpr std::size_t callsOfProgram = 25; // 80 MB of calls in all

} // namespace

class ProgramMemoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramMemoryTest);
    CPPUNIT_TEST(largestBodyInCalm);
    CPPUNIT_TEST(wholeBodies);
    CPPUNIT_TEST(largeChunks);
    CPPUNIT_TEST(smallChunks);
    CPPUNIT_TEST(announcedBeyondTheLimit);
    CPPUNIT_TEST(sentBeyondTheLimit);
    CPPUNIT_TEST(parsedBodies);
    CPPUNIT_TEST(keptCalls);
    CPPUNIT_TEST(keptPrograms);
    CPPUNIT_TEST_SUITE_END();

    static testing::ClusterOptions oneNode() { return { .nodes = { "lodz1" }, .engines = { "lodz1" }, .shards = 1 }; }

    // Each caller of the crowd sends `body`, framed by `framing`, and stays connected.
    static void endure(const std::string& name, const std::string& framing, const std::string& body)
    {
        testing::Cluster cluster("programMemory." + name, oneNode());
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string address = cluster.callerUrl(0).substr(std::string("http://").size());
        Crowd crowd(pieceBytes);
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Lovagecross-Request-Id: ";
            head.append(id).append("\r\nX-Lovagecross-Program: ").append(program).append("\r\n");
            head.append(framing).append("\r\n\r\n");
            crowd.add(id, head, body, body.size(), {});
        }
        MemoryWatch watch(cluster.node(0).processId(), address);
        crowd.run(address, watch);
        bool alive = cluster.node(0).running();
        int calls = 0;
        bool served = alive
            && testing::waitUntil(
                [&] { return cluster.chat(0, program, "ordinary-" + std::to_string(++calls), "hello").status == 200; },
                ordinaryTimeout);
        watch.sample();
        checkEndured(watch, crowd, alive, served, { memoryBoundBytes, descriptorBound });
    }

    // Guards against limits on memory that refuse a single body of nearly the largest size.
    void largestBodyInCalm()
    {
        testing::Cluster cluster("programMemory.calm", oneNode());
        std::string program = cluster.createProgram(0, "create", 1000000);
        testing::HttpAnswer answer = cluster.chat(0, program, "large", std::string(400 * 1024, 'x'));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
    }

    // Guards against unfinished bodies that exhaust the memory of the process.
    void wholeBodies()
    {
        endure("wholeBodies", "Content-Length: " + std::to_string(maxBodyBytes), std::string(maxBodyBytes - 1, 'x'));
    }

    // Guards against unfinished chunked bodies, which announce no length.
    void largeChunks() { endure("largeChunks", "Transfer-Encoding: chunked", chunkedBody(maxBodyBytes, 256 * 1024)); }

    // Guards against chunks whose framing is larger than their content.
    void smallChunks() { endure("smallChunks", "Transfer-Encoding: chunked", chunkedBody(maxBodyBytes, 4)); }

    // Guards against reading a body that was announced with a length beyond the limit.
    void announcedBeyondTheLimit()
    {
        endure("announcedBeyondTheLimit", "Content-Length: 1073741824", std::string(4 * maxBodyBytes, 'x'));
    }

    // Guards against chunked bodies without an end.
    void sentBeyondTheLimit()
    {
        endure("sentBeyondTheLimit", "Transfer-Encoding: chunked", chunkedBody(4 * maxBodyBytes, 64 * 1024));
    }

    // Guards against complete bodies of many small values, whose parsed form takes many times their bytes.
    void parsedBodies()
    {
        std::string body = R"({"messages":[)";
        while (body.size() + 16 < maxBodyBytes)
            body += "{},";
        body += "{}]}";
        endure("parsedBodies", "Content-Length: " + std::to_string(body.size()), body);
    }

    // Guards against programs that are created and never used, each of which the process keeps.
    void keptPrograms()
    {
        testing::ClusterOptions options = oneNode();
        options.extraSettings = R"("memoryMegabytes":)" + std::to_string(smallMemoryMegabytes) + ",";
        testing::Cluster cluster("programMemory.keptPrograms", options);
        std::string program = cluster.createProgram(0, "create", 1000000);
        const std::string url = cluster.callerUrl(0) + "/v1/programs";
        const std::string body = R"({"rank":"urgent","budget":{"tokens":1000000}})";
        std::atomic<std::size_t> next { 0 };
        std::mutex mutex;
        std::map<int, std::size_t> statuses;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < creatingCallers; ++i) {
            callers.emplace_back([&] {
                for (std::size_t number = next++; number < createdPrograms; number = next++) {
                    std::string id = std::string(100, 'n') + std::to_string(number);
                    int status = testing::httpRequest("POST", url, body, { { "X-Lovagecross-Request-Id", id } }).status;
                    std::lock_guard lock(mutex);
                    ++statuses[status];
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        int status = cluster.chat(0, program, "ordinary", "hello").status;
        MemoryWatch watch(cluster.node(0).processId(), cluster.callerUrl(0).substr(std::string("http://").size()));
        for (const auto& [answer, count] : statuses)
            std::cerr << " [" << count << " times " << answer << "] ";
        std::cerr << " [peak " << watch.peakBytes / megabyte << " MB] ";
        CPPUNIT_ASSERT_MESSAGE("the process has ended", cluster.node(0).running());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request is not answered", 200, status);
        CPPUNIT_ASSERT_MESSAGE(
            "peak of " + std::to_string(watch.peakBytes) + " bytes", watch.peakBytes < smallMemoryMegabytes * megabyte);
    }

    // Guards against calls of legal size that exhaust the memory of the process with what it keeps of each.
    void keptCalls()
    {
        testing::ClusterOptions options = oneNode();
        options.extraSettings = R"("memoryMegabytes":)" + std::to_string(smallMemoryMegabytes) + ",";
        testing::Cluster cluster("programMemory.keptCalls", options);
        std::vector<std::string> programs;
        for (std::size_t i = 0; i < usedPrograms; ++i)
            programs.push_back(cluster.createProgram(0, "create-" + std::to_string(i), 100000000));
        int answered = 0;
        for (std::size_t i = 0; i < usedPrograms * callsOfProgram; ++i) {
            std::string id = "kept-" + std::to_string(i);
            answered
                += cluster.chat(0, programs[i % usedPrograms], id, std::string(400 * 1024, 'x')).status == 200 ? 1 : 0;
        }
        int status = 0;
        for (int calls = 0; status != 200 && calls < 2; ++calls) {
            std::string program = cluster.createProgram(0, "ordinary-" + std::to_string(calls), 1000000);
            status = cluster.chat(0, program, "ordinary-" + std::to_string(calls), "hello").status;
        }
        MemoryWatch watch(cluster.node(0).processId(), cluster.callerUrl(0).substr(std::string("http://").size()));
        std::cerr << " [" << answered << " calls answered; peak " << watch.peakBytes / megabyte << " MB] ";
        CPPUNIT_ASSERT_MESSAGE("the process has ended", cluster.node(0).running());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request is not answered", 200, status);
        CPPUNIT_ASSERT_MESSAGE(
            "peak of " + std::to_string(watch.peakBytes) + " bytes", watch.peakBytes < smallMemoryMegabytes * megabyte);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramMemoryTest);

} // namespace lovagecross::soak
