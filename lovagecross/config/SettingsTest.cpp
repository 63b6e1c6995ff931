#include "lovagecross/config/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

constexpr const char* minimal = R"({"node":"entry1","dataCentre":"lodz1","callerAddress":"10.0.0.1:7400",
"adminAddress":"10.0.0.1:7401","peerAddress":"[fd00::1]:7402","platformAddress":"10.0.0.9:7000"})";

struct BadInput {
    std::string document;
    std::string field;
    std::string messagePart;
};

Error errorOf(const std::string& document)
{
    return handle(
        [&]() -> Result<Error> {
            BOOST_LEAF_AUTO(settings, parseSettings(document));
            return Error { ErrorCode::Internal, "accepted: " + printSettings(settings), {}, {}, Duration(0) };
        },
        [](const Error& error) { return error; });
}

Settings parseOrFail(const std::string& document)
{
    return handle([&] { return parseSettings(document); },
        [](const Error& error) -> Settings {
            CPPUNIT_FAIL(error.field + ": " + error.message);
            return {};
        });
}

// Returns the minimal document with `members` inserted at the front.
std::string documentWith(const std::string& members)
{
    return "{" + members + "," + (minimal + 1);
}

std::string minimalWithReplacement(const std::string& from, const std::string& to)
{
    std::string document = minimal;
    return document.replace(document.find(from), from.size(), to);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(minimalDocumentGivesDefaults);
    CPPUNIT_TEST(printedSettingsParseToTheSameText);
    CPPUNIT_TEST(badInputNamesFieldAndLimit);
    CPPUNIT_TEST_SUITE_END();

    void minimalDocumentGivesDefaults()
    {
        Settings settings = parseOrFail(minimal);
        CPPUNIT_ASSERT_EQUAL(std::string("[fd00::1]:7402"), settings.peerAddress);
        CPPUNIT_ASSERT_EQUAL(Settings().leaseMillis, settings.leaseMillis);
        CPPUNIT_ASSERT(settings.seeds.empty());
    }

    // Guards against a field that is read but not printed, or the reverse: the second printed text would differ.
    void printedSettingsParseToTheSameText()
    {
        Settings settings
            = parseOrFail(documentWith(R"("seeds":["10.0.0.2:7402"],"shards":3,"dataFolder":"/var/lib/lovagecross",
            "adminTokenFile":"/etc/a","peerKeyFile":"/etc/b","logLevel":"debug","logFormat":"json","bridgeBytes":0)"));
        CPPUNIT_ASSERT(settings.logFormat == LogFormat::Json);
        std::string printed = printSettings(settings);
        CPPUNIT_ASSERT_EQUAL(printed, printSettings(parseOrFail(printed)));
        CPPUNIT_ASSERT_EQUAL(3U, parseOrFail(printed).shards);
    }

    // The error must identify the invalid field, so that an operator can correct it without further information.
    void badInputNamesFieldAndLimit()
    {
        const std::vector<BadInput> inputs {
            { documentWith(R"("shard":4)"), "shard", "not a known key" },
            { documentWith(R"("shards":0)"), "shards", "from 1 to 100" },
            { documentWith(R"("shards":101)"), "shards", "from 1 to 100" },
            { documentWith(R"("shards":-1)"), "shards", "from 1 to 100" },
            { documentWith(R"("shards":18446744073709551615)"), "shards", "from 1 to 100" },
            { documentWith(R"("shards":99999999999999999999999)"), "shards", "64 bits" },
            { documentWith(R"("shards":"4")"), "shards", "an integer from 1 to 100" },
            { documentWith(R"("shards":4.5)"), "shards", "an integer from 1 to 100" },
            { documentWith(R"("shards":null)"), "shards", "an integer from 1 to 100" },
            { documentWith(R"("shards":4,"shards":4)"), "shards", "given twice" },
            { documentWith(R"("node":"other")"), "node", "given twice" },
            { documentWith(R"("logLevel":"loud")"), "logLevel", "debug, info, warning, error" },
            { documentWith(R"("logFormat":1)"), "logFormat", "keyvalue, json" },
            { documentWith(R"("dataFolder":false)"), "dataFolder", "1024 bytes" },
            { documentWith(R"("seeds":"10.0.0.2:7402")"), "seeds", "a list of 0 to 64" },
            { documentWith(R"("seeds":["10.0.0.2:7402","host:7402"])"), "seeds[1]", "an IP address and a port" },
            { documentWith(R"("seeds":["10.0.0.2:7402","10.0.0.2:7402"])"), "seeds[1]", "already in the list" },
            { documentWith(R"("leaseMillis":6000)"), "leaseMillis", "from 500 to 5000" },
            { documentWith(R"("leaseMillis":1500)"), "promiseIntervalMillis", "which is 500" },
            { documentWith(R"("horizonMillis":11999)"), "horizonMillis", "which is 12000" },
            { documentWith(R"("maxBodyBytes":1048576)"), "maxBodyBytes", "from 1024 to 786432" },
            { minimalWithReplacement("\"node\":\"entry1\",", ""), "node", "is missing; must be 1 to 32" },
            { minimalWithReplacement("entry1", "Entry-1"), "node", "[a-z0-9-]" },
            { minimalWithReplacement("10.0.0.9:7000", "platform:7000"), "platformAddress", "an IP address and a port" },
            { minimalWithReplacement("10.0.0.9:7000", "10.0.0.9"), "platformAddress", "an IP address and a port" },
            { minimalWithReplacement("10.0.0.9:7000", "10.0.0.9:0"), "platformAddress", "from 1 to 65535" },
            { minimalWithReplacement("10.0.0.9:7000", "10.0.0.9:65536"), "platformAddress", "from 1 to 65535" },
            { minimalWithReplacement("10.0.0.9:7000", "0.0.0.0:7000"), "platformAddress", "an IP address and a port" },
            { minimalWithReplacement("[fd00::1]:7402", "fd00::1:7402"), "peerAddress", "an IP address and a port" },
            { minimalWithReplacement("10.0.0.1:7401", "10.0.0.1:7400"), "adminAddress", "differ from callerAddress" },
            { "[]", "", "must be an object" },
            { "5", "", "must be an object" },
            { "{\"shards\":1}}", "", "after the end of the JSON document at line 1, column 13" },
            { "{\"shards\":\n 1,,}", "", "not valid JSON at line 2, column 4 (byte 15)" },
            { "{\"shards\":\n 1", "", "ends too early at line 2, column 2 (byte 13)" },
            { "{\"node\":\"entr", "", "ends too early at line 1, column 13 (byte 13)" },
            { "", "", "ends too early at line 1, column 0 (byte 0)" },
            { "{\"a\":" + std::string(40, '[') + std::string(40, ']') + "}", "", "depth" },
            { std::string(70000, ' '), "", "must be at most 65536" },
        };
        for (const BadInput& input : inputs) {
            Error error = errorOf(input.document);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(input.document + " => " + error.message, input.field, error.field);
            CPPUNIT_ASSERT_MESSAGE(
                input.document + " => " + error.message, error.message.find(input.messagePart) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace lovagecross
