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

Settings parsed(const std::string& document)
{
    return handle([&] { return parseSettings(document); },
        [](const Error& error) -> Settings {
            CPPUNIT_FAIL(error.field + ": " + error.message);
            return {};
        });
}

// The minimal document with `members` added in front.
std::string with(const std::string& members)
{
    return "{" + members + "," + (minimal + 1);
}

std::string replaced(const std::string& from, const std::string& to)
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
        Settings settings = parsed(minimal);
        CPPUNIT_ASSERT_EQUAL(std::string("[fd00::1]:7402"), settings.peerAddress);
        CPPUNIT_ASSERT_EQUAL(Settings().leaseMillis, settings.leaseMillis);
        CPPUNIT_ASSERT(settings.seeds.empty());
    }

    // A field that is read but not printed, or the reverse, changes the text on the way.
    void printedSettingsParseToTheSameText()
    {
        Settings settings = parsed(with(R"("seeds":["10.0.0.2:7402"],"shards":3,"dataFolder":"/var/lib/lovagecross",
            "adminTokenFile":"/etc/a","peerKeyFile":"/etc/b","logLevel":"debug","logFormat":"json","bridgeBytes":0)"));
        CPPUNIT_ASSERT(settings.logFormat == LogFormat::Json);
        std::string printed = printSettings(settings);
        CPPUNIT_ASSERT_EQUAL(printed, printSettings(parsed(printed)));
        CPPUNIT_ASSERT_EQUAL(3U, parsed(printed).shards);
    }

    // An operator must find the wrong field from the message alone.
    void badInputNamesFieldAndLimit()
    {
        const std::vector<BadInput> inputs {
            { with(R"("shard":4)"), "shard", "not a known key" },
            { with(R"("shards":0)"), "shards", "from 1 to 100" },
            { with(R"("shards":101)"), "shards", "from 1 to 100" },
            { with(R"("shards":-1)"), "shards", "from 1 to 100" },
            { with(R"("shards":18446744073709551615)"), "shards", "from 1 to 100" },
            { with(R"("shards":99999999999999999999999)"), "shards", "64 bits" },
            { with(R"("shards":"4")"), "shards", "an integer from 1 to 100" },
            { with(R"("shards":4.5)"), "shards", "an integer from 1 to 100" },
            { with(R"("shards":null)"), "shards", "an integer from 1 to 100" },
            { with(R"("shards":4,"shards":4)"), "shards", "given twice" },
            { with(R"("node":"other")"), "node", "given twice" },
            { with(R"("logLevel":"loud")"), "logLevel", "debug, info, warning, error" },
            { with(R"("logFormat":1)"), "logFormat", "keyvalue, json" },
            { with(R"("dataFolder":false)"), "dataFolder", "1024 bytes" },
            { with(R"("seeds":"10.0.0.2:7402")"), "seeds", "a list of 0 to 64" },
            { with(R"("seeds":["10.0.0.2:7402","host:7402"])"), "seeds[1]", "an IP address and a port" },
            { with(R"("seeds":["10.0.0.2:7402","10.0.0.2:7402"])"), "seeds[1]", "already in the list" },
            { with(R"("leaseMillis":6000)"), "leaseMillis", "from 500 to 5000" },
            { with(R"("leaseMillis":1500)"), "promiseIntervalMillis", "which is 500" },
            { with(R"("horizonMillis":11999)"), "horizonMillis", "which is 12000" },
            { with(R"("maxBodyBytes":1048576)"), "maxBodyBytes", "from 1024 to 786432" },
            { replaced("\"node\":\"entry1\",", ""), "node", "is missing; must be 1 to 32" },
            { replaced("entry1", "Entry-1"), "node", "[a-z0-9-]" },
            { replaced("10.0.0.9:7000", "platform:7000"), "platformAddress", "an IP address and a port" },
            { replaced("10.0.0.9:7000", "10.0.0.9"), "platformAddress", "an IP address and a port" },
            { replaced("10.0.0.9:7000", "10.0.0.9:0"), "platformAddress", "from 1 to 65535" },
            { replaced("10.0.0.9:7000", "10.0.0.9:65536"), "platformAddress", "from 1 to 65535" },
            { replaced("10.0.0.9:7000", "0.0.0.0:7000"), "platformAddress", "an IP address and a port" },
            { replaced("[fd00::1]:7402", "fd00::1:7402"), "peerAddress", "an IP address and a port" },
            { replaced("10.0.0.1:7401", "10.0.0.1:7400"), "adminAddress", "differ from callerAddress" },
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
