// Tests entry nodes together with the issuers of permits, on a clock that the tests advance and without a network.

#include "lovagecross/limits/PermitClient.h"
#include "lovagecross/limits/IssuerNetwork.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int issuerNodes = 3;
constexpr Duration step = milliseconds(10);
constexpr Duration window = seconds(4);
constexpr double burstPerIssuer = 1; // permits that a slice saves up at the rates of these tests

} // namespace

class PermitClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitClientTest);
    CPPUNIT_TEST(sumOverAllNodesStaysWithinTheLimit);
    CPPUNIT_TEST(limitHoldsWhileNodesComeGoAndCantHearEachOther);
    CPPUNIT_TEST(exchangedIssuerAddsAtMostItsSlice);
    CPPUNIT_TEST(changesAndTheEndReachAllNodes);
    CPPUNIT_TEST(newNodeLearnsLimitsWithTheServerList);
    CPPUNIT_TEST(nodeWithoutIssuersSendsOnlyTrials);
    CPPUNIT_TEST(deniedNodeDoesNotAskAgainBeforeItsTime);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    IssuerNetwork network { this->clock, issuerNodes };
    Counters counters;
    ServerEntry server;
    std::vector<std::unique_ptr<PermitClient>> clients;
    std::deque<TimePoint> sends; // of the last `window`
    int mostInWindow = 0;
    int total = 0;

public:
    void setUp() override
    {
        this->server.id = "limited";
        this->server.startedUnixMillis = 5;
        this->clock.advance(seconds(100));
    }

