#pragma once

// Runs an entry node or a record node on the users' platform until SIGTERM or SIGINT.
//
// Thread safety: call once, on the main thread.

#include "lovagecross/config/NodeSettings.h"

namespace lovagecross {

// Returns the exit code of the process.
int runPlatformNode(const NodeSettings& settings);

} // namespace lovagecross
