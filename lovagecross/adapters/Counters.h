#pragma once

// Named counters and latency histograms of one process, reported at `/admin/counters`.
//
//     Counters counters;
//     Counter& refused = counters.counter("admission.refused"); // look up once and keep
//     refused.add();                                            // lock-free
//     for (const auto& [name, value] : counters.snapshot()) ...
//
// Thread safety: every member may be called from any thread. Returned references are valid
// for the lifetime of the `Counters` object.

#include "lovagecross/base/Clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace lovagecross {

class Counter {
public:
    void add(std::uint64_t amount = 1) { this->count.fetch_add(amount, std::memory_order_relaxed); }

    // For gauges, such as the length of a queue.
    void set(std::uint64_t newValue) { this->count.store(newValue, std::memory_order_relaxed); }
    void subtract(std::uint64_t amount = 1) { this->count.fetch_sub(amount, std::memory_order_relaxed); }

    std::uint64_t value() const { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count { 0 };
};

// Upper bounds of the histogram buckets in microseconds. Longer latencies are counted in one additional bucket.
inline constexpr std::array<std::uint64_t, 17> latencyBucketMicros { 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 25'000,
    50'000, 100'000, 250'000, 500'000, 1'000'000, 2'500'000, 5'000'000, 10'000'000, 30'000'000 };

class LatencyHistogram {
public:
    // A negative duration is recorded as 0.
    void record(Duration latency);

    // Adds `<name>.count`, `<name>.sumMicros` and, for each bucket, `<name>.leMicros.<bound>`: the number of recorded
    // latencies that are at most the bound.
    void addTo(std::map<std::string, std::uint64_t>& snapshot, const std::string& name) const;

private:
    std::array<Counter, latencyBucketMicros.size() + 1> buckets;
    Counter sumMicros;
};

class Counters {
public:
    // Beyond this limit all new counter names share `counters.overflow`, so that names built from input can't exhaust
    // memory. New histogram names share one histogram.
    static constexpr std::size_t maxNames = 4096;

    Counter& counter(std::string_view name);
    LatencyHistogram& histogram(std::string_view name);

    // Returns all counters and histograms by name. Not atomic: values that change meanwhile may be read at slightly
    // different times.
    std::map<std::string, std::uint64_t> snapshot() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>> histograms;
    Counter overflowCounter;
    LatencyHistogram overflowHistogram;
};

} // namespace lovagecross
