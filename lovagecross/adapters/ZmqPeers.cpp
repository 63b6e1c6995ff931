#include "lovagecross/adapters/ZmqPeers.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/adapters/PeerCodec.h"
#include "lovagecross/adapters/PeerKeys.h"
#include "lovagecross/adapters/PendingAnswer.h"
#include "lovagecross/adapters/SocketPoller.h"
#include "lovagecross/adapters/WorkerPool.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <zmq.hpp>

namespace lovagecross {

using detail::AnswerPart;
using detail::CurveKeyPair;
using detail::ForwardCancel;
using detail::ForwardChunk;
using detail::Goodbye;
using detail::Heartbeat;
using detail::PeerEnvelope;
using detail::PendingAnswer;
using detail::ReceiveResult;
using detail::Refusal;
using detail::RequestId;
using detail::SendResult;
using detail::SocketPoller;
using detail::WorkerPool;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr const char* routerName = "router"; // of the accepting socket in the poller; not a valid peer address
constexpr auto tickInterval = std::chrono::milliseconds(100);
constexpr auto sendRetryInterval = std::chrono::milliseconds(5); // delay before unsent answers are retried
constexpr auto notificationLifetime = std::chrono::seconds(5); // unsent notifications are dropped after this time
constexpr auto stopFlushTimeout = std::chrono::milliseconds(500); // for answers that are complete when `stop` is called
constexpr auto goodbyeWindow = std::chrono::seconds(1); // nodes sent an answer within this time get a Goodbye
// How long a request stays open after `requestAll` has returned without its answer.
constexpr auto detachedRequestLifetime = std::chrono::seconds(2);
constexpr int sendHighWaterMark = 32; // messages queued in ZeroMQ for each connection
// When a receive queue is full, libzmq 4.3.4 stops reading the connection. If the connection then fails, the next
// heartbeat timer aborts the process (assertion in out_event). The limit is therefore high enough not to be reached:
// the I/O thread drains the queue, and the worker pools reject requests above their limits.
constexpr int receiveHighWaterMark = 100'000;
constexpr std::size_t maxReceivesPerPoll = 256; // messages read from one socket before the other sockets are served
constexpr std::size_t answerPartBytes = 768 * 1024; // size of each part of an answer that exceeds one message
constexpr std::size_t controlWorkers = 4;
constexpr std::size_t bridgeWorkers = 4;

bool isForward(const PeerRequest& request)
{
    return std::holds_alternative<ForwardRequest>(request);
}

// Selects the counter of sent bytes that a message is added to.
enum class Purpose {
    Promise,
    Bridge,
    Gossip,
    Config,
    Forward,
    Record,
};

constexpr std::array<std::pair<Purpose, const char*>, 6> sentBytesCounters { {
    { Purpose::Promise, "peers.bytesSent.promise" },
    { Purpose::Bridge, "peers.bytesSent.bridge" },
    { Purpose::Gossip, "peers.bytesSent.gossip" },
    { Purpose::Config, "peers.bytesSent.config" },
    { Purpose::Forward, "peers.bytesSent.forward" },
    { Purpose::Record, "peers.bytesSent.record" },
} };

Purpose purposeOf(const PeerRequest& request)
{
    if (std::holds_alternative<PromiseRequest>(request))
        return Purpose::Promise;
    if (std::holds_alternative<Gossip>(request))
        return Purpose::Gossip;
    if (std::holds_alternative<ConfigFetch>(request) || std::holds_alternative<DirectoryFetch>(request))
        return Purpose::Config;
    if (std::holds_alternative<RecordCall>(request))
        return Purpose::Record;
    return isForward(request) ? Purpose::Forward : Purpose::Bridge;
}

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

void setCommonOptions(zmq::socket_t& socket, const ZmqPeersSettings& settings, const CurveKeyPair& keys)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, sendHighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, receiveHighWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(settings.maxMessageBytes));
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    if (!keys.publicKey.empty()) {
        socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
    }
}

// Only the connecting side sends heartbeats: a record node has a connection from each entry node, and heartbeats of its
// own would double its idle traffic. The accepting side closes a connection that stays silent for the heartbeats' TTL.
void setHeartbeats(zmq::socket_t& socket, const ZmqPeersSettings& settings)
{
    int intervalMillis = static_cast<int>(toMillis(settings.heartbeatInterval));
    int silenceMillis = intervalMillis * static_cast<int>(settings.missedHeartbeats);
    socket.set(zmq::sockopt::heartbeat_ivl, intervalMillis);
    socket.set(zmq::sockopt::heartbeat_timeout, silenceMillis);
    socket.set(zmq::sockopt::heartbeat_ttl, intervalMillis + silenceMillis);
}

} // namespace

