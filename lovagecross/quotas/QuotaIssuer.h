#pragma once

// Grants tokens for requests of tenants, on a record node.
//
//     QuotaIssuer issuer(clock, peers, settings, counters);
//     issuer.start();                                 // once the roster on the node's disk is known
//     QuotaAnswer answer = issuer.handle(request);    // from an entry node, or from another record node
//     Duration pause = issuer.step();                 // repeatedly, on a thread of its own
//
// A tenant's quota is divided into equal slices, one for each replica of the tenant's name in the roster. Each replica
// grants its slice by itself, so that the sum over all entry nodes stays within the quota without any agreement.
//
// A node grants only while it can't have missed a change: it asks the other members of the roster repeatedly, and stops
// `lease` after a majority of them last confirmed the roster, or `configurationLease` after one confirmed the
// configuration. A node that gains a slice waits until a node that lost it has stopped (SliceShare.h).
//
// Nothing is stored on disk: slices start empty and fill from the start of the process on.
//
// Thread safety: `handle` may be called from any thread. `start` is called first, `step` by one thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/quotas/KnownQuota.h"
#include "lovagecross/quotas/QuotaSlice.h"
#include "lovagecross/quotas/SliceShare.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

struct QuotaIssuerSettings {
    QuotaPolicy policy;
    std::string node;
    Tolerance tolerance;
    Duration lease { 0 }; // how long a confirmed roster counts
    Duration configurationLease { 0 }; // how long a confirmed configuration counts
    std::function<Roster()> roster; // the newest one that this node knows, with its changes
    QuotaOf quotaOf;
};

class QuotaIssuer {
public:
    QuotaIssuer(const Clock& givenClock, PeerClient& peerClient, QuotaIssuerSettings given, Counters& counters);

    void start();

    // With a tenant, grants tokens; `issuer` is false in the answer if this node may grant none now. Without a tenant,
    // tells the roster and the configuration that this node knows.
    QuotaAnswer handle(const QuotaRequest& request);

    // Has the other members confirm the roster and the configuration. Returns the time until the next call.
    Duration step();

    // With more members than `maxDirectMembers`, only this number of them ask a majority; the others ask these.
    static constexpr std::size_t confirmingMembers = 7;
    static constexpr std::size_t maxDirectMembers = 15;
    static constexpr std::size_t maxSlices = 10'000; // of tenants; further ones get nothing

private:
    struct TenantSlice {
        KnownQuota known; // the newest quota that this node or an entry node has named
        QuotaSlice slice;
    };
    // One attempt to have roster and configuration confirmed, and what the other members have answered.
    struct Round {
        Roster roster;
        std::uint64_t configurationVersion = 0;
        TimePoint sentAt;
        std::size_t answers = 0;
        std::size_t sameEpoch = 0; // answers by members that know the same roster
        bool newerRoster = false;
        bool newerConfiguration = false;
        // When another member had the same roster and configuration confirmed by a majority.
        std::optional<TimePoint> rosterConfirmedAt;
        std::optional<TimePoint> configurationConfirmedAt;
    };

    Round newRound();
    // Both send messages, so they are called without the lock. The first returns whether it was enough.
    bool confirmByFollowing(Round round, const std::vector<std::string>& followed);
    void confirmByMajority(Round round, bool all);
    std::vector<std::string> otherMembers(const Roster& roster);
    std::vector<std::string> membersToFollow(const Roster& roster) const;
    void addAnswers(const std::vector<PeerResult>& results, Round& round) const;
    std::vector<PeerResult> ask(const Round& round, const std::vector<std::string>& others, bool all);
    // The functions below are called with the lock.
    void learnRoster(const Roster& roster, TimePoint now);
    bool isCurrent(const Round& round) const;
    bool takeOverConfirmations(const Round& round);
    void noteMajority(const Round& round, std::size_t others);
    bool mayGrant(TimePoint now) const;
    void draw(const QuotaRequest& request, const KnownQuota& own, double share, TimePoint now, QuotaAnswer& answer);
    TenantSlice* sliceOf(const std::string& tenant, TimePoint now);
    void dropSlices(TimePoint now);
    void noteGranting(bool granting);

    const Clock& clock;
    PeerClient& peers;
    const QuotaIssuerSettings settings;
    Counter& granted;
    Counter& denied;
    Counter& notConfirmed;
    std::mutex mutex;
    ShareHistory history;
    TimePoint rosterConfirmedAt;
    TimePoint configurationConfirmedAt;
    bool everConfirmed = false;
    bool grants = false; // as last logged
    std::size_t rounds = 0;
    std::map<std::string, TenantSlice> slices; // by tenant
    TimePoint nextDropAt; // slices are not searched for droppable ones before
    // When slices were last dropped. A new slice may be one of them, so it fills only from then on.
    TimePoint droppedAt;
};

} // namespace lovagecross
