#include "lovagecross/standins/EngineService.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <limits>
#include <utility>

namespace lovagecross::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t defaultMaxTokens = 1024;
constexpr int crashExitCode = 70;
constexpr int retryAfterMs = 500; // hint in refusals
// How often a waiting stream checks whether its client is still there.
constexpr auto clientCheckInterval = 500ms;
// The model also drops ended streams and finishes model loads while nothing runs.
constexpr auto idleAdvanceInterval = 200ms;

using JsonObject = Poco::JSON::Object;

JsonObject::Ptr parseObject(const std::string& body)
{
    return Poco::JSON::Parser().parse(body).extract<JsonObject::Ptr>();
}

std::string textOf(const Poco::Dynamic::Var& content)
{
    if (content.isEmpty())
        return {};
    if (content.isString())
        return content.convert<std::string>();
    throw BadRequest("message content must be a string");
}

std::vector<PromptMessage> parseMessages(const JsonObject& body)
{
    const auto array = body.getArray("messages");
    if (!array || array->empty())
        throw BadRequest("messages must be a list of at least one message");
    std::vector<PromptMessage> messages;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto message = array->getObject(static_cast<unsigned>(i));
        if (!message)
            throw BadRequest("messages must be objects");
        messages.push_back({ message->optValue<std::string>("role", ""), textOf(message->get("content")) });
    }
    return messages;
}

// Runs `parse`, which reads the body's fields. An error of the JSON library becomes a BadRequest.
template <typename Parse> auto parseBody(const std::string& what, Parse&& parse)
{
    try {
        return parse();
    } catch (const Poco::Exception& error) {
        throw BadRequest(what + ": " + error.displayText());
    }
}

struct Completion {
    EngineRequest request;
    bool stream = false;
};

Completion parseCompletion(const Exchange& exchange)
{
    const auto body = parseObject(exchange.body());
    Completion completion;
    EngineRequest& request = completion.request;
    request.streamId = exchange.header("X-Stream-Id");
    request.session = exchange.header("X-Session");
    request.model = body->getValue<std::string>("model");
    request.messages = parseMessages(*body);
    request.maxTokens = body->optValue<std::uint32_t>("max_tokens", defaultMaxTokens);
    request.priority = static_cast<std::uint32_t>(exchange.headerNumber("X-Priority", 0));
    request.epoch = exchange.headerNumber("X-Epoch", 0);
    completion.stream = body->optValue<bool>("stream", false);
    return completion;
}

EngineOrder parseOrder(const std::string& text)
{
    const auto body = parseObject(text);
    const auto kind = orderKindNames.parse(body->getValue<std::string>("kind"));
    if (!kind)
        throw BadRequest("kind must be one of " + orderKindNames.listNames());
    EngineOrder order;
    order.kind = *kind;
    order.model = body->optValue<std::string>("model", "");
    order.adapter = body->optValue<std::string>("adapter", "");
    order.role = body->optValue<std::string>("role", "");
    order.epoch = body->getValue<std::uint64_t>("epoch");
    if ((order.kind == OrderKind::Role ? order.role : order.model).empty())
        throw BadRequest("load and unload need a model, role needs a role");
    return order;
}

void replyRetryLater(Exchange& exchange, int status, const std::string& code, const std::string& message)
{
    exchange.setHeader("Retry-After-Ms", std::to_string(retryAfterMs));
    exchange.replyError(status, code, message);
}

void replyRefusal(Exchange& exchange, SubmitStatus status)
{
    switch (status) {
    case SubmitStatus::UnknownModel:
        exchange.replyError(404, "unknown_model", "the model is not loaded");
        return;
    case SubmitStatus::OldEpoch:
        exchange.replyError(409, "old_epoch", "a request with a higher epoch came before");
        return;
    case SubmitStatus::DuplicateStream:
        exchange.replyError(409, "duplicate_stream", "the stream id is in use");
        return;
    case SubmitStatus::TooLarge:
        exchange.replyError(413, "too_large", "prompt and answer exceed the KV memory");
        return;
    case SubmitStatus::QueueFull:
    case SubmitStatus::Accepted:
        replyRetryLater(exchange, 429, "overloaded", "the queue is full");
        return;
    }
}

const char* finishReason(const StreamProgress& progress)
{
    return progress.answer.reachesLimit ? "length" : "stop";
}

