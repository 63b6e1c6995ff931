// Calls that leave the data centre of their gateway, or stay in it.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/spill/SpillControl.h"

namespace lovagecross {

class SpillTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(SpillTest);
    CPPUNIT_TEST(callsStayUntilLeavingPays);
    CPPUNIT_TEST(callsLeaveWithinTheLimitAndReturnIt);
    CPPUNIT_TEST(callsLeaveADataCentreWithoutServers);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<SpillControl> spill;

    void useSpill()
    {
        SpillSettings settings;
        settings.shareStep = 1;
        this->spill = std::make_unique<SpillControl>(SpillNode { "e1", "a" }, this->clock, this->counters, settings);
        this->parts->spill = this->spill.get();
    }

    void addServerIn(const std::string& dataCentre)
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        this->entries.back().dataCentre = dataCentre;
        this->directory->replaceServers(this->entries, this->entries.size() + 1);
    }

    // Until the number of nodes counts as steady, and the load of the own data centre is that of a flood.
    void hearOfFlood()
    {
        const SlotTable slots { { "s", { { "a", 100 }, { "b", 100 } } } };
        LoadSummary here { "a", { "s", 1000, 0, 0, 200 }, 1, milliseconds(100) };
        LoadSummary there { "b", { "s", 78, 0, 0, 200 }, 1, milliseconds(100) };
        TimePoint end = this->clock.now() + SpillControl::steadyFor + milliseconds(300);
        for (; this->clock.now() < end; std::this_thread::sleep_for(milliseconds(50)))
            this->spill->learn({ here, there }, 0, milliseconds(2), slots);
    }

    void call(int number)
    {
        std::string response = this->sendRequest(post("/safe/", "r" + std::to_string(number), "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 "));
    }

    std::uint64_t left(const std::string& cause)
    {
        return this->counters.snapshot().at("gateway.leftDataCentre." + cause);
    }

    // Guards against calls that leave their data centre because of small differences between single servers.
    void callsStayUntilLeavingPays()
    {
        this->useSpill();
        this->addServerIn("a");
        this->addServerIn("b");
        for (int i = 0; i < 20; ++i)
            this->call(i);
        CPPUNIT_ASSERT_EQUAL(20, this->servers[0]->requests());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->left("measured") + this->left("no_server_here"));
    }

    // Guards against permits that are not returned at the end of their calls: once the limit is reached, no call
    // leaves.
    void callsLeaveWithinTheLimitAndReturnIt()
    {
        this->useSpill();
        this->addServerIn("a");
        this->addServerIn("b");
        this->hearOfFlood();
        CPPUNIT_ASSERT_EQUAL(2U, this->spill->decisionOf("s").targets.at(0).limit);
        for (int i = 0; i < 20; ++i)
            this->call(i);
        CPPUNIT_ASSERT(this->servers[1]->requests() >= 15); // 925 of 1000 calls may leave
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(this->servers[1]->requests()), this->left("measured"));
    }

    // Guards against calls that fail in a data centre without servers because nothing is known of the other ones.
    void callsLeaveADataCentreWithoutServers()
    {
        this->useSpill();
        this->addServerIn("b");
        this->call(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->left("no_server_here"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillTest);

} // namespace lovagecross
