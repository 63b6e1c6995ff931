#include "lovagecross/gateway/RelayTable.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

RelayTable::RelayTable(const Clock& givenClock)
    : clock(givenClock)
    , random(static_cast<std::uint64_t>(givenClock.now().time_since_epoch().count()))
{
}

void RelayTable::replace(std::vector<RelayNode> known)
{
    if (known.empty())
        return;
    std::lock_guard lock(this->mutex);
    this->nodes = std::move(known);
    std::erase_if(this->failures, [this](const auto& entry) {
        return std::none_of(this->nodes.begin(), this->nodes.end(),
            [&entry](const RelayNode& node) { return node.address == entry.first; });
    });
}

std::vector<RelayNode> RelayTable::choose(std::size_t most)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::uint64_t seed = ++this->random;
    std::vector<RelayNode> usable;
    for (const RelayNode& node : this->nodes) {
        auto failure = this->failures.find(node.address);
        if (failure == this->failures.end() || now >= failure->second.until)
            usable.push_back(node);
    }
    std::sort(usable.begin(), usable.end(), [seed](const RelayNode& left, const RelayNode& right) {
        return stableHash(left.address, seed) < stableHash(right.address, seed);
    });
    usable.resize(std::min(usable.size(), most));
    return usable;
}

bool RelayTable::empty() const
{
    std::lock_guard lock(this->mutex);
    return this->nodes.empty();
}

void RelayTable::failed(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    Failure& failure = this->failures[address];
    if (now < failure.until) // several calls tried it at the same time
        return;
    failure.pause = std::clamp<Duration>(failure.pause * 2, failurePause, maxFailurePause);
    failure.until = now + failure.pause;
}

void RelayTable::succeeded(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    this->failures.erase(address);
}

} // namespace lovagecross
