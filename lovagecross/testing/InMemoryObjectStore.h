#pragma once

// An object store in memory, with faults on demand, for tests.
//
//     InMemoryObjectStore store;
//     store.failNext(StoreFault::LostAfter);
//     store.create("a", "1").status;    // Unknown, and the object exists
//     store.setHook([&](const StoreCall& call) { return call.number == 3 ? StoreFault::Unavailable : StoreFault::None;
//     });
//
// Thread safety: every member may be called from any thread. The hook runs without a lock on the thread of the call; it
// may call the store itself, and such calls skip the hook; it may throw, and the call then has no effect.

#include "lovagecross/ports/ObjectStore.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lovagecross {

enum class StoreFault {
    None,
    Unavailable, // nothing is done
    RateLimited, // nothing is done
    LostAfter, // the call takes effect and the answer is lost: Unknown
    LostBefore, // the request is lost: Unknown, nothing is done
};

enum class StoreOperation {
    Get,
    Create,
    Update,
    Remove,
    List,
    Watch,
};

struct StoreCall {
    StoreOperation operation = StoreOperation::Get;
    std::string key; // the prefix for List
    std::uint64_t number = 0; // of the call, from 1, counted since the hook was set
};

using StoreHook = std::function<StoreFault(const StoreCall& call)>;

struct StoreCounters {
    std::uint64_t reads = 0; // get, list and watch
    std::uint64_t writes = 0; // create, update and remove
};

class InMemoryObjectStore final : public ObjectStore {
public:
    StoreResult get(std::string_view key) override;
    StoreResult create(std::string_view key, std::string_view value) override;
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) override;
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion) override;
    ListResult list(std::string_view prefix, bool withValues) override;
    StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) override;

    // Decides the fault of each following call; an empty hook means none.
    void setHook(StoreHook hook);

    // Applies `fault` to the next `count` calls, before the hook is asked.
    void failNext(StoreFault fault, std::uint64_t count = 1);

    // An outage: every call, also a waiting watch, answers Unavailable until it ends.
    void setUnavailable(bool unavailable);

    // All calls since construction, failed ones included.
    StoreCounters counters() const;

    // Replaces a value past all faults and versions, to plant corrupt data.
    void overwrite(std::string_view key, std::string_view value);

private:
    using Objects = std::map<std::string, StoredObject, std::less<>>;

    StoreFault admit(StoreOperation operation, std::string_view key);
    StoreResult put(std::string_view key, std::string_view value);

    mutable std::mutex mutex;
    std::condition_variable changed;
    Objects objects;
    std::uint64_t lastVersion = 0; // of any key, so that a key's version also rises across a removal
    StoreHook hook;
    std::uint64_t hookCalls = 0;
    StoreFault nextFault = StoreFault::None;
    std::uint64_t nextFaultCount = 0;
    bool outage = false;
    StoreCounters counts;
};

} // namespace lovagecross
