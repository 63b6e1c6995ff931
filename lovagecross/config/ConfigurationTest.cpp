#include "lovagecross/config/Configuration.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

const std::string digestA(64, 'a');

const std::string rank = R"("ranks":[{"name":"urgent","floorPercent":60}])";

struct BadInput {
    std::string document;
    std::string field;
    std::string messagePart;
};

Error errorOf(const std::string& document)
{
    return handle(
        [&]() -> Result<Error> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(document));
            return Error { ErrorCode::Internal, "accepted: " + printConfiguration(configuration), {}, {}, Duration(0) };
        },
        [](const Error& error) { return error; });
}

Error validationError(const Configuration& configuration)
{
    return handle(
        [&]() -> Result<Error> {
            if (auto valid = validateConfiguration(configuration); !valid)
                return valid.error();
            return Error { ErrorCode::Internal, "accepted", {}, {}, Duration(0) };
        },
        [](const Error& error) { return error; });
}

Configuration parseOrFail(const std::string& document)
{
    return handle([&] { return parseConfiguration(document); },
        [](const Error& error) -> Configuration {
            CPPUNIT_FAIL(error.field + ": " + error.message);
            return {};
        });
}

// Returns a document with one rank and `members`.
std::string documentWith(const std::string& members)
{
    return "{" + rank + "," + members + "}";
}

std::string documentWithServer(const std::string& members)
{
    return documentWith(
        R"("backendServers":[{"name":"engine1","address":"10.0.1.1:8000","dataCentre":"lodz1",)" + members + "}]");
}

