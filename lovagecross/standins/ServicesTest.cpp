// Tests of the stand-ins over HTTP, with the servers in this process on a free port.

#include "lovagecross/standins/EngineService.h"
#include "lovagecross/standins/HttpService.h"
#include "lovagecross/standins/OperationService.h"
#include "lovagecross/standins/PlatformService.h"
#include "lovagecross/testing/HttpClient.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace lovagecross::standins {

using namespace std::chrono_literals;
using testing::HttpAnswer;
using testing::HttpHeaders;
using testing::httpRequest;

namespace {

// Long enough for a loaded machine; tests that pass don't wait for it.
constexpr auto patience = 20s;
// For requests that are expected to get no answer.
constexpr auto shortTimeout = 300ms;

// One served stand-in with the requests that tests make.
class ServedStandin {
public:
    explicit ServedStandin(HttpService& service)
        : server(service, "127.0.0.1:0")
    {
    }

    std::string url(const std::string& path) const { return "http://" + this->server.address() + path; }

    HttpAnswer get(const std::string& path, Duration timeout = patience) const
    {
        return httpRequest("GET", this->url(path), {}, {}, timeout);
    }

    HttpAnswer post(const std::string& path, const std::string& body, const HttpHeaders& headers = {},
        Duration timeout = patience) const
    {
        return httpRequest("POST", this->url(path), body, headers, timeout);
    }

    HttpAnswer put(
        const std::string& path, const std::string& body, const HttpHeaders& headers, Duration timeout = patience) const
    {
        return httpRequest("PUT", this->url(path), body, headers, timeout);
    }

    HttpAnswer create(const std::string& key, const std::string& value, Duration timeout = patience) const
    {
        return this->put("/objects/" + key, value, { { "If-None-Match", "*" } }, timeout);
    }

    void setFaults(const std::string& json) const
    {
        CPPUNIT_ASSERT_EQUAL(200, this->post("/control/faults", json).status);
    }

    std::int64_t stat(const std::string& name) const { return number(this->get("/control/stats").body, name); }

    static std::int64_t number(const std::string& json, const std::string& name)
    {
        const auto object = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
        return object->optValue<std::int64_t>(name, 0);
    }

private:
    HttpServer server;
};

} // namespace

class PlatformServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformServiceTest);
    CPPUNIT_TEST(conditionsAreKept);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(lostAnswerIsWrittenAndEarlyFailureIsNot);
    CPPUNIT_TEST(outageEndsRequestsAndWatches);
    CPPUNIT_TEST(faultsKeepToTheirPrefix);
    CPPUNIT_TEST(limitsCountEachCall);
    CPPUNIT_TEST(unknownFaultChangesNothing);
    CPPUNIT_TEST(watchReturnsTheChange);
    CPPUNIT_TEST(manyWatchesLeaveRoomForRequests);
    CPPUNIT_TEST(vmListLags);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    std::unique_ptr<PlatformService> service;
    std::unique_ptr<ServedStandin> platform;

