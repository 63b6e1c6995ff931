#pragma once

// A request to another node whose answer is being received. Internal to the adapters.
//
// The asking thread waits in `wait`; the I/O thread passes in what arrives with `take`.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/PeerCodec.h"
#include "lovagecross/ports/Peer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

namespace lovagecross::detail {

// Bytes that all answers under way hold together, with their bound.
class HeldBytes {
public:
    explicit HeldBytes(std::size_t limit)
        : limit(limit)
    {
    }

    // False, with nothing added, when the bound would be passed.
    bool add(std::size_t size);
    void subtract(std::size_t size) { this->bytes -= size; }

private:
    const std::size_t limit;
    std::atomic<std::size_t> bytes { 0 };
};

enum class Taken {
    Yes,
    Doubled, // seen before, or the request has ended: dropped
    Broken, // a piece is missing or a bound is passed: the request has ended without an answer
    Malformed, // not a message that answers a request: dropped
};

enum class Sending {
    Done,
    Blocked, // the connection takes nothing now
    GivenUp, // the asking thread has stopped waiting
};

class PendingAnswer {
public:
    // `held` must outlive the object.
    PendingAnswer(std::string address, bool forward, std::size_t maxAnswerBytes, HeldBytes& held);
    ~PendingAnswer();
    PendingAnswer(const PendingAnswer&) = delete;
    PendingAnswer& operator=(const PendingAnswer&) = delete;

    const std::string& address() const { return this->peerAddress; }
    bool isForward() const { return this->forward; }

    // Called once when the request ends, on the thread that ends it and under this object's lock. Set before the
    // request is submitted.
    void onEnd(std::function<void()> callback) { this->ended = std::move(callback); }

    // Whether the request has ended.
    bool isDone();

    // Passes chunks to the sink, until the request ends, the peer is silent for too long or the sink cancels. A request
    // that was not sent by then ends with Rejected.
    void wait(Duration silence, const ChunkSink& sink);

    // Calls `send`, which returns whether the message was handed over, unless the request has ended. So a request that
    // ended unsent is never sent.
    Sending send(const std::function<bool()>& send);

    Taken take(PeerBody& body);

    // Does nothing when the request has ended.
    void finish(PeerStatus newStatus);

    // After `wait`:
    PeerStatus status();
    std::string takeAnswer(); // serialized, empty unless the status is Ok

private:
    Taken takeChunk(ForwardChunk& chunk);
    Taken takePart(AnswerPart& part);
    void finishLocked(PeerStatus newStatus);

    const std::string peerAddress;
    const bool forward;
    const std::size_t maxAnswerBytes;
    HeldBytes& held;

    std::function<void()> ended;
    std::mutex mutex;
    std::condition_variable changed;
    bool sent = false;
    bool done = false;
    PeerStatus finalStatus = PeerStatus::NoAnswer;
    std::string answer;
    std::size_t answerBytes = 0; // counted in `held`
    std::uint32_t nextPart = 0;
    std::deque<std::string> chunks;
    std::size_t chunkBytes = 0; // counted in `held`
    std::uint64_t nextChunk = 0;
    std::chrono::steady_clock::time_point lastHeard = std::chrono::steady_clock::now();
};

} // namespace lovagecross::detail
