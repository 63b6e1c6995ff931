#include "lovagecross/standins/EngineModel.h"
#include "lovagecross/standins/EngineReports.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace lovagecross::standins {

using namespace std::chrono_literals;

class EngineModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EngineModelTest);
    CPPUNIT_TEST(tokensFollowTheCostModel);
    CPPUNIT_TEST(streamsShareSteps);
    CPPUNIT_TEST(higherPriorityStartsFirst);
    CPPUNIT_TEST(nextTurnFindsItsPrefixCached);
    CPPUNIT_TEST(memoryNeverExceedsTheLimit);
    CPPUNIT_TEST(releaseFreesOnlyTheSession);
    CPPUNIT_TEST(releaseCancelsRunningStreams);
    CPPUNIT_TEST(cancelFreesTheSlot);
    CPPUNIT_TEST(endedStreamIsKeptForAMinute);
    CPPUNIT_TEST(oldEpochIsRefusedOnlyWhenChecked);
    CPPUNIT_TEST(refusalsDoNothing);
    CPPUNIT_TEST(ordersChangeTheModels);
    CPPUNIT_TEST(importedCacheServesTheSession);
    CPPUNIT_TEST(answerDependsOnTheLastMessageOnly);
    CPPUNIT_TEST(reportsAreLateAndEventsHaveGaps);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;

    static EngineOptions options()
    {
        EngineOptions options;
        options.slots = 2;
        options.kvTokens = 10000;
        options.prefillTokensPerSecond = 1000; // 1 ms a token
        options.decodeTokensPerSecond = 100; // 10 ms a token
        return options;
    }

    // A request of one user message with `promptTokens` tokens and an answer of `answerTokens`.
    static EngineRequest request(const std::string& id, std::uint32_t promptTokens, std::uint32_t answerTokens)
    {
        EngineRequest request;
        request.streamId = id;
        request.session = "session-" + id;
        request.model = "model";
        std::string text = "answerTokens=" + std::to_string(answerTokens) + " " + id;
        text.resize(std::size_t(promptTokens) * 4, '.');
        request.messages = { { "user", text } };
        request.maxTokens = 1000;
        return request;
    }

    std::uint32_t ready(const EngineModel& engine, const std::string& id) const
    {
        return engine.progress(id)->readyTokens;
    }

    void runFor(EngineModel& engine, Duration duration)
    {
        this->clock.advance(duration);
        engine.advance(this->clock.now());
    }

    void assertAccepted(EngineModel& engine, const EngineRequest& request)
    {
        CPPUNIT_ASSERT(engine.submit(request, this->clock.now()) == SubmitStatus::Accepted);
    }

    // Runs one request to its end.
    void complete(EngineModel& engine, const EngineRequest& request)
    {
        this->assertAccepted(engine, request);
        this->runFor(engine, 20s);
        CPPUNIT_ASSERT(engine.progress(request.streamId)->finished);
    }

    static std::uint32_t sessionTokens(const EngineModel& engine, const std::string& session)
    {
        for (const SessionTokens& entry : engine.sessions()) {
            if (entry.session == session)
                return entry.tokens;
        }
        return 0;
    }

