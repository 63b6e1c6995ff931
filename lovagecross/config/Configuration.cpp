#include "lovagecross/config/Configuration.h"

#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/config/JsonWriter.h"
#include "lovagecross/config/TextRules.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxRanks = 32;
constexpr std::size_t maxTenants = 1000;
constexpr std::size_t maxBackendServers = 5000; // expected within two years: 1,300 workers and their services
constexpr std::size_t maxBudgets = 1000;
constexpr std::size_t maxPrograms = 1000;
constexpr std::size_t maxModels = 64;
constexpr std::uint32_t maxFloorPercent = 100;
constexpr std::int64_t maxTokens = 1'000'000'000'000'000;
constexpr std::int64_t maxUnixMillis = 253'402'300'799'999; // the end of the year 9999
constexpr std::int64_t oneDayMillis = 24 * 60 * 60 * 1000;

// The functions below visit the fields of each struct in document order, for both reading and writing.
template <typename Visitor, typename RankType> void visitRank(Visitor& visit, RankType& rank)
{
    visit.text("name", rank.name, nameRule, Presence::Required);
    visit.integer("urgency", rank.urgency, { 0, 1000 });
    visit.integer("floorPercent", rank.floorPercent, { 0, maxFloorPercent });
    visit.integer("maxQueued", rank.maxQueued, { 1, 1'000'000 });
    visit.integer("callTimeoutMillis", rank.callTimeoutMillis, { 1, oneDayMillis });
}

template <typename Visitor, typename TenantType> void visitTenant(Visitor& visit, TenantType& tenant)
{
    visit.text("name", tenant.name, nameRule, Presence::Required);
    visit.text("tokenDigest", tenant.tokenDigest, sha256Rule, Presence::Required);
}

