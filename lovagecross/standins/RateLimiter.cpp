#include "lovagecross/standins/RateLimiter.h"

#include <algorithm>

namespace lovagecross::standins {

namespace {

double burst(std::int64_t perSecond)
{
    return std::max(1.0, static_cast<double>(perSecond) / 4);
}

} // namespace

void RateLimiter::setLimit(std::int64_t perSecond, TimePoint now)
{
    if (this->perSecond == perSecond)
        return;
    this->perSecond = perSecond;
    this->available = burst(perSecond);
    this->updated = now;
}

std::optional<Duration> RateLimiter::take(TimePoint now)
{
    if (this->perSecond <= 0)
        return std::nullopt;
    const auto rate = static_cast<double>(this->perSecond);
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    this->available = std::min(burst(this->perSecond), this->available + elapsed * rate);
    this->updated = now;
    if (this->available >= 1) {
        this->available -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - this->available) / rate));
}

} // namespace lovagecross::standins
