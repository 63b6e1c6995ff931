#include "lovagecross/soak/Soak.h"

#include "platform/SampleDocuments.h"

#include <Poco/File.h>
#include <array>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace lovagecross::soak {

namespace {

using std::chrono::milliseconds;
using testing::TcpForwarder;

constexpr std::array<const char*, 3> dataCentres { "a", "b", "c" };
constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto heartbeatInterval = milliseconds(500);
constexpr auto settleTime = std::chrono::seconds(3);
constexpr auto tickTime = milliseconds(20);
constexpr auto faultsGrace = milliseconds(5000);
constexpr auto strictGrace = milliseconds(8000);
constexpr auto faultsCallTime = milliseconds(3000);
constexpr int usualServers = 6;
constexpr int serversBesideEndingCalls = 32; // so that enough of each service are left
constexpr std::size_t maxEndsByCall = 4;
constexpr auto strictCallTime = milliseconds(8000); // more than two servers' pauses in a row

void replaceText(std::string& text, const std::string& part, const std::string& other)
{
    std::size_t at = text.find(part);
    if (at == std::string::npos)
        throw std::logic_error("the sample configuration has no " + part);
    for (; at != std::string::npos; at = text.find(part, at + other.size()))
        text.replace(at, part.size(), other);
}

} // namespace

milliseconds Soak::grace() const
{
    return this->strict() ? strictGrace : faultsGrace;
}

milliseconds Soak::callTime() const
{
    return this->strict() ? strictCallTime : faultsCallTime;
}

void Soak::addServers()
{
    int count = this->options.mode == SoakMode::EndingCalls ? serversBesideEndingCalls : usualServers;
    for (int i = 0; i < count; ++i) {
        bool model = i % 2 == 0;
        this->servers.push_back(std::make_unique<FakeServer>("server-" + std::to_string(i), model ? "model" : "tool",
            dataCentres[static_cast<std::size_t>(i / 2) % dataCentres.size()], this->ledger, this->findings));
    }
}

// The next version of the sample configuration.
void Soak::putConfiguration()
{
    std::string text = platform::sampleConfiguration;
    replaceText(text, R"("version":1,)", R"("version":)" + std::to_string(++this->configurationVersion) + ',');
    replaceText(text, R"("timeout_ms":3000)", R"("timeout_ms":)" + std::to_string(this->callTime().count()));
    if (this->resumable()) {
        replaceText(text, R"("resumable":false)", R"("resumable":true)");
        replaceText(text, R"("max_attempts":1)", R"("max_attempts":2)");
    }
    this->platform.put("config", "main", text);
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
        + std::to_string(this->grace().count()) + R"(,"seeds":[)" + seeds + "]";
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

void Soak::addNodes()
{
    for (int i = 0; i < this->options.entries; ++i)
        this->addNode(i, false);
    for (int i = 0; i < this->options.recordNodes; ++i)
        this->addNode(i, true);
    if (this->options.otherProgram.empty())
        return;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        this->nodes[i]->otherProgram = this->options.mode == SoakMode::Replacement || i % 2 == 1;
}

void Soak::startNode(SoakNode& node, bool firstStart)
{
    std::string file = this->folder + '/' + node.name + ".json";
    std::ofstream(file) << this->writeSettings(node, firstStart);
    const std::string& program = node.otherProgram ? this->options.otherProgram : this->options.program;
    node.process = &this->harness.start(node.name, program, { "--config", file });
    node.startedAt = std::chrono::steady_clock::now();
}

// Starts the node again, with the other program if there is one.
void Soak::replaceNode(SoakNode& node)
{
    this->endNode(node);
    if (!this->options.otherProgram.empty())
        node.otherProgram = !node.otherProgram;
    this->startNode(node, false);
}

std::vector<std::string> Soak::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& node : this->nodes) {
        if (!node->records)
            addresses.push_back(node->callerAddress);
    }
    return addresses;
}

bool Soak::waitUntilServing()
{
    Callers probe(this->callerAddresses(), {}, this->ledger, this->faultLog, this->findings);
    auto end = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < end) {
        std::uint64_t before = probe.counts.served;
        std::atomic<bool> stop { false };
        std::thread caller([&] { probe.run(this->random(), false, stop); });
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
    this->faultLog.stopEnded(node.callerAddress);
}

// A node that has ended without being told to.
void Soak::checkExit(SoakNode& node)
{
    if (node.process == nullptr || node.process->running())
        return;
    this->findings.add("stays up", node.name + " ended by itself, see " + node.process->outputFile());
    this->startNode(node, false);
}

