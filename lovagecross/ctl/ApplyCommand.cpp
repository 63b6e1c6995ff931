#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ConfigurationFile.h"

#include <string>
#include <utility>
#include <vector>

namespace lovagecross {

namespace {

constexpr int httpConflict = 409;

struct Change {
    std::uint64_t baseVersion = 0;
    ConfigurationInForce inForce;
    Configuration wanted;
};

void printLines(CommandContext& context, const std::vector<std::string>& lines)
{
    for (const std::string& line : lines)
        context.out() << line << '\n';
}

void printConflict(CommandContext& context, const Change& change)
{
    auto lines = diffConfigurations(change.inForce.configuration, change.wanted);
    if (context.wantsJson()) {
        context.out() << printJson({ JsonObject {
            { "conflict", { true } },
            { "baseVersion", { static_cast<std::int64_t>(change.baseVersion) } },
            { "currentVersion", { static_cast<std::int64_t>(change.inForce.version) } },
            { "diff", linesNode(lines) },
        } }) << '\n';
        return;
    }
    context.out() << "conflict: the change is based on version " << change.baseVersion << ", version "
                  << change.inForce.version << " is in force; differences from version " << change.inForce.version
                  << " to the file:\n";
    printLines(context, lines);
}

void printAccepted(CommandContext& context, const Change& change, std::uint64_t version)
{
    auto lines = diffConfigurations(change.inForce.configuration, change.wanted);
    if (context.wantsJson()) {
        context.out() << printJson({ JsonObject {
            { "version", { static_cast<std::int64_t>(version) } },
            { "dryRun", { context.arguments.dryRun } },
            { "diff", linesNode(lines) },
        } }) << '\n';
        return;
    }
    printLines(context, lines);
    if (context.arguments.dryRun)
        context.out() << "dry run: nothing was changed, version " << version << " stays in force\n";
    else if (version == change.inForce.version)
        context.out() << "no differences, version " << version << " stays in force\n";
    else
        context.out() << "accepted as version " << version << "; lovagectl versions --at-least " << version
                      << " --wait 14 waits until it is in force\n";
}

std::string requestBody(const Change& change, JsonNode document)
{
    return printJson({ JsonObject {
                         { "baseVersion", { static_cast<std::int64_t>(change.baseVersion) } },
                         { "config", std::move(document) },
                     } },
        JsonLayout::OneLine);
}

Result<ExitCode> sendChange(CommandContext& context, Change change)
{
    BOOST_LEAF_AUTO(document, parseJson(printConfiguration(change.wanted), { .maxBytes = maxConfigurationBytes }));
    BOOST_LEAF_AUTO(answer, context.client.put("/admin/config", requestBody(change, std::move(document))));
    if (answer.httpStatus == httpConflict && findMember(answer.body, "currentVersion") != nullptr) {
        BOOST_LEAF_ASSIGN(change.inForce.version, versionOf(answer.body, "currentVersion"));
        BOOST_LEAF_ASSIGN(change.inForce.configuration, configurationOf(answer.body, "current"));
        printConflict(context, change);
        return ExitCode::Conflict;
    }
    if (answer.httpStatus >= 300)
        return failFromAnswer(answer);
    BOOST_LEAF_AUTO(version, versionOf(answer.body, "version"));
    printAccepted(context, change, version);
    return ExitCode::Ok;
}

} // namespace

Result<ExitCode> runApply(CommandContext& context)
{
    Change change;
    BOOST_LEAF_ASSIGN(change.wanted, readConfigurationFile(context.arguments.operands[0], context.environment.in));
    BOOST_LEAF_ASSIGN(change.inForce, fetchConfiguration(context.client));
    change.baseVersion = context.arguments.baseVersion.value_or(change.inForce.version);
    if (change.baseVersion != change.inForce.version) {
        printConflict(context, change);
        return ExitCode::Conflict;
    }
    if (context.arguments.dryRun || change.wanted == change.inForce.configuration) {
        printAccepted(context, change, change.inForce.version);
        return ExitCode::Ok;
    }
    return sendChange(context, std::move(change));
}

} // namespace lovagecross