public:
    void setUp() override
    {
        this->service = std::make_unique<PlatformService>(this->clock, PlatformOptions {});
        this->platform = std::make_unique<ServedStandin>(*this->service);
        this->platform->setFaults(R"({"writesPerSecond":0,"readsPerSecond":0})");
    }

    void tearDown() override
    {
        this->platform.reset();
        this->service.reset();
    }

    void conditionsAreKept()
    {
        const HttpAnswer created = this->platform->create("config/current", "one");
        CPPUNIT_ASSERT_EQUAL(201, created.status);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), created.headers.at("X-Version"));
        CPPUNIT_ASSERT_EQUAL(412, this->platform->create("config/current", "two").status);
        const HttpAnswer updated = this->platform->put("/objects/config/current", "two", { { "If-Match", "1" } });
        CPPUNIT_ASSERT_EQUAL(200, updated.status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), updated.headers.at("X-Version"));
        const HttpAnswer late = this->platform->put("/objects/config/current", "three", { { "If-Match", "1" } });
        CPPUNIT_ASSERT_EQUAL(412, late.status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), late.headers.at("X-Version"));
        CPPUNIT_ASSERT_EQUAL(404, this->platform->put("/objects/none", "x", { { "If-Match", "1" } }).status);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->platform->get("/objects/config/current").body);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"objects":[{"key":"config/current","value":"dHdv","version":2}]})"),
            this->platform->get("/objects?prefix=config%2F&values=true").body);
        const std::string url = this->platform->url("/objects/config/current");
        CPPUNIT_ASSERT_EQUAL(412, httpRequest("DELETE", url, {}, { { "If-Match", "1" } }).status);
        CPPUNIT_ASSERT_EQUAL(204, httpRequest("DELETE", url).status);
        CPPUNIT_ASSERT_EQUAL(404, httpRequest("DELETE", url).status);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), this->platform->create("config/current", "x").headers.at("X-Version"));
    }

    void malformedRequestsAreRefused()
    {
        CPPUNIT_ASSERT_EQUAL(413, this->platform->create("big", std::string(maxObjectBytes + 1, 'x')).status);
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("big", std::string(maxObjectBytes, 'x')).status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->put("/objects/a", "x", {}).status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->put("/objects/a", "x", { { "If-Match", "1x" } }).status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->get("/watch/a?after=-1").status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->get("/objects/").status);
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/unknown").status);
    }

    void lostAnswerIsWrittenAndEarlyFailureIsNot()
    {
        this->platform->setFaults(R"({"loseAnswersAfterWrite":1})");
        CPPUNIT_ASSERT_EQUAL(0, this->platform->create("a", "x").status);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), this->platform->get("/objects/a").body);
        CPPUNIT_ASSERT_EQUAL(412, this->platform->create("a", "y").status);
        this->platform->setFaults(R"({"failBeforeWrite":1})");
        CPPUNIT_ASSERT_EQUAL(503, this->platform->create("b", "x").status);
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/objects/b").status);
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("b", "x").status);
    }

    void outageEndsRequestsAndWatches()
    {
        auto watch = std::async(std::launch::async, [&] { return this->platform->get("/watch/a?timeoutMs=60000"); });
        CPPUNIT_ASSERT(testing::waitUntil([&] { return this->platform->stat("waitingWatches") == 1; }, patience));
        this->platform->setFaults(R"({"down":true})");
        CPPUNIT_ASSERT_EQUAL(503, watch.get().status);
        CPPUNIT_ASSERT_EQUAL(503, this->platform->get("/objects/a").status);
        this->platform->setFaults(R"({"down":false,"blackhole":true})");
        CPPUNIT_ASSERT_EQUAL(0, this->platform->get("/objects/a", shortTimeout).status);
        CPPUNIT_ASSERT_EQUAL(0, this->platform->create("a", "x", shortTimeout).status);
        this->platform->setFaults(R"({"blackhole":false})");
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/objects/a").status);
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("a", "x").status);
        CPPUNIT_ASSERT_EQUAL(200, this->platform->post("/control/reset", "").status);
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/objects/a").status);
    }

    void faultsKeepToTheirPrefix()
    {
        this->platform->setFaults(R"({"down":true,"loseAnswersAfterWrite":1,"onlyPrefix":"journal/"})");
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("shards/a", "x").status);
        CPPUNIT_ASSERT_EQUAL(200, this->platform->get("/objects?prefix=shards/").status);
        CPPUNIT_ASSERT_EQUAL(200, this->platform->get("/vms").status);
        CPPUNIT_ASSERT_EQUAL(503, this->platform->create("journal/a", "x").status);
        CPPUNIT_ASSERT_EQUAL(503, this->platform->get("/objects?prefix=journal/x").status);
    }

    void limitsCountEachCall()
    {
        this->platform->setFaults(R"({"writesPerSecond":4,"readsPerSecond":8})");
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("a", "x").status);
        const HttpAnswer limited = this->platform->create("b", "x");
        CPPUNIT_ASSERT_EQUAL(429, limited.status);
        CPPUNIT_ASSERT_EQUAL(std::string("251"), limited.headers.at("Retry-After-Ms"));
        // A refused write must not have taken effect; a watch counts as a read, as do a list and a get.
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/objects/b").status);
        CPPUNIT_ASSERT_EQUAL(304, this->platform->get("/watch/b?timeoutMs=0").status);
        CPPUNIT_ASSERT_EQUAL(429, this->platform->get("/objects?prefix=").status);
        this->clock.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(201, this->platform->create("b", "x").status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), this->platform->stat("limitedWrites"));
    }

    void unknownFaultChangesNothing()
    {
        CPPUNIT_ASSERT_EQUAL(400, this->platform->post("/control/faults", R"({"down":true,"dwn":true})").status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->post("/control/faults", R"({"down":1})").status);
        CPPUNIT_ASSERT_EQUAL(400, this->platform->post("/control/faults", "[]").status);
        CPPUNIT_ASSERT_EQUAL(404, this->platform->get("/objects/a").status);
    }

    void watchReturnsTheChange()
    {
        CPPUNIT_ASSERT_EQUAL(304, this->platform->get("/watch/a?after=0&timeoutMs=10").status);
        auto watch = std::async(std::launch::async, [&] { return this->platform->get("/watch/a?after=1"); });
        this->platform->create("a", "one");
        this->platform->put("/objects/a", "two", { { "If-Match", "1" } });
        const HttpAnswer change = watch.get();
        CPPUNIT_ASSERT_EQUAL(200, change.status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), change.headers.at("X-Version"));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), change.body);
    }

    // Waiting watches that use up the server's threads would look like an outage of the platform.
    void manyWatchesLeaveRoomForRequests()
    {
        constexpr int watchCount = 200;
        std::vector<std::future<int>> watches;
        watches.reserve(watchCount);
        for (int i = 0; i < watchCount; ++i) {
            watches.push_back(std::async(std::launch::async, [this, i] {
                const std::string key = i % 2 == 0 ? "even" : "odd";
                return this->platform->get("/watch/" + key + "?timeoutMs=60000").status;
            }));
        }
        const bool allWait
            = testing::waitUntil([&] { return this->platform->stat("waitingWatches") == watchCount; }, patience);
        const int created = this->platform->create("even", "x").status;
        this->platform->create("odd", "x");
        int changed = 0;
        for (auto& watch : watches)
            changed += watch.get() == 200 ? 1 : 0;
        CPPUNIT_ASSERT(allWait);
        CPPUNIT_ASSERT_EQUAL(201, created);
        CPPUNIT_ASSERT_EQUAL(watchCount, changed);
    }

    void vmListLags()
    {
        const std::string list = R"({"vms":[{"name":"vm1","address":"127.0.0.1:1","state":"leaving"}]})";
        CPPUNIT_ASSERT_EQUAL(400, this->platform->post("/control/vms", "{}").status);
        CPPUNIT_ASSERT_EQUAL(200, this->platform->post("/control/vms", list).status);
        this->clock.advance(4999ms);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"vms":[]})"), this->platform->get("/vms").body);
        this->clock.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(list, this->platform->get("/vms").body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformServiceTest);

class EngineServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EngineServiceTest);
    CPPUNIT_TEST(streamSendsOneEventAToken);
    CPPUNIT_TEST(silentStreamIsResumedOnANewConnection);
    CPPUNIT_TEST(streamGoesOnWithoutItsConnection);
    CPPUNIT_TEST(dropAtTheLastTokenHidesTheEndMarker);
    CPPUNIT_TEST(cancelEndsTheStream);
    CPPUNIT_TEST(crashTextCrashes);
    CPPUNIT_TEST(refusalsNameTheirReason);
    CPPUNIT_TEST(cacheMovesBetweenEngines);
    CPPUNIT_TEST_SUITE_END();

    std::atomic<int> crashes { 0 };
    std::unique_ptr<EngineService> service;
    std::unique_ptr<ServedStandin> engine;

    static std::string body(const std::string& message, bool stream)
    {
        return R"({"model":"model","stream":)" + std::string(stream ? "true" : "false")
            + R"(,"messages":[{"role":"user","content":")" + message + R"("}]})";
    }

    HttpAnswer complete(
        const std::string& message, bool stream, const HttpHeaders& headers = {}, Duration timeout = patience) const
    {
        return this->engine->post("/v1/chat/completions", body(message, stream), headers, timeout);
    }

    static std::size_t countOf(const std::string& text, const std::string& part)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            ++count;
        return count;
    }

    static bool ended(const std::string& stream) { return stream.ends_with("data: [DONE]\n\n"); }

    std::unique_ptr<EngineService> makeService()
    {
        EngineServiceOptions options;
        options.engine.prefillTokensPerSecond = 100000;
        options.engine.decodeTokensPerSecond = 1000;
        options.engine.checkEpoch = true;
        options.faults.eventLagMs = 0;
        options.crash = [this] { ++this->crashes; };
        return std::make_unique<EngineService>(options);
    }

