#pragma once

// Values of the last seconds in fixed memory, in buckets of time.
//
//     RecentMinimum running;
//     running.set(3, now);
//     std::uint32_t lowest = running.since(now - std::chrono::seconds(1), now);
//
// Thread safety: not synchronized.

#include "lovagecross/base/Clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace lovagecross {

namespace detail {

inline constexpr Duration valueBucket = std::chrono::milliseconds(100);
inline constexpr std::int64_t valueBuckets = 32;

inline std::int64_t bucketOf(TimePoint time)
{
    return time.time_since_epoch() / valueBucket;
}

} // namespace detail

// The extreme value that a gauge had since a time: the one that is `Before` all others. The last 3.1 s are kept; an
// earlier time counts as their start.
template <typename Before> class RecentExtreme {
public:
    void set(std::uint32_t newValue, TimePoint now)
    {
        this->fillUpTo(detail::bucketOf(now));
        this->value = newValue;
        std::uint32_t& extreme = this->extremeOf(this->last);
        extreme = this->first(extreme, newValue);
    }

    std::uint32_t current() const { return this->value; }

    std::uint32_t since(TimePoint time, TimePoint now)
    {
        this->fillUpTo(detail::bucketOf(now));
        std::uint32_t extreme = this->value;
        for (std::int64_t bucket
             = std::max<std::int64_t>({ 0, detail::bucketOf(time), this->last - detail::valueBuckets + 1 });
             bucket <= this->last; ++bucket)
            extreme = this->first(extreme, this->extremeOf(bucket));
        return extreme;
    }

private:
    static std::uint32_t first(std::uint32_t left, std::uint32_t right) { return Before()(left, right) ? left : right; }

    std::uint32_t& extremeOf(std::int64_t bucket)
    {
        return this->extremes[static_cast<std::size_t>(bucket % detail::valueBuckets)];
    }

    // The gauge had its present value in all buckets since the last change.
    void fillUpTo(std::int64_t bucket)
    {
        for (std::int64_t next = std::max(this->last + 1, bucket - detail::valueBuckets + 1); next <= bucket; ++next)
            this->extremeOf(next) = this->value;
        this->last = std::max(this->last, bucket);
    }

    std::uint32_t value = 0;
    std::int64_t last = -1;
    std::array<std::uint32_t, static_cast<std::size_t>(detail::valueBuckets)> extremes {};
};

using RecentMinimum = RecentExtreme<std::less<>>;
using RecentMaximum = RecentExtreme<std::greater<>>;

// Number of events in the last second, to the precision of a bucket.
class RecentCount {
public:
    void add(TimePoint now)
    {
        this->clearUpTo(detail::bucketOf(now));
        ++this->countOf(this->last);
    }

    std::uint32_t inLastSecond(TimePoint now)
    {
        this->clearUpTo(detail::bucketOf(now));
        std::uint32_t sum = 0;
        for (std::int64_t bucket = std::max<std::int64_t>(0, this->last - secondBuckets + 1); bucket <= this->last;
             ++bucket)
            sum += this->countOf(bucket);
        return sum;
    }

private:
    static constexpr std::int64_t secondBuckets = 10;

    std::uint32_t& countOf(std::int64_t bucket)
    {
        return this->counts[static_cast<std::size_t>(bucket % secondBuckets)];
    }

    void clearUpTo(std::int64_t bucket)
    {
        for (std::int64_t next = std::max(this->last + 1, bucket - secondBuckets + 1); next <= bucket; ++next)
            this->countOf(next) = 0;
        this->last = std::max(this->last, bucket);
    }

    std::int64_t last = -1;
    std::array<std::uint32_t, static_cast<std::size_t>(secondBuckets)> counts {};
};

} // namespace lovagecross
