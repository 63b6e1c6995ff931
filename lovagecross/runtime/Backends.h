#pragma once

// The backend servers that this node may use. Polls their load reports and cache events, chooses a server for each
// request, and keeps the retry budget and the table of calls that end servers. One lock guards all of it.
//
//     std::optional<BackendChoice> choice = backends.choose(query);
//     ... send
//     backends.firstToken(*choice);
//     backends.finished(*choice, status, cachedTokens);
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/config/Configuration.h"
#include "lovagecross/crashes/CrashTable.h"
#include "lovagecross/placement/BackendTable.h"
#include "lovagecross/placement/Placement.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/retry/RetryPolicy.h"
#include "lovagecross/runtime/DecisionLog.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

struct ChoiceQuery {
    BackendKind kind = BackendKind::Model;
    std::string target; // model or service name
    std::vector<PromptPrefix> prefixes; // of the prompt, for a model call
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    bool slotsScarce = false; // other calls are waiting for admission on this node
    std::set<std::string> excluded; // servers on which this call has already failed
};

struct BackendChoice {
    BackendServer server;
    RequestTicket ticket = 0;
    std::uint32_t expectedCachedTokens = 0;
    PlacementReason reason = PlacementReason::NoCandidate;
    bool slotsScarce = false;
    std::vector<ScoredServer> alternatives; // the chosen one first
};

// Formats names and scores in ms for a log line, such as "gpu1:12.0,gpu2:15.3".
std::string describeScores(const std::vector<ScoredServer>& servers);

// The state of a backend server as shown to operators.
struct BackendView {
    BackendServer server;
    std::string circuit; // closed, open or ramp
    std::uint32_t inFlight = 0; // requests sent by this node
    std::optional<EngineLoad> load;
    std::uint64_t loadAgeMillis = 0;
};

class Backends {
public:
    Backends(Clock& clock, ModelEngine& engines, std::string dataCentre, std::uint64_t randomSeed);
    ~Backends();
    Backends(const Backends&) = delete;
    Backends& operator=(const Backends&) = delete;

    // Starts threads that poll each model server's load report and cache events once per interval. Servers that did not
    // answer their last poll occupy at most half of the threads, so that they can't delay the polls of the others.
    void start(Duration pollInterval);
    void stop();

    void configure(const Configuration& configuration);

    // Chooses a server and counts the request as sent to it; `finished` must follow. nullopt when no server is
    // eligible.
    std::optional<BackendChoice> choose(const ChoiceQuery& query);

    // Reports that the first part of the answer has arrived.
    void firstToken(const BackendChoice& choice);

    // Reports the end of a request. `cachedTokens` is the number of prompt tokens that the server read from its cache,
    // as stated in its answer.
    void finished(const BackendChoice& choice, BackendStatus status, std::uint32_t cachedTokens);

    // Takes a retry from the budget. Returns false when it is exhausted.
    bool tryRetry();
    // Counts a call's first attempt, which adds to the retry budget.
    void firstAttempt();
    Duration backoffBefore(std::uint32_t attempt);

    // Requests that seem to crash servers, identified by the digest of the request.
    bool quarantined(const std::string& digest) const;
    void crashSuspected(const std::string& digest, const std::string& server);
    void crashCleared(const std::string& digest);

    std::vector<BackendView> view() const;
    std::vector<BackendServer> servers(BackendKind kind) const;
    std::optional<BackendServer> find(const std::string& name) const;

    // The number of requests that the model servers of this data centre can run concurrently now. nullopt when none is
    // configured there or all of them are leaving.
    std::optional<std::size_t> localSlots() const;

    // Two losses are enough: what the engines answer is read here only, and a connection that is lost to the network is
    // retried at another server.
    static constexpr CrashSettings crashSettings { 2, 1'000'000, std::chrono::seconds(10), std::chrono::hours(1),
        std::chrono::seconds(1), std::chrono::milliseconds(10) };

private:
    struct Poll {
        std::string name;
        std::string address;
        TimePoint due;
        bool unresponsive = false; // did not answer the last poll
        bool rereadAllEvents = false; // request all cache events, because the engine may have restarted
    };

    void pollLoop();
    std::optional<Poll> takeDuePoll(TimePoint now);
    Duration untilNextPoll(TimePoint now) const;
    void readReports(Poll& poll);
    void reschedulePoll(Poll poll);
    BackendTable& tableOf(BackendKind kind) { return kind == BackendKind::Model ? this->models : this->services; }
    bool configuredAt(const std::string& name, const std::string& address) const;

    Clock& clock;
    ModelEngine& engines;
    std::string dataCentre;
    mutable std::mutex mutex;
    std::map<std::string, BackendServer> configured; // by name
    BackendTable models { BackendTableSettings {} };
    BackendTable services { BackendTableSettings {} };
    std::vector<PlacementCandidate> candidates; // scratch buffer, reused to avoid allocations
    RetryBudget retryBudget { RetrySettings {} };
    CrashTable crashes { crashSettings };
    std::mt19937_64 random;
    Duration pollInterval { 0 };
    std::deque<Poll> polls; // by due time
    std::deque<Poll> unresponsivePolls; // by due time
    std::size_t runningUnresponsivePolls = 0;
    std::map<std::string, std::string> scheduledAddresses; // address by server name, for each queued or running poll
    std::condition_variable wake;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace lovagecross
