#pragma once

// A node's estimate of the state of each backend server: its last load report, the prompt prefixes in its cache, the
// requests that this node has in flight there, and corrections from comparing answers with earlier estimates. It
// provides the candidates for `choosePlacement`.
//
//     BackendTable table(settings);
//     table.configure(servers);
//     table.loadReport("engine1", load, now);                    // reports and events may be late or missing
//     table.cacheEvents("engine1", events);
//
//     table.candidates({ "model", prefixes, excluded }, now, candidates);
//     PlacementDecision decision = choosePlacement(request, candidates, placementSettings, random);
//     RequestTicket ticket = table.sent({ name, promptTokens, estimatedMillis, prefixes }, now);
//     table.firstToken(ticket, now);
//     table.finished(ticket, BackendStatus::Ok, now);
//
// The table is only an estimate and is rebuilt after a restart; correctness never depends on it. Calls that name an
// unconfigured server have no effect, because events can arrive after the server was removed from the configuration.
//
// Failures: the server's circuit breaker makes it unavailable after consecutive failures. A load report measured after
// the last failure allows an early probe.
//
// Load: a report describes the server at (arrival time - report age). The table adds this node's requests that were
// sent after that time, and subtracts those that the report includes but that have ended since. A report older than
// `reportExpiry` is ignored.
//
// Cache: a server is assumed to hold a prefix from a `stored` event, or from the first token of a request by this node,
// until an `evicted` event, a failure of the server, or eviction from this table to respect `maxPrefixes`. Entries
// survive a gap in the events, since most of them are still correct; a gap above `maxGap` or a restarted event sequence
// clears the server's entries. If answers reuse fewer cached tokens than the entries predicted, later predictions for
// that server are scaled down.
//
// Thread safety: not thread-safe; the caller must serialize access.

#include "lovagecross/base/Clock.h"
#include "lovagecross/placement/Placement.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/retry/RetryPolicy.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagecross {

struct BackendTableSettings {
    std::size_t maxPrefixes = 100'000; // over all servers; an entry takes about 150 bytes
    std::uint64_t maxGap = 1000; // missed cache events after which a server's entries are cleared
    Duration reportExpiry = std::chrono::seconds(10);
    Duration timeFactorDecay = std::chrono::seconds(60); // a server's time factor decays linearly to 1 over this time
    // Weight of a new sample in the moving average of the time factor; low, because it varies a lot between calls.
    double timeFactorWeight = 0.05;
    double averageWeight = 0.2; // weight of a new sample in the other moving averages
    bool kvTransfer = false; // whether engines can import KV cache entries from each other
    BreakerSettings breaker;
};

struct BackendDescription {
    std::string name;
    std::string dataCentre;
    std::vector<std::string> models; // the first one is assumed to be loaded until the server reports its models
    std::uint32_t slots = 8; // requests that the server runs concurrently
    bool leaving = false; // set by the operator: the server gets no new requests
};

// A prompt prefix, identified by the digest that engines use in cache events.
struct PromptPrefix {
    std::string digest;
    std::uint32_t tokens = 0;
};

struct BackendQuery {
    std::string model;
    std::vector<PromptPrefix> prefixes; // prefixes of the prompt, in any order
    std::vector<std::string> excluded; // servers already tried by earlier attempts
};

// State of a server as shown to operators.
struct BackendCondition {
    bool circuitOpen = false;
    bool ramping = false; // the circuit breaker admits only some of the requests
    bool leaving = false;
    std::uint32_t inFlight = 0; // requests sent by this node
    std::optional<EngineLoad> load; // the last load report, unmodified
    Duration loadAge { 0 };
};

using RequestTicket = std::uint64_t;

struct SentRequest {
    std::string server;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedCachedTokens = 0; // PlacementCandidate::cachedTokens of the chosen candidate
    double estimatedMillis = 0; // PlacementScore::millis of the chosen candidate
    std::vector<PromptPrefix> prefixes; // prefixes that the server will have in its cache once it answers
};

class BackendTable {
public:
    explicit BackendTable(BackendTableSettings settings);

    // Replaces the list of servers, keeping the state of servers that remain on it.
    void configure(const std::vector<BackendDescription>& servers);

    void loadReport(std::string_view server, const EngineLoad& load, TimePoint now);

    // `events` must be in sequence order; events that were already processed are skipped.
    void cacheEvents(std::string_view server, const std::vector<CacheEvent>& events);

    // Sequence number of the last processed event, from which to request further events; 0 if there is none.
    std::uint64_t lastCacheEvent(std::string_view server) const;

    void setLoadedModels(std::string_view server, const std::vector<std::string>& models);

    // Records a leaving notice from the platform or from the server itself, independently of the operator's flag in
    // BackendDescription.
    void setLeaving(std::string_view server, bool leaving);

    // Overwrites `candidates` with one entry per server that serves the model. Their names stay valid until the next
    // `configure`. Reusing the vector saves an allocation per decision.
    void candidates(const BackendQuery& query, TimePoint now, std::vector<PlacementCandidate>& candidates);

    // The number of slots currently usable on all servers in `dataCentre` (empty: in all data centres), used as the
    // capacity of AdmissionQueue. A recovering server contributes only the slots that its circuit breaker admits.
    std::size_t usableSlots(std::string_view dataCentre, TimePoint now) const;

    // Returns nullopt if the server is not configured.
    std::optional<BackendCondition> condition(std::string_view server, TimePoint now) const;

