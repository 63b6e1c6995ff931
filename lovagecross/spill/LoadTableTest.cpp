#include "lovagecross/spill/LoadTable.h"

#include "lovagecross/spill/LoadExchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

NodeLoad nodeLoad(const std::string& node, std::uint32_t running, const std::string& dataCentre = "a")
{
    return { node, dataCentre, { { "tool", running, 1, 2, 100, { { "b", 3 } } } } };
}

// Records what is sent to other nodes.
class SendingPeers final : public PeerClient {
public:
    PeerResult request(const std::string&, const PeerRequest&, Duration, const ChunkSink&) override { return {}; }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string& address, const PeerRequest& request) override
    {
        this->sent.emplace_back(address, std::get<LoadReport>(request));
    }
    void failForwardsTo(const std::string&) override { }

    std::vector<std::pair<std::string, LoadReport>> sent;
};

} // namespace

class LoadTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(loadsOfNodesAreAddedUp);
    CPPUNIT_TEST(silentNodeIsLeftOut);
    CPPUNIT_TEST(nothingIsSaidUntilAllNodesWereHeard);
    CPPUNIT_TEST(otherDataCentresComeWithTheirAge);
    CPPUNIT_TEST(unheardDataCentreKeepsItsNumberOfNodes);
    CPPUNIT_TEST(nodesOfTwoRecordNodesAreAddedUp);
    CPPUNIT_TEST(killedRecordNodeIsReplacedWithinOneReport);
    CPPUNIT_TEST(ranksOfADataCentreAreDistinct);
    CPPUNIT_TEST(numberOfEntriesIsLimited);
    CPPUNIT_TEST(onlyHeardLoadsAreSentOn);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    LoadTable table { "record1", this->clock };

    // Lets a table hear a node of the data centre for long enough.
    void warmUp(LoadTable& warmed, const std::string& dataCentre = "a")
    {
        warmed.record({ "first", dataCentre, {} });
        this->clock.advance(LoadTable::completeAfter);
        warmed.record({ "first", dataCentre, {} });
    }

    // Guards against a sum that lacks a field or a node, or counts the former report of a node again.
    void loadsOfNodesAreAddedUp()
    {
        this->warmUp(this->table);
        this->table.record(nodeLoad("e1", 4));
        this->clock.advance(milliseconds(200));
        this->table.record(nodeLoad("e2", 6));
        LoadSummary sum = this->table.summaries().at(0);
        CPPUNIT_ASSERT(sum.load.running == 10 && sum.load.waiting == 2 && sum.load.refusals == 4);
        CPPUNIT_ASSERT(sum.load.callMillis == 100 && sum.nodes == 3 && sum.age == milliseconds(200));
        CPPUNIT_ASSERT(sum.load.sent.size() == 1 && sum.load.sent[0].running == 6);
        this->table.record(nodeLoad("e1", 5)); // replaces the earlier one
        CPPUNIT_ASSERT_EQUAL(11U, this->table.summaries().at(0).load.running);
    }

    // Guards against a node that was killed and counts as load for good.
    void silentNodeIsLeftOut()
    {
        this->warmUp(this->table);
        this->table.record(nodeLoad("e1", 4));
        this->clock.advance(milliseconds(800));
        CPPUNIT_ASSERT(this->table.summaries().empty() && this->table.ownReport().summaries.empty());
        this->table.record(nodeLoad("e2", 6));
        CPPUNIT_ASSERT_EQUAL(10U, this->table.summaries().at(0).load.running);
        this->clock.advance(milliseconds(201));
        LoadSummary sum = this->table.summaries().at(0);
        CPPUNIT_ASSERT(sum.load.running == 6 && sum.nodes == 1 && sum.age == milliseconds(201));
    }

    // Guards against a sum of the first entry nodes alone after a record node's restart, which would show too much
    // room.
    void nothingIsSaidUntilAllNodesWereHeard()
    {
        this->table.record(nodeLoad("e1", 4));
        this->clock.advance(milliseconds(650));
        this->table.record(nodeLoad("e2", 6));
        CPPUNIT_ASSERT(this->table.summaries().empty() && this->table.ownReport().summaries.empty());
        this->clock.advance(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(10U, this->table.summaries().at(0).load.running);
    }

    // Guards against a load of another data centre that seems newer than it is.
    void otherDataCentresComeWithTheirAge()
    {
        LoadTable other("record2", this->clock);
        this->table.record(nodeLoad("e1", 4));
        this->warmUp(other, "b");
        other.record(nodeLoad("f1", 7, "b"));
        this->table.record(nodeLoad("e1", 4));
        this->clock.advance(milliseconds(150));
        this->table.learn(other.ownReport());
        this->clock.advance(milliseconds(250));
        std::vector<LoadSummary> all = this->table.summaries();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), all.size());
        CPPUNIT_ASSERT(all[1].dataCentre == "b" && all[1].age == milliseconds(400) && all[1].load.running == 7);
        // What was learned is not sent on, so it can't go round with a new age.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->table.ownReport().summaries.size());
    }

    // Guards against using the part of the room that belongs to nodes of a data centre that can't be heard: they may
    // still send to a third one.
    void unheardDataCentreKeepsItsNumberOfNodes()
    {
        LoadTable other("record2", this->clock);
        this->warmUp(other, "b");
        other.record(nodeLoad("f1", 7, "b"));
        this->table.learn(other.ownReport());
        this->clock.advance(seconds(10));
        LoadSummary summary = this->table.summaries().at(0);
        CPPUNIT_ASSERT(summary.nodes == 2 && summary.age == seconds(10));
        this->clock.advance(seconds(21));
        CPPUNIT_ASSERT(this->table.summaries().empty());
    }

    // Guards against the load of one half of the nodes for that of all, while each half reaches another record node.
    void nodesOfTwoRecordNodesAreAddedUp()
    {
        LoadTable second("record2", this->clock);
        this->table.record(nodeLoad("e1", 4));
        this->warmUp(second);
        second.record(nodeLoad("e2", 7));
        this->table.record(nodeLoad("e1", 4));
        this->table.learn(second.ownReport());
        LoadSummary sum = this->table.summaries().at(0);
        CPPUNIT_ASSERT(sum.load.running == 11 && sum.nodes == 3);
    }

    // Guards against the last report of a killed record node that hides or doubles the loads which its successor gets.
    void killedRecordNodeIsReplacedWithinOneReport()
    {
        LoadTable killed("record0", this->clock);
        this->warmUp(killed);
        killed.record(nodeLoad("e1", 4));
        this->table.learn(killed.ownReport());
        for (int i = 0; i < 8; ++i) {
            this->table.record(nodeLoad("e1", 4));
            std::vector<LoadSummary> all = this->table.summaries();
            CPPUNIT_ASSERT(all.size() == 1 && all[0].load.running == 4);
            this->clock.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(1U, this->table.summaries().at(0).nodes);
    }

    // Guards against two nodes with one rank, which would both take the same part of the room.
    void ranksOfADataCentreAreDistinct()
    {
        for (const char* node : { "e3", "e1", "e2" })
            this->table.record(nodeLoad(node, 1));
        this->table.record(nodeLoad("d1", 1, "b"));
        std::set<std::uint32_t> ranks;
        for (const char* node : { "e1", "e2", "e3" })
            ranks.insert(this->table.rankOf(nodeLoad(node, 1)));
        CPPUNIT_ASSERT(ranks == std::set<std::uint32_t>({ 0, 1, 2 }));
        // Before the limits of the former ranks are reported, the next ranks would get the same part once more.
        this->clock.advance(LoadTable::rankTurn * 3 / 4);
        this->table.record(nodeLoad("e1", 1));
        CPPUNIT_ASSERT_EQUAL(noRank, this->table.rankOf(nodeLoad("e1", 1)));
    }

    // Guards against peers that fill the memory.
    void numberOfEntriesIsLimited()
    {
        for (std::size_t i = 0; i < LoadTable::maxReporters + 10; ++i) {
            LoadSummary summary { "d" + std::to_string(i), { "tool" }, 1, Duration(0) };
            LoadReport report { "r" + std::to_string(i), {} };
            for (int service = 0; service < 8; ++service) {
                summary.load.service = "tool" + std::to_string(service);
                report.summaries.push_back(summary);
            }
            this->table.learn(report);
        }
        CPPUNIT_ASSERT_EQUAL(LoadTable::maxSummaries, this->table.summaries().size());
    }

    // Guards against reports of record nodes that no entry node reports to.
    void onlyHeardLoadsAreSentOn()
    {
        SendingPeers peers;
        LoadExchange exchange(peers, this->table, [] { return std::vector<std::string> { "r2", "r3" }; });
        exchange.step();
        CPPUNIT_ASSERT(peers.sent.empty());
        this->warmUp(this->table);
        this->table.record(nodeLoad("e1", 4));
        CPPUNIT_ASSERT(exchange.step() == LoadExchange::stepInterval);
        CPPUNIT_ASSERT(peers.sent.size() == 2 && peers.sent[1].first == "r3");
        CPPUNIT_ASSERT(peers.sent[0].second.from == "record1" && peers.sent[0].second.summaries.size() == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTableTest);

} // namespace lovagecross
