#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ConfigurationFile.h"

namespace lovagecross {

Result<ExitCode> runDiff(CommandContext& context)
{
    BOOST_LEAF_AUTO(wanted, readConfigurationFile(context.arguments.operands[0], context.environment.in));
    BOOST_LEAF_AUTO(inForce, fetchConfiguration(context.client));
    auto lines = diffConfigurations(inForce.configuration, wanted);
    if (context.wantsJson()) {
        context.out() << printJson({ JsonObject {
            { "version", { static_cast<std::int64_t>(inForce.version) } },
            { "diff", linesNode(lines) },
        } }) << '\n';
        return ExitCode::Ok;
    }
    for (const std::string& line : lines)
        context.out() << line << '\n';
    if (lines.empty())
        context.out() << "no differences from version " << inForce.version << '\n';
    return ExitCode::Ok;
}

} // namespace lovagecross
