#pragma once

// A crowd of callers that send large requests from one thread, and a watch on the memory of the process that they send
// to.
//
// Thread safety: none; one thread uses both.

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace lovagecross::soak {

// The memory of a process: its resident pages, and what the kernel holds for its connections at one listening address:
// bytes that it has not read, and bytes that it has sent and the other side has not read.
class MemoryWatch {
public:
    // `address` is IP:port.
    MemoryWatch(pid_t watchedProcess, const std::string& address);

    void sample();

    // Over all samples.
    std::size_t peakBytes = 0; // of the whole
    std::size_t peakUnread = 0; // bytes in the kernel
    std::size_t peakDescriptors = 0; // number of open file descriptors

private:
    std::size_t unreadBytes() const;

    const pid_t process;
    std::string portDigits; // as /proc/net/tcp prints it
};

enum class CrowdReads {
    Answers,
    Nothing,
};

class Crowd {
public:
    // Each caller sends at most `pieceBytes` before it is the next one's turn.
    explicit Crowd(std::size_t pieceBytes, CrowdReads whatIsRead = CrowdReads::Answers)
        : pieceSize(pieceBytes)
        , reads(whatIsRead)
    {
    }

    // Adds a caller that sends `head`, the first `bodyBytes` of `body`, and `end`, and then stays connected. `body`
    // must outlive the crowd.
    void add(std::string id, std::string head, std::string_view body, std::size_t bodyBytes, std::string end);

    // Connects all callers and returns when each has sent everything or was disconnected and nothing has moved for some
    // time. Connections stay open until the destructor.
    void run(const std::string& address, MemoryWatch& watch);

    // The HTTP statuses by caller's id, of those that were answered.
    std::map<std::string, int> answers() const;
    std::string describeAnswers() const; // such as "200: 4, 503: 44"

private:
    struct Caller {
        std::string id;
        std::vector<std::string_view> parts;
        std::string head;
        std::string end;
        std::string answer; // its first bytes
        Poco::Net::StreamSocket socket;
        bool closed = false;
    };

    bool sendPiece(Caller& caller) const;
    static bool receive(Caller& caller);

    const std::size_t pieceSize;
    const CrowdReads reads;
    std::vector<Caller> callers;
};

// The bytes of a body of `size` bytes in chunks, without the last chunk. `size` is rounded down to whole chunks.
std::string chunkedBody(std::size_t size, std::size_t chunkSize);

struct MemoryBounds {
    std::size_t bytes = 0;
    std::size_t descriptors = 0;
};

// Prints what was seen, and fails the test unless the process is alive, an ordinary request was served, and the peaks
// are below the bounds.
void checkEndured(const MemoryWatch& watch, const Crowd& crowd, bool alive, bool served, const MemoryBounds& bounds);

} // namespace lovagecross::soak
