#pragma once

// One issuer's share of a backend server's rate limit: a token bucket that a node may draw single permits from.
//
//     PermitSlice slice;
//     setSliceRate(slice, limit / issuers, now);
//     PermitDecision decision = takePermit(slice, now);
//
// A new slice is empty, so that an issuer that has restarted doesn't repeat what it granted before.
//
// Load patterns:
//  - demand below the rate: permits are granted at once, bursts up to half a second's worth;
//  - demand above it: each denial names a later time than the one before, so that nodes come back one after the other
//    instead of all asking for the next permit.
//
// Thread safety: free functions over a plain struct.

#include "lovagecross/base/Clock.h"

#include <cstdint>

namespace lovagecross {

struct PermitSlice {
    double perSecond = 0;
    double available = 0; // permits
    std::uint32_t denials = 0; // since the last grant
    TimePoint updatedAt;
};

struct PermitDecision {
    bool granted = false;
    Duration retryAfter { 0 }; // when a permit is expected for the node that was denied
};

inline constexpr double sliceBurstSeconds = 0.5;
inline constexpr Duration maxPermitRetryAfter = std::chrono::seconds(1);

// Changes the rate. What has accumulated at the former rate is kept, up to a burst at the new one.
void setSliceRate(PermitSlice& slice, double perSecond, TimePoint now);

// `slice.perSecond` must be positive.
PermitDecision takePermit(PermitSlice& slice, TimePoint now);

} // namespace lovagecross
