#pragma once

// The tokens of one tenant that an entry node holds, and how many it expects to need.
//
//     noteCall(batch, now);
//     if (takeToken(batch, now))
//         ... send the call ...
//     if (std::uint32_t wanted = tokensToDraw(batch, lifetime, now))
//         ... draw them ahead of need ...
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"

#include <array>
#include <cstdint>
#include <deque>

namespace lovagecross {

struct HeldTokens {
    std::uint32_t count = 0;
    TimePoint voidAt;
};

struct QuotaBatch {
    std::deque<HeldTokens> held; // in the order in which they become void
    // Calls per second, averaged over a short and a long time. The smaller average counts, so that tokens are not drawn
    // for a burst that has ended.
    std::array<double, 2> perSecond { 0, 0 };
    TimePoint notedAt; // when `perSecond` was last brought up to date
};

// Counts a call in the averages, whether it is admitted or not.
void noteCall(QuotaBatch& batch, TimePoint now);

// Uses one token, of those that can still be used the one that becomes void first. Removes void tokens. Returns false
// if none is left.
bool takeToken(QuotaBatch& batch, TimePoint now);

void addTokens(QuotaBatch& batch, std::uint32_t count, TimePoint voidAt);
std::uint32_t tokensHeld(const QuotaBatch& batch, TimePoint now);

// Calls per second: the smaller of the two averages.
double callRate(const QuotaBatch& batch, TimePoint now);

// The number of tokens that are expected to be used within `lifetime`.
std::uint32_t expectedCalls(const QuotaBatch& batch, Duration lifetime, TimePoint now);

// Returns how many tokens to draw ahead of need; 0 while enough are held.
std::uint32_t tokensToDraw(const QuotaBatch& batch, Duration lifetime, TimePoint now);

} // namespace lovagecross
