#pragma once

// State of a request to another node until its answer is complete. Internal to the adapters.
//
// The calling thread blocks in `wait`; the I/O thread passes each received message to `receive`.
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

// Limit for the total size of the answers that have been received but not yet returned to their callers.
class ByteBudget {
public:
    explicit ByteBudget(std::size_t limit)
        : limit(limit)
    {
    }

    // Returns false, and adds nothing, if the limit would be exceeded.
    bool add(std::size_t size);
    void subtract(std::size_t size) { this->bytes -= size; }

private:
    const std::size_t limit;
    std::atomic<std::size_t> bytes { 0 };
};

enum class ReceiveResult {
    Accepted,
    Duplicate, // dropped: received before, or the request has ended
    Aborted, // a part is missing or a limit is exceeded; the request has ended with NoAnswer
    Malformed, // dropped: not a message that can answer this request
};

enum class SendResult {
    Sent,
    WouldBlock, // the connection is not established or its send queue is full
    RequestEnded, // the request ended before it was sent
};

class PendingAnswer {
public:
    // `answerBudget` must outlive the object.
    PendingAnswer(std::string address, bool forward, std::size_t maxAnswerBytes, ByteBudget& answerBudget);
    ~PendingAnswer();
    PendingAnswer(const PendingAnswer&) = delete;
    PendingAnswer& operator=(const PendingAnswer&) = delete;

    const std::string& address() const { return this->peerAddress; }
    bool isForward() const { return this->forward; }

    // Sets a callback that is called once when the request ends, on the thread that ends it and with this object's lock
    // held. Must be set before the request is submitted.
    void onEnd(std::function<void()> callback) { this->endCallback = std::move(callback); }

    bool isDone();

    // Nobody waits for the answer any more. Returns whether the request has ended already; otherwise `endedUnawaited`
    // is true once it has.
    bool abandon();
    bool endedUnawaited();

    // Passes received chunks to the sink until the request ends, nothing arrives from the peer for `silence`, or the
    // sink cancels. If the timeout expires before the request was sent, it ends with Rejected.
    void wait(Duration silence, const ChunkSink& sink);

    // Unless the request has ended, calls `send`, which returns whether ZeroMQ accepted the message. Guarantees that a
    // request that ended before it was sent is never sent.
    SendResult send(const std::function<bool()>& send);

    ReceiveResult receive(PeerBody& body);

    // Does nothing if the request has already ended.
    void finish(PeerStatus newStatus);

    // Valid after `wait` has returned:
    PeerStatus status();
    std::string takeAnswer(); // serialized; complete only if the status is Ok

private:
    ReceiveResult receiveChunk(ForwardChunk& chunk);
    ReceiveResult receivePart(AnswerPart& part);
    void finishLocked(PeerStatus newStatus);

    const std::string peerAddress;
    const bool forward;
    const std::size_t maxAnswerBytes;
    ByteBudget& answerBudget;

    std::function<void()> endCallback;
    std::mutex mutex;
    std::condition_variable changed;
    bool sent = false;
    bool done = false;
    bool abandoned = false;
    PeerStatus finalStatus = PeerStatus::NoAnswer;
    std::string answer;
    std::size_t answerBytes = 0; // counted in `answerBudget`
    std::uint32_t nextPart = 0;
    std::deque<std::string> chunks;
    std::size_t chunkBytes = 0; // counted in `answerBudget`
    std::uint64_t nextChunk = 0;
    std::chrono::steady_clock::time_point lastHeard = std::chrono::steady_clock::now();
};

} // namespace lovagecross::detail
