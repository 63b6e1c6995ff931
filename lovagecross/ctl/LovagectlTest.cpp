#include "lovagecross/ctl/Lovagectl.h"

#include "lovagecross/config/Configuration.h"
#include "lovagecross/config/JsonText.h"

#include "platform/testdata/ConfigurationSamples.h"
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <Poco/ThreadPool.h>

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

using Poco::Net::HTTPResponse;

struct Reply {
    int status = 200;
    std::string body;
};

struct ReceivedRequest {
    std::string line; // method and path
    std::string authorization;
    std::string body;
};

// Fake admin listener of a node: answers each request line with its scripted replies in turn, then repeats the last
// one.
class FakeNode {
public:
    FakeNode()
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , server(new Factory(*this), this->threads, this->socket, new Poco::Net::HTTPServerParams)
    {
        this->server.start();
    }

    ~FakeNode() { this->server.stopAll(true); }

    std::string address() const { return this->socket.address().toString(); }

    void reply(const std::string& line, Reply reply)
    {
        std::lock_guard lock(this->mutex);
        this->replies[line].push_back(std::move(reply));
    }

    std::vector<ReceivedRequest> received()
    {
        std::lock_guard lock(this->mutex);
        return this->requests;
    }

private:
    class Handler final : public Poco::Net::HTTPRequestHandler {
    public:
        explicit Handler(FakeNode& owner)
            : node(owner)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            ReceivedRequest received { request.getMethod() + " " + request.getURI(), request.get("Authorization", ""),
                {} };
            Poco::StreamCopier::copyToString(request.stream(), received.body);
            Reply reply = this->node.next(received);
            response.setStatus(static_cast<HTTPResponse::HTTPStatus>(reply.status));
            response.setContentType("application/json");
            response.sendBuffer(reply.body.data(), reply.body.size());
        }

    private:
        FakeNode& node;
    };

    class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit Factory(FakeNode& owner)
            : node(owner)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new Handler(this->node);
        }

    private:
        FakeNode& node;
    };

    Reply next(const ReceivedRequest& received)
    {
        std::lock_guard lock(this->mutex);
        this->requests.push_back(received);
        std::deque<Reply>& queue = this->replies[received.line];
        if (queue.empty())
            return { 404, R"({"error":{"code":"not_found","message":"no such path","run":"no"}})" };
        Reply reply = queue.front();
        if (queue.size() > 1)
            queue.pop_front();
        return reply;
    }

    std::mutex mutex;
    std::map<std::string, std::deque<Reply>> replies;
    std::vector<ReceivedRequest> requests;
    Poco::Net::ServerSocket socket;
    // A separate pool for each fixture: the idle connections of all fixtures together used up the 16 threads of POCO's
    // default pool.
    Poco::ThreadPool threads;
    Poco::Net::HTTPServer server;
};

Configuration configurationWith(std::uint32_t floorPercent)
{
    Configuration configuration;
    configuration.ranks = { { "urgent", 10, floorPercent, 100, 1000 } };
    return configuration;
}

std::string inForce(std::uint64_t version, const Configuration& configuration)
{
    return R"({"version":)" + std::to_string(version) + R"(,"config":)" + printConfiguration(configuration) + "}";
}

std::string nodes(std::uint64_t firstVersion, std::uint64_t secondVersion, const std::string& secondState)
{
    return R"({"nodes":[{"node":"entry1","dataCentre":"lodz1","state":"alive","configVersion":)"
        + std::to_string(firstVersion) + R"(,"draining":false,"shards":[{"index":0,"epoch":3},{"index":2,"epoch":7}]},)"
        + R"({"node":"entry2","dataCentre":"lodz1","state":")" + secondState + R"(","configVersion":)"
        + std::to_string(secondVersion) + R"(,"draining":true,"shards":[]}]})";
}

} // namespace

namespace samples = platform::testing;

class LovagectlTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LovagectlTest);
    CPPUNIT_TEST(usageErrorsSendNothing);
    CPPUNIT_TEST(quarantinedCallsAreListedAndReleased);
    CPPUNIT_TEST(helpOfEachCommandNamesItsExitCodes);
    CPPUNIT_TEST(eachCommandIsDocumented);
    CPPUNIT_TEST(applySendsTheConfigurationOnTheVersionSeen);
    CPPUNIT_TEST(dryRunAndUnchangedFileSendNoChange);
    CPPUNIT_TEST(lostRaceShowsBothVersionsAndTheDiff);
    CPPUNIT_TEST(olderBaseVersionIsAConflict);
    CPPUNIT_TEST(badFileNamesFileAndField);
    CPPUNIT_TEST(refusalOfTheNodeIsShown);
    CPPUNIT_TEST(firstConfigurationIsComparedWithNone);
    CPPUNIT_TEST(checkFindsErrorsBeforeAConfigurationIsSent);
    CPPUNIT_TEST(checkComparesWithTheConfigurationInForce);
    CPPUNIT_TEST(shownConfigCanBeApplied);
    CPPUNIT_TEST(versionsTellWhetherAllAgree);
    CPPUNIT_TEST(versionsWaitUntilAllAgree);
    CPPUNIT_TEST(getPrintsTables);
    CPPUNIT_TEST(shardsArePrintedIndexFirst);
    CPPUNIT_TEST(explainAsksLiveNodesUntilOneKnows);
    CPPUNIT_TEST(explainTellsWhyNothingWasFound);
    CPPUNIT_TEST(describePrintsOneObject);
    CPPUNIT_TEST(drainAndReleasePost);
    CPPUNIT_TEST(countersAndStatusPrintMembers);
    CPPUNIT_TEST(tokenIsSentAndItsFileChecked);
    CPPUNIT_TEST(unreachableNodeHasItsOwnExitCode);
    CPPUNIT_TEST(malformedAnswersAreErrors);
    CPPUNIT_TEST_SUITE_END();

    FakeNode node;
    ManualClock clock;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    std::string environmentNode = this->node.address();

    int run(const std::vector<std::string>& arguments)
    {
        this->out.str("");
        this->err.str("");
        CtlEnvironment environment { this->in, this->out, this->err, this->clock,
            [this](Duration duration) { this->clock.advance(duration); } };
        return static_cast<int>(runLovagectl(arguments, this->environmentNode, environment));
    }

    std::string file(const std::string& text)
    {
        std::string path = Poco::TemporaryFile::tempName();
        Poco::TemporaryFile::registerForDeletion(path);
        std::ofstream(path) << text;
        return path;
    }

    void expectOutput(const std::string& part)
    {
        CPPUNIT_ASSERT_MESSAGE(part + " is not in:\n" + this->out.str() + this->err.str(),
            this->out.str().find(part) != std::string::npos);
    }

    void expectError(const std::string& part)
    {
        CPPUNIT_ASSERT_MESSAGE(
            part + " is not in:\n" + this->err.str(), this->err.str().find(part) != std::string::npos);
    }

    static std::string nodesWithAddresses(const std::vector<std::pair<std::string, std::string>>& addressesAndStates)
    {
        std::string list;
        for (const auto& [address, state] : addressesAndStates)
            list.append(list.empty() ? "" : ",")
                .append(R"({"node":"n","state":")")
                .append(state)
                .append(R"(","adminAddress":")")
                .append(address)
                .append(R"(","shards":[{"epoch":3,"index":0},{"epoch":7,"index":12}]})");
        return R"({"nodes":[)" + list + "]}";
    }

    // Guards against printing EPOCH:INDEX, which happened because the daemon sends members in alphabetical order.
    void shardsArePrintedIndexFirst()
    {
        this->node.reply("GET /admin/nodes", { 200, nodesWithAddresses({ { "127.0.0.1:1", "alive" } }) });
        for (const auto& arguments :
            std::vector<std::vector<std::string>> { { "get", "nodes" }, { "describe", "node", "n" } }) {
            CPPUNIT_ASSERT_EQUAL(0, run(arguments));
            expectOutput("0:3,12:7");
        }
    }

    // Only the node that owned the shard has the decision, and it is seldom the one named on the command line. A dead
    // node must not be asked, because that would mean waiting for a timeout.
    void explainAsksLiveNodesUntilOneKnows()
    {
        FakeNode owner;
        FakeNode dead;
        FakeNode later;
        this->node.reply("GET /admin/nodes",
            { 200,
                nodesWithAddresses({ { dead.address(), "dead" }, { this->node.address(), "alive" },
                    { owner.address(), "alive" }, { later.address(), "alive" } }) });
        owner.reply("GET /admin/decisions?call=lodz1-00-1%3Aa%26b",
            { 200,
                R"({"call":"lodz1-00-1:a&b","node":"entry2","rank":"urgent","tenant":"","target":"m1","queueMs":12,)"
                R"("admissionMs":345,"commitMs":6,"outcome":"succeeded","attempts":[{"backendServer":"engine1",)"
                R"("reason":"least_time","slotsScarce":true,"expectedCachedTokens":40,"status":"connection_lost",)"
                R"("durationMs":78,"alternatives":[{"cost":9,"millis":20.5,"name":"engine1"},)"
                R"({"cost":9,"millis":31,"name":"engine2"}]},{"backendServer":"engine2","reason":"only_candidate",)"
                R"("status":"ok","durationMs":90,"alternatives":[]}]})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "explain", "lodz1-00-1:a&b" }));
        expectOutput("program queue  12 ms");
        expectOutput("admission      345 ms");
        expectOutput("commits        6 ms");
        expectOutput("1        engine1  connection_lost  78  least_time      40      true    engine1:20.5,engine2:31");
        expectOutput("2        engine2  ok               90  only_candidate  -       -       -");
        CPPUNIT_ASSERT(dead.received().empty());
        CPPUNIT_ASSERT(later.received().empty());
        CPPUNIT_ASSERT_EQUAL(0, run({ "explain", "lodz1-00-1:a&b", "--output", "json" }));
        expectOutput(R"("admissionMs": 345)");
    }

    // "Not found" must not be reported while a live node that may have the decision is unreachable.
    void explainTellsWhyNothingWasFound()
    {
        this->node.reply("GET /admin/nodes", { 200, nodesWithAddresses({ { this->node.address(), "alive" } }) });
        CPPUNIT_ASSERT_EQUAL(3, run({ "explain", "lodz1-00-1:a" }));
        std::string gone = FakeNode().address();
        FakeNode second;
        this->environmentNode = second.address();
        second.reply(
            "GET /admin/nodes", { 200, nodesWithAddresses({ { gone, "alive" }, { second.address(), "alive" } }) });
        CPPUNIT_ASSERT_EQUAL(5, run({ "explain", "lodz1-00-1:a" }));
        expectError(gone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.received().size());
    }

    // A wrong command line must not send any request to a node.
    void usageErrorsSendNothing()
    {
        const std::vector<std::vector<std::string>> inputs { {}, { "aply", "f" }, { "apply" }, { "apply", "a", "b" },
            { "get", "cats" }, { "get" }, { "describe", "node" }, { "describe", "cat", "x" }, { "shard" },
            { "shard", "release", "2" }, { "shard", "release", "x", "--confirm-stopped" },
            { "shard", "release", "100", "--confirm-stopped" }, { "status", "--wait", "3" }, { "drain", "--dry-run" },
            { "status", "--node", "entry1:7401" }, { "status", "--output", "xml" }, { "status", "--timeout", "0" },
            { "status", "--timeout", "1s" }, { "versions", "--wait", "-1" }, { "versions", "--wait", "3601" },
            { "status", "--bogus" }, { "apply", "f", "--base-version", "1e3" }, { "explain" }, { "explain", "p" },
            { "explain", ":r" }, { "explain", "p:" }, { "quarantine" }, { "quarantine", "release" },
            { "quarantine", "release", "../config" } };
        for (const auto& input : inputs) {
            std::string joined;
            for (const std::string& word : input)
                joined += word + " ";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(joined, 2, run(input));
            CPPUNIT_ASSERT(!this->err.str().empty());
        }
        this->environmentNode.clear();
        CPPUNIT_ASSERT_EQUAL(2, run({ "status" }));
        expectError("LOVAGECTL_NODE");
        CPPUNIT_ASSERT(this->node.received().empty());
    }

    // Guards against an operator who can't see or end the refusal of a request.
    void quarantinedCallsAreListedAndReleased()
    {
        const std::string call = "a7c6a89476522f5cf88cb393ada8cbce";
        this->node.reply("GET /admin/quarantine",
            { 200,
                R"({"calls":[{"call":")" + call
                    + R"(","ends":3,"servers":["s1","s2"],"versions":["v1"],"ageMs":8}]})" });
        this->node.reply("POST /admin/quarantine/" + call + "/release", { 200, R"({"call":")" + call + R"("})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "quarantine", "list" }));
        expectOutput(call);
        expectOutput("s1,s2");
        CPPUNIT_ASSERT_EQUAL(0, run({ "quarantine", "release", call }));
        expectOutput("is released");
        CPPUNIT_ASSERT_EQUAL(3, run({ "quarantine", "release", "00000000000000000000000000000000" }));
    }

    void helpOfEachCommandNamesItsExitCodes()
    {
        this->environmentNode.clear();
        CPPUNIT_ASSERT_EQUAL(0, run({ "--help" }));
        for (const Command& command : allCommands())
            expectOutput(std::string(command.name));
        for (const Command& command : allCommands()) {
            std::istringstream words { std::string(command.name) };
            std::vector<std::string> arguments;
            for (std::string word; words >> word;)
                arguments.push_back(word);
            arguments.emplace_back("--help");
            CPPUNIT_ASSERT_EQUAL(0, run(arguments));
            expectOutput("lovagectl " + std::string(command.name));
            expectOutput("5  unreachable");
        }
    }

    void eachCommandIsDocumented()
    {
        std::ifstream file(LOVAGECROSS_SOURCE_DIR "/docs/OPERATIONS.md");
        std::ostringstream page;
        page << file.rdbuf();
        for (const Command& command : allCommands()) {
            std::string usage = "`lovagectl " + std::string(command.name);
            if (!command.operands.empty())
                usage.append(" ").append(command.operands);
            CPPUNIT_ASSERT_MESSAGE(usage, page.str().find(usage) != std::string::npos);
        }
    }

    void applySendsTheConfigurationOnTheVersionSeen()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        this->node.reply("PUT /admin/config", { 200, R"({"version":8})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "apply", file(printConfiguration(configurationWith(20))) }));
        expectOutput("~ ranks[urgent].floorPercent: 10 -> 20");
        expectOutput("accepted as version 8");
        JsonNode sent = handle(
            [&] { return parseJson(this->node.received().back().body); }, [](const Error&) { return JsonNode(); });
        CPPUNIT_ASSERT(*findMember(sent, "baseVersion") == JsonNode(std::int64_t { 7 }));
        Configuration config = handle([&] { return parseConfiguration(printJson(*findMember(sent, "config"))); },
            [](const Error&) { return Configuration(); });
        CPPUNIT_ASSERT(config == configurationWith(20));
    }

    void dryRunAndUnchangedFileSendNoChange()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        CPPUNIT_ASSERT_EQUAL(0, run({ "apply", "--dry-run", file(printConfiguration(configurationWith(20))) }));
        expectOutput("10 -> 20");
        expectOutput("dry run");
        CPPUNIT_ASSERT_EQUAL(0, run({ "apply", file(printConfiguration(configurationWith(10))) }));
        expectOutput("version 7 stays in force");
        for (const ReceivedRequest& request : this->node.received())
            CPPUNIT_ASSERT_EQUAL(std::string("GET /admin/config"), request.line);
    }

    // When two operators apply changes at the same time, the one that loses must see what it would have overwritten.
    void lostRaceShowsBothVersionsAndTheDiff()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        this->node.reply("PUT /admin/config",
            { 409,
                R"({"error":{"code":"version_conflict","message":"changed","run":"no"},"currentVersion":9,"current":)"
                    + printConfiguration(configurationWith(30)) + "}" });
        std::string wanted = file(printConfiguration(configurationWith(20)));
        CPPUNIT_ASSERT_EQUAL(4, run({ "apply", wanted }));
        expectOutput("based on version 7, version 9 is in force");
        expectOutput("~ ranks[urgent].floorPercent: 30 -> 20");
        CPPUNIT_ASSERT_EQUAL(4, run({ "apply", wanted, "--output", "json" }));
        expectOutput("\"currentVersion\": 9");
    }

    void olderBaseVersionIsAConflict()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        CPPUNIT_ASSERT_EQUAL(
            4, run({ "apply", file(printConfiguration(configurationWith(20))), "--base-version", "6" }));
        expectOutput("based on version 6, version 7 is in force");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->node.received().size());
    }

    void badFileNamesFileAndField()
    {
        std::string bad = file(R"({"ranks":[{"name":"a","floorPercent":101}]})");
        CPPUNIT_ASSERT_EQUAL(1, run({ "apply", bad }));
        expectError(bad + ": ranks[0].floorPercent: must be an integer from 0 to 100");
        CPPUNIT_ASSERT_EQUAL(1, run({ "diff", "/nonexistent" }));
        expectError("/nonexistent: cannot be opened");
        CPPUNIT_ASSERT_EQUAL(1, run({ "diff", "/" }));
        this->in.str("{");
        CPPUNIT_ASSERT_EQUAL(1, run({ "diff", "-" }));
        expectError("ends too early");
        CPPUNIT_ASSERT(this->node.received().empty());
    }

    void refusalOfTheNodeIsShown()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        this->node.reply("PUT /admin/config",
            { 503, R"({"error":{"code":"unavailable","message":"platform is down","run":"no","retryAfterMs":900}})" });
        CPPUNIT_ASSERT_EQUAL(1, run({ "apply", file(printConfiguration(configurationWith(20))) }));
        expectError("HTTP 503 unavailable: platform is down; try again in 900 ms");
    }

    void firstConfigurationIsComparedWithNone()
    {
        this->node.reply("GET /admin/config", { 200, R"({"version":0,"config":null})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "diff", file(printConfiguration(configurationWith(20))) }));
        expectOutput("+ ranks[urgent]");
    }

    // Guards against a configuration that operators send and nodes refuse or use otherwise than meant.
    void checkFindsErrorsBeforeAConfigurationIsSent()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({ "check", this->file(samples::configurationSample(3)) }));
        this->expectOutput("no findings");
        CPPUNIT_ASSERT_EQUAL(1, run({ "check", this->file(samples::invalidConfigurationSample(3)) }));
        this->expectOutput("error: routes[1]: ");
        this->expectOutput("error: routes[2].kind: ");
        this->expectOutput("error: " + std::string(samples::invalidKeyPath) + ": ");
        CPPUNIT_ASSERT_EQUAL(1, run({ "check", this->file(samples::uselessRouteSample(3)), "--output", "json" }));
        this->expectOutput(R"("kind": "never_matches")");
        this->expectOutput(R"("kind": "contradiction")");
        CPPUNIT_ASSERT_EQUAL(1, run({ "check", this->file("no JSON") }));
        CPPUNIT_ASSERT_EQUAL(1, run({ "check", "/nonexistent" }));
    }

    // Guards against differences that an operator does not see, and against a node that is asked for them.
    void checkComparesWithTheConfigurationInForce()
    {
        std::string inForce = this->file(samples::configurationSample(3));
        std::string next = this->file(samples::tenantSample(4, "secret"));
        this->environmentNode.clear();
        CPPUNIT_ASSERT_EQUAL(0, run({ "check", next, "--in-force", inForce }));
        this->expectOutput("difference: tenants[t]: added");
        CPPUNIT_ASSERT(this->out.str().find("secret") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, run({ "check", inForce, "--in-force", next }));
        this->expectOutput("error: version: 3 is not higher than 4");
        CPPUNIT_ASSERT_EQUAL(2, run({ "check", next, "--platform", "here" }));
        CPPUNIT_ASSERT_EQUAL(2, run({ "check", next, "--platform", "127.0.0.1:1", "--in-force", inForce }));
        CPPUNIT_ASSERT_EQUAL(5, run({ "check", next, "--platform", "127.0.0.1:1" }));
    }

    void shownConfigCanBeApplied()
    {
        this->node.reply("GET /admin/config", { 200, inForce(7, configurationWith(10)) });
        CPPUNIT_ASSERT_EQUAL(0, run({ "show", "config" }));
        expectError("version 7");
        CPPUNIT_ASSERT_EQUAL(0, run({ "diff", file(this->out.str()) }));
        expectOutput("no differences from version 7");
    }

    void versionsTellWhetherAllAgree()
    {
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 7, "suspect") });
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 7, "dead") });
        this->node.reply("GET /admin/nodes", { 200, R"({"nodes":[]})" });
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 8, "alive") });
        CPPUNIT_ASSERT_EQUAL(1, run({ "versions" }));
        expectOutput("entry2  lodz1        suspect  7");
        CPPUNIT_ASSERT_EQUAL(0, run({ "versions" }));
        CPPUNIT_ASSERT_EQUAL(1, run({ "versions" }));
        CPPUNIT_ASSERT_EQUAL(0, run({ "versions", "--at-least", "8", "--output", "json" }));
        expectOutput("\"agree\": true");
        CPPUNIT_ASSERT_EQUAL(1, run({ "versions", "--at-least", "9" }));
    }

    void versionsWaitUntilAllAgree()
    {
        for (int i = 0; i < 3; ++i)
            this->node.reply("GET /admin/nodes", { 200, nodes(8, 7, "alive") });
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 8, "alive") });
        CPPUNIT_ASSERT_EQUAL(0, run({ "versions", "--wait", "2" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, this->node.received().size());
        TimePoint start = this->clock.now();
        CPPUNIT_ASSERT_EQUAL(1, run({ "versions", "--wait", "2", "--at-least", "9" }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2000 }, toMillis(this->clock.now() - start));
    }

    void getPrintsTables()
    {
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 7, "alive") });
        CPPUNIT_ASSERT_EQUAL(0, run({ "get", "nodes" }));
        expectOutput("entry1  lodz1        alive  8        false     -              0:3,2:7");
        this->node.reply("GET /admin/budgets",
            { 200, R"({"budgets":[{"name":"year\u001b[2J","tokens":18446744073709551615,"slices":[]}]})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "get", "budgets" }));
        expectOutput("year?[2J  18446744073709551615  -");
        CPPUNIT_ASSERT_EQUAL(0, run({ "get", "budgets", "--output", "json" }));
        expectOutput("18446744073709551615");
        CPPUNIT_ASSERT_EQUAL(3, run({ "get", "leases" }));
    }

    void describePrintsOneObject()
    {
        this->node.reply("GET /admin/nodes", { 200, nodes(8, 7, "alive") });
        CPPUNIT_ASSERT_EQUAL(0, run({ "describe", "node", "entry2" }));
        expectOutput("configVersion  7");
        CPPUNIT_ASSERT_EQUAL(3, run({ "describe", "node", "entry9" }));
        expectError("no node \"entry9\"");
    }

    void drainAndReleasePost()
    {
        this->node.reply("POST /admin/drain", { 202, R"({"draining":true})" });
        this->node.reply("POST /admin/shards/2/release", { 200, "{}" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "drain" }));
        expectOutput("is draining");
        CPPUNIT_ASSERT_EQUAL(0, run({ "shard", "release", "2", "--confirm-stopped" }));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"confirmStopped":true})"), this->node.received().back().body);
    }

    void countersAndStatusPrintMembers()
    {
        this->node.reply("GET /admin/counters", { 200, R"({"counters":{"calls":12,"calls.refused":0}})" });
        this->node.reply("GET /admin/status", { 200, R"({"node":"entry1","shards":[0,2],"platform":"up"})" });
        CPPUNIT_ASSERT_EQUAL(0, run({ "counters" }));
        expectOutput("calls          12\ncalls.refused  0\n");
        CPPUNIT_ASSERT_EQUAL(0, run({ "status" }));
        expectOutput("shards    0,2\n");
        CPPUNIT_ASSERT_EQUAL(0, run({ "status", "--output", "json" }));
        expectOutput("\"platform\": \"up\"");
    }

    void tokenIsSentAndItsFileChecked()
    {
        this->node.reply("GET /admin/status", { 401, R"({"error":{"code":"unauthorized","message":"no token"}})" });
        CPPUNIT_ASSERT_EQUAL(1, run({ "status", "--token-file", file("secret-1\n") }));
        expectError("--token-file");
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret-1"), this->node.received().back().authorization);
        CPPUNIT_ASSERT_EQUAL(1, run({ "status", "--token-file", file("a\r\nX-Header: b") }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->node.received().size());
    }

    void unreachableNodeHasItsOwnExitCode()
    {
        Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0)); // accepts no connection
        std::string address = silent.address().toString();
        CPPUNIT_ASSERT_EQUAL(5, run({ "status", "--node", address, "--timeout", "1" }));
        CPPUNIT_ASSERT_EQUAL(5, run({ "drain", "--node", address, "--timeout", "1" }));
        expectError("may have taken effect");
        silent.close();
        CPPUNIT_ASSERT_EQUAL(5, run({ "status", "--node", address }));
        expectError("refused");
    }

    // Answers from a node of another version, or from a server that is not a node, must not make lovagectl crash or
    // succeed.
    void malformedAnswersAreErrors()
    {
        for (const char* body : { "", "<html>", "[", "{\"version\":-1}", "{\"version\":1}", "{\"nodes\":5}",
                 "{\"nodes\":[5]}", "{\"version\":1,\"config\":{\"ranks\":5}}" }) {
            FakeNode malformed;
            malformed.reply("GET /admin/config", { 200, body });
            malformed.reply("GET /admin/nodes", { 200, body });
            malformed.reply("GET /admin/counters", { 200, body });
            this->environmentNode = malformed.address();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 1, run({ "diff", file(printConfiguration(configurationWith(20))) }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 1, run({ "versions" }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 1, run({ "counters" }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LovagectlTest);

} // namespace lovagecross
