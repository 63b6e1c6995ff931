#pragma once

// Tells whether this node reaches any backend server, from the connections that it opens and the bytes that it
// receives. Decides when to open connections only to find out. Does no I/O.
//
//     ServerPaths paths(clock);
//     paths.connected("server1");                     // each connection that was opened, or could not be
//     for (const ServerEntry& server : paths.serversToProbe(view, callsUnderWay))
//         ... open a connection and report the outcome ...
//     if (!paths.reachesServers())
//         ... send the call through another node ...
//
// One server that fails is no sign: the paths count as lost only once connections to several servers, or to all if
// there are few, have failed and none was opened in between. Kept connections may live on while new ones fail, so only
// opened connections show that a path is back, and two servers must be reached.
//
// If nothing is heard from any server for a short time, a connection to one of them is opened, also when there is no
// call, and to several once that fails.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Directory.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

class ServerPaths {
public:
    explicit ServerPaths(const Clock& givenClock);

    // A connection to the server was opened, or could not be opened in the usual time.
    void connected(const std::string& serverId);
    void connectFailed(const std::string& serverId);

    // Bytes of a response have arrived from a server.
    void heard() { this->heardAtNanos = this->clock.now().time_since_epoch().count(); }

    bool reachesServers() const { return this->reaching; }

    // Returns the servers to which to open a connection now; mostly none. Must be called every few dozen milliseconds.
    std::vector<ServerEntry> serversToProbe(const DirectoryView& view, bool callsUnderWay);

    static constexpr std::size_t failuresThatCount = 5; // different servers
    static constexpr std::size_t probesThatConfirm = 6;
    static constexpr std::size_t serversThatProveReturn = 2;
    static constexpr Duration silenceDuringCalls = std::chrono::milliseconds(250); // before a probe
    static constexpr Duration silenceWhenIdle = std::chrono::seconds(1);
    static constexpr Duration confirmInterval = std::chrono::milliseconds(150);
    static constexpr Duration returnProbeInterval = std::chrono::milliseconds(400);

private:
    void setReaching(bool reaches);
    std::size_t enough(std::size_t most) const;
    std::size_t probesDue(bool callsUnderWay, TimePoint now) const;
    std::vector<ServerEntry> pick(const DirectoryView& view, std::size_t count);

    const Clock& clock;
    std::atomic<TimePoint::rep> heardAtNanos;
    std::atomic<bool> reaching { true };
    std::mutex mutex;
    std::set<std::string> failed; // servers to which connections failed since the last one that was opened
    std::set<std::string> reached; // while no server counts as reached: those reached since the last failure
    std::size_t listed = 0; // ready servers when `serversToProbe` was last called
    TimePoint probedAt;
    std::uint64_t random;
};

} // namespace lovagecross
