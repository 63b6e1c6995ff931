#include "lovagecross/operators/ConfigurationBuilder.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>
#include <string>
#include <type_traits>

namespace lovagecross {

class ConfigurationBuilderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationBuilderTest);
    CPPUNIT_TEST(declarationsBecomeFields);
    CPPUNIT_TEST(invalidDeclarationIsExplainedAndNotPrinted);
    CPPUNIT_TEST(handlesComeFromABuilderOnly);
    CPPUNIT_TEST_SUITE_END();

    void declarationsBecomeFields()
    {
        using namespace std::chrono;
        ConfigurationBuilder builder;
        auto rank = builder.addRank("urgent", { .urgency = 3, .floorPercent = 50, .maxQueued = 9, .callTimeout = 7s });
        auto tenant = builder.addTenant("zielone", std::string(64, 'a'));
        builder.addModelServer("e1",
            { .address = "10.0.1.1:80",
                .dataCentre = "a",
                .models = { "m" },
                .slots = 2,
                .checksEpoch = true,
                .leaving = true });
        builder.addServiceServer("s1",
            { .address = "10.0.1.2:80",
                .dataCentre = "b",
                .service = "tools",
                .costTokens = 5,
                .slots = 3,
                .checksEpoch = true });
        builder.addBudget("year", tenant, { .tokens = 10, .expires = sys_days { 1970y / January / 2 } });
        builder.addProgram("quote", rank, { .budgetTokens = 11, .maxTurns = 12, .maxTokensPerCall = 13 });
        Configuration expected;
        expected.ranks = { { "urgent", 3, 50, 9, 7000 } };
        expected.tenants = { { "zielone", std::string(64, 'a') } };
        expected.backendServers = { { "e1", BackendKind::Model, "10.0.1.1:80", "a", { "m" }, "", true, true, 2, 0 },
            { "s1", BackendKind::Service, "10.0.1.2:80", "b", {}, "tools", true, false, 3, 5 } };
        expected.budgets = { { "year", "zielone", 10, 86'400'000 } };
        expected.programs = { { "quote", "urgent", 11, 12, 13 } };
        Configuration built = handle([&] { return builder.build(); }, [](const Error&) { return Configuration(); });
        CPPUNIT_ASSERT(expected == built);
    }

    // An invalid configuration must be reported here and print nothing, or only `lovagectl apply` would find the fault.
    void invalidDeclarationIsExplainedAndNotPrinted()
    {
        ConfigurationBuilder builder;
        builder.addRank("urgent", { .callTimeout = std::chrono::milliseconds(-5) });
        std::ostringstream out;
        std::ostringstream err;
        CPPUNIT_ASSERT_EQUAL(1, printOrExplain(builder, out, err));
        CPPUNIT_ASSERT(out.str().empty());
        CPPUNIT_ASSERT(err.str().starts_with("ranks[0].callTimeoutMillis: must be an integer from 1 to"));
    }

    // Ranks and tenants are passed as handles, since a name passed as a string can be mistyped.
    void handlesComeFromABuilderOnly()
    {
        CPPUNIT_ASSERT((!std::is_constructible_v<RankHandle, std::string>));
        CPPUNIT_ASSERT((!std::is_convertible_v<TenantHandle, RankHandle>));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationBuilderTest);

} // namespace lovagecross
