#pragma once

// Accounts for the bytes that callers make the process hold. They are reserved before they are allocated.
//
//     BufferReservation reservation(account, clock, length, [&stream] { stream.endInput(); });
//     if (!reservation.grow(body, size + more, limit))
//         ... refuse the request with 503 ...
//     reservation.complete();   // it is read, and no longer gives way to others
//
// If a share has no room, unfinished bodies that have been silent give way: their threads are woken from the wait for
// further bytes, refuse the requests and free the bytes. Of answers that wait for larger buffers and block each other,
// the youngest end, so that the oldest goes on. The account is kept in memory only and starts empty.
//
// Thread safety: every member of MemoryAccount may be called from any thread; a reservation belongs to one thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/gateway/MemoryShares.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

class BufferReservation;

class MemoryAccount {
public:
    explicit MemoryAccount(MemoryShares memoryShares = memorySharesOf(128 * bytesPerMegabyte))
        : shares(memoryShares)
    {
    }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    // Must be called before the first reservation.
    void setShares(const MemoryShares& newShares) { this->shares = newShares; }

    // Adds `more` bytes to the `held` ones of a conversation, which counts as small or large by both together. Returns
    // false, with `held` as it was, if the share has no room.
    bool growConversation(std::size_t& held, std::size_t more);
    void shrinkConversation(std::size_t& held, std::size_t less);

    // Waits for memory to store a turn of `bytes` bytes, until `deadline`. Turns are stored one after the other if
    // they are large. Returns false if there is none until then.
    bool reserveStoredTurn(std::size_t bytes, TimePoint deadline, const Clock& clock);
    void releaseStoredTurn(std::size_t bytes);

    std::size_t used(MemoryUse use) const;

private:
    friend class BufferReservation;

    bool makeRoom(
        std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t wanted, const BufferReservation& growing);
    std::size_t tellBodiesToGiveWay(
        std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t needed, const BufferReservation& growing);
    void wakeBodies(std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t needed,
        const std::vector<BufferReservation*>& bodies);
    void endAnswersThatBlock();
    std::size_t& usedFor(MemoryUse use) { return this->reserved.at(static_cast<std::size_t>(use)); }

    MemoryShares shares;
    mutable std::mutex mutex;
    std::condition_variable freed;
    std::array<std::size_t, memoryUses> reserved {}; // by use
    std::set<BufferReservation*> unfinished; // those that may be told to give way
    std::uint64_t answersBegun = 0;
    std::map<std::uint64_t, BufferReservation*> waitingAnswers; // those that hold a buffer, by order
};

// The bytes of a buffer and of what is received for it: of a request body, from the request's head until the end of the
// call, or of an answer.
class BufferReservation {
public:
    // `announcedBytes` is the length that the head names, or 0. `wakeUp` is called on another thread if this body must
    // give way while it is read. The reservation's destructor waits until it returns, so `wakeUp` must not block.
    BufferReservation(
        MemoryAccount& memoryAccount, const Clock& time, std::size_t announcedBytes, std::function<void()> wakeUp);

    // For an answer, which does not give way to bodies before `startWriting`. `wakeUp` is called as for a body. After
    // `grow` has returned false for an answer, it must be called again, until `mustGiveWay`, or the reservation must
    // end: meanwhile younger answers may have to end for this one.
    BufferReservation(MemoryAccount& memoryAccount, const Clock& time, std::function<void()> wakeUp);
    ~BufferReservation();
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;

    // Enlarges the buffer of `body` to hold `needed` bytes, of at most `limit`, once they are reserved. Notes that the
    // body makes progress. Returns false, with the body as it was, if there is no room or this body must give way.
    bool grow(std::string& body, std::size_t needed, std::size_t limit);

    // The answer is complete and is sent to the caller. From now on it may be told to give way.
    void startWriting();

    // The body is complete, and no longer gives way to others. Returns false if it was told to before.
    bool complete();

    // Frees the body's buffer and the reservation.
    void release(std::string& body);

    bool mustGiveWay() const;

private:
    friend class MemoryAccount;

    bool reserve(std::size_t capacity);
    void waitAsAnswer(std::size_t bytes);
    void setHeld(MemoryUse newUse, std::size_t bytes);

    MemoryAccount& account;
    const Clock& clock;
    const std::size_t announced;
    const bool isAnswer;
    const std::function<void()> wake;
    MemoryUse use = MemoryUse::SmallBodies; // guarded by the account's mutex, as is all that follows
    std::size_t held = 0;
    std::uint64_t order = 0; // of an answer
    std::size_t wanted = 0; // in all, by an answer that waits
    TimePoint lastByteAt;
    bool givesWay = false;
    bool beingWoken = false; // by another thread, without the mutex
};

} // namespace lovagecross
