#pragma once

// The connections of a listener that takes a limited number of them. When all are in use, one that only waits for its
// caller is closed for a new one.
//
//     ConnectionTable table(clock, 512, std::chrono::milliseconds(100));
//     if (table.makeRoom())                      // before a connection is accepted
//         TrackedConnection connection(table, [socket]() mutable { socket.shutdown(); });
//     connection.readsRequest();                 // its first bytes have arrived
//     if (connection.runsRequest())              // it is complete, and the connection stays open until `waits`
//         ... answer it ...
//     connection.waits();                        // for the next request
//
// Load patterns:
//  - callers that hold connections and send nothing, or stop within a request: they are closed for callers that arrive;
//  - callers that send slowly: the one that has made the least progress is closed first;
//  - more requests than connections: no connection with a running request is closed, and `makeRoom` returns false.
//
// Thread safety: every member may be called from any thread; a TrackedConnection belongs to one thread at a time.

#include "lovagecross/base/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace lovagecross {

struct ConnectionState {
    bool running = false; // a request has been read and is being answered
    bool served = false; // a request has been answered
    TimePoint waitingSince; // unless a request runs: for a request, or since the first byte of one
    std::size_t receivedBytes = 0; // of the request that is being read
};

struct ConnectionChoice {
    std::optional<std::size_t> toClose; // index
    std::optional<Duration> wait; // if none: until one may be closed; nullopt if all run requests
};

// Chooses among connections that have waited for `minWait` or longer: those that have never been served first, of these
// the one that has waited for longest for what it has sent.
ConnectionChoice chooseConnectionToClose(
    const std::vector<ConnectionState>& connections, TimePoint now, Duration minWait);

class TrackedConnection;

class ConnectionTable {
public:
    // A connection is closed for another one only after it has waited for `minWaitToClose`.
    ConnectionTable(const Clock& time, std::size_t maxOpenConnections, Duration minWaitToClose)
        : clock(time)
        , maxConnections(maxOpenConnections)
        , minWait(minWaitToClose)
    {
    }
    ConnectionTable(const ConnectionTable&) = delete;
    ConnectionTable& operator=(const ConnectionTable&) = delete;

    // Returns whether there is room for one more connection. Closes one that waits if there is none, and blocks until
    // it is gone, or until one may be closed.
    bool makeRoom();

    std::size_t size() const;

    // How many connections were closed for others.
    std::uint64_t closedForOthers() const;

private:
    friend class TrackedConnection;

    std::optional<Duration> closeOne();

    const Clock& clock;
    const std::size_t maxConnections;
    const Duration minWait;
    mutable std::mutex mutex;
    std::condition_variable freed;
    std::set<TrackedConnection*> open;
    std::size_t closing = 0; // of those, the ones that are closed for others
    std::uint64_t closedCount = 0;
};

class TrackedConnection {
public:
    // `closeSocket` ends the connection's waits, without blocking. It may be called on another thread until the
    // destructor returns.
    TrackedConnection(ConnectionTable& connections, std::function<void()> closeSocket);
    ~TrackedConnection();
    TrackedConnection(const TrackedConnection&) = delete;
    TrackedConnection& operator=(const TrackedConnection&) = delete;

    // The connection waits for a request.
    void waits();

    // The first bytes of a request have arrived.
    void readsRequest();

    // `bytes` of the request have arrived in all.
    void received(std::size_t bytes);

    // The request is complete. Returns false if the connection has been closed for another one.
    bool runsRequest();

private:
    friend class ConnectionTable;

    ConnectionTable& table;
    const std::function<void()> close;
    ConnectionState state; // guarded by the table's mutex, as is all that follows
    bool closed = false; // for another one
};

} // namespace lovagecross
