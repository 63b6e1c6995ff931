#pragma once

// Waits for messages on many ZeroMQ sockets. Internal to the adapters.
//
//     poller.add(address, socket);
//     for (const std::string& name : poller.wait(timeout)) ... // receive until the socket would block
//     poller.touch(address);                                   // after sending on the socket
//
// `zmq::poll` queries every socket each time. A node of a large fleet has hundreds of connections, few of which have a
// message at any time. This class waits with epoll on the sockets' descriptors and queries only those that are
// signalled or were used since.
//
// Thread safety: not synchronized. Only the thread that uses the sockets may call it.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace lovagecross::detail {

class SocketPoller {
public:
    SocketPoller() = default;
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    // Returns an error message, empty on success. `wakeDescriptor` ends a wait when it becomes readable; the caller
    // reads from it.
    std::string open(int wakeDescriptor);

    // Adds a socket under a unique name. It must stay open until `remove`.
    void add(const std::string& name, zmq::socket_t& socket);
    void remove(const std::string& name);

    // Must be called after each send: ZeroMQ signals an arrival once, and any call on the socket may consume the
    // signal.
    void touch(const std::string& name);

    // Returns the names of the sockets that have a message. Waits up to `timeout` if there is none.
    std::vector<std::string> wait(std::chrono::milliseconds timeout);

    // Returns whether the wake descriptor was readable in the last wait.
    bool woken() const { return this->wakeReadable; }

    // Number of sockets queried since the start.
    std::uint64_t queries() const { return this->queryCount; }

private:
    struct Entry {
        std::string name;
        zmq::socket_t* socket = nullptr;
    };

    bool hasMessage(const Entry& entry);

    int epollFd = -1;
    std::uint64_t nextId = 1; // 0 is the wake descriptor
    std::map<std::uint64_t, Entry> entries;
    std::map<std::string, std::uint64_t> ids; // by name
    std::set<std::uint64_t> touched; // sockets used since they were last queried
    bool wakeReadable = false;
    std::uint64_t queryCount = 0;
};

} // namespace lovagecross::detail
