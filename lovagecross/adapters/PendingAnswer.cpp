#include "lovagecross/adapters/PendingAnswer.h"

#include <utility>

namespace lovagecross::detail {

namespace {

// Limit for one request's chunks that its sink has not consumed yet.
constexpr std::size_t maxChunkBytes = 8 * 1024 * 1024;

} // namespace

bool ByteBudget::add(std::size_t size)
{
    if (this->bytes.fetch_add(size) + size <= this->limit)
        return true;
    this->bytes -= size;
    return false;
}

PendingAnswer::PendingAnswer(std::string address, bool forward, std::size_t maxAnswerBytes, ByteBudget& answerBudget)
    : peerAddress(std::move(address))
    , forward(forward)
    , maxAnswerBytes(maxAnswerBytes)
    , answerBudget(answerBudget)
{
}

PendingAnswer::~PendingAnswer()
{
    this->answerBudget.subtract(this->chunkBytes + this->answerBytes);
}

void PendingAnswer::wait(Duration silence, const ChunkSink& sink)
{
    std::unique_lock lock(this->mutex);
    for (;;) {
        while (!this->chunks.empty()) {
            std::string chunk = std::move(this->chunks.front());
            this->chunks.pop_front();
            this->chunkBytes -= chunk.size();
            this->answerBudget.subtract(chunk.size());
            lock.unlock();
            bool wanted = !sink || sink(chunk);
            lock.lock();
            if (!wanted) {
                this->done = true;
                this->finalStatus = PeerStatus::NoAnswer;
                return;
            }
        }
        if (this->done)
            return;
        auto until = this->lastHeard + silence;
        if (std::chrono::steady_clock::now() >= until)
            return this->finishLocked(this->sent ? PeerStatus::NoAnswer : PeerStatus::Rejected);
        this->changed.wait_until(lock, until);
    }
}

SendResult PendingAnswer::send(const std::function<bool()>& send)
{
    std::lock_guard lock(this->mutex);
    if (this->done)
        return SendResult::RequestEnded;
    if (!send())
        return SendResult::WouldBlock;
    this->sent = true;
    return SendResult::Sent;
}

ReceiveResult PendingAnswer::receive(PeerBody& body)
{
    std::lock_guard lock(this->mutex);
    if (this->done)
        return ReceiveResult::Duplicate;
    this->lastHeard = std::chrono::steady_clock::now();
    if (auto* chunk = std::get_if<ForwardChunk>(&body); chunk != nullptr && this->forward)
        return this->receiveChunk(*chunk);
    if (auto* part = std::get_if<AnswerPart>(&body))
        return this->receivePart(*part);
    if (auto* refusal = std::get_if<Refusal>(&body)) {
        this->finishLocked(refusal->nothingDone ? PeerStatus::Rejected : PeerStatus::NoAnswer);
        return ReceiveResult::Accepted;
    }
    return std::holds_alternative<Heartbeat>(body) ? ReceiveResult::Accepted : ReceiveResult::Malformed;
}

ReceiveResult PendingAnswer::receiveChunk(ForwardChunk& chunk)
{
    if (chunk.position < this->nextChunk)
        return ReceiveResult::Duplicate;
    bool fits = chunk.position == this->nextChunk && this->chunkBytes + chunk.text.size() <= maxChunkBytes
        && this->answerBudget.add(chunk.text.size());
    if (!fits) {
        this->finishLocked(PeerStatus::NoAnswer);
        return ReceiveResult::Aborted;
    }
    ++this->nextChunk;
    this->chunkBytes += chunk.text.size();
    this->chunks.push_back(std::move(chunk.text));
    this->changed.notify_all();
    return ReceiveResult::Accepted;
}

ReceiveResult PendingAnswer::receivePart(AnswerPart& part)
{
    if (part.position < this->nextPart)
        return ReceiveResult::Duplicate;
    bool fits = part.position == this->nextPart && this->answerBytes + part.content.size() <= this->maxAnswerBytes
        && this->answerBudget.add(part.content.size());
    if (!fits) {
        this->finishLocked(PeerStatus::NoAnswer);
        return ReceiveResult::Aborted;
    }
    ++this->nextPart;
    this->answerBytes += part.content.size();
    this->answer += part.content;
    if (part.last)
        this->finishLocked(PeerStatus::Ok);
    return ReceiveResult::Accepted;
}

void PendingAnswer::finish(PeerStatus newStatus)
{
    std::lock_guard lock(this->mutex);
    this->finishLocked(newStatus);
}

void PendingAnswer::finishLocked(PeerStatus newStatus)
{
    if (this->done)
        return;
    this->done = true;
    this->finalStatus = newStatus;
    this->changed.notify_all();
    if (this->endCallback)
        this->endCallback();
}

bool PendingAnswer::isDone()
{
    std::lock_guard lock(this->mutex);
    return this->done;
}

bool PendingAnswer::abandon()
{
    std::lock_guard lock(this->mutex);
    this->abandoned = true;
    return this->done;
}

bool PendingAnswer::endedUnawaited()
{
    std::lock_guard lock(this->mutex);
    return this->abandoned && this->done;
}

PeerStatus PendingAnswer::status()
{
    std::lock_guard lock(this->mutex);
    return this->finalStatus;
}

std::string PendingAnswer::takeAnswer()
{
    std::lock_guard lock(this->mutex);
    return std::move(this->answer);
}

} // namespace lovagecross::detail
