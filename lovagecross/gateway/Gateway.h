#pragma once

// The listener for callers on an entry node. Proxies calls to backend servers.
//
//     Gateway gateway(settings, parts);
//     gateway.start();
//     gateway.drain();                          // responses close their connections from now on
//     gateway.stop(std::chrono::seconds(5));    // accepts no connections and waits for running calls
//
// Thread safety: every member may be called from any thread; `start` and `stop` once each.

#include "lovagecross/gateway/GatewayContext.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace lovagecross {

class CallerSession;

struct GatewaySettings {
    std::string address; // IP:port to listen on
    int maxConnections = 512;
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

    // Accepts no more connections, closes idle ones and waits at most `timeout` for running calls.
    void stop(Duration timeout);

    std::size_t connections() const;

private:
    friend class SessionRegistration;

    void closeIdleConnections();

    const GatewaySettings settings;
    GatewayContext& parts;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
    mutable std::mutex mutex;
    std::set<CallerSession*> sessions;
};

} // namespace lovagecross
