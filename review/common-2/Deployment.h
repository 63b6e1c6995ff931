#pragma once

// A small deployment for the cases of this review: entry nodes and record nodes as separate processes, each with the
// settings that the deploy file's templates give, the platform's store and backend servers as stand-ins in this
// process.
//
//     Deployment deployment(configuration, 2);   // two entry nodes, three record nodes
//     deployment.addServer("s1", "model", script);
//     deployment.start();
//
// Thread safety: none, except `Record`.

#include "Caller.h"
#include "LinkProxy.h"
#include "Platform.h"

#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/ScriptedServer.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace review2 {

using lovagecross::testing::ChildProcess;
using lovagecross::testing::Script;
using lovagecross::testing::ScriptedConnection;
using lovagecross::testing::ScriptedRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

// Writes lines with the time since the start to `record.txt`, and to standard output.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , startedAt(std::chrono::steady_clock::now())
    {
    }

    void line(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        auto now = std::chrono::steady_clock::now() - this->startedAt;
        std::string stamped
            = std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + " ms  " + text + '\n';
        this->file << stamped << std::flush;
        std::fputs(stamped.c_str(), stdout);
        std::fflush(stdout);
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const std::chrono::steady_clock::time_point startedAt;
};

inline bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct Node {
    std::string name;
    std::string dataCentre;
    bool records = false;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress;
    std::string relayAddress;
    std::string metricsAddress;
    std::string dataFolder;
    std::unique_ptr<LinkProxy> link; // between the other nodes and this one; none: as fast as the machine is
    ChildProcess* process = nullptr;
};

class Deployment {
public:
    Deployment(const std::string& configuration, int entryNodes)
        : folder(makeFolder())
        , harness(folder)
    {
        allowDescriptors();
        this->platform.put("config", "main", configuration);
        constexpr int recordNodes = 3;
        for (int i = 0; i < entryNodes; ++i)
            this->addNode("entry-" + std::to_string(i + 1), i, false);
        for (int i = 0; i < recordNodes; ++i)
            this->addNode("records-" + std::to_string(i + 1), i, true);
    }

    ~Deployment()
    {
        this->stopping = true;
        if (this->heartbeats.joinable())
            this->heartbeats.join();
        for (Node& node : this->nodes)
            this->kill(node);
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(this->folder, ignored);
    }

    void addServer(const std::string& id, const std::string& service, const std::string& dataCentre, Script script)
    {
        this->servers.push_back(std::make_unique<Server>(Server { id, service, dataCentre, unixMillis(), 0,
            std::make_unique<lovagecross::testing::ScriptedServer>(std::move(script)) }));
    }

    // Gives the record nodes links of this speed. Must be called before `start`.
    void limitLinks(double megabitsPerSecond)
    {
        for (Node& node : this->nodes) {
            if (node.records)
                node.link = std::make_unique<LinkProxy>(node.peerAddress, megabitsPerSecond);
        }
    }

    // Starts all nodes, and returns once every entry node says that it is ready.
    void start()
    {
        this->sendHeartbeats();
        this->heartbeats = std::thread([this] {
            auto next = std::chrono::steady_clock::now();
            while (!this->stopping) {
                std::this_thread::sleep_for(milliseconds(50));
                if (std::chrono::steady_clock::now() < next)
                    continue;
                next = std::chrono::steady_clock::now() + milliseconds(1200);
                this->sendHeartbeats();
            }
        });
        for (Node& node : this->nodes)
            this->startNode(node, true);
        for (Node& node : this->nodes) {
            if (!node.records && !this->waitUntilReady(node, seconds(20)))
                throw std::runtime_error(node.name + " did not become ready");
        }
        // Traffic starts 10 s after the machines do; the record nodes form their roster in less.
        std::this_thread::sleep_for(seconds(3));
    }

    // `firstStart` is the platform's `bootstrap`.
    void startNode(Node& node, bool firstStart)
    {
        std::string file = this->folder + '/' + node.name + ".json";
        std::ofstream(file) << this->settingsOf(node, firstStart);
        node.process = &this->harness.start(node.name, this->program, { "--config", file });
    }

    void kill(Node& node)
    {
        if (node.process != nullptr)
            node.process->kill();
        node.process = nullptr;
    }

    bool waitUntilReady(const Node& node, milliseconds time) const
    {
        return lovagecross::testing::waitUntil(
            [&] {
                Caller caller(node.readyAddress);
                caller.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                return caller.read(seconds(1)).status == 200;
            },
            time);
    }

