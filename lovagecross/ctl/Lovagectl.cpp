#include "lovagecross/ctl/Lovagectl.h"

#include "lovagecross/ctl/ConfigurationFile.h"
#include "lovagecross/ctl/Output.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxTokenBytes = 4096;

Result<std::string> readToken(const std::string& path, std::istream& in)
{
    BOOST_LEAF_AUTO(token, readTextFile(path, in, maxTokenBytes));
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
        token.pop_back();
    // Other characters, such as CR and LF, could end the Authorization header field early.
    bool printable = std::all_of(token.begin(), token.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    if (token.empty() || !printable)
        return failWith(ExitCode::Failed, path + ": must hold one token of printable ASCII without spaces");
    return token;
}

Result<ExitCode> runCommand(const Arguments& arguments, CtlEnvironment& environment)
{
    if (arguments.help) {
        environment.out << describeUsage(arguments.command);
        return ExitCode::Ok;
    }
    std::string token;
    if (!arguments.tokenFile.empty()) {
        BOOST_LEAF_ASSIGN(token, readToken(arguments.tokenFile, environment.in));
    }
    AdminClient client({ arguments.node, std::move(token), arguments.timeout });
    CommandContext context { arguments, client, environment };
    return arguments.command->run(context);
}

} // namespace

ExitCode runLovagectl(
    const std::vector<std::string>& arguments, const std::string& defaultNode, CtlEnvironment& environment)
{
    auto report = [&](ExitCode exitCode, const std::string& message) {
        environment.err << "lovagectl: " << message << '\n';
        return exitCode;
    };
    return boost::leaf::try_handle_all(
        [&]() -> Result<ExitCode> {
            BOOST_LEAF_AUTO(parsed, parseArguments(arguments, defaultNode));
            return runCommand(parsed, environment);
        },
        [&](const CtlFailure& failure) { return report(failure.exitCode, failure.message); },
        [&](const Error& error) {
            return report(
                ExitCode::Failed, "unexpected answer from the node: " + joinErrorText(error.field, error.message));
        },
        [&] { return report(ExitCode::Failed, "error without a description"); });
}

} // namespace lovagecross
