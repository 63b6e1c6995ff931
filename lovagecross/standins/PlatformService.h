#pragma once

// The platform's object API over HTTP (docs/backend-protocols.md), with faults.
//
// Thread safety: requests are served on many threads; the object table is behind one lock.

#include "lovagecross/base/Clock.h"
#include "lovagecross/standins/FaultTable.h"
#include "lovagecross/standins/HttpService.h"
#include "lovagecross/standins/ObjectTable.h"
#include "lovagecross/standins/RateLimiter.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace lovagecross::standins {

struct PlatformFaults {
    bool down = false; // 503
    bool blackhole = false; // accepts, never answers
    std::int64_t delayMs = 0;
    std::int64_t loseAnswersAfterWrite = 0; // so many writes take effect and get no answer
    std::int64_t failBeforeWrite = 0; // so many writes get 503 and do nothing
    // Limits of the platform, counted per call; 0 means no limit. The platform is specified with several hundred writes
    // and about 2,000 reads a second.
    std::int64_t writesPerSecond = 400;
    std::int64_t readsPerSecond = 2000;
    std::string onlyPrefix; // the faults apply to keys with this prefix
};

struct PlatformOptions {
    PlatformFaults faults; // in force at the start and after a reset
    std::int64_t vmLagMs = 5000; // age of the VM list that is served
};

class PlatformService final : public HttpService {
public:
    PlatformService(const Clock& clock, PlatformOptions options);

protected:
    void serve(Exchange& exchange) override;
    bool serveControl(Exchange& exchange) override;
    std::string applyFaults(const std::string& json) override;
    void resetState() override;
    void addStats(Poco::JSON::Object& stats) override;
    std::size_t maxBodyBytes() const override { return maxObjectBytes; }

private:
    // Requests that wait for a change of one key.
    struct Waiters {
        std::condition_variable changed;
        std::size_t count = 0;
    };

    struct VmList {
        TimePoint setAt;
        std::string json;
    };

    // False when a fault or a limit has ended the request.
    bool passesFaults(Exchange& exchange, const std::string& key, bool write);
    bool passesLimit(Exchange& exchange, bool write);
    bool faultsApply(const PlatformFaults& faults, const std::string& key) const;
    void serveObject(Exchange& exchange, const std::string& key);
    void serveGet(Exchange& exchange, const std::string& key);
    void serveWrite(Exchange& exchange, const std::string& key);
    void serveList(Exchange& exchange);
    void serveWatch(Exchange& exchange, const std::string& key);
    void serveVms(Exchange& exchange);
    StoreResult write(Exchange& exchange, const std::string& key);
    void wakeAllWaiters();

    const Clock& clock;
    const PlatformOptions options;
    FaultTable<PlatformFaults> faults;
    std::mutex mutex; // guards everything below
    ObjectTable table;
    std::map<std::string, Waiters> waiters;
    RateLimiter writeLimiter;
    RateLimiter readLimiter;
    std::deque<VmList> vmLists; // oldest first
};

} // namespace lovagecross::standins
