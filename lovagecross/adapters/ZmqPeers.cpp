#include "lovagecross/adapters/ZmqPeersImpl.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <random>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace lovagecross {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(100);
constexpr auto sendRetryInterval = std::chrono::milliseconds(5); // delay before unsent answers are retried
constexpr auto stopFlushTimeout = std::chrono::milliseconds(500); // for answers that are complete when `stop` is called
constexpr auto goodbyeWindow = std::chrono::seconds(1); // nodes sent an answer within this time get a Goodbye
constexpr int sendHighWaterMark = 32; // messages queued in ZeroMQ for each connection
// When a receive queue is full, libzmq 4.3.4 stops reading the connection. If the connection then fails, the next
// heartbeat timer aborts the process (assertion in out_event). The limit is therefore high enough not to be reached:
// the I/O thread drains the queue, and the worker pools reject requests above their limits.
constexpr int receiveHighWaterMark = 100'000;
constexpr std::size_t controlWorkers = 4;
constexpr std::size_t bridgeWorkers = 4;

} // namespace

void ZmqPeers::Impl::setCommonOptions(zmq::socket_t& socket, const ZmqPeersSettings& settings, const CurveKeyPair& keys)
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

ZmqPeers::Impl::Impl(ZmqPeersSettings givenSettings, Counters& counters)
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

std::string ZmqPeers::Impl::start(PeerHandler& newHandler)
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

void ZmqPeers::Impl::stop()
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

void ZmqPeers::Impl::wake()
{
    if (!this->wakePending.exchange(true)) {
        std::uint64_t one = 1;
        [[maybe_unused]] auto count = ::write(this->wakeFd, &one, sizeof(one));
    }
}

void ZmqPeers::Impl::closeWakeFd()
{
    if (this->wakeFd >= 0)
        ::close(this->wakeFd);
    this->wakeFd = -1;
}

void ZmqPeers::Impl::runIo()
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
        if ((noMoreAnswers && this->answerQueues.empty() && this->goodbyes.empty()) || SteadyClock::now() >= flushUntil)
            break;
    }
    this->closeSockets();
}

void ZmqPeers::Impl::sendGoodbyes()
{
    for (const auto& [routingId, time] : this->lastAnswers) {
        this->goodbyes.insert(routingId);
        this->queueAnswer(
            routingId, { 0, false, detail::encodeEnvelope({ {}, true, Goodbye {} }), SteadyClock::now(), {} });
    }
}

void ZmqPeers::Impl::closeSockets()
{
    for (const auto& [address, connection] : this->connections)
        this->poller.remove(address);
    this->poller.remove(routerName);
    this->connections.clear();
    this->router.close();
    this->context.close();
}

void ZmqPeers::Impl::pollSockets(SteadyClock::time_point nextTick)
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

void ZmqPeers::Impl::takeCommands()
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

void ZmqPeers::Impl::flush()
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

void ZmqPeers::Impl::pushCommand(Command command)
{
    {
        std::lock_guard lock(this->mutex);
        this->commands.push_back(std::move(command));
    }
    this->wake();
}

void ZmqPeers::Impl::tick(SteadyClock::time_point now)
{
    this->dropExpiredDetached(now);
    if (this->stopping) {
        for (auto& [key, run] : this->servedForwards)
            run->cancelled = true;
    }
    std::erase_if(this->lastAnswers, [now](const auto& requester) { return now - requester.second > goodbyeWindow; });
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
