#pragma once

// The commands of lovagectl: one function each, implemented in a file of its own. They fail with CtlFailure or Error,
// which `runLovagectl` prints.
//
// Thread safety: none; a context is used on one thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/ctl/AdminClient.h"
#include "lovagecross/ctl/CommandLine.h"
#include "lovagecross/ctl/ExitCode.h"

#include <functional>
#include <istream>
#include <ostream>

namespace lovagecross {

// Streams, clock and sleep function that the commands use. Tests pass their own.
struct CtlEnvironment {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    Clock& clock;
    std::function<void(Duration)> sleep;
};

struct CommandContext {
    const Arguments& arguments;
    AdminClient& client;
    CtlEnvironment& environment;

    std::ostream& out() { return this->environment.out; }
    bool wantsJson() const { return this->arguments.output == OutputFormat::Json; }
};

Result<ExitCode> runApply(CommandContext& context);
Result<ExitCode> runDiff(CommandContext& context);
Result<ExitCode> runCheck(CommandContext& context);
Result<ExitCode> runShowConfig(CommandContext& context);
Result<ExitCode> runVersions(CommandContext& context);
Result<ExitCode> runGet(CommandContext& context);
Result<ExitCode> runDescribe(CommandContext& context);
Result<ExitCode> runExplain(CommandContext& context);
Result<ExitCode> runDrain(CommandContext& context);
Result<ExitCode> runQuarantineList(CommandContext& context);
Result<ExitCode> runQuarantineRelease(CommandContext& context);
Result<ExitCode> runShardRelease(CommandContext& context);
Result<ExitCode> runCounters(CommandContext& context);
Result<ExitCode> runStatus(CommandContext& context);

} // namespace lovagecross
