#pragma once

// Sends the load of the entry nodes that report to this record node to the other record nodes, several times a second.
//
//     LoadExchange exchange(peers, loads, otherNodes);
//     Duration pause = exchange.step();
//
// Only record nodes to which entry nodes report send anything: usually one in each data centre. A lost message is
// replaced by the next one.
//
// Thread safety: `step` is called on one thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/spill/LoadTable.h"

#include <functional>
#include <string>
#include <vector>

namespace lovagecross {

class LoadExchange {
public:
    // `others` returns the addresses of the other record nodes.
    LoadExchange(PeerClient& peerClient, const LoadTable& ownLoads, std::function<std::vector<std::string>()> others);

    // Returns the delay until the next step.
    Duration step();

    static constexpr Duration stepInterval = std::chrono::milliseconds(250);

private:
    PeerClient& peers;
    const LoadTable& loads;
    const std::function<std::vector<std::string>()> otherNodes;
};

} // namespace lovagecross
