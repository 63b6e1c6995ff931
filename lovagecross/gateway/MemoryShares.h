#pragma once

// How an entry node divides its memory among the bytes that callers make it hold, and which request bodies give way
// when a share is used up.
//
//     MemoryShares shares = memorySharesOf(settings.memoryMegabytes * bytesPerMegabyte);
//     if (!mayHold(bytesOfOthers, wanted, shares.of(MemoryUse::LargeBodies)))
//         for (std::size_t i : bodiesThatGiveWay(unfinished, wanted, now)) ...
//
// Load patterns:
//  - a calm node: every body fits, also one of the largest legal size;
//  - many large bodies: some are read and run, the others are refused; small bodies have a share of their own;
//  - many bodies that stop before their end: those that have been silent for longest give way to those that arrive.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <array>
#include <cstddef>
#include <vector>

namespace lovagecross {

enum class MemoryUse {
    SmallBodies, // request bodies, and conversations, of at most `smallBodyBytes`
    LargeBodies,
    Conversations, // preceding turns that are read, and sent with a request; parsed bodies at nodes that own programs
    Answers, // that are longer than `smallAnswerBytes` and forwarded once they are complete
    StoredTurns, // that are being sent to the record nodes
};

inline constexpr std::size_t memoryUses = 5;

inline constexpr NameTable<MemoryUse, memoryUses> memoryUseNames { { {
    { MemoryUse::SmallBodies, "small_bodies" },
    { MemoryUse::LargeBodies, "large_bodies" },
    { MemoryUse::Conversations, "conversations" },
    { MemoryUse::Answers, "answers" },
    { MemoryUse::StoredTurns, "stored_turns" },
} } };

inline constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
inline constexpr std::size_t smallBodyBytes = 64 * 1024;
inline constexpr std::size_t smallAnswerBytes = 16 * 1024;
inline constexpr std::size_t minBodyCapacity = 4 * 1024; // of a body without an announced length
inline constexpr std::size_t copiesOfStoredTurn = 8; // while it is encoded and sent to three record nodes
inline constexpr Duration minSilenceToGiveWay = std::chrono::milliseconds(250);
inline constexpr Duration memoryRetryAfter = std::chrono::milliseconds(400); // of a request refused for lack of memory

struct MemoryShares {
    std::array<std::size_t, memoryUses> bytes {}; // by use

    std::size_t of(MemoryUse use) const { return this->bytes.at(static_cast<std::size_t>(use)); }
};

// `memoryBytes` is what the whole process may use.
MemoryShares memorySharesOf(std::size_t memoryBytes);

// Whether one holder may have `wanted` bytes in all, beside those of others. All sizes are in bytes. A single holder
// may exceed the share, so that an idle node serves every request inside the limits.
bool mayHold(std::size_t others, std::size_t wanted, std::size_t share);

// The bytes of others that must become free before one holder may have `wanted` bytes; 0 if it may have them.
std::size_t missingBytes(std::size_t others, std::size_t wanted, std::size_t share);

// The share that a body with a buffer of `capacity` bytes belongs to.
MemoryUse useOfBody(std::size_t capacity);

// The share that a conversation of `bytes` bytes belongs to.
MemoryUse useOfConversation(std::size_t bytes);

// The capacity of the buffer that a body grows into, at least `needed`: doubles, up to `limit`.
std::size_t nextBodyCapacity(std::size_t capacity, std::size_t needed, std::size_t limit);

// An answer that holds a buffer and waits for a larger one. All sizes are in bytes.
struct WaitingAnswer {
    std::size_t held = 0;
    std::size_t wanted = 0; // in all
};

// Returns the indexes of the answers to end, the youngest first, so that the oldest fits beside the other waiting ones:
// they would block each other until their deadlines. Empty if it fits, or only waits for answers that make progress.
std::vector<std::size_t> answersThatEnd(const std::vector<WaitingAnswer>& oldestFirst, std::size_t share);

// A body that is being read, or an answer that is being written. An answer is silent from the start of its writing on.
struct UnfinishedBody {
    std::size_t bytes = 0; // reserved
    TimePoint lastByteAt;
    bool givesWay = false; // already told to
};

// Returns the indexes of the bodies to refuse, so that `needed` bytes become free: those that have been silent for
// longest come first. Bytes of bodies that give way already count. Empty if no body has been silent for long enough.
std::vector<std::size_t> bodiesThatGiveWay(
    const std::vector<UnfinishedBody>& bodies, std::size_t needed, TimePoint now);

} // namespace lovagecross
