// Failure tests against real processes: crashes, pauses, outages, lost answers, crashing requests and combinations of
// these.

#include "lovagecross/testing/Cluster.h"

#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

using testing::Cluster;
using testing::countOccurrences;
using testing::HttpAnswer;
using testing::jsonString;
using testing::waitUntil;

class FailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailureTest);
    CPPUNIT_TEST(ownerKilled);
    CPPUNIT_TEST(ownerKilledMidStream);
    CPPUNIT_TEST(ownerPaused);
    CPPUNIT_TEST(platformDown);
    CPPUNIT_TEST(platformDownAndOwnerKilled);
    CPPUNIT_TEST(platformDownAndStandbyThenOwnerKilled);
    CPPUNIT_TEST(platformAnswersLost);
    CPPUNIT_TEST(platformRateLimited);
    CPPUNIT_TEST(crashingRequest);
    CPPUNIT_TEST(hungTool);
    CPPUNIT_TEST(loopingProgram);
    CPPUNIT_TEST(badInput);
    CPPUNIT_TEST(longConversation);
    CPPUNIT_TEST(compaction);
    CPPUNIT_TEST(dataCentreCut);
    CPPUNIT_TEST(engineLostAndBack);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration takeoverBound = std::chrono::seconds(6); // the lease, at most 5 s, plus 1 s

    // The owner is killed, with a lease as long as in production, while callers keep sending requests through the other
    // nodes. Each caller must be answered within the bound: a request that is waiting for the dead owner must not wait
    // for the timeout that detects a silent peer.
    void ownerKilled()
    {
        Cluster cluster("ownerKilled", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1, .leaseMillis = 4000 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        TimePoint killedAt = SystemClock().now();
        std::vector<std::thread> callers;
        std::array<std::int64_t, 2> answeredAfter {};
        for (std::size_t i = 0; i < 2; ++i)
            callers.emplace_back([&, i] {
                std::string requestId = "after-" + std::to_string(i);
                while (cluster.chat((owner + 1 + i) % 3, program, requestId, "hello").status != 200) { }
                answeredAfter[i] = toMillis(SystemClock().now() - killedAt);
            });
        for (std::thread& caller : callers)
            caller.join();
        for (std::int64_t millis : answeredAfter)
            CPPUNIT_ASSERT_MESSAGE(
                "answered after " + std::to_string(millis) + " ms", millis <= toMillis(takeoverBound));
    }

    // The owner is killed while it streams an answer. The caller must receive the complete answer from the successor on
    // the same connection.
    void ownerKilledMidStream()
    {
        Cluster cluster("ownerKilledMidStream",
            { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1, .engineArguments = { "--decode-tps", "20" } });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::size_t entry = (owner + 1) % 3;
        std::string expected = jsonString(cluster.chat(entry, program, "plain", "a long story", 30).body, "content");
        std::string events;
        std::atomic<int> chunks { 0 };
        std::thread caller([&] {
            cluster.chatStream(entry, program, "streamed", "a long story", 30, [&](std::string_view chunk) {
                events += chunk;
                ++chunks;
                return true;
            });
        });
        CPPUNIT_ASSERT(waitUntil([&] { return chunks >= 5; }, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        caller.join();
        std::string whole;
        for (std::size_t at = events.find("\"content\":\""); at != std::string::npos;
             at = events.find("\"content\":\"", at + 1))
            whole += jsonString(events.substr(at), "content");
        CPPUNIT_ASSERT_EQUAL(expected, whole);
        CPPUNIT_ASSERT(events.find("[DONE]") != std::string::npos);
        std::size_t next = cluster.waitForOwner(program, takeoverBound, owner);
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOccurrences(history, "\"requestId\":\"streamed\""));
    }

    // The owner is paused during a non-idempotent call for longer than its lease, then resumed. It must neither send
    // calls nor record anything for the shard, and must not give its callers a wrong outcome.
    void ownerPaused()
    {
        Cluster cluster("ownerPaused", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string idempotentProgram = cluster.createProgram(0, "create-2", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::size_t entry = (owner + 1) % 3;
        cluster.toolFaults(R"({"delayMs":500})");
        HttpAnswer during;
        std::thread caller([&] { during = cluster.callTool(entry, program, "during", "{}", false); });
        CPPUNIT_ASSERT(waitUntil([&] { return cluster.toolRuns() == 1; }, std::chrono::seconds(10)));
        cluster.node(owner).pause();
        TimePoint pausedAt = SystemClock().now();
        std::size_t next = (owner + 1) % 3;
        bool takenOver = waitUntil(
            [&] {
                for (std::size_t i = 0; i < 3; ++i) {
                    if (i == owner)
                        continue;
                    std::string leases = testing::httpRequest("GET", cluster.adminUrl(i) + "/admin/leases").body;
                    if (leases.find("\"serving\":true") != std::string::npos) {
                        next = i;
                        return true;
                    }
                }
                return false;
            },
            takeoverBound);
        CPPUNIT_ASSERT_MESSAGE(
            "takeover took " + std::to_string(toMillis(SystemClock().now() - pausedAt)) + " ms", takenOver);
        caller.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(during.body, std::string("outcome_unknown"), jsonString(during.body, "code"));
        cluster.toolFaults(R"({"delayMs":0})");
        CPPUNIT_ASSERT_EQUAL(200, cluster.callTool(next, program, "after", "{}", false).status);
        // These requests queue at the paused node and are the first that it processes when resumed. It must not send a
        // non-idempotent call, which needs a record first, or an idempotent one, which does not, and it must not return
        // an outcome that it learned after its lease had expired.
        HttpAnswer firstCall;
        HttpAnswer firstIdempotent;
        HttpAnswer firstRepeat;
        std::thread callThread([&] { firstCall = cluster.callTool(owner, program, "first", "{}", false); });
        std::thread idempotentThread(
            [&] { firstIdempotent = cluster.callTool(owner, idempotentProgram, "first-idempotent", "{}", true); });
        std::thread repeatThread([&] { firstRepeat = cluster.callTool(owner, program, "during", "{}", false); });
        std::this_thread::sleep_for(std::chrono::milliseconds(200)); // lets the requests reach the paused node
        cluster.node(owner).resume();
        callThread.join();
        idempotentThread.join();
        repeatThread.join();
        for (const HttpAnswer& first : { firstCall, firstIdempotent })
            CPPUNIT_ASSERT_MESSAGE(first.body, first.status == 200 || jsonString(first.body, "run") == "no");
        CPPUNIT_ASSERT_MESSAGE(
            firstRepeat.body, firstRepeat.body == during.body || jsonString(firstRepeat.body, "code") == "not_owner");
        // A refused request may be sent again; an answered one must not run again.
        auto eventuallySucceeds = [&](const std::string& id, const std::string& requestId, bool idempotent) {
            return waitUntil([&] { return cluster.callTool(owner, id, requestId, "{}", idempotent).status == 200; },
                std::chrono::seconds(10));
        };
        CPPUNIT_ASSERT(eventuallySucceeds(program, "first", false));
        CPPUNIT_ASSERT(eventuallySucceeds(idempotentProgram, "first-idempotent", true));
        // The resumed node accepts calls again and forwards them to the new owner.
        CPPUNIT_ASSERT(waitUntil([&] { return cluster.callTool(owner, program, "woken", "{}", false).status == 200; },
            std::chrono::seconds(10)));
        CPPUNIT_ASSERT_EQUAL(during.body, cluster.callTool(owner, program, "during", "{}", false).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), cluster.toolRuns()); // during, after, first, first-idempotent, woken
        std::string history = cluster.get(entry, "/v1/programs/" + program + "/history").body;
        for (const char* id : { "during", "after", "first", "woken" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                history, std::size_t(1), countOccurrences(history, "\"requestId\":\"" + std::string(id) + "\""));
    }

    // The platform is down for longer than the lease. Programs must continue, with their records copied to other nodes
    // through the bridge, and new programs must start. After the outage the platform must have all records, so that
    // another owner finds them.
    void platformDown()
    {
        Cluster cluster("platformDown", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        cluster.platformFaults(R"({"down":true})");
        TimePoint end = SystemClock().now() + std::chrono::seconds(4);
        std::size_t turns = 0;
        while (SystemClock().now() < end) {
            HttpAnswer answer = cluster.callTool(turns % 3, program, "turn-" + std::to_string(turns), "{}", false);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
            ++turns;
        }
        std::string started = cluster.createProgram((owner + 1) % 3, "create-2", 1000000);
        CPPUNIT_ASSERT_EQUAL(200, cluster.chat(owner, started, "turn", "hello").status);
        cluster.platformFaults(R"({"down":false})");
        auto drained = [&] {
            std::string leases = testing::httpRequest("GET", cluster.adminUrl(owner) + "/admin/leases").body;
            return leases.find("\"bridgedBytes\":0") != std::string::npos;
        };
        CPPUNIT_ASSERT(waitUntil(drained, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        std::size_t next = cluster.waitForOwner(program, takeoverBound, owner);
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        for (std::size_t i = 0; i < turns; ++i)
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(1), countOccurrences(history, "\"requestId\":\"turn-" + std::to_string(i) + "\""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(turns), cluster.toolRuns());
        CPPUNIT_ASSERT_EQUAL(200, cluster.get(next, "/v1/programs/" + started).status);
    }

    // The owner is killed during a platform outage. The standby can take over only when the platform is back, and must
    // then restore the records that it holds for the owner.
    void platformDownAndOwnerKilled()
    {
        Cluster cluster("platformDownAndOwnerKilled", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        cluster.platformFaults(R"({"down":true})");
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT_EQUAL(
                200, cluster.callTool((owner + 1) % 3, program, "turn-" + std::to_string(i), "{}", false).status);
        cluster.node(owner).kill();
        std::size_t entry = (owner + 1) % 3;
        HttpAnswer refused = cluster.callTool(entry, program, "refused", "{}", false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, 503, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), cluster.toolRuns());
        cluster.platformFaults(R"({"down":false})");
        std::size_t next = cluster.waitForOwner(program, takeoverBound, owner);
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                history, std::size_t(1), countOccurrences(history, "\"requestId\":\"turn-" + std::to_string(i) + "\""));
        CPPUNIT_ASSERT_EQUAL(200, cluster.callTool(entry, program, "after", "{}", false).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), cluster.toolRuns());
    }

    // The standby and then the owner are killed during one platform outage. In between, the owner must copy its batches
    // to a third node, where its restarted process must find them.
    void platformDownAndStandbyThenOwnerKilled()
    {
        Cluster cluster(
            "platformDownAndStandbyThenOwnerKilled", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::size_t standby = cluster.standbyOf(program).value();
        std::size_t third = 3 - owner - standby;
        cluster.platformFaults(R"({"down":true})");
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT_EQUAL(
                200, cluster.callTool(third, program, "turn-" + std::to_string(i), "{}", false).status);
        cluster.node(standby).kill();
        CPPUNIT_ASSERT(
            waitUntil([&] { return cluster.counter(owner, "bridge.extra_copies") > 0; }, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        cluster.platformFaults(R"({"down":false})");
        cluster.restartNode(owner);
        std::size_t next = cluster.waitForOwner(program, std::chrono::seconds(20));
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                history, std::size_t(1), countOccurrences(history, "\"requestId\":\"turn-" + std::to_string(i) + "\""));
    }

    // About every second write to the platform takes effect but its answer is lost: one for each call, and three during
    // the takeover. No call may be lost, recorded twice or run twice.
    void platformAnswersLost()
    {
        Cluster cluster("platformAnswersLost", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        for (int i = 0; i < 10; ++i) {
            cluster.platformFaults(R"({"loseAnswersAfterWrite":1})");
            CPPUNIT_ASSERT_EQUAL(
                200, cluster.callTool((owner + 1) % 3, program, "turn-" + std::to_string(i), "{}", false).status);
        }
        cluster.platformFaults(R"({"loseAnswersAfterWrite":3})");
        cluster.node(owner).kill();
        std::size_t next = cluster.waitForOwner(program, std::chrono::seconds(12), owner);
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(1), countOccurrences(history, "\"requestId\":\"turn-" + std::to_string(i) + "\""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), cluster.toolRuns());
    }

    // The platform accepts only two writes per second. Group commit must still record the calls of many programs.
    void platformRateLimited()
    {
        Cluster cluster("platformRateLimited",
            { .nodes = { "lodz1", "lodz1" }, .shards = 1, .extraSettings = "\"bridgeBytes\":0," });
        // With one write per record, a round of 30 calls would take 15 s, longer than a call waits for its record.
        std::vector<std::string> programs(30);
        for (std::size_t i = 0; i < programs.size(); ++i)
            programs[i] = cluster.createProgram(0, "create-" + std::to_string(i), 1000000);
        cluster.platformFaults(R"({"writesPerSecond":2})");
        std::atomic<int> answered { 0 };
        std::vector<std::thread> callers;
        callers.reserve(programs.size());
        for (const std::string& program : programs)
            callers.emplace_back([&, program] {
                for (int i = 0; i < 3; ++i) {
                    if (cluster.chat(1, program, "turn-" + std::to_string(i), "hello").status == 200)
                        ++answered;
                }
            });
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(90, answered.load());
    }

    // A request crashes every engine that runs it, and the caller repeats it. At most two engines may crash.
    void crashingRequest()
    {
        Cluster cluster("crashingRequest", { .engines = { "lodz1", "lodz1", "lodz1", "lodz1" } });
        for (std::size_t i = 0; i < 4; ++i)
            cluster.engineFaults(i, R"({"crashOnText":"poison"})");
        std::string program = cluster.createProgram(0, "create", 10000000);
        HttpAnswer answer;
        for (std::size_t i = 0; i < 6; ++i)
            answer = cluster.chat(i % 3, program, "bad-" + std::to_string(i), "poison");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("quarantined"), jsonString(answer.body, "code"));
        int crashed = 0;
        for (std::size_t i = 0; i < 4; ++i)
            crashed += cluster.engine(i).running() ? 0 : 1;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(crashed) + " engines crashed", crashed >= 1 && crashed <= 2);
        CPPUNIT_ASSERT_EQUAL(200, cluster.chat(1, program, "good", "harmless").status);
    }

    // Half of the engines are killed under load and restarted. No call may fail while the other engines can run it, and
    // the restarted engines must get calls again, so their circuit breakers must close.
    void engineLostAndBack()
    {
        Cluster cluster(
            "engineLostAndBack", { .nodes = { "lodz1", "lodz1" }, .engines = { "lodz1", "lodz1", "lodz1", "lodz1" } });
        constexpr std::size_t callerCount = 12;
        std::vector<std::string> programs(callerCount);
        for (std::size_t i = 0; i < callerCount; ++i)
            programs[i] = cluster.createProgram(i % 2, "create-" + std::to_string(i), 100000000);
        std::atomic<bool> stopping { false };
        std::atomic<int> answered { 0 };
        std::mutex failuresMutex;
        std::vector<std::string> failures;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < callerCount; ++i)
            callers.emplace_back([&, i] {
                for (int turn = 0; !stopping; ++turn) {
                    std::string text = "program " + std::to_string(i) + " turn " + std::to_string(turn);
                    HttpAnswer answer = cluster.chat(i % 2, programs[i], "turn-" + std::to_string(turn), text);
                    ++answered;
                    if (answer.status == 200)
                        continue;
                    std::lock_guard lock(failuresMutex);
                    failures.push_back(std::to_string(answer.status) + " " + answer.body + answer.error);
                }
            });
        auto accepted = [&](std::size_t engine) {
            return testing::jsonNumber(
                testing::httpRequest("GET", cluster.engineUrl(engine) + "/control/stats").body, "acceptedRequests");
        };
        bool allStarted
            = waitUntil([&] { return accepted(0) > 0 && accepted(1) > 0 && accepted(2) > 0 && accepted(3) > 0; },
                std::chrono::seconds(10));
        // The retry budget of a node is a tenth of its calls in the last 10 s, but at least 3. With too few calls
        // before the engines are killed, the budget does not cover the calls that ran on them, and some are answered
        // 503 with "run":"unknown".
        std::this_thread::sleep_for(std::chrono::seconds(4));
        // Kill both at the same moment: a call that is retried from the first on the second and fails there too would
        // be taken for a request that crashes engines, and quarantined.
        ::kill(cluster.engine(0).processId(), SIGKILL);
        ::kill(cluster.engine(1).processId(), SIGKILL);
        cluster.engine(0).kill();
        cluster.engine(1).kill();
        int atLoss = answered;
        // Longer than the initial open time of a circuit breaker, so that probes fail before the engines are restarted.
        std::this_thread::sleep_for(std::chrono::seconds(3));
        int whileLost = answered - atLoss;
        cluster.restartEngine(0);
        cluster.restartEngine(1);
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < 4; ++i)
            before.push_back(accepted(i));
        bool allBack = waitUntil(
            [&] {
                for (std::size_t i = 0; i < 4; ++i) {
                    if (accepted(i) <= before[i])
                        return false;
                }
                return true;
            },
            std::chrono::seconds(10));
        stopping = true;
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_MESSAGE("not all engines got requests before the failure", allStarted);
        CPPUNIT_ASSERT_MESSAGE(failures.empty() ? ""
                                                : std::to_string(failures.size()) + " of " + std::to_string(answered)
                    + " calls failed, such as: " + failures.front(),
            failures.empty());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(whileLost) + " calls answered with half of the engines", whileLost > 0);
        CPPUNIT_ASSERT_MESSAGE("an engine got no request within 10 s of its return", allBack);
        // Only the owner of the program's shard has the decision record of the call.
        std::string known;
        for (std::size_t i = 0; i < cluster.nodeCount(); ++i) {
            HttpAnswer decision = testing::httpRequest(
                "GET", cluster.adminUrl(i) + "/admin/decisions?call=" + programs[0] + "%3Aturn-0");
            known += decision.status == 200 ? decision.body : "";
            CPPUNIT_ASSERT_MESSAGE(decision.body, decision.status == 200 || decision.status == 404);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(known, programs[0] + ":turn-0", jsonString(known, "call"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(known, std::string("succeeded"), jsonString(known, "outcome"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(known, std::size_t(1), countOccurrences(known, "\"status\":\"ok\""));
        CPPUNIT_ASSERT_MESSAGE(known, countOccurrences(known, "\"millis\":") >= 1);
    }

    // A tool that never answers must not block its program indefinitely: the call times out.
    void hungTool()
    {
        Cluster cluster("hungTool",
            { .nodes = { "lodz1", "lodz1" },
                .shards = 1,
                .ranksJson = R"([{"name":"urgent","urgency":10,"callTimeoutMillis":1500}])" });
        std::string program = cluster.createProgram(0, "create", 1000000);
        cluster.toolFaults(R"({"hang":true})");
        HttpAnswer hung = cluster.callTool(0, program, "hung", "{}", false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(hung.body, std::string("outcome_unknown"), jsonString(hung.body, "code"));
        cluster.toolFaults(R"({"hang":false})");
        CPPUNIT_ASSERT_EQUAL(200, cluster.callTool(1, program, "next", "{}", false).status);
    }

    // A program that keeps calling in a loop must be stopped by its maxTurns limit.
    void loopingProgram()
    {
        Cluster cluster("loopingProgram", { .nodes = { "lodz1" }, .shards = 1 });
        HttpAnswer created = testing::httpRequest("POST", cluster.callerUrl(0) + "/v1/programs",
            R"({"rank":"urgent","budget":{"tokens":1000000},"maxTurns":3})",
            { { "X-Lovagecross-Request-Id", "create" } });
        std::string program = jsonString(created.body, "id");
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat(0, program, "turn-" + std::to_string(i), "again").status);
        HttpAnswer stopped = cluster.chat(0, program, "turn-3", "again");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(stopped.body, 403, stopped.status);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), jsonString(stopped.body, "run"));
    }

    // One data centre loses the platform in three ways (connections closed, answers lost, no traffic at all) while the
    // platform serves the other data centre. Both must continue their programs and start new ones, and after each
    // failure no call may be lost or duplicated.
    void dataCentreCut()
    {
        Cluster cluster("dataCentreCut",
            { .nodes = { "lodz1", "lodz1", "lodz1", "lodz2", "lodz2" }, .shards = 1, .forwardedDataCentre = "lodz1" });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string other = cluster.createProgram(3, "create-other", 1000000);
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        using testing::ForwarderState;
        std::vector<std::string> answered;
        std::vector<std::string> started;
        for (ForwarderState cut : { ForwarderState::Cut, ForwarderState::AnswersLost, ForwarderState::Silent }) {
            cluster.platformForwarder().set(cut);
            std::string requestPrefix = std::to_string(static_cast<int>(cut)) + "-";
            TimePoint end = SystemClock().now() + std::chrono::seconds(3); // twice the lease
            for (std::size_t turn = 0; SystemClock().now() < end; ++turn) {
                std::string id = requestPrefix + std::to_string(turn);
                HttpAnswer answer = cluster.callTool(turn % 3, program, id, "{}", false);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id + ": " + answer.body, 200, answer.status);
                answered.push_back(id);
            }
            started.push_back(cluster.createProgram(1, "create-" + requestPrefix, 1000000));
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat(2, started.back(), "turn", "hello").status);
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat(3, other, "turn-" + requestPrefix, "hello").status);
            cluster.platformForwarder().set(ForwarderState::Open);
            std::size_t owner = cluster.waitForOwner(program, takeoverBound);
            auto drained = [&] {
                std::string leases = testing::httpRequest("GET", cluster.adminUrl(owner) + "/admin/leases").body;
                return leases.find("\"bridgedBytes\":0") != std::string::npos;
            };
            CPPUNIT_ASSERT(waitUntil(drained, std::chrono::seconds(20)));
        }
        std::size_t owner = cluster.waitForOwner(program, takeoverBound);
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        std::size_t next = cluster.waitForOwner(program, takeoverBound, owner);
        std::string history = cluster.get(next, "/v1/programs/" + program + "/history").body;
        for (const std::string& id : answered)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::size_t(1), countOccurrences(history, "\"requestId\":\"" + id + "\""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(answered.size()), cluster.toolRuns());
        for (const std::string& id : started)
            CPPUNIT_ASSERT_EQUAL(200, cluster.get(next, "/v1/programs/" + id).status);
    }

    // A conversation that grows to 600 KB is sent in full with every turn, through alternating nodes and across a
    // takeover. The history must store it once, not once per turn, and the successor must continue it.
    void longConversation()
    {
        Cluster cluster("longConversation",
            { .nodes = { "lodz1", "lodz1", "lodz1" },
                .shards = 1,
                .engineArguments = { "--prefill-tps", "10000000" } });
        std::string program = cluster.createProgram(0, "create", 1000000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        constexpr int turns = 12;
        std::string messages;
        for (int turn = 0; turn < turns; ++turn) {
            if (turn == turns / 2)
                cluster.node(owner).kill();
            messages += (turn > 0 ? "," : "") + ("{\"role\":\"user\",\"content\":\"" + std::to_string(turn))
                + std::string(50 * 1024, 'x') + "\"}";
            HttpAnswer answer = testing::httpRequest("POST",
                cluster.callerUrl((owner + 1 + static_cast<std::size_t>(turn) % 2) % 3) + "/v1/chat/completions",
                "{\"model\":\"m1\",\"max_tokens\":4,\"messages\":[" + messages + "]}",
                { { "X-Lovagecross-Program", program },
                    { "X-Lovagecross-Request-Id", "turn-" + std::to_string(turn) } },
                std::chrono::seconds(40));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body.substr(0, 300) + answer.error, 200, answer.status);
        }
        std::string history = cluster.get((owner + 1) % 3, "/v1/programs/" + program + "/history").body;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(history.size()) + " bytes",
            history.size() > messages.size() && history.size() < messages.size() * 3 / 2);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), countOccurrences(history, "\"messagesBefore\":" + std::to_string(turns - 1)));
    }

    // Compacting the journal while calls run must not lose a call, also when a restarted process reads the journal
    // after a crash.
    void compaction()
    {
        Cluster cluster("compaction", { .nodes = { "lodz1" }, .shards = 1, .minCommitIntervalMillis = 1 });
        std::array<std::string, 4> programs;
        for (std::size_t i = 0; i < programs.size(); ++i)
            programs[i] = cluster.createProgram(0, "create-" + std::to_string(i), 1000000);
        constexpr int turns = 150;
        std::atomic<int> failed { 0 };
        std::vector<std::thread> callers;
        callers.reserve(programs.size());
        for (const std::string& program : programs)
            callers.emplace_back([&, program] {
                for (int turn = 0; turn < turns; ++turn)
                    failed += cluster.callTool(0, program, "turn-" + std::to_string(turn), "{}", false).status == 200
                        ? 0
                        : 1;
            });
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(0, failed.load());
        CPPUNIT_ASSERT(cluster.counter(0, "journal.compactions") >= 1);
        cluster.node(0).kill();
        cluster.restartNode(0);
        cluster.waitForOwner(programs[0], std::chrono::seconds(10));
        for (const std::string& program : programs) {
            std::string history = cluster.get(0, "/v1/programs/" + program + "/history").body;
            CPPUNIT_ASSERT_EQUAL(std::size_t(turns), countOccurrences(history, "\"requestId\":\"turn-"));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(turns * programs.size()), cluster.toolRuns());
    }

    // Malformed requests must be answered with the expected status and error code and must change nothing.
    void badInput()
    {
        Cluster cluster("badInput", { .nodes = { "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string before = cluster.get(0, "/v1/programs/" + program).body;
        struct Case {
            const char* what;
            std::string path;
            std::string body;
            std::string requestId;
            std::string program;
            int status;
            const char* code;
        };
        const std::string chat = "/v1/chat/completions";
        const std::string valid = R"({"model":"m1","messages":[{"role":"user","content":"hello"}],"max_tokens":4})";
        const std::vector<Case> cases {
            { "truncated JSON", chat, R"({"model":"m1","messages":[)", "r1", program, 400, "bad_request" },
            { "not an object", chat, "[]", "r2", program, 400, "bad_request" },
            { "no messages", chat, R"({"model":"m1"})", "r3", program, 400, "bad_request" },
            { "wrong type", chat, R"({"model":1,"messages":[{}]})", "r4", program, 400, "bad_request" },
            { "max_tokens out of range", chat, R"({"model":"m1","max_tokens":0,"messages":[{}]})", "r5", program, 400,
                "bad_request" },
            { "negative max_tokens", chat, R"({"model":"m1","max_tokens":-5,"messages":[{}]})", "r6", program, 400,
                "bad_request" },
            { "body above the limit", chat, "{\"model\":\"" + std::string(800 * 1024, 'x') + "\"}", "r7", program, 413,
                "too_large" },
            { "deep nesting", chat, std::string(5000, '['), "r8", program, 400, "bad_request" },
            { "no request id", chat, valid, "", program, 400, "bad_request" },
            { "request id with a space", chat, valid, "a b", program, 400, "bad_request" },
            { "over-long request id", chat, valid, std::string(129, 'r'), program, 400, "bad_request" },
            { "unknown program", chat, R"({"model":"m1","messages":[{}]})", "r9", "lodz1-00-0000000000000001", 404,
                "unknown_program" },
            { "malformed program", chat, R"({"model":"m1","messages":[{}]})", "r10", "../../etc", 404,
                "unknown_program" },
            { "unknown service", "/v1/calls", R"({"service":"nope","operation":"x"})", "r11", program, 400,
                "bad_request" },
            { "operation with a path", "/v1/calls", R"({"service":"tools","operation":"../control/reset"})", "r12",
                program, 400, "bad_request" },
            { "unknown member", "/v1/calls", R"({"service":"tools","operation":"x","idempotnet":true})", "r13", program,
                400, "bad_request" },
            { "unknown rank", "/v1/programs", R"({"rank":"nope","budget":{"tokens":5}})", "r14", "", 400,
                "bad_request" },
            { "no budget", "/v1/programs", R"({"rank":"urgent"})", "r15", "", 400, "bad_request" },
            { "unknown path", "/v1/nothing", "{}", "r16", program, 404, "not_found" },
        };
        for (const Case& item : cases) {
            HttpAnswer answer = testing::httpRequest("POST", cluster.callerUrl(0) + item.path, item.body,
                { { "X-Lovagecross-Request-Id", item.requestId }, { "X-Lovagecross-Program", item.program } });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                item.what + std::string(": ") + answer.body + answer.error, item.status, answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string(item.code), jsonString(answer.body, "code"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string("no"), jsonString(answer.body, "run"));
        }
        HttpAnswer longHeader = testing::httpRequest("POST", cluster.callerUrl(0) + chat, "{}",
            { { "X-Lovagecross-Request-Id", "r17" }, { "X-Lovagecross-Program", std::string(20000, 'p') } });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(longHeader.status), longHeader.status >= 400 && longHeader.status < 500);
        CPPUNIT_ASSERT_EQUAL(before, cluster.get(0, "/v1/programs/" + program).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.toolRuns());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

} // namespace lovagecross
