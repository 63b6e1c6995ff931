#include "lovagecross/runtime/DecisionLog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace lovagecross {

class DecisionLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(unknownCallIsNotFound);
    CPPUNIT_TEST(newestDecisionOfACallIsFound);
    CPPUNIT_TEST(oldestDecisionsAreDropped);
    CPPUNIT_TEST_SUITE_END();

    static CallDecision decision(const std::string& call, const std::string& outcome)
    {
        CallDecision made;
        made.call = call;
        made.outcome = outcome;
        return made;
    }

    void unknownCallIsNotFound()
    {
        DecisionLog log(2);
        log.add(decision("p:a", "succeeded"));
        CPPUNIT_ASSERT(!log.find("p:b"));
        CPPUNIT_ASSERT(!log.find("p"));
        CPPUNIT_ASSERT(!log.find(""));
    }

    // For a call that was rejected and then retried with the same request id, the log must return the retry.
    void newestDecisionOfACallIsFound()
    {
        DecisionLog log;
        log.add(decision("p:a", "refused: queue full"));
        log.add(decision("p:b", "failed"));
        log.add(decision("p:a", "succeeded"));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), log.find("p:a")->outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), log.find("p:b")->outcome);
    }

    // The log must have a fixed capacity, or its memory would grow with the number of calls.
    void oldestDecisionsAreDropped()
    {
        DecisionLog log;
        for (int i = 0; i < 1500; ++i)
            log.add(decision("p:" + std::to_string(i), "succeeded"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), log.size());
        CPPUNIT_ASSERT(!log.find("p:499"));
        CPPUNIT_ASSERT(log.find("p:500").has_value());
        CPPUNIT_ASSERT(log.find("p:1499").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace lovagecross
