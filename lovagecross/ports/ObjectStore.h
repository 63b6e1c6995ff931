#pragma once

// The part of the platform's object API that this project uses: versioned values, conditional updates, listing and
// watching. Reads are linearizable: a read that begins after a write was acknowledged returns that write or a later
// one. Adapters: `adapters/HttpObjectStore` (the platform) and `testing/InMemoryObjectStore` (tests, with fault
// injection).
//
//     StoreResult created = store.create("journal/lodz1/02/00000000/0000000007", batch);
//     if (created.status == StoreStatus::Unknown)
//         ... // read the object again to see whether the write took effect
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross {

inline constexpr std::size_t maxObjectBytes = 1024 * 1024; // the platform's size limit for one value

enum class StoreStatus {
    Ok,
    NotFound,
    Conflict, // create: the key already exists; update and remove: `expectedVersion` is not the current version
    RateLimited, // not executed; may be retried after `retryAfter`
    Unavailable, // not executed: the connection failed, or the platform refused the request before running it
    Unknown, // the request was sent but not answered; a write may have taken effect
    TooLarge,
};

inline constexpr NameTable<StoreStatus, 7> storeStatusNames { { {
    { StoreStatus::Ok, "ok" },
    { StoreStatus::NotFound, "not_found" },
    { StoreStatus::Conflict, "conflict" },
    { StoreStatus::RateLimited, "rate_limited" },
    { StoreStatus::Unavailable, "unavailable" },
    { StoreStatus::Unknown, "unknown" },
    { StoreStatus::TooLarge, "too_large" },
} } };

struct StoredObject {
    std::string key;
    std::uint64_t version = 0; // increases with each write of this key; not comparable between keys
    std::string value;
};

struct StoreResult {
    StoreStatus status = StoreStatus::Unavailable;
    StoredObject object; // get: the object; create and update: the key and the new version
    Duration retryAfter { 0 };

    bool ok() const { return this->status == StoreStatus::Ok; }
};

struct ListResult {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoredObject> objects; // sorted by key; values are empty unless `withValues` was set
};

class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    virtual StoreResult get(std::string_view key) = 0;

    // Creates the object; returns Conflict if the key exists.
    virtual StoreResult create(std::string_view key, std::string_view value) = 0;

    // Writes the object only if `expectedVersion` is its current version.
    virtual StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) = 0;

    // Deletes the object only if `expectedVersion` is its current version; 0 deletes any version.
    virtual StoreResult remove(std::string_view key, std::uint64_t expectedVersion) = 0;

    virtual ListResult list(std::string_view prefix, bool withValues) = 0;

    // Passes the objects with their values to `visit`, in the order of `list`. May read them in several steps, so that
    // those that come later needn't fit into memory with the earlier ones. Objects may have been visited although the
    // status is not Ok.
    virtual StoreStatus visit(std::string_view prefix, const std::function<void(StoredObject object)>& visitObject)
    {
        ListResult listed = this->list(prefix, true);
        for (StoredObject& object : listed.objects)
            visitObject(std::move(object));
        return listed.status;
    }

    // Blocks until the object's version is above `knownVersion` and returns the object, or returns NotFound if it does
    // not change within `timeout`. Counts as one call to the platform.
    virtual StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) = 0;
};

} // namespace lovagecross