template <typename Visitor, typename ServerType> void visitBackendServer(Visitor& visit, ServerType& server)
{
    visit.text("name", server.name, nameRule, Presence::Required);
    visit.enumeration("kind", server.kind, backendKindNames, Presence::Required);
    visit.text("address", server.address, addressRule, Presence::Required);
    visit.text("dataCentre", server.dataCentre, idRule, Presence::Required);
    visit.texts("models", server.models, modelRule, { 0, maxModels });
    visit.text("service", server.service, optionalNameRule);
    visit.boolean("checksEpoch", server.checksEpoch);
    visit.boolean("leaving", server.leaving);
    visit.integer("slots", server.slots, { 1, 4096 });
    visit.integer("costTokens", server.costTokens, { 0, 1'000'000'000 });
}

template <typename Visitor, typename BudgetType> void visitBudget(Visitor& visit, BudgetType& budget)
{
    visit.text("name", budget.name, nameRule, Presence::Required);
    visit.text("tenant", budget.tenant, optionalNameRule);
    visit.integer("tokens", budget.tokens, { 1, maxTokens }, Presence::Required);
    visit.integer("expiresUnixMillis", budget.expiresUnixMillis, { 0, maxUnixMillis });
}

template <typename Visitor, typename ProgramType> void visitProgram(Visitor& visit, ProgramType& program)
{
    visit.text("name", program.name, nameRule, Presence::Required);
    visit.text("rank", program.rank, nameRule, Presence::Required);
    visit.integer("budgetTokens", program.budgetTokens, { 1, maxTokens }, Presence::Required);
    visit.integer("maxTurns", program.maxTurns, { 1, 10'000 });
    visit.integer("maxTokensPerCall", program.maxTokensPerCall, { 1, 1'000'000 });
}

template <typename Visitor, typename ConfigurationType>
void visitConfiguration(Visitor& visit, ConfigurationType& configuration)
{
    visit.objects(
        "ranks", configuration.ranks, { 1, maxRanks }, [](auto& v, auto& rank) { visitRank(v, rank); },
        Presence::Required);
    visit.objects(
        "tenants", configuration.tenants, { 0, maxTenants }, [](auto& v, auto& tenant) { visitTenant(v, tenant); });
    visit.objects("backendServers", configuration.backendServers, { 0, maxBackendServers },
        [](auto& v, auto& server) { visitBackendServer(v, server); });
    visit.objects(
        "budgets", configuration.budgets, { 0, maxBudgets }, [](auto& v, auto& budget) { visitBudget(v, budget); });
    visit.objects("programs", configuration.programs, { 0, maxPrograms },
        [](auto& v, auto& program) { visitProgram(v, program); });
}

JsonNode toNode(const Configuration& configuration)
{
    JsonWriter writer;
    visitConfiguration(writer, configuration);
    return writer.take();
}

Configuration readConfiguration(const JsonNode& document, JsonErrors& errors)
{
    Configuration configuration;
    JsonReader reader(document, {}, errors);
    visitConfiguration(reader, configuration);
    reader.finish();
    return configuration;
}

std::string elementPath(std::string_view list, std::size_t index, std::string_view key)
{
    return joinPath(joinPath(list, index), key);
}

template <typename Struct>
void checkUnique(std::string_view listName, const std::vector<Struct>& list, std::string Struct::*member,
    std::string_view key, JsonErrors& errors)
{
    std::map<std::string_view, std::size_t> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        auto [earlier, added] = seen.emplace(list[i].*member, i);
        if (!added)
            errors.report(elementPath(listName, i, key),
                "is already used by " + elementPath(listName, earlier->second, key) + "; must be unique");
    }
}

template <typename Struct> bool hasName(const std::vector<Struct>& list, std::string_view name)
{
    return std::any_of(list.begin(), list.end(), [&](const Struct& element) { return element.name == name; });
}

void checkFloors(const std::vector<Rank>& ranks, JsonErrors& errors)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        sum += ranks[i].floorPercent;
        if (sum > maxFloorPercent)
            errors.report(elementPath("ranks", i, "floorPercent"),
                "brings the sum of floors to " + std::to_string(sum) + "; must be at most "
                    + std::to_string(maxFloorPercent));
    }
}

void checkServer(const BackendServer& server, std::size_t index, JsonErrors& errors)
{
    auto report = [&](std::string_view key, const char* message) {
        errors.report(elementPath("backendServers", index, key), message);
    };
    if (server.kind == BackendKind::Model) {
        if (server.models.empty())
            report("models", "must name at least 1 model when kind is model");
        if (!server.service.empty())
            report("service", "must be empty when kind is model");
        if (server.costTokens != 0)
            report("costTokens", "must be 0 when kind is model");
        return;
    }
    if (server.service.empty())
        report("service", "must be set when kind is service");
    if (!server.models.empty())
        report("models", "must be empty when kind is service");
}

void checkReferences(const Configuration& configuration, JsonErrors& errors)
{
    for (std::size_t i = 0; i < configuration.budgets.size(); ++i) {
        const std::string& tenant = configuration.budgets[i].tenant;
        if (configuration.tenants.empty() && tenant.empty())
            continue;
        if (!hasName(configuration.tenants, tenant))
            errors.report(elementPath("budgets", i, "tenant"),
                "must be the name of one of tenants, of which none is \"" + tenant + "\"");
    }
    for (std::size_t i = 0; i < configuration.programs.size(); ++i) {
        const std::string& rank = configuration.programs[i].rank;
        if (!hasName(configuration.ranks, rank))
            errors.report(elementPath("programs", i, "rank"),
                "must be the name of one of ranks, of which none is \"" + rank + "\"");
    }
}

void checkCrossFieldRules(const Configuration& configuration, JsonErrors& errors)
{
    checkUnique("ranks", configuration.ranks, &Rank::name, "name", errors);
    checkUnique("tenants", configuration.tenants, &Tenant::name, "name", errors);
    // Two tenants with the same token could read each other's programs.
    checkUnique("tenants", configuration.tenants, &Tenant::tokenDigest, "tokenDigest", errors);
    checkUnique("backendServers", configuration.backendServers, &BackendServer::name, "name", errors);
    checkUnique("backendServers", configuration.backendServers, &BackendServer::address, "address", errors);
    checkUnique("budgets", configuration.budgets, &SharedBudget::name, "name", errors);
    checkUnique("programs", configuration.programs, &ProgramClass::name, "name", errors);
    checkFloors(configuration.ranks, errors);
    for (std::size_t i = 0; i < configuration.backendServers.size(); ++i)
        checkServer(configuration.backendServers[i], i, errors);
    checkReferences(configuration, errors);
}

// Prints each list element on a line of its own: almost as compact as a single line, and a change of one element
// changes one line in a diff.
std::string printDocument(const JsonNode& document)
{
    std::string text = "{";
    for (const JsonMember& list : std::get<JsonObject>(document.value)) {
        text.append(text.size() > 1 ? ",\n\"" : "\n\"").append(list.key).append("\": [");
        const char* separator = "\n  ";
        for (const JsonNode& element : std::get<JsonArray>(list.node.value)) {
            text.append(separator).append(printJson(element, JsonLayout::OneLine));
            separator = ",\n  ";
        }
        text += "\n]";
    }
    return text + "\n}";
}

// Limits the printed form, which nodes exchange and the platform stores. It can be much longer than the given file,
// since it includes default values.
void checkPrintedSize(const JsonNode& document, JsonErrors& errors)
{
    std::size_t bytes = printDocument(document).size();
    if (bytes > maxConfigurationBytes)
        errors.report({},
            "printed configuration has " + std::to_string(bytes) + " bytes, must have at most "
                + std::to_string(maxConfigurationBytes),
            ErrorCode::TooLarge);
}

// Returns the name of a list element, for paths such as `ranks[urgent]`; empty if it has none.
std::string elementName(const JsonNode& element)
{
    const JsonNode* name = findMember(element, "name");
    const auto* text = name == nullptr ? nullptr : std::get_if<std::string>(&name->value);
    return text == nullptr ? std::string() : *text;
}

using ElementsByName = std::map<std::string, const JsonNode*>;

// Maps the elements of a list by name. `list` may be nullptr.
ElementsByName indexElements(const JsonNode* list)
{
    ElementsByName index;
    if (list == nullptr)
        return index;
    for (const JsonNode& element : std::get<JsonArray>(list->value))
        index.emplace(elementName(element), &element);
    return index;
}

std::string printValue(const JsonNode* node)
{
    if (node == nullptr)
        return "(none)";
    if (const auto* flag = std::get_if<bool>(&node->value))
        return *flag ? "true" : "false";
    if (const auto* number = std::get_if<std::int64_t>(&node->value))
        return std::to_string(*number);
    if (const auto* text = std::get_if<std::string>(&node->value))
        return *text;
    return printJson(*node, JsonLayout::OneLine);
}

bool areEqual(const JsonNode* left, const JsonNode* right)
{
    return left == nullptr || right == nullptr ? left == right : *left == *right;
}

void diffElement(
    const std::string& path, const JsonNode& before, const JsonNode& after, std::vector<std::string>& lines)
{
    auto compare = [&](const std::string& key) {
        const JsonNode* left = findMember(before, key);
        const JsonNode* right = findMember(after, key);
        if (!areEqual(left, right))
            lines.push_back("~ " + joinPath(path, key) + ": " + printValue(left) + " -> " + printValue(right));
    };
    for (const JsonMember& member : std::get<JsonObject>(before.value))
        compare(member.key);
    for (const JsonMember& member : std::get<JsonObject>(after.value)) {
        if (findMember(before, member.key) == nullptr)
            compare(member.key);
    }
}

std::string namedPath(const std::string& listName, const std::string& name)
{
    return listName + "[" + name + "]";
}

void diffList(
    const std::string& listName, const JsonNode* before, const JsonNode* after, std::vector<std::string>& lines)
{
    ElementsByName left = indexElements(before);
    ElementsByName right = indexElements(after);
    for (const auto& [name, element] : left) {
        if (auto other = right.find(name); other != right.end())
            diffElement(namedPath(listName, name), *element, *other->second, lines);
        else
            lines.push_back("- " + namedPath(listName, name));
    }
    for (const auto& [name, element] : right) {
        if (!left.contains(name))
            lines.push_back("+ " + namedPath(listName, name));
    }
}

} // namespace

