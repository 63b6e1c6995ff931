#include "lovagecross/soak/FakeServers.h"

#include "lovagecross/base/Hash.h"
#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/http/MessageHead.h"
#include "platform/HeaderNames.h"
#include "platform/SampleDocuments.h"

#include <chrono>
#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr auto plainWork = std::chrono::milliseconds(8);
constexpr auto eventWork = std::chrono::milliseconds(12);
constexpr auto pauseSpacing = std::chrono::milliseconds(500);
constexpr auto pausePollInterval = std::chrono::milliseconds(2);
constexpr auto timeToEnd = std::chrono::milliseconds(50); // from the start of a call to the end of its server
constexpr auto timeToRestart = std::chrono::milliseconds(2500);

std::int64_t unixMillis()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string requestIdOf(const testing::ScriptedRequest& request)
{
    return request.header(std::string(platform::requestIdField));
}

std::string head(const testing::ScriptedRequest& request, std::string_view framingField, std::string_view framing)
{
    HeaderList headers;
    headers.add(platform::requestIdField, requestIdOf(request));
    headers.add(platform::signatureField, "soak");
    headers.add(framingField, framing);
    return printResponseHead(200, reasonPhrase(200), headers);
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

void RunLedger::endingCallRan(const std::string& call)
{
    std::lock_guard lock(this->mutex);
    this->runsOfCalls[call].push_back(std::chrono::steady_clock::now());
}

void RunLedger::endedServer(const std::string& call)
{
    std::lock_guard lock(this->mutex);
    this->endsByCall[call].push_back(std::chrono::steady_clock::now());
}

std::vector<RunLedger::TimePoint> RunLedger::endingRuns(const std::string& call) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->runsOfCalls.find(call);
    return found == this->runsOfCalls.end() ? std::vector<TimePoint>() : found->second;
}

std::vector<RunLedger::TimePoint> RunLedger::ends(const std::string& call) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->endsByCall.find(call);
    return found == this->endsByCall.end() ? std::vector<TimePoint>() : found->second;
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
    , startedUnixMillis(unixMillis())
    , server(std::make_unique<testing::ScriptedServer>(
          [this](const auto& request, auto& connection) { return this->answer(request, connection); }))
    , forwarder(std::make_unique<testing::TcpForwarder>(this->server->address()))
{
}

void FakeServer::heartbeat(FakePlatform& platform, bool ready)
{
    if (this->ended) {
        if (std::chrono::steady_clock::now() < this->backAt.load())
            return;
        this->startedUnixMillis = unixMillis();
        this->sequence = 0;
        this->forwarder->set(testing::ForwarderState::Open);
        this->ended = false;
    }
    platform.put("servers", this->serverId,
        platform::printServerEntry(this->service, this->forwarder->address(), this->dataCentre, ready, ++this->sequence,
            this->startedUnixMillis));
}

void FakeServer::end()
{
    if (this->ended.exchange(true))
        return;
    this->backAt = std::chrono::steady_clock::now() + timeToRestart;
    this->forwarder->set(testing::ForwarderState::Refused);
}

void FakeServer::pauseInNextStream(std::chrono::milliseconds time)
{
    this->nextPause = time;
}

void FakeServer::pauseIfDue()
{
    auto time = this->nextPause.exchange(std::chrono::milliseconds(0));
    auto now = std::chrono::steady_clock::now();
    if (time.count() > 0 && now > this->pausedUntil.load() + pauseSpacing)
        this->pausedUntil = now + time;
}

bool FakeServer::write(testing::ScriptedConnection& connection, const std::string& bytes) const
{
    while (std::chrono::steady_clock::now() < this->pausedUntil.load())
        std::this_thread::sleep_for(pausePollInterval);
    return connection.write(bytes);
}

bool FakeServer::answer(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    std::string requestId = requestIdOf(request);
    if (request.header(std::string(platform::targetServerField)) != this->serverId) {
        HeaderList headers;
        headers.add(platform::requestIdField, requestId);
        headers.add("Content-Length", "0");
        return this->write(connection, printResponseHead(421, reasonPhrase(421), headers));
    }
    this->ledger.ran(requestId);
    if (!request.header(std::string(endsServersField)).empty())
        return this->runEndingCall(request, connection);
    if (this->streams())
        return this->stream(request, connection);
    std::this_thread::sleep_for(plainWork);
    std::string body = plainAnswer(requestId);
    return this->write(connection, head(request, "Content-Length", std::to_string(body.size())) + body);
}

bool FakeServer::runEndingCall(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    std::string call = request.body;
    this->ledger.endingCallRan(call);
    if (request.header(std::string(endsServersField)) == endsInStream) {
        std::string after = request.header(std::string(platform::lastEventField));
        int event = after.empty() ? 1 : std::stoi(after) + 1;
        this->write(connection,
            head(request, "Transfer-Encoding", "chunked")
                + printChunk(
                    "id: " + std::to_string(event) + "\ndata: " + eventData(requestIdOf(request), event) + "\n\n"));
    }
    std::this_thread::sleep_for(timeToEnd);
    if (!this->ended)
        this->ledger.endedServer(call);
    this->end();
    return false;
}

bool FakeServer::stream(const testing::ScriptedRequest& request, testing::ScriptedConnection& connection)
{
    std::string requestId = requestIdOf(request);
    std::string expected = request.header(std::string(bodyHashField));
    if (!expected.empty() && expected != std::to_string(stableHash(request.body)))
        this->findings.add("conversation", "request " + requestId + " carries another conversation: " + request.body);
    std::string after = request.header(std::string(platform::lastEventField));
    if (!this->write(connection, head(request, "Transfer-Encoding", "chunked")))
        return false;
    for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= eventsPerTurn; ++event) {
        std::this_thread::sleep_for(eventWork);
        if (event > 1)
            this->pauseIfDue();
        if (!this->write(connection,
                printChunk("id: " + std::to_string(event) + "\ndata: " + eventData(requestId, event) + "\n\n")))
            return false;
    }
    return this->write(connection, std::string(lastChunk));
}

} // namespace lovagecross::soak
