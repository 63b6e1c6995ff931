#pragma once

// State and threads of ZmqPeers. Internal to the adapters.
//
// ZmqPeers.cpp starts and stops the threads and runs the I/O loop, ZmqPeerRequests.cpp sends requests and receives
// their answers, ZmqPeerServing.cpp serves requests of other nodes.

#include "lovagecross/adapters/ZmqPeers.h"

#include "lovagecross/adapters/PeerCodec.h"
#include "lovagecross/adapters/PeerKeys.h"
#include "lovagecross/adapters/PendingAnswer.h"
#include "lovagecross/adapters/SocketPoller.h"
#include "lovagecross/adapters/WorkerPool.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace lovagecross {

class ZmqPeers::Impl {
public:
    Impl(ZmqPeersSettings givenSettings, Counters& counters);

    ~Impl() { this->stop(); }

    std::string start(PeerHandler& newHandler);

    void stop();

    PeerResult request(const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink);

    std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        const Fanout& fanout, const EnoughAnswers& enough);

    void notify(const std::string& address, const PeerRequest& request);

    void failForwardsTo(const std::string& address);

    std::string bound;

private:
    using SteadyClock = std::chrono::steady_clock;
    using AnswerPart = detail::AnswerPart;
    using CurveKeyPair = detail::CurveKeyPair;
    using ForwardCancel = detail::ForwardCancel;
    using ForwardChunk = detail::ForwardChunk;
    using Goodbye = detail::Goodbye;
    using Heartbeat = detail::Heartbeat;
    using PeerEnvelope = detail::PeerEnvelope;
    using PendingAnswer = detail::PendingAnswer;
    using ReceiveResult = detail::ReceiveResult;
    using Refusal = detail::Refusal;
    using RequestId = detail::RequestId;
    using SendResult = detail::SendResult;
    using SocketPoller = detail::SocketPoller;
    using WorkerPool = detail::WorkerPool;

    // Selects the counter of sent bytes that a message is added to.
    enum class Purpose {
        Promise,
        Bridge,
        Gossip,
        Config,
        Forward,
        Record,
    };

    static constexpr std::array<std::pair<Purpose, const char*>, 6> sentBytesCounters { {
        { Purpose::Promise, "peers.bytesSent.promise" },
        { Purpose::Bridge, "peers.bytesSent.bridge" },
        { Purpose::Gossip, "peers.bytesSent.gossip" },
        { Purpose::Config, "peers.bytesSent.config" },
        { Purpose::Forward, "peers.bytesSent.forward" },
        { Purpose::Record, "peers.bytesSent.record" },
    } };

    // A node that has sent requests, identified by its ZeroMQ routing id. A node gets a new id with each connection.
    struct Requester {
        std::atomic<std::size_t> queuedBytes { 0 };
    };

    // A request from another node that is queued or running on this node.
    struct ServedRequest {
        std::string routingId;
        RequestId id;
        std::shared_ptr<Requester> requester;
        std::atomic<bool> cancelled { false };
        Purpose purpose = Purpose::Forward;
    };

    // A command for the I/O thread.
    struct Command {
        enum class Kind {
            SendRequest,
            SendAnswer,
            Finished, // a served forward has ended
        };
        Kind kind = Kind::SendRequest;
        std::string target; // address or routing id
        RequestId id;
        std::string bytes;
        bool expectsAnswer = false;
        std::shared_ptr<Requester> requester;
        Purpose purpose = Purpose::Forward;
    };

    struct OutgoingMessage {
        std::uint64_t number = 0; // request number, if an answer is expected
        bool expectsAnswer = false;
        std::string bytes;
        SteadyClock::time_point queuedAt;
        std::shared_ptr<Requester> requester;
        Purpose purpose = Purpose::Forward;
    };

    struct Connection {
        zmq::socket_t socket;
        std::deque<OutgoingMessage> queue;
        std::size_t queuedBytes = 0;
        SteadyClock::time_point lastUsed;
        std::optional<SteadyClock::time_point> waitingSince; // first request sent after the last message from the peer
    };

    struct AnswerQueue {
        std::deque<OutgoingMessage> queue;
    };

    static bool isForward(const PeerRequest& request);
    static Purpose purposeOf(const PeerRequest& request);
    static void setCommonOptions(zmq::socket_t& socket, const ZmqPeersSettings& settings, const CurveKeyPair& keys);

    // Name of the accepting socket in the poller. Not a valid peer address.
    static constexpr const char* routerName = "router";
    // Messages that are read from one socket before the other sockets are served.
    static constexpr std::size_t maxReceivesPerPoll = 256;

    // Number of requests of one `requestAll` that have ended.
    struct CompletionCount {
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t ended = 0;
    };

    std::shared_ptr<PendingAnswer> submitCounted(const std::string& address, RequestId id, const PeerRequest& request,
        const std::shared_ptr<CompletionCount>& completion);

    // Called when `requestAll` returns. Requests without an answer stay open for a while, so that they are still sent
    // and answered: their peer may hold a copy that is needed later.
    void detachUnanswered(const std::vector<RequestId>& ids, const std::vector<std::shared_ptr<PendingAnswer>>& waiting,
        const std::vector<const PeerResult*>& arrived);

    void dropExpiredDetached(SteadyClock::time_point now);

    RequestId nextId() { return { this->session, this->nextNumber.fetch_add(1, std::memory_order_relaxed) }; }

    // Returns false, and sends nothing, if a limit is reached or the transport has stopped.
    bool submit(const std::string& address, RequestId id, std::string bytes,
        const std::shared_ptr<PendingAnswer>& waiting, Purpose purpose);

    void sendCancel(const std::string& address, RequestId id);

    PeerResult resultOf(PendingAnswer& waiting, const PeerRequest& request);

    void wake();

    void closeWakeFd();

    // --- I/O thread. Only this thread accesses the sockets, `connections`, `servedForwards`, `requesters` and
    // `answerQueues`.

    void runIo();

    // With ZMQ_IMMEDIATE, the requesting node's ZeroMQ discards messages that it has received but not yet delivered
    // when the connection closes. The sockets therefore stay open until every node that was sent an answer recently has
    // confirmed that it has read it.
    void sendGoodbyes();

    void closeSockets();

    void pollSockets(SteadyClock::time_point nextTick);

    void takeCommands();

    // --- Outgoing requests

    void queueRequest(Command& command);

    Connection* connectionTo(const std::string& address);

    bool openSocket(const std::string& address, Connection& connection);

    // Replaces the connection if a request on it has been waiting in complete silence. Unsent requests stay queued.
    void replaceIfSilent(const std::string& address, Connection& connection, SteadyClock::time_point now);

    std::shared_ptr<PendingAnswer> findPending(std::uint64_t number);

    void flush();

    void flushConnection(Connection& connection);

    // Returns false if the connection is not established or its send queue is full. A request that has already ended
    // is not sent.
    bool sendFront(Connection& connection);

    void countSent(const OutgoingMessage& outgoing);

    void receiveAnswers(const std::string& address, Connection& connection);

    void returnGoodbye(Connection& connection);

    void takeAnswer(const std::string& address, PeerEnvelope& envelope);

    // --- Incoming requests

    void receiveRequests();

    void takeRequest(const std::string& routingId, PeerEnvelope& envelope, std::size_t size);

    std::shared_ptr<Requester> requesterFor(const std::string& routingId);

    WorkerPool& poolFor(const PeerRequest& request);

    // Runs on a worker thread.
    void serve(const std::shared_ptr<ServedRequest>& run, bool notification, const PeerRequest& request);

    void sendParts(ServedRequest& run, const std::string& answer);

    // Returns false once the requesting node has cancelled, has disconnected, or reads its answers too slowly.
    bool sendAnswer(ServedRequest& run, std::string bytes);

    void countQueued(Requester& requester, std::size_t size);

    // Heartbeats have no requester and aren't counted.
    void countDequeued(const OutgoingMessage& outgoing);

    void pushCommand(Command command);

    void queueAnswer(const std::string& routingId, OutgoingMessage outgoing);

    // Returns true if no answer is left to send to the requesting node.
    bool flushAnswerQueue(const std::string& routingId, AnswerQueue& answerQueue);

    void dropRequester(const std::string& routingId, AnswerQueue& answerQueue);

    void sendHeartbeats();

    void tick(SteadyClock::time_point now);

    void dropExpired(Connection& connection, SteadyClock::time_point now);

    static constexpr int reconnectMillis = 100;
    static constexpr int maxReconnectMillis = 1000;

    const ZmqPeersSettings settings;
    CurveKeyPair keys;
    std::uint64_t session = 0;
    std::atomic<std::uint64_t> nextNumber { 1 };
    PeerHandler* handler = nullptr;

    std::mutex mutex; // guards `commands`, `pending` and `detachedRequests`; locked before a PendingAnswer's mutex
    std::deque<Command> commands;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingAnswer>> pending;
    std::deque<std::pair<SteadyClock::time_point, std::uint64_t>> detachedRequests; // by time of removal from `pending`
    std::atomic<bool> stopping { false };
    std::atomic<bool> handlersStopped { false };
    std::atomic<std::size_t> queuedBytes { 0 }; // requests not yet passed to ZeroMQ
    detail::ByteBudget answerBudget; // received answers that their callers have not consumed
    std::atomic<std::size_t> servedBytes { 0 }; // requests from other nodes that are queued or running
    std::atomic<std::size_t> answerBytes { 0 }; // answers to other nodes not yet passed to ZeroMQ
    std::atomic<bool> wakePending { false };
    int wakeFd = -1;

    zmq::context_t context;
    zmq::socket_t router;
    SocketPoller poller;
    std::map<std::string, Connection> connections; // by address
    std::map<std::pair<std::string, RequestId>, std::shared_ptr<ServedRequest>> servedForwards; // open forwards
    std::unordered_map<std::string, std::weak_ptr<Requester>> requesters; // by routing id
    std::map<std::string, AnswerQueue> answerQueues; // by routing id
    std::map<std::string, SteadyClock::time_point> lastAnswers; // by routing id; only those within goodbyeWindow
    std::set<std::string> goodbyes; // routing ids that have not returned the Goodbye message

    WorkerPool control;
    WorkerPool bridge;
    WorkerPool forwards;
    WorkerPool records;
    std::thread ioThread;

    Counter& malformed;
    Counter& unmatched;
    Counter& refused;
    Counter& unanswered;
    Counter& rejected;
    Counter& dropped;
    Counter& replaced;
    Counter& sent;
    Counter& sentBytes;
    std::array<Counter*, sentBytesCounters.size()> sentBytesByPurpose {};
    Counter& received;
    Counter& receivedBytes;
};

} // namespace lovagecross
