#include "lovagecross/testing/Cluster.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>
#include <unistd.h>

namespace lovagecross::testing {

namespace {

constexpr Duration startTimeout = std::chrono::seconds(20);

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

void require(bool condition, const std::string& what)
{
    if (!condition)
        throw std::runtime_error(what);
}

} // namespace

std::string jsonString(const std::string& json, const std::string& name)
{
    std::string start = "\"" + name + "\":\"";
    std::size_t begin = json.find(start);
    if (begin == std::string::npos)
        return {};
    begin += start.size();
    return json.substr(begin, json.find('"', begin) - begin);
}

std::uint64_t jsonNumber(const std::string& json, const std::string& name)
{
    std::string start = "\"" + name + "\":";
    std::size_t begin = json.find(start);
    return begin == std::string::npos ? 0 : std::strtoull(json.c_str() + begin + start.size(), nullptr, 10);
}

std::size_t countOccurrences(const std::string& text, const std::string& piece)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(piece); at != std::string::npos; at = text.find(piece, at + piece.size()))
        ++count;
    return count;
}

Cluster::Cluster(const std::string& name, ClusterOptions clusterOptions)
    : options(std::move(clusterOptions))
    , harness("/tmp/lovagecross-test." + std::to_string(getpid()) + "/" + name)
{
    this->platformProcess
        = &this->harness.start("platform", programPath("standin-platform"), { "--address", freeAddress() });
    this->toolProcess = &this->harness.start("tool", programPath("standin-tool"), { "--address", freeAddress() });
    for (std::size_t i = 0; i < this->options.engines.size(); ++i) {
        this->engineAddresses.push_back(freeAddress());
        this->engineProcesses.push_back(nullptr);
        this->restartEngine(i);
    }
    require(this->platformProcess->waitForReady(startTimeout), "the platform did not start");
    require(this->toolProcess->waitForReady(startTimeout), "the tool service did not start");
    if (!this->options.forwardedDataCentre.empty())
        this->forwarder = std::make_unique<TcpForwarder>(this->platformProcess->readyAddress());
    this->startNodes();
    if (this->options.applyConfiguration) {
        HttpAnswer applied = this->applyConfiguration(0, 0, this->configurationJson());
        require(applied.status == 200, "configuration refused: " + applied.body);
    }
    this->waitForShards();
}

void Cluster::restartEngine(std::size_t index)
{
    std::vector<std::string> arguments { "--address", this->engineAddresses[index], "--models", "m1" };
    arguments.insert(arguments.end(), this->options.engineArguments.begin(), this->options.engineArguments.end());
    this->engineProcesses[index]
        = &this->harness.start("engine" + std::to_string(index), programPath("standin-engine"), arguments);
    require(this->engineProcesses[index]->waitForReady(startTimeout), "an engine did not start");
}

void Cluster::startNodes()
{
    std::string seed = freeAddress();
    for (std::size_t i = 0; i < this->options.nodes.size(); ++i) {
        NodeProcess entry;
        entry.name = "node" + std::to_string(i);
        entry.dataCentre = this->options.nodes[i];
        entry.callerAddress = freeAddress();
        entry.adminAddress = freeAddress();
        entry.settingsFile = this->harness.directory() + "/" + entry.name + ".json";
        std::string peerAddress = i == 0 ? seed : freeAddress();
        bool forwarded = entry.dataCentre == this->options.forwardedDataCentre;
        std::ofstream(entry.settingsFile)
            << "{" << this->options.extraSettings << "\"node\":" << quoted(entry.name)
            << ",\"dataCentre\":" << quoted(entry.dataCentre) << ",\"callerAddress\":" << quoted(entry.callerAddress)
            << ",\"adminAddress\":" << quoted(entry.adminAddress) << ",\"peerAddress\":" << quoted(peerAddress)
            << ",\"platformAddress\":"
            << quoted(forwarded ? this->forwarder->address() : this->platformProcess->readyAddress()) << ",\"seeds\":["
            << quoted(seed) << "],\"shards\":" << this->options.shards << this->intervalSettings() << "}";
        this->nodes.push_back(entry);
    }
    for (NodeProcess& node : this->nodes)
        this->startNode(node);
}

std::string Cluster::intervalSettings() const
{
    if (this->options.defaultIntervals)
        return {};
    return ",\"leaseMillis\":" + std::to_string(this->options.leaseMillis)
        + ",\"promiseIntervalMillis\":" + std::to_string(this->options.leaseMillis / 5)
        + ",\"horizonMillis\":" + std::to_string(this->options.horizonMillis)
        + ",\"minCommitIntervalMillis\":" + std::to_string(this->options.minCommitIntervalMillis)
        + ",\"gossipIntervalMillis\":200,\"configPollMillis\":" + std::to_string(this->options.configPollMillis)
        + ",\"streamProgressMillis\":1000"
          ",\"auditIntervalMillis\":1000,\"bridgeFetchMillis\":5000";
}

