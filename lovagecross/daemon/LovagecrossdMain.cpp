// Main program of the daemon: reads the settings, starts a node with its adapters and listeners, and drains it on
// SIGTERM or SIGINT.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/HttpModelEngine.h"
#include "lovagecross/adapters/HttpObjectStore.h"
#include "lovagecross/adapters/HttpServiceClient.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/adapters/ZmqPeers.h"
#include "lovagecross/config/Settings.h"
#include "lovagecross/daemon/AdminApi.h"
#include "lovagecross/daemon/Allocator.h"
#include "lovagecross/daemon/CallerApi.h"
#include "lovagecross/daemon/HttpServer.h"
#include "lovagecross/daemon/PlatformNode.h"
#include "lovagecross/daemon/Version.h"
#include "lovagecross/runtime/CountingObjectStore.h"
#include "lovagecross/runtime/Node.h"

#include <Poco/Exception.h>
#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

namespace lovagecross {

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitStartFailed = 3;
constexpr std::size_t maxSettingsBytes = 1024 * 1024;
constexpr int maxAdminConnections = 16;
constexpr std::size_t maxServiceAnswerBytes = 900 * 1024; // an answer must fit into one object on the platform

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > maxSettingsBytes)
        return std::nullopt;
    return text.str();
}

// Parses the settings. On an error, prints it and returns nullopt.
template <typename SettingsType>
std::optional<SettingsType> loadSettings(
    const std::string& path, const std::string& text, Result<SettingsType> (*parse)(std::string_view))
{
    return handle(
        [&]() -> Result<std::optional<SettingsType>> {
            BOOST_LEAF_AUTO(settings, parse(text));
            return std::optional<SettingsType>(settings);
        },
        [&](const Error& error) {
            std::cerr << path << ": " << (error.field.empty() ? "settings" : error.field) << ": " << error.message
                      << '\n';
            return std::optional<SettingsType>();
        });
}

std::string readToken(const std::string& path)
{
    std::string token = readFile(path).value_or("");
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' '))
        token.pop_back();
    return token;
}

std::uint64_t newIncarnation()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32) | device();
}

// Blocks SIGTERM and SIGINT in this thread and in the threads it starts afterwards, so that `sigwait` receives them.
// Also ignores SIGPIPE.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const Settings& settings)
{
    returnFreedMemory();
    sigset_t signals = blockSignals();
    setUpLogging(settings.logLevel, settings.logFormat);
    std::string adminToken;
    if (!settings.adminTokenFile.empty()) {
        adminToken = readToken(settings.adminTokenFile);
        if (adminToken.empty()) {
            std::cerr << "adminTokenFile: " << settings.adminTokenFile << " contains no token\n";
            return exitStartFailed;
        }
    }
    SystemClock clock;
    Counters counters;
    HttpObjectStore platform({ .address = settings.platformAddress }, clock);
    CountingObjectStore store(platform, counters);
    HttpModelEngine engines({ .progressTimeout = std::chrono::milliseconds(settings.streamProgressMillis) }, clock);
    HttpServiceClient services({ .maxBodyBytes = maxServiceAnswerBytes }, clock);
    ZmqPeers peers({ .bindAddress = settings.peerAddress, .keyFile = settings.peerKeyFile }, counters);
    Node node(settings, { clock, store, peers, engines, services, counters }, newIncarnation());
    CallerApi callers(node, counters);
    std::atomic<bool> drainStarted { false };
    std::thread drainThread;
    auto startDrain = [&] {
        if (!drainStarted.exchange(true))
            drainThread = std::thread([&node] { node.drain(); });
    };
    AdminApi admin(node, counters, store, adminToken, startDrain);
    HttpListener callerListener({ settings.callerAddress, static_cast<int>(settings.maxConnections) },
        [&](auto& request, auto& response) { callers.handle(request, response); });
    HttpListener adminListener({ settings.adminAddress, maxAdminConnections },
        [&](auto& request, auto& response) { admin.handle(request, response); });
    // Bind the peer address before the node claims a shard, so that a second process with the same address fails to
    // start.
    if (std::string problem = peers.start(node); !problem.empty()) {
        std::cerr << "can't start: peerAddress: " << problem << '\n';
        return exitStartFailed;
    }
    node.start();
    callerListener.start();
    adminListener.start();
    LogLine(LogLevel::Info, "started")
        .field("node", settings.node)
        .field("dataCentre", settings.dataCentre)
        .field("version", versionText)
        .write();
    std::cout << "ready " << settings.callerAddress << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    LogLine(LogLevel::Info, "stopping").field("signal", signal).write();
    startDrain();
    drainThread.join();
    // The shards have been handed over. Requests in progress finish at the new owners; this node forwards
    // them until they end.
    callerListener.stop(std::chrono::milliseconds(settings.drainMillis));
    adminListener.stop(std::chrono::seconds(1));
    node.stop();
    peers.stop();
    LogLine(LogLevel::Info, "stopped").field("node", settings.node).write();
    return 0;
}

int reportValid()
{
    std::cout << "settings are valid\n";
    return 0;
}

int parseAndRun(int argc, char** argv)
{
    cxxopts::Options options("lovagecrossd", "Scheduler for agent programs: the daemon of one node.");
    options.add_options()("config", "settings file (JSON)", cxxopts::value<std::string>())(
        "check-config", "check the settings and exit")("help", "print this text")("version", "print the version");
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << "\nExit codes: 0 ok, 1 failed, 2 bad settings or usage, 3 can't start.\n";
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::cout << "lovagecrossd " << versionText << '\n';
        return 0;
    }
    if (arguments.count("config") == 0 || !arguments.unmatched().empty()) {
        std::cerr << "usage: lovagecrossd --config FILE\n";
        return exitBadSettings;
    }
    auto path = arguments["config"].as<std::string>();
    std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "can't read " << path << " (at most " << maxSettingsBytes << " bytes)\n";
        return exitBadSettings;
    }
    bool checkOnly = arguments.count("check-config") > 0;
    if (isNodeSettings(*text)) {
        std::optional<NodeSettings> settings = loadSettings(path, *text, parseNodeSettings);
        return settings ? (checkOnly ? reportValid() : runPlatformNode(*settings)) : exitBadSettings;
    }
    std::optional<Settings> settings = loadSettings(path, *text, parseSettings);
    return settings ? (checkOnly ? reportValid() : run(*settings)) : exitBadSettings;
}

} // namespace

} // namespace lovagecross

int main(int argc, char** argv)
{
    try {
        return lovagecross::parseAndRun(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        return lovagecross::exitBadSettings;
    } catch (const Poco::Exception& error) {
        std::cerr << "can't start: " << error.displayText() << '\n';
        return lovagecross::exitStartFailed;
    } catch (const std::exception& error) {
        std::cerr << "can't start: " << error.what() << '\n';
        return lovagecross::exitStartFailed;
    }
}
