#pragma once

// Passes TCP connections on to one address at the speed of a VM's link, each direction for itself.
//
// Thread safety: every member may be called from any thread.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review2 {

class LinkProxy {
public:
    // Listens on a free port of 127.0.0.1. `target` is 127.0.0.1:PORT.
    LinkProxy(const std::string& target, double megabitsPerSecond)
        : targetPort(static_cast<std::uint16_t>(std::stoi(target.substr(target.find(':') + 1))))
        , bytesPerSecond(megabitsPerSecond * 1'000'000 / 8)
    {
        sockaddr_in own = loopback(0);
        socklen_t size = sizeof(own);
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::bind(this->listener, reinterpret_cast<sockaddr*>(&own), size) != 0 || ::listen(this->listener, 64) != 0
            || ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size) != 0)
            throw std::runtime_error("no port for a proxy");
        this->port = ntohs(own.sin_port);
        this->acceptor = std::thread([this] { this->acceptAll(); });
    }

    ~LinkProxy()
    {
        this->stopping = true;
        this->acceptor.join();
        for (std::thread& pump : this->pumps)
            pump.join();
        ::close(this->listener);
    }
    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    using Clock = std::chrono::steady_clock;

    // When the link is free again, for one direction.
    struct Direction {
        std::mutex mutex;
        Clock::time_point freeAt;
    };

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    bool isReadable(int descriptor) const
    {
        constexpr int pollMillis = 50;
        while (!this->stopping) {
            pollfd item { descriptor, POLLIN, 0 };
            if (::poll(&item, 1, pollMillis) > 0)
                return true;
        }
        return false;
    }

    void acceptAll()
    {
        while (this->isReadable(this->listener)) {
            int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                continue;
            this->pumps.emplace_back([this, client] { this->serve(client); });
        }
    }

    // The node's port refuses connections while its process is down; the caller's connection then closes at once.
    void serve(int client)
    {
        int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in target = loopback(this->targetPort);
        if (::connect(server, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) {
            std::thread answers([&] { this->pump(server, client, this->outgoing); });
            this->pump(client, server, this->incoming);
            answers.join();
        }
        ::close(server);
        ::close(client);
    }

    void pump(int from, int to, Direction& direction)
    {
        char bytes[32 * 1024];
        while (this->isReadable(from)) {
            ssize_t count = ::recv(from, bytes, sizeof(bytes), 0);
            if (count <= 0)
                break;
            this->waitForLink(direction, static_cast<std::size_t>(count));
            for (ssize_t sent = 0; sent < count;) {
                ssize_t part = ::send(to, bytes + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
                if (part <= 0) {
                    ::shutdown(from, SHUT_RDWR);
                    return;
                }
                sent += part;
            }
        }
        ::shutdown(to, SHUT_RDWR);
        ::shutdown(from, SHUT_RDWR);
    }

    void waitForLink(Direction& direction, std::size_t bytes) const
    {
        Clock::time_point until;
        {
            std::lock_guard lock(direction.mutex);
            auto time = std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(static_cast<double>(bytes) / this->bytesPerSecond));
            direction.freeAt = std::max(direction.freeAt, Clock::now()) + time;
            until = direction.freeAt;
        }
        std::this_thread::sleep_until(until);
    }

    const std::uint16_t targetPort;
    const double bytesPerSecond;
    int listener = -1;
    std::uint16_t port = 0;
    std::atomic<bool> stopping { false };
    Direction incoming;
    Direction outgoing;
    std::list<std::thread> pumps; // used by the acceptor, and by the destructor after it
    std::thread acceptor;
};

} // namespace review2
