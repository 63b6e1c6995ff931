#include "lovagecross/sharing/RelayOffers.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>

namespace lovagecross {

RelayOffers::RelayOffers(const Clock& givenClock)
    : clock(givenClock)
{
}

void RelayOffers::record(const DirectoryFetch& fetch)
{
    if (fetch.relayAddress.empty())
        return;
    std::lock_guard lock(this->mutex);
    if (!fetch.relays) {
        this->offers.erase(fetch.relayAddress);
        return;
    }
    if (this->offers.size() < maxOffers || this->offers.count(fetch.relayAddress) > 0)
        this->offers[fetch.relayAddress] = { fetch.relayDataCentre, this->clock.now() };
}

RelayList RelayOffers::list(const std::string& askingAddress)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::erase_if(this->offers, [now](const auto& entry) { return now - entry.second.heardAt > offerLifetime; });
    RelayList list;
    for (const auto& [address, offer] : this->offers) {
        if (address != askingAddress)
            list.nodes.push_back({ address, offer.dataCentre });
    }
    std::uint64_t seed = ++this->random;
    std::sort(list.nodes.begin(), list.nodes.end(), [seed](const RelayNode& left, const RelayNode& right) {
        return stableHash(left.address, seed) < stableHash(right.address, seed);
    });
    list.nodes.resize(std::min(list.nodes.size(), maxListed));
    return list;
}

} // namespace lovagecross
