#pragma once

// The listener for callers on an entry node. Proxies calls to backend servers.
//
//     Gateway gateway(settings, parts);
//     gateway.start();
//     gateway.drain();                          // responses close their connections from now on
//     gateway.stop(std::chrono::seconds(5));    // closes the listener and waits for running calls
//
// Thread safety: every member may be called from any thread; `start` and `stop` once each.

#include "lovagecross/gateway/GatewayContext.h"
#include "lovagecross/http/ConnectionTable.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace lovagecross {

class CallerSession;

struct GatewaySettings {
    std::string address; // IP:port to listen on
    int maxConnections = 512;
    CallOrigin origin = CallOrigin::Caller; // who connects to this address
};

class Gateway {
public:
    Gateway(GatewaySettings gatewaySettings, GatewayContext& shared);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Throws Poco::Exception if the address can't be bound.
    void start();

    // From now on, responses ask callers to close the connection.
    void drain();

    // Serves the connections that callers have already opened, refuses new ones, closes idle ones and waits at most
    // `timeout` for running calls.
    void stop(Duration timeout);

    // Number of open connections, accepted ones that wait for their thread included.
    std::size_t connections() const { return this->table.size(); }

private:
    friend class SessionRegistration;
    friend class CallerTask;

    void acceptConnections();
    void serve(const Poco::Net::StreamSocket& socket);
    void refuse();
    void reportClosedConnections();
    void closeIdleConnections();

    const GatewaySettings settings;
    GatewayContext& parts;
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket listener;
    std::thread acceptor;
    std::atomic<bool> stopping { false };
    ConnectionTable table;
    std::uint64_t closedForOthers = 0; // connections, as counted last; used by the acceptor only, as is the next
    TimePoint nextReport;
    mutable std::mutex mutex;
    std::set<CallerSession*> sessions;
};

} // namespace lovagecross
