#include "lovagecross/records/TurnCache.h"

#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t entryOverheadBytes = 256; // list node, index entry and ids

std::size_t sizeOf(const CachedTurn& turn)
{
    return turn.text.size() + entryOverheadBytes;
}

} // namespace

TurnCache::TurnCache(std::size_t maxCachedBytes)
    : maxBytes(maxCachedBytes)
{
}

void TurnCache::add(CachedTurn turn)
{
    std::lock_guard lock(this->mutex);
    if (this->byId.count(turn.id) > 0)
        return;
    this->bytes += sizeOf(turn);
    this->recent.push_front(std::move(turn));
    this->byId[this->recent.front().id] = this->recent.begin();
    while (this->bytes > this->maxBytes && !this->recent.empty()) {
        this->bytes -= sizeOf(this->recent.back());
        this->byId.erase(this->recent.back().id);
        this->recent.pop_back();
    }
}

std::optional<CachedTurn> TurnCache::find(const std::string& id)
{
    std::lock_guard lock(this->mutex);
    auto found = this->byId.find(id);
    if (found == this->byId.end())
        return std::nullopt;
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return *found->second;
}

} // namespace lovagecross
