#pragma once

// The request rates that backend servers accept from all nodes together, as far as this node knows.
//
//     RateLimitTable table;
//     bool changed = table.observe(key, 7.5, sentAt, now);   // an answer of the server named 7.5 requests a second
//     changed = table.learn(key, limitFromAnotherNode);
//     std::optional<double> rate = table.limitOf(key);
//
// A server names its limit in each answer for as long as the limit holds. A limit therefore ends with an answer that
// names none, unless that answer may be older than the last one that named it. Of two nodes' reports, the one observed
// later is kept.
//
// Thread safety: not synchronized.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace lovagecross {

struct RateLimit {
    std::optional<double> perSecond; // requests from all nodes together; nullopt: the server no longer names a limit
    TimePoint observedAt; // when the answer that said so arrived
};

struct ServerRateLimit {
    ServerKey server;
    RateLimit limit;
};

class RateLimitTable {
public:
    // Records an answer that arrived at `now` to a request sent at `sentAt`. Returns whether the rate has changed.
    bool observe(const ServerKey& server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    // Records another node's observation, unless this one's is at least as new. Returns whether the rate has changed.
    bool learn(const ServerKey& server, const RateLimit& limit);

    // Returns nullptr if nothing is known about the server's limit.
    const RateLimit* find(const ServerKey& server) const;

    // Returns the requests per second that the server accepts, or nullopt if it names no limit.
    std::optional<double> limitOf(const ServerKey& server) const;

    // All limits in force, and those that ended recently, so that a reader learns of the end.
    std::vector<ServerRateLimit> list() const;

    // Removes limits that ended more than `endedRetention` ago, or were not confirmed for `unconfirmedRetention`.
    void removeExpired(TimePoint now);

    static constexpr Duration endedRetention = std::chrono::seconds(10);
    static constexpr Duration unconfirmedRetention = std::chrono::seconds(120);
    static constexpr std::size_t maxServers = 10'000; // further servers are ignored

private:
    bool store(const ServerKey& server, const RateLimit& limit);

    std::map<ServerKey, RateLimit> limits;
};

} // namespace lovagecross
