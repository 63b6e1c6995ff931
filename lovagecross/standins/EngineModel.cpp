#include "lovagecross/standins/EngineModel.h"

#include <algorithm>
#include <utility>

namespace lovagecross::standins {

namespace {

// Prompt tokens that one step prefills. At the default rate of 8,000 tokens/s a chunk holds decoding up for 32 ms.
constexpr std::uint32_t maxPrefillTokensInStep = 256;
constexpr std::size_t maxSessionEpochs = 200000;

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

std::string servedName(const EngineOrder& order)
{
    return order.adapter.empty() ? order.model : order.model + ":" + order.adapter;
}

} // namespace

bool EngineModel::QueueOrder::operator()(const Stream* left, const Stream* right) const
{
    if (left->request.priority != right->request.priority)
        return left->request.priority > right->request.priority;
    return left->arrival < right->arrival;
}

EngineModel::EngineModel(EngineOptions options, TimePoint now)
    : options(std::move(options))
    , cache(this->options.kvTokens)
    , time(now)
    , models(this->options.models.begin(), this->options.models.end())
{
}

std::vector<std::string> EngineModel::advance(TimePoint now)
{
    this->runUntil(now);
    return std::exchange(this->progressed, {});
}

void EngineModel::runUntil(TimePoint now)
{
    while (this->stepEnd && *this->stepEnd <= now) {
        this->time = *this->stepEnd;
        this->finishStep();
        this->beginStep();
    }
    this->time = std::max(this->time, now);
    this->applyLoadedModels();
    this->dropEndedStreams();
}

std::optional<TimePoint> EngineModel::nextStepEnd() const
{
    return this->stepEnd;
}

bool EngineModel::acceptEpoch(
    std::map<std::string, std::uint64_t>& epochs, const std::string& key, std::uint64_t epoch) const
{
    if (!this->options.checkEpoch)
        return true;
    if (epochs.size() >= maxSessionEpochs && !epochs.contains(key))
        epochs.erase(epochs.begin());
    std::uint64_t& highest = epochs[key];
    if (epoch < highest)
        return false;
    highest = epoch;
    return true;
}

SubmitStatus EngineModel::submit(const EngineRequest& request, TimePoint now)
{
    this->runUntil(now);
    if (!this->serves(request.model))
        return SubmitStatus::UnknownModel;
    if (this->streams.contains(request.streamId))
        return SubmitStatus::DuplicateStream;
    if (!this->acceptEpoch(this->sessionEpochs, request.session, request.epoch))
        return SubmitStatus::OldEpoch;
    Stream stream;
    stream.request = request;
    stream.arrival = ++this->arrivals;
    stream.blocks = prefixBlocks(request.messages);
    stream.promptTokens = countTokens(stream.blocks);
    stream.prefillLeft = stream.promptTokens - this->cache.cachedTokens(stream.blocks);
    stream.answer = planAnswer(request.messages.back().content, request.maxTokens);
    if (std::uint64_t(stream.promptTokens) + stream.answer.tokens > this->options.kvTokens)
        return SubmitStatus::TooLarge;
    if (this->queued.size() >= this->options.maxQueue)
        return SubmitStatus::QueueFull;
    ++this->work.requests;
    Stream& added = this->streams.emplace(request.streamId, std::move(stream)).first->second;
    this->queued.insert(&added);
    if (!this->stepEnd)
        this->beginStep();
    return SubmitStatus::Accepted;
}

void EngineModel::startQueued()
{
    while (!this->queued.empty() && this->running.size() < this->options.slots) {
        Stream* stream = *this->queued.begin();
        // The first of the queue waits for memory, and the others behind it, so that a long prompt is not overtaken for
        // ever.
        if (!this->startStream(*stream))
            return;
        this->queued.erase(stream);
        this->running.insert(stream);
    }
}

bool EngineModel::startStream(Stream& stream)
{
    const std::size_t pinned = this->cache.pin(stream.blocks);
    const std::uint32_t cached = this->cache.cachedTokens(stream.blocks);
    const std::uint32_t needed = stream.promptTokens - cached + stream.answer.tokens;
    if (!this->cache.makeRoom(needed, this->reserved)) {
        this->cache.unpin(stream.blocks, pinned);
        return false;
    }
    stream.pinnedBlocks = pinned;
    stream.cachedTokens = cached;
    this->work.promptTokens += stream.promptTokens;
    this->work.cachedTokens += cached;
    // The last token of a prompt is always computed: its result gives the first answer token.
    stream.prefillLeft = std::max(1U, stream.promptTokens - cached);
    stream.reservedTokens = needed;
    this->reserved += needed;
    stream.state = StreamState::Prefill;
    return true;
}

void EngineModel::beginStep()
{
    this->startQueued();
    this->stepEnd.reset();
    if (this->running.empty())
        return;
    std::uint32_t chunk = 0;
    bool decodes = false;
    for (Stream* stream : this->running) {
        stream->prefillInStep = 0;
        if (stream->state == StreamState::Prefill) {
            stream->prefillInStep = std::min(stream->prefillLeft, maxPrefillTokensInStep - chunk);
            chunk += stream->prefillInStep;
        } else {
            decodes = true;
        }
    }
    const double prefillSeconds = chunk / this->options.prefillTokensPerSecond;
    const double decodeSeconds = decodes ? 1 / this->options.decodeTokensPerSecond : 0;
    this->stepEnd = this->time + std::max(Duration(1), seconds(prefillSeconds + decodeSeconds));
}

void EngineModel::finishStep()
{
    const std::vector<Stream*> batch(this->running.begin(), this->running.end());
    for (Stream* stream : batch) {
        if (stream->state == StreamState::Decode) {
            this->addToken(*stream);
            continue;
        }
        stream->prefillLeft -= stream->prefillInStep;
        if (stream->prefillLeft == 0)
            this->finishPrefill(*stream);
    }
}

void EngineModel::finishPrefill(Stream& stream)
{
    // The prompt moves from reserved memory into the cache, where other requests find it at once.
    this->releaseMemory(stream);
    this->cache.store(stream.request.session, stream.blocks);
    stream.pinnedBlocks = this->cache.pin(stream.blocks);
    stream.reservedTokens = stream.answer.tokens;
    this->reserved += stream.reservedTokens;
    stream.state = StreamState::Decode;
    this->addToken(stream);
}

void EngineModel::addToken(Stream& stream)
{
    ++this->work.generatedTokens;
    ++stream.ready;
    if (stream.ready < stream.answer.tokens) {
        this->progressed.push_back(stream.request.streamId);
        return;
    }
    std::vector<PromptMessage> conversation = stream.request.messages;
    conversation.push_back({ "assistant", stream.answer.text(0, stream.answer.tokens) });
    this->endStream(stream);
    this->cache.store(stream.request.session, prefixBlocks(conversation));
}

void EngineModel::releaseMemory(Stream& stream)
{
    this->cache.unpin(stream.blocks, stream.pinnedBlocks);
    stream.pinnedBlocks = 0;
    this->reserved -= stream.reservedTokens;
    stream.reservedTokens = 0;
}

void EngineModel::endStream(Stream& stream)
{
    this->queued.erase(&stream);
    this->running.erase(&stream);
    this->releaseMemory(stream);
    stream.state = StreamState::Ended;
    stream.endedAt = this->time;
    this->progressed.push_back(stream.request.streamId);
    this->endedStreams.push_back(stream.request.streamId);
}

void EngineModel::dropEndedStreams()
{
    auto keptFrom = this->endedStreams.begin();
    for (; keptFrom != this->endedStreams.end(); ++keptFrom) {
        const auto stream = this->streams.find(*keptFrom);
        // Cancelled since, and perhaps submitted anew.
        if (stream == this->streams.end() || stream->second.state != StreamState::Ended)
            continue;
        if (stream->second.endedAt + keepEndedStreams > this->time)
            break;
        this->streams.erase(stream);
    }
    this->endedStreams.erase(this->endedStreams.begin(), keptFrom);
}

std::optional<StreamProgress> EngineModel::progress(const std::string& streamId) const
{
    const auto found = this->streams.find(streamId);
    if (found == this->streams.end())
        return std::nullopt;
    const Stream& stream = found->second;
    return StreamProgress { stream.answer, stream.promptTokens, stream.cachedTokens, stream.ready,
        stream.state == StreamState::Ended };
}

void EngineModel::cancel(const std::string& streamId, TimePoint now)
{
    this->runUntil(now);
    const auto found = this->streams.find(streamId);
    if (found == this->streams.end())
        return;
    if (found->second.state != StreamState::Ended)
        this->endStream(found->second);
    this->streams.erase(found);
}

bool EngineModel::releaseSession(const std::string& session, std::uint64_t epoch, TimePoint now)
{
    if (!this->acceptEpoch(this->sessionEpochs, session, epoch))
        return false;
    std::vector<std::string> underWay;
    for (const auto& [id, stream] : this->streams) {
        if (stream.request.session == session && stream.state != StreamState::Ended)
            underWay.push_back(id);
    }
    for (const std::string& id : underWay)
        this->cancel(id, now);
    this->cache.releaseSession(session);
    return true;
}

std::vector<SessionTokens> EngineModel::sessions() const
{
    std::map<std::string, std::uint32_t> tokens;
    for (const SessionTokens& session : this->cache.sessions())
        tokens[session.session] += session.tokens;
    for (const auto& [id, stream] : this->streams) {
        if (stream.state != StreamState::Ended && !stream.request.session.empty())
            tokens[stream.request.session] += stream.reservedTokens;
    }
    std::vector<SessionTokens> list;
    list.reserve(tokens.size());
    for (const auto& [session, count] : tokens)
        list.push_back({ session, count });
    return list;
}

bool EngineModel::serves(const std::string& model) const
{
    return this->models.contains(model);
}

bool EngineModel::order(const EngineOrder& order, TimePoint now)
{
    // One sequence of epochs for all orders: an old holder must not undo what a newer one ordered for another model.
    if (!this->acceptEpoch(this->orderEpochs, "orders", order.epoch))
        return false;
    this->runUntil(now);
    if (order.kind == OrderKind::Role) {
        this->currentRole = order.role;
    } else if (order.kind == OrderKind::Unload) {
        this->models.erase(servedName(order));
        this->loadingModels.erase(servedName(order));
    } else {
        this->loadingModels.try_emplace(servedName(order), now + std::chrono::milliseconds(this->options.modelLoadMs));
        this->applyLoadedModels();
    }
    return true;
}

void EngineModel::applyLoadedModels()
{
    for (auto loading = this->loadingModels.begin(); loading != this->loadingModels.end();) {
        if (loading->second > this->time) {
            ++loading;
            continue;
        }
        this->models.insert(loading->first);
        loading = this->loadingModels.erase(loading);
    }
}

std::vector<std::vector<PrefixBlock>> EngineModel::exportSession(const std::string& session) const
{
    return this->cache.sessionPrefixes(session);
}

bool EngineModel::importSession(const std::string& session, const std::vector<PrefixBlock>& prefix, TimePoint now)
{
    this->runUntil(now);
    const std::size_t pinned = this->cache.pin(prefix);
    const std::uint32_t missing = countTokens(prefix) - this->cache.cachedTokens(prefix);
    const bool hasRoom = this->cache.makeRoom(missing, this->reserved);
    if (hasRoom)
        this->cache.store(session, prefix);
    this->cache.unpin(prefix, pinned);
    return hasRoom;
}

EngineLoad EngineModel::load() const
{
    EngineLoad load;
    load.runningRequests = static_cast<std::uint32_t>(this->running.size());
    load.queuedRequests = static_cast<std::uint32_t>(this->queued.size());
    for (const Stream* stream : this->queued)
        load.queuedPrefillTokens += stream->prefillLeft;
    for (const Stream* stream : this->running)
        load.queuedPrefillTokens += stream->prefillLeft;
    load.freeKvTokens = this->options.kvTokens - this->cache.usedTokens() - this->reserved;
    return load;
}

} // namespace lovagecross::standins
