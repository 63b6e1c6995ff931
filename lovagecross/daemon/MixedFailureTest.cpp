// Injects random failures into five daemons under load, then checks all answers that callers received against the
// recorded histories. Environment variables: LOVAGECROSS_SEED (default 1), LOVAGECROSS_MIXED_SECONDS, the duration
// (default 20), and LOVAGECROSS_MIXED_CALLERS (default 12). A seed always gives the same sequence of failures; their
// timing relative to the calls differs from run to run.

#include "lovagecross/testing/Cluster.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
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

namespace {

std::uint64_t environmentNumber(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// The last answer that a caller received for one request.
struct FinalAnswer {
    std::string requestId;
    bool tool = false;
    bool succeeded = false;
    bool unknown = false;
    std::string body;
};

struct ProgramLog {
    std::string id;
    std::vector<FinalAnswer> answers; // in the order of the calls
};

// Runs one program: makes its calls one after another and repeats each with the same request id until its outcome is
// known.
class CallerThread {
public:
    CallerThread(Cluster& cluster, std::size_t number, std::uint64_t seed, std::atomic<bool>& stop)
        : cluster(cluster)
        , number(number)
        , random(seed * 1000 + number)
        , stop(stop)
    {
    }

    void run()
    {
        std::string name = "caller" + std::to_string(this->number);
        while (this->log.id.empty() && !this->stop) {
            try {
                this->log.id = this->cluster.createProgram(this->anyNode(), name, budgetTokens);
            } catch (const std::runtime_error&) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
        for (std::size_t turn = 0; !this->stop && !this->log.id.empty(); ++turn)
            this->call(name + "-" + std::to_string(turn), turn % 3 == 2);
    }

    static constexpr std::uint64_t budgetTokens = 10'000'000;
    ProgramLog log;
    std::size_t attempts = 0;

private:
    std::size_t anyNode() { return this->random() % this->cluster.nodeCount(); }

    void call(const std::string& requestId, bool tool)
    {
        FinalAnswer answer { requestId, tool, false, false, {} };
        for (int attempt = 0; attempt < 400; ++attempt) {
            ++this->attempts;
            HttpAnswer reply = tool ? this->cluster.callTool(this->anyNode(), this->log.id, requestId, "{}", false)
                                    : this->cluster.chat(this->anyNode(), this->log.id, requestId, requestId, 4);
            answer.succeeded = reply.status == 200;
            answer.unknown = jsonString(reply.body, "code") == "outcome_unknown";
            if (answer.succeeded || answer.unknown) {
                answer.body = reply.body;
                this->log.answers.push_back(answer);
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        // Still undecided after the last attempt: the call may or may not be in the history.
        this->log.answers.push_back(answer);
    }

    Cluster& cluster;
    std::size_t number;
    std::mt19937_64 random;
    std::atomic<bool>& stop;
};

// Injects one random failure per `step`, which returns after the fault is removed and the bridges are drained.
class FailureDriver {
public:
    FailureDriver(Cluster& cluster, std::uint64_t seed)
        : cluster(cluster)
        , random(seed)
    {
    }

    void step()
    {
        std::size_t node = this->random() % this->cluster.nodeCount();
        std::size_t engine = this->random() % 2;
        std::uint64_t kind = this->random() % 10;
        std::chrono::milliseconds length(200 + this->random() % 3000);
        std::string what;
        switch (kind) {
        case 0:
        case 1:
            what = "kill node" + std::to_string(node);
            this->cluster.node(node).kill();
            std::this_thread::sleep_for(length);
            this->cluster.restartNode(node);
            break;
        case 2:
            what = "pause node" + std::to_string(node);
            this->cluster.node(node).pause();
            std::this_thread::sleep_for(length);
            this->cluster.node(node).resume();
            break;
        case 3:
            what = "platform down";
            this->cluster.platformFaults(R"({"down":true})");
            std::this_thread::sleep_for(length);
            this->cluster.platformFaults(R"({"down":false})");
            break;
        case 4:
            what = "platform down, node" + std::to_string(node) + " killed";
            this->cluster.platformFaults(R"({"down":true})");
            std::this_thread::sleep_for(length / 2);
            this->cluster.node(node).kill();
            std::this_thread::sleep_for(length / 2);
            this->cluster.platformFaults(R"({"down":false})");
            this->cluster.restartNode(node);
            break;
        case 5:
            what = "platform loses answers";
            this->cluster.platformFaults(R"({"loseAnswersAfterWrite":5})");
            std::this_thread::sleep_for(length / 4);
            break;
        case 6:
            what = "platform slow";
            this->cluster.platformFaults(R"({"delayMs":300})");
            std::this_thread::sleep_for(length);
            this->cluster.platformFaults(R"({"delayMs":0})");
            break;
        case 7:
            what = "tool drops answers";
            this->cluster.toolFaults(R"({"dropAfterRun":3})");
            std::this_thread::sleep_for(length / 4);
            break;
        case 8:
            what = "engine" + std::to_string(engine) + " cuts streams";
            this->cluster.engineFaults(engine, R"({"dropAfterTokens":2})");
            std::this_thread::sleep_for(length / 2);
            this->cluster.engineFaults(engine, R"({"dropAfterTokens":0})");
            break;
        default:
            what = "terminate node" + std::to_string(node);
            this->cluster.node(node).terminate();
            if (!this->cluster.node(node).waitForExit(std::chrono::seconds(40)))
                throw std::runtime_error("a node did not stop on SIGTERM within 40 s");
            this->cluster.restartNode(node);
            break;
        }
        this->steps.push_back(what);
        this->waitForDrainedBridges();
    }

    std::vector<std::string> steps;

private:
    // Waits until no node holds bridged records. Losing the owner and the standby within one outage loses the bridged
    // records (docs/design.md, section 4.2), which the guarantees do not cover. Without this wait, seed 16 killed the
    // standby during an outage and the owner 0.1 s after it.
    void waitForDrainedBridges()
    {
        auto drained = [&] {
            for (std::size_t i = 0; i < this->cluster.nodeCount(); ++i) {
                std::string leases = testing::httpRequest("GET", this->cluster.adminUrl(i) + "/admin/leases").body;
                if (countOccurrences(leases, "\"bridgedBytes\":") != countOccurrences(leases, "\"bridgedBytes\":0"))
                    return false;
            }
            return true;
        };
        waitUntil(drained, std::chrono::seconds(10));
    }

    Cluster& cluster;
    std::mt19937_64 random;
};

} // namespace

class MixedFailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MixedFailureTest);
    CPPUNIT_TEST(mixedFailures);
    CPPUNIT_TEST_SUITE_END();

    static std::string historyOf(Cluster& cluster, const std::string& program)
    {
        std::string history;
        waitUntil(
            [&] {
                HttpAnswer answer = cluster.get(0, "/v1/programs/" + program + "/history");
                history = answer.body;
                return answer.status == 200;
            },
            std::chrono::seconds(30));
        return history;
    }

    static void checkProgram(Cluster& cluster, const ProgramLog& log, const std::string& runs)
    {
        std::string history = historyOf(cluster, log.id);
        std::size_t last = 0;
        for (const FinalAnswer& answer : log.answers) {
            std::string entry = "\"requestId\":\"" + answer.requestId + "\"";
            std::size_t occurrences = countOccurrences(history, entry);
            CPPUNIT_ASSERT_MESSAGE("doubled " + answer.requestId, occurrences <= 1);
            if (answer.succeeded || answer.unknown) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE("lost " + answer.requestId + " of " + log.id, std::size_t(1), occurrences);
                std::size_t at = history.find(entry);
                CPPUNIT_ASSERT_MESSAGE("out of order: " + answer.requestId, at > last);
                last = at;
            }
            if (answer.succeeded)
                CPPUNIT_ASSERT_MESSAGE("another answer than the caller got: " + answer.requestId,
                    history.find(answer.body) != std::string::npos);
            if (!answer.tool)
                continue;
            std::string callId = "\"callId\":\"" + log.id + ":" + answer.requestId + "\"";
            std::size_t ran = countOccurrences(runs, callId);
            if (answer.succeeded)
                CPPUNIT_ASSERT_EQUAL_MESSAGE("succeeded without a run: " + answer.requestId, std::size_t(1), ran);
            std::size_t begin = ran == 0 ? 0 : runs.find(callId);
            if (ran > 0)
                CPPUNIT_ASSERT_EQUAL_MESSAGE("ran more than once: " + answer.requestId, std::uint64_t(1),
                    jsonNumber(runs.substr(begin, 400), "count"));
        }
        std::size_t turns = countOccurrences(history, "\"requestId\":");
        CPPUNIT_ASSERT_MESSAGE("foreign turns in " + log.id, turns <= log.answers.size());
        std::string budget = cluster.get(0, "/v1/programs/" + log.id + "/budget").body;
        CPPUNIT_ASSERT_MESSAGE(budget, jsonNumber(budget, "spent") <= CallerThread::budgetTokens);
    }

    // No failure or combination of failures may lose, duplicate, reorder or mix up calls, or run a non-idempotent call
    // twice.
    void mixedFailures()
    {
        std::uint64_t seed = environmentNumber("LOVAGECROSS_SEED", 1);
        std::uint64_t seconds = environmentNumber("LOVAGECROSS_MIXED_SECONDS", 20);
        std::size_t callers = environmentNumber("LOVAGECROSS_MIXED_CALLERS", 12);
        std::cerr << "\nseed " << seed << ", " << seconds << " s" << std::endl;
        Cluster cluster("mixed",
            { .nodes = { "lodz1", "lodz1", "lodz1", "lodz2", "lodz2" }, .engineArguments = { "--decode-tps", "500" } });
        std::atomic<bool> stop { false };
        std::vector<std::unique_ptr<CallerThread>> programs;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < callers; ++i) {
            programs.push_back(std::make_unique<CallerThread>(cluster, i, seed, stop));
            threads.emplace_back([program = programs.back().get()] { program->run(); });
        }
        FailureDriver driver(cluster, seed);
        std::string driverError;
        TimePoint end = SystemClock().now() + std::chrono::seconds(seconds);
        try {
            while (SystemClock().now() < end)
                driver.step();
        } catch (const std::runtime_error& error) {
            driverError = error.what();
        }
        cluster.toolFaults(R"({"dropAfterRun":0})");
        stop = true;
        for (std::thread& thread : threads)
            thread.join();
        for (const std::string& step : driver.steps)
            std::cerr << "  " << step << '\n';
        CPPUNIT_ASSERT_EQUAL(std::string(), driverError);
        std::string runs = testing::httpRequest("GET", cluster.toolUrl() + "/control/runs").body;
        std::size_t calls = 0;
        std::size_t unknown = 0;
        std::size_t undecided = 0;
        std::size_t attempts = 0;
        for (const auto& program : programs) {
            if (!program->log.id.empty())
                checkProgram(cluster, program->log, runs);
            attempts += program->attempts;
            for (const FinalAnswer& answer : program->log.answers) {
                ++calls;
                unknown += answer.unknown ? 1 : 0;
                undecided += answer.succeeded || answer.unknown ? 0 : 1;
            }
        }
        std::cerr << "calls " << calls << ", attempts " << attempts << ", unknown " << unknown << ", undecided "
                  << undecided << ", failures " << driver.steps.size() << ", lost 0, doubled 0" << std::endl;
        CPPUNIT_ASSERT(calls > 0);
        for (const auto& program : programs) {
            if (!program->log.id.empty())
                CPPUNIT_ASSERT(waitUntil(
                    [&] { return cluster.endProgram(0, program->log.id).status == 200; }, std::chrono::seconds(20)));
        }
        auto released = [&] {
            std::string sessions = testing::httpRequest("GET", cluster.engineUrl(0) + "/v1/sessions").body
                + testing::httpRequest("GET", cluster.engineUrl(1) + "/v1/sessions").body;
            return countOccurrences(sessions, "\"id\"") == 0;
        };
        CPPUNIT_ASSERT(waitUntil(released, std::chrono::seconds(20)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MixedFailureTest);

} // namespace lovagecross
