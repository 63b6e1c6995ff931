#include "lovagecross/records/ReplicaState.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

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
    return withMember(
        before, { successor, 500, "10.0.0.1:7999", before.find(gone)->dataCentre }, { std::string(gone) });
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
    CPPUNIT_TEST(restartedNodeGoesOnWithItsFill);
    CPPUNIT_TEST(sourcesOfTwoChangesAreAllAsked);
    CPPUNIT_TEST(smallerMajorityNeedsAFetch);
    CPPUNIT_TEST(replacedDiskIsNoSource);
    CPPUNIT_TEST(joinsInARowCompleteAtOnce);
    CPPUNIT_TEST_SUITE_END();

    Roster nine = nineMembers();

    ReplicaState holdingsOf(const std::string& node) const
    {
        ReplicaState holdings(node, tolerance);
        holdings.restore({ this->nine, { this->nine.epoch } }, this->nine.find(node)->disk);
        return holdings;
    }

    // Records a complete fetch from a member of nine.
    void fetch(ReplicaState& holdings, const std::string& source, const std::vector<std::uint64_t>& filledEpochs) const
    {
        holdings.markFetched(*this->nine.find(source), filledEpochs);
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
            holdings.markFetched(*former[i], { this->nine.epoch });
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
        Roster larger = withMember(this->nine, { "n9", 500, "10.0.0.1:7999", "a" }, {});
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
        for (const char* source : { "n3", "n6", "n2", "n5", "n8" }) {
            CPPUNIT_ASSERT(!holdings.enoughFetched());
            this->fetch(holdings, source, { this->nine.epoch });
        }
        CPPUNIT_ASSERT(holdings.enoughFetched());
        holdings.markComplete();
        CPPUNIT_ASSERT(holdings.complete());
        CPPUNIT_ASSERT_EQUAL(next.epoch, holdings.filledEpoch());
    }

    void smallRosterFetchesEverythingAtEachChange()
    {
        Roster three { 3, { { "n0", 1, "", "a" }, { "n1", 2, "", "b" }, { "n2", 3, "", "c" } } };
        ReplicaState holdings("n0", { 1, 1 });
        holdings.restore({ three, { 3 } }, 1);
        holdings.adopt(withoutMember(three, "n2"), false);
        CPPUNIT_ASSERT(holdings.complete()); // any two majorities intersect without a fill
        CPPUNIT_ASSERT(holdings.filledEpoch() == 3);
        FillPlan plan = holdings.plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.sources.size());
        CPPUNIT_ASSERT(wantsGroup(plan.filter, "any", { 1, 1 }));
        CPPUNIT_ASSERT(!holdings.enoughFetched());
        holdings.markFetched(three.members[2], { 3 });
        CPPUNIT_ASSERT(holdings.enoughFetched());
        holdings.markComplete();
        CPPUNIT_ASSERT(holdings.filledEpoch() == 4);
    }

    void platformIsASourceAfterTwoMembers()
    {
        Roster two { 4, { { "n0", 1, "", "a" }, { "n1", 2, "", "b" } } };
        Roster three = withMember(two, { "n2", 3, "", "c" }, {});
        ReplicaState holdings("n2", { 1, 1 });
        holdings.restore({}, 3);
        holdings.adopt(two, false);
        holdings.adopt(three, false);
        CPPUNIT_ASSERT(holdings.plan().fromPlatform);
        holdings.markFetched(two.members[0], { 4 });
        CPPUNIT_ASSERT(!holdings.complete("any")); // n1 and the platform may have granted tokens without n0
        holdings.markPlatformFetched();
        CPPUNIT_ASSERT(holdings.complete("any") && holdings.enoughFetched());
    }

    // Returns whether the member with this disk has all its records immediately after switching from `known` to `next`.
    static bool completeAfter(const std::string& node, std::uint64_t disk, const Roster& known, const Roster& next)
    {
        ReplicaState holdings(node, { 1, 1 });
        const RosterMember* before = known.find(node);
        bool hadDisk = before != nullptr && before->disk == disk;
        holdings.restore(hadDisk ? ReplicaProgress { known, { known.epoch } } : ReplicaProgress {}, disk);
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
        left.restore({ three, { 1 } }, 1);
        left.adopt(withoutMember(three, "n10"), false);
        CPPUNIT_ASSERT(!left.isMember());
    }

    void sourceThatLacksRecordsDoesNotCount()
    {
        Roster next = withReplacement(this->nine, "n4", "n9");
        ReplicaState holdings = this->holdingsOf("n0");
        holdings.adopt(next, false);
        for (const char* source : { "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8" })
            this->fetch(holdings, source, { this->nine.epoch - 1 });
        // This node had all its records of epoch 9, but the sources had not.
        CPPUNIT_ASSERT(!holdings.complete() && !holdings.enoughFetched());
        CPPUNIT_ASSERT(holdings.enoughOnceSourcesAreFilled());
        for (const char* source : { "n1", "n2", "n4", "n5", "n7", "n8" })
            this->fetch(holdings, source, { this->nine.epoch - 1, this->nine.epoch });
        CPPUNIT_ASSERT(holdings.enoughFetched());
    }

    // Guards against a node that takes itself for complete after a restart in the middle of a fill.
    void restartedNodeGoesOnWithItsFill()
    {
        Roster next = withReplacement(this->nine, "n4", "n9");
        ReplicaState before = this->holdingsOf("n0");
        before.adopt(next, false);
        ReplicaState restarted("n0", tolerance);
        restarted.restore(before.progress(), this->nine.find("n0")->disk);
        CPPUNIT_ASSERT(!restarted.complete());
        std::size_t gained = 0;
        for (const std::string& group : groupsOf(next, "n0")) {
            CPPUNIT_ASSERT_EQUAL(before.complete(group), restarted.complete(group));
            gained += restarted.complete(group) ? 0 : 1;
        }
        CPPUNIT_ASSERT(gained > 0);
        CPPUNIT_ASSERT_EQUAL(before.plan().sources.size(), restarted.plan().sources.size());
    }

    // Guards against sources that are dropped when the next change of the roster follows at once: two nodes leave, and
    // the records that only the first one and few others have are never asked for.
    void sourcesOfTwoChangesAreAllAsked()
    {
        ReplicaState holdings = this->holdingsOf("n0");
        Roster first = withoutMember(this->nine, "n4");
        Roster second = withoutMember(first, "n5");
        holdings.adopt(first, false);
        holdings.adopt(second, false);
        std::set<std::string> sources;
        for (const RosterMember& source : holdings.plan().sources)
            sources.insert(source.node);
        CPPUNIT_ASSERT(sources.count("n4") > 0 && sources.count("n5") > 0);
        // The members that remain are enough only as long as each group has a majority of its former replicas among
        // them.
        for (const char* source : { "n1", "n2", "n3" })
            this->fetch(holdings, source, { this->nine.epoch });
        CPPUNIT_ASSERT(!holdings.enoughFetched());
        for (const std::string& group : groupsOf(second, "n0")) {
            std::size_t asked = 0;
            bool held = true;
            for (const Roster* roster : { &this->nine, &first, &second }) {
                auto replicas = replicasOf(*roster, group, tolerance);
                held = held && std::any_of(replicas.begin(), replicas.end(), [](const auto* member) {
                    return member->node == "n0";
                });
            }
            for (const RosterMember* replica : replicasOf(this->nine, group, tolerance))
                asked += replica->node < "n4" ? 1 : 0;
            if (!held && asked < majorityOf(5))
                CPPUNIT_ASSERT(!holdings.complete(group));
        }
    }

    // Guards against votes of members that each lack records, after a roster has become so small that a majority may
    // consist of them alone.
    void smallerMajorityNeedsAFetch()
    {
        Roster five { 5,
            { { "n0", 1, "", "a" }, { "n1", 2, "", "b" }, { "n2", 3, "", "c" }, { "n3", 4, "", "a" },
                { "n4", 5, "", "b" } } };
        ReplicaState holdings("n4", tolerance);
        holdings.restore({ five, { 5 } }, 5);
        Roster four = withoutMember(five, "n0");
        holdings.adopt(four, false);
        CPPUNIT_ASSERT(holdings.complete("any") && holdings.complete());
        holdings.adopt(withoutMember(four, "n1"), false);
        CPPUNIT_ASSERT(!holdings.complete("any") && !holdings.complete());
    }

    // Guards against a node that lost its disk under its old name and counts as a source of what it had.
    void replacedDiskIsNoSource()
    {
        ReplicaState holdings = this->holdingsOf("n0");
        Roster wiped = withMember(this->nine, { "n4", 999, "10.0.0.1:7004", "b" }, {});
        holdings.adopt(wiped, false);
        for (const RosterMember& source : holdings.plan().sources)
            CPPUNIT_ASSERT(source.node != "n4" || source.disk == 999);
    }

    // Guards against fills that wait for each other: many nodes join before any of them has fetched, and only the first
    // one has completed a fill.
    void joinsInARowCompleteAtOnce()
    {
        Roster roster { 1, { this->nine.members[0] } };
        for (std::size_t i = 1; i < this->nine.members.size(); ++i)
            roster = withMember(roster, this->nine.members[i], {});
        ReplicaState last("n8", tolerance);
        last.restore({}, this->nine.members[8].disk);
        last.adopt(roster, false);
        for (std::size_t i = 0; i < 8; ++i)
            last.markFetched(
                this->nine.members[i], i == 0 ? std::vector<std::uint64_t> { 1 } : std::vector<std::uint64_t> {});
        last.markPlatformFetched();
        CPPUNIT_ASSERT(last.enoughFetched());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaStateTest);

} // namespace lovagecross
