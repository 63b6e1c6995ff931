#pragma once

// Decides when a failed call may be retried, and when a backend server gets requests again after failures.
//
// Thread safety: not thread-safe; the caller must serialize access to each object.

#include "lovagecross/base/Clock.h"

#include <cstdint>
#include <deque>

namespace lovagecross {

struct RetrySettings {
    double budgetRatio = 0.1; // allowed retries per first attempt within the window
    std::uint32_t minRetriesPerWindow = 3; // always allowed, so that a node with little traffic can retry
    Duration window = std::chrono::seconds(10);
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration maxBackoff = std::chrono::seconds(2);
    std::uint32_t maxAttempts = 4;
};

// Limits a node's retries to a share of its calls, so that retries don't multiply the load during an outage.
class RetryBudget {
public:
    explicit RetryBudget(RetrySettings settings);

    void firstAttempt(TimePoint now);

    // Takes one retry from the budget. Returns false if the budget is exhausted.
    bool tryRetry(TimePoint now);

private:
    void expire(TimePoint now);

    RetrySettings settings;
    std::deque<TimePoint> attempts;
    std::deque<TimePoint> retries;
};

// Exponential backoff with full jitter before retry number `attempt`, counted from 1: uniformly distributed between 0
// and a limit that starts at `firstBackoff` and doubles with each attempt up to `maxBackoff`. `random` is a random
// number. The caller must not retry if the delay would end after the call's deadline.
Duration backoff(const RetrySettings& settings, std::uint32_t attempt, std::uint64_t random);

struct BreakerSettings {
    std::uint32_t failuresToOpen = 3; // consecutive failures
    Duration openTime = std::chrono::seconds(2); // doubled after each failed probe, up to maxOpenTime
    Duration maxOpenTime = std::chrono::seconds(30);
    Duration rampTime = std::chrono::seconds(5); // time from allowing one concurrent request to allowing all slots
};

// Circuit breaker for one backend server. It opens after consecutive failures, admits single probes once the open time
// has passed (half-open), and after a successful probe ramps the allowed concurrency up gradually.
class CircuitBreaker {
public:
    explicit CircuitBreaker(BreakerSettings settings);

    // Whether another request may be sent when this node already has `inFlight` requests at the server with `slots`
    // slots. Once the open time has passed, one request at a time is allowed as a probe. If it succeeds, the ramp
    // starts; a failure of a probe or during the ramp opens the breaker again for twice as long.
    bool allows(TimePoint now, std::uint32_t inFlight, std::uint32_t slots) const;

    // The number of the server's `slots` that may be in use now.
    std::uint32_t usableSlots(TimePoint now, std::uint32_t slots) const;

    void succeeded(TimePoint now);
    void failed(TimePoint now);

    // The server responded to something other than a request, such as a load report query, after the last failure. This
    // allows a probe immediately instead of after the open time. Only the first such response of an outage has this
    // effect, so that a server that responds but fails every request is still probed less and less often.
    void serverResponded(TimePoint now);

    // Whether the open time has not passed yet and no request may be sent.
    bool open(TimePoint now) const;

private:
    void openFor(Duration time, TimePoint now);

    BreakerSettings settings;
    std::uint32_t consecutiveFailures = 0;
    TimePoint openUntil;
    TimePoint rampStart;
    Duration currentOpenTime { 0 };
    bool openOrHalfOpen = false;
    bool ramping = false;
    bool earlyProbeUsed = false; // whether `serverResponded` has already allowed an early probe in this outage
};

} // namespace lovagecross
