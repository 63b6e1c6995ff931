#include "lovagecross/records/Roster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace lovagecross {

namespace {

RosterMember member(const std::string& node, const std::string& dataCentre, std::uint64_t disk = 1)
{
    return { node, disk, "10.0.0.1:70" + node.substr(1), dataCentre };
}

Roster threeMembers()
{
    return { 4, { member("n10", "a"), member("n20", "b"), member("n30", "c") } };
}

Roster nineMembers()
{
    Roster roster { 9, {} };
    for (int i = 0; i < 9; ++i)
        roster.members.push_back(member("n" + std::to_string(10 + i), std::string(1, static_cast<char>('a' + i % 3))));
    return roster;
}

} // namespace

class RosterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RosterTest);
    CPPUNIT_TEST(printedRosterParses);
    CPPUNIT_TEST(badRostersNameTheField);
    CPPUNIT_TEST(replicasSurviveADataCentre);
    CPPUNIT_TEST(copiesMustSpreadOverDataCentres);
    CPPUNIT_TEST(joiningReplacesTheRightMember);
    CPPUNIT_TEST(changesLeadBackToFormerRosters);
    CPPUNIT_TEST_SUITE_END();

    void printedRosterParses()
    {
        Roster roster = threeMembers();
        Roster parsed = handle([&] { return parseRoster(printRoster(roster)); },
            [](const Error& error) -> Roster {
                CPPUNIT_FAIL(error.field + ": " + error.message);
                return {};
            });
        CPPUNIT_ASSERT(parsed == roster);
    }

    void badRostersNameTheField()
    {
        auto fieldOf = [](const char* json) {
            return handle(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_CHECK(parseRoster(json));
                    return std::string("accepted");
                },
                [](const Error& error) { return error.field; });
        };
        CPPUNIT_ASSERT_EQUAL(std::string("epoch"), fieldOf(R"({"members":[]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("members[0].address"),
            fieldOf(R"({"epoch":1,"members":[{"node":"a","disk":1,"address":"x","dataCentre":"a"}]})"));
    }

    // A replica set with its majority in one data centre becomes unavailable when that data centre fails.
    void replicasSurviveADataCentre()
    {
        Roster roster = nineMembers();
        Tolerance tolerance { 2, 1 };
        std::set<std::string> used;
        for (int i = 0; i < 200; ++i) {
            auto replicas = replicasOf(roster, "program" + std::to_string(i), tolerance);
            CPPUNIT_ASSERT_EQUAL(std::size_t(5), replicas.size());
            for (const char* lost : { "a", "b", "c" }) {
                auto left = std::count_if(replicas.begin(), replicas.end(),
                    [&](const RosterMember* replica) { return replica->dataCentre != lost; });
                CPPUNIT_ASSERT(static_cast<std::size_t>(left) >= majorityOf(5));
            }
            for (const RosterMember* replica : replicas)
                used.insert(replica->node);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), used.size());
        Roster three = threeMembers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), replicasOf(three, "p", { 1, 1 }).size());
        Roster none;
        CPPUNIT_ASSERT(replicasOf(none, "p", { 1, 1 }).empty());
    }

    void copiesMustSpreadOverDataCentres()
    {
        Roster roster = nineMembers();
        Tolerance tolerance { 1, 1 };
        CPPUNIT_ASSERT(!enoughCopies({ &roster.members[0] }, tolerance));
        CPPUNIT_ASSERT(!enoughCopies({ &roster.members[0], &roster.members[3] }, tolerance)); // same data centre
        CPPUNIT_ASSERT(enoughCopies({ &roster.members[0], &roster.members[1] }, tolerance));
    }

    void joiningReplacesTheRightMember()
    {
        Roster roster = threeMembers();
        Roster wiped = withMember(roster, member("n20", "b", 77), { "n10" });
        CPPUNIT_ASSERT(wiped.members.size() == 3 && wiped.find("n20")->disk == 77 && wiped.find("n10") != nullptr);
        Roster replaced = withMember(roster, member("n40", "b"), { "n10", "n20" });
        CPPUNIT_ASSERT(replaced.members.size() == 3 && replaced.find("n20") == nullptr && replaced.epoch == 5);
        Roster grown = withMember(roster, member("n40", "b"), {});
        CPPUNIT_ASSERT(grown.members.size() == 4);
        CPPUNIT_ASSERT(withoutMember(grown, "n30").members.size() == 3);
    }

    // Guards against a node that missed a change and asks the wrong members for records.
    void changesLeadBackToFormerRosters()
    {
        std::vector<Roster> rosters { threeMembers() };
        rosters.push_back(withMember(rosters.back(), { "n9", 9, "10.0.0.9:7000", "a" }, {}));
        rosters.push_back(withoutMember(rosters.back(), rosters[0].members[0].node));
        rosters.push_back(withMember(rosters.back(), { "n9", 10, "10.0.0.9:7000", "a" }, {}));
        rosters.push_back(
            withMember(rosters.back(), { "n8", 8, "10.0.0.8:7000", "b" }, { rosters[0].members[1].node }));
        auto former = formerRosters(rosters.back());
        CPPUNIT_ASSERT_EQUAL(rosters.size() - 1, former.size());
        for (std::size_t i = 0; i < former.size(); ++i)
            CPPUNIT_ASSERT(former[i] == withoutChanges(rosters[i]));
        Roster many = rosters.back();
        for (int i = 0; i < 200; ++i)
            many = withMember(many, { "n9", static_cast<std::uint64_t>(100 + i), "10.0.0.9:7000", "a" }, {});
        CPPUNIT_ASSERT(many.changes.size() < 100);
        CPPUNIT_ASSERT_EQUAL(many.changes.size(), formerRosters(many).size());
        Roster parsed = handle([&] { return parseRoster(printRoster(many)); }, [](const Error&) { return Roster {}; });
        CPPUNIT_ASSERT(parsed == many);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

} // namespace lovagecross
