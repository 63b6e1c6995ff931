#include "lovagecross/gateway/RelayTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class RelayTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayTableTest);
    CPPUNIT_TEST(nodesThatFailAreTriedLessAndLess);
    CPPUNIT_TEST(singleFailuresPauseShortly);
    CPPUNIT_TEST(emptyListKeepsTheNodes);
    CPPUNIT_TEST(busyNodeIsLeftOutForTheTimeThatItNames);
    CPPUNIT_TEST(nodeWithoutAPathIsLeftOutShortly);
    CPPUNIT_TEST(nodeThatStopsIsLeftOutUntilItsNextOffer);
    CPPUNIT_TEST(nodeThatStopsStaysGoneWhenItCantBeReached);
    CPPUNIT_TEST(declinesAreNoFailures);
    CPPUNIT_TEST(nodeWhosePauseEndsFirstIsTheBestGuess);
    CPPUNIT_TEST(nodesOutOfReachAreRarelyGuessed);
    CPPUNIT_TEST(answerEndsWhatWasKnownBefore);
    CPPUNIT_TEST(reasonAndItsAgeAreKept);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;

    static constexpr const char* first = "10.0.0.1:80";
    static constexpr const char* second = "10.0.0.2:80";

    ManualClock clock;

    static RelayDecline decline(DeclineReason reason) { return { reason, milliseconds(200) }; }

    static std::vector<RelayNode> both() { return { { first, "a" }, { second, "b" } }; }

    static bool usable(RelayTable& relays) { return !relays.choose(1).empty(); }

    // The address of the guess, or an empty string.
    static std::string guess(RelayTable& relays)
    {
        auto choice = relays.next({});
        CPPUNIT_ASSERT(!choice || choice->isGuess);
        return choice ? choice->node.address : std::string();
    }

    // Guards against calls that wait for one unreachable node after another, each time anew, at a node that is cut off
    // from all others and could refuse them at once.
    void nodesThatFailAreTriedLessAndLess()
    {
        RelayTable relays(this->clock);
        relays.replace({ { "10.0.0.1:80", "a" } });
        int tried = 0;
        for (int i = 0; i < 300; ++i) { // half a minute
            for (const RelayNode& node : relays.choose(3)) {
                ++tried;
                relays.failed(node.address);
                relays.failed(node.address); // by another call
            }
            this->clock.advance(std::chrono::milliseconds(100));
            relays.replace({ { "10.0.0.1:80", "a" } });
        }
        CPPUNIT_ASSERT(tried >= 5 && tried <= 10);
    }

    // Guards against a node that is left out for long because of a failure some time ago.
    void singleFailuresPauseShortly()
    {
        RelayTable relays(this->clock);
        relays.replace({ { "10.0.0.1:80", "a" } });
        for (int i = 0; i < 4; ++i) {
            relays.failed("10.0.0.1:80");
            CPPUNIT_ASSERT(relays.choose(1).empty());
            this->clock.advance(RelayTable::failurePause);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(1).size());
            this->clock.advance(std::chrono::seconds(3));
        }
    }

    // Guards against a node that forgets the others when it can ask nobody for them.
    void emptyListKeepsTheNodes()
    {
        RelayTable relays(this->clock);
        CPPUNIT_ASSERT(relays.empty());
        relays.replace({ { "10.0.0.1:80", "a" }, { "10.0.0.2:80", "b" } });
        relays.replace({});
        CPPUNIT_ASSERT(!relays.empty() && relays.choose(3).size() == 2 && relays.choose(1).size() == 1);
    }

    // Guards against a node that is left out for longer, or not as long, as it asks for.
    void busyNodeIsLeftOutForTheTimeThatItNames()
    {
        RelayTable relays(this->clock);
        relays.replace({ { first, "a" } });
        for (int i = 0; i < 5; ++i) {
            relays.declined(first, decline(DeclineReason::Busy));
            this->clock.advance(milliseconds(199));
            CPPUNIT_ASSERT(!usable(relays));
            this->clock.advance(milliseconds(1));
            CPPUNIT_ASSERT(usable(relays));
        }
        relays.declined(first, { DeclineReason::Busy, std::chrono::hours(1) });
        this->clock.advance(RelayTable::maxBusyPause);
        CPPUNIT_ASSERT(usable(relays));
    }

    // Guards against a node that is left out for seconds, as one that failed, because it lacked a path for a moment.
    void nodeWithoutAPathIsLeftOutShortly()
    {
        RelayTable relays(this->clock);
        relays.replace({ { first, "a" } });
        using enum DeclineReason;
        for (DeclineReason reason : { NoPath, NoPath, OlderConfiguration, Unstated }) {
            relays.declined(first, decline(reason));
            CPPUNIT_ASSERT(!usable(relays));
            this->clock.advance(RelayTable::declinePause);
            CPPUNIT_ASSERT(usable(relays));
        }
    }

    // Guards against calls that go to a node that stops, and against one that is left out after it came back. An offer
    // from before the stop may still be in the lists of record nodes.
    void nodeThatStopsIsLeftOutUntilItsNextOffer()
    {
        RelayTable relays(this->clock);
        relays.replace(both());
        relays.declined(first, decline(DeclineReason::Stopping));
        for (int i = 0; i < 4; ++i) {
            this->clock.advance(milliseconds(500));
            relays.replace(both());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(2).size());
        }
        this->clock.advance(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(2).size());
        relays.replace({ { second, "b" } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(2).size());
        relays.replace(both());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relays.choose(2).size());
    }

    // Guards against a node that is tried again without an offer, because a call found that it can't be reached.
    void nodeThatStopsStaysGoneWhenItCantBeReached()
    {
        RelayTable relays(this->clock);
        relays.replace(both());
        relays.declined(first, decline(DeclineReason::Stopping));
        relays.failed(first);
        this->clock.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.choose(2).size());
        this->clock.advance(RelayTable::maxOfferAge);
        relays.replace(both());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relays.choose(2).size());
    }

    // Guards against a node that is left out for 5 s at its first failure, because it had declined before.
    void declinesAreNoFailures()
    {
        RelayTable relays(this->clock);
        relays.replace({ { first, "a" } });
        relays.declined(first, decline(DeclineReason::Busy));
        this->clock.advance(std::chrono::seconds(1));
        relays.failed(first);
        this->clock.advance(RelayTable::failurePause);
        CPPUNIT_ASSERT(usable(relays));
    }

    // Guards against a refusal without any attempt while a node may take the call by now.
    void nodeWhosePauseEndsFirstIsTheBestGuess()
    {
        RelayTable relays(this->clock);
        relays.replace(both());
        relays.declined(first, decline(DeclineReason::NoPath));
        auto choice = relays.next({});
        CPPUNIT_ASSERT(choice && !choice->isGuess && choice->node.address == second);
        relays.declined(second, decline(DeclineReason::Busy));
        CPPUNIT_ASSERT_EQUAL(std::string(second), guess(relays));
        choice = relays.next({ second });
        CPPUNIT_ASSERT(choice && choice->isGuess && choice->node.address == first);
        CPPUNIT_ASSERT(!relays.next({ first, second }));
        relays.failed(second);
        CPPUNIT_ASSERT_EQUAL(std::string(first), guess(relays));
    }

    // Guards against calls that each wait for a node that has just been found to be out of reach, and against a node
    // that is left out for 5 s although it is back.
    void nodesOutOfReachAreRarelyGuessed()
    {
        RelayTable relays(this->clock);
        relays.replace(both());
        std::map<std::string, int> guesses;
        for (int i = 0; i < 100; ++i) { // ten seconds
            while (auto choice = relays.next({})) {
                guesses[choice->node.address] += choice->isGuess ? 1 : 0;
                relays.failed(choice->node.address);
            }
            this->clock.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT(guesses[first] >= 3 && guesses[second] >= 3);
        CPPUNIT_ASSERT(guesses[first] + guesses[second] <= 14); // one in 0.7 s
        relays.declined(first, decline(DeclineReason::Stopping));
        CPPUNIT_ASSERT(guess(relays) != first);
    }

    // Guards against a node that is left out by old knowledge after it took a call, and against the reverse: an answer
    // to a call from before the node began to stop.
    void answerEndsWhatWasKnownBefore()
    {
        RelayTable relays(this->clock);
        relays.replace({ { first, "a" } });
        TimePoint before = this->clock.now();
        this->clock.advance(milliseconds(10));
        relays.declined(first, decline(DeclineReason::Stopping));
        relays.answered(first, before);
        CPPUNIT_ASSERT(!usable(relays));
        relays.answered(first, this->clock.now());
        CPPUNIT_ASSERT(usable(relays));
        relays.failed(first);
        relays.answered(first, this->clock.now());
        CPPUNIT_ASSERT(usable(relays));
        relays.failed(first); // again soon after
        this->clock.advance(RelayTable::failurePause);
        CPPUNIT_ASSERT(!usable(relays));
    }

    // Guards against a refusal that names the wrong reason, or another age than that of its knowledge.
    void reasonAndItsAgeAreKept()
    {
        RelayTable relays(this->clock);
        relays.replace({ { first, "a" } });
        CPPUNIT_ASSERT(!relays.whyLeftOut());
        const std::map<DeclineReason, RelayProblem> expected = {
            { DeclineReason::Busy, RelayProblem::Busy },
            { DeclineReason::NoPath, RelayProblem::Declined },
            { DeclineReason::OlderConfiguration, RelayProblem::Declined },
            { DeclineReason::Unstated, RelayProblem::Declined },
            { DeclineReason::Stopping, RelayProblem::Gone },
        };
        relays.failed(first);
        CPPUNIT_ASSERT(relays.whyLeftOut()->problem == RelayProblem::Failed);
        for (const auto& [reason, problem] : expected) {
            relays.declined(first, decline(reason));
            this->clock.advance(milliseconds(120));
            auto known = relays.whyLeftOut();
            CPPUNIT_ASSERT(known && known->problem == problem);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(120), toMillis(known->age));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTableTest);

} // namespace lovagecross
