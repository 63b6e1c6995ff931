#pragma once

// Keeps calls that end each backend server that runs them from further servers.
//
//     if (guard.find(fingerprint).verdict == CrashVerdict::Quarantined)
//         ... refuse the call ...
//     guard.lost(fingerprint, { server, lostAt });        // its connection broke off while the server may have run it
//     if (guard.mustStop(fingerprint))
//         ... no further attempt ...
//     guard.answered(fingerprint);
//     std::vector<CrashNotice> news = guard.step();       // every few dozen milliseconds; to be told to other nodes
//
// A lost connection isn't a server's end. Each loss is watched until it is shown (`CrashEvidence`) or for
// `evidenceTime`. If no other server has been reached since, a connection to one is opened to find out. Servers that
// were leaving end as planned, which says nothing about their calls.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/gateway/ConnectionPool.h"
#include "lovagecross/gateway/CrashEvidence.h"
#include "lovagecross/gateway/Directory.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

// The loss of a connection on which a server may have been running a call.
struct LostConnection {
    ServerEntry server;
    TimePoint at;
    LossKind kind = LossKind::Closed;
};

class CrashGuard {
public:
    CrashGuard(const Clock& givenClock, CrashLedger& sharedLedger, const Directory& servers,
        ConnectionPool& connections, std::string ownNode);

    // Whether any call has a mark, or may get one.
    bool knowsAny() const { return !this->ledger.empty() || this->watchedCount > 0; }
    bool knowsPrefix(const std::string& prefix) const { return this->ledger.knowsPrefix(prefix); }
    CrashFinding find(const std::string& fingerprint) const { return this->ledger.find(fingerprint); }

    // Whether so many servers have ended under the call, or seem to have, that no other one should get it. If that
    // depends on a server that was lost just now, waits for up to `clarityTime` until it is clear.
    bool mustStop(const std::string& fingerprint) const;

    // Watches the server from now on. If it closed the connection, first finds out whether it accepts another one, in
    // at most `probeTime`.
    void lost(const std::string& fingerprint, const LostConnection& loss, TimePoint deadline);

    // The server has answered a request that was sent at `sentAt`.
    void heard(const ServerEntry& server, TimePoint sentAt);

    // More of a stream has arrived from the server.
    void heardMore(const ServerEntry& server);

    // A server answered the call whole.
    void answered(const std::string& fingerprint) { this->release(fingerprint, CrashSource::Own); }

    // Earlier ends of servers no longer count for the call, here and at the other nodes. Returns whether there were
    // any.
    bool release(const std::string& fingerprint, CrashSource source);

    // Decides about lost connections. Returns the notices that were news, for other nodes.
    std::vector<CrashNotice> step();

    static constexpr std::uint32_t endsToStop = CrashSettings {}.endsToQuarantine;
    static constexpr Duration probeTime = std::chrono::milliseconds(100);
    static constexpr Duration clarityTime = std::chrono::milliseconds(40);
    // After the loss. A process that ends may close its listener later than its connections.
    static constexpr std::array<Duration, 3> probeTimes { Duration(0), std::chrono::milliseconds(150),
        std::chrono::milliseconds(400) };
    // What a server wrote before its end may be read this much later.
    static constexpr Duration readDelay = std::chrono::milliseconds(150);
    static constexpr std::size_t maxWatched = 4096; // further losses are ignored

private:
    struct WatchedLoss {
        std::string fingerprint;
        ServerEntry server;
        TimePoint lostAt;
        LossKind kind = LossKind::Closed;
        std::size_t probes = 1; // that are done or left out
    };

    struct SignOfLife {
        TimePoint requestSentAt = TimePoint::min(); // of the last answered request
        TimePoint bytesAt = TimePoint::min(); // when the last bytes of a stream were read
    };

    struct EndCount {
        std::uint32_t ended = 0; // servers that have ended, or seem to have
        std::uint32_t unclear = 0; // servers that were lost and may have ended
    };

    EndCount countEnds(const std::string& fingerprint) const;
    void probeUnclear(const std::string& fingerprint) const;
    std::vector<ServerEntry> takeDueProbes();
    LostRun describe(const WatchedLoss& loss, TimePoint now) const;
    bool restarted(const ServerEntry& server) const;
    bool othersAnswered(const std::string& serverId, TimePoint since) const;
    void reachAnotherServer(const WatchedLoss& loss);
    void logDecision(const WatchedLoss& loss, const LostRun& run, EndEvidence evidence) const;

    const Clock& clock;
    CrashLedger& ledger;
    const Directory& directory;
    ConnectionPool& pool;
    const std::string node;
    mutable std::mutex mutex;
    std::list<WatchedLoss> watched;
    std::map<std::string, SignOfLife> signsOfLife; // by server id, while losses are watched
    std::vector<CrashNotice> unreported;
    std::size_t serversTried = 0; // to find out whether any is reached
    TimePoint expiredAt; // when expired calls were last removed
    std::atomic<std::size_t> watchedCount { 0 };
};

} // namespace lovagecross
