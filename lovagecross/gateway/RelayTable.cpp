#include "lovagecross/gateway/RelayTable.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

// A node that fails again soon after its pause is left out for longer, so that a node that is cut off from all others
// mostly refuses its calls at once.
constexpr Duration repeatedFailurePause = std::chrono::seconds(5);
constexpr Duration repeatedFailureWindow = std::chrono::seconds(2); // from the end of the pause before

} // namespace

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
    std::erase_if(this->pausedUntil, [now](const auto& entry) { return now - entry.second >= repeatedFailureWindow; });
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
    TimePoint now = this->clock.now();
    auto before = this->pausedUntil.find(address);
    if (before == this->pausedUntil.end() || now - before->second >= repeatedFailureWindow)
        this->pausedUntil[address] = now + failurePause;
    else if (now >= before->second) // else another call has just found out
        before->second = now + repeatedFailurePause;
}

} // namespace lovagecross