void Cluster::startNode(NodeProcess& entry)
{
    entry.process = &this->harness.start(entry.name, programPath("lovagecrossd"), { "--config", entry.settingsFile });
    require(entry.process->waitForReady(startTimeout), entry.name + " did not start");
}

void Cluster::restartNode(std::size_t index)
{
    this->startNode(this->nodes[index]);
}

void Cluster::waitForShards()
{
    std::set<std::string> dataCentres(this->options.nodes.begin(), this->options.nodes.end());
    auto complete = [&] {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            std::string view = httpRequest("GET", this->adminUrl(i) + "/admin/nodes").body;
            // Every node sees every shard of every data centre held, and every node.
            if (countOccurrences(view, "\"index\":") != dataCentres.size() * this->options.shards
                || countOccurrences(view, "\"alive\"") != this->nodes.size())
                return false;
            if (this->options.applyConfiguration && this->configurationVersion(i) == 0)
                return false;
        }
        return true;
    };
    require(waitUntil(complete, this->options.startTimeout),
        "the cluster did not become complete; logs in " + this->harness.directory());
}

void Cluster::platformFaults(const std::string& json)
{
    HttpAnswer answer = httpRequest("POST", this->platformUrl() + "/control/faults", json);
    require(answer.status == 200 || answer.status == 204, "platform faults refused: " + answer.body);
}

void Cluster::engineFaults(std::size_t index, const std::string& json)
{
    HttpAnswer answer = httpRequest("POST", this->engineUrl(index) + "/control/faults", json);
    require(answer.status == 200 || answer.status == 204, "engine faults refused: " + answer.body);
}

void Cluster::toolFaults(const std::string& json)
{
    HttpAnswer answer = httpRequest("POST", this->toolUrl() + "/control/faults", json);
    require(answer.status == 200 || answer.status == 204, "tool faults refused: " + answer.body);
}

std::uint64_t Cluster::toolRuns()
{
    return jsonNumber(httpRequest("GET", this->toolUrl() + "/control/runs").body, "total");
}

std::uint64_t Cluster::toolRuns(const std::string& callId)
{
    std::string runs = httpRequest("GET", this->toolUrl() + "/control/runs").body;
    std::size_t at = runs.find(quoted(callId));
    if (at == std::string::npos)
        return 0;
    std::size_t begin = runs.rfind('{', at);
    return jsonNumber(runs.substr(begin, runs.find('}', at) - begin), "count");
}

std::string Cluster::createProgram(std::size_t node, const std::string& requestId, std::uint64_t budgetTokens,
    const std::string& rank, const HttpHeaders& headers)
{
    HttpHeaders all = headers;
    all["X-Lovagecross-Request-Id"] = requestId;
    std::string body = "{\"rank\":" + quoted(rank) + ",\"budget\":{\"tokens\":" + std::to_string(budgetTokens)
        + "},\"maxTurns\":100000}";
    HttpAnswer answer
        = httpRequest("POST", this->callerUrl(node) + "/v1/programs", body, all, std::chrono::seconds(30));
    require(answer.status == 201, "program not created: " + answer.body + answer.error);
    return jsonString(answer.body, "id");
}

HttpAnswer Cluster::chat(std::size_t node, const std::string& program, const std::string& requestId,
    const std::string& text, std::uint32_t maxTokens, const HttpHeaders& headers)
{
    HttpHeaders all = headers;
    all["X-Lovagecross-Request-Id"] = requestId;
    all["X-Lovagecross-Program"] = program;
    std::string body = "{\"model\":\"m1\",\"max_tokens\":" + std::to_string(maxTokens)
        + ",\"messages\":[{\"role\":\"user\",\"content\":" + quoted(text) + "}]}";
    return httpRequest("POST", this->callerUrl(node) + "/v1/chat/completions", body, all, std::chrono::seconds(40));
}

HttpAnswer Cluster::chatStream(std::size_t node, const std::string& program, const std::string& requestId,
    const std::string& text, std::uint32_t maxTokens, const std::function<bool(std::string_view)>& onChunk)
{
    HttpHeaders headers { { "X-Lovagecross-Request-Id", requestId }, { "X-Lovagecross-Program", program } };
    std::string body = "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":" + std::to_string(maxTokens)
        + ",\"messages\":[{\"role\":\"user\",\"content\":" + quoted(text) + "}]}";
    return httpStream(
        "POST", this->callerUrl(node) + "/v1/chat/completions", body, headers, std::chrono::seconds(40), onChunk);
}

HttpAnswer Cluster::callTool(std::size_t node, const std::string& program, const std::string& requestId,
    const std::string& bodyJson, bool idempotent, const HttpHeaders& headers)
{
    HttpHeaders all = headers;
    all["X-Lovagecross-Request-Id"] = requestId;
    all["X-Lovagecross-Program"] = program;
    std::string body = std::string("{\"service\":\"tools\",\"operation\":\"order\",\"idempotent\":")
        + (idempotent ? "true" : "false") + ",\"body\":" + bodyJson + "}";
    return httpRequest("POST", this->callerUrl(node) + "/v1/calls", body, all, std::chrono::seconds(40));
}

