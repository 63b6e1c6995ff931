#include "lovagecross/gateway/QuotaUse.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class QuotaUseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaUseTest);
    CPPUNIT_TEST(laterCallsOfAProgramAreNotTakenForNewOnes);
    CPPUNIT_TEST(firstTurnIsANewProgram);
    CPPUNIT_TEST_SUITE_END();

    Route route;
    Call call;

public:
    void setUp() override
    {
        this->route.kind = RouteKind::Streaming;
        this->route.storesTurns = false;
        this->call.prompt.resize(2);
    }

private:
    // Guards against a program that is refused halfway while new ones are admitted.
    void laterCallsOfAProgramAreNotTakenForNewOnes()
    {
        Call later = this->call;
        later.prompt.resize(3);
        CPPUNIT_ASSERT(quotaUseOf(this->route, later) == QuotaUse::BegunProgram);
        Call takeUp = this->call;
        takeUp.lastEventId = 4;
        CPPUNIT_ASSERT(quotaUseOf(this->route, takeUp) == QuotaUse::BegunProgram);
        Route stored = this->route;
        stored.storesTurns = true;
        Call next = this->call;
        next.previousTurn = "turn-1";
        CPPUNIT_ASSERT(quotaUseOf(stored, next) == QuotaUse::BegunProgram);
        Route tool = this->route;
        tool.kind = RouteKind::Unsafe;
        CPPUNIT_ASSERT(quotaUseOf(tool, this->call) == QuotaUse::BegunProgram);
    }

    // Guards against new programs that go before begun ones.
    void firstTurnIsANewProgram()
    {
        CPPUNIT_ASSERT(quotaUseOf(this->route, this->call) == QuotaUse::NewProgram);
        Route stored = this->route;
        stored.storesTurns = true;
        Call longFirst = this->call;
        longFirst.prompt.resize(5);
        CPPUNIT_ASSERT(quotaUseOf(stored, longFirst) == QuotaUse::NewProgram);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaUseTest);

} // namespace lovagecross
