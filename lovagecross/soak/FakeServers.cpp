#include "lovagecross/soak/FakeServers.h"

#include "lovagecross/base/Hash.h"

#include <chrono>
#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr auto plainWork = std::chrono::milliseconds(8);
constexpr auto eventWork = std::chrono::milliseconds(12);

std::string head(const testing::ScriptedRequest& request, const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nX-Lovagecross-Request-Id: " + request.header("X-Lovagecross-Request-Id")
        + "\r\nX-Lovagecross-Server-Signature: soak\r\n" + more + "\r\n";
}

std::string chunk(const std::string& content)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", content.size());
    return size + content + "\r\n";
}

} // namespace

void RunLedger::ran(const std::string& requestId)
{
    std::lock_guard lock(this->mutex);
    ++this->counts[requestId];
}

int RunLedger::runs(const std::string& requestId) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->counts.find(requestId);
    return found == this->counts.end() ? 0 : found->second;
}

std::string eventData(const std::string& requestId, int event)
{
    return requestId + "-" + std::to_string(event);
}

std::string plainAnswer(const std::string& requestId)
{
    return "answer to " + requestId;
}

FakeServer::FakeServer(
    std::string id, std::string serviceName, std::string dataCentreName, RunLedger& runs, Findings& broken)
    : serverId(std::move(id))
    , service(std::move(serviceName))
    , dataCentre(std::move(dataCentreName))
    , ledger(runs)
    , findings(broken)
    , server(std::make_unique<testing::ScriptedServer>(
          [this](const auto& request, auto& connection) { return this->answer(request, connection); }))
    , forwarder(std::make_unique<testing::TcpForwarder>(this->server->address()))
{
}

void FakeServer::heartbeat(FakePlatform& platform, bool ready)
{
    platform.put("servers", this->serverId,
        "{\"service\":\"" + this->service + "\",\"address\":\"" + this->forwarder->address() + "\",\"zone\":\""
            + this->dataCentre + "\",\"slots\":16,\"state\":\"" + (ready ? "ready" : "draining")
            + "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(++this->sequence) + '}');
}

bool FakeServer::answer(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    std::string requestId = request.header("X-Lovagecross-Request-Id");
    if (request.header("X-Lovagecross-Target-Instance") != this->serverId)
        return connection.write(
            "HTTP/1.1 421 Misdirected\r\nX-Lovagecross-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n");
    this->ledger.ran(requestId);
    if (this->service == "model")
        return this->stream(request, connection);
    std::this_thread::sleep_for(plainWork);
    std::string body = plainAnswer(requestId);
    return connection.write(head(request, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
}

bool FakeServer::stream(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    std::string requestId = request.header("X-Lovagecross-Request-Id");
    std::string expected = request.header("X-Soak-Body-Hash");
    if (!expected.empty() && expected != std::to_string(stableHash(request.body)))
        this->findings.add("conversation", "request " + requestId + " carries another conversation: " + request.body);
    std::string after = request.header("Last-Event-Id");
    if (!connection.write(head(request, "Transfer-Encoding: chunked\r\n")))
        return false;
    for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= eventsPerTurn; ++event) {
        std::this_thread::sleep_for(eventWork);
        if (!connection.write(
                chunk("id: " + std::to_string(event) + "\ndata: " + eventData(requestId, event) + "\n\n")))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

} // namespace lovagecross::soak
