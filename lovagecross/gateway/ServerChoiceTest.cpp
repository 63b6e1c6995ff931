#include "lovagecross/gateway/ServerChoice.h"

#include "lovagecross/base/Hash.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace lovagecross {

namespace {

const std::vector<std::string> names { "s0", "s1", "s2", "s3", "s4", "s5" };

// Two servers in each of three data centres.
std::vector<ServerLoad> sixServers()
{
    static const std::vector<std::string> dataCentres { "a", "a", "b", "b", "c", "c" };
    std::vector<ServerLoad> servers(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
        servers[i].id = names[i];
        servers[i].dataCentre = dataCentres[i];
        servers[i].slots = 6;
    }
    return servers;
}

ChoiceRequest from(std::string_view dataCentre)
{
    ChoiceRequest request;
    request.dataCentre = dataCentre;
    return request;
}

} // namespace

class ServerChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerChoiceTest);
    CPPUNIT_TEST(idleLocalServersShareTheLoad);
    CPPUNIT_TEST(conversationsStayOnOneServer);
    CPPUNIT_TEST(burstsSpreadWhenWaitingCostsMoreThanPrefill);
    CPPUNIT_TEST(remoteServersArePreferredToSlowLocalOnes);
    CPPUNIT_TEST(unusableServersAreNeverChosen);
    CPPUNIT_TEST_SUITE_END();

    void idleLocalServersShareTheLoad()
    {
        std::map<std::size_t, int> chosen;
        for (std::uint64_t i = 0; i < 1000; ++i)
            ++chosen[*chooseServer(from("b"), sixServers(), {}, stableHash(std::to_string(i))).chosen];
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen.size());
        CPPUNIT_ASSERT(chosen[2] > 400 && chosen[3] > 400);
    }

    // Each engine that a conversation moves to has to process its whole prompt again.
    void conversationsStayOnOneServer()
    {
        ChoiceRequest request = from("a");
        request.engine = true;
        request.promptTokens = 4000;
        request.affinityHash = stableHash("session") | 1U;
        std::set<std::size_t> chosen;
        for (std::uint64_t i = 0; i < 50; ++i) {
            auto servers = sixServers();
            servers[0].running = i % 3;
            chosen.insert(*chooseServer(request, servers, {}, i).chosen);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
    }

    // When a burst fills the preferred server, further calls must not queue there while other servers are free.
    void burstsSpreadWhenWaitingCostsMoreThanPrefill()
    {
        ChoiceRequest request = from("a");
        request.engine = true;
        request.promptTokens = 4000;
        request.affinityHash = stableHash("session") | 1U;
        auto servers = sixServers();
        std::size_t preferred = *chooseServer(request, servers, {}, 0).chosen;
        servers[preferred].running = 12;
        std::size_t next = *chooseServer(request, servers, {}, 0).chosen;
        CPPUNIT_ASSERT(next != preferred);
        CPPUNIT_ASSERT(servers[next].dataCentre == "a");
        for (ServerLoad& server : servers)
            server.running = server.dataCentre == "a" ? 12 : 0;
        CPPUNIT_ASSERT(servers[*chooseServer(request, servers, {}, 0).chosen].dataCentre != "a");
    }

    void remoteServersArePreferredToSlowLocalOnes()
    {
        auto servers = sixServers();
        servers[0].slowness = 5;
        servers[1].slowness = 5;
        CPPUNIT_ASSERT(servers[*chooseServer(from("a"), servers, {}, 0).chosen].dataCentre != "a");
    }

    void unusableServersAreNeverChosen()
    {
        auto servers = sixServers();
        for (ServerLoad& server : servers)
            server.usable = false;
        ServerChoice none = chooseServer(from("a"), servers, {}, 0);
        CPPUNIT_ASSERT(!none.chosen && none.usable == 0);
        servers[4].usable = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), *chooseServer(from("a"), servers, {}, 5).chosen);
        CPPUNIT_ASSERT(!chooseServer(from("a"), {}, {}, 0).chosen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerChoiceTest);

} // namespace lovagecross
