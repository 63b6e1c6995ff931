// Requests that end each server that runs them, at several entry nodes that follow one record node.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/crashes/CallFingerprint.h"
#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/gateway/CrashGuard.h"
#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/sharing/CrashReporter.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/TcpForwarder.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

namespace {

constexpr auto pumpInterval = milliseconds(30);
constexpr auto repeatInterval = milliseconds(700); // longer than the slowest evidence takes

// An entry node in this process.
struct EntryNode {
    EntryNode(
        const Clock& clock, const CallCodec& codec, FakeTurns& turns, ServerPermits& permits, const std::string& name)
        : directory(clock)
        , book(clock, "a")
        , pool(clock, milliseconds(300))
        , ledger(clock, counters)
        , guard(clock, ledger, directory, pool, name)
        , reporter(clock)
        , parts { clock, directory, book, pool, codec, turns, turns, permits, GatewayCounters(counters) }
        , address(testing::freeAddress())
        , gateway(GatewaySettings { address, 64 }, parts)
    {
        this->parts.crashes = &this->guard;
        this->gateway.start();
    }

    Counters counters;
    Directory directory;
    ServerStatistics book;
    ConnectionPool pool;
    CrashLedger ledger;
    CrashGuard guard;
    CrashReporter reporter;
    GatewayContext parts;
    std::string address;
    Gateway gateway;
    CrashCursor cursor;
};

// Grants permits, one of them only when the test says so.
class HeldPermits final : public ServerPermits {
public:
    void observe(const ServerEntry&, std::optional<double>, TimePoint) override { }
    PermitOutlook outlook(const std::vector<ServerEntry>&) override { return {}; }
    Permit acquire(const ServerEntry&, TimePoint) override
    {
        if (this->holds.exchange(false)) {
            this->held.release();
            this->released.acquire();
        }
        return {};
    }

    void holdNext() { this->holds = true; }
    void awaitHeld() { this->held.acquire(); }
    void releaseHeld() { this->released.release(); }

private:
    std::atomic<bool> holds { false };
    std::binary_semaphore held { 0 };
    std::binary_semaphore released { 0 };
};

// How a server ends.
enum class EndKind {
    Refuses, // accepts no connection afterwards
    ClosesAll, // accepts connections and closes them at once
    TornOnly, // doesn't end: only the connection of the request is lost
};

} // namespace

class CrashingRequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(requestThatEndsServersIsQuarantinedAtAllNodes);
    CPPUNIT_TEST(requestThatEndsServersInItsStreamIsQuarantined);
    CPPUNIT_TEST(requestOfAnyKindIsQuarantined);
    CPPUNIT_TEST(endBehindAnAddressThatStillAcceptsIsRecognized);
    CPPUNIT_TEST(requestWhoseConnectionsAreTornIsNotQuarantined);
    CPPUNIT_TEST(onlyTheSameContentIsQuarantined);
    CPPUNIT_TEST(requestIsServedByServersOfANewVersion);
    CPPUNIT_TEST(nodeThatStartsLaterRefusesToo);
    CPPUNIT_TEST(requestThatWaitsForAServerIsWithheldOnceItIsKnown);
    CPPUNIT_TEST(requestWhoseCallersLeaveEarlyIsQuarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->recordNode = std::make_unique<CrashLedger>(this->clock, this->counters);
        this->pumping = true;
        this->pump = std::thread([this] {
            while (this->pumping) {
                this->exchange();
                std::this_thread::sleep_for(pumpInterval);
            }
        });
        for (int i = 0; i < 3; ++i)
            this->addNode();
        for (int i = 0; i < 12; ++i)
            this->addServer("v1");
    }

    void tearDown() override
    {
        this->pumping = false;
        this->pump.join();
        for (auto& node : this->nodes)
            node->gateway.stop(std::chrono::seconds(5));
        this->nodes.clear();
        this->links.clear();
        this->servers.clear();
        this->entries.clear();
        this->recordNode.reset();
        this->runs = 0;
        this->endKind = EndKind::Refuses;
    }

