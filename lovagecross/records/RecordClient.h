#pragma once

// Client with which an entry node stores kept turns and token budgets on the record nodes.
//
//     RecordClient client(settings, parts);
//     client.start();                      // starts following roster changes
//     Grant grant = client.reserve(request, deadline);
//     bool kept = client.keep(turn, deadline);
//
// A grant needs a majority of the program's replicas. Each replica rejects a reservation that exceeds the budget by its
// own records, and the client also checks the sum of the reservations that the replicas report. Since majorities
// intersect, every later majority includes a replica that knows of the grant. A turn is kept once enough disks in
// enough data centres have it, or else the platform.
//
// Thread safety: every member may be called from any thread, except `start` and `stop`.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Turns.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/records/PlatformRecords.h"
#include "lovagecross/records/ReachTracker.h"
#include "lovagecross/records/RecordMessages.h"
#include "lovagecross/records/RecordNode.h"
#include "lovagecross/records/Roster.h"
#include "lovagecross/records/TurnCache.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

struct RecordClientSettings {
    std::string dataCentre;
    std::string ownAddress; // peer address of this node, which is skipped in `seeds`
    Tolerance tolerance;
    std::vector<std::string> seeds; // peer addresses of nodes that may know the roster
    std::size_t cacheBytes = 8 * 1024 * 1024;
};

class RecordClient final : public TurnStore, public TokenBudgets {
public:
    RecordClient(RecordClientSettings clientSettings, RecordNodeParts clientParts);
    ~RecordClient() override;

    void start();
    void stop();

    std::size_t maxTurnBytes() const override;
    Conversation readConversation(
        const std::string& id, const std::string& program, TimePoint deadline, const ReserveMemory& reserve) override;
    bool keep(TurnRecord record, TimePoint deadline) override;
    Grant reserve(const GrantRequest& request, TimePoint deadline) override;
    void settle(const GrantRequest& request, std::uint64_t usedTokens) override;

    Roster roster() const;

    // Returns whether the node should leave the load balancer's rotation because other nodes can serve turns that it
    // can't.
    bool shouldLeaveRotation() const;
    Reachability reachability() const;

private:
    struct Answers {
        std::vector<const RosterMember*> accepted;
        std::vector<RecordResponse> responses; // of replicas that accepted the request or reported an exhausted budget
        std::size_t answered = 0;
        std::size_t complete = 0; // responses from members that hold all records of their groups
        std::size_t full = 0; // replicas without room for the record
        bool exhausted = false;
        bool epochOutdated = false;
        bool askedBeyondFirstWave = false;
        Roster newestRoster;
    };

    Answers askReplicas(const Roster& known, const std::vector<const RosterMember*>& replicas,
        const RecordRequest& request, const Fanout& fanout, const std::function<bool(const Answers&)>& enough);
    static void addAnswer(Answers& answers, const RosterMember& member, const PeerResult& result);
    void recordRoundResult(const Answers& answers, bool enough, bool isProbe);
    Duration callerRetryDelay() const;
    void probe();
    void queryPeerReachability(const Roster& known);
    Duration voteRoundTimeout(const Roster& known, TimePoint until) const;
    PlatformVote requestPlatformVote(
        const Answers& answers, ProgramReservations& others, const ReserveRequest& request, const Roster& known);
    std::vector<const RosterMember*> replicasNearFirst(const Roster& known, const std::string& program) const;
    void addFirstWaveGrant(const std::string& requestId, std::uint64_t epoch);
    std::uint64_t takeFirstWaveGrant(const std::string& requestId);
    bool readMissing(const std::string& id, const std::string& group, TimePoint deadline,
        std::map<std::string, StoredTurn>& found, bool& absent);
    Answers readFrom(const Roster& known, const std::vector<const RosterMember*>& members, const std::string& id,
        Duration timeout, std::map<std::string, StoredTurn>& found);
    bool storeOnDisks(StoreTurnRequest& request, TimePoint deadline);
    void adoptIfNewer(const Roster& roster);
    void updateRoster();
    bool requestRoster(const std::vector<std::string>& addresses);
    void run();

    const RecordClientSettings settings;
    const RecordNodeParts parts;
    TurnCache cache;
    PlatformRecords platform;
    mutable std::mutex mutex; // guards the members up to `stopping`
    Roster current;
    ReachTracker tracker;
    TimePoint nextRosterRefresh;
    TimePoint platformBackoffUntil; // no vote is requested from the platform before this time
    TimePoint shortTimeoutUntil; // until then, the platform is asked sooner because a replica did not respond
    std::map<std::string, std::uint64_t> firstWaveGrants; // epoch by request id, until the grant is settled
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lovagecross