HttpAnswer Cluster::get(std::size_t node, const std::string& path, const HttpHeaders& headers)
{
    return httpRequest("GET", this->callerUrl(node) + path, {}, headers, std::chrono::seconds(30));
}

HttpAnswer Cluster::endProgram(std::size_t node, const std::string& program)
{
    return httpRequest("DELETE", this->callerUrl(node) + "/v1/programs/" + program, {}, {}, std::chrono::seconds(30));
}

std::optional<std::size_t> Cluster::ownerOf(const std::string& program)
{
    std::string dataCentre = program.substr(0, program.find('-'));
    std::string shard = dataCentre + "/" + program.substr(dataCentre.size() + 1, 2);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].dataCentre != dataCentre || !this->nodes[i].process->running())
            continue;
        std::string leases
            = httpRequest("GET", this->adminUrl(i) + "/admin/leases", {}, {}, std::chrono::seconds(1)).body;
        std::size_t at = leases.find(quoted(shard));
        if (at == std::string::npos)
            continue;
        std::size_t begin = leases.rfind('{', at);
        std::string entry = leases.substr(begin, leases.find('}', at) - begin);
        if (entry.find("\"serving\":true") != std::string::npos)
            return i;
    }
    return std::nullopt;
}

std::size_t Cluster::waitForOwner(const std::string& program, Duration timeout, std::optional<std::size_t> excluded)
{
    std::optional<std::size_t> owner;
    bool found = waitUntil(
        [&] {
            owner = this->ownerOf(program);
            return owner && owner != excluded;
        },
        timeout);
    require(found, "no new owner; logs in " + this->harness.directory());
    return *owner;
}

std::string Cluster::leaseEntry(const std::string& program)
{
    std::string dataCentre = program.substr(0, program.find('-'));
    std::string shard = dataCentre + "/" + program.substr(dataCentre.size() + 1, 2);
    std::optional<std::size_t> owner = this->ownerOf(program);
    if (!owner)
        return {};
    std::string leases = httpRequest("GET", this->adminUrl(*owner) + "/admin/leases").body;
    std::size_t at = leases.find(quoted(shard));
    if (at == std::string::npos)
        return {};
    std::size_t begin = leases.rfind('{', at);
    return leases.substr(begin, leases.find('}', at) - begin);
}

std::optional<std::size_t> Cluster::standbyOf(const std::string& program)
{
    std::string name = jsonString(this->leaseEntry(program), "standby");
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].name == name)
            return i;
    }
    return std::nullopt;
}

bool Cluster::waitForStandby(const std::string& program, Duration timeout)
{
    return waitUntil(
        [&] {
            std::string entry = this->leaseEntry(program);
            return !jsonString(entry, "standby").empty() && jsonNumber(entry, "authorityMs") > 0;
        },
        timeout);
}

std::uint64_t Cluster::counter(std::size_t node, const std::string& name)
{
    return jsonNumber(httpRequest("GET", this->adminUrl(node) + "/admin/counters").body, name);
}

std::string Cluster::configurationJson(const std::string& leavingEngine) const
{
    std::string servers;
    for (std::size_t i = 0; i < this->engineAddresses.size(); ++i) {
        std::string name = "engine" + std::to_string(i);
        servers += "{\"name\":" + quoted(name) + ",\"kind\":\"model\",\"address\":" + quoted(this->engineAddresses[i])
            + ",\"dataCentre\":" + quoted(this->options.engines[i])
            + (this->options.engineSlots > 0 ? ",\"slots\":" + std::to_string(this->options.engineSlots) : "")
            + ",\"models\":[\"m1\"],\"leaving\":" + (leavingEngine == name ? "true" : "false") + "},";
    }
    return "{\"ranks\":" + this->options.ranksJson + ",\"tenants\":" + this->options.tenantsJson
        + ",\"backendServers\":[" + servers
        + "{\"name\":\"tool0\",\"kind\":\"service\",\"service\":\"tools\",\"address\":"
        + quoted(this->toolProcess->readyAddress()) + ",\"dataCentre\":" + quoted(this->options.nodes.front())
        + ",\"costTokens\":5}]}";
}

HttpAnswer Cluster::applyConfiguration(std::size_t node, std::uint64_t baseVersion, const std::string& json)
{
    return httpRequest("PUT", this->adminUrl(node) + "/admin/config",
        "{\"baseVersion\":" + std::to_string(baseVersion) + ",\"config\":" + json + "}");
}

std::uint64_t Cluster::configurationVersion(std::size_t node)
{
    return jsonNumber(httpRequest("GET", this->adminUrl(node) + "/admin/config").body, "version");
}

} // namespace lovagecross::testing
