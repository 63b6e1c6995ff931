#pragma once

// The callers' listener of an entry node: passes calls through to backend servers.
//
//     Gateway gateway(settings, parts);
//     gateway.start();
//     gateway.drain();                          // answers close their connections from now on
//     gateway.stop(std::chrono::seconds(5));    // accepts nothing more and waits for the calls under way
//
// Thread safety: every member may be called from any thread; `start` and `stop` once each.

#include "lovagecross/gateway/GatewayParts.h"

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
    std::string address; // IP:port of the callers' listener
    int maxConnections = 512;
};

class Gateway {
public:
    Gateway(GatewaySettings gatewaySettings, GatewayParts& shared);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Throws Poco::Exception when the address can't be bound.
    void start();

    // Answers ask their callers to close the connection from now on.
    void drain();

    // Accepts nothing more, closes idle connections and waits for the calls under way, at most `longest`.
    void stop(Duration longest);

    std::size_t connections() const;

private:
    friend class SessionGuard;

    void closeIdle();

    const GatewaySettings settings;
    GatewayParts& parts;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
    mutable std::mutex mutex;
    std::set<CallerSession*> sessions;
};

} // namespace lovagecross
