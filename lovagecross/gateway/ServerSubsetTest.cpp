#include "lovagecross/gateway/ServerSubset.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <set>

namespace lovagecross {

namespace {

std::vector<std::string> named(const std::string& prefix, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(prefix + std::to_string(i));
    return names;
}

std::set<std::pair<std::string, std::string>> pairsOf(
    const std::vector<std::string>& nodes, const std::vector<std::string>& servers)
{
    std::set<std::pair<std::string, std::string>> pairs;
    auto subsets = assignSubsets(nodes, servers, ServerSubset::size);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (std::size_t server : subsets[i])
            pairs.emplace(nodes[i], servers[server]);
    }
    return pairs;
}

// Returns how many of the first pairs are not among the second.
std::size_t lost(const std::set<std::pair<std::string, std::string>>& before,
    const std::set<std::pair<std::string, std::string>>& after)
{
    return static_cast<std::size_t>(
        std::count_if(before.begin(), before.end(), [&](const auto& pair) { return after.count(pair) == 0; }));
}

} // namespace

class ServerSubsetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerSubsetTest);
    CPPUNIT_TEST(serversAreInEquallyManySubsets);
    CPPUNIT_TEST(changesMoveLittle);
    CPPUNIT_TEST(fewServersAreAllUsed);
    CPPUNIT_TEST(nodesAgreeOnTheSubsets);
    CPPUNIT_TEST(nodesCountForAWhile);
    CPPUNIT_TEST_SUITE_END();

    // A server that is in more subsets than others is overloaded while others are idle.
    void serversAreInEquallyManySubsets()
    {
        for (std::size_t nodes : { 3, 8, 30, 91, 300 }) {
            for (std::size_t servers : { 18, 30, 100 }) {
                std::vector<std::size_t> uses(servers, 0);
                for (const auto& subset : assignSubsets(named("n", nodes), named("s", servers), ServerSubset::size)) {
                    CPPUNIT_ASSERT_EQUAL(ServerSubset::size, subset.size());
                    CPPUNIT_ASSERT_EQUAL(subset.size(), std::set<std::size_t>(subset.begin(), subset.end()).size());
                    for (std::size_t server : subset)
                        ++uses[server];
                }
                auto [fewest, most] = std::minmax_element(uses.begin(), uses.end());
                double mean = static_cast<double>(nodes * ServerSubset::size) / static_cast<double>(servers);
                std::cout << "\n  " << nodes << " nodes, " << servers << " servers: in " << *fewest << " to " << *most
                          << " subsets, mean " << mean << std::flush;
                CPPUNIT_ASSERT(static_cast<double>(*most) < mean + 1);
            }
        }
    }

    // Each server that a subset loses costs a connection, and each that it gains another one.
    void changesMoveLittle()
    {
        for (std::size_t nodes : { 3, 30, 300 }) {
            auto servers = named("s", 30);
            auto before = pairsOf(named("n", nodes), servers);
            auto ofNode = lost(before, pairsOf(named("n", nodes + 1), servers));
            auto fewer = servers;
            fewer.pop_back();
            auto ofServer = lost(before, pairsOf(named("n", nodes), fewer));
            std::cout << "\n  " << nodes << " nodes, 30 servers, " << before.size() << " pairs: a node more moves "
                      << ofNode << ", a server less " << ofServer << std::flush;
            CPPUNIT_ASSERT(ofNode <= std::max<std::size_t>(2 * ServerSubset::size, before.size() / 10));
            CPPUNIT_ASSERT(ofServer <= std::max<std::size_t>(2 * ServerSubset::size, before.size() / 8));
        }
    }

    static std::vector<const ServerEntry*> pointersTo(const std::vector<ServerEntry>& entries)
    {
        std::vector<const ServerEntry*> pointers;
        pointers.reserve(entries.size());
        for (const ServerEntry& entry : entries)
            pointers.push_back(&entry);
        return pointers;
    }

    static std::vector<ServerEntry> entriesIn(const std::string& dataCentre, std::size_t count)
    {
        std::vector<ServerEntry> entries(count);
        for (std::size_t i = 0; i < count; ++i) {
            entries[i].id = "s" + std::to_string(i);
            entries[i].dataCentre = dataCentre;
        }
        return entries;
    }

    // Guards against idle servers in a data centre that has few of them.
    void fewServersAreAllUsed()
    {
        ServerSubset subset("n0", "a");
        auto alone = entriesIn("a", ServerSubset::minServers);
        CPPUNIT_ASSERT_EQUAL(alone.size(), subset.select("s", pointersTo(alone)).size());
        subset.addNodes(named("n", 30), TimePoint());
        auto few = entriesIn("a", ServerSubset::minServers - 1);
        CPPUNIT_ASSERT_EQUAL(few.size(), subset.select("s", pointersTo(few)).size());
        auto many = entriesIn("a", ServerSubset::minServers);
        CPPUNIT_ASSERT_EQUAL(ServerSubset::size, subset.select("s", pointersTo(many)).size());
        auto elsewhere = entriesIn("b", ServerSubset::minServers);
        CPPUNIT_ASSERT_EQUAL(ServerSubset::size, subset.select("s", pointersTo(elsewhere)).size());
        CPPUNIT_ASSERT(subset.select("s", {}).empty());
    }

    // Record nodes name only some of the nodes each time; a subset that follows each answer would change all the time.
    void nodesCountForAWhile()
    {
        ServerSubset subset("n0", "a");
        auto entries = entriesIn("a", 24);
        TimePoint now;
        for (const std::string& name : named("n", 30))
            subset.addNodes({ name }, now);
        auto before = subset.select("s", pointersTo(entries));
        subset.addNodes({ "n3" }, now + ServerSubset::nodeLifetime);
        CPPUNIT_ASSERT(before == subset.select("s", pointersTo(entries)));
        subset.addNodes({ "n3" }, now + 2 * ServerSubset::nodeLifetime);
        CPPUNIT_ASSERT_EQUAL(entries.size(), subset.select("s", pointersTo(entries)).size());
    }

    // Nodes that order the names differently must not get subsets of different assignments.
    void nodesAgreeOnTheSubsets()
    {
        auto entries = entriesIn("a", 24);
        auto nodes = named("n", 24);
        std::vector<int> uses(entries.size(), 0);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            ServerSubset subset("n" + std::to_string(i), "a");
            std::reverse(nodes.begin(), nodes.end());
            subset.addNodes(nodes, TimePoint());
            for (std::size_t server : subset.select("s", pointersTo(entries)))
                ++uses[server];
        }
        CPPUNIT_ASSERT_EQUAL(8, *std::max_element(uses.begin(), uses.end()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSubsetTest);

} // namespace lovagecross