std::string usageJson(const StreamProgress& progress)
{
    return R"({"prompt_tokens":)" + std::to_string(progress.promptTokens) + R"(,"completion_tokens":)"
        + std::to_string(progress.readyTokens) + R"(,"cached_tokens":)" + std::to_string(progress.cachedTokens) + "}";
}

// The texts contain nothing that JSON would escape.
std::string eventText(const StreamProgress& progress, std::uint32_t first, std::uint32_t end)
{
    const bool last = progress.finished && end == progress.readyTokens;
    std::string event = R"(data: {"choices":[{"index":0,"delta":{"content":")" + progress.answer.text(first, end);
    event += R"("},"finish_reason":)";
    event += last ? '"' + std::string(finishReason(progress)) + '"' : "null";
    event += "}]";
    if (last)
        event += R"(,"usage":)" + usageJson(progress);
    return event + "}\n\n";
}

// One event a token from `first` on; an event without text when the stream has ended and none is left.
std::string eventsFrom(const StreamProgress& progress, std::uint32_t first, std::uint32_t end)
{
    if (progress.finished && first >= progress.readyTokens)
        return eventText(progress, progress.readyTokens, progress.readyTokens);
    std::string events;
    for (std::uint32_t token = first; token < end; ++token)
        events += eventText(progress, token, token + 1);
    return events;
}

[[noreturn]] void endProcess()
{
    std::_Exit(crashExitCode);
}

JsonObject prefixJson(const std::vector<PrefixBlock>& prefix)
{
    Poco::JSON::Array blocks;
    for (const PrefixBlock& block : prefix) {
        JsonObject entry;
        entry.set("digest", block.digest);
        entry.set("tokens", block.tokens);
        blocks.add(entry);
    }
    JsonObject object;
    object.set("blocks", blocks);
    return object;
}

std::vector<PrefixBlock> parsePrefix(const JsonObject::Ptr& object)
{
    const auto blocks = object ? object->getArray("blocks") : Poco::JSON::Array::Ptr();
    if (!blocks)
        throw BadRequest("a prefix needs blocks");
    std::vector<PrefixBlock> prefix;
    for (std::size_t i = 0; i < blocks->size(); ++i) {
        const auto block = blocks->getObject(static_cast<unsigned>(i));
        if (!block)
            throw BadRequest("a block must be an object");
        prefix.push_back({ block->getValue<std::string>("digest"), block->getValue<std::uint32_t>("tokens") });
    }
    return prefix;
}

std::vector<std::vector<PrefixBlock>> parsePrefixes(const std::string& body)
{
    std::vector<std::vector<PrefixBlock>> prefixes;
    const auto list = parseObject(body)->getArray("prefixes");
    if (!list)
        throw BadRequest("not an exported KV cache");
    for (std::size_t i = 0; i < list->size(); ++i)
        prefixes.push_back(parsePrefix(list->getObject(static_cast<unsigned>(i))));
    return prefixes;
}

} // namespace

EngineService::EngineService(EngineServiceOptions options)
    : options(std::move(options))
    , faults(
          {
              { "refuse", &EngineFaults::refuse },
              { "crashOnText", &EngineFaults::crashOnText },
              { "silentAfterTokens", &EngineFaults::silentAfterTokens },
              { "dropAfterTokens", &EngineFaults::dropAfterTokens },
              { "loadLagMs", &EngineFaults::loadLagMs },
              { "eventLagMs", &EngineFaults::eventLagMs },
              { "eventLossPercent", &EngineFaults::eventLossPercent },
              { "delayMs", &EngineFaults::delayMs },
          },
          this->options.faults)
    , model(std::make_unique<EngineModel>(this->options.engine, this->clock.now()))
    , modelThread([this] { this->runModel(); })
{
}

EngineService::~EngineService()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->modelChanged.notify_all();
    }
    this->modelThread.join();
}

void EngineService::runModel()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->advanceLocked();
        const auto next = this->model->nextStepEnd();
        if (next)
            this->modelChanged.wait_until(lock, *next);
        else
            this->modelChanged.wait_for(lock, idleAdvanceInterval);
    }
}

void EngineService::advanceLocked()
{
    const TimePoint now = this->clock.now();
    for (const std::string& streamId : this->model->advance(now)) {
        const auto waiting = this->waiters.find(streamId);
        if (waiting != this->waiters.end())
            waiting->second.changed.notify_all();
    }
    this->loads.record(this->model->load(), now);
    this->events.record(this->model->takeCacheChanges(), now, this->faults.get().eventLossPercent);
}