public:
    void setUp() override
    {
        this->service = this->makeService();
        this->engine = std::make_unique<ServedStandin>(*this->service);
    }

    void tearDown() override
    {
        this->engine.reset();
        this->service.reset();
    }

    void streamSendsOneEventAToken()
    {
        const HttpAnswer stream = this->complete("answerTokens=12", true, { { "X-Session", "p1" } });
        CPPUNIT_ASSERT_EQUAL(200, stream.status);
        CPPUNIT_ASSERT(ended(stream.body));
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), countOf(stream.body, "\"content\""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(stream.body, "\"finish_reason\":\"stop\""));
        CPPUNIT_ASSERT(stream.body.find(R"("usage":{"prompt_tokens":4,"completion_tokens":12,"cached_tokens":0})")
            != std::string::npos);
        const HttpAnswer whole = this->complete("answerTokens=12", false, { { "X-Session", "p1" } });
        CPPUNIT_ASSERT(whole.body.find(R"("cached_tokens":4)") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"sessions":[{"id":"p1","tokens":16}]})"), this->engine->get("/v1/sessions").body);
        const std::string events = this->engine->get("/v1/cache-events?after=1").body;
        CPPUNIT_ASSERT(events.starts_with(R"({"events":[{"prefixDigest":")"));
        CPPUNIT_ASSERT(events.ends_with(R"("sequence":2,"tokens":16,"type":"stored"}]})"));
    }

    void silentStreamIsResumedOnANewConnection()
    {
        this->engine->setFaults(R"({"silentAfterTokens":5})");
        // Closes the silent connection only when the engine has stopped sending.
        std::string received;
        const auto takeUntilSilent = [&](std::string_view chunk) {
            received += chunk;
            return countOf(received, "\"content\"") < 5
                || !testing::waitUntil([&] { return this->engine->stat("silenced") == 1; }, patience);
        };
        testing::httpStream("POST", this->engine->url("/v1/chat/completions"), body("answerTokens=12", true),
            { { "X-Stream-Id", "s1" } }, patience, takeUntilSilent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), countOf(received, "\"content\""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), this->engine->stat("silenced"));
        const HttpAnswer rest = this->engine->get("/v1/streams/s1?offset=5");
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), countOf(rest.body, "\"content\""));
        CPPUNIT_ASSERT(ended(rest.body));
        this->engine->setFaults(R"({"silentAfterTokens":0})");
        const HttpAnswer whole = this->complete("answerTokens=12", true);
        CPPUNIT_ASSERT(whole.body.starts_with(received));
        // A caller that has every token and missed only the end still gets the usage.
        const HttpAnswer end = this->engine->get("/v1/streams/s1?offset=12");
        CPPUNIT_ASSERT(end.body.find("\"completion_tokens\":12") != std::string::npos);
        CPPUNIT_ASSERT(ended(end.body));
    }

    void streamGoesOnWithoutItsConnection()
    {
        const auto closeAtOnce = [](std::string_view) { return false; };
        testing::httpStream("POST", this->engine->url("/v1/chat/completions"), body("answerTokens=40", true),
            { { "X-Stream-Id", "s1" } }, patience, closeAtOnce);
        CPPUNIT_ASSERT(testing::waitUntil([&] { return this->engine->stat("running") == 0; }, patience));
        const HttpAnswer stream = this->engine->get("/v1/streams/s1?offset=0");
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), countOf(stream.body, "\"content\""));
        CPPUNIT_ASSERT_EQUAL(404, this->engine->get("/v1/streams/unknown?offset=0").status);
    }

    // A reader that takes the usage, not the end marker, for the end of a stream would miss this fault.
    void dropAtTheLastTokenHidesTheEndMarker()
    {
        this->engine->setFaults(R"({"dropAfterTokens":12})");
        const HttpAnswer dropped = this->complete("answerTokens=12", true, { { "X-Stream-Id", "s1" } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), countOf(dropped.body, "\"content\""));
        CPPUNIT_ASSERT(!ended(dropped.body));
        CPPUNIT_ASSERT_EQUAL(0, this->complete("answerTokens=12", false).status);
        CPPUNIT_ASSERT(ended(this->engine->get("/v1/streams/s1?offset=0").body));
    }

    void cancelEndsTheStream()
    {
        auto stream = std::async(std::launch::async, [&] {
            return this->complete("answerTokens=1000", true, { { "X-Stream-Id", "s1" } });
        });
        CPPUNIT_ASSERT(testing::waitUntil([&] { return this->engine->stat("running") == 1; }, patience));
        const std::string url = this->engine->url("/v1/streams/s1");
        CPPUNIT_ASSERT_EQUAL(204, httpRequest("DELETE", url).status);
        CPPUNIT_ASSERT_EQUAL(204, httpRequest("DELETE", url).status);
        CPPUNIT_ASSERT(!ended(stream.get().body));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), this->engine->stat("running"));
        CPPUNIT_ASSERT_EQUAL(404, this->engine->get("/v1/streams/s1?offset=0").status);
    }

    void crashTextCrashes()
    {
        this->engine->setFaults(R"({"crashOnText":"poison"})");
        this->complete("harmless", false);
        CPPUNIT_ASSERT_EQUAL(0, this->crashes.load());
        this->complete("some poison here", false);
        CPPUNIT_ASSERT_EQUAL(1, this->crashes.load());
    }

    void refusalsNameTheirReason()
    {
        const auto code = [](const HttpAnswer& answer) {
            const auto body = Poco::JSON::Parser().parse(answer.body).extract<Poco::JSON::Object::Ptr>();
            return std::to_string(answer.status) + " " + body->getObject("error")->getValue<std::string>("code");
        };
        const std::string completions = "/v1/chat/completions";
        CPPUNIT_ASSERT_EQUAL(std::string("400 bad_request"), code(this->engine->post(completions, "{}")));
        CPPUNIT_ASSERT_EQUAL(std::string("400 bad_request"), code(this->complete("a", true, { { "X-Epoch", "x" } })));
        CPPUNIT_ASSERT_EQUAL(std::string("404 unknown_model"),
            code(this->engine->post(completions, R"({"model":"other","messages":[{"role":"user","content":"a"}]})")));
        this->complete("a", false, { { "X-Session", "p1" }, { "X-Epoch", "3" } });
        CPPUNIT_ASSERT_EQUAL(std::string("409 old_epoch"),
            code(this->complete("a", false, { { "X-Session", "p1" }, { "X-Epoch", "2" } })));
        const std::string session = this->engine->url("/v1/sessions/p1");
        CPPUNIT_ASSERT_EQUAL(
            std::string("409 old_epoch"), code(httpRequest("DELETE", session, {}, { { "X-Epoch", "2" } })));
        CPPUNIT_ASSERT_EQUAL(204, httpRequest("DELETE", session, {}, { { "X-Epoch", "3" } }).status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"sessions":[]})"), this->engine->get("/v1/sessions").body);
        const std::string load = R"({"kind":"load","model":"m2","epoch":)";
        CPPUNIT_ASSERT_EQUAL(200, this->engine->post("/v1/orders", load + "5}").status);
        CPPUNIT_ASSERT_EQUAL(std::string("409 old_epoch"), code(this->engine->post("/v1/orders", load + "4}")));
        this->engine->setFaults(R"({"refuse":true})");
        const HttpAnswer refused = this->complete("a", true);
        CPPUNIT_ASSERT_EQUAL(std::string("503 unavailable"), code(refused));
        CPPUNIT_ASSERT(refused.headers.contains("Retry-After-Ms"));
    }

    void cacheMovesBetweenEngines()
    {
        const auto otherService = this->makeService();
        const ServedStandin other(*otherService);
        this->complete("answerTokens=12", false, { { "X-Session", "p1" } });
        const HttpAnswer exported = this->engine->get("/v1/kv/p1");
        CPPUNIT_ASSERT_EQUAL(200, exported.status);
        CPPUNIT_ASSERT_EQUAL(404, other.get("/v1/kv/p1").status);
        CPPUNIT_ASSERT_EQUAL(204, other.put("/v1/kv/p1", exported.body, {}).status);
        CPPUNIT_ASSERT_EQUAL(this->engine->get("/v1/sessions").body, other.get("/v1/sessions").body);
        CPPUNIT_ASSERT_EQUAL(400, other.put("/v1/kv/p1", "{}", {}).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineServiceTest);

class OperationServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperationServiceTest);
    CPPUNIT_TEST(runsAreCounted);
    CPPUNIT_TEST(faultsAreCountedAsRunOrNotRun);
    CPPUNIT_TEST_SUITE_END();

    static std::int64_t total(const ServedStandin& tool)
    {
        return ServedStandin::number(tool.get("/control/runs").body, "total");
    }