Configuration completeConfiguration()
{
    Configuration configuration;
    configuration.ranks = { { "urgent", 10, 60, 200, 20000 }, { "standard", 1, 40, 1000, 60000 } };
    configuration.tenants = { { "zielone", digestA } };
    configuration.backendServers = {
        { "engine1", BackendKind::Model, "10.0.1.1:8000", "lodz1", { "folimark/quote-7b", "fix" }, "", true, false, 16,
            0 },
        { "press1", BackendKind::Service, "10.0.1.9:8000", "lodz2", {}, "prepress", false, true, 4, 25 },
    };
    configuration.budgets = { { "year", "zielone", 5'000'000'000, 1'900'000'000'000 } };
    configuration.programs = { { "quote", "urgent", 20000, 30, 512 } };
    return configuration;
}

} // namespace

class ConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(printedConfigurationParsesToEqualValue);
    CPPUNIT_TEST(badInputNamesFieldAndLimit);
    CPPUNIT_TEST(configurationBuiltInCodeIsCheckedLikeAParsedOne);
    CPPUNIT_TEST(everyTruncationIsRefusedWithItsPosition);
    CPPUNIT_TEST(mutatedDocumentsAreRefusedOrRoundTrip);
    CPPUNIT_TEST(printedFormIsBounded);
    CPPUNIT_TEST(listsAreBounded);
    CPPUNIT_TEST(diffNamesEachDifference);
    CPPUNIT_TEST_SUITE_END();

    void printedConfigurationParsesToEqualValue()
    {
        CPPUNIT_ASSERT(parseOrFail(printConfiguration(completeConfiguration())) == completeConfiguration());
    }

    // The error must identify the invalid field, so that an operator can correct it without further information.
    void badInputNamesFieldAndLimit()
    {
        const std::string model = R"("kind":"model","models":["m"])";
        const std::string service = R"("kind":"service","service":"tools")";
        const std::vector<BadInput> inputs {
            { "{}", "ranks", "is missing; must be a list of 1 to 32" },
            { R"({"ranks":[]})", "ranks", "a list of 1 to 32" },
            { R"({"ranks":{}})", "ranks", "a list of 1 to 32" },
            { R"({"ranks":[5]})", "ranks[0]", "must be an object" },
            { R"({"ranks":[{}]})", "ranks[0].name", "is missing" },
            { R"({"ranks":[{"name":"a","name":"b"}]})", "ranks[0].name", "given twice" },
            { R"({"ranks":[{"name":"../x"}]})", "ranks[0].name", "1 to 64 characters" },
            { R"({"ranks":[{"name":"a","floorPercent":101}]})", "ranks[0].floorPercent", "from 0 to 100" },
            { R"({"ranks":[{"name":"a","urgency":"high"}]})", "ranks[0].urgency", "from 0 to 1000" },
            { R"({"ranks":[{"name":"a","maxQueued":0}]})", "ranks[0].maxQueued", "from 1 to 1000000" },
            { R"({"ranks":[{"name":"a"},{"name":"b","colour":1}]})", "ranks[1].colour", "not a known key" },
            { R"({"ranks":[{"name":"a"},{"name":"b"},{"name":"a"}]})", "ranks[2].name", "ranks[0].name" },
            { R"({"ranks":[{"name":"a","floorPercent":60},{"name":"b","floorPercent":41}]})", "ranks[1].floorPercent",
                "101; must be at most 100" },
            { documentWith(R"("rank":[])"), "rank", "not a known key; must be one of ranks, tenants" },
            { documentWith(R"("tenants":[{"name":"a","tokenDigest":"secret"}])"), "tenants[0].tokenDigest",
                "64 lower-case" },
            { documentWith(R"("tenants":[{"name":"a","tokenDigest":")" + digestA + R"("},{"name":"b","tokenDigest":")"
                  + digestA + R"("}])"),
                "tenants[1].tokenDigest", "must be unique" },
            { documentWithServer(R"("models":["m"])"), "backendServers[0].kind",
                "is missing; must be one of model, service" },
            { documentWithServer(R"("kind":"gpu")"), "backendServers[0].kind", "one of model, service" },
            { documentWithServer(R"("kind":"model")"), "backendServers[0].models", "at least 1" },
            { documentWithServer(model + R"(,"service":"x")"), "backendServers[0].service", "must be empty" },
            { documentWithServer(model + R"(,"costTokens":1)"), "backendServers[0].costTokens", "must be 0" },
            { documentWithServer(R"("kind":"model","models":["m","m"])"), "backendServers[0].models[1]",
                "already in the list" },
            { documentWithServer(R"("kind":"model","models":["m",7])"), "backendServers[0].models[1]", "1 to 128" },
            { documentWithServer(R"("kind":"service")"), "backendServers[0].service", "must be set" },
            { documentWithServer(service + R"(,"models":["m"])"), "backendServers[0].models", "must be empty" },
            { documentWithServer(service + R"(,"leaving":1)"), "backendServers[0].leaving", "true or false" },
            { documentWithServer(service + R"(,"slots":0)"), "backendServers[0].slots", "from 1 to 4096" },
            { documentWith(R"("backendServers":[{"name":"e","address":"engine:80","dataCentre":"a",)" + model + "}]"),
                "backendServers[0].address", "an IP address and a port" },
            { documentWith(R"("backendServers":[{"name":"e","address":"10.0.0.1:80","dataCentre":"a",)" + model
                  + R"(},{"name":"f","address":"10.0.0.1:80","dataCentre":"a",)" + model + "}]"),
                "backendServers[1].address", "backendServers[0].address" },
            { documentWith(R"("budgets":[{"name":"b","tokens":0}])"), "budgets[0].tokens",
                "from 1 to 1000000000000000" },
            { documentWith(R"("budgets":[{"name":"b","tokens":5,"tenant":"none"}])"), "budgets[0].tenant", "\"none\"" },
            { documentWith(R"("budgets":[{"name":"b","tokens":5,"expiresUnixMillis":-1}])"),
                "budgets[0].expiresUnixMillis", "from 0 to" },
            { documentWith(R"("programs":[{"name":"p","rank":"slow","budgetTokens":5}])"), "programs[0].rank",
                "\"slow\"" },
            { documentWith(R"("programs":[{"name":"p","rank":"urgent"}])"), "programs[0].budgetTokens", "is missing" },
            { documentWith(R"("programs":[{"name":"p")"), "", "ends too early at line 1" },
        };
        for (const BadInput& input : inputs) {
            Error error = errorOf(input.document);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(input.document + " => " + error.message, input.field, error.field);
            CPPUNIT_ASSERT_MESSAGE(
                input.document + " => " + error.message, error.message.find(input.messagePart) != std::string::npos);
            CPPUNIT_ASSERT(error.code == ErrorCode::BadRequest);
        }
        CPPUNIT_ASSERT(errorOf(std::string(maxConfigurationBytes + 1, ' ')).code == ErrorCode::TooLarge);
    }

    // The operators library validates before it prints, so it must accept exactly what `lovagectl apply` accepts.
    void configurationBuiltInCodeIsCheckedLikeAParsedOne()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), validationError(completeConfiguration()).message);
        Configuration configuration = completeConfiguration();
        configuration.budgets[0].tokens = ~std::uint64_t { 0 };
        CPPUNIT_ASSERT_EQUAL(std::string("budgets[0].tokens"), validationError(configuration).field);
        configuration = completeConfiguration();
        configuration.programs[0].rank = "none";
        CPPUNIT_ASSERT_EQUAL(std::string("programs[0].rank"), validationError(configuration).field);
    }

    // A file truncated while it was written must never be accepted as a smaller configuration.
    void everyTruncationIsRefusedWithItsPosition()
    {
        std::string document = printConfiguration(completeConfiguration());
        for (std::size_t length = 0; length < document.size(); ++length) {
            Error error = errorOf(document.substr(0, length));
            std::string position = "(byte " + std::to_string(length) + ")";
            CPPUNIT_ASSERT_MESSAGE(error.message, error.message.starts_with("JSON ends too early at line "));
            CPPUNIT_ASSERT_MESSAGE(error.message, error.message.ends_with(position));
        }
    }

    // Guards against crashes, and against input that is accepted but changes its meaning when it is printed.
    void mutatedDocumentsAreRefusedOrRoundTrip()
    {
        std::mt19937 random(20261204);
        const std::string original = printConfiguration(completeConfiguration());
        const std::string pool = "{}[],:\"\\0123456789.-eEtfnul \n\x80\xff";
        for (int round = 0; round < 4000; ++round) {
            std::string document = original;
            for (int change = 0; change <= round % 3; ++change)
                document[random() % document.size()] = pool[random() % pool.size()];
            handle(
                [&]() -> Result<int> {
                    BOOST_LEAF_AUTO(configuration, parseConfiguration(document));
                    CPPUNIT_ASSERT(parseOrFail(printConfiguration(configuration)) == configuration);
                    return 0;
                },
                [&](const Error& error) {
                    CPPUNIT_ASSERT_MESSAGE(document, !error.message.empty());
                    return 0;
                });
        }
    }

    // The printed form of an accepted configuration must fit into the platform object in which it is stored.
    void printedFormIsBounded()
    {
        std::string list;
        for (int i = 0; i < 5000; ++i) {
            std::string number = std::to_string(i);
            list += (i == 0 ? "" : ",") + (R"({"name":"e)" + number) + R"(","kind":"service","address":"10.)"
                + std::to_string(i / 250) + "." + std::to_string(i % 250) + R"(.1:80","dataCentre":"a","service":")"
                + std::string(64, 's') + R"("})";
        }
        std::string document = documentWith(R"("backendServers":[)" + list + "]");
        CPPUNIT_ASSERT(document.size() < maxConfigurationBytes);
        Error error = errorOf(document);
        CPPUNIT_ASSERT_MESSAGE(error.message, error.code == ErrorCode::TooLarge);
        CPPUNIT_ASSERT(error.message.find("at most 921600") != std::string::npos);
    }

    // Without a limit on lists, one document could exhaust the memory of a node.
    void listsAreBounded()
    {
        Configuration configuration = completeConfiguration();
        for (std::size_t i = 0; i < 31; ++i)
            configuration.ranks.push_back({ "rank" + std::to_string(i), 0, 0, 1, 1 });
        CPPUNIT_ASSERT_EQUAL(std::string("ranks"), validationError(configuration).field);
    }

    void diffNamesEachDifference()
    {
        Configuration after = completeConfiguration();
        after.ranks[0].floorPercent = 20;
        after.backendServers[0].models.pop_back();
        after.backendServers[1].name = "press2";
        after.tenants.clear();
        after.budgets[0].tenant.clear();
        std::vector<std::string> expected {
            "~ ranks[urgent].floorPercent: 60 -> 20",
            "- tenants[zielone]",
            R"(~ backendServers[engine1].models: ["folimark/quote-7b","fix"] -> ["folimark/quote-7b"])",
            "- backendServers[press1]",
            "+ backendServers[press2]",
            "~ budgets[year].tenant: zielone -> (none)",
        };
        std::vector<std::string> lines = diffConfigurations(completeConfiguration(), after);
        for (std::size_t i = 0; i < std::min(lines.size(), expected.size()); ++i)
            CPPUNIT_ASSERT_EQUAL(expected[i], lines[i]);
        CPPUNIT_ASSERT_EQUAL(expected.size(), lines.size());
        CPPUNIT_ASSERT(diffConfigurations(after, after).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace lovagecross
