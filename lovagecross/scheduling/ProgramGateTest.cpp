#include "lovagecross/scheduling/ProgramGate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ProgramGateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramGateTest);
    CPPUNIT_TEST(unknownLoadHoldsNothingBack);
    CPPUNIT_TEST(lightLoadHoldsNothingBack);
    CPPUNIT_TEST(urgentProgramsBeginAboveTheLimitOfOthers);
    CPPUNIT_TEST(waitingEndsWithARefusal);
    CPPUNIT_TEST(roomOfOneLoadIsGivenOnce);
    CPPUNIT_TEST(tenantWithLeastUseGoesFirst);
    CPPUNIT_TEST(excessTenantWaitsBehindTheOthers);
    CPPUNIT_TEST(programThatHasLeftHoldsNobodyBack);
    CPPUNIT_TEST(programThatAsksNoMoreIsForgotten);
    CPPUNIT_TEST(waitingProgramsAreLimited);
    CPPUNIT_TEST_SUITE_END();

    TimePoint now { seconds(100) };
    ProgramGate gate;

    GateOutcome ask(const std::string& id, std::uint32_t priority = 0, const std::string& tenant = "t")
    {
        return askToBegin(this->gate, { id, tenant, 1, priority, seconds(5) }, this->now).outcome;
    }

    // Of 100 slots.
    void load(double calls, std::size_t nodes = 1, std::set<std::string> excess = {})
    {
        learnLoad(this->gate, { calls, 100, nodes, std::move(excess) }, this->now);
    }

    // Guards against refusals by a node that knows no load, since it has just started or is cut off from the record
    // nodes.
    void unknownLoadHoldsNothingBack()
    {
        CPPUNIT_ASSERT(this->ask("a") == GateOutcome::Begins);
        this->load(100);
        CPPUNIT_ASSERT(this->ask("b") == GateOutcome::Waits);
        this->now += loadLifetime + milliseconds(1);
        CPPUNIT_ASSERT(this->ask("b") == GateOutcome::Begins);
        CPPUNIT_ASSERT(this->gate.waiting.empty());
    }

    // Guards against programs that wait while engines are idle.
    void lightLoadHoldsNothingBack()
    {
        this->load(2);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(this->ask(std::to_string(i), i % 2) == GateOutcome::Begins);
    }

    // Guards against less urgent programs that fill the engines, so that urgent ones are late.
    void urgentProgramsBeginAboveTheLimitOfOthers()
    {
        this->load(40);
        CPPUNIT_ASSERT(this->ask("other", 1) == GateOutcome::Waits);
        CPPUNIT_ASSERT(this->ask("urgent", 0) == GateOutcome::Begins);
        this->now += milliseconds(250);
        this->load(50);
        this->gate.room = { 0, 0, 0 };
        CPPUNIT_ASSERT(this->ask("late urgent", 0) == GateOutcome::Waits);
    }

    // Guards against a program that waits so long that it begins too late to be in time.
    void waitingEndsWithARefusal()
    {
        this->load(90);
        CPPUNIT_ASSERT(this->ask("a") == GateOutcome::Waits);
        this->now += milliseconds(300);
        CPPUNIT_ASSERT(this->ask("a") == GateOutcome::Waits);
        this->now += milliseconds(290); // 590 ms of 12 % of 5 s
        CPPUNIT_ASSERT(this->ask("a") == GateOutcome::Waits);
        this->now += milliseconds(20);
        GateDecision decision = askToBegin(this->gate, { "a", "t", 1, 0, seconds(5) }, this->now);
        CPPUNIT_ASSERT(decision.outcome == GateOutcome::Refused);
        CPPUNIT_ASSERT(decision.roomIn >= minRoomIn && decision.roomIn <= maxRoomIn);
        CPPUNIT_ASSERT(this->gate.waiting.empty());
    }

    // Guards against room that is given once for each answer when a node asks several record nodes one after the other.
    void roomOfOneLoadIsGivenOnce()
    {
        this->load(35, 2); // room for 5 urgent programs here
        for (int i = 0; i < 3; ++i) {
            this->now += milliseconds(1);
            this->load(35, 2);
        }
        int begun = 0;
        for (int i = 0; i < 20; ++i)
            begun += this->ask(std::to_string(i)) == GateOutcome::Begins ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(5, begun);
    }

    // Guards against a tenant that sends many programs at once and so goes before all others.
    void tenantWithLeastUseGoesFirst()
    {
        addUsage(this->gate.usage, "many", 3, this->now);
        this->load(90);
        CPPUNIT_ASSERT(this->ask("m", 0, "many") == GateOutcome::Waits);
        CPPUNIT_ASSERT(this->ask("f", 0, "few") == GateOutcome::Waits);
        this->now += milliseconds(250);
        this->load(43.9);
        CPPUNIT_ASSERT(this->ask("m", 0, "many") == GateOutcome::Waits);
        CPPUNIT_ASSERT(this->ask("f", 0, "few") == GateOutcome::Begins);
    }

    // Guards against a flood that is served up to the limit of the others, and one that isn't served while there is
    // room.
    void excessTenantWaitsBehindTheOthers()
    {
        this->load(30, 1, { "flood" });
        CPPUNIT_ASSERT(this->ask("f", 0, "flood") == GateOutcome::Waits);
        CPPUNIT_ASSERT(this->ask("o", 1, "calm") == GateOutcome::Begins);
        this->now += milliseconds(250);
        this->load(10, 1, { "flood" });
        CPPUNIT_ASSERT(this->ask("f", 0, "flood") == GateOutcome::Begins);
    }

    // Guards against a program that has left and still has others wait behind it.
    void programThatHasLeftHoldsNobodyBack()
    {
        this->load(90);
        CPPUNIT_ASSERT(this->ask("first") == GateOutcome::Waits);
        this->now += milliseconds(10);
        CPPUNIT_ASSERT(this->ask("second") == GateOutcome::Waits);
        this->now += milliseconds(250);
        this->load(43.9);
        CPPUNIT_ASSERT(this->ask("second") == GateOutcome::Waits);
        stopWaiting(this->gate, "first");
        CPPUNIT_ASSERT(this->ask("second") == GateOutcome::Begins);
    }

    // Guards against a program that keeps its place although it no longer asks and has not said that it left.
    void programThatAsksNoMoreIsForgotten()
    {
        this->load(90);
        CPPUNIT_ASSERT(this->ask("lost") == GateOutcome::Waits);
        this->now += milliseconds(250);
        this->load(90);
        CPPUNIT_ASSERT(this->ask("second") == GateOutcome::Waits);
        this->now += milliseconds(260);
        this->load(43.9);
        CPPUNIT_ASSERT(this->ask("second") == GateOutcome::Begins);
        CPPUNIT_ASSERT(this->gate.waiting.empty());
    }

    // Guards against callers that fill the node's memory with waiting programs.
    void waitingProgramsAreLimited()
    {
        this->load(90);
        for (std::size_t i = 0; i < maxWaitingPrograms; ++i)
            CPPUNIT_ASSERT(this->ask(std::to_string(i)) == GateOutcome::Waits);
        CPPUNIT_ASSERT(this->ask("one more") == GateOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(maxWaitingPrograms, this->gate.waiting.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramGateTest);

} // namespace lovagecross