class ZmqPeers::Impl {
public:
    Impl(ZmqPeersSettings givenSettings, Counters& counters)
        : settings(std::move(givenSettings))
        , answerBudget(this->settings.maxQueuedBytes)
        , control(controlWorkers, this->settings.maxQueuedControl)
        , bridge(bridgeWorkers, this->settings.maxQueuedBridge)
        , forwards(this->settings.maxForwardWorkers, this->settings.maxQueuedForwards)
        , records(this->settings.maxRecordWorkers, this->settings.maxQueuedRecords)
        , malformed(counters.counter("peers.malformed"))
        , unmatched(counters.counter("peers.unmatchedAnswers"))
        , refused(counters.counter("peers.refused"))
        , unanswered(counters.counter("peers.unanswered"))
        , rejected(counters.counter("peers.rejected"))
        , dropped(counters.counter("peers.dropped"))
        , replaced(counters.counter("peers.replaced"))
        , sent(counters.counter("peers.messagesSent"))
        , sentBytes(counters.counter("peers.bytesSent"))
        , received(counters.counter("peers.messagesReceived"))
        , receivedBytes(counters.counter("peers.bytesReceived"))
    {
        for (const auto& [purpose, name] : sentBytesCounters)
            this->sentBytesByPurpose[static_cast<std::size_t>(purpose)] = &counters.counter(name);
        std::random_device random;
        std::uniform_int_distribution<std::uint64_t> distribution;
        this->session = distribution(random);
    }

    ~Impl() { this->stop(); }

    std::string start(PeerHandler& newHandler)
    {
        if (!this->settings.keyFile.empty()) {
            std::string error = detail::deriveKeyPair(this->settings.keyFile, this->keys);
            if (!error.empty())
                return error;
        }
        this->wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (this->wakeFd < 0)
            return "eventfd failed";
        try {
            this->router = zmq::socket_t(this->context, zmq::socket_type::router);
            setCommonOptions(this->router, this->settings, this->keys);
            this->router.set(zmq::sockopt::router_mandatory, true);
            if (!this->keys.publicKey.empty())
                this->router.set(zmq::sockopt::curve_server, true);
            this->router.bind("tcp://" + this->settings.bindAddress);
            std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
            this->bound = endpoint.substr(endpoint.find("//") + 2);
            if (std::string error = this->poller.open(this->wakeFd); !error.empty())
                return error;
            this->poller.add(routerName, this->router);
        } catch (const zmq::error_t& error) {
            this->router.close();
            return "peerAddress " + this->settings.bindAddress + ": " + error.what();
        }
        this->handler = &newHandler;
        this->ioThread = std::thread([this] { this->runIo(); });
        return {};
    }

    void stop()
    {
        if (!this->ioThread.joinable()) {
            this->closeWakeFd();
            return;
        }
        {
            std::lock_guard lock(this->mutex);
            this->stopping = true;
            for (auto& [number, waiting] : this->pending)
                waiting->finish(PeerStatus::NoAnswer);
        }
        this->wake();
        this->control.stop();
        this->bridge.stop();
        this->forwards.stop();
        this->records.stop();
        this->handlersStopped = true;
        this->wake();
        this->ioThread.join();
        this->closeWakeFd();
    }

    PeerResult request(const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink)
    {
        auto waiting = std::make_shared<PendingAnswer>(
            address, isForward(request), this->settings.maxAnswerBytes, this->answerBudget);
        RequestId id = this->nextId();
        std::string bytes = detail::encodeEnvelope({ id, false, request });
        if (!this->submit(address, id, std::move(bytes), waiting, purposeOf(request))) {
            this->rejected.add();
            return { PeerStatus::Rejected, {} };
        }
        Duration silence = timeout;
        if (waiting->isForward())
            silence = std::min<Duration>(timeout, this->settings.heartbeatInterval * this->settings.missedHeartbeats);
        waiting->wait(silence, sink);
        {
            std::lock_guard lock(this->mutex);
            this->pending.erase(id.number);
        }
        PeerResult result = this->resultOf(*waiting, request);
        if (waiting->isForward() && result.status == PeerStatus::NoAnswer)
            this->sendCancel(address, id);
        if (result.status != PeerStatus::Ok)
            (result.status == PeerStatus::NoAnswer ? this->unanswered : this->rejected).add();
        return result;
    }

