#pragma once

// Backend servers as the registry lists them, for tests.
//
// Thread safety: free function.

#include "lovagecross/gateway/ServerEntry.h"

#include <string>

namespace lovagecross::testing {

inline ServerEntry makeServerEntry(const std::string& id, ServerState state = ServerState::Ready)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "tool";
    entry.address = "127.0.0.1:1";
    entry.state = state;
    return entry;
}

} // namespace lovagecross::testing
