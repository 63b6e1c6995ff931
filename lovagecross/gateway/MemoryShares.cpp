#include "lovagecross/gateway/MemoryShares.h"

#include <algorithm>

namespace lovagecross {

namespace {

// Shares in parts of 32 of the process's memory. The rest is left for the process itself.
constexpr std::size_t smallBodyParts = 4;
constexpr std::size_t largeBodyParts = 8;
constexpr std::size_t conversationParts = 5;
constexpr std::size_t answerParts = 2;
constexpr std::size_t storedTurnParts = 2;

} // namespace

MemoryShares memorySharesOf(std::size_t memoryBytes)
{
    auto parts = [memoryBytes](std::size_t count) { return memoryBytes * count / 32; };
    return { { parts(smallBodyParts), parts(largeBodyParts), parts(conversationParts), parts(answerParts),
        parts(storedTurnParts) } };
}

bool mayHold(std::size_t others, std::size_t wanted, std::size_t share)
{
    return others == 0 || others + wanted <= share;
}

std::size_t missingBytes(std::size_t others, std::size_t wanted, std::size_t share)
{
    if (mayHold(others, wanted, share))
        return 0;
    return std::min(others, others + wanted - share);
}

MemoryUse useOfBody(std::size_t capacity)
{
    return capacity <= smallBodyBytes ? MemoryUse::SmallBodies : MemoryUse::LargeBodies;
}

MemoryUse useOfConversation(std::size_t bytes)
{
    return bytes <= smallBodyBytes ? MemoryUse::SmallBodies : MemoryUse::Conversations;
}

std::size_t nextBodyCapacity(std::size_t capacity, std::size_t needed, std::size_t limit)
{
    std::size_t doubled = std::max(2 * capacity, minBodyCapacity);
    return std::max(needed, std::min(doubled, limit));
}

std::vector<std::size_t> answersThatEnd(const std::vector<WaitingAnswer>& oldestFirst, std::size_t share)
{
    std::vector<std::size_t> chosen;
    std::size_t others = 0;
    for (std::size_t i = 1; i < oldestFirst.size(); ++i)
        others += oldestFirst[i].held;
    for (std::size_t i = oldestFirst.size(); i > 1 && !mayHold(others, oldestFirst.front().wanted, share); --i) {
        others -= oldestFirst[i - 1].held;
        chosen.push_back(i - 1);
    }
    return chosen;
}

std::vector<std::size_t> bodiesThatGiveWay(const std::vector<UnfinishedBody>& bodies, std::size_t needed, TimePoint now)
{
    std::vector<std::size_t> candidates;
    std::size_t freed = 0;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        if (bodies[i].givesWay)
            freed += bodies[i].bytes;
        else if (bodies[i].bytes > 0 && now - bodies[i].lastByteAt >= minSilenceToGiveWay)
            candidates.push_back(i);
    }
    std::sort(candidates.begin(), candidates.end(),
        [&bodies](std::size_t left, std::size_t right) { return bodies[left].lastByteAt < bodies[right].lastByteAt; });
    std::vector<std::size_t> chosen;
    for (std::size_t i : candidates) {
        if (freed >= needed)
            break;
        freed += bodies[i].bytes;
        chosen.push_back(i);
    }
    return chosen;
}

} // namespace lovagecross