void EngineService::serve(Exchange& exchange)
{
    if (!this->passesFaults(exchange))
        return;
    const std::string request = exchange.method() + " " + exchange.path();
    if (request == "POST /v1/chat/completions")
        this->serveCompletion(exchange);
    else if (const auto streamId = exchange.pathAfter("/v1/streams/"))
        this->serveStream(exchange, *streamId);
    else if (request == "GET /v1/sessions")
        this->serveSessions(exchange);
    else if (const auto session = exchange.pathAfter("/v1/sessions/"))
        this->serveSession(exchange, *session);
    else if (request == "GET /v1/load")
        this->serveLoad(exchange);
    else if (request == "GET /v1/cache-events")
        this->serveCacheEvents(exchange);
    else if (request == "POST /v1/orders")
        this->serveOrder(exchange);
    else if (const auto kvSession = exchange.pathAfter("/v1/kv/"))
        this->serveKv(exchange, *kvSession);
    else
        exchange.replyError(404, "not_found", "no resource " + request);
}

bool EngineService::passesFaults(Exchange& exchange)
{
    const EngineFaults faults = this->faults.get();
    if (faults.delayMs > 0)
        exchange.stopSignal().wait(std::chrono::milliseconds(faults.delayMs));
    if (!faults.refuse)
        return true;
    this->count("refused");
    replyRetryLater(exchange, 503, "unavailable", "the engine takes no requests");
    return false;
}

SubmitStatus EngineService::submit(const EngineRequest& request)
{
    const std::lock_guard lock(this->mutex);
    const SubmitStatus status = this->model->submit(request, this->clock.now());
    this->modelChanged.notify_all();
    return status;
}

void EngineService::serveCompletion(Exchange& exchange)
{
    this->count("completions");
    Completion completion = parseBody("chat completion", [&] { return parseCompletion(exchange); });
    EngineRequest& request = completion.request;
    this->crashIfAsked(request);
    if (request.streamId.empty()) {
        const std::lock_guard lock(this->mutex);
        request.streamId = "unnamed-" + std::to_string(++this->unnamedStreams);
    }
    const SubmitStatus status = this->submit(request);
    if (status != SubmitStatus::Accepted) {
        this->count("rejected");
        replyRefusal(exchange, status);
        return;
    }
    SendPlan plan;
    plan.streamId = request.streamId;
    plan.asEvents = completion.stream;
    this->sendStream(exchange, plan);
}

void EngineService::crashIfAsked(const EngineRequest& request)
{
    const std::string text = this->faults.get().crashOnText;
    const auto contains = [&](const PromptMessage& message) { return message.content.find(text) != std::string::npos; };
    if (text.empty() || std::none_of(request.messages.begin(), request.messages.end(), contains))
        return;
    if (this->options.crash)
        this->options.crash();
    else
        endProcess();
}

void EngineService::cancel(const std::string& streamId)
{
    const std::lock_guard lock(this->mutex);
    this->model->cancel(streamId, this->clock.now());
    if (const auto waiting = this->waiters.find(streamId); waiting != this->waiters.end())
        waiting->second.changed.notify_all();
}

void EngineService::serveStream(Exchange& exchange, const std::string& streamId)
{
    if (exchange.method() == "DELETE") {
        this->count("cancels");
        this->cancel(streamId);
        exchange.replyEmpty(204);
        return;
    }
    this->count("resumes");
    SendPlan plan;
    plan.streamId = streamId;
    plan.offset = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(exchange.queryNumber("offset", 0), std::numeric_limits<std::uint32_t>::max()));
    plan.withFaults = false;
    bool known = false;
    {
        const std::lock_guard lock(this->mutex);
        known = this->model->progress(streamId).has_value();
    }
    if (!known || exchange.method() != "GET")
        exchange.replyError(404, "unknown_stream", "no stream " + streamId);
    else
        this->sendStream(exchange, plan);
}

void EngineService::sendStream(Exchange& exchange, const SendPlan& plan)
{
    if (plan.asEvents)
        this->sendEvents(exchange, plan);
    else
        this->sendWhole(exchange, plan);
}

