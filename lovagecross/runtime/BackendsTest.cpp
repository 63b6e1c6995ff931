#include "lovagecross/runtime/Backends.h"

#include "lovagecross/runtime/PromptPrefixes.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

namespace {

// Fake engines with configurable reports. A silent engine blocks its reader for 2 s, like an HTTP request that times
// out.
class FakeEngines final : public ModelEngine {
public:
    ~FakeEngines() override { this->release(); }

    ModelAnswer generate(const ModelRequest&, const TokenSink&) override { return {}; }
    bool cancel(std::string_view, std::string_view) override { return true; }
    bool releaseSession(std::string_view, std::string_view, std::uint64_t) override { return true; }
    bool listSessions(std::string_view, std::vector<std::string>&) override { return true; }

    bool load(std::string_view address, EngineLoad& load) override
    {
        std::unique_lock lock(this->mutex);
        std::string engine(address);
        ++this->loadsRead[engine];
        if (this->silent.contains(engine)) {
            this->changed.wait_for(lock, std::chrono::seconds(2), [&] { return this->released; });
            return false;
        }
        load = this->loads[engine];
        return true;
    }

    bool cacheEvents(std::string_view address, std::uint64_t after, std::vector<CacheEvent>& answer) override
    {
        std::lock_guard lock(this->mutex);
        for (const CacheEvent& event : this->events[std::string(address)]) {
            if (event.sequence > after)
                answer.push_back(event);
        }
        return true;
    }

    void setEvents(const std::string& address, std::vector<CacheEvent> list)
    {
        std::lock_guard lock(this->mutex);
        this->events[address] = std::move(list);
    }

    void setLoad(const std::string& address, std::uint32_t running)
    {
        std::lock_guard lock(this->mutex);
        this->loads[address] = { running, 0, 0, 0, 0 };
    }

    void setSilent(const std::string& address, bool isSilent)
    {
        std::lock_guard lock(this->mutex);
        if (isSilent)
            this->silent.insert(address);
        else
            this->silent.erase(address);
    }

    void release()
    {
        std::lock_guard lock(this->mutex);
        this->released = true;
        this->changed.notify_all();
    }

    int reads(const std::string& address)
    {
        std::lock_guard lock(this->mutex);
        return this->loadsRead[address];
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool released = false;
    std::map<std::string, EngineLoad> loads;
    std::map<std::string, std::vector<CacheEvent>> events;
    std::map<std::string, int> loadsRead;
    std::set<std::string> silent;
};

BackendServer engine(int number)
{
    BackendServer server;
    server.name = "engine" + std::to_string(number);
    server.address = "127.0.0.1:" + std::to_string(10000 + number);
    server.dataCentre = "lodz1";
    server.models = { "m1" };
    server.slots = 8;
    return server;
}

Configuration engines(int count)
{
    Configuration configuration;
    for (int i = 0; i < count; ++i)
        configuration.backendServers.push_back(engine(i));
    return configuration;
}

template <typename Condition> bool waitFor(Condition condition, std::chrono::milliseconds timeout)
{
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

ChoiceQuery modelQuery(std::vector<PromptPrefix> prefixes = {})
{
    ChoiceQuery query;
    query.target = "m1";
    query.promptTokens = prefixes.empty() ? 100 : prefixes.back().tokens;
    query.prefixes = std::move(prefixes);
    query.maxTokens = 10;
    return query;
}

} // namespace

class BackendsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendsTest);
    CPPUNIT_TEST(prefixDigestsAreThoseOfTheEngines);
    CPPUNIT_TEST(promptGoesWhereItsPrefixWasComputed);
    CPPUNIT_TEST(cacheEventsDecideThePlace);
    CPPUNIT_TEST(eventsOfARestartedEngineAreRead);
    CPPUNIT_TEST(silentEnginesDelayNoOthers);
    CPPUNIT_TEST(brokenServersGiveNoSlots);
    CPPUNIT_TEST(servicesAreNoModelServers);
    CPPUNIT_TEST(newAddressIsANewServer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds interval { 50 };

    FakeEngines fake;
    ManualClock clock;
    SystemClock systemClock;

    // If the digests differed from those of the engines, no cache event would match and no error would show it.
    void prefixDigestsAreThoseOfTheEngines()
    {
        auto prefixes = promptPrefixes(R"([{"role":"user","content":"a"},{"content":"12345","role":"assistant"}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), prefixes.size());
        // 64-bit FNV-1a of "user\x1fa\x1e" and of the same followed by "assistant\x1f12345\x1e".
        CPPUNIT_ASSERT_EQUAL(std::string("acb92fa592798a74"), prefixes[0].digest);
        CPPUNIT_ASSERT_EQUAL(std::string("455760aaee079396"), prefixes[1].digest);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), prefixes[0].tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), prefixes[1].tokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
            promptPrefixes(R"([{"role":"user","content":"a"},{"role":"user","content":[{"text":"b"}]}])").size());
        for (const char* malformed : { "", "{}", "[", "[1]", "[{}]", "null" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(malformed, std::size_t(0), promptPrefixes(malformed).size());
    }

    // The next turn of a conversation must go to the server whose cache holds the previous turn.
    void promptGoesWhereItsPrefixWasComputed()
    {
        Backends backends(this->clock, this->fake, "lodz1", 1);
        backends.configure(engines(4));
        BackendChoice first = backends.choose(modelQuery({ { "a", 4000 } })).value();
        this->clock.advance(std::chrono::milliseconds(500));
        backends.firstToken(first);
        backends.finished(first, BackendStatus::Ok, 0);
        for (int i = 0; i < 8; ++i) {
            BackendChoice next = backends.choose(modelQuery({ { "a", 4000 }, { "b", 4200 } })).value();
            CPPUNIT_ASSERT_EQUAL(first.server.name, next.server.name);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(4000), next.expectedCachedTokens);
            backends.finished(next, BackendStatus::Cancelled, 0);
        }
    }

