#include "lovagecross/records/ReplicaState.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

constexpr Tolerance tolerance { 2, 1 };

// Returns nine members in three data centres, as in a deployment that tolerates the loss of two machines.
Roster nineMembers()
{
    Roster roster;
    roster.epoch = 9;
    for (int i = 0; i < 9; ++i) {
        std::string number = std::to_string(i);
        roster.members.push_back({ "n" + number, 100U + static_cast<unsigned>(i), "10.0.0.1:700" + number,
            std::string(1, static_cast<char>('a' + i % 3)) });
    }
    return roster;
}

Roster withReplacement(const Roster& before, std::string_view gone, const std::string& successor)
{
    Roster next = withoutMember(before, gone);
    const RosterMember* old = before.find(gone);
    next.members.push_back({ successor, 500, "10.0.0.1:7999", old->dataCentre });
    return next;
}

std::vector<std::string> groupsOf(const Roster& roster, std::string_view node)
{
    std::vector<std::string> groups;
    for (int i = 0; i < 300; ++i) {
        std::string group = "program-" + std::to_string(i);
        for (const RosterMember* replica : replicasOf(roster, group, tolerance)) {
            if (replica->node == node)
                groups.push_back(group);
        }
    }
    return groups;
}

} // namespace

class ReplicaStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplicaStateTest);
    CPPUNIT_TEST(memberGoesOnVotingOnGroupsThatItHeld);
    CPPUNIT_TEST(newMemberVotesOnceEnoughReplicasWereFetched);
    CPPUNIT_TEST(onlyGainedGroupsAreFetched);
    CPPUNIT_TEST(groupThatWasLeftInBetweenIsFetchedAgain);
    CPPUNIT_TEST(cutDataCentreStopsNoFill);
    CPPUNIT_TEST(smallRosterFetchesEverythingAtEachChange);
    CPPUNIT_TEST(platformIsASourceAfterTwoMembers);
    CPPUNIT_TEST(sourceThatLacksRecordsDoesNotCount);
    CPPUNIT_TEST(gainedGroupsAreToldWhenTheRosterChanges);
    CPPUNIT_TEST_SUITE_END();

    Roster nine = nineMembers();

    ReplicaState holdingsOf(const std::string& node) const
    {
        ReplicaState holdings(node, tolerance);
        holdings.restore(this->nine, this->nine.find(node)->disk);
        return holdings;
    }

    // Regression test: every roster change stopped all members from voting until each had fetched all records of the
    // others.
    void memberGoesOnVotingOnGroupsThatItHeld()
    {
        ReplicaState holdings = this->holdingsOf("n0");
        Roster next = withReplacement(this->nine, "n4", "n9");
        holdings.adopt(next, false);
        CPPUNIT_ASSERT(!holdings.complete());
        std::size_t gained = 0;
        for (const std::string& group : groupsOf(next, "n0")) {
            auto before = replicasOf(this->nine, group, tolerance);
            bool wasReplica
                = std::any_of(before.begin(), before.end(), [](const auto* member) { return member->node == "n0"; });
            CPPUNIT_ASSERT_EQUAL(wasReplica, holdings.complete(group));
            gained += wasReplica ? 0 : 1;
        }
        CPPUNIT_ASSERT(gained < 60);
    }

    // A member that votes on groups whose records it never fetched does not know what was granted.
    void newMemberVotesOnceEnoughReplicasWereFetched()
    {
        Roster next = withReplacement(this->nine, "n4", "n9");
        ReplicaState holdings("n9", tolerance);
        holdings.restore({}, 500);
        holdings.adopt(this->nine, false);
        holdings.adopt(next, false);
        std::string group = groupsOf(next, "n9").front();
        auto former = replicasOf(this->nine, group, tolerance);
        for (std::size_t i = 0; i < 3; ++i) { // three of five replicas intersect every majority of three
            CPPUNIT_ASSERT(!holdings.complete(group));
            holdings.markFetched(former[i]->node, this->nine.epoch);
        }
        CPPUNIT_ASSERT(holdings.complete(group));
        CPPUNIT_ASSERT(holdings.filledEpoch() < next.epoch);
    }

    void onlyGainedGroupsAreFetched()
    {
        ReplicaState holdings = this->holdingsOf("n0");
        Roster next = withReplacement(this->nine, "n4", "n9");
        holdings.adopt(next, false);
        FillFilter filter = holdings.plan().filter;
        for (const std::string& group : groupsOf(next, "n0"))
            CPPUNIT_ASSERT_EQUAL(!holdings.complete(group), wantsGroup(filter, group, tolerance));
        for (const std::string& group : groupsOf(this->nine, "n1"))
            CPPUNIT_ASSERT(!wantsGroup(filter, group, tolerance) || !holdings.complete(group));
    }

    // A node that was not a replica for some epochs lacks the records accepted in them.
    void groupThatWasLeftInBetweenIsFetchedAgain()
    {
        ReplicaState holdings = this->holdingsOf("n0");
        Roster larger = this->nine;
        ++larger.epoch;
        larger.members.push_back({ "n9", 500, "10.0.0.1:7999", "a" });
        holdings.adopt(larger, false);
        Roster back = withoutMember(larger, "n9");
        holdings.adopt(back, false);
        std::size_t left = 0;
        for (const std::string& group : groupsOf(back, "n0")) {
            auto between = replicasOf(larger, group, tolerance);
            bool stayed
                = std::any_of(between.begin(), between.end(), [](const auto* member) { return member->node == "n0"; });
            CPPUNIT_ASSERT_EQUAL(stayed, holdings.complete(group));
            CPPUNIT_ASSERT_EQUAL(!stayed, wantsGroup(holdings.plan().filter, group, tolerance));
            left += stayed ? 0 : 1;
        }
        CPPUNIT_ASSERT(left > 0);
    }

    // A data centre holds a bounded share of each group's replicas, so a fill completes without any of its members.
    void cutDataCentreStopsNoFill()
    {
        Roster next = withReplacement(this->nine, "n4", "n9"); // n4 is in data centre b
        ReplicaState holdings = this->holdingsOf("n0");
        holdings.adopt(next, false);
        for (const char* source : { "n3", "n6", "n2", "n5", "n8" })
            holdings.markFetched(source, this->nine.epoch);
        CPPUNIT_ASSERT(holdings.complete());
        CPPUNIT_ASSERT_EQUAL(next.epoch, holdings.filledEpoch());
    }

    void smallRosterFetchesEverythingAtEachChange()
    {
        Roster three { 3, { { "n0", 1, "", "a" }, { "n1", 2, "", "b" }, { "n2", 3, "", "c" } } };
        ReplicaState holdings("n0", { 1, 1 });
        holdings.restore(three, 1);
        holdings.adopt(withoutMember(three, "n2"), false);
        CPPUNIT_ASSERT(holdings.complete()); // any two majorities intersect without a fill
        CPPUNIT_ASSERT(holdings.filledEpoch() == 3);
        FillPlan plan = holdings.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.sources.size());
        CPPUNIT_ASSERT(wantsGroup(plan.filter, "any", { 1, 1 }));
        holdings.markFetched("n2", 3);
        CPPUNIT_ASSERT(holdings.filledEpoch() == 4);
    }

    void platformIsASourceAfterTwoMembers()
    {
        Roster two { 4, { { "n0", 1, "", "a" }, { "n1", 2, "", "b" } } };
        Roster three = two;
        ++three.epoch;
        three.members.push_back({ "n2", 3, "", "c" });
        ReplicaState holdings("n2", { 1, 1 });
        holdings.restore({}, 3);
        holdings.adopt(two, false);
        holdings.adopt(three, false);
        CPPUNIT_ASSERT(holdings.plan().fromPlatform);
        holdings.markFetched("n0", 4);
        CPPUNIT_ASSERT(!holdings.complete("any")); // n1 and the platform may have granted tokens without n0
        holdings.markPlatformFetched();
        CPPUNIT_ASSERT(holdings.complete("any") && holdings.complete());
    }

    // Returns whether the member with this disk has all its records immediately after switching from `known` to `next`.
    static bool completeAfter(const std::string& node, std::uint64_t disk, const Roster& known, const Roster& next)
    {
        ReplicaState holdings(node, { 1, 1 });
        const RosterMember* before = known.find(node);
        bool hadDisk = before != nullptr && before->disk == disk;
        holdings.restore(hadDisk ? known : Roster {}, disk);
        if (!hadDisk)
            holdings.adopt(known, false);
        holdings.adopt(next, false);
        return holdings.complete();
    }

    void gainedGroupsAreToldWhenTheRosterChanges()
    {
        Roster three { 1, { { "n10", 1, "", "a" }, { "n20", 2, "", "b" }, { "n30", 3, "", "c" } } };
        Roster four = withMember(three, { "n40", 4, "", "b" }, {});
        CPPUNIT_ASSERT(!completeAfter("n40", 4, three, four));
        CPPUNIT_ASSERT(completeAfter("n10", 1, three, four)); // n10 was a replica of every group
        CPPUNIT_ASSERT(!completeAfter("n10", 1, four, withoutMember(four, "n30")));
        CPPUNIT_ASSERT(!completeAfter("n10", 5, three, withMember(three, { "n10", 5, "", "a" }, {})));
        ReplicaState left("n10", { 1, 1 });
        left.restore(three, 1);
        left.adopt(withoutMember(three, "n10"), false);
        CPPUNIT_ASSERT(!left.isMember());
    }

    void sourceThatLacksRecordsDoesNotCount()
    {
        Roster next = withReplacement(this->nine, "n4", "n9");
        ReplicaState holdings = this->holdingsOf("n0");
        holdings.adopt(next, false);
        for (const char* source : { "n1", "n2", "n3", "n5", "n6", "n7" })
            holdings.markFetched(source, this->nine.epoch - 1);
        CPPUNIT_ASSERT(!holdings.complete());
        holdings.markFetched("n8", this->nine.epoch - 1);
        holdings.markFetched("n4", this->nine.epoch - 1);
        CPPUNIT_ASSERT(holdings.complete()); // every source has returned all its records
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaStateTest);

} // namespace lovagecross
