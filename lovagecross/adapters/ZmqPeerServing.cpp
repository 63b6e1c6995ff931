#include "lovagecross/adapters/ZmqPeersImpl.h"

#include "lovagecross/adapters/Log.h"

#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t answerPartBytes = 768 * 1024; // size of each part of an answer that exceeds one message

} // namespace

void ZmqPeers::Impl::receiveRequests()
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

void ZmqPeers::Impl::takeRequest(const std::string& routingId, PeerEnvelope& envelope, std::size_t size)
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
        this->queueAnswer(routingId, { 0, false, std::move(bytes), SteadyClock::now(), run->requester, run->purpose });
    }
}

std::shared_ptr<ZmqPeers::Impl::Requester> ZmqPeers::Impl::requesterFor(const std::string& routingId)
{
    std::shared_ptr<Requester> requester = this->requesters[routingId].lock();
    if (!requester) {
        requester = std::make_shared<Requester>();
        this->requesters[routingId] = requester;
    }
    return requester;
}

detail::WorkerPool& ZmqPeers::Impl::poolFor(const PeerRequest& request)
{
    if (isForward(request))
        return this->forwards;
    if (std::holds_alternative<RecordCall>(request))
        return this->records;
    bool bridgeRequest = std::holds_alternative<BridgeBatch>(request) || std::holds_alternative<BridgeTrim>(request)
        || std::holds_alternative<BridgeFetch>(request);
    return bridgeRequest ? this->bridge : this->control;
}

void ZmqPeers::Impl::serve(const std::shared_ptr<ServedRequest>& run, bool notification, const PeerRequest& request)
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

void ZmqPeers::Impl::sendParts(ServedRequest& run, const std::string& answer)
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

bool ZmqPeers::Impl::sendAnswer(ServedRequest& run, std::string bytes)
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

void ZmqPeers::Impl::countQueued(Requester& requester, std::size_t size)
{
    requester.queuedBytes += size;
    this->answerBytes += size;
}

void ZmqPeers::Impl::countDequeued(const OutgoingMessage& outgoing)
{
    if (!outgoing.requester)
        return;
    outgoing.requester->queuedBytes -= outgoing.bytes.size();
    this->answerBytes -= outgoing.bytes.size();
}

void ZmqPeers::Impl::queueAnswer(const std::string& routingId, OutgoingMessage outgoing)
{
    this->answerQueues[routingId].queue.push_back(std::move(outgoing));
}

bool ZmqPeers::Impl::flushAnswerQueue(const std::string& routingId, AnswerQueue& answerQueue)
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

void ZmqPeers::Impl::dropRequester(const std::string& routingId, AnswerQueue& answerQueue)
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

void ZmqPeers::Impl::sendHeartbeats()
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

} // namespace lovagecross
