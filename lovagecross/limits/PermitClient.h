#pragma once

// Obtains permits for requests to backend servers that name a rate limit, on an entry node.
//
//     PermitClient permits(clock, peers, issuersOf, counters);
//     Permit permit = permits.acquire(server, deadline);
//     if (permit.granted)
//         ... send one request ...
//     permits.observe(server, namedLimit, sentAt);   // for each answer
//
// The issuers of a server (`PermitIssuer`) are asked in order, the near ones first. A node that reaches none of them
// sends nothing to the server: it can't know what the other nodes send. Only if neither an issuer nor the server has
// confirmed the limit for `staleAfter`, a single request is sent now and then to learn whether the limit still holds.
//
// Until a node hears of a limit, it sends to the server as to any other. It hears with the server list from the record
// nodes, also right after its start, and with the server's own answers.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/gateway/Permits.h"
#include "lovagecross/limits/RateLimitLog.h"
#include "lovagecross/limits/RateLimitTable.h"
#include "lovagecross/ports/Peer.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

// Returns the addresses of the nodes that issue permits for a server, in the order in which to ask them.
using IssuersOf = std::function<std::vector<std::string>(const std::string& serverId)>;

class PermitClient final : public ServerPermits {
public:
    PermitClient(const Clock& givenClock, PeerClient& peerClient, IssuersOf findIssuers, Counters& counters);

    void observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt) override;
    PermitOutlook outlook(const std::vector<ServerEntry>& servers) override;
    Permit acquire(const ServerEntry& server, TimePoint deadline) override;

    // Takes over what a record node knows.
    void learn(const std::vector<RateLimitNotice>& notices);

    static constexpr Duration issuerTimeout = std::chrono::milliseconds(60);
    static constexpr Duration silentIssuerPause = std::chrono::milliseconds(500);
    static constexpr Duration staleAfter = std::chrono::seconds(15);

private:
    struct ServerState {
        std::map<std::string, TimePoint> deniedUntil; // by issuer; it is not asked again before this time
        TimePoint exhaustedUntil; // all issuers have denied a permit or are silent until then
        TimePoint trialAt; // when the last request was sent without a permit
    };

    // The functions up to `mutex` are called without the lock, the others with it.
    bool startTrial(const ServerKey& server, const RateLimit& limit, TimePoint now);
    std::optional<RateLimit> limitInForce(const ServerKey& server);
    bool ask(const ServerKey& server, const RateLimit& limit, const std::string& issuer, TimePoint deadline);
    TimePoint blockedUntil(const ServerKey& server, const std::string& issuer);
    Permit finishDenied(const ServerKey& server, TimePoint next);
    void store(const ServerRateLimit& known, LimitSource source, TimePoint now);
    void limitChanged(const ServerKey& server, LimitSource source, TimePoint now);

    const Clock& clock;
    PeerClient& peers;
    const IssuersOf issuersOf;
    Counter& granted;
    Counter& denied;
    Counter& unanswered;
    Counter& trials;
    std::mutex mutex;
    RateLimitTable table;
    std::map<ServerKey, ServerState> states; // of servers that name a limit
    std::map<std::string, TimePoint> silentUntil; // by issuer
};

} // namespace lovagecross
