#pragma once

// What the engine stand-in publishes late: load reports with a lag, and cache events with a lag and gaps.
//
// Thread safety: none; the owner locks.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/standins/PrefixCache.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace lovagecross::standins {

class LaggingLoad {
public:
    void record(const EngineLoad& load, TimePoint now);

    // The newest load recorded at least `lag` before `now`, with its age.
    EngineLoad report(TimePoint now, Duration lag) const;

private:
    struct Sample {
        TimePoint time;
        EngineLoad load;
    };

    std::deque<Sample> samples; // oldest first
};

class CacheEventLog {
public:
    // Loses each event with a probability of `lossPercent`; a lost event uses up its sequence number. The generator has
    // a fixed seed, so that the same run loses the same events.
    void record(const std::vector<CacheChange>& changes, TimePoint now, std::int64_t lossPercent);

    // Events with a sequence above `after`, recorded at least `lag` before `now`; at most `maxEventsInAnswer`.
    std::vector<CacheEvent> events(std::uint64_t after, TimePoint now, Duration lag) const;

    void clear();

    static constexpr std::size_t maxEvents = 20000; // older ones are forgotten, which gives a gap
    static constexpr std::size_t maxEventsInAnswer = 1000;

private:
    struct Entry {
        TimePoint time;
        CacheEvent event;
    };

    std::deque<Entry> entries; // in order of sequence
    std::uint64_t lastSequence = 0;
    std::mt19937 random { 1 };
};

} // namespace lovagecross::standins
