// The soak: entry and record nodes as processes, a stand-in for the users' platform, backend servers and callers in
// this process, and a seeded series of overlapping faults from outside the nodes. Exits 1 when a promise was broken.

#include "lovagecross/soak/Callers.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "platform/SampleDocuments.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <array>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace lovagecross::soak {

namespace {

using std::chrono::milliseconds;
using testing::ChildProcess;
using testing::ForwarderState;
using testing::TcpForwarder;

constexpr std::array<const char*, 3> dataCentres { "a", "b", "c" };
constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto heartbeatInterval = milliseconds(500);
constexpr auto settleTime = std::chrono::seconds(3);
constexpr auto diskSpacing = std::chrono::seconds(7); // a node that lost its disk has fetched everything by then
constexpr int graceMillis = 5000;

// One node with the links between it and the rest.
struct SoakNode {
    std::string name;
    bool records = false;
    std::string callerAddress; // of an entry node
    std::string readyAddress; // of an entry node
    std::string peerAddress;
    std::string dataFolder; // of a record node
    std::unique_ptr<TcpForwarder> platformLink;
    std::unique_ptr<TcpForwarder> peerLink;
    ChildProcess* process = nullptr;
    bool paused = false;
};

struct SoakOptions {
    std::uint64_t seed = 1;
    int seconds = 30;
    int entries = 3;
    int recordNodes = 3;
    int callers = 6;
    bool keepLogs = false;
};

class Soak {
public:
    explicit Soak(const SoakOptions& soakOptions)
        : options(soakOptions)
        , random(soakOptions.seed)
        , folder(Poco::TemporaryFile::tempName())
        , harness(this->folder)
        , platformServer(this->platform, "127.0.0.1:0")
    {
    }

    // The number of broken promises.
    int run();

private:
    void addServers();
    void addNode(int number, bool records);
    void startNode(SoakNode& node, bool firstStart);
    bool waitUntilServing();
    void faultLoop(std::chrono::steady_clock::time_point end);
    void oneFault();
    void heal();
    void endNode(SoakNode& node);
    void checkExit(SoakNode& node);
    std::string writeSettings(const SoakNode& node, bool firstStart) const;
    void count(const char* kind) { ++this->faults[kind]; }

    const SoakOptions options;
    std::mt19937_64 random;
    const std::string folder;
    testing::ProcessHarness harness;
    FakePlatform platform;
    standins::HttpServer platformServer;
    Findings findings;
    RunLedger ledger;
    std::vector<std::unique_ptr<FakeServer>> servers;
    std::set<std::string> leaving;
    std::vector<std::unique_ptr<SoakNode>> nodes;
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::function<void()>>> repairs;
    std::chrono::steady_clock::time_point lastDiskLoss;
    std::map<std::string, int> faults;
};

void Soak::addServers()
{
    for (int i = 0; i < 6; ++i) {
        bool model = i % 2 == 0;
        this->servers.push_back(std::make_unique<FakeServer>("server-" + std::to_string(i), model ? "model" : "tool",
            dataCentres[static_cast<std::size_t>(i / 2)], this->ledger, this->findings));
    }
}

std::string Soak::writeSettings(const SoakNode& node, bool firstStart) const
{
    std::string seeds;
    for (const auto& other : this->nodes) {
        if (!other->records)
            seeds += (seeds.empty() ? "\"" : ",\"") + other->peerLink->address() + '"';
    }
    std::size_t number = static_cast<std::size_t>(std::stoi(node.name.substr(node.name.rfind('-') + 1)));
    std::string text = R"({"mode":")" + std::string(node.records ? "records" : "entry") + R"(","node":")" + node.name
        + R"(","dataCentre":")" + dataCentres[number % dataCentres.size()] + R"(","peerAddress":")" + node.peerAddress
        + R"(","advertisedAddress":")" + node.peerLink->address() + R"(","platformAddress":")"
        + node.platformLink->address() + R"(","firstStart":)" + (firstStart ? "true" : "false") + R"(,"graceMillis":)"
        + std::to_string(graceMillis) + R"(,"seeds":[)" + seeds + "]";
    if (node.records)
        text += R"(,"dataFolder":")" + node.dataFolder + R"(","diskMegabytes":300)";
    else
        text += R"(,"callerAddress":")" + node.callerAddress + R"(","readyAddress":")" + node.readyAddress
            + R"(","readyPath":"/ready")";
    return text + "}";
}

void Soak::addNode(int number, bool records)
{
    auto node = std::make_unique<SoakNode>();
    node->name = (records ? "records-" : "entry-") + std::to_string(number);
    node->records = records;
    node->callerAddress = testing::freeAddress();
    node->readyAddress = testing::freeAddress();
    node->peerAddress = testing::freeAddress();
    node->dataFolder = this->folder + '/' + node->name;
    if (records)
        Poco::File(node->dataFolder).createDirectories();
    node->platformLink = std::make_unique<TcpForwarder>(this->platformServer.address());
    node->peerLink = std::make_unique<TcpForwarder>(node->peerAddress);
    this->nodes.push_back(std::move(node));
}

