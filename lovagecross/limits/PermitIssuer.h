#pragma once

// Issues permits for requests to backend servers that name a rate limit, on a record node.
//
//     PermitIssuer issuer(clock, peers, placement, counters);
//     PermitAnswer answer = issuer.handle(request);      // from an entry node that wants to send one request
//     issuer.handle(report);                             // a limit began, changed or ended
//     std::vector<RateLimitNotice> all = issuer.limits();
//
// The limit of a server is divided into equal slices, one for each replica of the server's name in the roster. Each
// replica grants its slice by itself, so that the sum over all entry nodes stays within the limit without any
// agreement, whichever nodes can't hear each other. While replicas are away, their slices are not used. Two nodes that
// know different rosters may count on different replicas: one exchanged member adds at most one slice for that time.
//
// Nothing is stored on disk: a restarted issuer starts with empty slices, and entry nodes tell it the limits again.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/limits/PermitSlice.h"
#include "lovagecross/limits/RateLimitLog.h"
#include "lovagecross/limits/RateLimitTable.h"
#include "lovagecross/ports/Peer.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

// Where the slices of servers lie, as far as this node knows.
struct SlicePlacement {
    // Returns the number of nodes that issue permits for the server, or 0 if this node is not one of them.
    std::function<std::size_t(const std::string& serverId)> slices;
    // Returns the addresses of the other record nodes.
    std::function<std::vector<std::string>()> otherNodes;
};

class PermitIssuer {
public:
    PermitIssuer(const Clock& givenClock, PeerClient& peerClient, SlicePlacement slicePlacement, Counters& counters);

    PermitAnswer handle(const PermitRequest& request);

    // Passes on what is new to the other record nodes, from which the entry nodes learn it with the server list.
    void handle(const LimitReport& report);

    // All limits in force, and those that ended recently.
    std::vector<RateLimitNotice> limits();

    // A server is asked this often even if it accepts less, since only its answers tell when the limit ends.
    static constexpr double minRequestsPerSecond = 0.2;

private:
    PermitAnswer decide(const PermitRequest& request, std::size_t slices, TimePoint now);
    void learn(const std::vector<RateLimitNotice>& notices, LimitSource source);
    bool store(const ServerRateLimit& observed, LimitSource source, TimePoint now);

    const Clock& clock;
    PeerClient& peers;
    const SlicePlacement placement;
    Counter& granted;
    Counter& denied;
    std::mutex mutex;
    RateLimitTable table;
    std::map<ServerKey, PermitSlice> sliceByServer;
};

} // namespace lovagecross