public:
    void tokensFollowTheCostModel()
    {
        EngineModel engine(options(), this->clock.now());
        this->assertAccepted(engine, request("a", 300, 5));
        this->runFor(engine, 299ms);
        CPPUNIT_ASSERT_EQUAL(0U, this->ready(engine, "a"));
        this->runFor(engine, 1ms);
        CPPUNIT_ASSERT_EQUAL(1U, this->ready(engine, "a"));
        this->runFor(engine, 29ms);
        CPPUNIT_ASSERT_EQUAL(3U, this->ready(engine, "a"));
        CPPUNIT_ASSERT(!engine.progress("a")->finished);
        this->runFor(engine, 11ms);
        CPPUNIT_ASSERT_EQUAL(5U, this->ready(engine, "a"));
        CPPUNIT_ASSERT(engine.progress("a")->finished);
        CPPUNIT_ASSERT_EQUAL(300U, engine.progress("a")->promptTokens);
        CPPUNIT_ASSERT(!engine.nextStepEnd());
    }

    void streamsShareSteps()
    {
        EngineModel engine(options(), this->clock.now());
        this->assertAccepted(engine, request("a", 10, 50));
        this->runFor(engine, 10ms);
        this->assertAccepted(engine, request("b", 20, 50));
        // The step under way (10 ms), then one with the prompt of b and a token of a (30 ms), then shared steps.
        this->runFor(engine, 40ms);
        CPPUNIT_ASSERT_EQUAL(3U, this->ready(engine, "a"));
        CPPUNIT_ASSERT_EQUAL(1U, this->ready(engine, "b"));
        this->runFor(engine, 100ms);
        CPPUNIT_ASSERT_EQUAL(13U, this->ready(engine, "a"));
        CPPUNIT_ASSERT_EQUAL(11U, this->ready(engine, "b"));
        // With both slots taken, a third request waits.
        this->assertAccepted(engine, request("c", 10, 5));
        this->runFor(engine, 100ms);
        CPPUNIT_ASSERT_EQUAL(1U, engine.load().queuedRequests);
        CPPUNIT_ASSERT_EQUAL(2U, engine.load().runningRequests);
        CPPUNIT_ASSERT_EQUAL(10U, engine.load().queuedPrefillTokens);
    }

    void higherPriorityStartsFirst()
    {
        EngineModel engine(options(), this->clock.now());
        for (const char* id : { "run1", "run2", "low1", "low2" })
            this->assertAccepted(engine, request(id, 10, 20));
        EngineRequest urgent = request("urgent", 10, 20);
        urgent.priority = 5;
        this->assertAccepted(engine, urgent);
        this->runFor(engine, 260ms);
        CPPUNIT_ASSERT(engine.progress("run1")->finished);
        CPPUNIT_ASSERT(this->ready(engine, "urgent") > 0);
        CPPUNIT_ASSERT(this->ready(engine, "low1") > 0);
        CPPUNIT_ASSERT_EQUAL(0U, this->ready(engine, "low2"));
    }

    void nextTurnFindsItsPrefixCached()
    {
        EngineModel engine(options(), this->clock.now());
        EngineRequest turn = request("a", 100, 20);
        this->complete(engine, turn);
        CPPUNIT_ASSERT_EQUAL(120U, sessionTokens(engine, "session-a"));
        turn.messages.push_back({ "assistant", engine.progress("a")->answer.text(0, 20) });
        turn.messages.push_back({ "user", "next" });
        turn.streamId = "b";
        this->assertAccepted(engine, turn);
        this->runFor(engine, 1ms);
        CPPUNIT_ASSERT_EQUAL(1U, this->ready(engine, "b"));
        CPPUNIT_ASSERT_EQUAL(121U, engine.progress("b")->promptTokens);
        CPPUNIT_ASSERT_EQUAL(120U, engine.progress("b")->cachedTokens);
    }

    // An engine that stores more than its memory would make a cache-aware placement look better than it is.
    void memoryNeverExceedsTheLimit()
    {
        EngineModel engine(options(), this->clock.now());
        for (int i = 0; i < 30; ++i) {
            this->assertAccepted(engine, request(std::to_string(i), 900, 50));
            this->runFor(engine, 700ms);
            CPPUNIT_ASSERT(engine.load().freeKvTokens <= 10000);
        }
        this->runFor(engine, 60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), engine.sessions().size());
        CPPUNIT_ASSERT_EQUAL(500U, engine.load().freeKvTokens);
        // The oldest is gone, the newest is kept.
        CPPUNIT_ASSERT_EQUAL(0U, sessionTokens(engine, "session-0"));
        CPPUNIT_ASSERT_EQUAL(950U, sessionTokens(engine, "session-29"));
        CPPUNIT_ASSERT(engine.submit(request("x", 9990, 50), this->clock.now()) == SubmitStatus::TooLarge);
    }

    void releaseFreesOnlyTheSession()
    {
        EngineModel engine(options(), this->clock.now());
        EngineRequest first = request("a", 50, 10);
        first.messages.insert(first.messages.begin(), { "system", std::string(400, 's') });
        EngineRequest second = request("b", 50, 10);
        second.messages.insert(second.messages.begin(), first.messages.front());
        this->complete(engine, first);
        this->complete(engine, second);
        CPPUNIT_ASSERT_EQUAL(100U, engine.progress("b")->cachedTokens);
        CPPUNIT_ASSERT_EQUAL(10000U - 220U, engine.load().freeKvTokens);
        CPPUNIT_ASSERT(engine.releaseSession("session-a", 0, this->clock.now()));
        CPPUNIT_ASSERT_EQUAL(0U, sessionTokens(engine, "session-a"));
        CPPUNIT_ASSERT_EQUAL(160U, sessionTokens(engine, "session-b"));
        CPPUNIT_ASSERT_EQUAL(10000U - 160U, engine.load().freeKvTokens);
        engine.releaseSession("session-b", 0, this->clock.now());
        CPPUNIT_ASSERT_EQUAL(10000U, engine.load().freeKvTokens);
    }

    // A stream that ended after its session's release would hold memory that nobody releases.
    void releaseCancelsRunningStreams()
    {
        EngineModel engine(options(), this->clock.now());
        for (const char* id : { "a", "b", "c" }) {
            EngineRequest each = request(id, 100, 50);
            each.session = "program";
            this->assertAccepted(engine, each);
        }
        this->runFor(engine, 250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.sessions().size());
        engine.releaseSession("program", 0, this->clock.now());
        this->runFor(engine, 10s);
        CPPUNIT_ASSERT(engine.sessions().empty());
        CPPUNIT_ASSERT_EQUAL(10000U, engine.load().freeKvTokens);
        CPPUNIT_ASSERT(!engine.progress("a"));
        CPPUNIT_ASSERT(!engine.progress("c"));
    }

    void cancelFreesTheSlot()
    {
        EngineModel engine(options(), this->clock.now());
        for (const char* id : { "a", "b", "c" })
            this->assertAccepted(engine, request(id, 10, 500));
        this->runFor(engine, 100ms);
        engine.cancel("a", this->clock.now());
        engine.cancel("unknown", this->clock.now());
        this->runFor(engine, 100ms);
        CPPUNIT_ASSERT(!engine.progress("a"));
        CPPUNIT_ASSERT(this->ready(engine, "c") > 0);
    }

    void endedStreamIsKeptForAMinute()
    {
        EngineModel engine(options(), this->clock.now());
        this->assertAccepted(engine, request("a", 10, 1));
        this->runFor(engine, 10ms);
        this->runFor(engine, 59s);
        CPPUNIT_ASSERT(engine.progress("a")->finished);
        this->runFor(engine, 1s);
        CPPUNIT_ASSERT(!engine.progress("a"));
        // The id of a cancelled stream can be used again, and the new stream is not dropped at the old one's time.
        this->complete(engine, request("b", 10, 1));
        engine.cancel("b", this->clock.now());
        this->assertAccepted(engine, request("b", 10, 900));
        this->runFor(engine, 5s);
        CPPUNIT_ASSERT(engine.progress("b"));
    }

    void oldEpochIsRefusedOnlyWhenChecked()
    {
        for (const bool check : { true, false }) {
            EngineOptions epochOptions = options();
            epochOptions.checkEpoch = check;
            EngineModel engine(epochOptions, this->clock.now());
            EngineRequest current = request("a", 10, 5);
            current.epoch = 3;
            this->assertAccepted(engine, current);
            EngineRequest old = current;
            old.streamId = "b";
            old.epoch = 2;
            CPPUNIT_ASSERT_EQUAL(check, engine.submit(old, this->clock.now()) == SubmitStatus::OldEpoch);
            CPPUNIT_ASSERT_EQUAL(!check, engine.releaseSession("session-a", 2, this->clock.now()));
            CPPUNIT_ASSERT(engine.releaseSession("session-a", 3, this->clock.now()));
            // Sessions belong to different shards, whose epochs can't be compared.
            EngineRequest other = request("c", 10, 5);
            other.epoch = 1;
            this->assertAccepted(engine, other);
            CPPUNIT_ASSERT(engine.order({ OrderKind::Load, "m2", "", "", 9 }, this->clock.now()));
            CPPUNIT_ASSERT_EQUAL(!check, engine.order({ OrderKind::Unload, "m2", "", "", 8 }, this->clock.now()));
            CPPUNIT_ASSERT_EQUAL(check, engine.serves("m2"));
        }
    }

    void refusalsDoNothing()
    {
        EngineOptions smallQueue = options();
        smallQueue.maxQueue = 1;
        EngineModel engine(smallQueue, this->clock.now());
        EngineRequest unknown = request("a", 10, 5);
        unknown.model = "other";
        CPPUNIT_ASSERT(engine.submit(unknown, this->clock.now()) == SubmitStatus::UnknownModel);
        for (const char* id : { "b", "c", "d" }) {
            this->assertAccepted(engine, request(id, 10, 50));
            this->runFor(engine, 20ms);
        }
        CPPUNIT_ASSERT(engine.submit(request("b", 10, 5), this->clock.now()) == SubmitStatus::DuplicateStream);
        CPPUNIT_ASSERT(engine.submit(request("e", 10, 5), this->clock.now()) == SubmitStatus::QueueFull);
        CPPUNIT_ASSERT(!engine.progress("a"));
        CPPUNIT_ASSERT(!engine.progress("e"));
    }

    void ordersChangeTheModels()
    {
        EngineOptions slowLoad = options();
        slowLoad.modelLoadMs = 1000;
        EngineModel engine(slowLoad, this->clock.now());
        engine.order({ OrderKind::Load, "model", "drivers", "", 1 }, this->clock.now());
        this->runFor(engine, 999ms);
        CPPUNIT_ASSERT(!engine.serves("model:drivers"));
        this->runFor(engine, 1ms);
        CPPUNIT_ASSERT(engine.serves("model:drivers"));
        engine.order({ OrderKind::Unload, "model", "", "", 2 }, this->clock.now());
        CPPUNIT_ASSERT(!engine.serves("model"));
        engine.order({ OrderKind::Role, "", "", "prefill", 3 }, this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::string("prefill"), engine.role());
    }

    void importedCacheServesTheSession()
    {
        EngineModel source(options(), this->clock.now());
        EngineModel target(options(), this->clock.now());
        const EngineRequest turn = request("a", 100, 20);
        this->complete(source, turn);
        const auto prefixes = source.exportSession("session-a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), prefixes.size());
        CPPUNIT_ASSERT(target.importSession("session-a", prefixes[0], this->clock.now()));
        CPPUNIT_ASSERT_EQUAL(120U, sessionTokens(target, "session-a"));
        this->complete(target, turn);
        CPPUNIT_ASSERT_EQUAL(100U, target.progress("a")->cachedTokens);
        CPPUNIT_ASSERT(source.exportSession("unknown").empty());
        CPPUNIT_ASSERT(!target.importSession("big", { { "digest", 20000 } }, this->clock.now()));
    }

    void answerDependsOnTheLastMessageOnly()
    {
        const PlannedAnswer answer = planAnswer("hello", 1000);
        CPPUNIT_ASSERT(answer.tokens >= 16 && answer.tokens <= 64 && !answer.reachesLimit);
        CPPUNIT_ASSERT_EQUAL(answer.text(0, 8), planAnswer("hello", 8).text(0, 3) + planAnswer("hello", 8).text(3, 8));
        CPPUNIT_ASSERT(planAnswer("hello", 8).reachesLimit);
        CPPUNIT_ASSERT(answer.text(0, 8) != planAnswer("hellp", 8).text(0, 8));
        CPPUNIT_ASSERT_EQUAL(200U, planAnswer("answerTokens=200", 1000).tokens);
        // The answer comes back as a message of the next prompt and must count the same there.
        CPPUNIT_ASSERT_EQUAL(answer.tokens, countTokens(answer.text(0, answer.tokens)));
    }

    void reportsAreLateAndEventsHaveGaps()
    {
        LaggingLoad loads;
        EngineLoad load;
        for (load.runningRequests = 0; load.runningRequests < 10; ++load.runningRequests) {
            loads.record(load, this->clock.now());
            this->clock.advance(100ms);
        }
        CPPUNIT_ASSERT_EQUAL(9U, loads.report(this->clock.now(), 0ms).runningRequests);
        CPPUNIT_ASSERT_EQUAL(7U, loads.report(this->clock.now(), 250ms).runningRequests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(250), loads.report(this->clock.now(), 250ms).reportAgeMillis);

        CacheEventLog log;
        log.record(std::vector<CacheChange>(1000, { true, "digest", 5 }), this->clock.now(), 20);
        CPPUNIT_ASSERT(log.events(0, this->clock.now(), 2s).empty());
        this->clock.advance(2s);
        const auto events = log.events(0, this->clock.now(), 2s);
        CPPUNIT_ASSERT(events.size() > 700 && events.size() < 900);
        CPPUNIT_ASSERT(events.back().sequence > events.size());
        CPPUNIT_ASSERT_EQUAL(events[1].sequence, log.events(events[0].sequence, this->clock.now(), 2s)[0].sequence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelTest);

} // namespace lovagecross::standins