    std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        const Fanout& fanout, const EnoughAnswers& enough)
    {
        auto completion = std::make_shared<CompletionCount>();
        std::vector<std::shared_ptr<PendingAnswer>> waiting;
        std::vector<RequestId> ids;
        auto askUpTo = [&](std::size_t count) {
            while (waiting.size() < std::min(count, addresses.size())) {
                const std::string& address = addresses[waiting.size()];
                ids.push_back(this->nextId());
                waiting.push_back(this->submitCounted(address, ids.back(), request, completion));
            }
        };
        auto start = SteadyClock::now();
        auto until = start + fanout.timeout;
        auto firstWaveUntil = std::min(until, start + fanout.firstWaveTimeout);
        askUpTo(fanout.firstWave);
        std::vector<PeerResult> results(addresses.size(), { PeerStatus::Rejected, {} });
        std::vector<const PeerResult*> arrived(addresses.size(), nullptr);
        std::size_t seen = 0;
        for (;;) {
            bool allOk = true;
            for (std::size_t i = 0; i < waiting.size(); ++i) {
                if (arrived[i] == nullptr && waiting[i]->isDone()) {
                    results[i] = this->resultOf(*waiting[i], request);
                    arrived[i] = &results[i];
                    ++seen;
                }
                allOk = allOk && (arrived[i] == nullptr || arrived[i]->status == PeerStatus::Ok);
            }
            if (seen == addresses.size() || enough(arrived))
                break;
            bool othersLeft = waiting.size() < addresses.size();
            if (othersLeft && (!allOk || seen == waiting.size() || SteadyClock::now() >= firstWaveUntil)) {
                askUpTo(addresses.size());
                continue;
            }
            std::unique_lock lock(completion->mutex);
            bool more = completion->changed.wait_until(
                lock, othersLeft ? firstWaveUntil : until, [&] { return completion->ended > seen; });
            if (!more && !othersLeft)
                break;
        }
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (arrived[i] == nullptr)
                results[i].status = PeerStatus::NoAnswer;
        }
        this->detachUnanswered(ids, arrived);
        return results;
    }

    void notify(const std::string& address, const PeerRequest& request)
    {
        RequestId id = this->nextId();
        if (!this->submit(address, id, detail::encodeEnvelope({ id, true, request }), nullptr, purposeOf(request)))
            this->dropped.add();
    }

    void failForwardsTo(const std::string& address)
    {
        std::lock_guard lock(this->mutex);
        for (auto& [number, waiting] : this->pending) {
            if (waiting->isForward() && waiting->address() == address)
                waiting->finish(PeerStatus::NoAnswer);
        }
    }

    std::string bound;

