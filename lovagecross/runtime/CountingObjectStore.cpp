#include "lovagecross/runtime/CountingObjectStore.h"

#include "lovagecross/adapters/Log.h"

#include <string>

namespace lovagecross {

CountingObjectStore::CountingObjectStore(ObjectStore& store, Counters& counters)
    : store(store)
    , counters(counters)
{
}

void CountingObjectStore::count(std::string_view operation, std::string_view key, StoreStatus status)
{
    std::string name = "platform." + std::string(operation) + "." + std::string(key.substr(0, key.find('/')));
    this->counters.counter(name).add();
    bool failed = status != StoreStatus::Ok && status != StoreStatus::NotFound && status != StoreStatus::Conflict;
    if (!failed)
        return;
    this->counters.counter("platform.failed." + std::string(storeStatusNames.name(status))).add();
    LogLine(LogLevel::Debug, "platform_call_failed")
        .field("operation", operation)
        .field("key", key)
        .field("status", storeStatusNames.name(status))
        .write();
}

StoreResult CountingObjectStore::get(std::string_view key)
{
    StoreResult result = this->store.get(key);
    this->count("reads", key, result.status);
    return result;
}

StoreResult CountingObjectStore::create(std::string_view key, std::string_view value)
{
    StoreResult result = this->store.create(key, value);
    this->count("writes", key, result.status);
    return result;
}

StoreResult CountingObjectStore::update(std::string_view key, std::string_view value, std::uint64_t expectedVersion)
{
    StoreResult result = this->store.update(key, value, expectedVersion);
    this->count("writes", key, result.status);
    return result;
}

StoreResult CountingObjectStore::remove(std::string_view key, std::uint64_t expectedVersion)
{
    StoreResult result = this->store.remove(key, expectedVersion);
    this->count("writes", key, result.status);
    return result;
}

ListResult CountingObjectStore::list(std::string_view prefix, bool withValues)
{
    ListResult result = this->store.list(prefix, withValues);
    this->count("reads", prefix, result.status);
    return result;
}

StoreResult CountingObjectStore::watch(std::string_view key, std::uint64_t knownVersion, Duration timeout)
{
    StoreResult result = this->store.watch(key, knownVersion, timeout);
    this->count("reads", key, result.status);
    return result;
}

} // namespace lovagecross
