// Contract tests of PeerClient and PeerHandler with ZmqPeers instances that communicate over loopback.
#include "lovagecross/adapters/ZmqPeers.h"
#include "lovagecross/adapters/PeerCodec.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <future>
#include <mutex>
#include <semaphore>
#include <thread>
#include <zmq.hpp>

namespace lovagecross {

namespace {

constexpr Duration longTimeout = std::chrono::seconds(30); // long enough not to expire on a heavily loaded machine

ForwardRequest forward(std::string body)
{
    ForwardRequest request;
    request.shard = { "lodz1", 2 };
    request.requestId = "r1";
    request.bodyJson = std::move(body);
    return request;
}

// Handles a forward according to its body: `echo:TEXT` returns TEXT, `stream:N` sends N chunks, `block` waits for
// `release`, `throw` throws, and any other body runs until the requester is gone, then releases `requesterGone`.
class TestHandler : public PeerHandler {
public:
    PeerAnswer handlePeerRequest(const PeerRequest& request, const ChunkSink& sink) override
    {
        if (const auto* promise = std::get_if<PromiseRequest>(&request))
            return PromiseAnswer { true, promise->epoch, { "n2", 77 }, std::chrono::seconds(4) };
        if (const auto* batch = std::get_if<BridgeBatch>(&request))
            return BridgeAnswer { batch->bytes.size() == maxBatch, { "n2", 77 } };
        if (std::holds_alternative<BridgeTrim>(request)) {
            this->trimmed.release();
            return std::monostate {};
        }
        if (std::holds_alternative<BridgeFetch>(request))
            return BridgeCopies { { "n2", 77 },
                std::vector<BridgeBatch>(3, { { "lodz1", 2 }, 1, 2, 3, std::string(maxBatch, 'b') }) };
        if (const auto* gossip = std::get_if<Gossip>(&request))
            return *gossip;
        if (std::holds_alternative<ConfigFetch>(request))
            return ConfigDocument { 12, "{}" };
        return this->run(std::get<ForwardRequest>(request), sink);
    }

    static constexpr std::size_t maxBatch = 1000 * 1000;
    std::counting_semaphore<> trimmed { 0 };
    std::counting_semaphore<> blocked { 0 };
    std::counting_semaphore<> release { 0 };
    std::counting_semaphore<> requesterGone { 0 };
    std::atomic<int> forwards { 0 };

private:
    PeerAnswer run(const ForwardRequest& request, const ChunkSink& sink)
    {
        ++this->forwards;
        const std::string& body = request.bodyJson;
        if (body.starts_with("echo:"))
            return ForwardEnd { 200, body.substr(5) };
        if (body.starts_with("stream:")) {
            for (int i = 0; i < std::stoi(body.substr(7)); ++i)
                sink(std::to_string(i) + ";");
            return ForwardEnd { 200, "end" };
        }
        if (body == "throw")
            throw std::runtime_error("handler fault");
        this->blocked.release();
        if (body == "block") {
            this->release.acquire();
        } else { // run until the sink reports that the requester is gone
            while (sink("")) {
                std::this_thread::yield();
            }
            this->requesterGone.release();
        }
        return ForwardEnd { 200, "released" };
    }
};

struct Node {
    explicit Node(ZmqPeersSettings settings = {}, std::string address = "127.0.0.1:0")
    {
        settings.bindAddress = std::move(address);
        this->peers = std::make_unique<ZmqPeers>(settings, this->counters);
        CPPUNIT_ASSERT_EQUAL(std::string(), this->peers->start(this->handler));
    }

    ~Node() { this->peers->stop(); }

    std::string address() const { return this->peers->boundAddress(); }
    std::uint64_t count(const char* name) { return this->counters.counter(name).value(); }

    PeerResult ask(const Node& other, const PeerRequest& request, Duration timeout = longTimeout)
    {
        return this->peers->request(other.address(), request, timeout, {});
    }

    Counters counters;
    TestHandler handler;
    std::unique_ptr<ZmqPeers> peers;
};

// Settings with short heartbeats, for tests that wait until a peer counts as lost. Not for requests that must succeed.
ZmqPeersSettings shortHeartbeats()
{
    ZmqPeersSettings settings;
    settings.heartbeatInterval = std::chrono::milliseconds(100);
    return settings;
}

// A peer that sends exactly the messages that the test specifies.
class RoguePeer {
public:
    RoguePeer()
        : socket(this->context, zmq::socket_type::router)
    {
        this->socket.set(zmq::sockopt::linger, 0);
        this->socket.bind("tcp://127.0.0.1:0");
        this->address = this->socket.get(zmq::sockopt::last_endpoint).substr(6);
    }