public:
    // The counts are the evidence that a non-idempotent request ran at most once.
    void runsAreCounted()
    {
        OperationService service({ "tool", 0 });
        const ServedStandin tool(service);
        CPPUNIT_ASSERT_EQUAL(200, tool.post("/print", R"({"n":1})", { { "X-Call-Id", "c1" } }).status);
        CPPUNIT_ASSERT_EQUAL(200, tool.post("/print", R"({"n":1})", { { "X-Call-Id", "c2" } }).status);
        const HttpAnswer again = tool.post("/print", R"({"n":1})", { { "X-Call-Id", "c1" } });
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"input":{"n":1},"operation":"print","run":2,"service":"tool"})"), again.body);
        const std::string runs = tool.get("/control/runs").body;
        CPPUNIT_ASSERT(runs.find(R"({"callId":"c1","count":2,"operation":"print"})") != std::string::npos);
        CPPUNIT_ASSERT(runs.find(R"({"body":"{\"n\":1}","count":3,"operation":"print"})") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(400, tool.post("/print", "{").status);
        CPPUNIT_ASSERT_EQUAL(400, tool.post("/a/b", "{}").status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), total(tool));
        tool.post("/control/reset", "");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), total(tool));
    }

    void faultsAreCountedAsRunOrNotRun()
    {
        OperationService service({ "app", 0 });
        const ServedStandin app(service);
        app.setFaults(R"({"failBefore":1})");
        CPPUNIT_ASSERT_EQUAL(503, app.post("/plan", "{}").status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), total(app));
        app.setFaults(R"({"dropAfterRun":1})");
        CPPUNIT_ASSERT_EQUAL(0, app.post("/plan", "{}").status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), total(app));
        app.setFaults(R"({"error":true})");
        CPPUNIT_ASSERT_EQUAL(500, app.post("/plan", "{}").status);
        app.setFaults(R"({"error":false,"hang":true})");
        CPPUNIT_ASSERT_EQUAL(0, app.post("/plan", "{}", {}, shortTimeout).status);
        CPPUNIT_ASSERT(testing::waitUntil([&] { return app.stat("hung") == 1; }, patience));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), total(app));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperationServiceTest);

} // namespace lovagecross::standins
