#include "lovagecross/quotas/QuotaSlice.h"

#include <algorithm>
#include <cmath>

namespace lovagecross {

namespace {

// Parts of the overage and of the time that it pays for.
constexpr double rateShareOfOverage = 0.25; // tokens that end unused don't lower the rate that a tenant gets
constexpr double lifetimeShare = 0.75;
constexpr double slackShare = 0.5; // the rest of the slack is left for clock drift
constexpr double maxExtraCapacity = 1; // a fraction of a token in each slice can't be granted
constexpr double keptSecondsForBegunPrograms = 0.1; // of the slice's rate, at least one token
constexpr double maxKeptForBegunPrograms = 0.25; // of the capacity
constexpr double keptWithoutExtra = 0.25; // of the capacity
constexpr double extraShare = 0.5; // one entry node gets at most this part of what may be granted ahead of need

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double rateFactor(const QuotaPolicy& policy)
{
    return 1 + policy.overage * rateShareOfOverage;
}

// Tokens are drawn at up to `rateFactor` times the rate during the window and this time together.
double paidSeconds(const QuotaPolicy& policy)
{
    double window = std::chrono::duration<double>(policy.window).count();
    return window * ((1 + policy.overage) / rateFactor(policy) - 1);
}

void refill(QuotaSlice& slice, TimePoint now)
{
    if (now > slice.updatedAt) {
        double seconds = std::chrono::duration<double>(now - slice.updatedAt).count();
        slice.available += slice.limits.perSecond * seconds;
        slice.updatedAt = now;
    }
    slice.available = std::min(slice.available, slice.limits.capacity);
}

std::uint32_t wholeTokens(double amount)
{
    return static_cast<std::uint32_t>(std::clamp(std::floor(amount), 0.0, 1e9));
}

std::uint32_t take(QuotaSlice& slice, std::uint32_t wanted, double kept)
{
    std::uint32_t tokens = std::min(wanted, wholeTokens(slice.available - kept));
    slice.available -= tokens;
    return tokens;
}

double keptForBegunPrograms(const SliceLimits& limits)
{
    return std::min(std::max(1.0, limits.perSecond * keptSecondsForBegunPrograms),
        std::max(1.0, limits.capacity * maxKeptForBegunPrograms));
}

Duration timeToNextToken(const QuotaSlice& slice)
{
    double missing = 1 - (slice.available - std::floor(slice.available)) + slice.denials;
    double longest = std::chrono::duration<double>(maxQuotaRetryAfter).count();
    return fromSeconds(slice.limits.perSecond > 0 ? std::min(missing / slice.limits.perSecond, longest) : longest);
}

} // namespace

Duration tokenLifetime(const QuotaPolicy& policy)
{
    return fromSeconds(paidSeconds(policy) * lifetimeShare);
}

Duration sendAllowance(const QuotaPolicy& policy)
{
    return fromSeconds(paidSeconds(policy) * (1 - lifetimeShare));
}

SliceLimits sliceLimits(const QuotaPolicy& policy, const TenantQuota& quota, double share)
{
    double extra = std::min(maxExtraCapacity, policy.slack * slackShare * share);
    return { quota.requestsPerSecond * rateFactor(policy) * share, quota.burst * (1 + policy.overage) * share + extra };
}

QuotaSlice emptySlice(TimePoint heldSince)
{
    QuotaSlice slice;
    slice.updatedAt = heldSince;
    return slice;
}

void setSlice(QuotaSlice& slice, const SliceLimits& limits, TimePoint now)
{
    bool isNew = slice.limits.capacity == 0;
    if (isNew)
        slice.limits = limits;
    refill(slice, now);
    slice.limits = limits;
    refill(slice, now);
}

QuotaGrant drawTokens(QuotaSlice& slice, const QuotaWish& wish, TimePoint now)
{
    refill(slice, now);
    QuotaGrant grant;
    std::uint32_t begun = std::min(wish.begun, wish.needed);
    grant.tokens = take(slice, begun, 0);
    if (grant.tokens < begun)
        slice.shortUntil = now + quotaShortageMemory;
    double kept = now < slice.shortUntil ? keptForBegunPrograms(slice.limits) : 0;
    grant.tokens += take(slice, wish.needed - begun, kept);
    double spare = slice.available - slice.limits.capacity * keptWithoutExtra;
    grant.tokens += take(slice, std::min(wish.extra, wholeTokens(spare * extraShare)), 0);
    grant.level = slice.available;
    if (grant.tokens >= wish.needed) {
        if (wish.needed > 0)
            slice.denials = 0;
        return grant;
    }
    grant.retryAfter = timeToNextToken(slice);
    slice.denials = grant.tokens > 0 ? 1 : slice.denials + 1;
    return grant;
}

} // namespace lovagecross