void Soak::startNode(SoakNode& node, bool firstStart)
{
    std::string file = this->folder + '/' + node.name + ".json";
    std::ofstream(file) << this->writeSettings(node, firstStart);
    node.process = &this->harness.start(node.name, testing::programPath("lovagecrossd"), { "--config", file });
}

bool Soak::waitUntilServing()
{
    std::vector<std::string> addresses;
    for (const auto& node : this->nodes) {
        if (!node->records)
            addresses.push_back(node->callerAddress);
    }
    Callers probe(addresses, this->ledger, this->findings);
    auto end = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < end) {
        std::uint64_t before = probe.counts.served;
        std::atomic<bool> stop { false };
        std::thread caller([&] { probe.run(this->random(), stop); });
        std::this_thread::sleep_for(milliseconds(300));
        stop = true;
        caller.join();
        if (probe.counts.served > before + 5)
            return true;
    }
    return false;
}

void Soak::endNode(SoakNode& node)
{
    if (node.process != nullptr)
        node.process->kill();
    node.process = nullptr;
}

// A node that has ended without being told to.
void Soak::checkExit(SoakNode& node)
{
    if (node.process == nullptr || node.process->running())
        return;
    this->findings.add("stays up", node.name + " ended by itself, see " + node.process->outputFile());
    this->startNode(node, false);
}

void Soak::oneFault()
{
    auto now = std::chrono::steady_clock::now();
    auto later = [&](int least, int most, std::function<void()> repair) {
        auto wait = milliseconds(least + static_cast<int>(this->random() % static_cast<std::uint64_t>(most - least)));
        this->repairs.emplace_back(now + wait, std::move(repair));
    };
    SoakNode& node = *this->nodes[this->random() % this->nodes.size()];
    FakeServer& server = *this->servers[this->random() % this->servers.size()];
    constexpr std::array<ForwarderState, 3> linkFaults { ForwarderState::Cut, ForwarderState::Silent,
        ForwarderState::AnswersLost };
    ForwarderState linkFault = linkFaults[this->random() % linkFaults.size()];
    switch (this->random() % 10) {
    case 0:
        if (node.process == nullptr)
            return;
        this->count("kill");
        this->endNode(node);
        later(100, 2500, [this, &node] {
            if (node.process == nullptr)
                this->startNode(node, false);
        });
        return;
    case 1:
        if (node.process == nullptr || node.paused || !node.process->running()) // a paused process takes no signal
            return;
        this->count("terminate");
        node.process->terminate();
        later(100, graceMillis, [this, &node, told = node.process] {
            if (node.process != told) // another fault has replaced it
                return;
            if (told->waitForExit(milliseconds(graceMillis)) == std::nullopt)
                this->findings.add("graceful stop", node.name + " outlived its grace");
            this->endNode(node);
            this->startNode(node, false);
        });
        return;
    case 2:
        if (node.process == nullptr || !node.process->running() || node.paused)
            return;
        this->count("pause");
        node.process->pause();
        node.paused = true;
        later(300, 4000, [&node] {
            if (node.process != nullptr)
                node.process->resume();
            node.paused = false;
        });
        return;
    case 3:
        if (!node.records || node.process == nullptr || now - this->lastDiskLoss < diskSpacing)
            return;
        this->lastDiskLoss = now;
        this->count("lost disk");
        this->endNode(node);
        Poco::File(node.dataFolder).remove(true);
        Poco::File(node.dataFolder).createDirectories();
        this->startNode(node, false);
        return;
    case 4:
        this->count("platform link");
        node.platformLink->set(linkFault);
        later(300, 5000, [&node] { node.platformLink->set(ForwarderState::Open); });
        return;
    case 5:
        this->count("platform down for all");
        for (const auto& each : this->nodes)
            each->platformLink->set(linkFault);
        later(500, 5000, [this] {
            for (const auto& each : this->nodes)
                each->platformLink->set(ForwarderState::Open);
        });
        return;
    case 6:
        this->count("peer link");
        node.peerLink->set(linkFault);
        later(300, 4000, [&node] { node.peerLink->set(ForwarderState::Open); });
        return;
    case 7:
        this->count("server link");
        server.link().set(linkFault);
        later(100, 2500, [&server] { server.link().set(ForwarderState::Open); });
        return;
    case 8:
        this->count("server leaves");
        this->leaving.insert(server.id());
        server.heartbeat(this->platform, false);
        later(2500, 5000, [this, &server] { this->leaving.erase(server.id()); });
        return;
    default:
        this->count("history forgotten");
        this->platform.forgetHistory();
        return;
    }
}

