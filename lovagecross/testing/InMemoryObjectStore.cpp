#include "lovagecross/testing/InMemoryObjectStore.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration rateLimitRetryAfter = std::chrono::milliseconds(100);

// Whether this thread runs a hook, of any store.
thread_local bool insideHook = false;

// Marks the thread for its lifetime; a hook may throw to end the code under test.
struct HookScope {
    HookScope() { insideHook = true; }
    ~HookScope() { insideHook = false; }
    HookScope(const HookScope&) = delete;
    HookScope& operator=(const HookScope&) = delete;
};

bool isRead(StoreOperation operation)
{
    return operation == StoreOperation::Get || operation == StoreOperation::List || operation == StoreOperation::Watch;
}

bool takesEffect(StoreFault fault)
{
    return fault == StoreFault::None || fault == StoreFault::LostAfter;
}

StoreResult statusOnly(StoreStatus status)
{
    StoreResult result;
    result.status = status;
    return result;
}

StoreStatus faultStatus(StoreFault fault)
{
    switch (fault) {
    case StoreFault::RateLimited:
        return StoreStatus::RateLimited;
    case StoreFault::LostAfter:
    case StoreFault::LostBefore:
        return StoreStatus::Unknown;
    case StoreFault::None:
    case StoreFault::Unavailable:
        break;
    }
    return StoreStatus::Unavailable;
}

StoreResult faultResult(StoreFault fault)
{
    StoreResult result = statusOnly(faultStatus(fault));
    if (fault == StoreFault::RateLimited)
        result.retryAfter = rateLimitRetryAfter;
    return result;
}

} // namespace

StoreFault InMemoryObjectStore::admit(StoreOperation operation, std::string_view key)
{
    StoreHook currentHook;
    StoreCall call { operation, std::string(key), 0 };
    {
        std::lock_guard lock(this->mutex);
        ++(isRead(operation) ? this->counts.reads : this->counts.writes);
        if (this->outage)
            return StoreFault::Unavailable;
        if (this->nextFaultCount > 0) {
            --this->nextFaultCount;
            return this->nextFault;
        }
        if (!this->hook || insideHook)
            return StoreFault::None;
        currentHook = this->hook;
        call.number = ++this->hookCalls;
    }
    HookScope scope;
    return currentHook(call);
}

StoreResult InMemoryObjectStore::put(std::string_view key, std::string_view value)
{
    StoredObject& object = this->objects[std::string(key)];
    object = { std::string(key), ++this->lastVersion, std::string(value) };
    this->changed.notify_all();
    return { StoreStatus::Ok, { object.key, object.version, {} }, Duration(0) };
}

StoreResult InMemoryObjectStore::get(std::string_view key)
{
    StoreFault fault = this->admit(StoreOperation::Get, key);
    if (fault != StoreFault::None)
        return faultResult(fault);
    std::lock_guard lock(this->mutex);
    auto found = this->objects.find(key);
    if (found == this->objects.end())
        return statusOnly(StoreStatus::NotFound);
    return { StoreStatus::Ok, found->second, Duration(0) };
}

StoreResult InMemoryObjectStore::create(std::string_view key, std::string_view value)
{
    StoreFault fault = this->admit(StoreOperation::Create, key);
    if (!takesEffect(fault))
        return faultResult(fault);
    std::lock_guard lock(this->mutex);
    StoreResult result;
    if (value.size() > maxObjectBytes)
        result = statusOnly(StoreStatus::TooLarge);
    else if (this->objects.contains(key))
        result = statusOnly(StoreStatus::Conflict);
    else
        result = this->put(key, value);
    return fault == StoreFault::None ? result : faultResult(fault);
}

StoreResult InMemoryObjectStore::update(std::string_view key, std::string_view value, std::uint64_t expectedVersion)
{
    StoreFault fault = this->admit(StoreOperation::Update, key);
    if (!takesEffect(fault))
        return faultResult(fault);
    std::lock_guard lock(this->mutex);
    auto found = this->objects.find(key);
    StoreResult result;
    if (value.size() > maxObjectBytes)
        result = statusOnly(StoreStatus::TooLarge);
    else if (found == this->objects.end())
        result = statusOnly(StoreStatus::NotFound);
    else if (found->second.version != expectedVersion)
        result = statusOnly(StoreStatus::Conflict);
    else
        result = this->put(key, value);
    return fault == StoreFault::None ? result : faultResult(fault);
}

StoreResult InMemoryObjectStore::remove(std::string_view key, std::uint64_t expectedVersion)
{
    StoreFault fault = this->admit(StoreOperation::Remove, key);
    if (!takesEffect(fault))
        return faultResult(fault);
    std::lock_guard lock(this->mutex);
    auto found = this->objects.find(key);
    StoreResult result = statusOnly(StoreStatus::Ok);
    if (found == this->objects.end())
        result = statusOnly(StoreStatus::NotFound);
    else if (expectedVersion != 0 && found->second.version != expectedVersion)
        result = statusOnly(StoreStatus::Conflict);
    else
        this->objects.erase(found);
    this->changed.notify_all();
    return fault == StoreFault::None ? result : faultResult(fault);
}

ListResult InMemoryObjectStore::list(std::string_view prefix, bool withValues)
{
    StoreFault fault = this->admit(StoreOperation::List, prefix);
    if (fault != StoreFault::None)
        return { faultStatus(fault), {} };
    std::lock_guard lock(this->mutex);
    ListResult result { StoreStatus::Ok, {} };
    for (auto found = this->objects.lower_bound(prefix);
         found != this->objects.end() && found->first.starts_with(prefix); ++found) {
        const StoredObject& object = found->second;
        result.objects.push_back({ object.key, object.version, withValues ? object.value : std::string() });
    }
    return result;
}

StoreResult InMemoryObjectStore::watch(std::string_view key, std::uint64_t knownVersion, Duration timeout)
{
    StoreFault fault = this->admit(StoreOperation::Watch, key);
    if (fault != StoreFault::None)
        return faultResult(fault);
    std::unique_lock lock(this->mutex);
    auto isNewer = [&] {
        auto found = this->objects.find(key);
        return found != this->objects.end() && found->second.version > knownVersion;
    };
    this->changed.wait_for(lock, timeout, [&] { return this->outage || isNewer(); });
    if (this->outage)
        return statusOnly(StoreStatus::Unavailable);
    if (!isNewer())
        return statusOnly(StoreStatus::NotFound);
    return { StoreStatus::Ok, this->objects.find(key)->second, Duration(0) };
}

void InMemoryObjectStore::setHook(StoreHook newHook)
{
    std::lock_guard lock(this->mutex);
    this->hook = std::move(newHook);
    this->hookCalls = 0;
}

void InMemoryObjectStore::failNext(StoreFault fault, std::uint64_t count)
{
    std::lock_guard lock(this->mutex);
    this->nextFault = fault;
    this->nextFaultCount = count;
}

void InMemoryObjectStore::setUnavailable(bool unavailable)
{
    std::lock_guard lock(this->mutex);
    this->outage = unavailable;
    this->changed.notify_all();
}

StoreCounters InMemoryObjectStore::counters() const
{
    std::lock_guard lock(this->mutex);
    return this->counts;
}

void InMemoryObjectStore::overwrite(std::string_view key, std::string_view value)
{
    std::lock_guard lock(this->mutex);
    this->put(key, value);
}

} // namespace lovagecross
