#include "lovagecross/soak/SmallDeployment.h"

#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/http/MessageHead.h"
#include "platform/HeaderNames.h"
#include "platform/SampleDocuments.h"

#include <array>
#include <cppunit/TestAssert.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace lovagecross::soak {

namespace {

constexpr Duration startTimeout = std::chrono::seconds(20);
constexpr Duration turnTimeout = std::chrono::seconds(10);
constexpr auto heartbeatInterval = std::chrono::milliseconds(500);
constexpr std::array<const char*, 3> dataCentres { "a", "b", "c" };
constexpr const char* host = "soak.example";

testing::HttpHeaders headersOf(const std::string& id)
{
    return { { "Host", host }, { std::string(platform::requestIdField), id } };
}

// A model engine that answers each turn with one short event.
testing::Script answerTurns(RunLedger& ledger)
{
    return [&ledger](const testing::ScriptedRequest& request, testing::ScriptedConnection& connection) {
        std::string id = request.header(std::string(platform::requestIdField));
        ledger.ran(id);
        HeaderList headers;
        headers.add(platform::requestIdField, id);
        headers.add(platform::signatureField, "crowd");
        headers.add("Transfer-Encoding", "chunked");
        return connection.write(printResponseHead(200, reasonPhrase(200), headers)
            + printChunk("id: 1\ndata: " + eventData(id.substr(0, 16), 1) + "\n\n") + std::string(lastChunk));
    };
}

} // namespace

SmallDeployment::SmallDeployment(DeploymentOptions deploymentOptions)
    : options(std::move(deploymentOptions))
    , harness("/tmp/lovagecross-test." + std::to_string(getpid()) + "/" + this->options.name)
    , modelServer(answerTurns(this->ledger))
{
    this->platform.put("config", "main", platform::sampleConfiguration);
    this->sendHeartbeats();
    for (std::size_t i = 0; i < this->options.recordNodes; ++i) {
        RecordProcess node { "records-" + std::to_string(i), testing::freeAddress(), testing::freeAddress(), {} };
        node.dataFolder = this->harness.directory() + "/" + node.name;
        this->records.push_back(node);
        this->startRecordNode(this->records.back(), true);
    }
    this->startEntry();
    CPPUNIT_ASSERT_MESSAGE("no call is served after the start",
        testing::waitUntil([this] { return this->sendPlainCall("start", turnTimeout).status == 200; }, startTimeout));
    int turns = 0;
    CPPUNIT_ASSERT_MESSAGE("no turn is served after the start",
        this->records.empty()
            || testing::waitUntil(
                [&] {
                    std::string id = "start-" + std::to_string(++turns);
                    return this->sendTurn({ .id = id, .program = id, .input = "hello" }).status == 200;
                },
                startTimeout));
    this->heartbeats = std::thread([this] {
        while (!this->stopping) {
            this->sendHeartbeats();
            std::this_thread::sleep_for(heartbeatInterval);
        }
    });
}

SmallDeployment::~SmallDeployment()
{
    this->stopping = true;
    if (this->heartbeats.joinable())
        this->heartbeats.join();
}

void SmallDeployment::sendHeartbeats()
{
    this->toolServer.heartbeat(this->platform, true);
    this->platform.put("servers", "server-model",
        platform::printServerEntry("model", this->modelServer.address(), "a", true, ++this->modelSequence));
}

std::string SmallDeployment::writeSettings(const std::string& node, const std::string& members) const
{
    std::string file = this->harness.directory() + "/" + node + ".json";
    std::ofstream(file) << R"({"node":")" << node << R"(","platformAddress":")" << this->platformServer.address()
                        << R"(","seeds":[")" << this->entryPeerAddress << R"("],)" << members << "}";
    return file;
}

void SmallDeployment::startEntry()
{
    std::string file = this->writeSettings("entry-0",
        R"("mode":"entry","dataCentre":"a","peerAddress":")" + this->entryPeerAddress + R"(","callerAddress":")"
            + this->callerAddress + R"(","relayAddress":")" + this->relayAddress + R"(","readyAddress":")"
            + this->readyAddress + R"(","readyPath":"/ready","metricsAddress":")" + this->metricsAddress
            + R"(","memoryMegabytes":)" + std::to_string(this->options.entryMegabytes));
    this->entryProcess = &this->harness.start("entry", testing::programPath("lovagecrossd"), { "--config", file });
}

void SmallDeployment::startRecordNode(RecordProcess& node, bool firstStart)
{
    std::filesystem::create_directories(node.dataFolder);
    std::size_t number = static_cast<std::size_t>(&node - this->records.data());
    std::string file = this->writeSettings(node.name,
        R"("mode":"records","dataCentre":")" + std::string(dataCentres[number % dataCentres.size()])
            + R"(","peerAddress":")" + node.peerAddress + R"(","metricsAddress":")" + node.metricsAddress
            + R"(","dataFolder":")" + node.dataFolder + R"(","diskMegabytes":)"
            + std::to_string(this->options.diskMegabytes) + R"(,"memoryMegabytes":)"
            + std::to_string(this->options.recordMegabytes) + R"(,"firstStart":)" + (firstStart ? "true" : "false"));
    node.process = &this->harness.start(node.name, testing::programPath("lovagecrossd"), { "--config", file });
}

void SmallDeployment::restartRecordNodes()
{
    for (RecordProcess& node : this->records)
        node.process->kill();
    for (RecordProcess& node : this->records)
        this->startRecordNode(node, false);
}

void SmallDeployment::wipeRecordNode(std::size_t index)
{
    RecordProcess& node = this->records[index];
    node.process->kill();
    std::filesystem::remove_all(node.dataFolder);
    this->startRecordNode(node, false);
}

testing::HttpAnswer SmallDeployment::sendPlainCall(const std::string& id, Duration timeout) const
{
    return testing::httpRequest("GET", "http://" + this->callerAddress + "/safe/x", {}, headersOf(id), timeout);
}

testing::HttpAnswer SmallDeployment::sendTurn(const TurnCall& turn) const
{
    testing::HttpHeaders headers = headersOf(turn.id);
    headers[std::string(platform::programField)] = turn.program;
    headers[std::string(platform::sessionField)] = turn.program;
    headers[std::string(platform::budgetField)] = "1000000";
    headers[std::string(platform::tokensField)] = "100,20";
    if (!turn.prompt.empty())
        headers[std::string(platform::promptField)] = turn.prompt;
    if (!turn.previous.empty())
        headers[std::string(platform::previousTurnField)] = turn.previous;
    return testing::httpRequest("POST", "http://" + this->callerAddress + "/turns/x", turn.input, headers, turnTimeout);
}

} // namespace lovagecross::soak
