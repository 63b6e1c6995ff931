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
    CPPUNIT_TEST(idleServersOfTheOwnDataCentreShareTheLoad);
    CPPUNIT_TEST(conversationsStayWithOneServerFromEveryNode);
    CPPUNIT_TEST(burstsSpreadWhenWaitingCostsMoreThanReading);
    CPPUNIT_TEST(slowServersLoseToFarOnes);
    CPPUNIT_TEST(unusableServersAreNeverChosen);
    CPPUNIT_TEST(manyNodesWithOldLoadsQueueLess);
    CPPUNIT_TEST_SUITE_END();

    void idleServersOfTheOwnDataCentreShareTheLoad()
    {
        std::map<std::size_t, int> chosen;
        for (std::uint64_t i = 0; i < 1000; ++i)
            ++chosen[*chooseServer(from("b"), sixServers(), {}, stableHash(std::to_string(i))).chosen];
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen.size());
        CPPUNIT_ASSERT(chosen[2] > 400 && chosen[3] > 400);
    }

    // A conversation that wanders is read again by each engine.
    void conversationsStayWithOneServerFromEveryNode()
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

    // In a burst the preferred server fills up; the next calls must not queue behind it while others are free.
    void burstsSpreadWhenWaitingCostsMoreThanReading()
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

    void slowServersLoseToFarOnes()
    {
        auto servers = sixServers();
        servers[0].slowness = 5;
        servers[1].slowness = 5;
        CPPUNIT_ASSERT(servers[*chooseServer(from("a"), servers, {}, 0).chosen].dataCentre != "a");
    }

    // 45 engines with 8 slots at three quarters of their capacity, turns of conversations from many nodes. Returns the
    // share of turns that have to queue. Loads are told every 300 ms; without `shared`, nodes know nothing of each
    // other.
    static double meanWait(bool shared)
    {
        constexpr int engines = 45;
        constexpr int slots = 8;
        constexpr int stepMillis = 5;
        constexpr int heldMillis = 260;
        constexpr double turnsPerStep = 0.75 * engines * slots * stepMillis / heldMillis;
        std::vector<std::string> ids;
        std::vector<ServerLoad> loads(engines);
        for (int i = 0; i < engines; ++i)
            ids.push_back("engine-" + std::to_string(i));
        std::vector<int> running(engines, 0);
        std::multimap<int, int> ends; // by step: the engine
        double due = 0;
        int turns = 0;
        double waited = 0;
        for (int step = 0; step < 4000; ++step) {
            while (!ends.empty() && ends.begin()->first <= step) {
                --running[static_cast<std::size_t>(ends.begin()->second)];
                ends.erase(ends.begin());
            }
            for (int i = 0; i < engines && step % 60 == 0; ++i) {
                auto index = static_cast<std::size_t>(i);
                loads[index].id = ids[index];
                loads[index].dataCentre = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
                loads[index].slots = slots;
                loads[index].meanHeldMillis = heldMillis;
                loads[index].meanCallMillis = 60;
                loads[index].running = shared ? static_cast<std::uint32_t>(running[index]) : 0;
            }
            for (due += turnsPerStep; due >= 1; --due, ++turns) {
                auto seed = stableHash(std::to_string(turns));
                ChoiceRequest request;
                request.dataCentre = seed % 3 == 0 ? "a" : seed % 3 == 1 ? "b" : "c";
                request.engine = true;
                request.promptTokens = 4000;
                // A conversation has a turn every 500 ms.
                request.affinityHash = stableHash("session-" + std::to_string(turns % 400 + 400 * (turns / 4000))) | 1U;
                std::size_t chosen = *chooseServer(request, loads, {}, seed).chosen;
                int wait = std::max(0, running[chosen] - slots + 1) * heldMillis / slots;
                waited += wait;
                ++running[chosen];
                ends.emplace(step + (heldMillis + wait) / stepMillis, static_cast<int>(chosen));
            }
        }
        return waited / turns;
    }

    // Conversations are spread by hash, so some engines had a queue while others were half empty.
    void manyNodesWithOldLoadsQueueLess()
    {
        double alone = meanWait(false);
        double together = meanWait(true);
        std::fprintf(stderr, "alone %f together %f\n", alone, together);
        CPPUNIT_ASSERT(together < alone * 0.7);
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
