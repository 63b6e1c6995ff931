#pragma once

// Object store wrapper for shard recovery, which makes many consecutive calls that must all succeed while other nodes
// may be recovering as well.
//
//     RecoveryStore recoveryStore(store, clock, std::chrono::seconds(10));
//     recoveryStore.prefetch("journal/lodz1/02/");      // one read instead of one for each object
//     recoverShard(recoveryStore, ...);
//
// A call rejected by the platform's rate limit is retried after a delay. Without this, a recovery that needed more
// objects than the limit's burst restarted from the first object on each attempt and never completed.
//
// Thread safety: one thread uses it.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/ObjectStore.h"

#include <functional>
#include <map>
#include <string>

namespace lovagecross {

class RecoveryStore final : public ObjectStore {
public:
    // `maxTotalWait` bounds the time, from construction on, in which rate-limited calls are retried.
    RecoveryStore(ObjectStore& store, Clock& clock, Duration maxTotalWait);

    // Reads all objects with this prefix, so that `get` serves them from memory. Their values must be immutable.
    void prefetch(const std::string& prefix);

    StoreResult get(std::string_view key) override;
    StoreResult create(std::string_view key, std::string_view value) override;
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) override;
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion) override;
    ListResult list(std::string_view prefix, bool withValues) override;
    StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) override;

private:
    template <typename Call> auto retryWhileRateLimited(Call call);

    ObjectStore& store;
    Clock& clock;
    TimePoint retryDeadline;
    std::map<std::string, StoredObject, std::less<>> prefetched;
};

} // namespace lovagecross
