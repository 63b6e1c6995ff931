// Memory of an entry node under crowds of callers that send large bodies. Each case starts a real lovagecrossd with a
// small memory setting, connects a crowd, and checks that the process lives, that its memory and descriptors stay under
// a bound, that no refused call has run, and that one ordinary request is answered while the crowd stays connected.

#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/soak/FakePlatform.h"
#include "lovagecross/soak/FakeServers.h"
#include "lovagecross/soak/MemoryCrowd.h"
#include "lovagecross/testing/HttpClient.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "platform/HeaderNames.h"
#include "platform/SampleDocuments.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <string>
#include <unistd.h>

namespace lovagecross::soak {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t memoryMegabytes = 88;
constexpr std::size_t memoryBoundBytes = 70 * megabyte;
constexpr std::size_t maxBodyBytes = 4 * megabyte;
constexpr std::size_t largeAnswerBytes = megabyte;
constexpr std::size_t crowdSize = 48;
constexpr std::size_t completeEvery = 12; // of the crowd, one in so many sends its body whole
constexpr std::size_t descriptorBound = 4 * crowdSize + 100;
constexpr Duration startTimeout = std::chrono::seconds(20);
constexpr Duration ordinaryTimeout = std::chrono::seconds(30);

std::string configuration()
{
    std::string text = platform::sampleConfiguration;
    const std::string sample = R"("max_body_bytes":1048576)";
    text.replace(text.find(sample), sample.size(), R"("max_body_bytes":)" + std::to_string(maxBodyBytes));
    const std::string routes = R"("routes":[)";
    text.insert(text.find(routes) + routes.size(),
        R"({"name":"large","host":"soak.example","path_prefix":"/large/","kind":"safe","timeout_ms":20000,)"
        R"("service":"large","max_attempts":2},)");
    const std::string services = R"("services":[)";
    text.insert(text.find(services) + services.size(), R"({"name":"large","health_path":"/h","max_connections":200},)");
    return text;
}

// Answers with a body of the largest size that is forwarded.
bool answerLarge(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    HeaderList headers;
    headers.add(platform::requestIdField, request.header(std::string(platform::requestIdField)));
    headers.add(platform::signatureField, "memory");
    headers.add("Content-Length", std::to_string(largeAnswerBytes));
    return connection.write(printResponseHead(200, reasonPhrase(200), headers) + std::string(largeAnswerBytes, 'x'));
}

std::string requestHead(const std::string& id, const std::string& framing, const std::string& path = "/safe/x")
{
    return "POST " + path + " HTTP/1.1\r\nHost: soak.example\r\n" + std::string(platform::requestIdField) + ": " + id
        + "\r\n" + framing + "\r\n\r\n";
}

// One entry node with a platform and a server, all on loopback addresses.
struct EntryProcess {
    explicit EntryProcess(const std::string& name)
        : harness("/tmp/lovagecross-test." + std::to_string(getpid()) + "/" + name)
    {
        this->platform.put("config", "main", configuration());
        this->server.heartbeat(this->platform, true);
        this->platform.put(
            "servers", "server-large", platform::printServerEntry("large", this->largeServer.address(), "a", true, 1));
        std::string file = this->harness.directory() + "/entry.json";
        std::ofstream(file) << R"({"mode":"entry","node":"entry-0","dataCentre":"a","peerAddress":")"
                            << testing::freeAddress() << R"(","platformAddress":")" << this->platformServer.address()
                            << R"(","callerAddress":")" << this->callerAddress << R"(","relayAddress":")"
                            << this->relayAddress << R"(","readyAddress":")" << this->readyAddress
                            << R"(","readyPath":"/ready","metricsAddress":")" << this->metricsAddress
                            << R"(","seeds":[],"memoryMegabytes":)" << memoryMegabytes << "}";
        this->process = &this->harness.start("entry", testing::programPath("lovagecrossd"), { "--config", file });
        CPPUNIT_ASSERT_MESSAGE("no call is served after the start",
            testing::waitUntil([this] { return this->serves("x"); }, startTimeout));
    }

    testing::HttpAnswer post(const std::string& body, const std::string& path = "/safe/x")
    {
        this->server.heartbeat(this->platform, true);
        this->platform.put("servers", "server-large",
            platform::printServerEntry("large", this->largeServer.address(), "a", true, ++this->largeSequence));
        testing::HttpHeaders headers { { "Host", "soak.example" },
            { std::string(platform::requestIdField), "ordinary-" + std::to_string(++this->ordinaryCalls) } };
        return testing::httpRequest("POST", "http://" + this->callerAddress + path, body, headers);
    }

    bool serves(const std::string& body) { return this->post(body).status == 200; }

    // Lets the crowd send to `address`, and checks the node during it and afterwards.
    void endure(Crowd& crowd, const std::string& address)
    {
        MemoryWatch watch(this->process->processId(), address);
        crowd.run(address, watch);
        bool alive = this->process->running();
        bool served = alive && testing::waitUntil([this] { return this->serves("ordinary"); }, ordinaryTimeout);
        watch.sample();
        checkEndured(watch, crowd, alive, served, { memoryBoundBytes, descriptorBound });
        for (const auto& [id, status] : crowd.answers()) {
            if (status == 408 || status == 421 || status == 429 || status == 503)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id + " was refused and has run", 0, this->ledger.runs(id));
        }
    }

    testing::ProcessHarness harness;
    FakePlatform platform;
    standins::HttpServer platformServer { this->platform, "127.0.0.1:0" };
    Findings findings;
    RunLedger ledger;
    FakeServer server { "server-0", "tool", "a", this->ledger, this->findings };
    const std::string callerAddress = testing::freeAddress();
    const std::string relayAddress = testing::freeAddress();
    const std::string readyAddress = testing::freeAddress();
    const std::string metricsAddress = testing::freeAddress();
    testing::ChildProcess* process = nullptr;
    int ordinaryCalls = 0;
    testing::ScriptedServer largeServer { answerLarge };
    std::uint64_t largeSequence = 1;
};

} // namespace

class MemoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryTest);
    CPPUNIT_TEST(largestBodyInCalm);
    CPPUNIT_TEST(wholeBodies);
    CPPUNIT_TEST(bodiesInPieces);
    CPPUNIT_TEST(largeChunks);
    CPPUNIT_TEST(smallChunks);
    CPPUNIT_TEST(announcedBeyondTheLimit);
    CPPUNIT_TEST(sentBeyondTheLimit);
    CPPUNIT_TEST(completeBodies);
    CPPUNIT_TEST(unreadAnswers);
    CPPUNIT_TEST(relayListener);
    CPPUNIT_TEST(readyListener);
    CPPUNIT_TEST(metricsListener);
    CPPUNIT_TEST_SUITE_END();

    // Guards against limits on memory that refuse a single body of the largest legal size.
    void largestBodyInCalm()
    {
        EntryProcess entry("largestBodyInCalm");
        CPPUNIT_ASSERT_EQUAL(200, entry.post(std::string(maxBodyBytes, 'x')).status);
    }

    // A crowd that sends bodies with a Content-Length, most of them without their last byte.
    static void sendWithLength(const std::string& name, std::size_t pieceBytes, std::size_t completeOneIn)
    {
        EntryProcess entry(name);
        Crowd crowd(pieceBytes);
        std::string body(maxBodyBytes, 'x');
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            bool complete = i % completeOneIn == 0;
            crowd.add(id, requestHead(id, "Content-Length: " + std::to_string(maxBodyBytes)), body,
                complete ? body.size() : body.size() - 1, {});
        }
        entry.endure(crowd, entry.callerAddress);
    }

    // Guards against unfinished bodies that exhaust the memory of the process.
    void wholeBodies() { sendWithLength("wholeBodies", maxBodyBytes, completeEvery); }

    // Guards against unfinished bodies that grow slowly and side by side.
    void bodiesInPieces() { sendWithLength("bodiesInPieces", 16 * 1024, completeEvery); }

    // Guards against a burst of legal requests that exhausts the memory with the bodies and their copies.
    void completeBodies() { sendWithLength("completeBodies", maxBodyBytes, 1); }

    static void sendChunked(const std::string& name, std::size_t chunkSize)
    {
        EntryProcess entry(name);
        Crowd crowd(64 * 1024);
        std::string body = chunkedBody(maxBodyBytes, chunkSize);
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            bool complete = i % completeEvery == 0;
            crowd.add(id, requestHead(id, "Transfer-Encoding: chunked"), body, body.size(),
                complete ? std::string(lastChunk) : std::string());
        }
        entry.endure(crowd, entry.callerAddress);
    }

    // Guards against unfinished chunked bodies, which announce no length.
    void largeChunks() { sendChunked("largeChunks", megabyte); }

    // Guards against chunks whose framing is larger than their content.
    void smallChunks() { sendChunked("smallChunks", 4); }

    // Guards against reading a body that was announced with a length beyond the limit.
    void announcedBeyondTheLimit()
    {
        EntryProcess entry("announcedBeyondTheLimit");
        Crowd crowd(64 * 1024);
        std::string body(4 * maxBodyBytes, 'x');
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            crowd.add(id, requestHead(id, "Content-Length: 1073741824"), body, body.size(), {});
        }
        entry.endure(crowd, entry.callerAddress);
        for (const auto& [id, status] : crowd.answers())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 413, status);
    }

    // Guards against chunked bodies without an end.
    void sentBeyondTheLimit()
    {
        EntryProcess entry("sentBeyondTheLimit");
        Crowd crowd(64 * 1024);
        std::string body = chunkedBody(4 * maxBodyBytes, 256 * 1024);
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            crowd.add(id, requestHead(id, "Transfer-Encoding: chunked"), body, body.size(), {});
        }
        entry.endure(crowd, entry.callerAddress);
    }

    // Guards against answers that pile up in the process and in the kernel because their callers do not read them.
    void unreadAnswers()
    {
        EntryProcess entry("unreadAnswers");
        CPPUNIT_ASSERT_EQUAL(largeAnswerBytes, entry.post("x", "/large/x").body.size());
        Crowd crowd(64 * 1024, CrowdReads::Nothing);
        for (std::size_t i = 0; i < 2 * crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            crowd.add(id, requestHead(id, "Content-Length: 1", "/large/x"), "x", 1, {});
        }
        entry.endure(crowd, entry.callerAddress);
    }

    static void sendToListener(const std::string& name, const std::string EntryProcess::*address)
    {
        EntryProcess entry(name);
        Crowd crowd(64 * 1024);
        std::string body(maxBodyBytes, 'x');
        for (std::size_t i = 0; i < crowdSize; ++i) {
            std::string id = "crowd-" + std::to_string(i);
            crowd.add(
                id, requestHead(id, "Content-Length: " + std::to_string(maxBodyBytes)), body, body.size() - 1, {});
        }
        entry.endure(crowd, entry.*address);
    }

    // Guards against unfinished bodies at the listener for other nodes, which is not that of callers.
    void relayListener() { sendToListener("relayListener", &EntryProcess::relayAddress); }

    // Guards against unfinished bodies at the readiness endpoint, which has an HTTP server of its own.
    void readyListener() { sendToListener("readyListener", &EntryProcess::readyAddress); }

    // Guards against unfinished bodies at the metrics endpoint, which has an HTTP server of its own.
    void metricsListener() { sendToListener("metricsListener", &EntryProcess::metricsAddress); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryTest);

} // namespace lovagecross::soak
