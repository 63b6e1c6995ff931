#pragma once

// Stores records on the disk of one VM. A record node handles requests of entry nodes, joins the roster, fetches
// missing records from the other members, and hands its records over before its VM is removed.
//
//     RecordNode node(settings, parts);
//     std::string error = node.load();       // if empty, it serves the records on its disk
//     node.start();
//     RecordResponse response = node.handle(request);
//     node.retire();                         // starts handing its records over
//     if (node.retired()) ...
//
// A node with a new disk, or one that lost its contents, votes on reservations only after it has fetched all records of
// its groups from enough other members.
//
// Thread safety: every member may be called from any thread, except `load`, `start` and `stop`, which are called once
// each.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/records/ExpiryVotes.h"
#include "lovagecross/records/MemberFailureDetector.h"
#include "lovagecross/records/PlatformRecords.h"
#include "lovagecross/records/RecordLog.h"
#include "lovagecross/records/RecordMessages.h"
#include "lovagecross/records/RecordRoom.h"
#include "lovagecross/records/RecordTable.h"
#include "lovagecross/records/ReplicaState.h"
#include "lovagecross/records/Roster.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

namespace detail {

inline constexpr std::size_t fillPageBytes = 256 * 1024;
inline constexpr std::size_t chainPageBytes = 512 * 1024; // of the turns in one response

} // namespace detail

struct RecordNodeSettings {
    std::string node;
    std::string address; // peer address
    std::string dataCentre;
    std::string dataFolder;
    std::size_t diskBytes = 0; // disk space available to the log
    std::size_t memoryBytes = std::size_t(128) * 1024 * 1024; // that the process may use
    bool firstStart = false; // set when the whole system starts for the first time, with empty disks
    Tolerance tolerance;
    // Time without a response after which a member is removed from the roster.
    Duration memberRemovalTimeout = MemberFailureDetector::defaultRemovalTimeout;
};

struct RecordNodeParts {
    Clock& clock;
    ObjectStore& store;
    PeerClient& peers;
    Counters& counters;
};

class RecordNode {
public:
    RecordNode(RecordNodeSettings nodeSettings, RecordNodeParts nodeParts);
    ~RecordNode();
    RecordNode(const RecordNode&) = delete;
    RecordNode& operator=(const RecordNode&) = delete;

    // Loads the records from disk. Returns an error message, or an empty string on success. `handle` may be called
    // after it.
    std::string load();

    // Starts the maintenance thread, which joins the roster and follows its changes.
    void start();
    void stop();

    // Runs the maintenance that is due. The maintenance thread calls it; a test may call it instead of `start`.
    void maintain();

    RecordResponse handle(const RecordRequest& request);

    // Starts leaving the roster. `retired` returns true once enough other members hold the records of this node.
    void retire();
    bool retired() const;

    // Prepares an orderly shutdown, after which the VM may be removed. Leaves the roster if enough members remain, and
    // waits up to `maxWait` until others hold the records of this node.
    void leaveBeforeShutdown(Duration maxWait);

    // Returns whether the node is a member of the roster and holds all records of its groups.
    bool ready() const;
    Roster roster() const;

private:
    RecordResponse handleStoreTurn(const StoreTurnRequest& request);
    RecordResponse handleReadChain(const ReadChainRequest& request) const;
    RecordResponse handleReserve(const ReserveRequest& request);
    RecordResponse handleSettle(const SettleRequest& request);
    RecordResponse handleAdopt(const AdoptRequest& request);
    RecordResponse handleFill(const FillRequest& request) const;
    RecordResponse handleInspect() const;
    RecordResponse handleConfirmExpiry(const ConfirmExpiryRequest& request);
    bool acceptsEpoch(std::uint64_t epoch, RecordResponse& response);

    // What a start finds in the log.
    struct LoadedLog {
        std::size_t entries = 0;
        ReplicaProgress progress;
        // Reservations, by program and request id, whose present state is in several entries.
        std::set<std::pair<std::string, std::string>> inSeveralEntries;
    };
    void applyLogged(std::string_view bytes, const LogLocation& at, LoadedLog& loaded);
    void rewriteMerged(const LoadedLog& loaded);

    // What happens once an entry is in the log.
    RecordLog::StoredFunction turnStored(TurnHead turn);
    RecordLog::StoredFunction turnMoved(const std::string& id);
    RecordLog::StoredFunction reservationStored(const std::string& program, const std::string& request);
    RecordLog::StoredFunction progressStored();

