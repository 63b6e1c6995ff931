#include "lovagecross/scheduling/ProgramAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ProgramAdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramAdmissionTest);
    CPPUNIT_TEST(partOfTheNodesDoesNotGetTheRoomOfAll);
    CPPUNIT_TEST(answerWithoutALoadChangesNothing);
    CPPUNIT_TEST(begunProgramsAreReported);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    ProgramAdmission admission { this->clock };

    int begunOf(int count)
    {
        int begun = 0;
        for (int i = 0; i < count; ++i) {
            NewProgram program { "p" + std::to_string(i), "acme", 1, 0, seconds(5) };
            begun += this->admission.ask(program).outcome == GateOutcome::Begins ? 1 : 0;
            this->admission.leave(program.id);
        }
        return begun;
    }

    // Guards against too many programs when only two of ten entry nodes reach a record node: it names a fifth of the
    // load, and two nodes to divide the room between.
    void partOfTheNodesDoesNotGetTheRoomOfAll()
    {
        this->admission.learn({ 10, 40, {} }, 100);
        this->clock.advance(milliseconds(250));
        this->admission.learn({ 2, 8, {} }, 100);
        CPPUNIT_ASSERT(this->begunOf(20) <= 2);
        this->clock.advance(ProgramAdmission::nodeCountMemory + milliseconds(1));
        this->admission.learn({ 2, 8, {} }, 100); // the others are gone
        CPPUNIT_ASSERT(this->begunOf(20) >= 18);
    }

    // Guards against an answer without a load, of an earlier build or a node that has just started, that counts as idle
    // engines.
    void answerWithoutALoadChangesNothing()
    {
        this->admission.learn({ 1, 99, {} }, 100);
        this->clock.advance(milliseconds(250));
        this->admission.learn({}, 100);
        CPPUNIT_ASSERT_EQUAL(0, this->begunOf(5));
    }

    // Guards against reports without the begun programs, by which no tenant is ever found to be in excess.
    void begunProgramsAreReported()
    {
        CPPUNIT_ASSERT_EQUAL(3, this->begunOf(3));
        ProgramLoad load = this->admission.report("entry1", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load.begun.size());
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), load.begun[0].tenant);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, load.begun[0].programs, 0.01);
        CPPUNIT_ASSERT_EQUAL(7U, load.calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramAdmissionTest);

} // namespace lovagecross
