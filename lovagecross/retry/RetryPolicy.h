#pragma once

// Decides when a failed call may be retried, when a backend server gets requests again after failures, and which
// requests must not be sent because they crash backend servers.
//
// Thread safety: not thread-safe; the caller must serialize access to each object.

#include "lovagecross/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

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

// Detects requests that crash the backend servers that run them. Requests are identified by their content digest.
//
// Connections lost to one server within `sameCrashWindow` count as one crash, and all digests lost in it are suspects.
// A digest with at least two losses is quarantined for `quarantineTime` if its last crash identifies it: it was the
// only digest lost in it, or the only one that had been lost before. If the last crash involved several digests with
// earlier losses, each of them is quarantined for `ambiguousHoldTime`, doubled with each further loss and staggered by
// digest, so that they are retried one at a time. The one that causes the crashes is then lost alone, and the others
// succeed and are cleared.
class CrashQuarantine {
public:
    // Records that a connection was lost after bytes of a request were sent. Another loss of the same digest on the
    // same server within `sameRequestWindow` is ignored, because it means that two callers sent the same content.
    void connectionLost(const std::string& digest, const std::string& backendServer, TimePoint now);

    // Clears a digest whose request completed.
    void succeeded(const std::string& digest);

    bool quarantined(const std::string& digest, TimePoint now) const;

    std::size_t size() const { return this->losses.size(); }

    static constexpr std::size_t maxDigests = 10000;
    static constexpr Duration quarantineTime = std::chrono::hours(1);
    static constexpr Duration sameCrashWindow = std::chrono::seconds(1);
    static constexpr Duration sameRequestWindow = std::chrono::milliseconds(10);
    static constexpr Duration ambiguousHoldTime = std::chrono::seconds(10);

private:
    struct Crash {
        TimePoint start;
        std::uint32_t digests = 0; // digests lost in this crash
        std::uint32_t repeatedDigests = 0; // those of them that had also been lost in an earlier crash
    };

    struct Losses {
        std::uint32_t count = 0;
        TimePoint last;
        std::string lastServer;
        std::shared_ptr<Crash> lastCrash;
    };

    std::shared_ptr<Crash> crashOf(const std::string& backendServer, const Losses& entry, TimePoint now);
    void evictOldEntries(TimePoint now);

    std::unordered_map<std::string, Losses> losses; // by digest
    std::unordered_map<std::string, std::shared_ptr<Crash>> lastCrashes; // by backend server
};

} // namespace lovagecross
