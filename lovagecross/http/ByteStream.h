#pragma once

// A non-blocking TCP connection with a receive buffer. Functions that wait take a deadline.
//
//     ByteStream stream(socket);
//     if (waitReadable(stream, deadline, clock) == IoStatus::Ok)
//         stream.receive();
//
// Thread safety: not synchronized, except `shutdown` and `endInput`, which any thread may call to wake the owner from a
// wait.

#include "lovagecross/base/Clock.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class IoStatus {
    Ok,
    Closed, // the peer has closed the connection without an error
    Failed, // connection reset, or any other error
    TimedOut,
};

class ByteStream {
public:
    explicit ByteStream(const Poco::Net::StreamSocket& connected);

    int descriptor() const { return this->fd; }

    // Appends bytes that have arrived to `buffered` without waiting. Also returns Ok if nothing has arrived.
    IoStatus receive();

    // Writes all bytes, or returns TimedOut once the connection accepts no more until `deadline`.
    IoStatus send(std::string_view bytes, TimePoint deadline, const Clock& clock);

    // Writes as many bytes as the connection accepts without waiting, and sets `sent` to their number.
    IoStatus sendSome(std::string_view bytes, std::size_t& sent);

    // Whether the peer has closed or reset the connection. Reads no bytes, so it is false while unread bytes precede
    // the close.
    bool peerClosed() const;

    // Whether no bytes are pending and the peer has not closed the connection, so that a persistent connection may be
    // reused.
    bool isReusable() const;

    // Closes both directions. The descriptor stays open.
    void shutdown();

    // Closes the receiving direction, which ends a wait of the owner. The owner can still send.
    void endInput();

    // Frees the memory of `buffered` if it holds no bytes, so that an idle connection takes little memory.
    void releaseEmptyBuffer();

    std::string buffered; // bytes received; the owner removes those it has processed

private:
    Poco::Net::StreamSocket socket;
    int fd;
};

struct ConnectResult {
    IoStatus status = IoStatus::Failed;
    Poco::Net::StreamSocket socket;
};

// Opens a connection. The status is Failed if it was refused or an error occurred, TimedOut if the deadline passed.
ConnectResult connectTo(const Poco::Net::SocketAddress& address, TimePoint deadline, const Clock& clock);

// Opens connections to all addresses at once and closes them again. Returns, in the order of the addresses, which of
// them could be opened by the deadline.
std::vector<bool> probeConnections(
    const std::vector<Poco::Net::SocketAddress>& addresses, TimePoint deadline, const Clock& clock);

// Waits until bytes, the end of the connection or an error can be read (Ok), or until the deadline (TimedOut).
IoStatus waitReadable(const ByteStream& stream, TimePoint deadline, const Clock& clock);

enum class PairEvent {
    First, // the first stream has bytes, the end of the connection or an error to read
    Second, // the second stream has
    TimedOut,
};

// Waits until either stream can be read. If both can, returns Second, so that a first stream that always has bytes does
// not hide the end of the second. Ignores the second one if `watchSecond` is false.
PairEvent waitEither(
    const ByteStream& first, const ByteStream& second, bool watchSecond, TimePoint deadline, const Clock& clock);

} // namespace lovagecross
