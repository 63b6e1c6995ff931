#include "lovagecross/runtime/RecoveryStore.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration minRetryDelay = std::chrono::milliseconds(20); // when the platform suggests no delay
constexpr Duration maxRetryDelay = std::chrono::seconds(1);

Duration retryAfterOf(const StoreResult& result)
{
    return result.retryAfter;
}

Duration retryAfterOf(const ListResult&)
{
    return Duration(0);
}

} // namespace

RecoveryStore::RecoveryStore(ObjectStore& store, Clock& clock, Duration maxTotalWait)
    : store(store)
    , clock(clock)
    , retryDeadline(clock.now() + maxTotalWait)
{
}

template <typename Call> auto RecoveryStore::retryWhileRateLimited(Call call)
{
    Duration wait = minRetryDelay;
    while (true) {
        auto result = call();
        if (result.status != StoreStatus::RateLimited || this->clock.now() >= this->retryDeadline)
            return result;
        std::this_thread::sleep_for(std::clamp(retryAfterOf(result), wait, maxRetryDelay));
        wait = std::min(wait * 2, maxRetryDelay);
    }
}

void RecoveryStore::prefetch(const std::string& prefix)
{
    ListResult listed = this->list(prefix, true);
    for (StoredObject& object : listed.objects)
        this->prefetched.insert_or_assign(object.key, std::move(object));
}

StoreResult RecoveryStore::get(std::string_view key)
{
    if (auto found = this->prefetched.find(key); found != this->prefetched.end())
        return { StoreStatus::Ok, found->second, Duration(0) };
    return this->retryWhileRateLimited([&] { return this->store.get(key); });
}

StoreResult RecoveryStore::create(std::string_view key, std::string_view value)
{
    return this->retryWhileRateLimited([&] { return this->store.create(key, value); });
}

StoreResult RecoveryStore::update(std::string_view key, std::string_view value, std::uint64_t expectedVersion)
{
    return this->retryWhileRateLimited([&] { return this->store.update(key, value, expectedVersion); });
}

StoreResult RecoveryStore::remove(std::string_view key, std::uint64_t expectedVersion)
{
    return this->retryWhileRateLimited([&] { return this->store.remove(key, expectedVersion); });
}

ListResult RecoveryStore::list(std::string_view prefix, bool withValues)
{
    return this->retryWhileRateLimited([&] { return this->store.list(prefix, withValues); });
}

StoreResult RecoveryStore::watch(std::string_view key, std::uint64_t knownVersion, Duration timeout)
{
    return this->store.watch(key, knownVersion, timeout);
}

} // namespace lovagecross
