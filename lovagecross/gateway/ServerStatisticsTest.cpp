#include "lovagecross/gateway/ServerStatistics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

ServerEntry server(const std::string& id)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "tool";
    entry.dataCentre = "a";
    entry.slots = 6;
    return entry;
}

} // namespace

class ServerStatisticsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerStatisticsTest);
    CPPUNIT_TEST(failingServerIsSuspendedAndTriedAgain);
    CPPUNIT_TEST(suspendedServerIsUsedIfNoOtherIsLeft);
    CPPUNIT_TEST(drainingAndTriedServersAreSkipped);
    CPPUNIT_TEST(slownessDecays);
    CPPUNIT_TEST(plainCallsUseASubsetUntilItIsUsedUp);
    CPPUNIT_TEST(restartedServerHasEmptyStatistics);
    CPPUNIT_TEST(callStaysInTheWantedDataCentre);
    CPPUNIT_TEST(otherDataCentreServesWhereNoneIsLeft);
    CPPUNIT_TEST(loadsAreCountedByDataCentre);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;

    std::string chosenId(
        ServerStatistics& book, const std::vector<ServerEntry>& servers, const std::set<std::string>& tried = {})
    {
        auto chosen = book.choose(servers, {}, {}, tried);
        if (!chosen)
            return {};
        book.finished(chosen->server, AttemptEnd::Abandoned, Duration(0), {});
        return chosen->server.id;
    }

    void fail(ServerStatistics& book, const ServerEntry& target, int times)
    {
        for (int i = 0; i < times; ++i)
            book.finished(target, AttemptEnd::Failed, Duration(0), {});
    }

    static ServerEntry serverIn(const std::string& id, const std::string& dataCentre)
    {
        ServerEntry entry = server(id);
        entry.dataCentre = dataCentre;
        return entry;
    }

    static std::string chosenFor(
        ServerStatistics& book, const std::vector<ServerEntry>& servers, const std::string& dataCentre)
    {
        ChoiceRequest request;
        request.wantedDataCentre = dataCentre;
        auto chosen = book.choose(servers, request, {}, {});
        return chosen ? chosen->server.id : std::string();
    }

    // Full servers refuse for some ms: if they counted as none, a flood would leave the data centre without a limit.
    void callStaysInTheWantedDataCentre()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { serverIn("x", "a"), serverIn("y", "b") };
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("x"), chosenFor(book, servers, "a"));
        book.finished(servers[0], AttemptEnd::Refused, Duration(0), {});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), chosenFor(book, servers, "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), chosenFor(book, servers, "b"));
        book.finished(servers[1], AttemptEnd::Refused, Duration(0), {});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), chosenFor(book, servers, "b")); // a full server there is not waited for
    }

    // A data centre whose own servers are all gone or failing must not refuse its calls.
    void otherDataCentreServesWhereNoneIsLeft()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { serverIn("x", "a"), serverIn("y", "b"), serverIn("z", "c") };
        this->fail(book, servers[0], 2);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), chosenFor(book, { servers[0], servers[1] }, "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("z"), chosenFor(book, { servers[2] }, "a"));
    }

    // Guards against loads that miss calls, or count those of another data centre: record nodes add them up and would
    // see room where there is none.
    void loadsAreCountedByDataCentre()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { serverIn("x", "a"), serverIn("y", "b") };
        for (const char* dataCentre : { "a", "a", "b" })
            chosenFor(book, servers, dataCentre);
        for (int i = 0; i < 200; ++i) { // two calls at a time, 100 ms each
            this->clock.advance(milliseconds(50));
            book.finished(servers[0], AttemptEnd::Answered, milliseconds(10), {});
            chosenFor(book, servers, "a");
        }
        book.finished(servers[0], AttemptEnd::Refused, Duration(0), {});
        std::vector<ServiceLoad> loads = book.loads({ { "tool", servers } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loads.size());
        CPPUNIT_ASSERT(loads[0].running == 1 && loads[0].refusals == 1);
        CPPUNIT_ASSERT(loads[0].callMillis >= 90 && loads[0].callMillis <= 101);
        CPPUNIT_ASSERT(loads[0].sent.size() == 1 && loads[0].sent[0].dataCentre == "b");
        CPPUNIT_ASSERT_EQUAL(1U, loads[0].sent[0].running);
    }

    // Each call to an unreachable server would wait for the connect timeout.
    void failingServerIsSuspendedAndTriedAgain()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { server("x"), server("y") };
        this->fail(book, servers[0], 2);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("y"), this->chosenId(book, servers));
        this->clock.advance(std::chrono::seconds(1));
        bool triedAgain = false;
        for (int i = 0; i < 100; ++i)
            triedAgain = triedAgain || this->chosenId(book, servers) == "x";
        CPPUNIT_ASSERT(triedAgain);
    }

    void suspendedServerIsUsedIfNoOtherIsLeft()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { server("x") };
        this->fail(book, servers[0], 5);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), this->chosenId(book, servers));
    }

    void drainingAndTriedServersAreSkipped()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { server("x"), server("y") };
        servers[0].state = ServerState::Draining;
        CPPUNIT_ASSERT_EQUAL(std::string("y"), this->chosenId(book, servers));
        CPPUNIT_ASSERT_EQUAL(std::string(), this->chosenId(book, servers, { "y" }));
    }

    // An estimate that doesn't decay would keep a recovered server idle.
    void slownessDecays()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { server("x"), server("y") };
        for (int i = 0; i < 40; ++i) {
            book.finished(servers[0], AttemptEnd::Answered, milliseconds(500), {});
            book.finished(servers[1], AttemptEnd::Answered, milliseconds(20), {});
        }
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("y"), this->chosenId(book, servers));
        this->clock.advance(std::chrono::seconds(30));
        bool used = false;
        for (int i = 0; i < 100; ++i)
            used = used || this->chosenId(book, servers) == "x";
        CPPUNIT_ASSERT(used);
    }

    // Each server that a node calls costs it connections; a subset that is down must not fail calls.
    void plainCallsUseASubsetUntilItIsUsedUp()
    {
        ServerSubset subset("n0", "a");
        std::vector<std::string> nodes;
        std::vector<ServerEntry> servers;
        for (int i = 0; i < 30; ++i) {
            nodes.push_back("n" + std::to_string(i));
            servers.push_back(server("s" + std::to_string(i)));
        }
        subset.addNodes(nodes, this->clock.now());
        ServerStatistics book(this->clock, "a", {}, &subset);
        std::set<std::string> used;
        for (int i = 0; i < 500; ++i)
            used.insert(this->chosenId(book, servers));
        CPPUNIT_ASSERT_EQUAL(ServerSubset::size, used.size());
        CPPUNIT_ASSERT(used.count(this->chosenId(book, servers, used)) == 0);
        for (const ServerEntry& entry : servers) {
            if (used.count(entry.id) > 0)
                this->fail(book, entry, 2);
        }
        CPPUNIT_ASSERT(used.count(this->chosenId(book, servers)) == 0);
    }

    void restartedServerHasEmptyStatistics()
    {
        ServerStatistics book(this->clock, "a");
        std::vector<ServerEntry> servers { server("x"), server("y") };
        this->fail(book, servers[0], 5);
        servers[0].startedUnixMillis = 1;
        bool used = false;
        for (int i = 0; i < 100; ++i)
            used = used || this->chosenId(book, servers) == "x";
        CPPUNIT_ASSERT(used);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStatisticsTest);

} // namespace lovagecross
