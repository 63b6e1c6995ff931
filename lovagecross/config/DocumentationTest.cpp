#include "lovagecross/config/Configuration.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/config/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>
#include <string>
#include <variant>

namespace lovagecross {

namespace {

std::string readSourceFile(const std::string& path)
{
    std::ifstream file(std::string(LOVAGECROSS_SOURCE_DIR) + "/" + path);
    CPPUNIT_ASSERT_MESSAGE(path, file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <typename Value> Value valueOf(Result<Value> (*parse)(std::string_view), const std::string& text)
{
    return handle([&] { return parse(text); },
        [](const Error& error) -> Value {
            CPPUNIT_FAIL(error.field + ": " + error.message);
            return {};
        });
}

JsonNode nodeOf(const std::string& text)
{
    return handle([&] { return parseJson(text); }, [](const Error&) { return JsonNode(); });
}

// Returns the start of a field's row in docs/OPERATIONS.md: its key and its default.
std::string rowOf(const std::string& path, const std::string& defaultCell)
{
    return "\n| `" + path + "` | " + defaultCell + " | ";
}

std::string defaultCellOf(const JsonNode& node)
{
    if (const auto* text = std::get_if<std::string>(&node.value))
        return "`" + *text + "`";
    if (const auto* flag = std::get_if<bool>(&node.value))
        return *flag ? "`true`" : "`false`";
    return "`" + std::to_string(std::get<std::int64_t>(node.value)) + "`";
}

void expectRow(const std::string& page, const std::string& row)
{
    CPPUNIT_ASSERT_MESSAGE(
        "docs/OPERATIONS.md lacks a row that starts with" + row, page.find(row) != std::string::npos);
}

} // namespace

// Guards against documentation and packaged files that are out of date with the code.
class DocumentationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DocumentationTest);
    CPPUNIT_TEST(exampleSettingsAreValid);
    CPPUNIT_TEST(exampleConfigurationIsValid);
    CPPUNIT_TEST(eachSettingIsDocumentedWithItsDefault);
    CPPUNIT_TEST(eachConfigurationFieldIsDocumentedWithItsDefault);
    CPPUNIT_TEST_SUITE_END();

    std::string page = readSourceFile("docs/OPERATIONS.md");

    void exampleSettingsAreValid()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("entry1"), valueOf(parseSettings, readSourceFile("packaging/example-settings.json")).node);
    }

    std::string exampleConfiguration()
    {
        std::size_t start = this->page.find("```json\n") + 8;
        return this->page.substr(start, this->page.find("```", start) - start);
    }

    void exampleConfigurationIsValid()
    {
        Configuration configuration = valueOf(parseConfiguration, this->exampleConfiguration());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, configuration.programs.size());
    }

    void eachSettingIsDocumentedWithItsDefault()
    {
        Settings settings;
        JsonNode document = nodeOf(printSettings(settings));
        for (const JsonMember& member : std::get<JsonObject>(document.value)) {
            bool required = std::holds_alternative<std::string>(member.node.value)
                && std::get<std::string>(member.node.value).empty();
            expectRow(this->page, rowOf(member.key, required ? "required" : defaultCellOf(member.node)));
        }
        for (const char* key : { "seeds", "dataFolder", "adminTokenFile", "peerKeyFile" })
            expectRow(this->page, rowOf(key, "none"));
    }

    // Fields that are omitted when empty (models, service, tenant) are not covered.
    void eachConfigurationFieldIsDocumentedWithItsDefault()
    {
        Configuration defaults;
        defaults.ranks.emplace_back();
        defaults.tenants.emplace_back();
        defaults.backendServers.emplace_back();
        defaults.budgets.emplace_back();
        defaults.programs.emplace_back();
        JsonNode document = nodeOf(printConfiguration(defaults));
        for (const JsonMember& list : std::get<JsonObject>(document.value)) {
            expectRow(this->page, rowOf(list.key, list.key == "ranks" ? "required" : "none"));
            const JsonNode& element = std::get<JsonArray>(list.node.value).front();
            for (const JsonMember& member : std::get<JsonObject>(element.value)) {
                std::string path = list.key + "[]." + member.key;
                bool required = this->isRequired(list.key, member.key);
                expectRow(this->page, rowOf(path, required ? "required" : defaultCellOf(member.node)));
            }
        }
    }

    // Whether the example configuration is rejected when this field is removed.
    bool isRequired(const std::string& list, const std::string& key)
    {
        JsonNode document = nodeOf(this->exampleConfiguration());
        for (JsonMember& member : std::get<JsonObject>(document.value)) {
            if (member.key == list)
                std::erase_if(std::get<JsonObject>(std::get<JsonArray>(member.node.value).front().value),
                    [&](const JsonMember& field) { return field.key == key; });
        }
        return handle(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(configuration, parseConfiguration(printJson(document)));
                return configuration.ranks.empty();
            },
            [&](const Error& error) {
                return error.field == list + "[0]." + key && error.message.starts_with("is missing");
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentationTest);

} // namespace lovagecross
