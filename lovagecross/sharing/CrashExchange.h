#pragma once

// Spreads notices about calls and the ends of servers between record nodes, from which entry nodes get them with the
// server list.
//
//     CrashExchange exchange(peers, ledger, directory, otherNodes);
//     exchange.handle(report);                // from an entry node or a record node
//     Duration pause = exchange.step();       // asks one of the others for what this node has missed
//
// A report is passed on at once to all others, once. What is lost on the way, or was told before this process started,
// comes with one of the next steps.
//
// Thread safety: `handle` may be called from any thread; `step` is called on one thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagecross {

class CrashExchange {
public:
    // `others` returns the addresses of the other record nodes.
    CrashExchange(PeerClient& peerClient, CrashLedger& ownLedger, const Directory& ownDirectory,
        std::function<std::vector<std::string>()> others);

    // Returns whether anything was news.
    bool handle(const CrashReport& report);

    // Returns the delay until the next step.
    Duration step();

    static constexpr Duration stepInterval = std::chrono::seconds(1);
    static constexpr Duration fetchTimeout = std::chrono::milliseconds(300);

private:
    PeerClient& peers;
    CrashLedger& ledger;
    const Directory& directory;
    const std::function<std::vector<std::string>()> otherNodes;
    std::size_t steps = 0;
    std::map<std::string, CrashCursor> cursors; // by address
};

} // namespace lovagecross
