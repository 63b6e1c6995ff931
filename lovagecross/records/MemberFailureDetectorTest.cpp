#include "lovagecross/records/MemberFailureDetector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class MemberFailureDetectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemberFailureDetectorTest);
    CPPUNIT_TEST(silentMemberIsRemovedAfterTheBound);
    CPPUNIT_TEST(memberThatAnswersStays);
    CPPUNIT_TEST(nodeThatIsCutOffRemovesNobody);
    CPPUNIT_TEST(lastCopiesAreNotRemoved);
    CPPUNIT_TEST_SUITE_END();

    Roster roster { 4, { { "n1", 1, "", "a" }, { "n2", 2, "", "b" }, { "n3", 3, "", "c" } } };
    Tolerance tolerance { 1, 1 };
    TimePoint start { std::chrono::seconds(100) };
    MemberFailureDetector watch;

    // Regression test: a VM that was removed without notice stayed in the roster, so the loss of one more disk left no
    // majority.
    void silentMemberIsRemovedAfterTheBound()
    {
        this->watch.recordCheck(this->roster, { "n3" }, this->start);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, this->start));
        TimePoint later = this->start + MemberFailureDetector::defaultRemovalTimeout;
        this->watch.recordCheck(this->roster, { "n3" }, later);
        auto gone = this->watch.memberToRemove(this->roster, this->tolerance, later);
        CPPUNIT_ASSERT(gone && *gone == "n3");
    }

    void memberThatAnswersStays()
    {
        this->watch.recordCheck(this->roster, { "n3" }, this->start);
        this->watch.recordCheck(this->roster, {}, this->start + std::chrono::seconds(5));
        TimePoint later = this->start + MemberFailureDetector::defaultRemovalTimeout;
        this->watch.recordCheck(this->roster, { "n3" }, later);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, later));
    }

    void nodeThatIsCutOffRemovesNobody()
    {
        this->watch.recordCheck(this->roster, { "n2", "n3" }, this->start);
        TimePoint later = this->start + MemberFailureDetector::defaultRemovalTimeout * 2;
        this->watch.recordCheck(this->roster, { "n2", "n3" }, later);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, later));
    }

    void lastCopiesAreNotRemoved()
    {
        Roster two { 5, { { "n1", 1, "", "a" }, { "n2", 2, "", "b" } } };
        this->watch.recordCheck(two, { "n2" }, this->start);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(
            two, this->tolerance, this->start + MemberFailureDetector::defaultRemovalTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberFailureDetectorTest);

} // namespace lovagecross
