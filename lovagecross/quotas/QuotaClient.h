#pragma once

// Admits calls of tenants with a quota, on an entry node.
//
//     QuotaClient quotas(clock, peers, settings, counters);
//     QuotaDecision decision = quotas.admit(tenant, use, deadline);
//     Duration pause = quotas.step();     // repeatedly, on a thread of its own
//
// Tokens are drawn in batches from the issuers of the tenant (`QuotaIssuer`), ahead of need by the tenant's recent rate
// of calls (`QuotaBatch`). A call that finds no token waits while issuers are asked. Near the quota it may also wait
// for the next token (`tokenWait`); above it, calls are refused without a message until an issuer expects a token. A
// node that reaches no issuer admits nothing: it can't know what the other nodes admit.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/gateway/TenantQuotas.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/quotas/KnownQuota.h"
#include "lovagecross/quotas/QuotaBatch.h"
#include "lovagecross/quotas/QuotaSlice.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

struct QuotaClientSettings {
    QuotaPolicy policy;
    // Returns the addresses of the nodes that keep a tenant's quota, the near ones first.
    std::function<std::vector<std::string>(const std::string& tenant)> issuersOf;
    QuotaOf quotaOf;
    std::function<void(Duration)> pause; // lets the calling thread sleep
    Duration longestWait = std::chrono::milliseconds(500); // of a call for the next token, in all
};

class QuotaClient final : public TenantQuotas {
public:
    QuotaClient(const Clock& givenClock, PeerClient& peerClient, QuotaClientSettings given, Counters& counters);

    QuotaDecision admit(const TenantEntry& tenant, QuotaUse use, TimePoint deadline) override;

    // Draws tokens ahead of need, and forgets idle tenants. Returns the time until the next call.
    Duration step();

    static constexpr Duration issuerTimeout = std::chrono::milliseconds(60); // of one request for tokens
    static constexpr Duration silentIssuerPause = std::chrono::milliseconds(500); // before it is asked again
    // A call may wait for as long as each slice takes to fill by two tokens, and for at least this time.
    static constexpr Duration minTokenWait = std::chrono::milliseconds(80);
    static constexpr std::uint32_t maxWaitingCalls = 64; // of a tenant; further ones are refused at once
    static constexpr std::uint32_t minWaitingCalls = 4; // that may wait if the tenant's rate is low
    static constexpr Duration stepInterval = std::chrono::milliseconds(20);

private:
    struct IssuerState {
        std::array<TimePoint, 2> deniedUntil; // by use: when it expects to have a token
        TimePoint declinedUntil; // it has said that it may not grant tokens of the tenant
        double level = 0; // tokens in its slice
        TimePoint levelAt; // when it named `level`
        bool levelKnown = false;
    };
    struct TenantState {
        QuotaBatch batch;
        KnownQuota known;
        std::map<std::string, IssuerState> issuers; // by address
        std::array<std::uint32_t, 2> waiting { 0, 0 }; // by use
        std::array<TimePoint, 2> nextAt; // by use: when an issuer may be asked again
        bool asking = false; // a thread asks issuers
        bool drawsAhead = false; // `step` has to draw tokens
        TimePoint drawsAheadFrom; // none are drawn ahead of need before, since the slice was low
        bool reached = false; // whether an issuer answered when they were last asked
        bool throttled = false;
        TimePoint throttledSince;
        TimePoint refusedAt;
        std::uint64_t refusals = 0; // while throttled
        double queue = 0; // refused calls that are expected to return
        TimePoint usedAt; // when the last call arrived

        std::uint32_t waitingCalls() const;
    };
    using StatePointer = std::shared_ptr<TenantState>;
    using Lock = std::unique_lock<std::mutex>;

    // Counts a call as waiting while it exists. Begins and ends with the lock.
    struct Waiting {
        std::uint32_t& calls;

        explicit Waiting(std::uint32_t& counted)
            : calls(counted)
        {
            ++this->calls;
        }
        ~Waiting() { --this->calls; }
        Waiting(const Waiting&) = delete;
        Waiting& operator=(const Waiting&) = delete;
    };

    // Releases the lock while it exists, and takes it again also when an exception passes.
    struct Unlocked {
        Lock& lock;

        explicit Unlocked(Lock& released)
            : lock(released)
        {
            this->lock.unlock();
        }
        ~Unlocked() { this->lock.lock(); }
        Unlocked(const Unlocked&) = delete;
        Unlocked& operator=(const Unlocked&) = delete;
    };

    // While it exists, one thread asks the issuers of a tenant; other threads wait for its end. Begins and ends with
    // the lock.
    struct Asking {
        QuotaClient& client;
        TenantState& state;

        Asking(QuotaClient& owner, TenantState& asked)
            : client(owner)
            , state(asked)
        {
            this->state.asking = true;
        }
        ~Asking()
        {
            this->state.asking = false;
            this->client.asked.notify_all();
        }
        Asking(const Asking&) = delete;
        Asking& operator=(const Asking&) = delete;
    };

    StatePointer stateOf(const std::string& tenant, TimePoint now);
    QuotaDecision waitFor(Lock& lock, TenantState& state, const TenantEntry& tenant, QuotaUse use, TimePoint deadline);
    QuotaDecision obtain(Lock& lock, TenantState& state, const TenantEntry& tenant, QuotaUse use, TimePoint deadline);
    bool take(TenantState& state, QuotaUse use, TimePoint now);
    void askIssuers(Lock& lock, TenantState& state, const std::string& tenant, TimePoint until);
    void askAhead(Lock& lock, TenantState& state, const std::string& tenant);
    void ask(Lock& lock, TenantState& state, const std::string& issuer, const QuotaRequest& request, Duration timeout);
    // These three release the lock while they run.
    std::vector<std::string> issuersOf(Lock& lock, const std::string& tenant) const;
    KnownQuota quotaOf(Lock& lock, const std::string& tenant) const;
    PeerResult send(Lock& lock, const std::string& issuer, const QuotaRequest& request, Duration timeout);
    void noteAnswer(IssuerState& issuer, const QuotaRequest& request, const QuotaAnswer& answer, TimePoint now);
    QuotaRequest requestFor(const TenantState& state, const std::string& tenant, TimePoint now) const;
    std::vector<std::string> inOrder(
        TenantState& state, std::vector<std::string> issuers, QuotaUse use, TimePoint now) const;
    void scheduleNext(TenantState& state, const std::vector<std::string>& issuers, TimePoint now);
    TimePoint awayUntil(const IssuerState& issuer, const std::string& address) const;
    Duration tokenWait(const TenantState& state) const;
    std::uint32_t waitingLimit(const TenantState& state) const;
    void noteQuota(TenantState& state, const KnownQuota& known);
    QuotaDecision withoutToken(TenantState& state, const std::string& tenant, TimePoint next, TimePoint now);
    QuotaDecision refuse(TenantState& state, const std::string& tenant, TimePoint next, TimePoint now);
    bool isIdle(const TenantState& state, TimePoint now) const;
    void endThrottling(TenantState& state, const std::string& tenant, TimePoint now);

    const Clock& clock;
    PeerClient& peers;
    const QuotaClientSettings settings;
    const Duration lifetime;
    Counter& admitted;
    Counter& refused;
    Counter& unknown;
    Counter& waited;
    Counter& requests;
    Counter& unanswered;
    std::mutex mutex;
    std::condition_variable asked; // an `asking` has ended
    std::map<std::string, StatePointer> states; // by tenant
    std::map<std::string, TimePoint> silentUntil; // by issuer that has not answered
};

} // namespace lovagecross
