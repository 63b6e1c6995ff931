#pragma once

// Kept turns and token budgets for an entry node, held by the record nodes.
//
//     RecordClient client(settings, parts);
//     client.start();                      // follows the roster
//     Grant grant = client.reserve(request, deadline);
//     bool kept = client.keep(turn, deadline);
//
// A grant needs a majority of the program's replicas. Each of them refuses what would exceed the budget by its own
// records, and this node adds up what they report together, so a grant is seen by every later majority. A turn is kept
// when enough disks in enough data centres have it, or else the platform.
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
    std::string ownAddress; // peer address of this node, to leave it out of the seeds
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

    Chain chain(const std::string& id, TimePoint deadline) override;
    bool keep(const TurnRecord& record, TimePoint deadline) override;
    Grant reserve(const GrantRequest& request, TimePoint deadline) override;
    void settle(const GrantRequest& request, std::uint64_t usedTokens) override;

    Roster roster() const;

    // Whether the node can't serve turns that others could: it should get no more calls.
    bool shouldTurnAway() const;
    Reach reach() const;

private:
    struct Answers {
        std::vector<const RosterMember*> accepted;
        std::vector<RecordResponse> responses; // of those that accepted
        std::size_t answered = 0;
        std::size_t complete = 0; // that have every record which they should have
        bool exhausted = false;
        bool oldEpoch = false;
        Roster newest;
    };

    Answers askReplicas(const Roster& known, const std::vector<const RosterMember*>& replicas,
        const RecordRequest& request, Duration timeout, const std::function<bool(const Answers&)>& enough);
    static void addAnswer(Answers& answers, const RosterMember& member, const PeerResult& result);
    void noteRound(const Answers& answers, bool enough, bool isProbe);
    Duration pauseForCaller() const;
    void probe();
    void askOpinions(const Roster& known);
    Duration voteWait(const Roster& known, TimePoint until) const;
    PlatformVote askPlatform(const Roster& known, const Answers& answers, const ProgramReservations& others,
        const Reservation& reservation, std::uint64_t budget);
    bool readMissing(const std::string& id, TimePoint deadline, std::map<std::string, StoredTurn>& found, bool& absent);
    Answers readFrom(const Roster& known, const std::vector<const RosterMember*>& members, const std::string& id,
        Duration timeout, std::map<std::string, StoredTurn>& found);
    void takeRoster(const Roster& roster);
    void followRoster();
    bool askForRoster(const std::vector<std::string>& addresses);
    void run();

    const RecordClientSettings settings;
    const RecordNodeParts parts;
    TurnCache cache;
    PlatformRecords platform;
    mutable std::mutex mutex; // guards what follows
    Roster current;
    ReachTracker tracker;
    TimePoint nextFollow;
    TimePoint platformAwayUntil; // it is not asked for votes before
    TimePoint hurryUntil; // a replica was silent lately: the platform is asked sooner
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lovagecross
