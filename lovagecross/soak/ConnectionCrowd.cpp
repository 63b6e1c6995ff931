#include "lovagecross/soak/ConnectionCrowd.h"

#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lovagecross::soak {

namespace {

constexpr int pollMillis = 20;
constexpr auto maxTime = std::chrono::seconds(60); // then the crowd connects no more
constexpr std::size_t maxConnects = 200'000;
constexpr auto startTimeout = std::chrono::seconds(10);
constexpr auto reconnectPause = std::chrono::milliseconds(50); // of a caller whose connection was closed

// Returns the descriptor of a connection that is being opened, or -1.
int beginConnect(const Poco::Net::SocketAddress& address)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    if (::connect(fd, address.addr(), address.length()) == 0 || errno == EINPROGRESS)
        return fd;
    ::close(fd);
    return -1;
}

// Discards what has arrived. Returns false once the connection has ended.
bool discardInput(int fd)
{
    std::array<char, 4096> input {};
    for (;;) {
        ssize_t count = ::recv(fd, input.data(), input.size(), MSG_DONTWAIT);
        if (count > 0)
            continue;
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
}

} // namespace

ConnectionCrowd::ConnectionCrowd(std::string listener, std::size_t callers, std::string sent)
    : address(std::move(listener))
    , size(callers)
    , bytes(std::move(sent))
{
}

ConnectionCrowd::~ConnectionCrowd()
{
    this->stop();
}

void ConnectionCrowd::start()
{
    this->thread = std::thread([this] { this->run(); });
    testing::waitUntil([this] { return this->connectCount >= this->size; }, startTimeout);
}

void ConnectionCrowd::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

// Returns whether the connection stays open.
bool ConnectionCrowd::advance(Connection& connection, short events) const
{
    if ((events & (POLLERR | POLLNVAL)) != 0)
        return false;
    if (!connection.sent && (events & POLLOUT) != 0) {
        connection.sent = true;
        if (!this->bytes.empty() && ::send(connection.fd, this->bytes.data(), this->bytes.size(), MSG_NOSIGNAL) < 0)
            return false;
    }
    return (events & (POLLIN | POLLHUP)) == 0 || discardInput(connection.fd);
}

void ConnectionCrowd::run()
{
    const Poco::Net::SocketAddress listener(this->address);
    const auto end = std::chrono::steady_clock::now() + maxTime;
    std::vector<Connection> connections(this->size);
    std::vector<pollfd> polled(this->size);
    while (!this->stopping) {
        auto now = std::chrono::steady_clock::now();
        bool mayConnect = now < end && this->connectCount < maxConnects;
        for (std::size_t i = 0; i < this->size; ++i) {
            Connection& connection = connections[i];
            if (connection.fd < 0 && mayConnect && now >= connection.connectAt) {
                connection = { beginConnect(listener), false, now + reconnectPause };
                ++this->connectCount;
            }
            polled[i] = { connection.fd, static_cast<short>(connection.sent ? POLLIN : POLLIN | POLLOUT), 0 };
        }
        ::poll(polled.data(), polled.size(), pollMillis);
        now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < this->size; ++i) {
            Connection& connection = connections[i];
            if (connection.fd < 0 || polled[i].revents == 0 || this->advance(connection, polled[i].revents))
                continue;
            ::close(connection.fd);
            connection = { -1, false, now + reconnectPause };
        }
    }
    for (const Connection& connection : connections) {
        if (connection.fd >= 0)
            ::close(connection.fd);
    }
}

} // namespace lovagecross::soak
