#pragma once

// A backend server as the registry lists it.
//
// Thread safety: plain values.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <string>

namespace lovagecross {

enum class ServerState {
    Ready,
    Draining, // gets no new work
};

inline constexpr NameTable<ServerState, 2> serverStateNames { { {
    { ServerState::Ready, "ready" },
    { ServerState::Draining, "draining" },
} } };

struct ServerEntry {
    std::string id; // of this start of the server, mostly
    std::string service;
    std::string address; // IP:port
    std::string dataCentre;
    std::uint32_t slots = 1;
    ServerState state = ServerState::Ready;
    Duration coldFor { 0 }; // it is slow for this much longer
    std::int64_t startedUnixMillis = 0; // another value under the same id is another start

    bool operator==(const ServerEntry&) const = default;
};

} // namespace lovagecross
