#pragma once

// Connections to backend servers, kept open between calls.
//
//     PooledConnection connection = pool.open(server, Reuse::IfFresh, deadline);
//     if (connection.stream) ...
//     pool.keep(server, std::move(connection), keepFor);
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerEntry.h"
#include "lovagecross/http/ByteStream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

enum class Reuse {
    Any,
    IfFresh, // only a connection that was in use a moment ago: for calls that must not be lost on a closed one
    No,
};

struct PooledConnection {
    std::unique_ptr<ByteStream> stream; // null: could not connect
    bool reused = false;
};

class ConnectionPool {
public:
    ConnectionPool(const Clock& clock, Duration connectionTimeout);

    // A kept connection that is still open, or a new one.
    PooledConnection open(const ServerEntry& server, Reuse reuse, TimePoint deadline);

    // Keeps an idle connection for at most `keepFor`.
    void keep(const ServerEntry& server, std::unique_ptr<ByteStream> stream, Duration keepFor);

    // Closes connections to servers that are not listed and those that have been idle for too long.
    void prune(const std::vector<std::string>& serverIds);

private:
    struct Idle {
        std::unique_ptr<ByteStream> stream;
        TimePoint since;
        TimePoint until;
    };

    std::unique_ptr<ByteStream> takeIdle(const std::string& serverId, Reuse reuse);

    const Clock& clock;
    const Duration connectTimeout;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<Idle>> idle; // by server id, the newest last
};

} // namespace lovagecross
