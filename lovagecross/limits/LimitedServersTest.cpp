// Tests several entry nodes together with backend servers that name a rate limit for all of them.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/limits/IssuerNetwork.h"
#include "lovagecross/limits/PermitClient.h"

#include <atomic>

namespace lovagecross {

namespace {

constexpr double namedLimit = 10; // requests per second
constexpr Duration testedTime = std::chrono::seconds(3);
constexpr Duration hearingTime = milliseconds(500); // until a limit that was named counts
constexpr int entryNodes = 3;
constexpr int issuerNodes = 3;
// In four seconds a server gets at most one and a half times what it allows, and five requests.
constexpr int mostRequests = static_cast<int>(1.5 * namedLimit * 4) + 5;

} // namespace

class LimitedServersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitedServersTest);
    CPPUNIT_TEST(entryNodesTogetherKeepAServersLimit);
    CPPUNIT_TEST(callIsRefusedAtOnceIfEveryServerIsAtItsLimit);
    CPPUNIT_TEST(streamThatHasBegunWaitsForAPermit);
    CPPUNIT_TEST_SUITE_END();

    class EntryNode final : public GatewayFixture {
    public:
        explicit EntryNode(IssuerNetwork& network)
            : client(
                this->clock, network, [&network](const std::string&) { return network.addresses(); }, this->counters)
        {
            this->setUp();
        }
        ~EntryNode() override { this->tearDown(); }

        void use(const std::vector<ServerEntry>& list) { this->directory->replaceServers(list, 1); }
        std::string call(const std::string& id) { return this->sendRequest(get("/safe/", id)); }
        std::string stream(const std::string& id) { return this->sendRequest(post("/stream/", id, "x")); }

    private:
        ServerPermits& permits() override { return this->client; }

        PermitClient client;
    };

    static ServerEntry entryOf(const std::string& id, const ScriptedServer& server)
    {
        ServerEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = server.address();
        entry.dataCentre = "a";
        entry.slots = 8;
        return entry;
    }

    // A backend server in need got many times the rate that it had named, because each entry node ignored the limit or
    // kept the whole of it for itself. Calls that don't fit go to another server.
    void entryNodesTogetherKeepAServersLimit()
    {
        SystemClock clock;
        IssuerNetwork network(clock, issuerNodes);
        TimePoint start = clock.now();
        std::atomic<int> limited { 0 };
        std::atomic<int> others { 0 };
        ScriptedServer server([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            if (clock.now() - start > hearingTime)
                ++limited;
            std::string answer = signedResponse(request, "x");
            return connection.write(answer.insert(answer.find("Signed"), "Limit: 10\r\n"));
        });
        ScriptedServer other([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            ++others;
            return connection.write(signedResponse(request, "x"));
        });
        std::vector<std::unique_ptr<EntryNode>> nodes;
        for (int i = 0; i < entryNodes; ++i) {
            nodes.push_back(std::make_unique<EntryNode>(network));
            nodes.back()->use({ entryOf("limited", server), entryOf("other", other) });
        }
        std::vector<std::thread> callers;
        callers.reserve(entryNodes);
        std::atomic<int> unserved { 0 };
        for (int i = 0; i < entryNodes; ++i) {
            callers.emplace_back([&, i] {
                for (int n = 0; clock.now() - start < testedTime; ++n) {
                    std::string response = nodes[i]->call("r" + std::to_string(i) + '-' + std::to_string(n));
                    unserved += contains(response, "HTTP/1.1 200 OK") ? 0 : 1;
                    std::this_thread::sleep_for(milliseconds(10));
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(0, unserved.load());
        CPPUNIT_ASSERT_MESSAGE("got " + std::to_string(limited), limited <= mostRequests);
        CPPUNIT_ASSERT_MESSAGE("others got " + std::to_string(others), others > limited);
    }

    static std::string withLimit(std::string answer, const std::string& limit)
    {
        return answer.insert(answer.find("Signed"), "Limit: " + limit + "\r\n");
    }

    // A call that no server may take was held until its deadline, or refused with a time at which nothing was to be
    // had.
    void callIsRefusedAtOnceIfEveryServerIsAtItsLimit()
    {
        SystemClock clock;
        IssuerNetwork network(clock, issuerNodes);
        ScriptedServer server([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(withLimit(signedResponse(request, "x"), "3"));
        });
        EntryNode node(network);
        node.use({ entryOf("limited", server) });
        CPPUNIT_ASSERT(contains(node.call("r1"), "HTTP/1.1 200 OK"));
        TimePoint start = clock.now();
        std::string refusal = node.call("r2");
        CPPUNIT_ASSERT_MESSAGE(refusal, contains(refusal, "HTTP/1.1 503 "));
        CPPUNIT_ASSERT(clock.now() - start < milliseconds(200));
        std::size_t at = refusal.find("Retry-After: ");
        CPPUNIT_ASSERT_MESSAGE(refusal, at != std::string::npos);
        double seconds = std::stod(refusal.substr(at + 13));
        CPPUNIT_ASSERT_MESSAGE(refusal, seconds > 0.1 && seconds <= 1.0);
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds + 0.1));
        CPPUNIT_ASSERT(contains(node.call("r3"), "HTTP/1.1 200 OK"));
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    // A stream whose server failed was broken off although another server could have continued it a moment later.
    void streamThatHasBegunWaitsForAPermit()
    {
        SystemClock clock;
        IssuerNetwork network(clock, issuerNodes);
        std::atomic<bool> fail { false };
        Script script = [&](const ScriptedRequest& request, ScriptedConnection& connection) {
            bool resumed = !request.header("Last-Event-Id").empty();
            std::string events = resumed || !fail ? event(resumed ? 2 : 1) : event(1);
            std::string chunk = printChunk(events);
            connection.write(withLimit(streamHead(request), "6") + chunk);
            if (!resumed && fail)
                return false;
            return connection.write("0\r\n\r\n");
        };
        ScriptedServer first(script);
        ScriptedServer second(script);
        EntryNode node(network);
        node.use({ entryOf("s1", first), entryOf("s2", second) });
        for (int i = 0; i < 20 && (first.requests() == 0 || second.requests() == 0); ++i) {
            node.stream("warm" + std::to_string(i));
            std::this_thread::sleep_for(milliseconds(60));
        }
        fail = true;
        std::string response;
        for (int i = 0; i < 20 && !contains(response, "200 OK"); ++i) {
            std::this_thread::sleep_for(milliseconds(40));
            response = node.stream("r" + std::to_string(i));
        }
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: e1\n") && contains(response, "data: e2\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "0\r\n\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServersTest);

} // namespace lovagecross
