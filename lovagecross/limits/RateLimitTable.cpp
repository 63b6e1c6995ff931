#include "lovagecross/limits/RateLimitTable.h"

namespace lovagecross {

bool RateLimitTable::observe(const ServerKey& server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const RateLimit* known = this->find(server);
    if (!perSecond && (known == nullptr || !known->perSecond))
        return false;
    if (!perSecond && sentAt <= known->observedAt)
        return false;
    return this->store(server, { perSecond, now });
}

bool RateLimitTable::learn(const ServerKey& server, const RateLimit& limit)
{
    const RateLimit* known = this->find(server);
    if (known == nullptr ? !limit.perSecond : limit.observedAt <= known->observedAt)
        return false;
    return this->store(server, limit);
}

const RateLimit* RateLimitTable::find(const ServerKey& server) const
{
    auto found = this->limits.find(server);
    return found == this->limits.end() ? nullptr : &found->second;
}

std::optional<double> RateLimitTable::limitOf(const ServerKey& server) const
{
    const RateLimit* known = this->find(server);
    return known != nullptr ? known->perSecond : std::nullopt;
}

std::vector<ServerRateLimit> RateLimitTable::list() const
{
    std::vector<ServerRateLimit> all;
    all.reserve(this->limits.size());
    for (const auto& [server, limit] : this->limits)
        all.push_back({ server, limit });
    return all;
}

void RateLimitTable::removeExpired(TimePoint now)
{
    std::erase_if(this->limits, [now](const auto& entry) {
        const RateLimit& limit = entry.second;
        return now - limit.observedAt > (limit.perSecond ? unconfirmedRetention : endedRetention);
    });
}

bool RateLimitTable::store(const ServerKey& server, const RateLimit& limit)
{
    if (this->limits.size() >= maxServers && this->limits.count(server) == 0)
        return false;
    RateLimit& stored = this->limits[server];
    bool changed = stored.perSecond != limit.perSecond;
    stored = limit;
    return changed;
}

} // namespace lovagecross
