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

TurnCache::TurnCache(const Clock& clock, std::size_t maxCachedBytes)
    : clock(clock)
    , maxBytes(maxCachedBytes)
{
}

void TurnCache::add(CachedTurn turn)
{
    std::lock_guard lock(this->mutex);
    if (this->byId.count(turn.id) > 0)
        return;
    TimePoint now = this->clock.now();
    this->bytes += sizeOf(turn);
    this->recent.push_front({ std::move(turn), now });
    this->byId[this->recent.front().turn.id] = this->recent.begin();
    while (!this->recent.empty() && (this->bytes > this->maxBytes || now - this->recent.back().usedAt > unusedLifetime))
        this->dropOldest();
}

std::optional<CachedTurn> TurnCache::find(const std::string& id)
{
    std::lock_guard lock(this->mutex);
    auto found = this->byId.find(id);
    if (found == this->byId.end())
        return std::nullopt;
    found->second->usedAt = this->clock.now();
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return found->second->turn;
}

std::size_t TurnCache::size() const
{
    std::lock_guard lock(this->mutex);
    return this->bytes;
}

void TurnCache::dropOldest()
{
    const CachedTurn& oldest = this->recent.back().turn;
    this->bytes -= sizeOf(oldest);
    this->byId.erase(oldest.id);
    this->recent.pop_back();
}

} // namespace lovagecross
