#include "lovagecross/standins/PlatformService.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

namespace lovagecross::standins {

namespace {

constexpr std::size_t maxKeyBytes = 512;
constexpr std::uint64_t defaultWatchMs = 30000;
constexpr std::uint64_t maxWatchMs = 120000;
// How often a waiting watch checks whether its client is still there.
constexpr auto watchCheckInterval = std::chrono::seconds(1);
// The list that is served now, and those that will replace it, are among these unless the list changes faster.
constexpr std::size_t maxVmLists = 64;
constexpr const char* emptyVmList = R"({"vms":[]})";

std::string base64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

void replyObject(Exchange& exchange, const StoredObject& object)
{
    exchange.setHeader("X-Version", std::to_string(object.version));
    exchange.reply(200, object.value, "application/octet-stream");
}

void replyNotFound(Exchange& exchange, const std::string& key)
{
    exchange.replyError(404, "not_found", "no object \"" + key + "\"");
}

void replyWritten(Exchange& exchange, const StoreResult& result)
{
    if (exchange.method() == "DELETE") {
        exchange.replyEmpty(204);
        return;
    }
    exchange.setHeader("X-Version", std::to_string(result.object.version));
    exchange.replyEmpty(exchange.hasHeader("If-None-Match") ? 201 : 200);
}

void checkCondition(const Exchange& exchange)
{
    const bool creates = exchange.header("If-None-Match") == "*";
    if (exchange.method() == "PUT" && creates == exchange.hasHeader("If-Match"))
        throw BadRequest("PUT needs either If-None-Match: * or If-Match: version");
}

void checkKey(const std::string& key)
{
    if (key.empty() || key.size() > maxKeyBytes)
        throw BadRequest("a key must have 1 to " + std::to_string(maxKeyBytes) + " bytes");
}

void checkVmList(const std::string& body)
{
    bool hasList = false;
    try {
        hasList = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>()->isArray("vms");
    } catch (const Poco::Exception&) {
        hasList = false;
    }
    if (!hasList)
        throw BadRequest("the body must be {\"vms\":[...]}");
}

} // namespace

PlatformService::PlatformService(const Clock& clock, PlatformOptions options)
    : clock(clock)
    , options(std::move(options))
    , faults(
          {
              { "down", &PlatformFaults::down },
              { "blackhole", &PlatformFaults::blackhole },
              { "delayMs", &PlatformFaults::delayMs },
              { "loseAnswersAfterWrite", &PlatformFaults::loseAnswersAfterWrite },
              { "failBeforeWrite", &PlatformFaults::failBeforeWrite },
              { "writesPerSecond", &PlatformFaults::writesPerSecond },
              { "readsPerSecond", &PlatformFaults::readsPerSecond },
              { "onlyPrefix", &PlatformFaults::onlyPrefix },
          },
          this->options.faults)
{
}

void PlatformService::serve(Exchange& exchange)
{
    if (const auto key = exchange.pathAfter("/objects/"))
        this->serveObject(exchange, *key);
    else if (const auto watched = exchange.pathAfter("/watch/"))
        this->serveWatch(exchange, *watched);
    else if (exchange.path() == "/objects")
        this->serveList(exchange);
    else if (exchange.path() == "/vms")
        this->serveVms(exchange);
    else
        exchange.replyError(404, "not_found", "no resource " + exchange.path());
}

bool PlatformService::faultsApply(const PlatformFaults& faults, const std::string& key) const
{
    return key.starts_with(faults.onlyPrefix);
}

bool PlatformService::passesFaults(Exchange& exchange, const std::string& key, bool write)
{
    this->count(write ? "writes" : "reads");
    const PlatformFaults faults = this->faults.get();
    if (!this->faultsApply(faults, key))
        return true;
    if (faults.blackhole) {
        this->count("unanswered");
        exchange.holdSilent([this] { return !this->faults.get().blackhole; });
        return false;
    }
    if (faults.down || (write && this->faults.takeOne(&PlatformFaults::failBeforeWrite))) {
        this->count("unavailable");
        exchange.replyError(503, "unavailable", "the platform is down");
        return false;
    }
    if (faults.delayMs > 0)
        exchange.stopSignal().wait(std::chrono::milliseconds(faults.delayMs));
    return this->passesLimit(exchange, write);
}

bool PlatformService::passesLimit(Exchange& exchange, bool write)
{
    const PlatformFaults faults = this->faults.get();
    std::optional<Duration> retryAfter;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint now = this->clock.now();
        this->writeLimiter.setLimit(faults.writesPerSecond, now);
        this->readLimiter.setLimit(faults.readsPerSecond, now);
        retryAfter = (write ? this->writeLimiter : this->readLimiter).take(now);
    }
    if (!retryAfter)
        return true;
    this->count(write ? "limitedWrites" : "limitedReads");
    exchange.setHeader("Retry-After-Ms", std::to_string(toMillis(*retryAfter) + 1));
    exchange.replyError(429, "rate_limited", write ? "too many writes" : "too many reads");
    return false;
}

void PlatformService::serveObject(Exchange& exchange, const std::string& key)
{
    const bool write = exchange.method() == "PUT" || exchange.method() == "DELETE";
    if (!write && exchange.method() != "GET") {
        exchange.replyError(405, "bad_request", "objects take GET, PUT and DELETE");
        return;
    }
    if (!this->passesFaults(exchange, key, write))
        return;
    checkKey(key);
    if (write)
        this->serveWrite(exchange, key);
    else
        this->serveGet(exchange, key);
}

void PlatformService::serveGet(Exchange& exchange, const std::string& key)
{
    StoreResult result;
    {
        const std::lock_guard lock(this->mutex);
        result = this->table.get(key);
    }
    if (result.ok())
        replyObject(exchange, result.object);
    else
        replyNotFound(exchange, key);
}

