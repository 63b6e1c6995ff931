// Tests record nodes together with a client, over an in-process loopback network.

#include "lovagecross/records/RecordStoreFixture.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

} // namespace

class RecordStoreTest : public RecordStoreFixture {
    CPPUNIT_TEST_SUITE(RecordStoreTest);
    CPPUNIT_TEST(budgetHoldsOverEveryMajority);
    CPPUNIT_TEST(turnsSurviveALostDisk);
    CPPUNIT_TEST(unknownTurnIsAbsentOnlyWhenAllSaySo);
    CPPUNIT_TEST(continuedTurnIsReadFromOneNearReplica);
    CPPUNIT_TEST(turnIsFoundForAnotherProgram);
    CPPUNIT_TEST(turnIsFoundWithAnOutdatedRoster);
    CPPUNIT_TEST(grantAsksOnlyAMajorityWhileItAnswers);
    CPPUNIT_TEST(settlementReachesEveryReplicaThatWasAsked);
    CPPUNIT_TEST(wipedNodeVotesOnlyAfterItHasFetchedAll);
    CPPUNIT_TEST(replacedNodeKeepsTheBudget);
    CPPUNIT_TEST(retiredNodeLeavesEnoughCopies);
    CPPUNIT_TEST(platformKeepsTurnsWithoutDisks);
    CPPUNIT_TEST(restartWithoutThePlatformServesAtOnce);
    CPPUNIT_TEST(settledTokensAreFreeAgain);
    CPPUNIT_TEST(originOfAStreamSurvivesARestartOfAll);
    CPPUNIT_TEST(originIsKnownWithTheLastTwoNodes);
    CPPUNIT_TEST(platformVotesWithTheLastTwoNodes);
    CPPUNIT_TEST(grantsOfThePlatformOutliveARosterChange);
    CPPUNIT_TEST(retirementWaitsForTheSecondCopy);
    CPPUNIT_TEST(nodeThatStopsHandsOverWhatItHolds);
    CPPUNIT_TEST(goneNodeIsRemovedFromTheRoster);
    CPPUNIT_TEST(turnsAtThePlatformComeToTheDisks);
    CPPUNIT_TEST(servesAgainAfterMoreLossesThanTolerated);
    CPPUNIT_TEST(unexpectedErrorDoesNotEndANode);
    CPPUNIT_TEST(nodesThatStartTogetherJoinWithFewCalls);
    CPPUNIT_TEST(leavingNodeAsksTheOthersAtIntervals);
    CPPUNIT_TEST(nodeMayBeDestroyedWhileOthersCallIt);
    CPPUNIT_TEST_SUITE_END();

    int takeUps = 0;

    bool recordOrigin(const std::string& request, const StreamOrigin& origin)
    {
        GrantRequest grant { "program", request, 10, 1000, std::chrono::seconds(60), origin, {} };
        return this->client->reserve(grant, this->defaultDeadline()).status == GrantStatus::Granted;
    }

    // Returns the version that the client finds for a stream, or "unavailable".
    std::string versionOf(const std::string& request)
    {
        std::string own = "take-up of " + request + std::to_string(++this->takeUps);
        GrantRequest grant { "program", own, 10, 1000, std::chrono::seconds(60), {}, request };
        Grant granted = this->client->reserve(grant, this->defaultDeadline());
        return granted.status == GrantStatus::Granted ? granted.resumed.softwareVersion : "unavailable";
    }

