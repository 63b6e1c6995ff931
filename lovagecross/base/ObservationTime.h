#pragma once

// When something was observed, so that its age can be told later:
//
//     ObservationTime readAt = ObservationTime::now(clock);
//     ... the answer states that its content was 300 ms old ...
//     readAt = readAt.earlierBy(std::chrono::milliseconds(300));
//     if (readAt.age(clock) > maxAge) ...
//
// The age counts time for which the VM was suspended, which the monotonic clock may leave out: it is the larger one of
// the ages by the monotonic clock and by the wall clock.
//
// Thread safety: a plain value.

#include "lovagecross/base/Clock.h"

#include <algorithm>
#include <cstdint>

namespace lovagecross {

class ObservationTime {
public:
    // Never: the age is Duration::max().
    ObservationTime() = default;

    static ObservationTime now(const Clock& clock)
    {
        ObservationTime time;
        time.known = true;
        time.monotonic = clock.now();
        time.unixMillis = clock.unixMillis();
        return time;
    }

    ObservationTime earlierBy(Duration duration) const
    {
        ObservationTime time = *this;
        time.monotonic -= duration;
        time.unixMillis -= toMillis(duration);
        return time;
    }

    Duration age(const Clock& clock) const
    {
        if (!this->known)
            return Duration::max();
        Duration byWallClock = std::chrono::milliseconds(clock.unixMillis() - this->unixMillis);
        return std::max<Duration>(clock.now() - this->monotonic, byWallClock);
    }

private:
    bool known = false;
    TimePoint monotonic;
    std::int64_t unixMillis = 0;
};

} // namespace lovagecross
