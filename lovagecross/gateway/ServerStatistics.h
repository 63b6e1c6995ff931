#pragma once

// Statistics of each backend server from this node's own calls: running calls, response times and failures. Provides
// the inputs of `chooseServer`.
//
//     auto placed = book.choose(view.serversOf(service), request, prompt, tried);
//     ... send the call ...
//     book.finished(placed->server, AttemptEnd::Answered, taken, prompt);
//
// Statistics are bounded in size and expire: slowness decays towards 1 within seconds without samples, suspensions end
// on their own, and a restarted server starts with empty statistics.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ServerChoice.h"
#include "lovagecross/gateway/ServerEntry.h"
#include "lovagecross/gateway/ServerSubset.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/retry/RetryPolicy.h"
#include "lovagecross/spill/RecentValues.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecross {

enum class AttemptEnd {
    Answered,
    Refused, // the server was full or draining and did not run the call
    Failed, // no connection, no response, or a truncated or malformed response
    Abandoned, // the caller disconnected or this node lacked memory, so the outcome says nothing about the server
    Withheld, // not sent, because the server's rate limit is reached
};

inline constexpr NameTable<AttemptEnd, 5> attemptEndNames { { {
    { AttemptEnd::Answered, "answered" },
    { AttemptEnd::Refused, "refused" },
    { AttemptEnd::Failed, "failed" },
    { AttemptEnd::Abandoned, "abandoned" },
    { AttemptEnd::Withheld, "withheld" },
} } };

struct PlacedCall {
    ServerEntry server;
    ChoiceReason reason = ChoiceReason::Cheapest;
    bool leavesDataCentre = false;
};

class ServerStatistics {
public:
    // `subset` selects the servers for plain calls; nullptr: all. It must outlive this object.
    ServerStatistics(const Clock& clock, std::string ownDataCentre, ChoiceSettings choiceSettings = {},
        ServerSubset* subset = nullptr);

    // Chooses among the ready servers that are not in `tried` and counts a running call on the chosen one. Returns
    // nullopt if there is none. `prompt` lists the prompt parts of the call, which the server may have cached.
    std::optional<PlacedCall> choose(const std::vector<ServerEntry>& servers, const ChoiceRequest& request,
        const std::vector<PromptPart>& prompt, const std::set<std::string>& tried);

    // Records the end of a running call. `taken` is the time until the response head arrived; used for Answered only.
    void finished(const ServerEntry& server, AttemptEnd end, Duration taken, const std::vector<PromptPart>& prompt);

    // Returns the running calls of this node for each service, and the refusals by servers of its own data centre.
    // Calls that wait for a server are not known here: `waiting` is 0.
    std::vector<ServiceLoad> loads(const std::map<std::string, std::vector<ServerEntry>, std::less<>>& servers);

    const std::string& ownDataCentre() const { return this->dataCentre; }

    // Removes statistics of servers that are not in `serverIds` and have no running call.
    void retain(const std::set<std::string>& serverIds);

    // One lost response doesn't open the breaker. A server that is down is detected after two calls and tried again
    // soon.
    static constexpr BreakerSettings serverBreaker { 2, std::chrono::milliseconds(300), std::chrono::seconds(2),
        std::chrono::seconds(1) };

private:
    struct ServerStats {
        std::int64_t startedUnixMillis = 0;
        std::uint32_t running = 0;
        CircuitBreaker breaker { serverBreaker };
        TimePoint fullUntil;
        double meanMillis = 0;
        TimePoint sampledAt;
        TimePoint endedAt; // of the last answered call
        std::unordered_map<std::uint64_t, TimePoint>
            cachedParts; // when it was last sent, by hash of a prompt part's id
    };

    // Aggregated over all servers of a service.
    struct ServiceStats {
        double meanMillis = 0;
        // Of the servers of the own data centre. By Little's law, the mean time of a call is the time that all calls
        // together ran, divided by the number of calls that ended.
        std::uint32_t running = 0; // calls
        TimePoint changedAt; // when `running` last changed
        double ranMillis = 0; // sum over all calls, since the last one ended
        double callMillis = 0; // moving average of `ranMillis` at each end
        RecentCount refusals;
    };

    struct Candidates {
        std::vector<const ServerEntry*> servers;
        bool areSubset = false;
    };

    Candidates candidates(const std::vector<ServerEntry>& servers, const ChoiceRequest& request,
        const std::set<std::string>& tried, TimePoint now);
    // Counts the begin or the end of a call at a server of the own data centre.
    void countRunning(const ServerEntry& server, bool begins, TimePoint now);
    ServerStats& statsOf(const ServerEntry& server);
    ServerLoad loadOf(const ServerEntry& server, ServerStats& stats, const ServiceStats& service,
        const std::vector<PromptPart>& prompt, TimePoint now) const;
    void addSample(ServerStats& stats, ServiceStats& service, Duration taken, TimePoint now) const;
    void recordPrompt(ServerStats& stats, const std::vector<PromptPart>& prompt, TimePoint now) const;

    const Clock& clock;
    const std::string dataCentre;
    const ChoiceSettings settings;
    ServerSubset* const plainSubset;
    mutable std::mutex mutex;
    std::map<std::string, ServerStats> serverStats; // by server id
    std::map<std::string, ServiceStats> serviceStats;
    std::uint64_t random = 0x9e3779b97f4a7c15ULL;
};

} // namespace lovagecross
