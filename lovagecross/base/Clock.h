#pragma once

// Clocks for all components. Decision logic takes a `TimePoint` as an argument; code that has to ask for the
// time takes a `Clock&`, so that a test can pause and advance it:
//
//     ManualClock clock;
//     clock.advance(std::chrono::seconds(4));
//     CPPUNIT_ASSERT(!lease.hasAuthority(clock.now()));
//
// Thread safety: every member may be called from any thread.

#include <atomic>
#include <chrono>
#include <cstdint>

namespace lovagecross {

using Duration = std::chrono::nanoseconds;

// Monotonic time within one process. Time points from different processes can't be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;

    // Milliseconds since the Unix epoch. Used only for dates that operators set (credit expiry) and in logs: wall-clock
    // time may jump, so no timeout or lease depends on it.
    virtual std::int64_t unixMillis() const = 0;
};

class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    std::int64_t unixMillis() const override;
};

// A clock for tests that changes only through `advance`.
class ManualClock final : public Clock {
public:
    explicit ManualClock(std::int64_t startUnixMillis = 0);

    TimePoint now() const override;
    std::int64_t unixMillis() const override;
    void advance(Duration amount);

private:
    std::int64_t startUnixMillis;
    std::atomic<Duration::rep> elapsedNanos { 0 };
};

inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace lovagecross
