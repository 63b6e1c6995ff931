#include "lovagecross/records/MemberWatch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class MemberWatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemberWatchTest);
    CPPUNIT_TEST(silentMemberIsRemovedAfterTheBound);
    CPPUNIT_TEST(memberThatAnswersStays);
    CPPUNIT_TEST(nodeThatIsCutOffRemovesNobody);
    CPPUNIT_TEST(lastCopiesAreNotRemoved);
    CPPUNIT_TEST_SUITE_END();

    Roster roster { 4, { { "n1", 1, "", "a" }, { "n2", 2, "", "b" }, { "n3", 3, "", "c" } } };
    Tolerance tolerance { 1, 1 };
    TimePoint start { std::chrono::seconds(100) };
    MemberWatch watch;

    // A VM that was taken away kept its place for good: with the next lost disk no majority was left.
    void silentMemberIsRemovedAfterTheBound()
    {
        this->watch.checked(this->roster, { "n3" }, this->start);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, this->start));
        TimePoint later = this->start + MemberWatch::defaultGoneAfter;
        this->watch.checked(this->roster, { "n3" }, later);
        auto gone = this->watch.memberToRemove(this->roster, this->tolerance, later);
        CPPUNIT_ASSERT(gone && *gone == "n3");
    }

    void memberThatAnswersStays()
    {
        this->watch.checked(this->roster, { "n3" }, this->start);
        this->watch.checked(this->roster, {}, this->start + std::chrono::seconds(5));
        TimePoint later = this->start + MemberWatch::defaultGoneAfter;
        this->watch.checked(this->roster, { "n3" }, later);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, later));
    }

    void nodeThatIsCutOffRemovesNobody()
    {
        this->watch.checked(this->roster, { "n2", "n3" }, this->start);
        TimePoint later = this->start + MemberWatch::defaultGoneAfter * 2;
        this->watch.checked(this->roster, { "n2", "n3" }, later);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(this->roster, this->tolerance, later));
    }

    void lastCopiesAreNotRemoved()
    {
        Roster two { 5, { { "n1", 1, "", "a" }, { "n2", 2, "", "b" } } };
        this->watch.checked(two, { "n2" }, this->start);
        CPPUNIT_ASSERT(!this->watch.memberToRemove(two, this->tolerance, this->start + MemberWatch::defaultGoneAfter));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberWatchTest);

} // namespace lovagecross