    // Only the engine's cache events tell this node about prefixes cached by calls of other nodes.
    void cacheEventsDecideThePlace()
    {
        Backends backends(this->systemClock, this->fake, "lodz1", 1);
        this->fake.setEvents(engine(2).address, { { 1, true, "a", 4000 } });
        backends.configure(engines(4));
        backends.start(interval);
        CPPUNIT_ASSERT(
            waitFor([&] { return this->serverWithCachedPrefix(backends, "a") == "engine2"; }, std::chrono::seconds(5)));
        this->fake.setEvents(engine(2).address, { { 1, true, "a", 4000 }, { 2, false, "a", 4000 } });
        CPPUNIT_ASSERT(waitFor([&] { return this->expectedCached(backends, "a") == 0; }, std::chrono::seconds(5)));
    }

    // A restarted engine numbers its events from 1 again. A reader that asks only for events after the last number it
    // saw misses them.
    void eventsOfARestartedEngineAreRead()
    {
        Backends backends(this->systemClock, this->fake, "lodz1", 1);
        std::string address = engine(1).address;
        this->fake.setEvents(address, { { 500, true, "a", 4000 } });
        backends.configure(engines(3));
        backends.start(interval);
        CPPUNIT_ASSERT(
            waitFor([&] { return this->serverWithCachedPrefix(backends, "a") == "engine1"; }, std::chrono::seconds(5)));
        this->fake.setSilent(address, true);
        int before = this->fake.reads(address);
        CPPUNIT_ASSERT(waitFor([&] { return this->fake.reads(address) > before; }, std::chrono::seconds(5)));
        this->fake.setEvents(address, { { 1, true, "b", 4000 } });
        this->fake.setSilent(address, false);
        this->fake.release();
        CPPUNIT_ASSERT(
            waitFor([&] { return this->serverWithCachedPrefix(backends, "b") == "engine1"; }, std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), this->expectedCached(backends, "a"));
    }

