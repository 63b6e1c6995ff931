#include "lovagecross/config/Configuration.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

// What the example declares, written out field by field.
Configuration expectedConfiguration()
{
    Configuration configuration;
    configuration.ranks = { { "urgent", 10, 60, 200, 20000 }, { "standard", 1, 40, 1000, 60000 } };
    const std::array<const char*, 3> dataCentres { "lodz1", "lodz2", "lodz3" };
    for (std::size_t i = 0; i < 10; ++i) {
        std::string number = std::to_string(i + 1);
        configuration.backendServers.push_back({ "engine" + number, BackendKind::Model, "10.20.1." + number + ":8000",
            dataCentres.at(i % 3), { "bags/quote-8b", "bags/artwork-8b" }, "", true, false, 16, 0 });
    }
    for (std::size_t i = 0; i < 6; ++i) {
        std::string number = std::to_string(i + 1);
        configuration.backendServers.push_back({ "prepress" + number, BackendKind::Service,
            "10.20.2." + number + ":8080", dataCentres.at(i % 3), {}, "prepress", false, false, 4, 20 });
    }
    configuration.backendServers.push_back(
        { "orders1", BackendKind::Service, "10.20.3.1:8090", "lodz1", {}, "orders", false, false, 1, 50 });
    configuration.budgets = { { "credits", "", 4'000'000'000, 1'814'313'600'000 } };
    configuration.programs = { { "stop-press", "urgent", 20000, 12, 512 },
        { "artwork-fix", "urgent", 150000, 140, 1024 }, { "quote", "standard", 60000, 40, 2048 } };
    return configuration;
}

struct Run {
    int status = -1;
    std::string output;
};

Run runExample()
{
    Run run;
    std::FILE* pipe = popen(PRINT_BAGS_CONFIGURATION, "r");
    CPPUNIT_ASSERT(pipe != nullptr);
    std::array<char, 4096> block {};
    while (std::size_t count = std::fread(block.data(), 1, block.size(), pipe))
        run.output.append(block.data(), count);
    run.status = pclose(pipe);
    return run;
}

} // namespace

class PrintBagsConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PrintBagsConfigurationTest);
    CPPUNIT_TEST(outputParsesToTheDeclaredConfiguration);
    CPPUNIT_TEST_SUITE_END();

    // What an operator declares must be what the system is told, for each field.
    void outputParsesToTheDeclaredConfiguration()
    {
        Run run = runExample();
        CPPUNIT_ASSERT_EQUAL(0, run.status);
        Configuration parsed = handle([&] { return parseConfiguration(run.output); },
            [](const Error& error) -> Configuration {
                CPPUNIT_FAIL(error.field + ": " + error.message);
                return {};
            });
        for (const std::string& line : diffConfigurations(expectedConfiguration(), parsed))
            CPPUNIT_FAIL(line);
        CPPUNIT_ASSERT(expectedConfiguration() == parsed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrintBagsConfigurationTest);

} // namespace lovagecross
