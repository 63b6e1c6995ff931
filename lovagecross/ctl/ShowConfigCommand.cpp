#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ConfigurationFile.h"

namespace lovagecross {

Result<ExitCode> runShowConfig(CommandContext& context)
{
    BOOST_LEAF_AUTO(answer, context.client.get("/admin/config"));
    if (context.wantsJson()) {
        context.out() << printJson(answer) << '\n';
        return ExitCode::Ok;
    }
    BOOST_LEAF_AUTO(version, versionOf(answer, "version"));
    // Print the version to standard error, so that standard output is only the document, which can be edited and
    // applied.
    context.environment.err << "version " << version << '\n';
    BOOST_LEAF_AUTO(configuration, configurationOf(answer, "config"));
    context.out() << printConfiguration(configuration) << '\n';
    return ExitCode::Ok;
}

} // namespace lovagecross
