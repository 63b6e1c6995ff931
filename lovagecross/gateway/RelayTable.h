#pragma once

// The other entry nodes through which this one can send calls while it reaches no backend server itself.
//
//     RelayTable relays(clock);
//     relays.replace(nodes);                            // as the record nodes know them
//     for (const RelayNode& node : relays.choose(3))    // in random order
//         ... on failure: relays.failed(node.address) ...
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

class RelayTable {
public:
    explicit RelayTable(const Clock& givenClock);

    // Replaces the nodes. An empty list is ignored: the nodes known so far may still serve.
    void replace(std::vector<RelayNode> known);

    // Returns up to `most` nodes that have not failed a short time ago, in random order.
    std::vector<RelayNode> choose(std::size_t most);

    bool empty() const;

    // The node could not be reached, or takes no relayed calls now.
    void failed(const std::string& address);

    static constexpr Duration failurePause = std::chrono::milliseconds(700);

private:
    const Clock& clock;
    mutable std::mutex mutex;
    std::vector<RelayNode> nodes;
    std::map<std::string, TimePoint> pausedUntil; // by address
    std::uint64_t random;
};

} // namespace lovagecross
