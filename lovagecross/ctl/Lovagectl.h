#pragma once

// Runs lovagectl: parses the command line, executes the command and prints errors. Independent of the process, so that
// tests can call it.
//
//     ExitCode code = runLovagectl({ "status", "--node", "10.0.0.1:7401" }, "", environment);
//
// Thread safety: none.

#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ExitCode.h"

#include <string>
#include <vector>

namespace lovagecross {

// `arguments` doesn't include the program name. `defaultNode` is the value of LOVAGECTL_NODE, or empty if it is unset.
ExitCode runLovagectl(
    const std::vector<std::string>& arguments, const std::string& defaultNode, CtlEnvironment& environment);

} // namespace lovagecross
