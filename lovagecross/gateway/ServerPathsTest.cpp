#include "lovagecross/gateway/ServerPaths.h"

#include "lovagecross/testing/ServerEntries.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

} // namespace

class ServerPathsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerPathsTest);
    CPPUNIT_TEST(failureOfOneServerIsNoSign);
    CPPUNIT_TEST(lossOfHalfOfTheServersIsNoSign);
    CPPUNIT_TEST(lossOfAllServersIsNoticedInTime);
    CPPUNIT_TEST(serverThatIsSilentForAWhileIsNoSign);
    CPPUNIT_TEST(keptConnectionsDoNotHideThatNewOnesFail);
    CPPUNIT_TEST(returnNeedsTwoServers);
    CPPUNIT_TEST(noProbesWhileServersAreHeard);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::vector<ServerEntry> servers(10);
        for (int i = 0; i < 10; ++i)
            servers[static_cast<std::size_t>(i)] = makeServer(i);
        this->directory.replaceServers(std::move(servers), 1);
    }

private:
    static ServerEntry makeServer(int index) { return testing::makeServerEntry("s" + std::to_string(index)); }

    // One round of the thread that probes; a connection to a server in `down` fails after its timeout. Returns the
    // number of connections opened.
    std::size_t probe(ServerPaths& paths, bool callsUnderWay, const std::set<std::string>& down)
    {
        auto servers = paths.serversToProbe(*this->directory.view(), callsUnderWay);
        for (const ServerEntry& server : servers) {
            if (down.count(server.id) == 0)
                paths.connected(server.id);
        }
        bool anyFails = false;
        for (const ServerEntry& server : servers)
            anyFails = anyFails || down.count(server.id) > 0;
        if (anyFails)
            this->clock.advance(milliseconds(400));
        for (const ServerEntry& server : servers) {
            if (down.count(server.id) > 0)
                paths.connectFailed(server.id);
        }
        this->clock.advance(milliseconds(100));
        return servers.size();
    }

    static std::set<std::string> firstServers(int count)
    {
        std::set<std::string> ids;
        for (int i = 0; i < count; ++i)
            ids.insert(makeServer(i).id);
        return ids;
    }

    Duration timeUntil(ServerPaths& paths, bool reaches, const std::set<std::string>& down, bool callsUnderWay)
    {
        TimePoint start = this->clock.now();
        while (paths.reachesServers() != reaches && this->clock.now() - start < std::chrono::seconds(20))
            this->probe(paths, callsUnderWay, down);
        return this->clock.now() - start;
    }

    // Guards against a node that gives up all servers because one is down.
    void failureOfOneServerIsNoSign()
    {
        ServerPaths paths(this->clock);
        paths.connectFailed("s0"); // before anything is known of the servers
        CPPUNIT_ASSERT(paths.reachesServers());
        for (int i = 0; i < 50; ++i) {
            paths.connectFailed("s0");
            this->probe(paths, true, { "s0" });
            CPPUNIT_ASSERT(paths.reachesServers());
        }
    }

    // Guards against detours while servers can be reached.
    void lossOfHalfOfTheServersIsNoSign()
    {
        ServerPaths paths(this->clock);
        for (int i = 0; i < 200; ++i) {
            paths.connectFailed("s" + std::to_string(i % 4));
            paths.connected("s9");
            this->probe(paths, true, firstServers(4));
            CPPUNIT_ASSERT(paths.reachesServers());
        }
    }

    // Guards against callers that wait for seconds at a node without servers, also if no call tells it.
    void lossOfAllServersIsNoticedInTime()
    {
        for (bool callsUnderWay : { true, false }) {
            ServerPaths paths(this->clock);
            Duration taken = this->timeUntil(paths, false, firstServers(10), callsUnderWay);
            CPPUNIT_ASSERT(taken <= milliseconds(callsUnderWay ? 1500 : 2200)); // of 3 s
        }
    }

    // Guards against a detour because servers paused for a second: their machines still accept connections.
    void serverThatIsSilentForAWhileIsNoSign()
    {
        ServerPaths paths(this->clock);
        for (int i = 0; i < 15; ++i)
            this->probe(paths, true, {});
        CPPUNIT_ASSERT(paths.reachesServers());
    }

    // Guards against a node whose old connections still bring answers, while its new calls find no server.
    void keptConnectionsDoNotHideThatNewOnesFail()
    {
        ServerPaths paths(this->clock);
        this->probe(paths, true, {});
        for (int i = 0; i < 10; ++i) {
            paths.heard();
            paths.connectFailed("s" + std::to_string(i));
        }
        CPPUNIT_ASSERT(!paths.reachesServers());
        paths.heard();
        CPPUNIT_ASSERT(!paths.reachesServers());
    }

    // Guards against calls that return to paths of which a single one works, and against a return that takes long.
    void returnNeedsTwoServers()
    {
        ServerPaths paths(this->clock);
        this->timeUntil(paths, false, firstServers(10), true);
        paths.connected("s3");
        paths.connected("s3");
        CPPUNIT_ASSERT(!paths.reachesServers());
        paths.connectFailed("s4");
        paths.connected("s5");
        CPPUNIT_ASSERT(!paths.reachesServers());
        CPPUNIT_ASSERT(this->timeUntil(paths, true, {}, false) <= milliseconds(600));
    }

    // Guards against connections that are opened for nothing while calls are answered.
    void noProbesWhileServersAreHeard()
    {
        ServerPaths paths(this->clock);
        std::size_t probes = 0;
        for (int i = 0; i < 100; ++i) {
            paths.heard();
            probes += this->probe(paths, true, {});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), probes);
        for (int i = 0; i < 100; ++i)
            probes += this->probe(paths, false, {});
        CPPUNIT_ASSERT(probes <= 10); // one a second when idle
    }

    ManualClock clock;
    Directory directory { this->clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPathsTest);

} // namespace lovagecross
