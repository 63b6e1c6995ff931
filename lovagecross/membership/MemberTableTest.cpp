#include "lovagecross/membership/MemberTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <set>

namespace lovagecross {

namespace {

MemberEntry entryOf(const std::string& node, std::uint64_t incarnation = 1, std::uint64_t heartbeat = 1)
{
    return { { node, incarnation }, "lodz1", heartbeat, "10.0.0.1:1", "", "", 0, false, {} };
}

// Simulates nodes that gossip once a second. Each contacted node answers with its own digest. Nodes can be stopped and
// separated by a network partition.
struct Fleet {
    Fleet(std::size_t size, std::uint64_t seed, std::size_t dataCentres = 1)
        : random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            MemberEntry self = entryOf("n" + std::to_string(i), seed + i);
            self.dataCentre = "dc" + std::to_string(i % dataCentres);
            self.heartbeat = 0;
            this->tables.emplace_back(self, MembershipSettings {}, this->random());
            this->up.push_back(true);
            this->partition.push_back(0);
        }
        for (std::size_t i = 1; i < size; ++i) // node 0 is the initial contact of all others
            this->exchange(i, 0);
    }

    void exchange(std::size_t from, std::size_t to)
    {
        TimePoint now = this->clock.now();
        std::vector<MemberEntry> request = this->tables[from].digest(now);
        ++this->requestCount;
        this->largestDigest = std::max(this->largestDigest, request.size());
        if (!this->up[to] || this->partition[from] != this->partition[to])
            return;
        this->tables[to].merge(request, now);
        std::vector<MemberEntry> answer = this->tables[to].digest(now);
        this->largestDigest = std::max(this->largestDigest, answer.size());
        this->tables[from].merge(answer, now);
    }

    void runOneSecond()
    {
        this->clock.advance(std::chrono::seconds(1));
        for (std::size_t i = 0; i < this->tables.size(); ++i) {
            if (!this->up[i])
                continue;
            auto peer = this->tables[i].nextGossipPeer(this->clock.now());
            if (peer)
                this->exchange(i, std::stoul(peer->node.node.substr(1)));
        }
    }

    std::size_t countNotDead(std::size_t viewer) const
    {
        std::size_t found = 0;
        for (const MemberView& view : this->tables[viewer].members(this->clock.now()))
            found += view.state == MemberState::Dead ? 0 : 1;
        return found;
    }

    // Returns the seconds until every running node sees `expected` nodes that aren't dead, or `limit` + 1 if it takes
    // longer.
    int secondsUntilAllSee(std::size_t expected, int limit)
    {
        for (int seconds = 0; seconds <= limit; ++seconds) {
            bool all = true;
            for (std::size_t i = 0; i < this->tables.size(); ++i)
                all = all && (!this->up[i] || this->countNotDead(i) == expected);
            if (all)
                return seconds;
            this->runOneSecond();
        }
        return limit + 1;
    }

    // Returns the seconds until every running node considers `node` dead, or `limit` + 1 if it takes longer.
    int secondsUntilDead(std::size_t node, int limit)
    {
        std::string name = "n" + std::to_string(node);
        for (int seconds = 0; seconds <= limit; ++seconds) {
            bool all = true;
            for (std::size_t i = 0; i < this->tables.size(); ++i)
                all = all
                    && (!this->up[i] || this->tables[i].find(name, this->clock.now())->state == MemberState::Dead);
            if (all)
                return seconds;
            this->runOneSecond();
        }
        return limit + 1;
    }

    std::mt19937_64 random;
    ManualClock clock;
    std::deque<MemberTable> tables;
    std::vector<bool> up;
    std::vector<int> partition;
    std::size_t requestCount = 0;
    std::size_t largestDigest = 0;
};

} // namespace

class MemberTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemberTableTest);
    CPPUNIT_TEST(newerHeartbeatWins);
    CPPUNIT_TEST(silenceMakesSuspectThenDeadThenForgotten);
    CPPUNIT_TEST(restartedNodeReplacesItsOldIncarnation);
    CPPUNIT_TEST(malformedEntriesAreDropped);
    CPPUNIT_TEST(sizeIsBounded);
    CPPUNIT_TEST(digestHoldsSelfAndEveryOtherInTurn);
    CPPUNIT_TEST(deadNodesAreNotPassedOn);
    CPPUNIT_TEST(peersAreVisitedInRounds);
    CPPUNIT_TEST(shardHolderHasTheHighestEpoch);
    CPPUNIT_TEST(standbyCandidatesAreAliveAndDifferByShard);
    CPPUNIT_TEST(fleetsFindAllAndTheDead);
    CPPUNIT_TEST(healedPartitionRejoins);
    CPPUNIT_TEST(otherDataCentresStayVisible);
    CPPUNIT_TEST_SUITE_END();

    TimePoint start {};
    MemberTable table { entryOf("self"), {}, 1 };

    std::string stateOf(const std::string& node, TimePoint now)
    {
        auto view = this->table.find(node, now);
        return view ? std::string(memberStateNames.name(view->state)) : "none";
    }

    void newerHeartbeatWins()
    {
        MemberEntry newer = entryOf("a", 1, 5);
        newer.configVersion = 2;
        this->table.merge({ newer, entryOf("a", 1, 4), entryOf("self", 9, 99) }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), this->table.find("a", this->start)->entry.configVersion);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->table.find("self", this->start)->entry.node.incarnation);
        this->table.merge({ entryOf("a", 1, 6) }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->table.find("a", this->start)->entry.configVersion);
    }

    // Receiving an entry again without a higher heartbeat must not keep a dead node alive.
    void silenceMakesSuspectThenDeadThenForgotten()
    {
        using namespace std::chrono_literals;
        for (Duration time = 0s; time < 10s; time += 1s) {
            this->table.merge({ entryOf("a") }, this->start + time);
            CPPUNIT_ASSERT_EQUAL(std::string(time < 3s ? "alive" : "suspect"), this->stateOf("a", this->start + time));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), this->stateOf("a", this->start + 10s));
        this->table.recordContact({ "a", 2 }, this->start + 10s); // another incarnation
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), this->stateOf("a", this->start + 10s));
        this->table.recordContact({ "a", 1 }, this->start + 10s);
        CPPUNIT_ASSERT_EQUAL(std::string("alive"), this->stateOf("a", this->start + 10s));
        this->table.merge({}, this->start + 310s);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), this->stateOf("a", this->start + 310s));
    }

    // Delayed entries of a process before its restart must neither replace the new incarnation nor count as activity.
    void restartedNodeReplacesItsOldIncarnation()
    {
        using namespace std::chrono_literals;
        this->table.merge({ entryOf("a", 1, 500) }, this->start);
        this->table.merge({ entryOf("a", 2, 1) }, this->start + 1s);
        this->table.merge({ entryOf("a", 1, 499), entryOf("a", 1, 500) }, this->start + 20s);
        auto view = this->table.find("a", this->start + 20s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), view->entry.node.incarnation);
        CPPUNIT_ASSERT(view->state == MemberState::Dead);
        // Incarnations received in the wrong order: the one whose heartbeat keeps increasing wins.
        this->table.merge({ entryOf("b", 2, 1) }, this->start);
        this->table.merge({ entryOf("b", 1, 900) }, this->start);
        this->table.merge({ entryOf("b", 2, 2) }, this->start);
        this->table.merge({ entryOf("b", 1, 900) }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), this->table.find("b", this->start)->entry.node.incarnation);
    }

    void malformedEntriesAreDropped()
    {
        std::vector<MemberEntry> malformed { entryOf(""), entryOf("A"), entryOf("a/b"), entryOf(std::string(33, 'a')) };
        for (int i = 0; i < 4; ++i)
            malformed.push_back(entryOf("ok"));
        malformed[4].dataCentre = "dc 1";
        malformed[5].peerAddress.clear();
        malformed[6].callerAddress.assign(65, '1');
        malformed[7].shards.push_back({ maxShardsPerDataCentre, 1 });
        this->table.merge(malformed, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->table.members(this->start).size());
    }

    void sizeIsBounded()
    {
        using namespace std::chrono_literals;
        MembershipSettings settings;
        settings.maxMembers = 10;
        settings.maxContacts = 2;
        MemberTable small(entryOf("self"), settings, 1);
        std::vector<MemberEntry> entries;
        for (int i = 0; i < 30; ++i) {
            entries.push_back(entryOf("r" + std::to_string(i)));
            entries.back().dataCentre = "dc2";
        }
        small.merge(entries, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), small.members(this->start).size());
        for (int i = 0; i < 30; ++i)
            small.merge({ entryOf("a" + std::to_string(i)) }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), small.members(this->start).size());
        small.merge({ entryOf("late") }, this->start + 60s); // replaces a dead node
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), small.members(this->start + 60s).size());
        CPPUNIT_ASSERT(small.find("late", this->start + 60s));
    }

    void digestHoldsSelfAndEveryOtherInTurn()
    {
        for (int i = 0; i < 30; ++i)
            this->table.merge({ entryOf("a" + std::to_string(i)) }, this->start);
        std::set<std::string> sent;
        std::uint64_t heartbeat = 0;
        for (int i = 0; i < 2; ++i) {
            std::vector<MemberEntry> entries = this->table.digest(this->start);
            CPPUNIT_ASSERT_EQUAL(maxGossipEntries, entries.size());
            CPPUNIT_ASSERT(entries[0].node.node == "self" && entries[0].heartbeat > heartbeat);
            heartbeat = entries[0].heartbeat;
            for (const MemberEntry& entry : entries)
                sent.insert(entry.node.node);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(31), sent.size());
    }

    void deadNodesAreNotPassedOn()
    {
        this->table.merge({ entryOf("a") }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->table.digest(this->start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->table.digest(this->start + std::chrono::seconds(10)).size());
    }

    // Each live node must be chosen once per round, and every fourth peer must be a dead node, so that it is noticed
    // when it returns.
    void peersAreVisitedInRounds()
    {
        CPPUNIT_ASSERT(!this->table.nextGossipPeer(this->start));
        this->table.merge({ entryOf("gone") }, this->start);
        TimePoint now = this->start + std::chrono::seconds(20);
        for (int i = 0; i < 6; ++i)
            this->table.merge({ entryOf("a" + std::to_string(i)) }, now);
        for (int round = 0; round < 3; ++round) {
            std::multiset<std::string> visited;
            for (int i = 0; i < 8; ++i)
                visited.insert(this->table.nextGossipPeer(now)->node.node);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), visited.count("gone"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(7), std::set<std::string>(visited.begin(), visited.end()).size());
        }
    }

    void shardHolderHasTheHighestEpoch()
    {
        MemberEntry old = entryOf("a");
        old.shards = { { 2, 5 } };
        MemberEntry current = entryOf("b");
        current.shards = { { 1, 9 }, { 2, 6 } };
        this->table.merge({ current, old }, this->start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), this->table.shardHolder({ "lodz1", 2 }, this->start)->entry.node.node);
        CPPUNIT_ASSERT(!this->table.shardHolder({ "lodz1", 3 }, this->start));
        CPPUNIT_ASSERT(!this->table.shardHolder({ "lodz2", 2 }, this->start));
    }

    void standbyCandidatesAreAliveAndDifferByShard()
    {
        this->table.merge({ entryOf("dead") }, this->start);
        TimePoint now = this->start + std::chrono::seconds(20);
        MemberEntry draining = entryOf("draining");
        draining.draining = true;
        this->table.merge({ draining, entryOf("a"), entryOf("b"), entryOf("c"), entryOf("d") }, now);
        std::set<std::string> first;
        for (std::uint32_t shard = 0; shard < maxShardsPerDataCentre; ++shard) {
            auto candidates = this->table.standbyCandidates({ "lodz1", shard }, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), candidates.size());
            first.insert(candidates[0].entry.node.node);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first.size());
    }

    // The limits are based on measurements with 200 seeds. Until all nodes see all others: at most 15 s with 32 nodes.
    // Until all nodes see that a node is dead: at most 15 s with 16 nodes and 23 s with 32. Views that wrongly show a
    // node as dead within 100 s: none with 16 nodes and fewer, at most 10 of 102,400 with 32.
    void fleetsFindAllAndTheDead()
    {
        constexpr int discoveryLimit = 20;
        constexpr int detectionLimit = 25;
        constexpr std::size_t allowedWronglyDead = 20;
        for (std::size_t size : { 3U, 8U, 16U, 32U }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                std::string what = std::to_string(size) + " nodes, seed " + std::to_string(seed);
                Fleet fleet(size, seed);
                CPPUNIT_ASSERT_MESSAGE(what, fleet.secondsUntilAllSee(size, discoveryLimit) <= discoveryLimit);
                fleet.requestCount = 0;
                std::size_t wronglyDead = 0;
                for (int second = 0; second < 100; ++second) {
                    fleet.runOneSecond();
                    for (std::size_t node = 0; node < size; ++node)
                        wronglyDead += size - fleet.countNotDead(node);
                }
                CPPUNIT_ASSERT_MESSAGE(what, wronglyDead <= (size > maxGossipEntries ? allowedWronglyDead : 0));
                CPPUNIT_ASSERT_MESSAGE(what, fleet.requestCount <= 100 * size);
                CPPUNIT_ASSERT_MESSAGE(what, fleet.largestDigest <= maxGossipEntries);
                fleet.up[1] = false;
                CPPUNIT_ASSERT_MESSAGE(what, fleet.secondsUntilDead(1, detectionLimit) <= detectionLimit);
            }
        }
    }

    void healedPartitionRejoins()
    {
        for (std::size_t size : { 8U, 32U }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                std::string what = std::to_string(size) + " nodes, seed " + std::to_string(seed);
                Fleet fleet(size, seed);
                fleet.secondsUntilAllSee(size, 20);
                for (std::size_t i = 0; i < size; i += 2)
                    fleet.partition[i] = 1;
                CPPUNIT_ASSERT_MESSAGE(what, fleet.secondsUntilAllSee(size / 2, 40) <= 40);
                fleet.partition.assign(size, 0);
                CPPUNIT_ASSERT_MESSAGE(what, fleet.secondsUntilAllSee(size, 20) <= 20);
            }
        }
    }

    void otherDataCentresStayVisible()
    {
        Fleet fleet(24, 1, 3);
        CPPUNIT_ASSERT(fleet.secondsUntilAllSee(24, 30) <= 30);
        for (int second = 0; second < 300; ++second) {
            fleet.runOneSecond();
            for (std::size_t node = 0; node < 24; ++node)
                CPPUNIT_ASSERT_EQUAL(std::size_t(24), fleet.countNotDead(node));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);

} // namespace lovagecross
