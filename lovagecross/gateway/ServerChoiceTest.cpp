#include "lovagecross/gateway/ServerChoice.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <string>

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

ChoiceRequest turnOf(std::string_view program, std::string_view firstPart)
{
    ChoiceRequest request = from("a");
    request.engine = true;
    request.promptTokens = 4000;
    request.affinityHash = stableHash(program) | 1U;
    request.prefixHash = stableHash(firstPart) | 1U;
    request.prefixTokens = 2500;
    return request;
}

const std::vector<std::string>& engineNames()
{
    static const std::vector<std::string> ids = [] {
        constexpr int count = 36;
        std::vector<std::string> made;
        made.reserve(count);
        for (int i = 0; i < count; ++i)
            made.push_back("engine" + std::to_string(i));
        return made;
    }();
    return ids;
}

// Twelve engines in each of three data centres.
std::vector<ServerLoad> manyEngines()
{
    static const std::vector<std::string> dataCentres { "a", "b", "c" };
    std::vector<ServerLoad> servers(engineNames().size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = engineNames()[i];
        servers[i].dataCentre = dataCentres[i % 3];
        servers[i].slots = 24;
    }
    return servers;
}

} // namespace

class ServerChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerChoiceTest);
    CPPUNIT_TEST(idleLocalServersShareTheLoad);
    CPPUNIT_TEST(conversationsStayOnOneServer);
    CPPUNIT_TEST(promptsWithTheSameFirstPartShareFewEngines);
    CPPUNIT_TEST(callsLeaveABusyEngineForTheNextInRank);
    CPPUNIT_TEST(programsStayWhereTheirHistoryIs);
    CPPUNIT_TEST(callsStayInTheWantedDataCentre);
    CPPUNIT_TEST(programsThatLeaveKeepTheEnginesOfTheirPrompt);
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

    // Each engine that gets a prompt with a new first part has to read that part, which is most of a short prompt.
    void promptsWithTheSameFirstPartShareFewEngines()
    {
        std::map<std::string_view, int> chosen;
        auto servers = manyEngines();
        for (int i = 0; i < 200; ++i)
            ++chosen[servers[*chooseServer(turnOf("program" + std::to_string(i), "part"), servers, {}, i).chosen].id];
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), chosen.size()); // of 12 in the data centre
        for (const auto& [id, calls] : chosen)
            CPPUNIT_ASSERT(calls > 15);
    }

    // If nodes left a busy engine for different ones, each of these would read the whole prompt.
    void callsLeaveABusyEngineForTheNextInRank()
    {
        std::set<std::string_view> next;
        for (std::uint64_t i = 0; i < 20; ++i) {
            auto servers = manyEngines();
            std::rotate(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(i), servers.end());
            std::size_t preferred = *chooseServer(turnOf("program", "part"), servers, {}, i).chosen;
            servers[preferred].running = 60;
            ServerChoice choice = chooseServer(turnOf("program", "part"), servers, {}, i);
            CPPUNIT_ASSERT(choice.reason == ChoiceReason::NextInRank && choice.chosen != preferred);
            next.insert(servers[*choice.chosen].id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.size());
    }

    // After a turn has left the preferred engine, going back would read the prompt a second time.
    void programsStayWhereTheirHistoryIs()
    {
        for (std::size_t i = 0; i < 36; i += 3) {
            auto servers = manyEngines();
            servers[i].cachedTokens = 3500;
            ServerChoice choice = chooseServer(turnOf("program", "part"), servers, {}, i);
            CPPUNIT_ASSERT(choice.chosen == i && choice.reason == ChoiceReason::Preferred);
        }
    }

    // Traffic between data centres must not follow from a short burst.
    void callsStayInTheWantedDataCentre()
    {
        for (bool engine : { true, false }) {
            ChoiceRequest request = turnOf("program", "part");
            request.engine = engine;
            request.wantedDataCentre = "a";
            auto servers = manyEngines();
            for (std::size_t i = 0; i < servers.size(); i += 3)
                servers[i].running = 100;
            CPPUNIT_ASSERT(servers[*chooseServer(request, servers, {}, 1).chosen].dataCentre == "a");
            for (std::size_t i = 0; i < servers.size(); i += 3)
                servers[i].usable = false;
            CPPUNIT_ASSERT(servers[*chooseServer(request, servers, {}, 1).chosen].dataCentre != "a");
        }
    }

    // Guards against calls that leave their data centre and there read each shared part at every engine.
    void programsThatLeaveKeepTheEnginesOfTheirPrompt()
    {
        auto servers = manyEngines();
        std::set<std::size_t> used;
        for (int i = 0; i < 1000; ++i) {
            ChoiceRequest request = turnOf("program" + std::to_string(i), "part");
            request.wantedDataCentre = "b";
            std::size_t first = *chooseServer(request, servers, {}, 1).chosen;
            CPPUNIT_ASSERT_EQUAL(first, *chooseServer(request, servers, {}, 2).chosen);
            CPPUNIT_ASSERT_EQUAL(std::string_view("b"), servers[first].dataCentre);
            used.insert(first);
        }
        constexpr std::size_t prefixEngines = 4; // prefixEngineShare of the 12 engines, rounded
        CPPUNIT_ASSERT_EQUAL(prefixEngines, used.size());
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