    std::optional<StoredTurn> readTurn(FoundTurn turn) const;
    RoomUse usedRoom() const;
    RecordResponse refuseForRoom();
    bool holdsTurn(const std::string& id) const;

    struct MaintenanceState {
        bool member = false;
        bool leaving = false;
        bool filled = false; // has fetched everything that others held when the roster changed
    };

    void run();
    bool refreshIsDue(TimePoint now) const;
    MaintenanceState maintenanceState() const;
    StoreStatus refreshRoster();
    bool adopt(const Roster& next, bool nothingToFetch);
    bool completeFill(const Roster& roster);
    void join();
    Duration randomJoinDelay();
    bool writeRoster(const Roster& next, std::uint64_t version);
    std::vector<std::string> unreachableMembers(const Roster& current);
    void fill();
    void finishFill(const Roster& roster, const FillPlan& plan, std::size_t fetched, bool allMembersFetched);
    bool remainingSourcesLost(bool enough, bool allMembersFetched);
    std::optional<std::vector<std::uint64_t>> fetchFrom(const RosterMember& source, const FillFilter& filter);
    bool fetchFromPlatform();
    bool mergeFetched(RecordResponse page, const FillFilter& filter);
    void addFetched(StoredTurn turn);
    void addFetched(const Reservation& reservation);
    bool logFetched();
    void runSharedTasks(TimePoint now, bool filled);
    void announce(const Roster& roster);
    void removeFailedMember(const Roster& roster);
    void drainPlatform(const Roster& roster);
    void copyToDisks(const Roster& roster, StoredTurn turn);
    void leave();
    bool handedOver(const Roster& roster);
    void expire();
    void removeExpired();
    bool askForExpiry(const Roster& roster, ExpiryVotes& votes);
    void applyExpiry(const ExpiryVotes& votes, bool allAnswered);
    std::optional<RecordResponse> sendRequest(
        const std::string& address, const RecordRequest& request, Duration timeout);
    void compactLog();
    std::optional<RecordLog::NewEntry> replacementOf(std::string_view bytes, const LogLocation& at);

    const RecordNodeSettings settings;
    const RecordNodeParts parts;
    const RecordRoom room;
    RecordLog log;
    std::uint64_t disk = 0;
    bool newDisk = false; // the disk was empty at start; used by the maintenance thread only
    const std::uint64_t session;

    // Held from before a change of the progress is logged until `holdings` has it, and while the log is compacted: a
    // compaction in between would drop the entry. Acquired before `mutex`.
    std::mutex progressMutex;
    mutable std::mutex mutex; // guards the members up to `isRetired`
    RecordTable table;
    RoomPromises promises;
    LogLocation progressAt; // in the log
    ReplicaState holdings;
    bool retireRequested = false;
    bool isRetired = false;

    struct Cursor {
        FillFilter filter; // of the fetches that reached `position`
        std::uint64_t session = 0;
        std::uint64_t position = 0;
    };
    std::map<std::string, Cursor> cursors; // keyed by peer address; used by the maintenance thread only
    std::uint64_t rosterVersion = 0; // of the roster's object at the platform; used by the maintenance thread only
    std::mt19937_64 random { std::random_device {}() }; // used by the maintenance thread only
    TimePoint nextJoin;
    TimePoint nextRefresh;
    TimePoint nextNewerEpochRefresh;
    std::atomic<bool> newerEpochSeen { false }; // a request named an epoch that this node doesn't know yet
    TimePoint nextExpiry;
    TimePoint nextMemberCheck;
    TimePoint nextPlatformDrain;
    TimePoint nextFill;
    std::uint64_t fillEpoch = 0; // epoch to which `nextFill` applies

    // Used by the maintenance thread only.
    MemberFailureDetector memberWatch;
    PlatformRecords platform;
    std::optional<TimePoint> sourcesMissingSince;
    std::vector<RecordLog::NewEntry> unloggedEntries; // fetched records that are not in the log yet
    std::map<std::string, TimePoint> silentSince; // members that don't answer while this node leaves, by name
    std::vector<std::string> drainedTurnIds; // turns that are on enough disks but not yet removed from the platform

    std::mutex wakeMutex;
    std::condition_variable wake;
    bool stopping = false;
    bool wakeRequested = false;
    std::thread thread;

    Counter& votes;
    Counter& refusedForRoom; // reservations and turns
    Counter& turnsStored;
    Counter& chainsRead;
};

} // namespace lovagecross
