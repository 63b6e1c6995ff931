#pragma once

// A crowd of callers that hold connections, each after a part of a request, and connect again when they are closed.
//
//     ConnectionCrowd crowd(address, 300, "GET /x HTTP/1.1\r\nHost:");
//     crowd.start();
//     ... while all connections are in use, call `crowd.connected()` ...
//     crowd.stop();
//
// Thread safety: `connected` and `connects` may be called from any thread, all else by one thread.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

namespace lovagecross::soak {

class ConnectionCrowd {
public:
    // `sent` is what each caller sends on each of its connections.
    ConnectionCrowd(std::string listener, std::size_t callers, std::string sent);
    ~ConnectionCrowd();
    ConnectionCrowd(const ConnectionCrowd&) = delete;
    ConnectionCrowd& operator=(const ConnectionCrowd&) = delete;

    // Returns once each caller has connected, or was closed, at least once.
    void start();
    void stop();

    std::size_t connects() const { return this->connectCount; }

private:
    struct Connection {
        int fd = -1;
        bool sent = false;
        std::chrono::steady_clock::time_point connectAt {}; // while it is closed
    };

    void run();
    bool advance(Connection& connection, short events) const;

    const std::string address;
    const std::size_t size;
    const std::string bytes;
    std::atomic<std::size_t> connectCount { 0 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace lovagecross::soak
