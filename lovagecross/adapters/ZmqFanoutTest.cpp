// Requests to several nodes of which not all answers are awaited.

#include "lovagecross/adapters/ZmqPeers.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

class ConfigHandler final : public PeerHandler {
public:
    PeerAnswer handlePeerRequest(const PeerRequest&, const ChunkSink&) override
    {
        std::this_thread::sleep_for(this->delay);
        return ConfigDocument { 1, "{}" };
    }

    Duration delay { 0 };
};

struct Node {
    explicit Node(ZmqPeersSettings settings, Duration delay)
    {
        this->handler.delay = delay;
        settings.bindAddress = "127.0.0.1:0";
        this->peers = std::make_unique<ZmqPeers>(settings, this->counters);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->peers->start(this->handler));
    }
    ~Node() { this->peers->stop(); }

    Counters counters;
    ConfigHandler handler;
    std::unique_ptr<ZmqPeers> peers;
};

} // namespace

class ZmqFanoutTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZmqFanoutTest);
    CPPUNIT_TEST(answersThatAreNotAwaitedLeaveNoTrace);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a node that rejects its own requests, and takes others for unreachable, because requests of which
    // the other answers were enough stay in flight for two seconds after they are answered.
    void answersThatAreNotAwaitedLeaveNoTrace()
    {
        constexpr std::size_t maxInFlight = 20;
        ZmqPeersSettings settings;
        settings.maxRequestsInFlight = maxInFlight;
        Node requester(settings, Duration(0));
        Node fast({}, Duration(0));
        Node slow({}, milliseconds(3));
        const std::vector<std::string> addresses { fast.peers->boundAddress(), slow.peers->boundAddress() };
        auto anyAnswer = [](const std::vector<const PeerResult*>& arrived) {
            return std::any_of(
                arrived.begin(), arrived.end(), [](const PeerResult* result) { return result != nullptr; });
        };
        for (std::size_t i = 0; i < 5 * maxInFlight; ++i) {
            auto results = requester.peers->requestAll(
                addresses, ConfigFetch {}, Fanout { std::chrono::seconds(10) }, anyAnswer);
            CPPUNIT_ASSERT_MESSAGE("round " + std::to_string(i),
                results[0].status == PeerStatus::Ok || results[1].status == PeerStatus::Ok);
            std::this_thread::sleep_for(milliseconds(4)); // the slow one answers meanwhile
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), requester.counters.counter("peers.rejected").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZmqFanoutTest);

} // namespace lovagecross
