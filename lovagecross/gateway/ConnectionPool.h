#pragma once

// A pool of connections to backend servers that stay open between calls.
//
//     PooledConnection connection = pool.open(server, Reuse::IfRecentlyUsed, deadline);
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
    IfRecentlyUsed, // for calls that must not be lost on a connection that the server has already closed
    No,
};

struct PooledConnection {
    std::unique_ptr<ByteStream> stream; // null if the connection could not be opened
    bool reused = false;
};

class ConnectionPool {
public:
    ConnectionPool(const Clock& clock, Duration connectionTimeout);

    // Returns an idle connection that is still open, or opens a new one.
    PooledConnection open(const ServerEntry& server, Reuse reuse, TimePoint deadline);

    // Returns an idle connection to the pool for at most `keepFor`.
    void keep(const ServerEntry& server, std::unique_ptr<ByteStream> stream, Duration keepFor);

    // Closes connections to servers that are not listed, and connections whose idle time has expired.
    void prune(const std::vector<std::string>& serverIds);

private:
    struct IdleConnection {
        std::unique_ptr<ByteStream> stream;
        TimePoint idleSince;
        TimePoint expiresAt;
    };

    std::unique_ptr<ByteStream> takeIdle(const std::string& serverId, Reuse reuse);

    const Clock& clock;
    const Duration connectTimeout;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<IdleConnection>> idle; // by server id, most recently used last
};

} // namespace lovagecross
