#pragma once

// A token bucket: at most `perSecond` calls a second, with a burst of a quarter of a second.
//
// Thread safety: none; the owner locks.

#include "lovagecross/base/Clock.h"

#include <cstdint>
#include <optional>

namespace lovagecross::standins {

class RateLimiter {
public:
    // 0 means no limit. A changed limit starts with a full bucket.
    void setLimit(std::int64_t perSecond, TimePoint now);

    // Counts one call. Returns nullopt when it is within the limit, and otherwise the time until the next one is.
    std::optional<Duration> take(TimePoint now);

private:
    std::int64_t perSecond = 0;
    double available = 0;
    TimePoint updated;
};

} // namespace lovagecross::standins
