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
    TimePoint now = this->clock.now();
    std::erase_if(this->pausedUntil, [now](const auto& entry) { return now >= entry.second; });
}

std::vector<RelayNode> RelayTable::choose(std::size_t most)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::uint64_t seed = ++this->random;
    std::vector<RelayNode> usable;
    for (const RelayNode& node : this->nodes) {
        auto paused = this->pausedUntil.find(node.address);
        if (paused == this->pausedUntil.end() || now >= paused->second)
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
    this->pausedUntil[address] = this->clock.now() + failurePause;
}

} // namespace lovagecross