private:
    static Route route(const std::string& prefix, RouteKind kind)
    {
        Route result;
        result.name = prefix;
        result.host = "h";
        result.pathPrefix = prefix;
        result.kind = kind;
        result.services = { { "s", 1 } };
        result.timeout = milliseconds(1500);
        result.targetLatency = milliseconds(100);
        result.targetEventGap = milliseconds(100);
        result.maxAttempts = 2;
        result.resumable = kind == RouteKind::Streaming;
        return result;
    }

    void addNode()
    {
        std::lock_guard lock(this->mutex);
        auto node = std::make_unique<EntryNode>(
            this->clock, this->codec, this->turns, this->permits, "entry" + std::to_string(this->nodes.size()));
        GatewayConfiguration configuration;
        configuration.version = 1;
        configuration.routes = { route("/safe/", RouteKind::Safe), route("/unsafe/", RouteKind::Unsafe),
            route("/stream/", RouteKind::Streaming), route("/patient/", RouteKind::Safe) };
        configuration.routes.back().timeout = std::chrono::seconds(20);
        node->directory.applyConfiguration(configuration);
        if (!this->entries.empty())
            node->directory.replaceServers(this->entries, this->entries.size());
        this->nodes.push_back(std::move(node));
    }

    void addServer(const std::string& version)
    {
        std::size_t number = this->servers.size();
        this->servers.push_back(std::make_unique<ScriptedServer>(
            [this, number, version](const ScriptedRequest& request, ScriptedConnection& connection) {
                return this->serve(number, version, request, connection);
            }));
        this->links.push_back(std::make_unique<testing::TcpForwarder>(this->servers.back()->address()));
        ServerEntry entry;
        entry.id = "server" + std::to_string(number);
        entry.service = "s";
        entry.address = this->links.back()->address();
        entry.dataCentre = "a";
        entry.slots = 8;
        entry.startedUnixMillis = 1;
        entry.softwareVersion = version;
        std::lock_guard lock(this->mutex);
        this->entries.push_back(entry);
        for (auto& node : this->nodes)
            node->directory.replaceServers(this->entries, this->entries.size());
    }

    // A body that begins with "end" ends the server, unless it is of version 2; "end-later" after the first event.
    bool serve(
        std::size_t number, const std::string& version, const ScriptedRequest& request, ScriptedConnection& connection)
    {
        bool ends = request.body.rfind("end", 0) == 0 && version == "v1";
        bool streams = contains(request.head, " /stream/");
        if (!ends && !streams)
            return connection.write(signedResponse(request, "whole"));
        if (!ends)
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        ++this->runs;
        if (request.body.rfind("end-later", 0) == 0)
            connection.write(streamHead(request) + printChunk(event(1)));
        std::this_thread::sleep_for(milliseconds(20));
        if (this->endKind == EndKind::TornOnly)
            return false;
        this->links[number]->set(
            this->endKind == EndKind::Refuses ? testing::ForwarderState::Refused : testing::ForwarderState::Cut);
        return false;
    }

    // What the messages between the nodes bring about.
    void exchange()
    {
        std::lock_guard lock(this->mutex);
        for (auto& node : this->nodes) {
            node->reporter.add(node->guard.step());
            this->recordNode->learn(node->reporter.takeDue(), CrashSource::EntryNode);
            CrashNews news = this->recordNode->newsSince(node->cursor);
            node->ledger.learn(news.notices, CrashSource::RecordNode);
            node->cursor = news.upTo;
        }
    }

    std::string printRequest(const std::string& path, const std::string& body, const std::string& more = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: r" + std::to_string(++this->requests) + "\r\n" + more
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string send(std::size_t node, const std::string& path, const std::string& body, const std::string& more = {})
    {
        CallerSocket caller(this->nodes[node % this->nodes.size()]->address);
        caller.write(this->printRequest(path, body, more));
        return caller.readResponse();
    }

    // Sends the request again and again, at one node after the other. Returns the last answer.
    std::string repeat(const std::string& path, const std::string& body, int times = 5)
    {
        std::string answer;
        for (int i = 0; i < times; ++i) {
            answer = this->send(static_cast<std::size_t>(i), path, body);
            std::this_thread::sleep_for(repeatInterval);
        }
        return answer;
    }

    SystemClock clock;
    Counters counters;
    TestCodec codec;
    FakeTurns turns;
    HeldPermits permits;
    std::mutex mutex;
    std::unique_ptr<CrashLedger> recordNode;
    std::vector<std::unique_ptr<EntryNode>> nodes;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::unique_ptr<testing::TcpForwarder>> links;
    std::vector<ServerEntry> entries;
    std::atomic<bool> pumping { false };
    std::thread pump;
    std::atomic<int> runs { 0 };
    std::atomic<EndKind> endKind { EndKind::Refuses };
    std::atomic<int> requests { 0 };

    // Guards against a request that ends max_attempts servers for each of its repeats, wherever it is repeated.
    void requestThatEndsServersIsQuarantinedAtAllNodes()
    {
        std::string answer = this->repeat("/stream/a", "end");
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 400 "));
        for (std::size_t node = 0; node < this->nodes.size(); ++node)
            CPPUNIT_ASSERT(contains(this->send(node, "/stream/a", "end"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
        CPPUNIT_ASSERT(contains(this->send(0, "/safe/a", "sound"), "whole"));
    }

    // Guards against the same with an end after the first event, which the caller has then.
    void requestThatEndsServersInItsStreamIsQuarantined()
    {
        std::string answer = this->repeat("/stream/a", "end-later");
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 400 "));
    }

    // Guards against kinds of routes that don't count the ends, or don't refuse.
    void requestOfAnyKindIsQuarantined()
    {
        for (const char* path : { "/safe/a", "/unsafe/a" }) {
            this->runs = 0;
            std::string answer = this->repeat(path, std::string("end ") + path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 3, this->runs.load());
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 400 "));
        }
    }

    // Guards against an end that isn't recognized since something in front of the server goes on accepting.
    void endBehindAnAddressThatStillAcceptsIsRecognized()
    {
        this->endKind = EndKind::ClosesAll;
        std::string answer = this->repeat("/stream/a", "end", 6);
        CPPUNIT_ASSERT(this->runs <= 4);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 400 "));
    }

    // Guards against a sound request that is refused because its connections were torn while the servers went on.
    void requestWhoseConnectionsAreTornIsNotQuarantined()
    {
        this->endKind = EndKind::TornOnly;
        this->repeat("/stream/a", "end");
        CPPUNIT_ASSERT_EQUAL(10, this->runs.load());
    }

    // Guards against a quarantine that goes beyond the request: to another request, or to the same words in another
    // conversation. What ends servers does so whoever sends it.
    void onlyTheSameContentIsQuarantined()
    {
        this->repeat("/safe/a", "end");
        this->runs = 0;
        CPPUNIT_ASSERT(contains(this->send(0, "/safe/a", "end", "Program: other\r\n"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT(contains(this->send(0, "/safe/b", "sound"), "whole"));
        CPPUNIT_ASSERT_EQUAL(0, this->runs.load());
        CPPUNIT_ASSERT(!contains(this->send(0, "/safe/a", "end", "Previous: turn7\r\n"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT(this->runs > 0);
    }

    // Guards against a request that stays refused although the software that it ended has been replaced.
    void requestIsServedByServersOfANewVersion()
    {
        CPPUNIT_ASSERT(contains(this->repeat("/safe/a", "end"), "HTTP/1.1 400 "));
        this->addServer("v2");
        CPPUNIT_ASSERT(contains(this->send(1, "/safe/a", "end"), "whole"));
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
    }

    // Guards against a node that knows nothing of the ends before its start.
    void nodeThatStartsLaterRefusesToo()
    {
        this->repeat("/safe/a", "end");
        this->addNode();
        std::this_thread::sleep_for(3 * pumpInterval);
        CPPUNIT_ASSERT(contains(this->send(this->nodes.size() - 1, "/safe/a", "end"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
    }

    // Guards against a request that ends servers without end since its callers leave before that.
    void requestWhoseCallersLeaveEarlyIsQuarantined()
    {
        std::string fingerprint = fingerprintOf({ "POST", "/safe/a", "", "", "end" });
        for (std::uint32_t ends = 0; ends < 3; ++ends) {
            CallerSocket caller(this->nodes[ends]->address);
            caller.write(this->printRequest("/safe/a", "end"));
            while (this->runs == static_cast<int>(ends))
                std::this_thread::sleep_for(milliseconds(1));
            caller.close();
            CPPUNIT_ASSERT(testing::waitUntil(
                [&] { return this->nodes[0]->ledger.find(fingerprint).ends > ends; }, std::chrono::seconds(5)));
        }
        CPPUNIT_ASSERT(contains(this->send(0, "/safe/a", "end"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
    }

    // Guards against a request that a node took before the request was found out, and sends to a server afterwards.
    void requestThatWaitsForAServerIsWithheldOnceItIsKnown()
    {
        this->permits.holdNext();
        std::string answer;
        std::thread waiting([&] { answer = this->send(0, "/patient/a", "end"); });
        this->permits.awaitHeld();
        std::string found = this->repeat("/patient/a", "end", 3);
        this->permits.releaseHeld();
        waiting.join();
        CPPUNIT_ASSERT_MESSAGE(found, contains(found, "HTTP/1.1 400 "));
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(3, this->runs.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace lovagecross