    // Every node and the client lose their memory: a stream was continued at any version.
    void originOfAStreamSurvivesARestartOfAll()
    {
        CPPUNIT_ASSERT(this->recordOrigin("r1", { "v1", 1 }) && this->recordOrigin("r2", { "v1", 1 }));
        CPPUNIT_ASSERT(this->recordOrigin("r2", { "v2", 2 })); // no event had reached the caller
        this->client->settle({ "program", "r1", 10, 1000, std::chrono::seconds(60), { "v1", 1 }, {} }, 4);
        for (auto& node : this->nodes)
            node->stop();
        this->client->stop();
        for (auto& node : this->nodes)
            node->start(false);
        this->client = this->newClient();
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), this->versionOf("r1"));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), this->versionOf("r2"));
        CPPUNIT_ASSERT_EQUAL(std::string(), this->versionOf("r3"));
        this->network.setPartitioned("10.0.0.1:7001", true); // any majority knows it
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), this->versionOf("r2"));
        this->network.setPartitioned("10.0.0.1:7002", true);
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), this->versionOf("r2")); // it is not said to be unknown
    }

    // With two members the platform votes: what one member and the platform have recorded was not found by the other.
    void originIsKnownWithTheLastTwoNodes()
    {
        this->retireThirdNode();
        CPPUNIT_ASSERT(waitFor([this] { return this->reserve("both") == GrantStatus::Granted; }));
        this->network.setPartitioned("10.0.0.1:7002", true);
        CPPUNIT_ASSERT(waitFor([this] { return this->recordOrigin("r1", { "v1", 1 }); }));
        CPPUNIT_ASSERT(waitFor([this] { return this->recordOrigin("r1", { "v2", 2 }); }));
        this->network.setPartitioned("10.0.0.1:7002", false);
        this->network.setPartitioned("10.0.0.1:7001", true);
        std::string found;
        CPPUNIT_ASSERT(waitFor([&] { return (found = this->versionOf("r1")) != "unavailable"; }));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), found);
    }

    GrantStatus reserve(const std::string& request, std::uint64_t tokens = 100, std::uint64_t budget = 1000)
    {
        return this->client
            ->reserve({ "program", request, tokens, budget, std::chrono::seconds(60) }, this->defaultDeadline())
            .status;
    }

    bool keep(const std::string& id, const std::string& previous)
    {
        return this->client->keep(
            { id, previous, "program", "in-" + id + ";", "out-" + id + ";", std::chrono::seconds(60) },
            this->defaultDeadline());
    }

    // Makes 30 requests of 100 tokens against a budget of 1000, each with a different node partitioned in turn. Returns
    // the number of grants.
    int grantUntilSpent(const std::string& prefix)
    {
        int granted = 0;
        for (int i = 0; i < 30; ++i) {
            std::string partitionedAddress
                = this->nodes[static_cast<std::size_t>(i) % this->nodes.size()]->settings.address;
            this->network.setPartitioned(partitionedAddress, true);
            granted += this->reserve(prefix + std::to_string(i)) == GrantStatus::Granted ? 1 : 0;
            this->network.setPartitioned(partitionedAddress, false);
        }
        return granted;
    }

    // Each grant has a different majority, which must know of all earlier grants.
    void budgetHoldsOverEveryMajority()
    {
        CPPUNIT_ASSERT_EQUAL(10, this->grantUntilSpent("r"));
        CPPUNIT_ASSERT(this->reserve("more") == GrantStatus::Exhausted);
        for (const auto& entry : this->nodes) {
            entry->stop();
            entry->start(false);
        }
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        CPPUNIT_ASSERT(this->reserve("after restart") == GrantStatus::Exhausted);
    }

    void turnsSurviveALostDisk()
    {
        CPPUNIT_ASSERT(this->keep("t1", "") && this->keep("t2", "t1"));
        this->nodes[1]->wipe();
        this->nodes[1]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        this->nodes[0]->wipe();
        this->nodes[2]->stop();
        this->client->stop();
        this->client = this->newClient(); // its cache is empty
        Conversation conversation
            = this->client->readConversation("t2", "program", this->defaultDeadline(), unlimitedMemory);
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(std::string("in-t1;out-t1;in-t2;out-t2;"), conversation.text);
    }

    // Guards against reads that ask every record node of the data centre: their number grows with the fleet.
    void continuedTurnIsReadFromOneNearReplica()
    {
        this->growToNineNodes();
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->client->stop();
        this->client = this->newClient(); // its cache is empty
        Conversation conversation
            = this->client->readConversation("t1", "program", this->defaultDeadline(), unlimitedMemory);
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(1, this->network.requestsOfClient<ReadChainRequest>());
    }

    // Guards against a turn reported as missing because the program that continues it has other replicas.
    void turnIsFoundForAnotherProgram()
    {
        this->growToNineNodes();
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->client->stop();
        this->client = this->newClient();
        for (const char* program : { "other 1", "other 2", "other 3", "other 4" }) {
            Conversation conversation
                = this->client->readConversation("t1", program, this->defaultDeadline(), unlimitedMemory);
            CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        }
    }

    // Returns a program none of whose replicas is a member of the roster that `other` knows.
    std::string programWithoutReplicasOn(const RecordClient& other) const
    {
        Roster known = other.roster();
        Roster newest = this->client->roster();
        for (int i = 0;; ++i) {
            std::string program = "program " + std::to_string(i);
            auto replicas = replicasOf(newest, program, Tolerance {});
            if (std::none_of(replicas.begin(), replicas.end(),
                    [&](const RosterMember* member) { return known.find(member->node) != nullptr; }))
                return program;
        }
    }

    // Guards against a turn reported as missing by a node that knows only the first members of a fleet.
    void turnIsFoundWithAnOutdatedRoster()
    {
        auto outdated = this->newClient(); // reads the roster again after seconds
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outdated->roster().members.size());
        this->growToNineNodes();
        std::string program = this->programWithoutReplicasOn(*outdated);
        CPPUNIT_ASSERT(
            this->client->keep({ "t1", "", program, "in", "out", std::chrono::seconds(60) }, this->defaultDeadline()));
        CPPUNIT_ASSERT(outdated->readConversation("t1", program, this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Found);
        outdated->stop();
    }

    // Guards against votes whose number is that of all replicas although a majority answers at once.
    void grantAsksOnlyAMajorityWhileItAnswers()
    {
        CPPUNIT_ASSERT(this->reserve("r1") == GrantStatus::Granted);
        CPPUNIT_ASSERT_EQUAL(2, this->network.requestsOfClient<ReserveRequest>());
        this->network.setPartitioned(this->nodes[0]->settings.address, true);
        CPPUNIT_ASSERT(this->reserve("r2") == GrantStatus::Granted);
        CPPUNIT_ASSERT_EQUAL(2 + 2, this->network.requestsOfClient<ReserveRequest>()); // delivered ones
    }

    // Guards against a reservation that stays open on a replica that was asked late: it would count in full.
    void settlementReachesEveryReplicaThatWasAsked()
    {
        GrantRequest request { "program", "r1", 1000, 1000, std::chrono::seconds(60) };
        this->network.setPartitioned(this->nodes[0]->settings.address, true);
        CPPUNIT_ASSERT(this->client->reserve(request, this->defaultDeadline()).status == GrantStatus::Granted);
        this->network.setPartitioned(this->nodes[0]->settings.address, false);
        this->client->settle(request, 0);
        for (std::size_t away = 0; away < this->nodes.size(); ++away) {
            std::string address = this->nodes[away]->settings.address;
            this->network.setPartitioned(address, true);
            request.requestId = "whole budget, without node " + std::to_string(away);
            CPPUNIT_ASSERT(this->client->reserve(request, this->defaultDeadline()).status == GrantStatus::Granted);
            this->network.setPartitioned(address, false);
            this->client->settle(request, 0);
        }
    }

    // A turn must not be reported as absent while a node that may hold it is unreachable.
    void unknownTurnIsAbsentOnlyWhenAllSaySo()
    {
        CPPUNIT_ASSERT(
            this->client->readConversation("none", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Absent);
        this->network.setPartitioned(this->nodes[2]->settings.address, true);
        CPPUNIT_ASSERT(
            this->client->readConversation("none", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Unavailable);
        this->network.setPartitioned(this->nodes[2]->settings.address, false);
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(
            this->client->readConversation("none", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Unavailable);
        this->store.setUnavailable(false);
        CPPUNIT_ASSERT(
            this->client->readConversation("none", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Absent);
    }

    void wipedNodeVotesOnlyAfterItHasFetchedAll()
    {
        CPPUNIT_ASSERT_EQUAL(10, this->grantUntilSpent("r"));
        this->nodes[0]->wipe();
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        this->nodes[0]->start(false);
        std::this_thread::sleep_for(milliseconds(600));
        CPPUNIT_ASSERT(!this->nodes[0]->node->ready()); // one of the two other nodes is unreachable
        CPPUNIT_ASSERT(this->reserve("early") != GrantStatus::Granted);
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        CPPUNIT_ASSERT(waitFor([this] { return this->nodes[0]->node->ready(); }));
        this->network.setPartitioned(this->nodes[2]->settings.address, true);
        CPPUNIT_ASSERT(this->reserve("later") == GrantStatus::Exhausted);
    }

    void replacedNodeKeepsTheBudget()
    {
        CPPUNIT_ASSERT_EQUAL(10, this->grantUntilSpent("r"));
        this->nodes[2]->stop();
        this->nodes.push_back(std::make_unique<TestNode>("n7004", "c", this->network, this->store, this->clock));
        this->nodes[3]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        CPPUNIT_ASSERT(this->nodes[0]->node->roster().find("n7003") == nullptr);
        this->network.setPartitioned(this->nodes[0]->settings.address, true);
        CPPUNIT_ASSERT(this->reserve("new majority") == GrantStatus::Exhausted);
        this->network.setPartitioned(this->nodes[0]->settings.address, false);
        // The replaced node comes back and joins as a fourth member.
        this->nodes[2]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(4); }));
        CPPUNIT_ASSERT(this->reserve("old node back") == GrantStatus::Exhausted);
    }

    void retiredNodeLeavesEnoughCopies()
    {
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        CPPUNIT_ASSERT(this->keep("t1", "")); // stored on the first and the third node
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        this->nodes[2]->node->retire();
        CPPUNIT_ASSERT(waitFor([this] { return this->nodes[2]->node->retired(); }));
        this->nodes[2]->wipe();
        this->nodes[0]->wipe();
        this->client->stop();
        this->client = this->newClient();
        CPPUNIT_ASSERT(this->client->readConversation("t1", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Found);
    }

    void platformKeepsTurnsWithoutDisks()
    {
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        this->network.setPartitioned(this->nodes[2]->settings.address, true);
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(!this->keep("t2", "t1"));
        this->store.setUnavailable(false);
        this->nodes[0]->wipe();
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        this->network.setPartitioned(this->nodes[2]->settings.address, false);
        this->client->stop();
        this->client = this->newClient();
        CPPUNIT_ASSERT(this->client->readConversation("t1", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Found);
    }

    // After all VMs lose power while the platform is down, the data on their disks must suffice to serve requests.
    void restartWithoutThePlatformServesAtOnce()
    {
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->store.setUnavailable(true);
        for (const auto& entry : this->nodes) {
            entry->stop();
            entry->start(false);
            CPPUNIT_ASSERT(entry->node->ready());
        }
        CPPUNIT_ASSERT(this->reserve("r") == GrantStatus::Granted);
        CPPUNIT_ASSERT(this->client->readConversation("t1", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Found);
        this->store.setUnavailable(false);
    }

    void retireThirdNode()
    {
        this->nodes[2]->node->retire();
        CPPUNIT_ASSERT(waitFor([this] { return this->nodes[2]->node->retired(); }));
        this->nodes[2]->wipe();
        CPPUNIT_ASSERT(waitFor([this] {
            return this->allAgreeOnRoster(2) && this->client->roster().epoch == this->nodes[0]->node->roster().epoch;
        }));
    }

    // Regression test: with one of three nodes retired, the loss of another stopped all grants.
    void platformVotesWithTheLastTwoNodes()
    {
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(this->reserve("before" + std::to_string(i)) == GrantStatus::Granted);
        this->retireThirdNode();
        CPPUNIT_ASSERT(waitFor([this] { return this->reserve("both") == GrantStatus::Granted; }));
        int granted = 4;
        for (int i = 0; i < 12; ++i) {
            std::string partitionedAddress = this->nodes[static_cast<std::size_t>(i) % 2]->settings.address;
            this->network.setPartitioned(partitionedAddress, true);
            granted += this->reserve("r" + std::to_string(i)) == GrantStatus::Granted ? 1 : 0;
            this->network.setPartitioned(partitionedAddress, false);
        }
        CPPUNIT_ASSERT_EQUAL(10, granted);
        // An unreachable record node must not make the client reject calls as if it were partitioned itself.
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        for (int i = 0; i < 6; ++i) {
            GrantRequest request { "other program", "r" + std::to_string(i), 1, 1000, std::chrono::seconds(60) };
            CPPUNIT_ASSERT(this->client->reserve(request, this->defaultDeadline()).status == GrantStatus::Granted);
            CPPUNIT_ASSERT(this->keep("k" + std::to_string(i), ""));
            std::this_thread::sleep_for(milliseconds(200));
            CPPUNIT_ASSERT(
                !this->client->shouldLeaveRotation() && this->client->reachability() != Reachability::Partitioned);
        }
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(this->reserve("both again") == GrantStatus::Exhausted);
        this->store.setUnavailable(false);
    }

    // A grant voted by one member and the platform must be known to a later majority that includes neither of them.
    void grantsOfThePlatformOutliveARosterChange()
    {
        this->retireThirdNode();
        this->network.setPartitioned(this->nodes[0]->settings.address, true);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(this->reserve("r" + std::to_string(i)) == GrantStatus::Granted);
        this->network.setPartitioned(this->nodes[0]->settings.address, false);
        this->nodes[2]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        CPPUNIT_ASSERT(waitFor([this] { return this->reserve("later") == GrantStatus::Exhausted; }));
    }

    // Guards against a retirement that leaves turns on a single disk, because a member that is silent is not waited
    // for.
    void retirementWaitsForTheSecondCopy()
    {
        RecordNode& leaving = *this->nodes[0]->node;
        const std::string& silent = this->nodes[1]->settings.address;
        this->network.setPartitioned(silent, true);
        CPPUNIT_ASSERT(this->client->keep(
            { "t1", "", "program", "in", "out", std::chrono::seconds(60), "program" }, this->defaultDeadline()));
        leaving.retire();
        CPPUNIT_ASSERT(waitFor([&] { return leaving.roster().members.size() == 2; }));
        for (int second = 0; second < 5; ++second) {
            std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the node asks the members meanwhile
            this->clock->advance(std::chrono::seconds(1));
            CPPUNIT_ASSERT_MESSAGE("after " + std::to_string(second) + " s", !leaving.retired());
        }
        this->network.setPartitioned(silent, false);
        CPPUNIT_ASSERT(waitFor([&] { return leaving.retired(); }));
        RecordResponse copy = this->nodes[1]->node->handle(ReadChainRequest { "t1" });
        CPPUNIT_ASSERT(copy.status == RecordStatus::Ok);
    }

    // Regression test: a node was permanently stopped when its successor had already joined. The loss of one more disk
    // then exceeded the tolerated failures.
    void nodeThatStopsHandsOverWhatItHolds()
    {
        CPPUNIT_ASSERT_EQUAL(10, this->grantUntilSpent("r"));
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->nodes.push_back(std::make_unique<TestNode>("n7004", "c", this->network, this->store, this->clock));
        this->nodes[3]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(4); }));
        this->nodes[2]->node->leaveBeforeShutdown(std::chrono::seconds(5));
        CPPUNIT_ASSERT(this->nodes[2]->node->retired());
        this->nodes[2]->wipe();
        this->nodes[0]->wipe();
        this->nodes[0]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        CPPUNIT_ASSERT(this->reserve("later") == GrantStatus::Exhausted);
        this->client->stop();
        this->client = this->newClient();
        CPPUNIT_ASSERT(this->client->readConversation("t1", "program", this->defaultDeadline(), unlimitedMemory).status
            == ConversationStatus::Found);
    }

    void goneNodeIsRemovedFromTheRoster()
    {
        this->nodes[0]->stop();
        this->nodes[0]->settings.memberRemovalTimeout = std::chrono::seconds(1);
        this->nodes[0]->start(false);
        this->nodes.push_back(std::make_unique<TestNode>("n7004", "c", this->network, this->store, this->clock));
        this->nodes[3]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(4); }));
        this->nodes[2]->stop();
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        CPPUNIT_ASSERT(this->nodes[0]->node->roster().find("n7003") == nullptr);
    }

    // Regression test: after one of four nodes was permanently lost and another lost its disk, no node ever voted
    // again.
    void servesAgainAfterMoreLossesThanTolerated()
    {
        this->nodes.push_back(std::make_unique<TestNode>("n7004", "c", this->network, this->store, this->clock));
        this->nodes[3]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(4); }));
        this->nodes[0]->stop();
        this->nodes[0]->settings.memberRemovalTimeout = std::chrono::seconds(1);
        this->nodes[0]->start(false);
        this->nodes[2]->stop();
        this->nodes[1]->wipe();
        this->nodes[1]->start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        CPPUNIT_ASSERT(this->reserve("later") == GrantStatus::Granted);
    }

    void turnsAtThePlatformComeToTheDisks()
    {
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        this->network.setPartitioned(this->nodes[2]->settings.address, true);
        CPPUNIT_ASSERT(this->keep("t1", ""));
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        this->network.setPartitioned(this->nodes[2]->settings.address, false);
        this->nodes[0]->stop();
        this->nodes[0]->start(false); // drains the platform soon after its start
        CPPUNIT_ASSERT(waitFor([this] {
            ReadChainRequest read { "t1" };
            return this->nodes[1]->node->handle(read).status == RecordStatus::Ok
                && this->nodes[2]->node->handle(read).status == RecordStatus::Ok;
        }));
    }

    void settledTokensAreFreeAgain()
    {
        CPPUNIT_ASSERT(this->reserve("r1", 900) == GrantStatus::Granted);
        CPPUNIT_ASSERT(this->reserve("r2", 200) == GrantStatus::Exhausted);
        this->client->settle({ "program", "r1", 900, 1000, std::chrono::seconds(60) }, 100);
        CPPUNIT_ASSERT(this->reserve("r3", 900) == GrantStatus::Granted);
    }

    // Guards against a node that asks without a pause while it waits for the others to fetch its records.
    void leavingNodeAsksTheOthersAtIntervals()
    {
        const std::string& leaving = this->nodes[2]->settings.address;
        this->network.setPartitioned(leaving, true);
        this->nodes[2]->node->retire();
        std::this_thread::sleep_for(milliseconds(200));
        int before = this->network.attemptsOf(leaving);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        constexpr int mostRounds = 10;
        constexpr int requestsPerRound = 2 * 2; // two to each of two members
        CPPUNIT_ASSERT(this->network.attemptsOf(leaving) - before <= mostRounds * requestsPerRound);
    }

    // Guards against joins in lockstep, of which one succeeds at a time: calls and time then grow with the square of
    // the number of nodes.
    void nodesThatStartTogetherJoinWithFewCalls()
    {
        constexpr int count = 12;
        constexpr int mostCallsPerNode = 7;
        InMemoryObjectStore empty;
        ProbedStore counted(empty);
        LoopbackNetwork ownNetwork;
        std::vector<std::unique_ptr<TestNode>> joining;
        joining.reserve(count);
        for (int i = 0; i < count; ++i)
            joining.push_back(std::make_unique<TestNode>("n" + std::to_string(8001 + i),
                std::string(1, static_cast<char>('a' + i % 3)), ownNetwork, counted, this->clock));
        for (const auto& node : joining)
            node->start(true);
        CPPUNIT_ASSERT(waitFor([&] {
            return std::all_of(joining.begin(), joining.end(),
                [](const auto& node) { return node->node->roster().members.size() == std::size_t(count); });
        }));
        CPPUNIT_ASSERT(counted.calls <= count * mostCallsPerNode);
    }

    // Guards against one unexpected exception in the maintenance of a node that ends the whole process.
    void unexpectedErrorDoesNotEndANode()
    {
        ProbedStore throwing(this->store);
        throwing.failing = true;
        TestNode joining("n7004", "c", this->network, throwing, this->clock);
        joining.start(false);
        CPPUNIT_ASSERT(waitFor([&] { return throwing.failures > 2; }));
        throwing.failing = false;
        CPPUNIT_ASSERT(waitFor([&] { return joining.node->ready(); }));
    }

    // Guards against a fixture that destroys a node in which the thread of another one still runs a request.
    void nodeMayBeDestroyedWhileOthersCallIt()
    {
        std::atomic<bool> ended { false };
        std::thread other([&] {
            StoreTurnRequest turn { this->client->roster().epoch, { "t", "", "in;", "out;", "program", 0 } };
            turn.turn.expiresUnixMillis = this->clock->unixMillis() + 60'000;
            for (int i = 0; !ended; ++i) {
                turn.turn.id = "t" + std::to_string(i);
                this->network.deliver(
                    "10.0.0.1:9001", this->nodes[2]->settings.address, RecordCall { encodeRecordRequest(turn) });
            }
        });
        for (int i = 0; i < 50; ++i) {
            this->nodes[2]->stop();
            this->nodes[2]->start(false);
        }
        ended = true;
        other.join();
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordStoreTest);

} // namespace lovagecross