void EngineService::sendEvents(Exchange& exchange, const SendPlan& plan)
{
    exchange.startStream("text/event-stream");
    std::uint32_t sent = plan.offset;
    while (true) {
        if (this->endsByFault(exchange, plan, sent))
            return;
        const auto progress = this->waitForTokens(exchange, plan.streamId, sent);
        if (!progress) {
            exchange.drop();
            return;
        }
        std::uint32_t end = progress->readyTokens;
        // Stops exactly at the token that a fault names.
        const EngineFaults faults = this->faults.get();
        for (const std::int64_t limit : { faults.silentAfterTokens, faults.dropAfterTokens }) {
            if (plan.withFaults && limit > sent)
                end = static_cast<std::uint32_t>(std::min<std::int64_t>(end, limit));
        }
        if (!exchange.send(eventsFrom(*progress, sent, end)))
            return;
        sent = std::max(sent, end);
        if (progress->finished && sent >= progress->readyTokens)
            break;
    }
    if (this->endsByFault(exchange, plan, sent))
        return;
    exchange.send("data: [DONE]\n\n");
}

void EngineService::sendWhole(Exchange& exchange, const SendPlan& plan)
{
    std::uint32_t ready = 0;
    std::optional<StreamProgress> progress;
    while (true) {
        if (this->endsByFault(exchange, plan, ready))
            return;
        progress = this->waitForTokens(exchange, plan.streamId, ready);
        if (!progress) {
            exchange.drop();
            return;
        }
        if (progress->finished)
            break;
        ready = progress->readyTokens;
    }
    if (this->endsByFault(exchange, plan, progress->readyTokens))
        return;
    exchange.reply(200,
        R"({"choices":[{"index":0,"message":{"role":"assistant","content":")"
            + progress->answer.text(0, progress->readyTokens) + R"("},"finish_reason":")" + finishReason(*progress)
            + R"("}],"usage":)" + usageJson(*progress) + "}");
}

bool EngineService::endsByFault(Exchange& exchange, const SendPlan& plan, std::uint32_t sent)
{
    if (!plan.withFaults)
        return false;
    const EngineFaults faults = this->faults.get();
    if (faults.dropAfterTokens > 0 && sent >= faults.dropAfterTokens) {
        this->count("dropped");
        exchange.drop();
        return true;
    }
    if (faults.silentAfterTokens > 0 && sent >= faults.silentAfterTokens) {
        this->count("silenced");
        exchange.holdSilent();
        return true;
    }
    return false;
}

std::optional<StreamProgress> EngineService::waitForTokens(
    Exchange& exchange, const std::string& streamId, std::uint32_t tokens)
{
    std::unique_lock lock(this->mutex);
    StreamWaiters& waiting = this->waiters[streamId];
    ++waiting.count;
    std::optional<StreamProgress> progress;
    while (true) {
        progress = this->model->progress(streamId);
        if (!progress || progress->readyTokens > tokens || progress->finished)
            break;
        if (exchange.stopSignal().stopped() || exchange.clientGone()) {
            progress.reset();
            break;
        }
        waiting.changed.wait_for(lock, clientCheckInterval);
    }
    if (--waiting.count == 0)
        this->waiters.erase(streamId);
    return progress;
}

void EngineService::serveSessions(Exchange& exchange)
{
    Poco::JSON::Array list;
    {
        const std::lock_guard lock(this->mutex);
        this->advanceLocked();
        for (const SessionTokens& session : this->model->sessions()) {
            JsonObject entry;
            entry.set("id", session.session);
            entry.set("tokens", session.tokens);
            list.add(entry);
        }
    }
    JsonObject body;
    body.set("sessions", list);
    exchange.replyJson(200, body);
}

void EngineService::serveSession(Exchange& exchange, const std::string& session)
{
    if (exchange.method() != "DELETE") {
        exchange.replyError(405, "bad_request", "sessions take DELETE");
        return;
    }
    bool accepted = false;
    {
        const std::lock_guard lock(this->mutex);
        accepted = this->model->releaseSession(session, exchange.headerNumber("X-Epoch", 0), this->clock.now());
    }
    if (!accepted) {
        replyRefusal(exchange, SubmitStatus::OldEpoch);
        return;
    }
    this->count("releases");
    exchange.replyEmpty(204);
}

void EngineService::serveLoad(Exchange& exchange)
{
    EngineLoad load;
    {
        const std::lock_guard lock(this->mutex);
        this->advanceLocked();
        load = this->loads.report(this->clock.now(), std::chrono::milliseconds(this->faults.get().loadLagMs));
    }
    JsonObject body;
    body.set("running", load.runningRequests);
    body.set("queued", load.queuedRequests);
    body.set("queuedPrefillTokens", load.queuedPrefillTokens);
    body.set("freeKvTokens", load.freeKvTokens);
    body.set("reportAgeMs", load.reportAgeMillis);
    exchange.replyJson(200, body);
}