private:
    std::unique_ptr<PermitClient> makeClient()
    {
        return std::make_unique<PermitClient>(
            this->clock, this->network, [this](const std::string&) { return this->network.addresses(); },
            this->counters);
    }

    void addClients(int count, double limit)
    {
        for (int i = 0; i < count; ++i) {
            this->clients.push_back(this->makeClient());
            this->clients.back()->observe(this->server, limit, this->clock.now());
        }
    }

    void countSend()
    {
        TimePoint now = this->clock.now();
        ++this->total;
        this->sends.push_back(now);
        while (this->sends.front() <= now - window)
            this->sends.pop_front();
        this->mostInWindow = std::max(this->mostInWindow, static_cast<int>(this->sends.size()));
    }

    // Every client wants to send in each step, and passes on the limit in the answer.
    void runFor(Duration time, std::optional<double> limit)
    {
        for (TimePoint end = this->clock.now() + time; this->clock.now() < end; this->clock.advance(step)) {
            for (auto& client : this->clients) {
                if (!client->outlook({ this->server }).exhausted.empty()
                    || !client->acquire(this->server, this->clock.now() + seconds(1)).granted)
                    continue;
                this->countSend();
                client->observe(this->server, limit, this->clock.now() - milliseconds(1));
            }
        }
    }

    static int mostFor(double limit) { return static_cast<int>(limit * 4 + issuerNodes * burstPerIssuer) + 1; }

    // Many nodes, each with demand above the limit: each kept the whole limit for itself.
    void sumOverAllNodesStaysWithinTheLimit()
    {
        this->addClients(59, 3);
        this->runFor(seconds(30), 3);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->mostInWindow), this->mostInWindow <= mostFor(3));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->total), this->total >= 3 * 30 * 9 / 10); // and it is used
    }

    // Restarts, new nodes, partitions and lost messages: what a node forgets or doesn't hear must not add to the sum.
    void limitHoldsWhileNodesComeGoAndCantHearEachOther()
    {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            std::mt19937 random(seed);
            this->addClients(8, 6);
            for (int change = 0; change < 40; ++change) {
                std::string issuer = "record" + std::to_string(random() % issuerNodes);
                switch (random() % 4) {
                case 0:
                    this->network.setReachable(issuer, false);
                    break;
                case 1:
                    this->network.setReachable(issuer, true);
                    break;
                case 2:
                    this->network.restart(issuer);
                    break;
                default:
                    this->clients[random() % this->clients.size()] = this->makeClient();
                    this->clients.back()->observe(this->server, 6, this->clock.now());
                    break;
                }
                for (auto& client : this->clients)
                    client->learn(this->network.issuer(issuer).limits());
                this->runFor(milliseconds(random() % 900), 6);
            }
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(seed) + ": " + std::to_string(this->mostInWindow), this->mostInWindow <= mostFor(6));
            for (int i = 0; i < issuerNodes; ++i)
                this->network.setReachable("record" + std::to_string(i), true);
            this->clients.clear();
        }
    }

    // While nodes know different rosters, an exchanged record node and its successor may both issue permits.
    void exchangedIssuerAddsAtMostItsSlice()
    {
        this->addClients(4, 6);
        std::vector<std::string> former = this->network.addresses();
        this->network.restart("record9");
        std::vector<std::string> later { former[0], former[1], "record9" };
        for (const auto& issuers : { former, later }) {
            this->clients.push_back(std::make_unique<PermitClient>(
                this->clock, this->network, [issuers](const std::string&) { return issuers; }, this->counters));
            this->clients.back()->observe(this->server, 6, this->clock.now());
        }
        this->runFor(seconds(20), 6);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->mostInWindow), this->mostInWindow <= mostFor(6.0 * 4 / 3) + 1);
    }

    // A server that recovers would be left idle, and one that gets worse would get too much.
    void changesAndTheEndReachAllNodes()
    {
        this->addClients(8, 6);
        this->runFor(seconds(5), 6);
        this->clients[0]->observe(this->server, 1.5, this->clock.now());
        this->sends.clear();
        this->mostInWindow = 0;
        this->runFor(seconds(8), 1.5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->mostInWindow), this->mostInWindow <= mostFor(1.5));
        this->clock.advance(seconds(1));
        this->clients[0]->observe(this->server, std::nullopt, this->clock.now() - milliseconds(1));
        for (auto& client : this->clients) {
            client->learn(this->network.issuer("record2").limits()); // as relayed among the record nodes
            CPPUNIT_ASSERT(client->outlook({ this->server }).limited.empty());
            CPPUNIT_ASSERT(client->acquire(this->server, this->clock.now() + seconds(1)).granted);
        }
    }

    // A node that restarts would send at its usual rate until its first answers.
    void newNodeLearnsLimitsWithTheServerList()
    {
        this->addClients(1, 6);
        this->runFor(seconds(2), 6);
        auto client = this->makeClient();
        CPPUNIT_ASSERT(client->outlook({ this->server }).limited.empty());
        client->learn(this->network.issuer("record1").limits());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), client->outlook({ this->server }).limited.size());
    }

    // A node that is cut off can't know what the others send: anything it allowed itself would add to the sum. It must
    // still find out some time that the limit has ended.
    void nodeWithoutIssuersSendsOnlyTrials()
    {
        this->addClients(1, 6);
        for (int i = 0; i < issuerNodes; ++i)
            this->network.setReachable("record" + std::to_string(i), false);
        this->runFor(PermitClient::staleAfter - seconds(1), 6);
        CPPUNIT_ASSERT_EQUAL(0, this->total);
        this->runFor(seconds(60), 6);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(this->total), this->total >= 2 && this->total <= 4);
    }

    // Asking for each call would cost the record nodes a message for each call of the whole system.
    void deniedNodeDoesNotAskAgainBeforeItsTime()
    {
        this->addClients(1, 0.5);
        CPPUNIT_ASSERT(!this->clients[0]->acquire(this->server, this->clock.now() + seconds(1)).granted);
        int asked = this->network.requests();
        Permit again = this->clients[0]->acquire(this->server, this->clock.now() + seconds(1));
        CPPUNIT_ASSERT(!again.granted && again.retryAfter > Duration(0));
        CPPUNIT_ASSERT_EQUAL(asked, this->network.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitClientTest);

} // namespace lovagecross
