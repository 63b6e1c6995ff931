#pragma once

// Backend servers for the soak, in this process: plain services and model engines with event streams. They register
// themselves, count what they run, and check what they are given.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/soak/FakePlatform.h"
#include "lovagecross/soak/Findings.h"
#include "lovagecross/testing/ScriptedServer.h"
#include "lovagecross/testing/TcpForwarder.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::soak {

inline constexpr int eventsPerTurn = 5;
inline constexpr int tokensPerEvent = 4;
inline constexpr std::string_view bodyHashField = "X-Soak-Body-Hash"; // of the conversation that a turn must carry

// The name of a call that ends each server that runs it; its other value says when.
inline constexpr std::string_view endsServersField = "X-Soak-Ends-Servers";
inline constexpr std::string_view endsInStream = "in-stream"; // after the first event; any other value: before the head

// What all servers together have run, by request id, and which calls have ended servers.
class RunLedger {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void ran(const std::string& requestId);
    int runs(const std::string& requestId) const;

    // `call` names a call over all its repeats.
    void endingCallRan(const std::string& call);
    void endedServer(const std::string& call);
    std::vector<TimePoint> endingRuns(const std::string& call) const;
    std::vector<TimePoint> ends(const std::string& call) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, int> counts;
    std::map<std::string, std::vector<TimePoint>> runsOfCalls;
    std::map<std::string, std::vector<TimePoint>> endsByCall;
};

// The data of an event: derived from the request, so that a caller can tell its own answer from another's.
std::string eventData(const std::string& requestId, int event);
std::string plainAnswer(const std::string& requestId);

class FakeServer {
public:
    FakeServer(
        std::string serverId, std::string service, std::string dataCentre, RunLedger& ledger, Findings& findings);

    // Writes the registry entry; `ready` false: it is leaving. A process that has ended writes nothing until it is
    // back, as a new one under the same id.
    void heartbeat(FakePlatform& platform, bool ready);

    // The process ends: all its connections close, and new ones are refused for some time.
    void end();

    // Once a stream that has begun comes to its next event, all of the server's responses stop for `time`. It still
    // accepts connections and reads requests.
    void pauseInNextStream(std::chrono::milliseconds time);

    bool streams() const { return this->service == "model"; }
    const std::string& id() const { return this->serverId; }

    // Between the nodes and this server.
    testing::TcpForwarder& link() { return *this->forwarder; }

private:
    void pauseIfDue();
    bool write(testing::ScriptedConnection& connection, const std::string& bytes) const;
    bool answer(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection);
    bool stream(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection);
    bool runEndingCall(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection);

    const std::string serverId;
    const std::string service;
    const std::string dataCentre;
    RunLedger& ledger;
    Findings& findings;
    std::atomic<int> sequence { 0 };
    std::atomic<std::chrono::milliseconds> nextPause { std::chrono::milliseconds(0) };
    std::atomic<std::chrono::steady_clock::time_point> pausedUntil { std::chrono::steady_clock::time_point() };
    std::atomic<std::int64_t> startedUnixMillis;
    std::atomic<std::chrono::steady_clock::time_point> backAt { std::chrono::steady_clock::time_point() };
    std::atomic<bool> ended { false };
    std::unique_ptr<testing::ScriptedServer> server;
    std::unique_ptr<testing::TcpForwarder> forwarder;
};

} // namespace lovagecross::soak
