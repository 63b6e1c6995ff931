// Tests of turns that are stored while the record nodes pause, or an entry node is cut off from them.

#include "lovagecross/records/RecordStoreFixture.h"

#include <atomic>

namespace lovagecross {

using std::chrono::milliseconds;

class RecordPauseTest : public RecordStoreFixture {
    CPPUNIT_TEST_SUITE(RecordPauseTest);
    CPPUNIT_TEST(turnIsStoredAfterAPauseOfAllRecordNodes);
    CPPUNIT_TEST(nodeThatIsCutOffGivesUpBeforeTheDeadline);
    CPPUNIT_TEST(storingEndsAtTheDeadline);
    CPPUNIT_TEST_SUITE_END();

    void setRecordNodesPartitioned(bool partitioned)
    {
        for (const auto& node : this->nodes)
            this->network.setPartitioned(node->settings.address, partitioned);
        this->store.setUnavailable(partitioned);
    }

    // Returns whether the turn was kept, and sets `taken`.
    bool keepFor(Duration allowed, Duration& taken)
    {
        TimePoint start = this->clock->now();
        bool kept = this->client->keep(
            { "t", "", "program", "in;", "out;", std::chrono::seconds(60) }, this->clock->now() + allowed);
        taken = this->clock->now() - start;
        return kept;
    }

    // Guards against a response that is cut after its last event because the record nodes and the platform are silent
    // for about a second.
    void turnIsStoredAfterAPauseOfAllRecordNodes()
    {
        this->setRecordNodesPartitioned(true);
        std::atomic<bool> ended { false };
        std::thread end([&] {
            auto partitioned = [this] { return this->client->reachability() == Reachability::Partitioned; };
            waitFor([&] { return ended || partitioned(); });
            // A client that gives up now makes one more attempt at most.
            std::uint64_t writes = this->store.counters().writes;
            waitFor([&] { return ended || this->store.counters().writes >= writes + 2; });
            this->setRecordNodesPartitioned(false);
        });
        Duration taken;
        bool kept = this->keepFor(std::chrono::seconds(4), taken);
        ended = true;
        end.join();
        CPPUNIT_ASSERT(kept);
    }

    // Guards against callers that are held until the deadline by a node that can't store their turns, while others can.
    void nodeThatIsCutOffGivesUpBeforeTheDeadline()
    {
        this->setRecordNodesPartitioned(true);
        Duration taken;
        CPPUNIT_ASSERT(!this->keepFor(std::chrono::seconds(4), taken));
        CPPUNIT_ASSERT(taken >= milliseconds(1300) && taken < milliseconds(2500));
        CPPUNIT_ASSERT(this->client->reachability() == Reachability::Partitioned);
    }

    // Guards against an attempt to store that outlasts the call.
    void storingEndsAtTheDeadline()
    {
        this->setRecordNodesPartitioned(true);
        Duration taken;
        CPPUNIT_ASSERT(!this->keepFor(milliseconds(500), taken));
        CPPUNIT_ASSERT(taken < milliseconds(1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordPauseTest);

} // namespace lovagecross
