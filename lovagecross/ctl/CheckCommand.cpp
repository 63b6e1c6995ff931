// Checks a configuration for a platform with a registry before an operator sends it.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ConfigurationFile.h"
#include "lovagecross/ctl/Output.h"
#include "lovagecross/gateway/ConfigurationCheck.h"
#include "platform/ConfigurationSource.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

using Findings = std::vector<ConfigurationFinding>;

// A configuration document with all its errors, or the decoded configuration.
struct CheckedDocument {
    Findings errors;
    GatewayConfiguration configuration; // only without errors
};

Result<CheckedDocument> checkDocument(const std::string& name, const std::string& text)
{
    std::string failure;
    CheckedDocument checked = handle(
        [&]() -> Result<CheckedDocument> {
            BOOST_LEAF_AUTO(spec, parseJson(text, platform::configurationJsonLimits));
            CheckedDocument document;
            for (const Error& error : platform::findConfigurationErrors(spec))
                document.errors.push_back({ FindingKind::Error, error.field, error.message });
            if (document.errors.empty()) {
                BOOST_LEAF_ASSIGN(document.configuration, platform::decodeConfiguration(spec));
            }
            return document;
        },
        [&](const Error& error) {
            failure = name + ": " + joinErrorText(error.field, error.message);
            return CheckedDocument();
        });
    if (!failure.empty())
        return failWith(ExitCode::Failed, std::move(failure));
    return checked;
}

Result<GatewayConfiguration> decodeInForce(const std::string& name, const std::string& text)
{
    BOOST_LEAF_AUTO(document, checkDocument(name, text));
    if (document.errors.empty())
        return std::move(document.configuration);
    const ConfigurationFinding& first = document.errors.front();
    return failWith(ExitCode::Failed, name + ": " + joinErrorText(first.path, first.message));
}

// Returns nullopt if neither option names a configuration in force, or the platform has none yet.
Result<std::optional<GatewayConfiguration>> readInForce(CommandContext& context)
{
    const Arguments& arguments = context.arguments;
    std::optional<std::string> text;
    if (!arguments.inForceFile.empty()) {
        BOOST_LEAF_ASSIGN(text,
            readTextFile(arguments.inForceFile, context.environment.in, platform::configurationJsonLimits.maxBytes));
    } else if (!arguments.platform.empty()) {
        Counters counters;
        platform::ObjectApi api(
            { .address = arguments.platform, .timeout = arguments.timeout }, context.environment.clock, counters);
        platform::ConfigurationRead read = platform::readConfiguration(api);
        if (read.status != StoreStatus::Ok)
            return failWith(ExitCode::Unreachable, "the platform at " + arguments.platform + " did not answer");
        text = std::move(read.document);
    }
    if (!text)
        return std::optional<GatewayConfiguration>();
    BOOST_LEAF_AUTO(
        inForce, decodeInForce(arguments.platform.empty() ? arguments.inForceFile : "the version in force", *text));
    return std::optional<GatewayConfiguration>(std::move(inForce));
}

void printFindings(CommandContext& context, const Findings& findings)
{
    if (!context.wantsJson()) {
        for (const ConfigurationFinding& finding : findings)
            context.out() << findingKindNames.name(finding.kind) << ": " << joinErrorText(finding.path, finding.message)
                          << '\n';
        if (findings.empty())
            context.out() << "no findings\n";
        return;
    }
    JsonArray list;
    for (const ConfigurationFinding& finding : findings)
        list.push_back({ JsonObject { { "kind", { std::string(findingKindNames.name(finding.kind)) } },
            { "path", { finding.path } }, { "message", { finding.message } } } });
    context.out() << printJson({ JsonObject { { "findings", { std::move(list) } } } }) << '\n';
}

} // namespace

Result<ExitCode> runCheck(CommandContext& context)
{
    const std::string& file = context.arguments.operands[0];
    BOOST_LEAF_AUTO(text, readTextFile(file, context.environment.in, platform::configurationJsonLimits.maxBytes));
    BOOST_LEAF_AUTO(document, checkDocument(file, text));
    Findings findings = std::move(document.errors);
    if (findings.empty()) {
        findings = checkConfiguration(document.configuration);
        BOOST_LEAF_AUTO(inForce, readInForce(context));
        Findings changes = inForce ? compareConfigurations(*inForce, document.configuration) : Findings();
        findings.insert(findings.end(), changes.begin(), changes.end());
    }
    printFindings(context, findings);
    bool onlyDifferences = std::all_of(findings.begin(), findings.end(),
        [](const ConfigurationFinding& finding) { return finding.kind == FindingKind::Difference; });
    return onlyDifferences ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace lovagecross
