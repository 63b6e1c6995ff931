#include "lovagecross/spill/DataCentrePolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

DataCentreLoad dataCentre(const std::string& name, std::uint32_t running, std::uint32_t nodes = 10)
{
    DataCentreLoad load { name, 100, {}, nodes, milliseconds(300) };
    load.load.service = "tool";
    load.load.running = running;
    load.load.callMillis = 200;
    return load;
}

} // namespace

class DataCentrePolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DataCentrePolicyTest);
    CPPUNIT_TEST(floodLeavesByStepsUpToTheExcess);
    CPPUNIT_TEST(smallDifferenceKeepsCallsHere);
    CPPUNIT_TEST(leavingEndsBelowALowerThresholdThanItBegins);
    CPPUNIT_TEST(refusalsCountAsDemand);
    CPPUNIT_TEST(longPromptsStayWherePlainCallsLeave);
    CPPUNIT_TEST(oldKnowledgeIsNoRoom);
    CPPUNIT_TEST(ownOldSummaryEndsLeaving);
    CPPUNIT_TEST(fullDataCentresSendNothing);
    CPPUNIT_TEST(sendingDataCentreTakesNothing);
    CPPUNIT_TEST(takingDataCentreSendsNothingUntilAfterAPause);
    CPPUNIT_TEST(partsOfAllNodesAddUpToTheRoom);
    CPPUNIT_TEST(sendersWithdrawFromATargetWithTooManyCalls);
    CPPUNIT_TEST(dataCentreWithoutServersGetsNothing);
    CPPUNIT_TEST_SUITE_END();

    SpillSettings settings;
    TimePoint now { seconds(100) };

    SpillInput input(std::vector<DataCentreLoad> loads)
    {
        this->now += milliseconds(300);
        SpillInput result;
        result.dataCentre = "a";
        result.dataCentres = std::move(loads);
        result.observedAt = this->now;
        return result;
    }

    SpillDecision decide(const SpillInput& given, const SpillDecision& last = {}) const
    {
        return decideSpill(last, given, this->settings, this->now);
    }

    // Guards against a jump to the full share, by which all nodes would send their calls before the effect is known.
    void floodLeavesByStepsUpToTheExcess()
    {
        SpillDecision decision;
        for (int i = 1; i <= 10; ++i) {
            SpillInput flood = this->input({ dataCentre("a", 150), dataCentre("b", 20) });
            decision = this->decide(flood, decision);
            CPPUNIT_ASSERT(decision.reason == SpillReason::Pays);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(std::min(i * 0.1, 0.5), decision.share, 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(decision.share, this->decide(flood, decision).share, 1e-9); // no new summary
        }
        CPPUNIT_ASSERT_EQUAL(std::string("b"), decision.targets.front().dataCentre);
    }

    // Guards against calls that leave for a gain that is smaller than its cost.
    void smallDifferenceKeepsCallsHere()
    {
        SpillDecision decision = this->decide(this->input({ dataCentre("a", 84), dataCentre("b", 20) }));
        CPPUNIT_ASSERT(decision.share == 0 && decision.targets.empty() && decision.reason == SpillReason::NoNeed);
    }

    // Guards against one threshold for both, by which each small change of the load would change the decision.
    void leavingEndsBelowALowerThresholdThanItBegins()
    {
        std::vector<DataCentreLoad> between { dataCentre("a", 84), dataCentre("b", 20) };
        SpillDecision leaves = this->decide(this->input({ dataCentre("a", 95), dataCentre("b", 20) }));
        CPPUNIT_ASSERT(leaves.share > 0);
        CPPUNIT_ASSERT(this->decide(this->input(between), leaves).share > 0);
        CPPUNIT_ASSERT(this->decide(this->input(between)).share == 0);
        SpillDecision ended = this->decide(this->input({ dataCentre("a", 78), dataCentre("b", 20) }), leaves);
        CPPUNIT_ASSERT(ended.share == 0 && ended.targets.empty());
    }

    // Guards against a flood that isn't seen because full servers refuse calls, and against refused calls that are
    // repeated and counted beyond the slots.
    void refusalsCountAsDemand()
    {
        DataCentreLoad full = dataCentre("a", 80);
        full.load.refusals = 200;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(120, demandOf(full), 1e-9);
        CPPUNIT_ASSERT(this->decide(this->input({ full, dataCentre("b", 20) })).share > 0);
        full.load.refusals = 100'000;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(180, demandOf(full), 1e-9);
    }

    // Guards against calls that leave although an engine elsewhere takes longer to read the prompt again than the wait
    // here.
    void longPromptsStayWherePlainCallsLeave()
    {
        SpillInput flood = this->input({ dataCentre("a", 100), dataCentre("b", 20) });
        CPPUNIT_ASSERT(this->decide(flood).share > 0);
        flood.size.promptTokens = 5000;
        CPPUNIT_ASSERT(this->decide(flood).share == 0);
        flood.dataCentres[0].load.running = 190;
        CPPUNIT_ASSERT(this->decide(flood).share > 0);
    }

    // Guards against calls to a data centre that may be full or unreachable by now.
    void oldKnowledgeIsNoRoom()
    {
        SpillInput flood = this->input({ dataCentre("a", 150), dataCentre("b", 20) });
        SpillDecision leaves = this->decide(flood);
        flood.dataCentres[1].age = milliseconds(1001);
        SpillDecision decision = this->decide(flood, leaves);
        CPPUNIT_ASSERT(decision.share == 0 && decision.reason == SpillReason::OldKnowledge);
    }

    // Guards against calls that go on leaving by an old load of the own data centre, or without one.
    void ownOldSummaryEndsLeaving()
    {
        SpillInput flood = this->input({ dataCentre("a", 150), dataCentre("b", 20) });
        SpillDecision leaves = this->decide(flood);
        flood.dataCentres[0].age = seconds(2);
        CPPUNIT_ASSERT(this->decide(flood, leaves).reason == SpillReason::OldKnowledge);
        flood.dataCentres.erase(flood.dataCentres.begin());
        CPPUNIT_ASSERT(this->decide(flood, leaves).share == 0);
    }

    // Guards against calls between two full data centres, which cost the way and gain nothing.
    void fullDataCentresSendNothing()
    {
        SpillDecision here = this->decide(this->input({ dataCentre("a", 150), dataCentre("b", 100) }));
        CPPUNIT_ASSERT(here.share == 0 && here.reason == SpillReason::NoRoom);
    }

    // Guards against calls to a data centre that sends its own calls away.
    void sendingDataCentreTakesNothing()
    {
        DataCentreLoad sender = dataCentre("b", 20);
        sender.load.sent = { { "c", 1 } };
        SpillDecision decision = this->decide(this->input({ dataCentre("a", 150), sender, dataCentre("c", 90) }));
        CPPUNIT_ASSERT(decision.share == 0 && decision.reason == SpillReason::NoRoom);
    }

    // Guards against calls in both directions at the same time when the demand moves from one data centre to the other.
    void takingDataCentreSendsNothingUntilAfterAPause()
    {
        DataCentreLoad sender = dataCentre("b", 20);
        sender.load.sent = { { "a", 1 } };
        SpillDecision last = this->decide(this->input({ dataCentre("a", 150), sender }));
        CPPUNIT_ASSERT(last.share == 0 && last.reason == SpillReason::TakesCalls);
        sender.load.sent.clear();
        for (int i = 0; i < 4; ++i) {
            last = this->decide(this->input({ dataCentre("a", 150), sender }), last);
            CPPUNIT_ASSERT(last.share == 0);
        }
        last = this->decide(this->input({ dataCentre("a", 150), sender }), last);
        CPPUNIT_ASSERT(last.share > 0);
    }

    // Guards against nodes that fill a target several times over by deciding on the same summary.
    void partsOfAllNodesAddUpToTheRoom()
    {
        for (std::uint32_t nodes : { 1U, 3U, 37U, 74U, 299U }) {
            for (std::uint32_t others : { 0U, 1U, 50U }) {
                std::int64_t sum = 0;
                std::int64_t room = 0;
                for (std::uint32_t rank = 0; rank < nodes; ++rank) {
                    DataCentreLoad here = dataCentre("a", 150, nodes);
                    here.load.sent = { { "b", 2 * nodes } };
                    DataCentreLoad target = dataCentre("b", 20);
                    target.slots = 1000;
                    SpillInput given = this->input({ here, target, dataCentre("c", 0, others) });
                    given.rank = rank;
                    given.kept = { { "b", 2 } };
                    room = roomOf(target, given.dataCentres, this->settings);
                    for (const SpillTarget& entry : this->decide(given).targets)
                        sum += entry.dataCentre == "b" ? entry.limit : 0;
                }
                CPPUNIT_ASSERT(sum <= room + 2 * nodes);
                CPPUNIT_ASSERT(sum + 1 >= room * nodes / (nodes + others) + 2 * nodes);
            }
        }
    }

    // Guards against limits that never shrink, so that the target's own callers find its servers full.
    void sendersWithdrawFromATargetWithTooManyCalls()
    {
        DataCentreLoad here = dataCentre("a", 170);
        here.load.sent = { { "b", 40 } };
        SpillInput given = this->input({ here, dataCentre("b", 60) });
        given.kept = { { "b", 4 } };
        SpillDecision last;
        last.targets = { { "b", 4, 30 } };
        CPPUNIT_ASSERT_EQUAL(2U, this->decide(given, last).targets.front().limit);
    }

    // Guards against a data centre without servers that seems to have no load.
    void dataCentreWithoutServersGetsNothing()
    {
        DataCentreLoad empty = dataCentre("b", 0);
        empty.slots = 0;
        CPPUNIT_ASSERT(this->decide(this->input({ dataCentre("a", 150), empty })).share == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataCentrePolicyTest);

} // namespace lovagecross