Result<Configuration> parseConfiguration(std::string_view json)
{
    BOOST_LEAF_AUTO(document, parseJson(json, { .maxBytes = maxConfigurationBytes }));
    JsonErrors errors;
    Configuration configuration = readConfiguration(document, errors);
    if (!errors.any())
        checkCrossFieldRules(configuration, errors);
    if (!errors.any())
        checkPrintedSize(toNode(configuration), errors);
    if (auto checked = errors.result(); !checked)
        return checked.error();
    return configuration;
}

std::string printConfiguration(const Configuration& configuration)
{
    return printDocument(toNode(configuration));
}

Result<void> validateConfiguration(const Configuration& configuration)
{
    // Reading the JSON form back applies the rules for single fields.
    JsonErrors errors;
    JsonNode document = toNode(configuration);
    readConfiguration(document, errors);
    if (!errors.any())
        checkCrossFieldRules(configuration, errors);
    if (!errors.any())
        checkPrintedSize(document, errors);
    return errors.result();
}

std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after)
{
    JsonNode left = toNode(before);
    JsonNode right = toNode(after);
    std::vector<std::string> lines;
    for (const char* list : { "ranks", "tenants", "backendServers", "budgets", "programs" })
        diffList(list, findMember(left, list), findMember(right, list), lines);
    return lines;
}

} // namespace lovagecross
