#include "lovagecross/retry/RetryPolicy.h"

#include <algorithm>

namespace lovagecross {

RetryBudget::RetryBudget(RetrySettings retrySettings)
    : settings(retrySettings)
{
}

void RetryBudget::expire(TimePoint now)
{
    TimePoint oldest = now - this->settings.window;
    while (!this->attempts.empty() && this->attempts.front() <= oldest)
        this->attempts.pop_front();
    while (!this->retries.empty() && this->retries.front() <= oldest)
        this->retries.pop_front();
}

void RetryBudget::firstAttempt(TimePoint now)
{
    this->expire(now);
    this->attempts.push_back(now);
}

bool RetryBudget::tryRetry(TimePoint now)
{
    this->expire(now);
    double share = this->settings.budgetRatio * static_cast<double>(this->attempts.size());
    double allowed = std::max(share, static_cast<double>(this->settings.minRetriesPerWindow));
    if (static_cast<double>(this->retries.size()) + 1 > allowed)
        return false;
    this->retries.push_back(now);
    return true;
}

Duration backoff(const RetrySettings& settings, std::uint32_t attempt, std::uint64_t random)
{
    Duration maxDelay = settings.firstBackoff;
    for (std::uint32_t i = 1; i < attempt && maxDelay < settings.maxBackoff; ++i)
        maxDelay *= 2;
    maxDelay = std::min(maxDelay, settings.maxBackoff);
    if (maxDelay <= Duration(0))
        return Duration(0);
    return Duration(static_cast<Duration::rep>(random % (static_cast<std::uint64_t>(maxDelay.count()) + 1)));
}

CircuitBreaker::CircuitBreaker(BreakerSettings breakerSettings)
    : settings(breakerSettings)
{
}

bool CircuitBreaker::open(TimePoint now) const
{
    return this->openOrHalfOpen && now < this->openUntil;
}

bool CircuitBreaker::allows(TimePoint now, std::uint32_t inFlight, std::uint32_t slots) const
{
    bool limited = this->openOrHalfOpen || (this->ramping && now - this->rampStart < this->settings.rampTime);
    return !limited || inFlight < this->usableSlots(now, slots);
}

std::uint32_t CircuitBreaker::usableSlots(TimePoint now, std::uint32_t slots) const
{
    if (this->openOrHalfOpen)
        return now >= this->openUntil ? 1 : 0;
    Duration elapsed = now - this->rampStart;
    if (!this->ramping || elapsed >= this->settings.rampTime)
        return slots;
    double share = static_cast<double>(elapsed.count()) / static_cast<double>(this->settings.rampTime.count());
    return 1 + static_cast<std::uint32_t>(share * (std::max(slots, 1U) - 1));
}

void CircuitBreaker::succeeded(TimePoint now)
{
    if (this->open(now))
        return; // belongs to a request sent before the failures, so it doesn't show that the server has recovered
    this->consecutiveFailures = 0;
    if (this->openOrHalfOpen) {
        this->openOrHalfOpen = false;
        this->ramping = true;
        this->earlyProbeUsed = false;
        this->rampStart = now;
        return;
    }
    if (this->ramping && now - this->rampStart >= this->settings.rampTime) {
        this->ramping = false;
        this->currentOpenTime = Duration(0);
    }
}

void CircuitBreaker::failed(TimePoint now)
{
    if (this->open(now))
        return;
    bool inRamp = this->ramping && now - this->rampStart < this->settings.rampTime;
    if (this->openOrHalfOpen || inRamp) {
        this->openFor(std::min(this->currentOpenTime * 2, this->settings.maxOpenTime), now);
        return;
    }
    this->ramping = false;
    if (++this->consecutiveFailures >= this->settings.failuresToOpen)
        this->openFor(this->settings.openTime, now);
}

void CircuitBreaker::serverResponded(TimePoint now)
{
    if (!this->openOrHalfOpen || this->earlyProbeUsed)
        return;
    this->earlyProbeUsed = true;
    this->openUntil = std::min(this->openUntil, now);
}

void CircuitBreaker::openFor(Duration time, TimePoint now)
{
    this->openOrHalfOpen = true;
    this->ramping = false;
    this->consecutiveFailures = 0;
    this->currentOpenTime = time;
    this->openUntil = now + time;
}

} // namespace lovagecross