    // Regression test: engines that accepted connections but never answered blocked the polls of all other engines. 12
    // silent engines are more than there are poll threads.
    void silentEnginesDelayNoOthers()
    {
        Backends backends(this->systemClock, this->fake, "lodz1", 1);
        for (int i = 0; i < 12; ++i)
            this->fake.setSilent(engine(i).address, true);
        backends.configure(engines(16));
        backends.start(interval);
        // The first poll of each silent engine blocks a thread for 2 s: 12 engines on 8 threads.
        CPPUNIT_ASSERT(waitFor([&] { return this->allReadTwice(12); }, std::chrono::seconds(10)));
        std::map<int, int> before;
        for (int i = 12; i < 16; ++i)
            before[i] = this->fake.reads(engine(i).address);
        std::this_thread::sleep_for(interval * 20);
        for (int i = 12; i < 16; ++i) {
            int reads = this->fake.reads(engine(i).address) - before[i];
            CPPUNIT_ASSERT_MESSAGE(std::to_string(reads) + " reads in 20 intervals", reads >= 10);
        }
        this->fake.release();
        backends.stop();
    }

    // Servers with an open circuit must not count as capacity: calls would be admitted for them instead of waiting in
    // the admission queue, which orders calls by rank.
    void brokenServersGiveNoSlots()
    {
        Backends backends(this->clock, this->fake, "lodz1", 1);
        CPPUNIT_ASSERT(!backends.localSlots());
        Configuration configuration = engines(2);
        configuration.backendServers.push_back(engine(2));
        configuration.backendServers.back().dataCentre = "lodz2";
        backends.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), backends.localSlots().value());
        ChoiceQuery query = modelQuery();
        query.excluded = { "engine1", "engine2" };
        for (int i = 0; i < 3; ++i)
            backends.finished(backends.choose(query).value(), BackendStatus::ConnectionLost, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), backends.localSlots().value());
        CPPUNIT_ASSERT(!backends.choose(query));
        for (const BackendView& view : backends.view())
            CPPUNIT_ASSERT_EQUAL(std::string(view.server.name == "engine0" ? "open" : "closed"), view.circuit);
        for (BackendServer& server : configuration.backendServers)
            server.leaving = server.dataCentre == "lodz1";
        backends.configure(configuration);
        CPPUNIT_ASSERT(!backends.localSlots());
    }

    // A service may have the same name as a model. Its slots must not count as slots for model calls.
    void servicesAreNoModelServers()
    {
        Backends backends(this->clock, this->fake, "lodz1", 1);
        Configuration configuration = engines(1);
        BackendServer tool = engine(1);
        tool.name = "tool";
        tool.kind = BackendKind::Service;
        tool.models = {};
        tool.service = "m1";
        configuration.backendServers.push_back(tool);
        backends.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), backends.localSlots().value());
        ChoiceQuery query = modelQuery();
        CPPUNIT_ASSERT_EQUAL(std::string("engine0"), backends.choose(query)->server.name);
        query.kind = BackendKind::Service;
        BackendChoice choice = backends.choose(query).value();
        CPPUNIT_ASSERT_EQUAL(std::string("tool"), choice.server.name);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), backends.view()[1].inFlight);
        backends.finished(choice, BackendStatus::Ok, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), backends.view()[1].inFlight);
    }

    // Failures at a server's old address must not block calls to its new address.
    void newAddressIsANewServer()
    {
        Backends backends(this->clock, this->fake, "lodz1", 1);
        Configuration configuration = engines(1);
        backends.configure(configuration);
        for (int i = 0; i < 3; ++i)
            backends.finished(backends.choose(modelQuery()).value(), BackendStatus::ConnectionLost, 0);
        backends.configure(configuration);
        CPPUNIT_ASSERT(!backends.choose(modelQuery()));
        configuration.backendServers[0].address = "127.0.0.1:10100";
        backends.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:10100"), backends.choose(modelQuery())->server.address);
    }

    std::string serverWithCachedPrefix(Backends& backends, const std::string& digest)
    {
        BackendChoice choice = backends.choose(modelQuery({ { digest, 4000 } })).value();
        backends.finished(choice, BackendStatus::Cancelled, 0);
        return choice.expectedCachedTokens > 0 ? choice.server.name : "";
    }

    std::uint32_t expectedCached(Backends& backends, const std::string& digest)
    {
        BackendChoice choice = backends.choose(modelQuery({ { digest, 4000 } })).value();
        backends.finished(choice, BackendStatus::Cancelled, 0);
        return choice.expectedCachedTokens;
    }

    bool allReadTwice(int silentEngines)
    {
        for (int i = 0; i < silentEngines; ++i) {
            if (this->fake.reads(engine(i).address) < 2)
                return false;
        }
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);

} // namespace lovagecross
