#pragma once

// One TCP connection with a receive buffer, read and written without blocking longer than asked.
//
//     ByteStream stream(socket);
//     if (waitReadable(stream, deadline, clock) == IoStatus::Ok)
//         stream.receive();
//
// Thread safety: not synchronized, except `shutdown`, which any thread may call to end a wait of the owner.

#include "lovagecross/base/Clock.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>

namespace lovagecross {

enum class IoStatus {
    Ok,
    Closed, // the peer has ended the connection in order
    Failed, // reset, or any other error
    TimedOut,
};

class ByteStream {
public:
    explicit ByteStream(const Poco::Net::StreamSocket& connected);

    int descriptor() const { return this->fd; }

    // Reads what has arrived into `buffered`. Ok also when nothing has arrived.
    IoStatus receive();

    // Writes everything before `deadline`.
    IoStatus send(std::string_view bytes, TimePoint deadline, const Clock& clock);

    // Writes what the connection takes now; `sent` counts the bytes.
    IoStatus sendSome(std::string_view bytes, std::size_t& sent);

    // Whether the peer has closed or reset the connection. Bytes that have arrived stay unread.
    bool peerGone() const;

    // Whether nothing has arrived and the peer has not closed: a kept connection may be used again.
    bool quiet() const;

    void shutdown();

    std::string buffered;

private:
    Poco::Net::StreamSocket socket;
    int fd;
};

// Opens a connection. Failed when it was refused, TimedOut when the deadline passed.
struct ConnectResult {
    IoStatus status = IoStatus::Failed;
    Poco::Net::StreamSocket socket;
};
ConnectResult connectTo(const Poco::Net::SocketAddress& address, TimePoint deadline, const Clock& clock);

// Waits until bytes or the end of the connection can be read: Ok, or TimedOut.
IoStatus waitReadable(const ByteStream& stream, TimePoint deadline, const Clock& clock);

enum class PairEvent {
    First, // bytes or the end of the connection can be read
    Second,
    TimedOut,
};

// Waits for either stream; the first has precedence. `watchSecond` false leaves the second out.
PairEvent waitEither(
    const ByteStream& first, const ByteStream& second, bool watchSecond, TimePoint deadline, const Clock& clock);

} // namespace lovagecross