int Soak::randomMillis(int least, int most)
{
    return least + static_cast<int>(this->random() % static_cast<std::uint64_t>(most - least));
}

void Soak::later(int leastMillis, int mostMillis, std::function<void()> repair)
{
    auto wait = milliseconds(this->randomMillis(leastMillis, mostMillis));
    this->repairs.emplace_back(std::chrono::steady_clock::now() + wait, std::move(repair));
}

void Soak::sendHeartbeats()
{
    for (const auto& server : this->servers)
        server->heartbeat(this->platform, this->leaving.count(server->id()) == 0);
}

void Soak::runRepairs()
{
    auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < this->repairs.size();) {
        if (this->repairs[i].first > now) {
            ++i;
            continue;
        }
        auto repair = std::move(this->repairs[i].second);
        this->repairs.erase(this->repairs.begin() + static_cast<std::ptrdiff_t>(i));
        repair();
    }
}

void Soak::runFor(milliseconds time)
{
    auto end = std::chrono::steady_clock::now() + time;
    do {
        auto now = std::chrono::steady_clock::now();
        if (now >= this->nextHeartbeat) {
            this->nextHeartbeat = now + heartbeatInterval;
            this->sendHeartbeats();
        }
        this->runRepairs();
        std::this_thread::sleep_for(tickTime);
    } while (std::chrono::steady_clock::now() < end);
}

// Ends every fault: at once, or in the strict modes when it is due.
void Soak::heal()
{
    while (this->strict() && !this->repairs.empty())
        this->runFor(tickTime);
    for (auto& [time, repair] : std::exchange(this->repairs, {}))
        repair();
}

// Whatever happened, calls are served again soon after the last fault.
void Soak::checkRecovery(const Callers& callers)
{
    std::uint64_t before = callers.counts.served;
    this->runFor(settleTime + settleTime);
    if (callers.counts.served < before + 20)
        this->findings.add("recovery", "few calls are served after the last fault");
}

void Soak::report(const Callers& callers) const
{
    std::cout << soakModeNames.name(this->options.mode) << " seed " << this->options.seed << ": "
              << callers.counts.calls << " calls, " << callers.counts.served << " served, " << callers.counts.refused
              << " refused, " << callers.counts.unknown << " unknown; faults:";
    for (const auto& [kind, number] : this->faults)
        std::cout << ' ' << kind << ' ' << number << ';';
    std::cout << "\n";
    Callers::CutCounts cuts = callers.cuts();
    for (const auto& node : this->nodes) {
        if (node->records)
            continue;
        std::cout << "  cut at " << node->name << ':';
        for (const auto& [reason, number] : cuts[node->callerAddress])
            std::cout << ' ' << reason << ' ' << number << ';';
        std::cout << "\n";
    }
    for (const std::string& finding : this->findings.all())
        std::cout << "  BROKEN " << finding << "\n";
}

int Soak::run()
{
    this->putConfiguration();
    this->addServers();
    this->sendHeartbeats();
    this->addNodes();
    for (const auto& node : this->nodes)
        this->startNode(*node, true);
    if (!this->waitUntilServing())
        this->findings.add("start", "nothing is served after the start");
    CallerSettings settings { this->callTime(), this->strict() };
    Callers callers(this->callerAddresses(), settings, this->ledger, this->faultLog, this->findings);
    std::atomic<bool> stopping { false };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(this->options.callers));
    for (int i = 0; i < this->options.callers; ++i)
        threads.emplace_back(
            [&, seed = this->random(), keepsConnection = i % 2 == 1] { callers.run(seed, keepsConnection, stopping); });
    EndingCalls endingCalls(this->callerAddresses(), this->ledger, this->findings);
    for (int i = 0; this->options.mode == SoakMode::EndingCalls && i < this->options.endingCallers; ++i)
        threads.emplace_back([&, seed = this->random()] { endingCalls.run(seed, stopping); });
    makeTrouble(*this);
    this->heal();
    this->checkRecovery(callers);
    stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    callers.checkRefusals();
    endingCalls.check(maxEndsByCall);
    for (const auto& node : this->nodes)
        this->checkExit(*node);
    this->report(callers);
    for (const auto& node : this->nodes)
        this->endNode(*node);
    if (this->findings.all().empty() && !this->options.keepLogs)
        Poco::File(this->folder).remove(true);
    else
        std::cout << "  logs: " << this->folder << std::endl;
    return static_cast<int>(this->findings.all().size());
}

} // namespace lovagecross::soak