void Soak::heal()
{
    for (auto& [time, repair] : this->repairs)
        repair();
    this->repairs.clear();
}

void Soak::faultLoop(std::chrono::steady_clock::time_point end)
{
    auto nextFault = std::chrono::steady_clock::now();
    auto nextHeartbeat = nextFault;
    while (std::chrono::steady_clock::now() < end) {
        auto now = std::chrono::steady_clock::now();
        if (now >= nextHeartbeat) {
            nextHeartbeat = now + heartbeatInterval;
            for (const auto& server : this->servers)
                server->heartbeat(this->platform, this->leaving.count(server->id()) == 0);
        }
        for (std::size_t i = 0; i < this->repairs.size();) {
            if (this->repairs[i].first > now) {
                ++i;
                continue;
            }
            auto repair = std::move(this->repairs[i].second);
            this->repairs.erase(this->repairs.begin() + static_cast<std::ptrdiff_t>(i));
            repair();
        }
        if (now >= nextFault) {
            nextFault = now + milliseconds(200 + this->random() % 1200);
            this->oneFault();
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

int Soak::run()
{
    this->platform.put("config", "main", platform::sampleConfiguration);
    this->addServers();
    for (const auto& server : this->servers)
        server->heartbeat(this->platform, true);
    std::vector<std::string> callerAddresses;
    for (int i = 0; i < this->options.entries; ++i) {
        this->addNode(i, false);
        callerAddresses.push_back(this->nodes.back()->callerAddress);
    }
    for (int i = 0; i < this->options.recordNodes; ++i)
        this->addNode(i, true);
    for (const auto& node : this->nodes)
        this->startNode(*node, true);
    if (!this->waitUntilServing())
        this->findings.add("start", "nothing is served after the start");
    Callers callers(callerAddresses, this->ledger, this->findings);
    std::atomic<bool> stopping { false };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(this->options.callers));
    for (int i = 0; i < this->options.callers; ++i)
        threads.emplace_back([&, seed = this->random()] { callers.run(seed, stopping); });
    this->faultLoop(std::chrono::steady_clock::now() + std::chrono::seconds(this->options.seconds));
    this->heal();
    // Whatever happened, calls are served again soon after the last fault.
    std::uint64_t before = callers.counts.served;
    this->faultLoop(std::chrono::steady_clock::now()); // heartbeats once
    std::this_thread::sleep_for(settleTime);
    for (const auto& server : this->servers)
        server->heartbeat(this->platform, true);
    std::this_thread::sleep_for(settleTime);
    if (callers.counts.served < before + 20)
        this->findings.add("recovery", "few calls are served after the last fault");
    stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    callers.checkRefusals();
    for (const auto& node : this->nodes)
        this->checkExit(*node);
    std::cout << "seed " << this->options.seed << ": " << callers.counts.calls << " calls, " << callers.counts.served
              << " served, " << callers.counts.refused << " refused, " << callers.counts.unknown << " unknown; faults:";
    for (const auto& [kind, number] : this->faults)
        std::cout << ' ' << kind << ' ' << number << ';';
    std::cout << '\n';
    for (const std::string& finding : this->findings.all())
        std::cout << "  BROKEN " << finding << '\n';
    for (const auto& node : this->nodes)
        this->endNode(*node);
    if (this->findings.all().empty() && !this->options.keepLogs)
        Poco::File(this->folder).remove(true);
    else
        std::cout << "  logs: " << this->folder << '\n';
    return static_cast<int>(this->findings.all().size());
}

} // namespace

} // namespace lovagecross::soak

int main(int argc, char** argv)
{
    lovagecross::standins::prepareSignals();
    cxxopts::Options description("lovagecross-soak", "Randomized soak of entry and record nodes as processes.");
    description.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
        "seconds", "with faults, each seed", cxxopts::value<int>()->default_value("30"))(
        "entries", "entry nodes", cxxopts::value<int>()->default_value("3"))(
        "records", "record nodes", cxxopts::value<int>()->default_value("3"))("callers", "threads of callers",
        cxxopts::value<int>()->default_value("6"))("keep-logs", "also of good seeds")("help", "print this text");
    try {
        auto arguments = description.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << description.help() << "\nExit codes: 0 all promises held, 1 one was broken, 2 usage.\n";
            return 0;
        }
        int broken = 0;
        for (int i = 0; i < arguments["seeds"].as<int>(); ++i) {
            lovagecross::soak::SoakOptions options;
            options.seed = arguments["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
            options.seconds = arguments["seconds"].as<int>();
            options.entries = arguments["entries"].as<int>();
            options.recordNodes = arguments["records"].as<int>();
            options.callers = arguments["callers"].as<int>();
            options.keepLogs = arguments.count("keep-logs") > 0;
            broken += lovagecross::soak::Soak(options).run() > 0 ? 1 : 0;
        }
        return broken > 0 ? 1 : 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