    // Waits for the next message and stores the routing id of its sender.
    detail::PeerEnvelope receive()
    {
        zmq::message_t payload;
        CPPUNIT_ASSERT(this->socket.recv(this->requester) && this->socket.recv(payload));
        return detail::decodeEnvelope(payload.to_string_view()).value();
    }

    void send(const std::string& bytes)
    {
        zmq::message_t to;
        to.copy(this->requester);
        this->socket.send(to, zmq::send_flags::sndmore);
        this->socket.send(zmq::buffer(bytes));
    }

    void send(const detail::RequestId& id, detail::PeerBody body)
    {
        this->send(detail::encodeEnvelope({ id, false, std::move(body) }));
    }

    void answer(const detail::RequestId& id, const PeerAnswer& answer)
    {
        this->send(id, detail::AnswerPart { 0, true, detail::encodeAnswer(answer) });
    }

    std::string address;

private:
    zmq::context_t context;
    zmq::socket_t socket;
    zmq::message_t requester;
};

// A TCP relay between nodes. `silence` stops forwarding on the connections that are open at that moment, without
// closing them; later connections work.
class SilencingRelay {
public:
    explicit SilencingRelay(std::string target)
        : target(std::move(target))
        , listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread([this] { this->run(); })
    {
    }

    ~SilencingRelay()
    {
        this->stopping = true;
        this->thread.join();
    }

    std::string address() const { return this->listener.address().toString(); }
    void silence() { this->silenced = this->opened.load(); }
    int connections() const { return this->opened; }

    // Returns the number of reads that returned bytes from the target.
    int readsFromTarget() const { return this->reads; }

private:
    using StreamSocket = Poco::Net::StreamSocket;