    // Records a request sent to a server. Returns 0 if the server is not configured.
    RequestTicket sent(const SentRequest& request, TimePoint now);
    void firstToken(RequestTicket ticket, TimePoint now);

    // Records the end of a request. The circuit breaker counts ConnectionLost, NotSent, Silent and Refused as failures,
    // and Ok and Failed as successes. `cachedTokens` is the number reported in the answer, and is used only for Ok.
    void finished(RequestTicket ticket, BackendStatus status, std::uint32_t cachedTokens, TimePoint now);

    std::size_t prefixCount() const { return this->prefixes.size(); }
    std::uint64_t missedCacheEvents() const { return this->missedEvents; }
    std::size_t inFlight() const { return this->inFlightRequests.size(); }

private:
    using PrefixHash = std::uint64_t; // collisions are acceptable, they only make an estimate less accurate

    struct CachedPrefix {
        PrefixHash prefix = 0;
        std::uint32_t server = 0;
    };

    struct Holder {
        std::uint32_t server = 0;
        std::uint32_t generation = 0; // the entry is invalid if this differs from CacheState::generation
        std::uint32_t tokens = 0;
        std::list<CachedPrefix>::iterator entry;
    };

    struct HashedPrefix {
        PrefixHash prefix = 0;
        std::uint32_t tokens = 0;
    };

    struct InFlightRequest {
        std::uint32_t server = 0;
        // Server::indexGeneration when the request was sent; if it differs now, that server has been removed.
        std::uint32_t indexGeneration = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t prefillTokens = 0; // expected number of prompt tokens not found in the cache
        std::uint32_t expectedCachedTokens = 0;
        double estimatedMillis = 0;
        TimePoint sentAt;
        bool firstTokenReceived = false;
        std::vector<HashedPrefix> prefixes;
    };

    struct EndedRequest {
        TimePoint sentAt;
        TimePoint endedAt;
    };

    // The part of a server's state that each placement decision reads, in a contiguous vector for cache locality.
    struct View {
        PlacementCandidate baseCandidate; // without the fields that depend on the request or the time
        TimePoint reportedAt; // when the server measured its last load report
        double timeFactor = 1;
        TimePoint timeFactorUpdatedAt;
        std::uint32_t inFlight = 0;
        bool leaving = false; // set by configuration
        bool leavingNotice = false; // set by `setLeaving`
        bool hasReport = false;
        bool hasFailed = false; // whether the server ever failed; if not, checking the circuit breaker is skipped
    };

    struct Server {
        explicit Server(const BreakerSettings& breakerSettings)
            : breaker(breakerSettings)
        {
        }

        BackendDescription description;
        std::uint32_t index = 0;
        bool configured = false;
        std::uint32_t indexGeneration = 0; // incremented whenever the table index is assigned to another server
        std::uint64_t lastEvent = 0;
        TimePoint failedAt;
        EngineLoad report;
        std::vector<RequestTicket> inFlightTickets;
        std::deque<EndedRequest> recentlyEnded;
        CircuitBreaker breaker;
    };

    // Per-server data that is read for each cached prefix of a request. Kept small, so that the data of 1,300 servers
    // fits into the CPU cache.
    struct CacheState {
        std::uint64_t query = 0; // the query for which `position` is valid
        std::uint32_t position = 0; // index of the server in that query's candidates
        std::uint32_t generation = 0;
        double accuracy = 1; // moving average of cached tokens in answers divided by those listed in the table
    };

    struct ModelServer {
        std::uint32_t server = 0;
        bool loaded = false;
    };

    Server* find(std::string_view name);
    const Server* find(std::string_view name) const;
    Server& findOrAdd(const std::string& name);
    void removeServer(Server& server);
    void rebuildModels();
    void refreshLoad(Server& server);
    void store(const Server& server, HashedPrefix prefix);
    void evict(const Server& server, PrefixHash prefix);
    void evictOldest();
    void clearCache(const Server& server);
    void countFailure(Server& server, TimePoint now);
    void countRefusal(Server& server, TimePoint now);
    void updateTimeFactor(View& view, const InFlightRequest& send, TimePoint now) const;
    void updateCacheAccuracy(const Server& server, const InFlightRequest& send, std::uint32_t cachedTokens);
    double timeFactorAt(const View& view, TimePoint now) const;
    void fillCandidate(const ModelServer& entry, TimePoint now, PlacementCandidate& candidate) const;
    void fillCache(const BackendQuery& query, std::vector<PlacementCandidate>& candidates) const;

    BackendTableSettings settings;
    std::deque<Server> servers; // a deque keeps references to names valid; indexes of removed servers are reused
    std::vector<View> views; // by server index
    std::vector<CacheState> cacheStates; // by server index
    std::unordered_map<std::string, std::uint32_t> indexByName;
    std::unordered_map<std::string, std::vector<ModelServer>> serversByModel;
    // By server name, only for servers that reported their models.
    std::unordered_map<std::string, std::vector<std::string>> loadedModels;
    std::list<CachedPrefix> prefixes; // least recently used first
    std::unordered_map<PrefixHash, std::vector<Holder>> holders;
    std::unordered_map<RequestTicket, InFlightRequest> inFlightRequests;
    RequestTicket lastTicket = 0;
    std::uint64_t lastQuery = 0;
    std::uint64_t missedEvents = 0;
};

} // namespace lovagecross
