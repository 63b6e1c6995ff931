#pragma once

// One issuer's share of a tenant's quota: a token bucket that entry nodes draw batches from.
//
//     QuotaSlice slice = emptySlice(heldSince);
//     setSlice(slice, sliceLimits(policy, quota, share), now);
//     QuotaGrant grant = drawTokens(slice, wish, now);
//
// Load patterns:
//  - demand well below the rate: entry nodes get tokens ahead of need while the slice is not low;
//  - demand near the rate: only what waits is granted, so that no token ends unused at one node while another refuses;
//  - demand above the rate: once a program that has begun was denied a token, a part of the slice is kept for programs
//    that have begun. Each denial names a later time than the one before, so that nodes return one after the other.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/tenants/TenantTable.h"

#include <cstdint>

namespace lovagecross {

// In any window, at most (rate * window + burst) * (1 + overage) + slack calls of a tenant are sent to servers.
struct QuotaPolicy {
    Duration window { 0 }; // 0: quotas are not enforced
    double overage = 0;
    double slack = 0; // calls

    bool enforced() const { return this->window > Duration(0); }
};

struct SliceLimits {
    double perSecond = 0;
    double capacity = 0; // tokens
};

struct QuotaSlice {
    SliceLimits limits;
    double available = 0; // tokens
    std::uint32_t denials = 0; // since the last grant of all that was needed
    // A call of a begun program was denied a token lately: until then, new programs don't get the kept part.
    TimePoint shortUntil;
    TimePoint updatedAt;
};

struct QuotaWish {
    std::uint32_t needed = 0; // calls that wait for a token
    std::uint32_t begun = 0; // of these: calls of programs that have begun
    std::uint32_t extra = 0; // for calls that are expected
};

struct QuotaGrant {
    std::uint32_t tokens = 0;
    double level = 0; // tokens that are left
    Duration retryAfter { 0 }; // if fewer than needed were granted: when the next token is expected
};

inline constexpr Duration maxQuotaRetryAfter = std::chrono::seconds(1);
// How long a part of a slice is kept after a call of a begun program was denied.
inline constexpr Duration quotaShortageMemory = std::chrono::milliseconds(500);

// How long a drawn token may be used, counted from the request for it. What is admitted in a window was drawn in it or
// up to this time before, and a call is sent a short time after it was admitted; the overage allows for both.
Duration tokenLifetime(const QuotaPolicy& policy);

// Longest time between the admission of a call and its sending for which the bound holds.
Duration sendAllowance(const QuotaPolicy& policy);

// `share` is 1 / (number of issuers).
SliceLimits sliceLimits(const QuotaPolicy& policy, const TenantQuota& quota, double share);

// A slice that fills from `heldSince` on.
QuotaSlice emptySlice(TimePoint heldSince);

// Changes the limits. The slice first fills up to now at its former rate, or at the new one if it had no limits yet;
// tokens above the new capacity are lost.
void setSlice(QuotaSlice& slice, const SliceLimits& limits, TimePoint now);

// Takes tokens from the slice: first for calls of begun programs, then for other calls that wait, then for expected
// ones.
QuotaGrant drawTokens(QuotaSlice& slice, const QuotaWish& wish, TimePoint now);

} // namespace lovagecross
