// Tests how long record nodes keep turns and reservations. Each read uses a new client, whose cache is empty.

#include "lovagecross/records/RecordStoreFixture.h"

namespace lovagecross {

namespace {

using std::chrono::seconds;

constexpr Duration retention = seconds(60); // records expire 180 s after they were written
constexpr Duration step = seconds(100);

} // namespace

class RecordExpiryTest : public RecordStoreFixture {
    CPPUNIT_TEST_SUITE(RecordExpiryTest);
    CPPUNIT_TEST(conversationOfTwoProgramsKeepsItsFirstTurns);
    CPPUNIT_TEST(branchesOfAConversationKeepTheSharedTurns);
    CPPUNIT_TEST(copyOutlivesAContinuationThatItsNodeMissed);
    CPPUNIT_TEST(rollingOutagesLeaveTheConversationWhole);
    CPPUNIT_TEST(nothingExpiresWithoutAMajority);
    CPPUNIT_TEST(reservationsExpireOnAllReplicasOrNone);
    CPPUNIT_TEST(everythingGoesAfterTheLastTurn);
    CPPUNIT_TEST(removedRecordsLeaveTheLog);
    CPPUNIT_TEST(turnCostsNoMoreInALongConversation);
    CPPUNIT_TEST(longConversationIsReadWhole);
    CPPUNIT_TEST(conversationOverTheLimitIsRefused);
    CPPUNIT_TEST_SUITE_END();

    void useNewClient()
    {
        this->client->stop();
        this->client = this->newClient();
    }

    Conversation read(const std::string& id, const std::string& program)
    {
        this->useNewClient();
        return this->client->readConversation(id, program, this->defaultDeadline(), unlimitedMemory);
    }

    bool addTurn(const std::string& id, const std::string& previous, const std::string& program)
    {
        std::string group;
        if (!previous.empty()) {
            Conversation conversation = this->read(previous, program);
            if (conversation.status != ConversationStatus::Found)
                return false;
            group = conversation.group;
        }
        return this->client->keep(
            { id, previous, program, "in-" + id + ";", "out-" + id + ";", retention, group }, this->defaultDeadline());
    }

    std::vector<StoredTurn> turnsOn(std::size_t index)
    {
        RecordResponse response;
        std::vector<StoredTurn> turns;
        do {
            response = this->nodes[index]->node->handle(FillRequest { response.next, {} });
            turns.insert(turns.end(), response.turns.begin(), response.turns.end());
        } while (!response.last);
        return turns;
    }

    bool holdsTurn(std::size_t index, const std::string& id)
    {
        auto turns = this->turnsOn(index);
        return std::any_of(turns.begin(), turns.end(), [&](const StoredTurn& turn) { return turn.id == id; });
    }

