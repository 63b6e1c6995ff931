#pragma once

// An entry of the backend server registry.
//
// Thread safety: plain values.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace lovagecross {

enum class ServerState {
    Ready,
    Draining, // receives no new calls
};

inline constexpr NameTable<ServerState, 2> serverStateNames { { {
    { ServerState::Ready, "ready" },
    { ServerState::Draining, "draining" },
} } };

struct ServerEntry {
    std::string id; // usually new for each start of the server
    std::string service;
    std::string address; // IP:port
    std::string dataCentre;
    std::uint32_t slots = 1;
    ServerState state = ServerState::Ready;
    Duration coldFor { 0 }; // remaining warm-up time, in which the server is slow
    std::int64_t startedUnixMillis = 0; // changes if the server restarts under the same id
    std::string softwareVersion; // empty if unknown; streams of two versions don't fit together
    // Set if the registry has not listed it since an outage: it is removed then, unless it has returned.
    std::optional<TimePoint> lapsesAt {};

    bool operator==(const ServerEntry&) const = default;
};

// One lifetime of a backend server. What is known of it doesn't hold for the next process under the same id.
struct ServerKey {
    std::string id;
    std::int64_t startedUnixMillis = 0;

    bool operator<(const ServerKey& other) const
    {
        return std::tie(this->id, this->startedUnixMillis) < std::tie(other.id, other.startedUnixMillis);
    }
};

inline ServerKey keyOf(const ServerEntry& server)
{
    return { server.id, server.startedUnixMillis };
}

} // namespace lovagecross
