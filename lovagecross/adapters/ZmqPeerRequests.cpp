#include "lovagecross/adapters/ZmqPeersImpl.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr auto notificationLifetime = std::chrono::seconds(5); // unsent notifications are dropped after this time
// How long a request stays open after `requestAll` has returned without its answer.
constexpr auto detachedRequestLifetime = std::chrono::seconds(2);

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

bool ZmqPeers::Impl::isForward(const PeerRequest& request)
{
    return std::holds_alternative<ForwardRequest>(request);
}

ZmqPeers::Impl::Purpose ZmqPeers::Impl::purposeOf(const PeerRequest& request)
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

PeerResult ZmqPeers::Impl::request(
    const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink& sink)
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

std::vector<PeerResult> ZmqPeers::Impl::requestAll(const std::vector<std::string>& addresses,
    const PeerRequest& request, const Fanout& fanout, const EnoughAnswers& enough)
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
    this->detachUnanswered(ids, waiting, arrived);
    return results;
}

void ZmqPeers::Impl::notify(const std::string& address, const PeerRequest& request)
{
    RequestId id = this->nextId();
    if (!this->submit(address, id, detail::encodeEnvelope({ id, true, request }), nullptr, purposeOf(request)))
        this->dropped.add();
}

void ZmqPeers::Impl::failForwardsTo(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    for (auto& [number, waiting] : this->pending) {
        if (waiting->isForward() && waiting->address() == address)
            waiting->finish(PeerStatus::NoAnswer);
    }
}

std::shared_ptr<detail::PendingAnswer> ZmqPeers::Impl::submitCounted(const std::string& address, RequestId id,
    const PeerRequest& request, const std::shared_ptr<CompletionCount>& completion)
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

void ZmqPeers::Impl::detachUnanswered(const std::vector<RequestId>& ids,
    const std::vector<std::shared_ptr<PendingAnswer>>& waiting, const std::vector<const PeerResult*>& arrived)
{
    auto until = SteadyClock::now() + detachedRequestLifetime;
    std::lock_guard lock(this->mutex);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (arrived[i] == nullptr && !waiting[i]->abandon())
            this->detachedRequests.emplace_back(until, ids[i].number);
        else
            this->pending.erase(ids[i].number);
    }
}

void ZmqPeers::Impl::dropExpiredDetached(SteadyClock::time_point now)
{
    std::lock_guard lock(this->mutex);
    while (!this->detachedRequests.empty() && this->detachedRequests.front().first <= now) {
        if (this->pending.erase(this->detachedRequests.front().second) > 0)
            this->unanswered.add();
        this->detachedRequests.pop_front();
    }
}

bool ZmqPeers::Impl::submit(const std::string& address, RequestId id, std::string bytes,
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

void ZmqPeers::Impl::sendCancel(const std::string& address, RequestId id)
{
    this->submit(address, id, detail::encodeEnvelope({ id, false, ForwardCancel {} }), nullptr, Purpose::Forward);
}

PeerResult ZmqPeers::Impl::resultOf(PendingAnswer& waiting, const PeerRequest& request)
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

void ZmqPeers::Impl::queueRequest(Command& command)
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

ZmqPeers::Impl::Connection* ZmqPeers::Impl::connectionTo(const std::string& address)
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

bool ZmqPeers::Impl::openSocket(const std::string& address, Connection& connection)
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

void ZmqPeers::Impl::replaceIfSilent(const std::string& address, Connection& connection, SteadyClock::time_point now)
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

std::shared_ptr<detail::PendingAnswer> ZmqPeers::Impl::findPending(std::uint64_t number)
{
    std::lock_guard lock(this->mutex);
    auto found = this->pending.find(number);
    return found == this->pending.end() ? nullptr : found->second;
}

void ZmqPeers::Impl::flushConnection(Connection& connection)
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

bool ZmqPeers::Impl::sendFront(Connection& connection)
{
    OutgoingMessage& next = connection.queue.front();
    std::shared_ptr<PendingAnswer> waiting = next.expectsAnswer ? this->findPending(next.number) : nullptr;
    if (next.expectsAnswer && !waiting)
        return true;
    auto send = [&] { return connection.socket.send(zmq::buffer(next.bytes), zmq::send_flags::dontwait).has_value(); };
    SendResult result = waiting ? waiting->send(send) : (send() ? SendResult::Sent : SendResult::WouldBlock);
    if (result != SendResult::Sent)
        return result == SendResult::RequestEnded;
    this->countSent(next);
    connection.lastUsed = SteadyClock::now();
    if (next.expectsAnswer && !connection.waitingSince)
        connection.waitingSince = connection.lastUsed;
    return true;
}

void ZmqPeers::Impl::countSent(const OutgoingMessage& outgoing)
{
    this->sent.add();
    this->sentBytes.add(outgoing.bytes.size());
    this->sentBytesByPurpose[static_cast<std::size_t>(outgoing.purpose)]->add(outgoing.bytes.size());
}

void ZmqPeers::Impl::receiveAnswers(const std::string& address, Connection& connection)
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

void ZmqPeers::Impl::returnGoodbye(Connection& connection)
{
    std::string bytes = detail::encodeEnvelope({ {}, true, Goodbye {} });
    connection.queuedBytes += bytes.size();
    this->queuedBytes += bytes.size();
    connection.queue.push_back({ 0, false, std::move(bytes), SteadyClock::now(), {} });
}

void ZmqPeers::Impl::takeAnswer(const std::string& address, PeerEnvelope& envelope)
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
    if (waiting->endedUnawaited()) { // its answer would count as in flight, with its bytes
        std::lock_guard lock(this->mutex);
        this->pending.erase(envelope.id.number);
    }
}

void ZmqPeers::Impl::dropExpired(Connection& connection, SteadyClock::time_point now)
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

} // namespace lovagecross
