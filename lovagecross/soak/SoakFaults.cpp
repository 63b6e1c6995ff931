#include "lovagecross/soak/Soak.h"

// The faults of a soak, each with the repair that ends it.

#include <Poco/File.h>
#include <array>

namespace lovagecross::soak {

namespace {

using std::chrono::milliseconds;
using testing::ForwarderState;
using testing::TcpForwarder;

constexpr auto diskSpacing = std::chrono::seconds(7); // a node that lost its disk has fetched everything by then
constexpr auto stopSpacing = std::chrono::seconds(3); // a node that was started again serves by then
constexpr auto graceReserve = milliseconds(500); // at the end of the grace period, in which a node ends
constexpr auto startUpTime = std::chrono::seconds(2); // before it a process may not handle signals yet
constexpr auto exitSlack = std::chrono::seconds(1);
constexpr int exitPollMillis = 50;
constexpr int leastPauseMillis = 1000; // of servers
constexpr int mostPauseMillis = 1600;

SoakNode& randomNode(Soak& soak, bool entriesOnly)
{
    auto choices = static_cast<std::size_t>(soak.options.entries); // the first nodes
    if (!entriesOnly)
        choices = soak.nodes.size();
    return *soak.nodes[soak.random() % choices];
}

ForwarderState randomLinkFault(Soak& soak)
{
    constexpr std::array<ForwarderState, 3> linkFaults { ForwarderState::Cut, ForwarderState::Silent,
        ForwarderState::AnswersLost };
    return linkFaults[soak.random() % linkFaults.size()];
}

std::size_t logNodeFault(Soak& soak, Fault fault, const SoakNode& node)
{
    return node.records ? soak.faultLog.begin(Fault::RecordNodeDown) : soak.faultLog.begin(fault, node.callerAddress);
}

void killNode(Soak& soak, SoakNode& node)
{
    if (node.process == nullptr)
        return;
    soak.count("kill");
    std::size_t entry = logNodeFault(soak, Fault::NodeKilled, node);
    soak.endNode(node);
    soak.later(100, 2500, [&soak, &node, entry] {
        if (node.process == nullptr)
            soak.startNode(node, false);
        soak.faultLog.end(entry);
    });
}

// Waits for the end of a node that was told to stop, then starts it again. The grace of a node that is paused meanwhile
// counts from when it goes on, which is a repair that this wait must not hold up.
void awaitExit(Soak& soak, SoakNode& node, testing::ChildProcess* told, int leastMillis, int mostMillis)
{
    soak.later(leastMillis, mostMillis, [&soak, &node, told] {
        if (node.process != told) // another fault has replaced it
            return;
        if (node.paused)
            return awaitExit(soak, node, told, exitPollMillis, exitPollMillis + 1);
        if (told->waitForExit(soak.grace()) == std::nullopt)
            soak.findings.add("graceful stop", node.name + " outlived its grace");
        soak.replaceNode(node);
    });
}

void terminateNode(Soak& soak, SoakNode& node)
{
    if (node.process == nullptr || node.paused || !node.process->running()) // a paused process takes no signal
        return;
    soak.count("terminate");
    if (node.records)
        soak.faultLog.end(soak.faultLog.begin(Fault::RecordNodeDown));
    else
        soak.faultLog.stopBegan(node.callerAddress, std::chrono::steady_clock::now() + soak.grace() - graceReserve);
    node.process->terminate();
    awaitExit(soak, node, node.process, 100, static_cast<int>(soak.grace().count()));
}

void pauseNode(Soak& soak, SoakNode& node)
{
    if (node.process == nullptr || !node.process->running() || node.paused)
        return;
    soak.count("pause");
    std::size_t entry = logNodeFault(soak, Fault::NodePaused, node);
    node.process->pause();
    node.paused = true;
    soak.later(300, 4000, [&soak, &node, entry] {
        if (node.process != nullptr)
            node.process->resume();
        node.paused = false;
        soak.faultLog.end(entry);
    });
}

void loseDisk(Soak& soak, SoakNode& node)
{
    auto now = std::chrono::steady_clock::now();
    if (!node.records || node.process == nullptr || now - soak.lastDiskLoss < diskSpacing)
        return;
    soak.lastDiskLoss = now;
    soak.count("lost disk");
    soak.faultLog.end(soak.faultLog.begin(Fault::RecordNodeDown));
    soak.endNode(node);
    Poco::File(node.dataFolder).remove(true);
    Poco::File(node.dataFolder).createDirectories();
    soak.startNode(node, false);
}

void breakLink(Soak& soak, TcpForwarder& link, Fault fault, const std::string& node, int mostMillis)
{
    std::size_t entry = soak.faultLog.begin(fault, node);
    link.set(randomLinkFault(soak));
    soak.later(300, mostMillis, [&soak, &link, entry] {
        link.set(ForwarderState::Open);
        soak.faultLog.end(entry);
    });
}

void breakPlatform(Soak& soak)
{
    soak.count("platform down for all");
    std::size_t entry = soak.faultLog.begin(Fault::PlatformLink);
    ForwarderState linkFault = randomLinkFault(soak);
    for (const auto& node : soak.nodes)
        node->platformLink->set(linkFault);
    soak.later(500, 5000, [&soak, entry] {
        for (const auto& node : soak.nodes)
            node->platformLink->set(ForwarderState::Open);
        soak.faultLog.end(entry);
    });
}

void serverLeaves(Soak& soak, FakeServer& server)
{
    soak.count("server leaves");
    std::size_t entry = soak.faultLog.begin(Fault::ServerLeft);
    soak.leaving.insert(server.id());
    server.heartbeat(soak.platform, false);
    soak.later(2500, 5000, [&soak, &server, entry] {
        soak.leaving.erase(server.id());
        soak.faultLog.end(entry);
    });
}

// Some servers of streams, or all at once: a stream that moves on from a paused server may meet the next one's pause.
void pauseServers(Soak& soak)
{
    soak.count("server pauses");
    bool all = soak.random() % 2 == 0;
    for (const auto& server : soak.servers) {
        if (server->streams() && (all || soak.random() % 2 == 0))
            server->pauseInNextStream(milliseconds(soak.randomMillis(leastPauseMillis, mostPauseMillis)));
    }
}

// A series of versions, one soon after the other.
void changeConfiguration(Soak& soak)
{
    soak.count("configuration");
    int changes = 1 + static_cast<int>(soak.random() % 4);
    for (int i = 0; i < changes; ++i)
        soak.later(400 * i, 400 * (i + 1), [&soak] { soak.putConfiguration(); });
}

void hangUp(Soak& soak, SoakNode& node)
{
    if (node.process == nullptr || std::chrono::steady_clock::now() - node.startedAt < startUpTime)
        return;
    soak.count("hang-up signal");
    int signals = 1 + static_cast<int>(soak.random() % 3);
    for (int i = 0; i < signals; ++i)
        node.process->hangUp();
}

void restartWhenStopped(Soak& soak, SoakNode& node, Soak::TimePoint limit)
{
    soak.later(exitPollMillis, exitPollMillis + 1, [&soak, &node, limit] {
        auto now = std::chrono::steady_clock::now();
        if (node.process->running() && now < limit) {
            restartWhenStopped(soak, node, limit);
            return;
        }
        if (node.process->running())
            soak.findings.add("graceful stop", node.name + " outlived its grace");
        soak.replaceNode(node);
        soak.nextPlannedStop = now + stopSpacing;
        soak.stopInProgress = false;
    });
}

// Stops one node and starts it again when it has ended; no other is stopped meanwhile.
void stopAsPlanned(Soak& soak, SoakNode& node)
{
    auto now = std::chrono::steady_clock::now();
    if (soak.stopInProgress || now < soak.nextPlannedStop)
        return;
    soak.count("planned stop");
    soak.stopInProgress = true;
    if (!node.records)
        soak.faultLog.stopBegan(node.callerAddress, now + soak.grace() - graceReserve);
    node.process->terminate();
    restartWhenStopped(soak, node, now + soak.grace() + exitSlack);
}

void oneFault(Soak& soak)
{
    SoakNode& node = randomNode(soak, false);
    FakeServer& server = *soak.servers[soak.random() % soak.servers.size()];
    switch (soak.random() % 13) {
    case 0:
        return killNode(soak, node);
    case 1:
        return terminateNode(soak, node);
    case 2:
        return pauseNode(soak, node);
    case 3:
        return loseDisk(soak, node);
    case 4:
        soak.count("platform link");
        return breakLink(
            soak, *node.platformLink, Fault::PlatformLink, node.records ? std::string() : node.callerAddress, 5000);
    case 5:
        return breakPlatform(soak);
    case 6:
        soak.count("peer link");
        return breakLink(soak, *node.peerLink, Fault::PeerLink, {}, 4000);
    case 7:
        soak.count("server link");
        return breakLink(soak, server.link(), Fault::ServerLink, {}, 2500);
    case 8:
        return serverLeaves(soak, server);
    case 9:
        return pauseServers(soak);
    case 10:
        return changeConfiguration(soak);
    case 11:
        return hangUp(soak, randomNode(soak, true));
    default:
        soak.count("history forgotten");
        return soak.platform.forgetHistory();
    }
}

void calmFault(Soak& soak)
{
    SoakNode& entry = randomNode(soak, true);
    switch (soak.random() % 7) {
    case 0:
        return changeConfiguration(soak);
    case 1:
        return hangUp(soak, entry);
    case 2:
        return stopAsPlanned(soak, entry);
    default:
        return pauseServers(soak);
    }
}

// Beside calls that end servers: nodes that are killed, stopped, paused and cut off, servers that leave, and changes of
// the configuration. Few enough for most nodes to stay in touch.
void faultBesideEndingCalls(Soak& soak)
{
    if (soak.options.onlyEndingCalls)
        return;
    SoakNode& entry = randomNode(soak, true);
    switch (soak.random() % 7) {
    case 0:
        return killNode(soak, entry);
    case 1:
        return terminateNode(soak, entry);
    case 2:
        return pauseNode(soak, entry);
    case 3:
        soak.count("platform link");
        return breakLink(soak, *entry.platformLink, Fault::PlatformLink, entry.callerAddress, 4000);
    case 4:
        return killNode(soak, *soak.nodes[soak.nodes.size() - 1 - soak.random() % 2]);
    case 5:
        return serverLeaves(soak, *soak.servers[soak.random() % soak.servers.size()]);
    default:
        return changeConfiguration(soak);
    }
}

// Forth to the main program and back. After every second replacement a record node is killed.
void replaceAllNodes(Soak& soak)
{
    for (std::size_t i = 0; i < 2 * soak.nodes.size(); ++i) {
        stopAsPlanned(soak, *soak.nodes[i % soak.nodes.size()]);
        while (soak.stopInProgress || std::chrono::steady_clock::now() < soak.nextPlannedStop)
            soak.runFor(milliseconds(exitPollMillis));
        changeConfiguration(soak);
        if (i % 2 == 0)
            continue;
        killNode(soak, *soak.nodes[soak.nodes.size() - 1 - i % static_cast<std::size_t>(soak.options.recordNodes)]);
        soak.runFor(stopSpacing + stopSpacing);
    }
}

} // namespace

void makeTrouble(Soak& soak)
{
    if (soak.options.mode == SoakMode::Replacement)
        return replaceAllNodes(soak);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(soak.options.seconds);
    while (std::chrono::steady_clock::now() < end) {
        if (soak.options.mode == SoakMode::Calm)
            calmFault(soak);
        else if (soak.options.mode == SoakMode::EndingCalls)
            faultBesideEndingCalls(soak);
        else
            oneFault(soak);
        soak.runFor(milliseconds(soak.randomMillis(200, 1400)));
    }
}

} // namespace lovagecross::soak
