#pragma once

// A pool of connections to backend servers that stay open between calls.
//
//     PooledConnection connection = pool.open(server, requestId, Reuse::IfRecentlyUsed, deadline);
//     if (connection.stream) ...
//     pool.keep(server, std::move(connection), keepFor);
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerContacts.h"
#include "lovagecross/gateway/ServerEntry.h"
#include "lovagecross/gateway/ServerPaths.h"
#include "lovagecross/http/ByteStream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace lovagecross {

enum class Reuse {
    Any,
    IfRecentlyUsed, // for calls that must not be lost on a connection that the server has already closed
    No,
};

// A connection and the requests that were sent on it. A server may repeat an earlier response, which is recognized by
// its request id; a request is therefore never sent on a connection that has carried its id before.
struct PooledConnection {
    std::unique_ptr<ByteStream> stream; // null if the connection could not be opened
    bool reused = false;
    std::unordered_set<std::uint64_t> sentRequests {}; // hashes of their ids
};

class ConnectionPool {
public:
    // The outcomes of opening connections are reported to `serverPaths` unless it is nullptr.
    ConnectionPool(const Clock& clock, Duration connectionTimeout, ServerPaths* serverPaths = nullptr);

    // Returns an idle connection that is still open and has not carried the request, or opens a new one. The request
    // counts as sent on it.
    PooledConnection open(const ServerEntry& server, const std::string& requestId, Reuse reuse, TimePoint deadline);

    // Returns an idle connection to the pool for at most `keepFor`.
    void keep(const ServerEntry& server, PooledConnection connection, Duration keepFor);

    // Whether the server accepts connections, from those that were tried since `since`. If none was, opens one, and
    // keeps it for a later request.
    ServerContact findContact(const ServerEntry& server, TimePoint since, TimePoint deadline);

    // The same without opening a connection.
    ServerContact contactSince(const ServerEntry& server, TimePoint since) const;

    // Whether the last connection to the server was tried at `since` or later and refused.
    bool refusedSince(const ServerEntry& server, TimePoint since) const;

    // Whether a connection to another server than this one was opened at `since` or later.
    bool otherServerOpenedSince(const std::string& serverId, TimePoint since) const;

    // Whether there are idle connections to the server and it has closed all of them.
    bool closedAllIdle(const std::string& serverId) const;

    // Records the outcome of a connection that was opened elsewhere.
    void noteConnect(const std::string& serverId, ConnectOutcome outcome);

    static constexpr std::size_t maxRequestsPerConnection = 1000; // then it is closed

    // Closes connections to servers that are not listed, and connections whose idle time has expired.
    void prune(const std::vector<std::string>& serverIds);

private:
    struct IdleConnection {
        PooledConnection connection;
        TimePoint idleSince;
        TimePoint expiresAt;
    };

    std::unique_ptr<ByteStream> connect(const ServerEntry& server, TimePoint deadline);
    void reportConnect(const ServerEntry& server, IoStatus status, TimePoint startedAt);
    PooledConnection takeIdle(const std::string& serverId, std::uint64_t request, Reuse reuse);

    const Clock& clock;
    const Duration connectTimeout;
    ServerPaths* const paths;
    ServerContacts contacts;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<IdleConnection>> idle; // by server id, most recently used last
};

} // namespace lovagecross
