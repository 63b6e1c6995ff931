#include "lovagecross/http/ByteStream.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace lovagecross {

namespace {

constexpr std::size_t receiveBufferBytes = 16 * 1024;
constexpr std::int64_t maxPollMillis = 60'000;

// Returns the milliseconds until the deadline, limited to maxPollMillis. Rounded up so that a poll does not end just
// before the deadline.
int millisUntil(TimePoint deadline, const Clock& clock)
{
    Duration left = deadline - clock.now();
    if (left <= Duration(0))
        return 0;
    return static_cast<int>(std::min(toMillis(left) + 1, maxPollMillis));
}

// Waits until one of `events` or an error is pending on `fd`. Returns false if the deadline passes first.
bool waitFor(int fd, short events, TimePoint deadline, const Clock& clock)
{
    for (;;) {
        pollfd item { fd, events, 0 };
        int wait = millisUntil(deadline, clock);
        int count = ::poll(&item, 1, wait);
        if (count > 0)
            return true;
        if (count == 0 && clock.now() >= deadline)
            return false;
        if (count < 0 && errno != EINTR)
            return true; // the caller's next read or write reports the error
    }
}

} // namespace

ByteStream::ByteStream(const Poco::Net::StreamSocket& connected)
    : socket(connected)
    , fd(this->socket.impl()->sockfd())
{
    this->socket.setBlocking(false);
    this->socket.setNoDelay(true);
}

IoStatus ByteStream::receive()
{
    std::array<char, receiveBufferBytes> bytes;
    ssize_t count = ::recv(this->fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->buffered.append(bytes.data(), static_cast<std::size_t>(count));
        return IoStatus::Ok;
    }
    if (count == 0)
        return IoStatus::Closed;
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoStatus::Ok : IoStatus::Failed;
}

IoStatus ByteStream::sendSome(std::string_view bytes, std::size_t& sent)
{
    sent = 0;
    ssize_t count = ::send(this->fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
        sent = static_cast<std::size_t>(count);
        return IoStatus::Ok;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoStatus::Ok : IoStatus::Failed;
}

IoStatus ByteStream::send(std::string_view bytes, TimePoint deadline, const Clock& clock)
{
    while (!bytes.empty()) {
        std::size_t sent = 0;
        if (this->sendSome(bytes, sent) != IoStatus::Ok)
            return IoStatus::Failed;
        bytes.remove_prefix(sent);
        if (!bytes.empty() && sent == 0 && !waitFor(this->fd, POLLOUT, deadline, clock))
            return IoStatus::TimedOut;
    }
    return IoStatus::Ok;
}

bool ByteStream::peerClosed() const
{
    char byte = 0;
    ssize_t count = ::recv(this->fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool ByteStream::isReusable() const
{
    char byte = 0;
    ssize_t count = ::recv(this->fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return this->buffered.empty() && count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ByteStream::shutdown()
{
    ::shutdown(this->fd, SHUT_RDWR);
}

void ByteStream::endInput()
{
    ::shutdown(this->fd, SHUT_RD);
}

void ByteStream::releaseEmptyBuffer()
{
    if (this->buffered.empty())
        std::string().swap(this->buffered);
}

namespace {

// Begins to open a connection. Returns false if it was refused, or if no file descriptor is available.
bool startConnect(Poco::Net::StreamSocket& socket, const Poco::Net::SocketAddress& address)
{
    try {
        socket.connectNB(address);
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

IoStatus finishConnect(const Poco::Net::StreamSocket& socket, TimePoint deadline, const Clock& clock)
{
    int fd = socket.impl()->sockfd();
    if (!waitFor(fd, POLLOUT, deadline, clock))
        return IoStatus::TimedOut;
    int error = 0;
    socklen_t size = sizeof(error);
    bool opened = ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    return opened ? IoStatus::Ok : IoStatus::Failed;
}

} // namespace

ConnectResult connectTo(const Poco::Net::SocketAddress& address, TimePoint deadline, const Clock& clock)
{
    ConnectResult result;
    if (startConnect(result.socket, address))
        result.status = finishConnect(result.socket, deadline, clock);
    return result;
}

std::vector<bool> probeConnections(
    const std::vector<Poco::Net::SocketAddress>& addresses, TimePoint deadline, const Clock& clock)
{
    std::vector<Poco::Net::StreamSocket> sockets(addresses.size());
    std::vector<bool> opened;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        opened.push_back(startConnect(sockets[i], addresses[i]));
    for (std::size_t i = 0; i < addresses.size(); ++i)
        opened[i] = opened[i] && finishConnect(sockets[i], deadline, clock) == IoStatus::Ok;
    return opened;
}

IoStatus waitReadable(const ByteStream& stream, TimePoint deadline, const Clock& clock)
{
    return waitFor(stream.descriptor(), POLLIN, deadline, clock) ? IoStatus::Ok : IoStatus::TimedOut;
}

PairEvent waitEither(
    const ByteStream& first, const ByteStream& second, bool watchSecond, TimePoint deadline, const Clock& clock)
{
    for (;;) {
        std::array<pollfd, 2> items { { { first.descriptor(), POLLIN, 0 }, { second.descriptor(), POLLIN, 0 } } };
        int count = ::poll(items.data(), watchSecond ? 2 : 1, millisUntil(deadline, clock));
        if (count > 0)
            return watchSecond && items[1].revents != 0 ? PairEvent::Second : PairEvent::First;
        if (count == 0 && clock.now() >= deadline)
            return PairEvent::TimedOut;
        if (count < 0 && errno != EINTR)
            return PairEvent::First; // the caller's next read reports the error
    }
}

} // namespace lovagecross
