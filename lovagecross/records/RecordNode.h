#pragma once

// Holds records on the disk of one VM: answers the messages of entry nodes, joins the roster, fetches what it lacks
// from the other members, and empties itself when it is to be taken away.
//
//     RecordNode node(settings, parts);
//     std::string error = node.load();       // empty: it serves what its disk holds
//     node.start();
//     RecordResponse response = node.handle(request);
//     node.retire();                         // asks it to empty itself
//     if (node.retired()) ...
//
// A node whose disk is new or was lost first fetches every record that it should hold from enough other members, and
// votes on reservations only then.
//
// Thread safety: every member may be called from any thread, except `load`, `start` and `stop`, which are called
// once each.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/ObjectStore.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/records/Holdings.h"
#include "lovagecross/records/MemberWatch.h"
#include "lovagecross/records/PlatformRecords.h"
#include "lovagecross/records/RecordLog.h"
#include "lovagecross/records/RecordMessages.h"
#include "lovagecross/records/RecordTable.h"
#include "lovagecross/records/Roster.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

inline constexpr std::string_view rosterKey = "record-rosters/main"; // the roster's object at the platform

namespace detail {

inline constexpr std::size_t fillPageBytes = 256 * 1024;

} // namespace detail

struct RecordNodeSettings {
    std::string node;
    std::string address; // peer address
    std::string dataCentre;
    std::string dataFolder;
    std::size_t diskBytes = 0; // that the log may take
    bool firstStart = false; // the whole system starts for the first time, with empty disks
    Tolerance tolerance;
    Duration memberGoneAfter = MemberWatch::defaultGoneAfter; // a silent member is then removed from the roster
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

    // Reads the disk. Returns what went wrong; empty on success. `handle` may be called from then on.
    std::string load();

    // Joins the roster and keeps up with it, on a thread of its own.
    void start();
    void stop();

    RecordResponse handle(const RecordRequest& request);

    // Leaves the roster; `retired` once enough others hold what this node held.
    void retire();
    bool retired() const;

    // Before the process ends on order: leaves the roster if enough members are left, and waits up to `longest` until
    // others hold what this node held. The VM may be taken away after it.
    void leaveBeforeStop(Duration longest);

    // Whether it is a member with every record that it should hold.
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
    bool acceptsEpoch(std::uint64_t epoch, RecordResponse& response) const;

    struct UpkeepState {
        bool member = false;
        bool leaving = false;
        bool filled = false; // holds everything that others held when the roster changed
    };

    void run();
    void maintain();
    UpkeepState upkeepState() const;
    StoreStatus refreshRoster();
    bool adopt(const Roster& next, bool joinedNow);
    void join();
    bool writeRoster(const Roster& next, std::uint64_t version);
    std::vector<std::string> unreachableMembers(const Roster& current);
    void fill();
    void finishFill(const Roster& roster, const FillPlan& plan, std::size_t fetched, bool allMembersFetched);
    bool restIsLost(bool enough, bool allMembersFetched);
    std::optional<std::uint64_t> fetchFrom(const RosterMember& source, const FillFilter& filter);
    bool fetchFromPlatform();
    void takeFetched(const RecordResponse& page, const FillFilter& filter);
    void careForOthers(TimePoint now, bool filled);
    void removeGoneMember(const Roster& roster);
    void drainPlatform(const Roster& roster);
    void leave();
    void expire();
    std::optional<RecordResponse> ask(const std::string& address, const RecordRequest& request, Duration timeout);
    std::vector<std::string> liveEntries() const;

    const RecordNodeSettings settings;
    const RecordNodeParts parts;
    RecordLog log;
    std::uint64_t disk = 0;
    bool newDisk = false; // it held nothing at start; used by the maintenance thread only
    const std::uint64_t session;

    mutable std::mutex mutex; // guards what follows
    RecordTable table;
    Holdings holdings;
    bool retireRequested = false;
    bool isRetired = false;

    struct Cursor {
        FillFilter filter; // what was fetched up to the position
        std::uint64_t session = 0;
        std::uint64_t position = 0;
    };
    std::map<std::string, Cursor> cursors; // by address; used by the maintenance thread only
    std::uint64_t rosterVersion = 0; // of the object at the platform; used by the maintenance thread only
    TimePoint nextRefresh;
    TimePoint nextExpiry;
    TimePoint nextMemberCheck;
    TimePoint nextPlatformDrain;
    TimePoint nextFill;
    std::uint64_t fillEpoch = 0; // that `nextFill` is for

    // Used by the maintenance thread only.
    MemberWatch watch;
    PlatformRecords platform;
    std::optional<TimePoint> shortOfSourcesSince;
    std::vector<std::string> drained; // turns that now lie on enough disks and are still at the platform

    std::mutex wakeMutex;
    std::condition_variable wake;
    bool stopping = false;
    bool hurry = false;
    std::thread thread;

    Counter& votes;
    Counter& turnsStored;
    Counter& chainsRead;
};

} // namespace lovagecross
