// Tests of the guarantees that must always hold, against real processes and under the failure that could break each of
// them. docs/guarantees.md lists the guarantee that each test checks.

#include "lovagecross/testing/Cluster.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

using testing::Cluster;
using testing::countOccurrences;
using testing::HttpAnswer;
using testing::jsonNumber;
using testing::jsonString;
using testing::waitUntil;

class GuaranteeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GuaranteeTest);
    CPPUNIT_TEST(callsInOrder);
    CPPUNIT_TEST(historyKept);
    CPPUNIT_TEST(budgetKept);
    CPPUNIT_TEST(engineMemoryReleased);
    CPPUNIT_TEST(wholeAnswer);
    CPPUNIT_TEST(notRunIsTrue);
    CPPUNIT_TEST(atMostOnce);
    CPPUNIT_TEST(leavingServer);
    CPPUNIT_TEST(gracefulShutdown);
    CPPUNIT_TEST(configurationInForce);
    CPPUNIT_TEST(tenantsApart);
    CPPUNIT_TEST_SUITE_END();

    static std::string text(std::size_t number) { return "text" + std::to_string(number); }

    // Calls of one program that arrive through three entry nodes must run one at a time, in order of arrival.
    void callsInOrder()
    {
        Cluster cluster("callsInOrder", {});
        std::string program = cluster.createProgram(0, "create", 1000000);
        for (std::size_t i = 0; i < 12; ++i)
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat(i % 3, program, "turn-" + std::to_string(i), text(i)).status);
        cluster.toolFaults(R"({"delayMs":600})");
        std::thread slow([&] { cluster.callTool(1, program, "slow", "{}", false); });
        CPPUNIT_ASSERT(waitUntil([&] { return cluster.toolRuns() == 1; }, std::chrono::seconds(10)));
        CPPUNIT_ASSERT_EQUAL(200, cluster.chat(2, program, "after", "after").status);
        slow.join();
        std::string history = cluster.get(1, "/v1/programs/" + program + "/history").body;
        std::size_t last = 0;
        for (std::size_t i = 0; i < 12; ++i) {
            std::size_t at = history.find("\"turn-" + std::to_string(i) + "\"");
            CPPUNIT_ASSERT_MESSAGE(history, at != std::string::npos && at >= last);
            last = at;
        }
        CPPUNIT_ASSERT(history.find("\"slow\"") > last);
        CPPUNIT_ASSERT(history.find("\"after\"") > history.find("\"slow\""));
    }

    // The owner is killed between turns, twice. Every answered turn must be in the history of its own program, exactly
    // once.
    void historyKept()
    {
        Cluster cluster("historyKept", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string first = cluster.createProgram(0, "create-a", 1000000);
        std::string second = cluster.createProgram(1, "create-b", 1000000);
        std::size_t turn = 0;
        for (int round = 0; round < 2; ++round) {
            std::size_t owner = cluster.waitForOwner(first, std::chrono::seconds(10));
            CPPUNIT_ASSERT(cluster.waitForStandby(first, std::chrono::seconds(10)));
            std::size_t entry = (owner + 1) % 3;
            // Each write takes longer than a call: a turn answered before its record was written would be lost.
            cluster.platformFaults(R"({"delayMs":200})");
            for (int i = 0; i < 5; ++i, ++turn) {
                CPPUNIT_ASSERT_EQUAL(
                    200, cluster.chat(entry, first, "a" + std::to_string(turn), "a" + text(turn)).status);
                CPPUNIT_ASSERT_EQUAL(
                    200, cluster.chat(entry, second, "b" + std::to_string(turn), "b" + text(turn)).status);
            }
            cluster.node(owner).kill();
            cluster.platformFaults(R"({"delayMs":0})");
            std::size_t next = cluster.waitForOwner(first, std::chrono::seconds(10), owner);
            std::string historyA = cluster.get(next, "/v1/programs/" + first + "/history").body;
            std::string historyB = cluster.get(next, "/v1/programs/" + second + "/history").body;
            for (std::size_t i = 0; i < turn; ++i) {
                CPPUNIT_ASSERT_EQUAL(
                    std::size_t(1), countOccurrences(historyA, "\"requestId\":\"a" + std::to_string(i) + "\""));
                CPPUNIT_ASSERT_EQUAL(
                    std::size_t(1), countOccurrences(historyB, "\"requestId\":\"b" + std::to_string(i) + "\""));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOccurrences(historyA, "\"b" + text(0)));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOccurrences(historyB, "\"a" + text(0)));
            cluster.restartNode(owner);
        }
    }

    // Concurrent calls through several nodes and a crash of the owner while they run must not use more tokens than the
    // budget, as counted by the engines.
    void budgetKept()
    {
        constexpr std::uint64_t budget = 3000;
        Cluster cluster("budgetKept",
            { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1, .engineArguments = { "--decode-tps", "1000" } });
        std::string program = cluster.createProgram(0, "create", budget);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        std::atomic<int> exceeded { 0 };
        auto spend = [&](std::size_t entry, const std::string& prefix) {
            for (int i = 0; i < 60 && exceeded == 0; ++i) {
                HttpAnswer answer
                    = cluster.chat(entry, program, prefix + std::to_string(i), "spend some of the budget", 20);
                if (answer.body.find("budget_exceeded") != std::string::npos)
                    ++exceeded;
            }
        };
        std::thread one([&] { spend((owner + 1) % 3, "x"); });
        std::thread two([&] { spend((owner + 2) % 3, "y"); });
        waitUntil([&] { return cluster.counter(owner, "calls.finished.succeeded") >= 5; }, std::chrono::seconds(10));
        cluster.node(owner).kill();
        one.join();
        two.join();
        std::string state = cluster.get((owner + 1) % 3, "/v1/programs/" + program + "/budget").body;
        CPPUNIT_ASSERT_MESSAGE(state, jsonNumber(state, "spent") <= budget);
        CPPUNIT_ASSERT_MESSAGE(state, jsonNumber(state, "ceiling") <= budget);
        auto engineTokens = [&] {
            std::uint64_t used = 0;
            for (std::size_t i = 0; i < 2; ++i) {
                std::string stats = testing::httpRequest("GET", cluster.engineUrl(i) + "/control/stats").body;
                used += jsonNumber(stats, "promptTokens") + jsonNumber(stats, "generatedTokens");
            }
            return used;
        };
        std::uint64_t used = engineTokens();
        CPPUNIT_ASSERT(used > 0);
        CPPUNIT_ASSERT_MESSAGE("engines used " + std::to_string(used), used <= budget);
        CPPUNIT_ASSERT(exceeded > 0);
        cluster.restartNode(owner);
        this->checkInterruptedCallIsCharged(cluster, budget, engineTokens);
    }

    // The tokens that a call had used when its owner was killed must count against the budget, although no node knows
    // how many they were.
    static void checkInterruptedCallIsCharged(
        Cluster& cluster, std::uint64_t budget, const std::function<std::uint64_t()>& engineTokens)
    {
        std::string program = cluster.createProgram(0, "create-long", budget);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::size_t entry = (owner + 1) % 3;
        std::uint64_t before = engineTokens();
        HttpAnswer answer;
        std::thread caller([&] { answer = cluster.chat(entry, program, "long", "answerTokens=1400", 1400); });
        bool running = waitUntil([&] { return engineTokens() - before >= 800; }, std::chrono::seconds(10));
        cluster.node(owner).kill();
        caller.join();
        CPPUNIT_ASSERT_MESSAGE(answer.body, running);
        for (int i = 0; i < 3; ++i)
            cluster.chat(entry, program, "again-" + std::to_string(i), "answerTokens=1400", 1400);
        std::uint64_t used = engineTokens() - before;
        CPPUNIT_ASSERT_MESSAGE("engines used " + std::to_string(used), used <= budget);
    }

    // An engine that refuses to release a session's memory at the end of a program must be asked again until it does.
    void engineMemoryReleased()
    {
        Cluster cluster("engineMemoryReleased", {});
        std::string program = cluster.createProgram(0, "create", 1000000);
        CPPUNIT_ASSERT_EQUAL(200, cluster.chat(1, program, "turn", "hello").status);
        auto sessions = [&] {
            return countOccurrences(testing::httpRequest("GET", cluster.engineUrl(0) + "/v1/sessions").body
                    + testing::httpRequest("GET", cluster.engineUrl(1) + "/v1/sessions").body,
                program);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sessions());
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        cluster.engineFaults(0, R"({"refuse":true})");
        cluster.engineFaults(1, R"({"refuse":true})");
        CPPUNIT_ASSERT_EQUAL(200, cluster.endProgram(owner == 0 ? 1 : 0, program).status);
        // The owner is killed after an engine refused the release and before any engine confirmed it, so its successor
        // must retry the release.
        CPPUNIT_ASSERT(
            waitUntil([&] { return cluster.counter(owner, "sessions.release_failed") > 0; }, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        cluster.engineFaults(0, R"({"refuse":false})");
        cluster.engineFaults(1, R"({"refuse":false})");
        CPPUNIT_ASSERT(waitUntil([&] { return sessions() == 0; }, std::chrono::seconds(20)));
    }

    // When the engine's stream stalls or is cut partway, the caller must still receive the complete answer. Concurrent
    // callers must each receive the answer to their own request.
    void wholeAnswer()
    {
        Cluster cluster("wholeAnswer", {});
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string undisturbed
            = jsonString(cluster.chat(0, program, "plain", "tell me everything", 12).body, "content");
        for (const char* fault : { R"({"silentAfterTokens":4})", R"({"dropAfterTokens":4})" }) {
            cluster.engineFaults(0, fault);
            cluster.engineFaults(1, fault);
            std::string events;
            HttpAnswer answer
                = cluster.chatStream(1, program, std::string("stream-") + (fault[2] == 's' ? "silent" : "drop"),
                    "tell me everything", 12, [&](std::string_view chunk) {
                        events += chunk;
                        return true;
                    });
            std::string whole;
            for (std::size_t at = events.find("\"content\":\""); at != std::string::npos;
                 at = events.find("\"content\":\"", at + 1))
                whole += jsonString(events.substr(at), "content");
            CPPUNIT_ASSERT_EQUAL(undisturbed, whole);
            CPPUNIT_ASSERT(events.find("[DONE]") != std::string::npos);
            cluster.engineFaults(0, R"({"silentAfterTokens":0,"dropAfterTokens":0})");
            cluster.engineFaults(1, R"({"silentAfterTokens":0,"dropAfterTokens":0})");
        }
        std::atomic<int> wrong { 0 };
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < 6; ++caller)
            callers.emplace_back([&, caller] {
                std::string own = cluster.createProgram(caller % 3, "own-" + std::to_string(caller), 100000);
                for (int i = 0; i < 5; ++i) {
                    std::string expected = "caller" + std::to_string(caller) + "turn" + std::to_string(i);
                    HttpAnswer first = cluster.chat((caller + 1) % 3, own, expected, expected, 10);
                    HttpAnswer again = cluster.chat((caller + 2) % 3, own, expected, expected, 10);
                    if (first.status != 200 || first.body != again.body
                        || first.body.find("\"id\":\"" + expected + "\"") == std::string::npos)
                        ++wrong;
                }
            });
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
    }

    // A call answered with "run":"no" must not have run: while the tool service refuses, when its request id was used
    // with another body, and after the end of the program. When the tool ran and its answer was lost, "run" must be
    // "unknown".
    void notRunIsTrue()
    {
        Cluster cluster("notRunIsTrue", { .nodes = { "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        cluster.toolFaults(R"({"failBefore":100})");
        HttpAnswer refused = cluster.callTool(0, program, "refused", "{}", false);
        CPPUNIT_ASSERT_MESSAGE(refused.body, refused.status == 503 && jsonString(refused.body, "run") == "no");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.toolRuns());
        cluster.toolFaults(R"({"failBefore":0})");
        // After "run":"no" the caller may send the same request again.
        CPPUNIT_ASSERT(waitUntil([&] { return cluster.callTool(0, program, "refused", "{}", false).status == 200; },
            std::chrono::seconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cluster.toolRuns());
        // The tool runs and its answer is lost, so "run":"no" would be false.
        cluster.toolFaults(R"({"dropAfterRun":1})");
        HttpAnswer lost = cluster.callTool(1, program, "lost", "{}", false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cluster.toolRuns());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.body, std::string("unknown"), jsonString(lost.body, "run"));
        HttpAnswer conflict = cluster.callTool(1, program, "refused", R"({"other":1})", false);
        CPPUNIT_ASSERT_EQUAL(409, conflict.status);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), jsonString(conflict.body, "run"));
        CPPUNIT_ASSERT_EQUAL(200, cluster.endProgram(1, program).status);
        HttpAnswer ended = cluster.callTool(0, program, "late", "{}", false);
        CPPUNIT_ASSERT_EQUAL(std::string("program_ended"), jsonString(ended.body, "code"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cluster.toolRuns());
    }

    // The owner is killed after a non-idempotent call has reached the tool and before the outcome is recorded. The
    // caller must be told that the outcome is unknown, and no node may send the call again.
    void atMostOnce()
    {
        Cluster cluster("atMostOnce", { .nodes = { "lodz1", "lodz1", "lodz1" }, .shards = 1 });
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::size_t owner = cluster.waitForOwner(program, std::chrono::seconds(10));
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::size_t entry = (owner + 1) % 3;
        cluster.toolFaults(R"({"delayMs":3000})");
        HttpAnswer answer;
        std::thread caller([&] { answer = cluster.callTool(entry, program, "order-1", "{}", false); });
        CPPUNIT_ASSERT(waitUntil([&] { return cluster.toolRuns() == 1; }, std::chrono::seconds(10)));
        cluster.node(owner).kill();
        caller.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("outcome_unknown"), jsonString(answer.body, "code"));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), jsonString(answer.body, "run"));
        cluster.toolFaults(R"({"delayMs":0})");
        CPPUNIT_ASSERT_EQUAL(answer.body, cluster.callTool((owner + 2) % 3, program, "order-1", "{}", false).body);
        CPPUNIT_ASSERT_EQUAL(answer.body, cluster.get(entry, "/v1/programs/" + program + "/calls/order-1").body);
        cluster.restartNode(owner);
        CPPUNIT_ASSERT_EQUAL(200, cluster.callTool(entry, program, "order-2", "{}", false).status);
        // The tool runs and its answer is lost.
        cluster.toolFaults(R"({"dropAfterRun":1})");
        HttpAnswer dropped = cluster.callTool(entry, program, "order-3", "{}", false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(dropped.body, std::string("outcome_unknown"), jsonString(dropped.body, "code"));
        CPPUNIT_ASSERT_EQUAL(dropped.body, cluster.callTool(entry, program, "order-3", "{}", false).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), cluster.toolRuns());
    }

    // A backend server marked as leaving must get no new work from 3 s later on, while the other one continues to
    // serve.
    void leavingServer()
    {
        Cluster cluster("leavingServer", {});
        auto requestsOf = [&](std::size_t engine) {
            return jsonNumber(
                testing::httpRequest("GET", cluster.engineUrl(engine) + "/control/stats").body, "completions");
        };
        // The engine that gets the calls of an idle system is the one to mark as leaving: the other might get no calls
        // anyway, so the test would not detect a fault.
        for (std::size_t i = 0; i < 6; ++i) {
            std::string program = cluster.createProgram(i % 3, "before-" + std::to_string(i), 100000);
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat((i + 1) % 3, program, "turn", text(i)).status);
        }
        std::size_t leaving = requestsOf(0) >= requestsOf(1) ? 0 : 1;
        CPPUNIT_ASSERT(requestsOf(leaving) > 0);
        std::uint64_t version = cluster.configurationVersion(0);
        std::string changed = cluster.configurationJson("engine" + std::to_string(leaving));
        CPPUNIT_ASSERT_EQUAL(200, cluster.applyConfiguration(1, version, changed).status);
        bool inForce = waitUntil(
            [&] {
                return cluster.configurationVersion(0) > version && cluster.configurationVersion(1) > version
                    && cluster.configurationVersion(2) > version;
            },
            std::chrono::seconds(3));
        CPPUNIT_ASSERT(inForce);
        std::uint64_t before = requestsOf(leaving);
        for (std::size_t i = 0; i < 12; ++i) {
            std::string other = cluster.createProgram(i % 3, "create-" + std::to_string(i), 100000);
            CPPUNIT_ASSERT_EQUAL(200, cluster.chat((i + 1) % 3, other, "turn", text(i)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, requestsOf(leaving));
    }

    // A node gets SIGTERM while it forwards calls and runs calls of its own shards. Every caller must get its answer.
    void gracefulShutdown()
    {
        Cluster cluster("gracefulShutdown",
            { .nodes = { "lodz1", "lodz1", "lodz1" },
                .leaseMillis = 5000, // without a handover, the successor waits this long
                .engineArguments = { "--decode-tps", "20" } });
        // Creates two programs with different owners, which exist once the shards are spread over the nodes.
        std::string program = cluster.createProgram(0, "create", 10000000);
        std::string far;
        std::size_t owner = 0;
        int created = 0;
        bool differentOwners = waitUntil(
            [&] {
                owner = cluster.waitForOwner(program, std::chrono::seconds(10));
                far = cluster.createProgram(owner, "far-" + std::to_string(++created), 1000000);
                std::optional<std::size_t> farOwner = cluster.ownerOf(far);
                return farOwner && *farOwner != owner;
            },
            std::chrono::seconds(20));
        CPPUNIT_ASSERT(differentOwners);
        CPPUNIT_ASSERT(cluster.waitForStandby(program, std::chrono::seconds(10)));
        std::atomic<int> failed { 0 };
        std::atomic<int> started { 0 };
        std::string firstFailure;
        std::mutex failureMutex;
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < 9; ++caller)
            callers.emplace_back([&, caller] {
                // A third of the callers send one call through the stopping node; the others send calls through other
                // nodes during and after the shutdown.
                std::size_t entry = caller % 3;
                std::string own = cluster.createProgram(entry, "own-" + std::to_string(caller), 1000000);
                int turns = entry == owner ? 1 : 4;
                for (int i = 0; i < turns; ++i) {
                    ++started;
                    HttpAnswer answer = cluster.chat(entry, own, "turn-" + std::to_string(i), text(caller), 30);
                    if (answer.status != 200) {
                        ++failed;
                        std::lock_guard lock(failureMutex);
                        firstFailure = "entry " + std::to_string(entry) + ": " + std::to_string(answer.status) + " "
                            + answer.body + answer.error;
                    }
                }
            });
        // A call through the stopping node to another owner. It takes longer than any call that the stopping node runs.
        HttpAnswer farAnswer;
        callers.emplace_back([&] {
            ++started;
            farAnswer = cluster.chat(owner, far, "turn", "answerTokens=100", 100);
        });
        waitUntil([&] { return started >= 10; }, std::chrono::seconds(20));
        std::this_thread::sleep_for(std::chrono::milliseconds(200)); // time for the last requests to be sent
        cluster.node(owner).terminate();
        auto end = cluster.node(owner).waitForExit(std::chrono::seconds(30));
        bool handedOver = waitUntil([&] { return cluster.ownerOf(program).has_value(); }, std::chrono::seconds(2));
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(firstFailure, 0, failed.load());
        CPPUNIT_ASSERT(handedOver);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(farAnswer.body + farAnswer.error, 200, farAnswer.status);
        CPPUNIT_ASSERT(end && end->exitCode == 0 && end->signal == 0);
    }

    // Two operators apply a change at the same time: one must win, and every node must have its configuration within
    // 3 s. A node that restarts during a platform outage must still get that configuration and keep it.
    void configurationInForce()
    {
        // With the production polling interval of 10 s, polling alone would miss the 3 s limit.
        Cluster cluster(
            "configurationInForce", { .nodes = { "lodz1", "lodz1", "lodz2", "lodz2" }, .configPollMillis = 10000 });
        std::uint64_t version = cluster.configurationVersion(0);
        HttpAnswer one;
        HttpAnswer two;
        std::thread first([&] { one = cluster.applyConfiguration(0, version, cluster.configurationJson("engine0")); });
        std::thread second([&] { two = cluster.applyConfiguration(2, version, cluster.configurationJson("engine1")); });
        first.join();
        second.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body + two.body, 200 + 409, one.status + two.status);
        const HttpAnswer& loser = one.status == 409 ? one : two;
        CPPUNIT_ASSERT_EQUAL(std::string("version_conflict"), jsonString(loser.body, "code"));
        CPPUNIT_ASSERT_EQUAL(version + 1, jsonNumber(loser.body, "currentVersion"));
        // A change based on an older version is refused also without concurrent changes.
        HttpAnswer stale = cluster.applyConfiguration(1, version, cluster.configurationJson());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(stale.body, 409, stale.status);
        bool inForce = waitUntil(
            [&] {
                for (std::size_t i = 0; i < 4; ++i) {
                    if (cluster.configurationVersion(i) != version + 1)
                        return false;
                }
                return true;
            },
            std::chrono::seconds(3));
        CPPUNIT_ASSERT(inForce);
        cluster.node(3).kill();
        cluster.platformFaults(R"({"down":true})");
        cluster.restartNode(3);
        CPPUNIT_ASSERT(
            waitUntil([&] { return cluster.configurationVersion(3) == version + 1; }, std::chrono::seconds(5)));
        HttpAnswer refused = cluster.applyConfiguration(3, version + 1, cluster.configurationJson());
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        HttpAnswer bad
            = cluster.applyConfiguration(3, version + 1, R"({"ranks":[{"name":"urgent","floorPercent":101}]})");
        CPPUNIT_ASSERT_EQUAL(400, bad.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ranks[0].floorPercent"), jsonString(bad.body, "field"));
        CPPUNIT_ASSERT_EQUAL(version + 1, cluster.configurationVersion(3));
    }

    // A tenant must not be able to read another tenant's program or run calls in it, and a request without a token must
    // be refused.
    void tenantsApart()
    {
        // SHA-256 of "alpha-token" and "beta-token".
        Cluster cluster("tenantsApart",
            { .nodes = { "lodz1", "lodz1" },
                .tenantsJson
                = R"([{"name":"alpha","tokenDigest":"a336d9b1d8b8647875238537ca5087b0ea335afd2032936aecdffc3e4b13f720"},{"name":"beta","tokenDigest":"863d63c0bd3a94bfca84ed2063a7355a226faff82ca50b90158bf183aa1a9e61"}])" });
        testing::HttpHeaders alpha { { "Authorization", "Bearer alpha-token" } };
        testing::HttpHeaders beta { { "Authorization", "Bearer beta-token" } };
        std::string program = cluster.createProgram(0, "create", 1000, "urgent", alpha);
        CPPUNIT_ASSERT_EQUAL(200, cluster.get(1, "/v1/programs/" + program + "/history", alpha).status);
        CPPUNIT_ASSERT_EQUAL(404, cluster.get(1, "/v1/programs/" + program + "/history", beta).status);
        CPPUNIT_ASSERT_EQUAL(404, cluster.callTool(1, program, "steal", "{}", false, beta).status);
        CPPUNIT_ASSERT_EQUAL(401, cluster.get(1, "/v1/programs/" + program).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.toolRuns());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteeTest);

} // namespace lovagecross