void EngineService::serveCacheEvents(Exchange& exchange)
{
    std::vector<CacheEvent> events;
    {
        const std::lock_guard lock(this->mutex);
        this->advanceLocked();
        events = this->events.events(exchange.queryNumber("after", 0), this->clock.now(),
            std::chrono::milliseconds(this->faults.get().eventLagMs));
    }
    Poco::JSON::Array list;
    for (const CacheEvent& event : events) {
        JsonObject entry;
        entry.set("sequence", event.sequence);
        entry.set("type", event.stored ? "stored" : "evicted");
        entry.set("prefixDigest", event.prefixDigest);
        entry.set("tokens", event.tokens);
        list.add(entry);
    }
    JsonObject body;
    body.set("events", list);
    exchange.replyJson(200, body);
}

void EngineService::serveOrder(Exchange& exchange)
{
    const EngineOrder order = parseBody("order", [&] { return parseOrder(exchange.body()); });
    bool accepted = false;
    {
        const std::lock_guard lock(this->mutex);
        accepted = this->model->order(order, this->clock.now());
    }
    this->count(accepted ? "orders" : "refusedOrders");
    if (accepted)
        exchange.replyJson(200, JsonObject());
    else
        replyRefusal(exchange, SubmitStatus::OldEpoch);
}

void EngineService::serveKv(Exchange& exchange, const std::string& session)
{
    if (exchange.method() == "GET")
        this->exportKv(exchange, session);
    else if (exchange.method() == "PUT")
        this->importKv(exchange, session);
    else
        exchange.replyError(405, "bad_request", "KV caches take GET and PUT");
}

void EngineService::transferKv(Exchange& exchange, std::uint32_t tokens) const
{
    const double seconds = tokens / this->options.kvTransferTokensPerSecond;
    exchange.stopSignal().wait(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

void EngineService::exportKv(Exchange& exchange, const std::string& session)
{
    std::vector<std::vector<PrefixBlock>> prefixes;
    {
        const std::lock_guard lock(this->mutex);
        this->advanceLocked();
        prefixes = this->model->exportSession(session);
    }
    if (prefixes.empty()) {
        exchange.replyError(404, "unknown_session", "no KV cache of session " + session);
        return;
    }
    this->count("kvExports");
    Poco::JSON::Array list;
    std::uint32_t tokens = 0;
    for (const auto& prefix : prefixes) {
        tokens += countTokens(prefix);
        list.add(prefixJson(prefix));
    }
    this->transferKv(exchange, tokens);
    JsonObject body;
    body.set("prefixes", list);
    exchange.replyJson(200, body);
}

void EngineService::importKv(Exchange& exchange, const std::string& session)
{
    const auto prefixes = parseBody("KV cache", [&] { return parsePrefixes(exchange.body()); });
    bool stored = true;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& prefix : prefixes)
            stored = this->model->importSession(session, prefix, this->clock.now()) && stored;
    }
    this->count("kvImports");
    if (stored)
        exchange.replyEmpty(204);
    else
        replyRetryLater(exchange, 503, "no_memory", "no KV memory is free");
}

std::string EngineService::applyFaults(const std::string& json)
{
    return this->faults.apply(json);
}

void EngineService::resetState()
{
    this->faults.reset();
    const std::lock_guard lock(this->mutex);
    this->model = std::make_unique<EngineModel>(this->options.engine, this->clock.now());
    this->events.clear();
    for (auto& [streamId, waiting] : this->waiters)
        waiting.changed.notify_all();
}

void EngineService::addStats(Poco::JSON::Object& stats)
{
    const std::lock_guard lock(this->mutex);
    this->advanceLocked();
    const EngineLoad load = this->model->load();
    stats.set("running", load.runningRequests);
    stats.set("queued", load.queuedRequests);
    stats.set("freeKvTokens", load.freeKvTokens);
    stats.set("sessions", this->model->sessions().size());
    stats.set("role", this->model->role());
    const EngineTotals& totals = this->model->totals();
    stats.set("acceptedRequests", totals.requests);
    stats.set("promptTokens", totals.promptTokens);
    stats.set("cachedTokens", totals.cachedTokens);
    stats.set("generatedTokens", totals.generatedTokens);
}

} // namespace lovagecross::standins