    void run()
    {
        while (!this->stopping) {
            if (this->listener.poll(Poco::Timespan(0, 5'000), Poco::Net::Socket::SELECT_READ)) {
                StreamSocket near = this->listener.acceptConnection();
                this->pairs.emplace_back(near, StreamSocket(Poco::Net::SocketAddress(this->target)));
                ++this->opened;
            }
            for (std::size_t i = static_cast<std::size_t>(this->silenced); i < this->pairs.size(); ++i) {
                pass(this->pairs[i].first, this->pairs[i].second);
                this->reads += pass(this->pairs[i].second, this->pairs[i].first);
            }
        }
    }

    // Returns the number of reads that returned bytes.
    static int pass(StreamSocket& from, StreamSocket& to)
    {
        char buffer[4096];
        int reads = 0;
        try {
            while (from.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                int count = from.receiveBytes(buffer, sizeof(buffer));
                if (count <= 0)
                    return reads;
                ++reads;
                to.sendBytes(buffer, count);
            }
        } catch (const Poco::Exception&) { // one side has closed the connection
        }
        return reads;
    }

    const std::string target;
    Poco::Net::ServerSocket listener;
    std::vector<std::pair<StreamSocket, StreamSocket>> pairs;
    std::atomic<int> opened { 0 };
    std::atomic<int> silenced { 0 };
    std::atomic<int> reads { 0 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

std::string keyFile(const std::string& content)
{
    std::string path = Poco::TemporaryFile::tempName();
    Poco::TemporaryFile::registerForDeletion(path);
    std::ofstream(path) << content;
    return path;
}

std::string bodyOf(const PeerResult& result)
{
    return result.status == PeerStatus::Ok ? std::get<ForwardEnd>(result.answer).bodyJson : "no answer";
}

} // namespace

class PeersContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeersContractTest);
    CPPUNIT_TEST(everyRequestGetsItsAnswer);
    CPPUNIT_TEST(chunksArriveInOrderBeforeTheEnd);
    CPPUNIT_TEST(heldUpForwardsDelayNothingElse);
    CPPUNIT_TEST(heartbeatsKeepAQuietForwardOpen);
    CPPUNIT_TEST(silentPeerEndsAForward);
    CPPUNIT_TEST(stoppedPeerEndsAForward);
    CPPUNIT_TEST(cancelAndLossReachTheHandler);
    CPPUNIT_TEST(lateAndDoubledAnswersReachNoOtherRequest);
    CPPUNIT_TEST(brokenStreamsEndWithoutAnswer);
    CPPUNIT_TEST(malformedMessagesAreDropped);
    CPPUNIT_TEST(boundsRejectRequests);
    CPPUNIT_TEST(unreachablePeerMeansNothingDone);
    CPPUNIT_TEST(failingHandlerGivesNoAnswer);
    CPPUNIT_TEST(restartedPeerIsReachedAgain);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(silentConnectionInUseIsReplacedBeforeTheHeartbeats);
    CPPUNIT_TEST(acceptingSideSendsNoHeartbeats);
    CPPUNIT_TEST(onlyHoldersOfTheKeyAreServed);
    CPPUNIT_TEST(startReportsWhatIsWrong);
    CPPUNIT_TEST(stopDeliversFinishedAnswers);
    CPPUNIT_TEST_SUITE_END();

    void everyRequestGetsItsAnswer()
    {
        Node client;
        Node server;
        PeerResult promise = client.ask(server, PromiseRequest { { "lodz1", 2 }, 5, { "n1", 1 }, { "n2", 77 } });
        CPPUNIT_ASSERT(promise.status == PeerStatus::Ok);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), std::get<PromiseAnswer>(promise.answer).epoch);
        CPPUNIT_ASSERT(std::get<PromiseAnswer>(promise.answer).duration == std::chrono::seconds(4));
        BridgeBatch batch { { "lodz1", 2 }, 1, 2, 3, std::string(TestHandler::maxBatch, 'b') };
        CPPUNIT_ASSERT(std::get<BridgeAnswer>(client.ask(server, batch).answer).stored);
        PeerResult trim = client.ask(server, BridgeTrim { { "lodz1", 2 }, 1, 2 });
        CPPUNIT_ASSERT(trim.status == PeerStatus::Ok && std::holds_alternative<std::monostate>(trim.answer));
        PeerResult copies = client.ask(server, BridgeFetch { { "lodz1", 2 } }); // answer larger than one message
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), std::get<BridgeCopies>(copies.answer).batches.size());
        CPPUNIT_ASSERT_EQUAL(batch.bytes, std::get<BridgeCopies>(copies.answer).batches[2].bytes);
        MemberEntry entry { { "n1", 1 }, "lodz1", 9, "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", 4, true, { { 2, 5 } } };
        PeerResult gossip = client.ask(server, Gossip { { entry } });
        const MemberEntry& back = std::get<Gossip>(gossip.answer).entries.at(0);
        CPPUNIT_ASSERT(back.node == entry.node && back.heartbeat == 9 && back.draining && back.configVersion == 4);
        CPPUNIT_ASSERT(back.shards.at(0).index == 2 && back.shards.at(0).epoch == 5);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(12), std::get<ConfigDocument>(client.ask(server, ConfigFetch {}).answer).version);
        CPPUNIT_ASSERT_EQUAL(std::string("x\xff"), bodyOf(client.ask(server, forward("echo:x\xff"))));
        client.peers->notify(server.address(), BridgeTrim { { "lodz1", 2 }, 1, 2 });
        server.handler.trimmed.acquire();
        server.handler.trimmed.acquire();
    }

    void chunksArriveInOrderBeforeTheEnd()
    {
        Node client;
        Node server;
        std::string text;
        PeerResult result
            = client.peers->request(server.address(), forward("stream:1000"), longTimeout, [&](std::string_view chunk) {
                  text += chunk;
                  return true;
              });
        std::string expected;
        for (int i = 0; i < 1000; ++i)
            expected += std::to_string(i) + ";";
        CPPUNIT_ASSERT_EQUAL(expected, text);
        CPPUNIT_ASSERT_EQUAL(std::string("end"), bodyOf(result));
    }

    // Guards against promises queued behind forwarded calls: the shard's holder would lose its authority.
    void heldUpForwardsDelayNothingElse()
    {
        ZmqPeersSettings settings;
        settings.maxForwardWorkers = 2;
        settings.maxQueuedForwards = 1;
        Node client;
        Node server(settings);
        std::vector<std::future<PeerResult>> held;
        for (int i = 0; i < 2; ++i) {
            held.push_back(std::async(std::launch::async, [&] { return client.ask(server, forward("block")); }));
            server.handler.blocked.acquire();
        }
        held.push_back(std::async(std::launch::async, [&] { return client.ask(server, forward("echo:queued")); }));
        PeerResult refused;
        do // until the third request occupies the queue
            refused = client.ask(server, forward("echo:x"), std::chrono::seconds(1));
        while (refused.status == PeerStatus::NoAnswer);
        CPPUNIT_ASSERT(refused.status == PeerStatus::Rejected);
        CPPUNIT_ASSERT(server.count("peers.refused") > 0);
        CPPUNIT_ASSERT(
            client.ask(server, PromiseRequest { { "lodz1", 2 }, 5, { "n1", 1 }, {} }).status == PeerStatus::Ok);
        CPPUNIT_ASSERT(client.ask(server, Gossip {}).status == PeerStatus::Ok);
        CPPUNIT_ASSERT(client.ask(server, BridgeTrim { { "lodz1", 2 }, 1, 2 }).status == PeerStatus::Ok);
        server.handler.release.release(2);
        CPPUNIT_ASSERT_EQUAL(std::string("released"), bodyOf(held[0].get()));
        CPPUNIT_ASSERT_EQUAL(std::string("released"), bodyOf(held[1].get()));
        held[2].get();
    }

    void heartbeatsKeepAQuietForwardOpen()
    {
        ZmqPeersSettings settings = shortHeartbeats();
        settings.missedHeartbeats = 100; // only missing heartbeats, not a busy machine, may end the request
        Node client(settings);
        Node server(settings);
        auto result = std::async(std::launch::async, [&] { return client.ask(server, forward("block")); });
        while (client.count("peers.messagesReceived") < 5)
            std::this_thread::yield();
        server.handler.release.release();
        CPPUNIT_ASSERT_EQUAL(std::string("released"), bodyOf(result.get()));
    }

    void silentPeerEndsAForward()
    {
        Node client;
        RoguePeer rogue;
        auto result = std::async(
            std::launch::async, [&] { return client.peers->request(rogue.address, forward("x"), longTimeout, {}); });
        detail::RequestId id = rogue.receive().id;
        CPPUNIT_ASSERT(result.get().status == PeerStatus::NoAnswer);
        detail::PeerEnvelope cancel = rogue.receive();
        CPPUNIT_ASSERT(cancel.id == id && std::holds_alternative<detail::ForwardCancel>(cancel.body));
    }

    void stoppedPeerEndsAForward()
    {
        Node client;
        std::future<PeerResult> result;
        {
            Node server;
            result = std::async(std::launch::async, [&, address = server.address()] {
                return client.peers->request(address, forward("wait"), longTimeout, {});
            });
            server.handler.blocked.acquire();
        }
        CPPUNIT_ASSERT(result.get().status == PeerStatus::NoAnswer);
    }

    // Guards against handlers that keep running after their requester has cancelled or disconnected.
    void cancelAndLossReachTheHandler()
    {
        Node server(shortHeartbeats());
        {
            Node client;
            PeerResult result = client.peers->request(
                server.address(), forward("wait"), longTimeout, [](std::string_view) { return false; });
            CPPUNIT_ASSERT(result.status == PeerStatus::NoAnswer);
            server.handler.requesterGone.acquire();
        }
        auto leaving = std::make_unique<Node>();
        auto result = std::async(std::launch::async, [&] { return leaving->ask(server, forward("wait")); });
        server.handler.blocked.acquire();
        server.handler.blocked.acquire();
        leaving->peers->stop();
        CPPUNIT_ASSERT(result.get().status == PeerStatus::NoAnswer);
        server.handler.requesterGone.acquire();
    }

    // Guards against matching an answer to the wrong request, which would mix the histories of two programs.
    void lateAndDoubledAnswersReachNoOtherRequest()
    {
        Node client;
        RoguePeer rogue;
        RoguePeer other;
        auto ask = [&](const RoguePeer& peer, Duration timeout) {
            return std::async(std::launch::async, [&client, address = peer.address, timeout] {
                return client.peers->request(address, ConfigFetch {}, timeout, {});
            });
        };
        auto first = ask(rogue, std::chrono::seconds(2));
        detail::RequestId firstId = rogue.receive().id;
        CPPUNIT_ASSERT(first.get().status == PeerStatus::NoAnswer);
        auto second = ask(rogue, longTimeout);
        detail::RequestId secondId = rogue.receive().id;
        CPPUNIT_ASSERT(!(firstId == secondId));
        auto elsewhere = ask(other, longTimeout);
        detail::RequestId elsewhereId = other.receive().id;
        rogue.answer(firstId, ConfigDocument { 1, "late" });
        rogue.answer({ secondId.session + 1, secondId.number }, ConfigDocument { 2, "another process" });
        rogue.answer(elsewhereId, ConfigDocument { 3, "another peer's" });
        rogue.answer(secondId, ConfigDocument { 4, "own" });
        rogue.answer(secondId, ConfigDocument { 5, "doubled" });
        CPPUNIT_ASSERT_EQUAL(std::string("own"), std::get<ConfigDocument>(second.get().answer).json);
        other.answer(elsewhereId, ConfigDocument { 6, "elsewhere" });
        CPPUNIT_ASSERT_EQUAL(std::string("elsewhere"), std::get<ConfigDocument>(elsewhere.get().answer).json);
        while (client.count("peers.unmatchedAnswers") < 4)
            std::this_thread::yield();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), client.count("peers.unmatchedAnswers"));
    }

    // Each row lists the messages that the peer sends after a request, and the expected text and status of the request.
    void brokenStreamsEndWithoutAnswer()
    {
        using Body = detail::PeerBody;
        auto chunk = [](std::uint64_t position, const char* text) { return detail::ForwardChunk { position, text }; };
        std::string whole = detail::encodeAnswer(ForwardEnd { 200, "end" });
        detail::AnswerPart end { 0, true, whole };
        struct Row {
            const char* name;
            std::vector<Body> bodies;
            std::string text;
            PeerStatus status;
        };
        const std::vector<Row> rows {
            { "in order", { chunk(0, "a"), detail::Heartbeat {}, chunk(1, "b"), end }, "ab", PeerStatus::Ok },
            { "doubled chunk", { chunk(0, "a"), chunk(0, "a"), chunk(1, "b"), end }, "ab", PeerStatus::Ok },
            { "missing chunk", { chunk(0, "a"), chunk(2, "c"), end }, "a", PeerStatus::NoAnswer },
            { "two parts",
                { detail::AnswerPart { 0, false, whole.substr(0, 3) },
                    detail::AnswerPart { 1, true, whole.substr(3) } },
                "", PeerStatus::Ok },
            { "missing part", { detail::AnswerPart { 1, true, whole } }, "", PeerStatus::NoAnswer },
            { "garbage answer", { detail::AnswerPart { 0, true, "\xff" } }, "", PeerStatus::NoAnswer },
            { "answer of another kind", { detail::AnswerPart { 0, true, detail::encodeAnswer(Gossip {}) } }, "",
                PeerStatus::NoAnswer },
            { "refused", { detail::Refusal { true, "busy" } }, "", PeerStatus::Rejected },
            { "failed", { detail::Refusal { false, "failed" } }, "", PeerStatus::NoAnswer },
        };
        for (const Row& row : rows) {
            Node client;
            RoguePeer rogue;
            std::string text;
            auto result = std::async(std::launch::async, [&] {
                return client.peers->request(rogue.address, forward("x"), longTimeout, [&](std::string_view piece) {
                    text += piece;
                    return true;
                });
            });
            detail::RequestId id = rogue.receive().id;
            for (const Body& body : row.bodies)
                rogue.send(id, body);
            CPPUNIT_ASSERT_MESSAGE(row.name, result.get().status == row.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.text, text);
        }
    }

    void malformedMessagesAreDropped()
    {
        Node server;
        zmq::context_t context;
        zmq::socket_t rogue(context, zmq::socket_type::dealer);
        rogue.set(zmq::sockopt::linger, 0);
        rogue.connect("tcp://" + server.address());
        Gossip crowded { std::vector<MemberEntry>(
            maxGossipEntries + 1, { { "a", 1 }, "lodz1", 1, "1:1", "", "", 0, false, {} }) };
        Gossip unnamed { { { { "A/b", 1 }, "lodz1", 1, "1:1", "", "", 0, false, {} } } };
        ForwardRequest longId = forward("echo:x");
        longId.requestId.assign(129, 'r');
        BridgeBatch foreign { { "../x", 2 }, 1, 2, 3, "b" };
        std::vector<std::string> messages { "", "garbage",
            detail::encodeEnvelope({ { 1, 1 }, false, detail::Heartbeat {} }),
            detail::encodeEnvelope({ { 1, 2 }, false, crowded }), detail::encodeEnvelope({ { 1, 3 }, false, unnamed }),
            detail::encodeEnvelope({ { 1, 4 }, false, longId }), detail::encodeEnvelope({ { 1, 5 }, false, foreign }) };
        for (const std::string& message : messages)
            rogue.send(zmq::buffer(message));
        rogue.send(zmq::buffer(detail::encodeEnvelope({ { 1, 6 }, false, Gossip {} })), zmq::send_flags::sndmore);
        rogue.send(zmq::str_buffer("second frame"));
        while (server.count("peers.malformed") < messages.size() + 1)
            std::this_thread::yield();
        // ZeroMQ itself closes a connection on which it receives a message above the size limit.
        rogue.send(zmq::message_t(ZmqPeersSettings {}.maxMessageBytes + 1), zmq::send_flags::none);
        Node client;
        CPPUNIT_ASSERT_EQUAL(std::string("x"), bodyOf(client.ask(server, forward("echo:x"))));
        CPPUNIT_ASSERT_EQUAL(1, server.handler.forwards.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(messages.size() + 1), server.count("peers.malformed"));
    }

    void boundsRejectRequests()
    {
        ZmqPeersSettings settings;
        settings.maxRequestsInFlight = 1;
        settings.maxPeers = 1;
        Node client(settings);
        Node server;
        CPPUNIT_ASSERT(
            client.ask(server, forward(std::string(settings.maxMessageBytes, 'x'))).status == PeerStatus::Rejected);
        for (const char* address : { "", "127.0.0.1", "127.0.0.1:1;x", "127.0.0.1:99999" })
            CPPUNIT_ASSERT_MESSAGE(address,
                client.peers->request(address, ConfigFetch {}, longTimeout, {}).status == PeerStatus::Rejected);
        auto held = std::async(std::launch::async, [&] { return client.ask(server, forward("block")); });
        server.handler.blocked.acquire();
        CPPUNIT_ASSERT(client.ask(server, ConfigFetch {}).status == PeerStatus::Rejected);
        server.handler.release.release();
        CPPUNIT_ASSERT_EQUAL(std::string("released"), bodyOf(held.get()));
        Node another;
        CPPUNIT_ASSERT(client.ask(another, ConfigFetch {}).status == PeerStatus::Rejected);

        ZmqPeersSettings small;
        small.maxAnswerBytes = TestHandler::maxBatch;
        Node limited(small);
        CPPUNIT_ASSERT(limited.ask(server, BridgeFetch { { "lodz1", 2 } }).status == PeerStatus::NoAnswer);
        CPPUNIT_ASSERT(another.ask(limited, BridgeFetch { { "lodz1", 2 } }).status == PeerStatus::NoAnswer);
    }

    // A request that was never sent must end with Rejected, so that the caller may send it to another node.
    void unreachablePeerMeansNothingDone()
    {
        Node client(shortHeartbeats());
        std::string address = testing::freeAddress();
        CPPUNIT_ASSERT(
            client.peers->request(address, forward("echo:x"), longTimeout, {}).status == PeerStatus::Rejected);
        // The request must not be sent later either, once a node listens on the address.
        Node late({}, address);
        while (client.peers->request(address, ConfigFetch {}, longTimeout, {}).status != PeerStatus::Ok) { }
        CPPUNIT_ASSERT_EQUAL(0, late.handler.forwards.load());
    }

    void failingHandlerGivesNoAnswer()
    {
        Node client;
        Node server;
        CPPUNIT_ASSERT(client.ask(server, forward("throw")).status == PeerStatus::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), bodyOf(client.ask(server, forward("echo:x"))));
    }

    void restartedPeerIsReachedAgain()
    {
        Node client;
        std::string address;
        {
            Node server;
            address = server.address();
            CPPUNIT_ASSERT_EQUAL(std::string("1"), bodyOf(client.ask(server, forward("echo:1"))));
        }
        Node restarted({}, address);
        int attempts = 0;
        PeerResult result;
        do
            result = client.ask(restarted, forward("echo:2"));
        while (result.status != PeerStatus::Ok && ++attempts < 100);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), bodyOf(result));
    }

    // Guards against a connection that stays open but passes no data: without heartbeats, every later request to the
    // peer would be lost on it.
    void silentConnectionIsReplaced()
    {
        Node client(shortHeartbeats());
        Node server(shortHeartbeats());
        SilencingRelay relay(server.address());
        auto ask = [&] {
            return client.peers->request(relay.address(), ConfigFetch {}, std::chrono::milliseconds(500), {});
        };
        while (ask().status != PeerStatus::Ok) { }
        int before = relay.connections();
        relay.silence();
        int attempts = 0;
        while (ask().status != PeerStatus::Ok && ++attempts < 100) { }
        CPPUNIT_ASSERT(attempts < 100);
        CPPUNIT_ASSERT(relay.connections() > before);
    }

    // Guards against requests that are lost on a silent connection until the next heartbeat, which may be seconds away.
    void silentConnectionInUseIsReplacedBeforeTheHeartbeats()
    {
        ZmqPeersSettings settings;
        settings.heartbeatInterval = std::chrono::minutes(1);
        settings.silenceTimeout = std::chrono::milliseconds(300);
        Node client(settings);
        Node server(settings);
        SilencingRelay relay(server.address());
        auto ask = [&] {
            return client.peers->request(relay.address(), ConfigFetch {}, std::chrono::milliseconds(500), {});
        };
        while (ask().status != PeerStatus::Ok) { }
        relay.silence();
        int attempts = 0;
        while (ask().status != PeerStatus::Ok && ++attempts < 40) { }
        CPPUNIT_ASSERT(attempts < 40);
        CPPUNIT_ASSERT(client.count("peers.replaced") > 0);
    }

    // Guards against idle traffic that doubles with heartbeats from both sides of each connection.
    void acceptingSideSendsNoHeartbeats()
    {
        Node client(shortHeartbeats());
        Node server(shortHeartbeats());
        SilencingRelay relay(server.address());
        while (client.peers->request(relay.address(), ConfigFetch {}, longTimeout, {}).status != PeerStatus::Ok) { }
        int before = relay.readsFromTarget();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        constexpr int mostReplies = 21; // one to each heartbeat of the client
        CPPUNIT_ASSERT(relay.readsFromTarget() - before <= mostReplies);
    }

    void onlyHoldersOfTheKeyAreServed()
    {
        ZmqPeersSettings shared;
        shared.keyFile = keyFile(std::string(40, 'k'));
        ZmqPeersSettings impatient = shortHeartbeats();
        impatient.keyFile = shared.keyFile;
        ZmqPeersSettings wrong = shortHeartbeats();
        wrong.keyFile = keyFile(std::string(40, 'w'));
        Node server(shared);
        Node member(shared);
        Node impatientMember(impatient);
        Node stranger(wrong);
        Node open(shortHeartbeats());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), bodyOf(member.ask(server, forward("echo:x"))));
        CPPUNIT_ASSERT_EQUAL(1, server.handler.forwards.load());
        CPPUNIT_ASSERT(stranger.ask(server, forward("echo:x")).status != PeerStatus::Ok);
        CPPUNIT_ASSERT(open.ask(server, forward("echo:x")).status != PeerStatus::Ok);
        CPPUNIT_ASSERT(impatientMember.ask(open, forward("echo:x")).status != PeerStatus::Ok);
        CPPUNIT_ASSERT_EQUAL(1, server.handler.forwards.load());
        CPPUNIT_ASSERT_EQUAL(0, open.handler.forwards.load());
    }

    void startReportsWhatIsWrong()
    {
        Counters counters;
        TestHandler handler;
        Node taken;
        auto errorOf = [&](const std::string& address, const std::string& key) {
            ZmqPeersSettings settings;
            settings.bindAddress = address;
            settings.keyFile = key;
            return ZmqPeers(settings, counters).start(handler);
        };
        CPPUNIT_ASSERT_EQUAL(
            "peerAddress " + taken.address() + ": Address already in use", errorOf(taken.address(), ""));
        CPPUNIT_ASSERT(errorOf("nowhere", "").starts_with("peerAddress nowhere: "));
        std::string key = keyFile("short");
        CPPUNIT_ASSERT_EQUAL(
            "peerKeyFile " + key + " is unreadable or shorter than 32 bytes", errorOf("127.0.0.1:0", key));
    }

    // Guards against answers of completed requests that are lost when the answering node shuts down.
    void stopDeliversFinishedAnswers()
    {
        Node client;
        for (int i = 0; i < 100; ++i) {
            Node server;
            auto result = std::async(std::launch::async, [&] {
                return client.ask(server, BridgeTrim { { "lodz1", 2 }, 1, 2 }, std::chrono::seconds(5));
            });
            server.handler.trimmed.acquire();
            server.peers->stop();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), result.get().status == PeerStatus::Ok);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersContractTest);

} // namespace lovagecross