StoreResult PlatformService::write(Exchange& exchange, const std::string& key)
{
    const std::uint64_t expected = exchange.headerNumber("If-Match", 0);
    const std::lock_guard lock(this->mutex);
    StoreResult result;
    if (exchange.method() == "DELETE")
        result = this->table.remove(key, expected);
    else if (exchange.hasHeader("If-Match"))
        result = this->table.update(key, exchange.body(), expected);
    else
        result = this->table.create(key, exchange.body());
    if (const auto waiting = this->waiters.find(key); result.ok() && waiting != this->waiters.end())
        waiting->second.changed.notify_all();
    return result;
}

void PlatformService::serveWrite(Exchange& exchange, const std::string& key)
{
    checkCondition(exchange);
    const StoreResult result = this->write(exchange, key);
    if (result.ok() && this->faultsApply(this->faults.get(), key)
        && this->faults.takeOne(&PlatformFaults::loseAnswersAfterWrite)) {
        this->count("lostAnswers");
        exchange.drop();
    } else if (result.ok()) {
        replyWritten(exchange, result);
    } else if (result.status == StoreStatus::NotFound) {
        replyNotFound(exchange, key);
    } else if (result.status == StoreStatus::TooLarge) {
        exchange.replyError(413, "too_large", "a value has at most " + std::to_string(maxObjectBytes) + " bytes");
    } else {
        this->count("conflicts");
        exchange.setHeader("X-Version", std::to_string(result.object.version));
        exchange.replyError(412, "conflict", "version " + std::to_string(result.object.version) + " is current");
    }
}

void PlatformService::serveList(Exchange& exchange)
{
    const std::string prefix = exchange.query("prefix");
    if (!this->passesFaults(exchange, prefix, false))
        return;
    const bool withValues = exchange.query("values") == "true";
    std::vector<StoredObject> objects;
    {
        const std::lock_guard lock(this->mutex);
        objects = this->table.list(prefix, withValues);
    }
    Poco::JSON::Array list;
    for (const StoredObject& object : objects) {
        Poco::JSON::Object entry;
        entry.set("key", object.key);
        entry.set("version", object.version);
        if (withValues)
            entry.set("value", base64(object.value));
        list.add(entry);
    }
    Poco::JSON::Object body;
    body.set("objects", list);
    exchange.replyJson(200, body);
}

void PlatformService::serveWatch(Exchange& exchange, const std::string& key)
{
    if (!this->passesFaults(exchange, key, false))
        return;
    checkKey(key);
    const std::uint64_t after = exchange.queryNumber("after", 0);
    const std::uint64_t timeoutMs = std::min(exchange.queryNumber("timeoutMs", defaultWatchMs), maxWatchMs);
    this->count("watches");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    std::unique_lock lock(this->mutex);
    Waiters& waiting = this->waiters[key];
    ++waiting.count;
    StoreResult result;
    PlatformFaults current;
    bool ended = false;
    while (!ended) {
        result = this->table.get(key);
        current = this->faults.get();
        const auto now = std::chrono::steady_clock::now();
        ended = (result.ok() && result.object.version > after) || now >= deadline || exchange.stopSignal().stopped()
            || exchange.clientGone() || (this->faultsApply(current, key) && (current.down || current.blackhole));
        if (!ended)
            waiting.changed.wait_until(lock, std::min(deadline, now + watchCheckInterval));
    }
    if (--waiting.count == 0)
        this->waiters.erase(key);
    lock.unlock();

    // A fault that began while the watch waited ends it like a new request.
    if (this->faultsApply(current, key) && current.blackhole)
        exchange.holdSilent([this] { return !this->faults.get().blackhole; });
    else if (this->faultsApply(current, key) && current.down)
        exchange.replyError(503, "unavailable", "the platform is down");
    else if (result.ok() && result.object.version > after)
        replyObject(exchange, result.object);
    else
        exchange.replyEmpty(304);
}

void PlatformService::serveVms(Exchange& exchange)
{
    if (!this->passesFaults(exchange, "", false))
        return;
    std::string json = emptyVmList;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint shown = this->clock.now() - std::chrono::milliseconds(this->options.vmLagMs);
        for (const VmList& list : this->vmLists) {
            if (list.setAt <= shown)
                json = list.json;
        }
    }
    exchange.reply(200, json);
}

bool PlatformService::serveControl(Exchange& exchange)
{
    if (exchange.method() != "POST" || exchange.path() != "/control/vms")
        return false;
    checkVmList(exchange.body());
    {
        const std::lock_guard lock(this->mutex);
        this->vmLists.push_back({ this->clock.now(), exchange.body() });
        if (this->vmLists.size() > maxVmLists)
            this->vmLists.pop_front();
    }
    exchange.replyJson(200, Poco::JSON::Object());
    return true;
}

std::string PlatformService::applyFaults(const std::string& json)
{
    std::string message = this->faults.apply(json);
    this->wakeAllWaiters();
    return message;
}

void PlatformService::resetState()
{
    this->faults.reset();
    {
        const std::lock_guard lock(this->mutex);
        this->table.clear();
        this->vmLists.clear();
    }
    this->wakeAllWaiters();
}

void PlatformService::wakeAllWaiters()
{
    const std::lock_guard lock(this->mutex);
    for (auto& [key, waiting] : this->waiters)
        waiting.changed.notify_all();
}

void PlatformService::addStats(Poco::JSON::Object& stats)
{
    const std::lock_guard lock(this->mutex);
    std::size_t waiting = 0;
    for (const auto& [key, waiters] : this->waiters)
        waiting += waiters.count;
    stats.set("objects", this->table.size());
    stats.set("waitingWatches", waiting);
}

} // namespace lovagecross::standins
