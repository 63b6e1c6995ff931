#include "lovagecross/base/Clock.h"

namespace lovagecross {

TimePoint SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::int64_t SystemClock::unixMillis() const
{
    return toMillis(std::chrono::system_clock::now().time_since_epoch());
}

ManualClock::ManualClock(std::int64_t startUnixMillis)
    : startUnixMillis(startUnixMillis)
{
}

TimePoint ManualClock::now() const
{
    return TimePoint(Duration(this->elapsedNanos.load()));
}

std::int64_t ManualClock::unixMillis() const
{
    return this->startUnixMillis + toMillis(Duration(this->elapsedNanos.load()));
}

void ManualClock::advance(Duration amount)
{
    this->elapsedNanos.fetch_add(amount.count());
}

} // namespace lovagecross