    // Waits until every running node has removed a turn that nobody continues, and so has looked at the others too.
    void waitUntilExpired(const std::string& idleTurn)
    {
        CPPUNIT_ASSERT(waitFor([&] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i]->node && this->holdsTurn(i, idleTurn))
                    return false;
            }
            return true;
        }));
    }

    // Returns a program that has no replica in common with `program`.
    std::string programElsewhere(const std::string& program) const
    {
        Roster roster = this->client->roster();
        auto replicas = replicasOf(roster, program, Tolerance {});
        for (int i = 0;; ++i) {
            std::string other = "program " + std::to_string(i);
            auto others = replicasOf(roster, other, Tolerance {});
            if (std::none_of(others.begin(), others.end(), [&](const RosterMember* member) {
                    return std::find(replicas.begin(), replicas.end(), member) != replicas.end();
                }))
                return other;
        }
    }

    std::size_t logBytesOf(const TestNode& node)
    {
        std::vector<Poco::File> segments;
        Poco::File(node.settings.dataFolder + "/records").list(segments);
        std::size_t bytes = 0;
        for (const Poco::File& segment : segments)
            bytes += segment.exists() ? segment.getSize() : 0;
        return bytes;
    }

    // Guards against first turns that expire because the turns that continue them are stored on other replicas.
    void conversationOfTwoProgramsKeepsItsFirstTurns()
    {
        this->growToNineNodes();
        std::string follower = this->programElsewhere("beginner");
        CPPUNIT_ASSERT(this->addTurn("t1", "", "beginner"));
        CPPUNIT_ASSERT(this->addTurn("idle", "", "beginner"));
        this->clock->advance(step);
        CPPUNIT_ASSERT(this->addTurn("t2", "t1", follower));
        this->clock->advance(step);
        this->waitUntilExpired("idle");
        CPPUNIT_ASSERT(this->addTurn("t3", "t2", follower));
        this->clock->advance(step);
        Conversation conversation = this->read("t3", "third program");
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(std::string("in-t1;out-t1;in-t2;out-t2;in-t3;out-t3;"), conversation.text);
    }

    // Guards against a shared first turn that lives only as long as one of its continuations.
    void branchesOfAConversationKeepTheSharedTurns()
    {
        CPPUNIT_ASSERT(this->addTurn("t1", "", "beginner"));
        CPPUNIT_ASSERT(this->addTurn("short", "t1", "first"));
        this->clock->advance(step);
        CPPUNIT_ASSERT(this->addTurn("long", "t1", "second"));
        this->clock->advance(step);
        this->waitUntilExpired("short");
        Conversation conversation = this->read("long", "third");
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(std::string("in-t1;out-t1;in-long;out-long;"), conversation.text);
    }

    // Guards against a conversation with fewer copies of its first turns than of its last ones: the loss of a tolerated
    // disk then loses it.
    void copyOutlivesAContinuationThatItsNodeMissed()
    {
        CPPUNIT_ASSERT(this->addTurn("t1", "", "program") && this->addTurn("idle", "", "program"));
        this->clock->advance(step);
        this->network.setPartitioned(this->nodes[1]->settings.address, true);
        CPPUNIT_ASSERT(this->addTurn("t2", "t1", "program"));
        this->network.setPartitioned(this->nodes[1]->settings.address, false);
        this->clock->advance(step);
        this->waitUntilExpired("idle");
        CPPUNIT_ASSERT(this->holdsTurn(1, "t1"));
        this->nodes[1]->stop(); // what the others have said is forgotten
        this->nodes[1]->start(false);
        this->clock->advance(seconds(31));
        std::this_thread::sleep_for(seconds(1));
        CPPUNIT_ASSERT(this->holdsTurn(1, "t1"));
    }

    // Guards against copies that expire because the turn that links them to the newest one is missing on their node.
    // Each node misses a turn in the middle, another one each.
    void rollingOutagesLeaveTheConversationWhole()
    {
        CPPUNIT_ASSERT(this->addTurn("t1", "", "program"));
        std::string previous = "t1";
        for (std::size_t away = 0; away < this->nodes.size(); ++away) {
            std::string id = "t" + std::to_string(away + 2);
            this->network.setPartitioned(this->nodes[away]->settings.address, true);
            CPPUNIT_ASSERT(this->addTurn(id, previous, "program"));
            this->network.setPartitioned(this->nodes[away]->settings.address, false);
            previous = id;
        }
        this->clock->advance(step);
        CPPUNIT_ASSERT(this->addTurn("last", previous, "program"));
        this->clock->advance(step);
        std::this_thread::sleep_for(seconds(1)); // each node has looked at its records
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            CPPUNIT_ASSERT(this->holdsTurn(i, "t1"));
        Conversation conversation = this->read("last", "program");
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), conversation.turns);
    }

    // Guards against a cut-off node that removes what the others still need.
    void nothingExpiresWithoutAMajority()
    {
        CPPUNIT_ASSERT(this->addTurn("t1", "", "program"));
        for (std::size_t i : { 1, 2 })
            this->network.setPartitioned(this->nodes[i]->settings.address, true);
        this->clock->advance(2 * step);
        std::this_thread::sleep_for(seconds(1));
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            CPPUNIT_ASSERT(this->holdsTurn(i, "t1"));
        for (std::size_t i : { 1, 2 })
            this->network.setPartitioned(this->nodes[i]->settings.address, false);
        this->clock->advance(seconds(31)); // until the nodes ask again
        this->waitUntilExpired("t1");
    }

    // Guards against a budget that is granted anew because a replica has forgotten its part of the reservations while
    // the program goes on at the others.
    void reservationsExpireOnAllReplicasOrNone()
    {
        auto reserveWithout = [this](std::size_t away, const std::string& request, std::uint64_t tokens) {
            this->useNewClient();
            this->network.setPartitioned(this->nodes[away]->settings.address, true);
            auto granted
                = this->client->reserve({ "program", request, tokens, 1000, retention }, this->defaultDeadline());
            this->network.setPartitioned(this->nodes[away]->settings.address, false);
            return granted.status;
        };
        CPPUNIT_ASSERT(waitFor([&] { // a fetch would copy the reservation to the third node
            return std::all_of(this->nodes.begin(), this->nodes.end(), [](const auto& node) {
                return node->node->handle(InspectRequest {}).filledEpoch == node->node->roster().epoch;
            });
        }));
        CPPUNIT_ASSERT(this->addTurn("idle", "", "other"));
        CPPUNIT_ASSERT(reserveWithout(2, "r1", 900) == GrantStatus::Granted);
        this->clock->advance(step);
        CPPUNIT_ASSERT(reserveWithout(0, "r2", 50) == GrantStatus::Granted);
        this->clock->advance(step);
        this->waitUntilExpired("idle");
        CPPUNIT_ASSERT(reserveWithout(1, "r3", 200) == GrantStatus::Exhausted);
        this->clock->advance(2 * step);
        CPPUNIT_ASSERT(waitFor([&] {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                [](const auto& node) { return node->node->handle(FillRequest {}).reservations.empty(); });
        }));
        CPPUNIT_ASSERT(reserveWithout(1, "r4", 200) == GrantStatus::Granted);
    }

    // Guards against records that are kept for ever because a conversation was continued.
    void everythingGoesAfterTheLastTurn()
    {
        CPPUNIT_ASSERT(this->addTurn("t1", "", "beginner"));
        for (int i = 2; i <= 6; ++i)
            CPPUNIT_ASSERT(
                this->addTurn("t" + std::to_string(i), "t" + std::to_string(i - 1), "program" + std::to_string(i)));
        CPPUNIT_ASSERT(this->addTurn("branch", "t3", "branching"));
        this->clock->advance(2 * step);
        CPPUNIT_ASSERT(waitFor([&] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (!this->turnsOn(i).empty())
                    return false;
            }
            return true;
        }));
        CPPUNIT_ASSERT(this->read("t6", "program6").status == ConversationStatus::Absent);
    }

    void storeOnFirstNode(int turns, const std::string& output)
    {
        std::uint64_t epoch = this->nodes[0]->node->roster().epoch;
        std::int64_t expires = this->clock->unixMillis() + 1'000'000;
        for (int i = 1; i <= turns; ++i) {
            std::string previous = i == 1 ? "" : "t" + std::to_string(i - 1);
            StoredTurn turn { "t" + std::to_string(i), previous, "i;", output, "program", expires };
            CPPUNIT_ASSERT(this->nodes[0]->node->handle(StoreTurnRequest { epoch, turn }).status == RecordStatus::Ok);
        }
    }

    // Guards against removed records that stay in the log and are loaded by each start, until they fill a share of the
    // disk that may be larger than the memory.
    void removedRecordsLeaveTheLog()
    {
        constexpr std::size_t outputBytes = 1000;
        constexpr int turns = 10;
        TestNode& node = *this->nodes.front();
        node.stop();
        node.settings.memoryBytes = 16 * outputBytes;
        node.start(false);
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        this->storeOnFirstNode(turns, std::string(outputBytes, 'x'));
        CPPUNIT_ASSERT(this->logBytesOf(node) > turns * outputBytes);
        this->clock->advance(seconds(1001)); // the turns expire after 1000 s
        CPPUNIT_ASSERT(waitFor([&] { return this->logBytesOf(node) < 2 * outputBytes; }));
    }

    // Guards against a turn whose messages grow with the number of turns that it continues.
    void turnCostsNoMoreInALongConversation()
    {
        std::string previous;
        for (int i = 1; i <= 1001; ++i) {
            std::string id = "t" + std::to_string(i);
            int storedBefore = this->network.requestsOfClient<StoreTurnRequest>();
            int readBefore = this->network.requestsOfClient<ReadChainRequest>();
            if (!previous.empty())
                CPPUNIT_ASSERT(
                    this->client->readConversation(previous, "program", this->defaultDeadline(), unlimitedMemory).status
                    == ConversationStatus::Found);
            CPPUNIT_ASSERT(this->client->keep(
                { id, previous, "program", "in", "out", retention, "program" }, this->defaultDeadline()));
            CPPUNIT_ASSERT_EQUAL(3, this->network.requestsOfClient<StoreTurnRequest>() - storedBefore);
            CPPUNIT_ASSERT_EQUAL(0, this->network.requestsOfClient<ReadChainRequest>() - readBefore);
            CPPUNIT_ASSERT_EQUAL(0, this->network.requestsOfClient<ConfirmExpiryRequest>());
            previous = id;
        }
    }

    // Guards against a long conversation that reaches a server without its first turns.
    void longConversationIsReadWhole()
    {
        constexpr int turns = 4200; // more than one response holds
        this->storeOnFirstNode(turns, "o;");
        Conversation conversation = this->read("t" + std::to_string(turns), "program");
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::Found);
        CPPUNIT_ASSERT_EQUAL(std::size_t(turns), conversation.turns);
    }

    // Guards against a conversation that exceeds the memory of an entry node, and against a part of it that is taken
    // for the whole.
    void conversationOverTheLimitIsRefused()
    {
        constexpr int turns = 17; // of 1 MiB each
        this->storeOnFirstNode(turns, std::string(1024 * 1024, 'x'));
        Conversation conversation = this->read("t" + std::to_string(turns), "program");
        CPPUNIT_ASSERT(conversation.status == ConversationStatus::TooLong);
        CPPUNIT_ASSERT(conversation.text.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordExpiryTest);

} // namespace lovagecross
