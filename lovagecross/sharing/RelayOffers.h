#pragma once

// The entry nodes that offer to run calls of others, as a record node hears from them with each fetch of the directory.
//
//     RelayOffers offers(clock);
//     offers.record(fetch);                       // of an entry node
//     RelayList list = offers.list(ownAddress);   // for an entry node that needs them
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lovagecross {

class RelayOffers {
public:
    explicit RelayOffers(const Clock& givenClock);

    // Takes over the offer of a node, or its withdrawal.
    void record(const DirectoryFetch& fetch);

    // Returns up to maxListed random offers that are recent, without the one of the node that asks.
    RelayList list(const std::string& askingAddress);

    static constexpr Duration offerLifetime = std::chrono::seconds(2);
    static constexpr std::size_t maxListed = 16;
    static constexpr std::size_t maxOffers = 10'000; // further ones are ignored

private:
    struct Offer {
        std::string dataCentre;
        TimePoint heardAt;
    };

    const Clock& clock;
    std::mutex mutex;
    std::map<std::string, Offer> offers; // by address
    std::uint64_t random = 0;
};

} // namespace lovagecross
