#pragma once

// Runs the process of an entry node or a record node until SIGTERM or SIGINT.
//
// Thread safety: call once, on the main thread.

#include "lovagecross/config/NodeSettings.h"

namespace lovagecross {

// Returns the exit code of the process.
int runPlatformNode(const NodeSettings& settings);

} // namespace lovagecross
