#include "lovagecross/daemon/Spill.h"

#include "lovagecross/sharing/DirectoryPublisher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

// A record node without a network.
class RecordNodePeers final : public PeerClient {
public:
    RecordNodePeers(const Directory& ownDirectory, LoadTable& ownLoads)
        : directory(ownDirectory)
        , loads(ownLoads)
    {
    }

    PeerResult request(const std::string&, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        const auto& fetch = std::get<DirectoryFetch>(request);
        DirectoryUpdate update = answerDirectoryFetch(this->directory, fetch);
        if (!this->isOlderBuild)
            addLoads(this->loads, fetch.load, update);
        return { PeerStatus::Ok, std::move(update) };
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string&, const PeerRequest&) override { }
    void failForwardsTo(const std::string&) override { }

    bool isOlderBuild = false;

private:
    const Directory& directory;
    LoadTable& loads;
};

ServerEntry serverIn(const std::string& dataCentre)
{
    ServerEntry entry;
    entry.id = "server-" + dataCentre;
    entry.service = "tool";
    entry.address = "127.0.0.1:1";
    entry.dataCentre = dataCentre;
    entry.slots = 10;
    return entry;
}

} // namespace

class SpillWiringTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpillWiringTest);
    CPPUNIT_TEST(loadsReachTheDecision);
    CPPUNIT_TEST(olderRecordNodeGivesNoKnowledge);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    Counters counters;
    Directory directory { this->clock };
    ServerStatistics statistics { this->clock, "a" };
    LoadTable loads { "record1", this->clock };
    RecordNodePeers peers { this->directory, this->loads };
    Spill spill { { "e1", "a" }, this->clock, this->counters, this->directory, this->statistics };

    // Twenty calls run on the ten slots here; an entry node of the other data centre has none.
    SpillReason decideUnderFlood()
    {
        this->directory.replaceServers({ serverIn("a"), serverIn("b") }, 1);
        ChoiceRequest request;
        request.wantedDataCentre = "a";
        for (int i = 0; i < 20; ++i)
            this->statistics.choose(this->directory.view()->serversOf("tool"), request, {}, {});
        DirectoryFollowerSettings settings { directoryTimesFor(std::chrono::seconds(2)) };
        this->spill.addTo(settings);
        DirectoryFollower follower(
            settings, this->peers, this->directory,
            [](const std::string&) { return std::optional<GatewayConfiguration>(); }, this->clock);
        for (int i = 0; i < 12; ++i) {
            this->loads.record({ "f1", "b", { { "tool" } } });
            follower.step({ "record1" });
            this->clock.advance(milliseconds(300));
        }
        this->spill.step();
        return this->spill.control().decisionOf("tool").reason;
    }

    // Guards against a load that is measured by the entry node, but not sent, added up, returned or learned.
    void loadsReachTheDecision()
    {
        CPPUNIT_ASSERT(this->decideUnderFlood() == SpillReason::Pays);
        SpillDecision decision = this->spill.control().decisionOf("tool");
        CPPUNIT_ASSERT(decision.share > 0 && decision.targets.at(0).dataCentre == "b");
        CPPUNIT_ASSERT_EQUAL(8U, decision.targets.at(0).limit);
    }

    // Guards against calls that leave their data centre without knowledge of the others' load, while record nodes still
    // run an older build.
    void olderRecordNodeGivesNoKnowledge()
    {
        this->peers.isOlderBuild = true;
        this->decideUnderFlood();
        CPPUNIT_ASSERT(!this->spill.control().mayLeave("tool", 1, {}));
        CPPUNIT_ASSERT(this->spill.control().decisionOf("tool").share == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillWiringTest);

} // namespace lovagecross
