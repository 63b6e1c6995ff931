#include "lovagecross/adapters/Counters.h"

#include <algorithm>

namespace lovagecross {

namespace {

template <typename Value>
Value& findOrAdd(std::map<std::string, std::unique_ptr<Value>, std::less<>>& values, std::string_view name,
    std::size_t limit, Value& overflow)
{
    auto found = values.find(name);
    if (found != values.end())
        return *found->second;
    if (values.size() >= limit)
        return overflow;
    return *values.emplace(std::string(name), std::make_unique<Value>()).first->second;
}

} // namespace

void LatencyHistogram::record(Duration latency)
{
    auto micros = static_cast<std::uint64_t>(
        std::max<Duration::rep>(0, std::chrono::duration_cast<std::chrono::microseconds>(latency).count()));
    auto bound = std::lower_bound(latencyBucketMicros.begin(), latencyBucketMicros.end(), micros);
    this->buckets[static_cast<std::size_t>(bound - latencyBucketMicros.begin())].add();
    this->sumMicros.add(micros);
}

void LatencyHistogram::addTo(std::map<std::string, std::uint64_t>& snapshot, const std::string& name) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < latencyBucketMicros.size(); ++i) {
        total += this->buckets[i].value();
        snapshot[name + ".leMicros." + std::to_string(latencyBucketMicros[i])] = total;
    }
    snapshot[name + ".count"] = total + this->buckets.back().value();
    snapshot[name + ".sumMicros"] = this->sumMicros.value();
}

Counter& Counters::counter(std::string_view name)
{
    std::lock_guard lock(this->mutex);
    return findOrAdd(this->counters, name, maxNames, this->overflowCounter);
}

LatencyHistogram& Counters::histogram(std::string_view name)
{
    std::lock_guard lock(this->mutex);
    return findOrAdd(this->histograms, name, maxNames, this->overflowHistogram);
}

std::map<std::string, std::uint64_t> Counters::snapshot() const
{
    std::lock_guard lock(this->mutex);
    std::map<std::string, std::uint64_t> values;
    for (const auto& [name, counter] : this->counters)
        values[name] = counter->value();
    for (const auto& [name, histogram] : this->histograms)
        histogram->addTo(values, name);
    if (this->overflowCounter.value() > 0)
        values["counters.overflow"] = this->overflowCounter.value();
    return values;
}

} // namespace lovagecross
