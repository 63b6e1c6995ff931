// Tests several entry nodes together with backend servers that name a rate limit for all of them.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/limits/PermitClient.h"

#include <atomic>

namespace lovagecross {

namespace {

constexpr double namedLimit = 10; // requests per second
constexpr Duration testedTime = std::chrono::seconds(3);
constexpr Duration hearingTime = milliseconds(500); // until a limit that was named counts
constexpr int entryNodes = 3;
// In four seconds a server gets at most one and a half times what it allows, and five requests.
constexpr int mostRequests = static_cast<int>(1.5 * namedLimit * 4) + 5;

} // namespace

class LimitedServersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitedServersTest);
    CPPUNIT_TEST(entryNodesTogetherKeepAServersLimit);
    CPPUNIT_TEST_SUITE_END();

    class EntryNode final : public GatewayFixture {
    public:
        EntryNode() { this->setUp(); }
        ~EntryNode() override { this->tearDown(); }

        void use(const std::vector<ServerEntry>& list) { this->directory->replaceServers(list, 1); }
        std::string call(const std::string& id) { return this->sendRequest(get("/safe/", id)); }

    private:
        ServerPermits& permits() override { return this->client; }

        PermitClient client { this->clock };
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
            nodes.push_back(std::make_unique<EntryNode>());
            nodes.back()->use({ entryOf("limited", server), entryOf("other", other) });
        }
        std::vector<std::thread> callers;
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServersTest);

} // namespace lovagecross
