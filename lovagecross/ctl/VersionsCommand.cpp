#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/Output.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

constexpr std::size_t maxNodes = 10'000;
constexpr auto pollInterval = std::chrono::milliseconds(250);
const TextRule anyText { "a text", [](std::string_view) { return true; } };

struct NodeVersion {
    std::string node;
    std::string dataCentre;
    std::string state;
    std::uint64_t configVersion = 0;
};

Result<std::vector<NodeVersion>> fetchVersions(AdminClient& client)
{
    BOOST_LEAF_AUTO(answer, client.get("/admin/nodes"));
    const JsonNode* list = findMember(answer, "nodes");
    const auto* nodes = list == nullptr ? nullptr : std::get_if<JsonArray>(&list->value);
    JsonErrors errors;
    if (nodes == nullptr || nodes->size() > maxNodes)
        errors.report("nodes", "must be a list of 0 to " + std::to_string(maxNodes) + " elements");
    std::vector<NodeVersion> versions;
    for (std::size_t i = 0; !errors.any() && i < nodes->size(); ++i) {
        NodeVersion& version = versions.emplace_back();
        JsonReader reader((*nodes)[i], joinPath("nodes", i), errors);
        reader.text("node", version.node, anyText, Presence::Required);
        reader.text("dataCentre", version.dataCentre, anyText, Presence::Required);
        reader.text("state", version.state, anyText, Presence::Required);
        reader.integer("configVersion", version.configVersion, { 0, std::numeric_limits<std::int64_t>::max() },
            Presence::Required);
    }
    if (auto read = errors.result(); !read)
        return read.error();
    return versions;
}

// Whether all nodes that are not dead have the same version, at least `atLeast`. A suspect node counts, because it may
// still serve callers with an old configuration; a dead node serves none.
bool allAgree(const std::vector<NodeVersion>& versions, std::uint64_t atLeast)
{
    std::vector<std::uint64_t> counted;
    for (const NodeVersion& version : versions) {
        if (version.state != "dead")
            counted.push_back(version.configVersion);
    }
    return !counted.empty() && counted.front() >= atLeast
        && std::all_of(counted.begin(), counted.end(), [&](auto version) { return version == counted.front(); });
}

void printVersions(CommandContext& context, const std::vector<NodeVersion>& versions, bool agree)
{
    if (context.wantsJson()) {
        JsonArray nodes;
        for (const NodeVersion& version : versions)
            nodes.push_back({ JsonObject {
                { "node", { version.node } },
                { "dataCentre", { version.dataCentre } },
                { "state", { version.state } },
                { "configVersion", { static_cast<std::int64_t>(version.configVersion) } },
            } });
        context.out() << printJson({ JsonObject { { "agree", { agree } }, { "nodes", { nodes } } } }) << '\n';
        return;
    }
    Table table { { "NODE", "DATA CENTRE", "STATE", "VERSION" }, {} };
    for (const NodeVersion& version : versions)
        table.rows.push_back({ printableText(version.node), printableText(version.dataCentre),
            printableText(version.state), std::to_string(version.configVersion) });
    printTable(context.out(), table);
    context.out() << (agree ? "all nodes agree\n" : "nodes do not agree\n");
}

} // namespace

Result<ExitCode> runVersions(CommandContext& context)
{
    CtlEnvironment& environment = context.environment;
    const TimePoint deadline = environment.clock.now() + context.arguments.wait;
    while (true) {
        BOOST_LEAF_AUTO(versions, fetchVersions(context.client));
        bool agree = allAgree(versions, context.arguments.atLeast.value_or(0));
        if (agree || environment.clock.now() >= deadline) {
            printVersions(context, versions, agree);
            return agree ? ExitCode::Ok : ExitCode::Failed;
        }
        environment.sleep(std::min<Duration>(pollInterval, deadline - environment.clock.now()));
    }
}

} // namespace lovagecross