private:
    // Number of requests of one `requestAll` that have ended.
    struct CompletionCount {
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t ended = 0;
    };

    std::shared_ptr<PendingAnswer> submitCounted(const std::string& address, RequestId id, const PeerRequest& request,
        const std::shared_ptr<CompletionCount>& completion)
    {
        auto waiting = std::make_shared<PendingAnswer>(
            address, isForward(request), this->settings.maxAnswerBytes, this->answerBudget);
        waiting->onEnd([completion] {
            std::lock_guard lock(completion->mutex);
            ++completion->ended;
            completion->changed.notify_all();
        });
        std::string bytes = detail::encodeEnvelope({ id, false, request });
        if (!this->submit(address, id, std::move(bytes), waiting, purposeOf(request)))
            waiting->finish(PeerStatus::Rejected);
        return waiting;
    }

    // Called when `requestAll` returns. Requests without an answer stay open for a while, so that they are still sent
    // and answered: their peer may hold a copy that is needed later.
    void detachUnanswered(const std::vector<RequestId>& ids, const std::vector<const PeerResult*>& arrived)
    {
        auto until = SteadyClock::now() + detachedRequestLifetime;
        std::lock_guard lock(this->mutex);
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (arrived[i] == nullptr)
                this->detachedRequests.emplace_back(until, ids[i].number);
            else
                this->pending.erase(ids[i].number);
        }
    }

    void dropExpiredDetached(SteadyClock::time_point now)
    {
        std::lock_guard lock(this->mutex);
        while (!this->detachedRequests.empty() && this->detachedRequests.front().first <= now) {
            if (this->pending.erase(this->detachedRequests.front().second) > 0)
                this->unanswered.add();
            this->detachedRequests.pop_front();
        }
    }

    RequestId nextId() { return { this->session, this->nextNumber.fetch_add(1, std::memory_order_relaxed) }; }

    // Returns false, and sends nothing, if a limit is reached or the transport has stopped.
    bool submit(const std::string& address, RequestId id, std::string bytes,
        const std::shared_ptr<PendingAnswer>& waiting, Purpose purpose)
    {
        if (!detail::isPeerAddress(address) || bytes.size() > this->settings.maxMessageBytes)
            return false;
        {
            std::lock_guard lock(this->mutex);
            if (this->stopping || !this->ioThread.joinable()
                || this->queuedBytes.load() + bytes.size() > this->settings.maxQueuedBytes
                || this->pending.size() >= this->settings.maxRequestsInFlight
                || this->commands.size() >= this->settings.maxRequestsInFlight)
                return false;
            if (waiting)
                this->pending[id.number] = waiting;
            this->queuedBytes += bytes.size();
            this->commands.push_back(
                { Command::Kind::SendRequest, address, id, std::move(bytes), waiting != nullptr, {}, purpose });
        }
        this->wake();
        return true;
    }

    void sendCancel(const std::string& address, RequestId id)
    {
        this->submit(address, id, detail::encodeEnvelope({ id, false, ForwardCancel {} }), nullptr, Purpose::Forward);
    }

    PeerResult resultOf(PendingAnswer& waiting, const PeerRequest& request)
    {
        if (waiting.status() != PeerStatus::Ok)
            return { waiting.status(), {} };
        auto answer = detail::decodeAnswer(waiting.takeAnswer());
        if (!answer || !detail::answersTo(request, *answer)) {
            this->malformed.add();
            return { PeerStatus::NoAnswer, {} };
        }
        return { PeerStatus::Ok, std::move(*answer) };
    }

    void wake()
    {
        if (!this->wakePending.exchange(true)) {
            std::uint64_t one = 1;
            [[maybe_unused]] auto count = ::write(this->wakeFd, &one, sizeof(one));
        }
    }

    void closeWakeFd()
    {
        if (this->wakeFd >= 0)
            ::close(this->wakeFd);
        this->wakeFd = -1;
    }

    // --- I/O thread. Only this thread accesses the sockets, `connections`, `servedForwards`, `requesters` and
    // `answerQueues`.

    void runIo()
    {
        auto nextTick = SteadyClock::now() + tickInterval;
        auto nextHeartbeat = SteadyClock::now() + this->settings.heartbeatInterval;
        bool noMoreAnswers = false;
        SteadyClock::time_point flushUntil = SteadyClock::time_point::max();
        for (;;) {
            try {
                this->pollSockets(nextTick);
                // Must be read before the commands are taken: the last answers are queued before the flag is set.
                noMoreAnswers = this->handlersStopped;
                this->takeCommands();
                this->flush();
                auto now = SteadyClock::now();
                if (now >= nextTick) {
                    this->tick(now);
                    nextTick = now + tickInterval;
                }
                if (now >= nextHeartbeat) {
                    this->sendHeartbeats();
                    nextHeartbeat = now + this->settings.heartbeatInterval;
                }
            } catch (const std::exception& error) {
                LogLine(LogLevel::Error, "peers_io").field("error", error.what()).write();
            }
            if (noMoreAnswers && flushUntil == SteadyClock::time_point::max()) {
                flushUntil = SteadyClock::now() + stopFlushTimeout;
                this->sendGoodbyes();
            }
            if ((noMoreAnswers && this->answerQueues.empty() && this->goodbyes.empty())
                || SteadyClock::now() >= flushUntil)
                break;
        }
        this->closeSockets();
    }

    // With ZMQ_IMMEDIATE, the requesting node's ZeroMQ discards messages that it has received but not yet delivered
    // when the connection closes. The sockets therefore stay open until every node that was sent an answer recently has
    // confirmed that it has read it.
    void sendGoodbyes()
    {
        for (const auto& [routingId, time] : this->lastAnswers) {
            this->goodbyes.insert(routingId);
            this->queueAnswer(
                routingId, { 0, false, detail::encodeEnvelope({ {}, true, Goodbye {} }), SteadyClock::now(), {} });
        }
    }

    void closeSockets()
    {
        for (const auto& [address, connection] : this->connections)
            this->poller.remove(address);
        this->poller.remove(routerName);
        this->connections.clear();
        this->router.close();
        this->context.close();
    }

    void pollSockets(SteadyClock::time_point nextTick)
    {
        auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(nextTick - SteadyClock::now());
        wait = std::clamp<std::chrono::milliseconds>(wait, std::chrono::milliseconds(0), tickInterval);
        if (!this->answerQueues.empty())
            wait = std::min<std::chrono::milliseconds>(wait, sendRetryInterval);
        std::vector<std::string> ready = this->poller.wait(wait);
        if (this->poller.woken()) {
            std::uint64_t count = 0;
            [[maybe_unused]] auto size = ::read(this->wakeFd, &count, sizeof(count));
        }
        for (const std::string& name : ready) {
            if (name == routerName)
                this->receiveRequests();
            else
                this->receiveAnswers(name, this->connections.at(name));
        }
    }

    void takeCommands()
    {
        std::deque<Command> taken;
        this->wakePending = false;
        {
            std::lock_guard lock(this->mutex);
            taken.swap(this->commands);
        }
        for (Command& command : taken) {
            switch (command.kind) {
            case Command::Kind::SendRequest:
                this->queueRequest(command);
                break;
            case Command::Kind::SendAnswer:
                this->queueAnswer(command.target,
                    { 0, false, std::move(command.bytes), SteadyClock::now(), std::move(command.requester),
                        command.purpose });
                break;
            case Command::Kind::Finished:
                this->servedForwards.erase({ command.target, command.id });
                break;
            }
        }
    }

    // --- Outgoing requests

    void queueRequest(Command& command)
    {
        std::size_t size = command.bytes.size();
        Connection* connection = this->connectionTo(command.target);
        if (connection == nullptr || connection->queuedBytes + size > this->settings.maxQueuedBytesPerPeer) {
            this->queuedBytes -= size;
            this->dropped.add();
            if (auto waiting = this->findPending(command.id.number); waiting && command.expectsAnswer)
                waiting->finish(PeerStatus::Rejected);
            return;
        }
        connection->queuedBytes += size;
        connection->queue.push_back({ command.id.number, command.expectsAnswer, std::move(command.bytes),
            SteadyClock::now(), {}, command.purpose });
    }

    Connection* connectionTo(const std::string& address)
    {
        auto found = this->connections.find(address);
        if (found != this->connections.end())
            return &found->second;
        if (this->connections.size() >= this->settings.maxPeers)
            return nullptr;
        Connection connection;
        if (!this->openSocket(address, connection))
            return nullptr;
        connection.lastUsed = SteadyClock::now();
        Connection& added = this->connections.emplace(address, std::move(connection)).first->second;
        this->poller.add(address, added.socket);
        return &added;
    }

    bool openSocket(const std::string& address, Connection& connection)
    {
        try {
            zmq::socket_t socket(this->context, zmq::socket_type::dealer);
            setCommonOptions(socket, this->settings, this->keys);
            setHeartbeats(socket, this->settings);
            if (!this->keys.publicKey.empty())
                socket.set(zmq::sockopt::curve_serverkey, this->keys.publicKey);
            // Keeps messages in `Connection::queue` until the connection is established.
            socket.set(zmq::sockopt::immediate, true);
            socket.set(zmq::sockopt::reconnect_ivl, reconnectMillis);
            socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMillis);
            socket.set(zmq::sockopt::connect_timeout, maxReconnectMillis);
            socket.connect("tcp://" + address);
            connection.socket = std::move(socket);
            return true;
        } catch (const zmq::error_t& error) {
            LogLine(LogLevel::Warning, "peer_connect").field("address", address).field("error", error.what()).write();
            return false;
        }
    }

    // Replaces the connection if a request on it has been waiting in complete silence. Unsent requests stay queued.
    void replaceIfSilent(const std::string& address, Connection& connection, SteadyClock::time_point now)
    {
        if (this->settings.silenceTimeout == Duration(0) || !connection.waitingSince)
            return;
        Duration waited = now - *connection.waitingSince;
        if (waited < this->settings.silenceTimeout)
            return;
        connection.waitingSince.reset();
        this->poller.remove(address);
        bool opened = this->openSocket(address, connection);
        this->poller.add(address, connection.socket);
        this->replaced.add();
        LogLine(LogLevel::Info, "peer_connection_replaced")
            .field("address", address)
            .field("silentMs", toMillis(waited))
            .field("opened", opened)
            .write();
    }

    std::shared_ptr<PendingAnswer> findPending(std::uint64_t number)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->pending.find(number);
        return found == this->pending.end() ? nullptr : found->second;
    }

    void flush()
    {
        for (auto& [address, connection] : this->connections) {
            if (connection.queue.empty())
                continue;
            this->flushConnection(connection);
            this->poller.touch(address);
        }
        if (!this->answerQueues.empty())
            this->poller.touch(routerName);
        for (auto it = this->answerQueues.begin(); it != this->answerQueues.end();) {
            bool empty = this->flushAnswerQueue(it->first, it->second);
            it = empty ? this->answerQueues.erase(it) : std::next(it);
        }
    }

    void flushConnection(Connection& connection)
    {
        while (!connection.queue.empty()) {
            if (!this->sendFront(connection))
                return;
            std::size_t size = connection.queue.front().bytes.size();
            connection.queuedBytes -= size;
            this->queuedBytes -= size;
            connection.queue.pop_front();
        }
    }

    // Returns false if the connection is not established or its send queue is full. A request that has already ended
    // is not sent.
    bool sendFront(Connection& connection)
    {
        OutgoingMessage& next = connection.queue.front();
        std::shared_ptr<PendingAnswer> waiting = next.expectsAnswer ? this->findPending(next.number) : nullptr;
        if (next.expectsAnswer && !waiting)
            return true;
        auto send
            = [&] { return connection.socket.send(zmq::buffer(next.bytes), zmq::send_flags::dontwait).has_value(); };
        SendResult result = waiting ? waiting->send(send) : (send() ? SendResult::Sent : SendResult::WouldBlock);
        if (result != SendResult::Sent)
            return result == SendResult::RequestEnded;
        this->countSent(next);
        connection.lastUsed = SteadyClock::now();
        if (next.expectsAnswer && !connection.waitingSince)
            connection.waitingSince = connection.lastUsed;
        return true;
    }

    void countSent(const OutgoingMessage& outgoing)
    {
        this->sent.add();
        this->sentBytes.add(outgoing.bytes.size());
        this->sentBytesByPurpose[static_cast<std::size_t>(outgoing.purpose)]->add(outgoing.bytes.size());
    }

    void receiveAnswers(const std::string& address, Connection& connection)
    {
        for (std::size_t i = 0; i < maxReceivesPerPoll; ++i) {
            zmq::message_t message;
            if (!connection.socket.recv(message, zmq::recv_flags::dontwait))
                return;
            connection.lastUsed = SteadyClock::now();
            connection.waitingSince.reset();
            bool oneFrame = !message.more();
            while (message.more()) {
                if (!connection.socket.recv(message, zmq::recv_flags::dontwait))
                    break;
            }
            this->received.add();
            this->receivedBytes.add(message.size());
            auto envelope = oneFrame ? detail::decodeEnvelope(message.to_string_view()) : std::nullopt;
            if (envelope && std::holds_alternative<Goodbye>(envelope->body))
                this->returnGoodbye(connection);
            else if (envelope)
                this->takeAnswer(address, *envelope);
            else
                this->malformed.add();
        }
    }

    void returnGoodbye(Connection& connection)
    {
        std::string bytes = detail::encodeEnvelope({ {}, true, Goodbye {} });
        connection.queuedBytes += bytes.size();
        this->queuedBytes += bytes.size();
        connection.queue.push_back({ 0, false, std::move(bytes), SteadyClock::now(), {} });
    }

    void takeAnswer(const std::string& address, PeerEnvelope& envelope)
    {
        auto waiting = envelope.id.session == this->session ? this->findPending(envelope.id.number) : nullptr;
        if (!waiting || waiting->address() != address) {
            this->unmatched.add();
            return;
        }
        switch (waiting->receive(envelope.body)) {
        case ReceiveResult::Accepted:
            break;
        case ReceiveResult::Duplicate:
            this->unmatched.add();
            break;
        case ReceiveResult::Aborted:
            this->dropped.add();
            break;
        case ReceiveResult::Malformed:
            this->malformed.add();
            break;
        }
    }

    // --- Incoming requests

    void receiveRequests()
    {
        for (std::size_t i = 0; i < maxReceivesPerPoll; ++i) {
            zmq::message_t routingId;
            if (!this->router.recv(routingId, zmq::recv_flags::dontwait))
                return;
            std::vector<zmq::message_t> frames;
            for (bool more = routingId.more(); more; more = frames.back().more()) {
                frames.emplace_back();
                if (!this->router.recv(frames.back(), zmq::recv_flags::dontwait))
                    break;
                if (frames.size() > 2)
                    frames.erase(frames.begin());
            }
            this->received.add();
            if (frames.size() != 1) {
                this->malformed.add();
                continue;
            }
            this->receivedBytes.add(frames[0].size());
            auto envelope = detail::decodeEnvelope(frames[0].to_string_view());
            if (envelope)
                this->takeRequest(routingId.to_string(), *envelope, frames[0].size());
            else
                this->malformed.add();
        }
    }

    void takeRequest(const std::string& routingId, PeerEnvelope& envelope, std::size_t size)
    {
        if (std::holds_alternative<ForwardCancel>(envelope.body)) {
            auto found = this->servedForwards.find({ routingId, envelope.id });
            if (found != this->servedForwards.end())
                found->second->cancelled = true;
            return;
        }
        if (std::holds_alternative<Goodbye>(envelope.body)) {
            this->goodbyes.erase(routingId);
            return;
        }
        auto* request = std::get_if<PeerRequest>(&envelope.body);
        if (request == nullptr) {
            this->malformed.add();
            return;
        }
        auto run = std::make_shared<ServedRequest>();
        run->routingId = routingId;
        run->id = envelope.id;
        run->requester = this->requesterFor(routingId);
        run->purpose = purposeOf(*request);
        bool notification = envelope.notification;
        bool forward = isForward(*request);
        if (forward && !this->servedForwards.emplace(std::pair(routingId, run->id), run).second) {
            this->unmatched.add(); // duplicate of a request that is already being served
            return;
        }
        WorkerPool& pool = this->poolFor(*request);
        auto task = [this, run, notification, size, body = std::make_shared<PeerRequest>(std::move(*request))] {
            this->serve(run, notification, *body);
            this->servedBytes -= size;
        };
        bool fits = this->servedBytes.fetch_add(size) + size <= this->settings.maxQueuedBytes;
        if (fits && pool.post(task))
            return;
        this->servedBytes -= size;
        this->refused.add();
        this->servedForwards.erase({ routingId, envelope.id });
        if (!notification) {
            std::string bytes
                = detail::encodeEnvelope({ envelope.id, false, Refusal { true, "too many requests are waiting" } });
            this->countQueued(*run->requester, bytes.size());
            this->queueAnswer(
                routingId, { 0, false, std::move(bytes), SteadyClock::now(), run->requester, run->purpose });
        }
    }

    std::shared_ptr<Requester> requesterFor(const std::string& routingId)
    {
        std::shared_ptr<Requester> requester = this->requesters[routingId].lock();
        if (!requester) {
            requester = std::make_shared<Requester>();
            this->requesters[routingId] = requester;
        }
        return requester;
    }

    WorkerPool& poolFor(const PeerRequest& request)
    {
        if (isForward(request))
            return this->forwards;
        if (std::holds_alternative<RecordCall>(request))
            return this->records;
        bool bridgeRequest = std::holds_alternative<BridgeBatch>(request) || std::holds_alternative<BridgeTrim>(request)
            || std::holds_alternative<BridgeFetch>(request);
        return bridgeRequest ? this->bridge : this->control;
    }

    // Runs on a worker thread.
    void serve(const std::shared_ptr<ServedRequest>& run, bool notification, const PeerRequest& request)
    {
        std::uint64_t position = 0;
        ChunkSink sink = [&](std::string_view text) {
            return this->sendAnswer(
                *run, detail::encodeEnvelope({ run->id, false, ForwardChunk { position++, std::string(text) } }));
        };
        std::string answer;
        bool answered = false;
        try {
            answer = detail::encodeAnswer(this->handler->handlePeerRequest(request, sink));
            answered = answer.size() <= this->settings.maxAnswerBytes;
        } catch (const std::exception& error) {
            LogLine(LogLevel::Error, "peer_handler").field("error", error.what()).write();
        }
        if (!notification && answered)
            this->sendParts(*run, answer);
        else if (!notification)
            this->sendAnswer(*run, detail::encodeEnvelope({ run->id, false, Refusal { false, "the handler failed" } }));
        if (isForward(request))
            this->pushCommand({ Command::Kind::Finished, run->routingId, run->id, {}, false, {}, run->purpose });
    }

    void sendParts(ServedRequest& run, const std::string& answer)
    {
        std::uint32_t position = 0;
        std::size_t offset = 0;
        do {
            AnswerPart part { position++, false, answer.substr(offset, answerPartBytes) };
            offset += part.content.size();
            part.last = offset >= answer.size();
            if (!this->sendAnswer(run, detail::encodeEnvelope({ run.id, false, std::move(part) })))
                return;
        } while (offset < answer.size());
    }

    // Returns false once the requesting node has cancelled, has disconnected, or reads its answers too slowly.
    bool sendAnswer(ServedRequest& run, std::string bytes)
    {
        if (run.cancelled)
            return false;
        if (bytes.size() > this->settings.maxMessageBytes
            || run.requester->queuedBytes + bytes.size() > this->settings.maxQueuedBytesPerPeer
            || this->answerBytes + bytes.size() > this->settings.maxQueuedBytes) {
            this->dropped.add();
            run.cancelled = true;
            return false;
        }
        this->countQueued(*run.requester, bytes.size());
        this->pushCommand(
            { Command::Kind::SendAnswer, run.routingId, run.id, std::move(bytes), false, run.requester, run.purpose });
        return true;
    }

    void countQueued(Requester& requester, std::size_t size)
    {
        requester.queuedBytes += size;
        this->answerBytes += size;
    }

    // Heartbeats have no requester and aren't counted.
    void countDequeued(const OutgoingMessage& outgoing)
    {
        if (!outgoing.requester)
            return;
        outgoing.requester->queuedBytes -= outgoing.bytes.size();
        this->answerBytes -= outgoing.bytes.size();
    }

    void pushCommand(Command command)
    {
        {
            std::lock_guard lock(this->mutex);
            this->commands.push_back(std::move(command));
        }
        this->wake();
    }

    void queueAnswer(const std::string& routingId, OutgoingMessage outgoing)
    {
        this->answerQueues[routingId].queue.push_back(std::move(outgoing));
    }

    // Returns true if no answer is left to send to the requesting node.
    bool flushAnswerQueue(const std::string& routingId, AnswerQueue& answerQueue)
    {
        while (!answerQueue.queue.empty()) {
            OutgoingMessage& next = answerQueue.queue.front();
            try {
                if (!this->router.send(zmq::buffer(routingId), zmq::send_flags::sndmore | zmq::send_flags::dontwait))
                    return false;
                this->router.send(zmq::buffer(next.bytes), zmq::send_flags::dontwait);
            } catch (const zmq::error_t&) { // EHOSTUNREACH: the connection is gone
                this->dropRequester(routingId, answerQueue);
                return true;
            }
            this->countSent(next);
            this->countDequeued(next);
            this->lastAnswers[routingId] = SteadyClock::now();
            answerQueue.queue.pop_front();
        }
        return true;
    }

    void dropRequester(const std::string& routingId, AnswerQueue& answerQueue)
    {
        for (OutgoingMessage& outgoing : answerQueue.queue) {
            this->dropped.add();
            this->countDequeued(outgoing);
        }
        answerQueue.queue.clear();
        this->lastAnswers.erase(routingId);
        this->goodbyes.erase(routingId);
        for (auto it = this->servedForwards.lower_bound({ routingId, {} });
             it != this->servedForwards.end() && it->first.first == routingId; ++it)
            it->second->cancelled = true;
    }

    void sendHeartbeats()
    {
        for (auto& [key, run] : this->servedForwards) {
            if (run->cancelled || this->answerQueues.count(key.first) > 0)
                continue;
            this->queueAnswer(key.first,
                { 0, false, detail::encodeEnvelope({ key.second, false, Heartbeat {} }), SteadyClock::now(), {},
                    Purpose::Forward });
        }
        this->flush();
    }

    void tick(SteadyClock::time_point now)
    {
        this->dropExpiredDetached(now);
        if (this->stopping) {
            for (auto& [key, run] : this->servedForwards)
                run->cancelled = true;
        }
        std::erase_if(
            this->lastAnswers, [now](const auto& requester) { return now - requester.second > goodbyeWindow; });
        std::erase_if(this->requesters, [](const auto& requester) { return requester.second.expired(); });
        for (auto it = this->connections.begin(); it != this->connections.end();) {
            this->dropExpired(it->second, now);
            this->replaceIfSilent(it->first, it->second, now);
            bool idle = it->second.queue.empty() && now - it->second.lastUsed > this->settings.idleConnectionTimeout;
            if (idle)
                this->poller.remove(it->first);
            it = idle ? this->connections.erase(it) : std::next(it);
        }
    }

    void dropExpired(Connection& connection, SteadyClock::time_point now)
    {
        std::deque<OutgoingMessage> kept;
        for (OutgoingMessage& outgoing : connection.queue) {
            bool wanted = outgoing.expectsAnswer ? this->findPending(outgoing.number) != nullptr
                                                 : now - outgoing.queuedAt < notificationLifetime;
            if (wanted) {
                kept.push_back(std::move(outgoing));
                continue;
            }
            connection.queuedBytes -= outgoing.bytes.size();
            this->queuedBytes -= outgoing.bytes.size();
        }
        connection.queue.swap(kept);
    }

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

ZmqPeers::ZmqPeers(ZmqPeersSettings settings, Counters& counters)
    : impl(std::make_unique<Impl>(std::move(settings), counters))
{
}

ZmqPeers::~ZmqPeers() = default;

std::string ZmqPeers::start(PeerHandler& handler)
{
    return this->impl->start(handler);
}

std::string ZmqPeers::boundAddress() const
{
    return this->impl->bound;
}

void ZmqPeers::stop()
{
    this->impl->stop();
}

PeerResult ZmqPeers::request(
    const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink)
{
    return this->impl->request(address, request, timeout, sink);
}

std::vector<PeerResult> ZmqPeers::requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
    const Fanout& fanout, const EnoughAnswers& enough)
{
    return this->impl->requestAll(addresses, request, fanout, enough);
}

void ZmqPeers::notify(const std::string& address, const PeerRequest& request)
{
    this->impl->notify(address, request);
}

void ZmqPeers::failForwardsTo(const std::string& address)
{
    this->impl->failForwardsTo(address);
}

} // namespace lovagecross
