// Conversations that one program begins and another one continues, as after a final fault. The consumers of one zone
// then move to another zone. Turns that continue a turn that was answered a moment ago must still reach a server.
#include "../common/Harness.h"

using namespace review;

namespace {

constexpr int conversations = 40; // half of them move: a share of 0.5
constexpr long retentionMs = 4000;
constexpr long turnIntervalMs = 1500;
constexpr long continuedForMs = 78000;
constexpr int tries = 6;
constexpr long tryIntervalMs = 300;

const char* const configuration = R"({"version":7,"routes":[
{"name":"artwork-chat","host":"agents.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":4000,
"target_latency_ms":500,"priority":2,"service":"models","max_attempts":2,"stateful":true,"retention_s":4.0,
"sticky":true,"resumable":false,"target_gap_ms":200}],
"services":[{"name":"models","health_path":"/health","max_connections":210,"protocol":"h1","tls":false,
"engine":{"slots":24,"kv_tokens":274490,"tokens_per_event":4}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Conversation {
    std::string lastTurn;
    Clock::time_point lastAnsweredAt;
    int turns = 0;
    bool failed = false;
    int triesInTime = 0; // of the last turn, while the turn that it names was answered less than retention_s ago
    bool reachedServer = false;
    std::string statuses;
};

Answer sendTurn(int port, const std::string& id, const std::string& program, const std::string& previous)
{
    std::vector<std::pair<std::string, std::string>> fields { { "X-Lovagecross-Request-Id", id },
        { "X-Lovagecross-Program-Id", program }, { "X-Lovagecross-Session-Id", program + "-line" },
        { "X-Lovagecross-Program-Deadline-Ms", "120000" }, { "X-Lovagecross-Token-Budget", "100000" },
        { "X-Lovagecross-Token-Usage", "100,16" }, { "X-Lovagecross-Model", "m" } };
    if (!previous.empty())
        fields.emplace_back("X-Lovagecross-Previous-Turn", previous);
    Answer answer = send(port, "POST", "/chat/turn", fields, "input of " + id + "\n", 2000);
    record.line("program " + program + " turn " + id + (previous.empty() ? "" : " after " + previous) + ": "
        + std::to_string(answer.status) + (answer.complete ? " whole" : " not whole") + ", "
        + std::to_string(answer.events()) + " events");
    return answer;
}

bool sendNext(Conversation& conversation, int port, const std::string& program)
{
    std::string id = newId("turn");
    for (int attempt = 0; attempt < 3; ++attempt) {
        if (sendTurn(port, id, program, conversation.lastTurn).success()) {
            conversation.lastTurn = id;
            conversation.lastAnsweredAt = Clock::now();
            ++conversation.turns;
            return true;
        }
        sleepMs(100);
        id = newId("turn");
    }
    conversation.failed = true;
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    Case test(argc, argv);
    Store store;
    Ledger ledger;
    if (!store.start(0))
        return test.finish(2, "the store can't listen");
    store.put("config", "main", configuration);
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 6; ++i) {
        std::string zone = std::string("zone-") + static_cast<char>('a' + i % 3);
        servers.push_back(std::make_unique<Server>(
            Server::Options { "i-model" + std::to_string(i), "models", zone, "/chat/" }, ledger));
        if (!servers.back()->start())
            return test.finish(2, "a server can't listen");
        servers.back()->heartbeat(store);
    }
    Heartbeats heartbeats(servers, store);
    Deployment deployment(test.repository, test.folder, store);
    for (const char* name : { "a1", "a2", "b1", "b2", "c1", "c2" })
        deployment.add(std::string("storage-") + name, std::string("zone-") + name[0], true);
    Node& home = deployment.add("frontend-a", "zone-a", false);
    Node& away = deployment.add("frontend-b", "zone-b", false);
    for (auto& node : deployment.nodes)
        deployment.start(*node, true);
    bool started = deployment.waitUntil(
        [&] { return deployment.rosterEpoch() >= 6 && deployment.ready(home) && deployment.ready(away); }, 15000);
    if (!started)
        return test.finish(2, "the deployment did not start");
    sleepMs(10000 - std::min(10000L, sinceStartMs())); // traffic starts 10 s after the machines do

    std::vector<Conversation> all(conversations);
    std::vector<std::thread> callers;
    for (int i = 0; i < conversations; ++i) {
        callers.emplace_back([&, i] {
            Conversation& conversation = all[i];
            std::string name = std::to_string(i);
            auto end = Clock::now() + milliseconds(continuedForMs);
            if (!sendNext(conversation, home.callerPort, "beginner" + name))
                return;
            while (Clock::now() < end) {
                sleepMs(turnIntervalMs);
                if (!sendNext(conversation, home.callerPort, "follower" + name))
                    return;
            }
            // With the disruption, half of the consumers have moved to the other zone.
            bool moves = test.withTrouble && i % 2 == 1;
            int port = moves ? away.callerPort : home.callerPort;
            for (int attempt = 0; attempt < tries && !conversation.reachedServer; ++attempt) {
                std::string id = newId("turn");
                Answer answer = sendTurn(port, id, "follower" + name, conversation.lastTurn);
                bool inTime = Clock::now() - conversation.lastAnsweredAt < milliseconds(retentionMs);
                conversation.triesInTime += inTime ? 1 : 0;
                conversation.statuses += ' ' + std::to_string(answer.status);
                for (const Run& run : ledger.all())
                    conversation.reachedServer = conversation.reachedServer || run.request == id;
                sleepMs(tryIntervalMs);
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    int firstTurns = 0;
    for (int i = 0; i < 20; ++i)
        firstTurns += sendTurn(away.callerPort, newId("first"), "new" + std::to_string(i), "").success() ? 1 : 0;
    if (firstTurns < 18)
        return test.finish(2, "first turns are not served");
    int broken = 0;
    for (int i = 0; i < conversations; ++i) {
        const Conversation& conversation = all[i];
        if (conversation.failed)
            return test.finish(2, "conversation " + std::to_string(i) + " broke off before the consumers moved");
        record.line("conversation " + std::to_string(i) + ": " + std::to_string(conversation.turns) + " turns, then"
            + conversation.statuses);
        if (conversation.reachedServer || conversation.triesInTime < 5)
            continue;
        ++broken;
        record.line("LOST: conversation " + std::to_string(i) + ": the turn after " + conversation.lastTurn
            + " reached no server in " + std::to_string(conversation.triesInTime) + " tries");
    }
    return test.finish(broken > 0 ? 1 : 0,
        std::to_string(broken) + " of " + std::to_string(conversations)
            + " conversations could not be continued after the consumers had moved");
}
