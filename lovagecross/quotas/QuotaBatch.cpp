#include "lovagecross/quotas/QuotaBatch.h"

#include <algorithm>
#include <cmath>

namespace lovagecross {

namespace {

constexpr std::array<double, 2> averagingSeconds { 0.5, 2 };
constexpr double usedOfLifetime = 0.75; // tokens for this part of their lifetime are drawn at once
constexpr std::uint32_t lowDivisor = 3; // below this part of them, further ones are drawn

double averageAt(const QuotaBatch& batch, std::size_t average, TimePoint now)
{
    double seconds = std::max(0.0, std::chrono::duration<double>(now - batch.notedAt).count());
    return batch.perSecond[average] * std::exp(-seconds / averagingSeconds[average]);
}

} // namespace

void noteCall(QuotaBatch& batch, TimePoint now)
{
    for (std::size_t i = 0; i < averagingSeconds.size(); ++i)
        batch.perSecond[i] = averageAt(batch, i, now) + 1 / averagingSeconds[i];
    batch.notedAt = std::max(batch.notedAt, now);
}

bool takeToken(QuotaBatch& batch, TimePoint now)
{
    while (!batch.held.empty() && (batch.held.front().voidAt <= now || batch.held.front().count == 0))
        batch.held.pop_front();
    if (batch.held.empty())
        return false;
    --batch.held.front().count;
    return true;
}

void addTokens(QuotaBatch& batch, std::uint32_t count, TimePoint voidAt)
{
    if (count == 0)
        return;
    auto later = [](TimePoint time, const HeldTokens& tokens) { return time < tokens.voidAt; };
    auto position = std::upper_bound(batch.held.begin(), batch.held.end(), voidAt, later);
    batch.held.insert(position, { count, voidAt });
}

std::uint32_t tokensHeld(const QuotaBatch& batch, TimePoint now)
{
    std::uint32_t sum = 0;
    for (const HeldTokens& tokens : batch.held)
        sum += tokens.voidAt > now ? tokens.count : 0;
    return sum;
}

double callRate(const QuotaBatch& batch, TimePoint now)
{
    return std::min(averageAt(batch, 0, now), averageAt(batch, 1, now));
}

std::uint32_t expectedCalls(const QuotaBatch& batch, Duration lifetime, TimePoint now)
{
    double seconds = std::chrono::duration<double>(lifetime).count() * usedOfLifetime;
    return static_cast<std::uint32_t>(callRate(batch, now) * seconds);
}

std::uint32_t tokensToDraw(const QuotaBatch& batch, Duration lifetime, TimePoint now)
{
    std::uint32_t expected = expectedCalls(batch, lifetime, now);
    std::uint32_t held = tokensHeld(batch, now);
    return held <= expected / lowDivisor ? expected - held : 0;
}

} // namespace lovagecross