    Node& entry(int number) { return this->nodes.at(static_cast<std::size_t>(number)); }

    std::vector<Node*> recordNodes()
    {
        std::vector<Node*> found;
        for (Node& node : this->nodes) {
            if (node.records)
                found.push_back(&node);
        }
        return found;
    }

    static std::int64_t unixMillis()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<milliseconds>(now).count();
    }

    Platform platform;
    const std::string folder;
    std::uint64_t memoryMegabytes = 130; // of a VM with a disk, on the sheet of the first site
    std::uint64_t diskMegabytes = 360;

private:
    struct Server {
        std::string id;
        std::string service;
        std::string dataCentre;
        std::int64_t startedUnixMillis = 0;
        int sequence = 0;
        std::unique_ptr<lovagecross::testing::ScriptedServer> server;
    };

    // As many descriptors as the sheets give a VM; the nodes inherit the limit.
    static void allowDescriptors()
    {
        constexpr rlim_t wanted = 4100;
        rlimit limit {};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::max(limit.rlim_cur, std::min(wanted, limit.rlim_max));
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }

    static std::string makeFolder()
    {
        const char* base = std::getenv("TMPDIR");
        std::string path = std::string(base != nullptr ? base : "/tmp") + "/lovagecross-review.XXXXXX";
        if (::mkdtemp(path.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        return path;
    }

    void addNode(const std::string& name, int number, bool records)
    {
        constexpr const char* dataCentres[] = { "zone-a", "zone-b", "zone-c" };
        Node node;
        node.name = name;
        node.dataCentre = dataCentres[number % 3];
        node.records = records;
        node.callerAddress = lovagecross::testing::freeAddress();
        node.readyAddress = lovagecross::testing::freeAddress();
        node.peerAddress = lovagecross::testing::freeAddress();
        node.relayAddress = lovagecross::testing::freeAddress();
        node.metricsAddress = lovagecross::testing::freeAddress();
        node.dataFolder = this->folder + '/' + name;
        if (records)
            std::filesystem::create_directories(node.dataFolder);
        this->nodes.push_back(std::move(node));
    }

    // The members and their order are those of deploy/entry.settings.json and deploy/records.settings.json.
    std::string settingsOf(const Node& node, bool firstStart) const
    {
        std::string seeds;
        for (const Node& other : this->nodes) {
            if (!other.records)
                seeds += (seeds.empty() ? "\"" : ",\"") + other.peerAddress + '"';
        }
        std::string text = R"({"mode":")" + std::string(node.records ? "records" : "entry") + R"(","node":")"
            + node.name + R"(","dataCentre":")" + node.dataCentre + '"';
        if (!node.records)
            text += R"(,"callerAddress":")" + node.callerAddress + R"(","readyAddress":")" + node.readyAddress
                + R"(","readyPath":"/api/readiness")";
        text += R"(,"peerAddress":")" + node.peerAddress + '"';
        if (node.link)
            text += R"(,"advertisedAddress":")" + node.link->address() + '"';
        if (!node.records)
            text += R"(,"relayAddress":")" + node.relayAddress + '"';
        text += R"(,"metricsAddress":")" + node.metricsAddress + R"(","platformAddress":")" + this->platform.address()
            + R"(","seeds":[)" + seeds + ']';
        if (node.records)
            text += R"(,"dataFolder":")" + node.dataFolder + R"(","diskMegabytes":)"
                + std::to_string(this->diskMegabytes);
        return text + R"(,"memoryMegabytes":)" + std::to_string(node.records ? this->memoryMegabytes : 110)
            + R"(,"firstStart":)" + (firstStart ? "true" : "false")
            + R"(,"lossMachines":1,"lossDataCentres":1,"graceMillis":8000,"configurationMillis":2000,)"
            + R"("serverDrainMillis":2000})";
    }

    void sendHeartbeats()
    {
        for (const auto& entry : this->servers)
            this->platform.put("servers", entry->id,
                R"({"service":")" + entry->service + R"(","address":")" + entry->server->address() + R"(","zone":")"
                    + entry->dataCentre + R"(","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"born":)"
                    + std::to_string(entry->startedUnixMillis) + R"(,"sequence":)" + std::to_string(++entry->sequence)
                    + '}');
    }

    const std::string program = "target/bin/lovagecrossd"; // as the deploy file's `run` line starts it
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Node> nodes;
    std::atomic<bool> stopping { false };
    std::thread heartbeats;
    lovagecross::testing::ProcessHarness harness; // last but for `servers`' users: its processes end first
};

} // namespace review2
