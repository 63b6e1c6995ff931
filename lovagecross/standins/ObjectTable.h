#pragma once

// The objects of the platform stand-in: versioned values with conditional writes.
//
//     ObjectTable table;
//     table.create("config/current", "{}");          // Ok, version 1
//     table.update("config/current", "{...}", 1);    // Ok, version 2
//     table.update("config/current", "{...}", 1);    // Conflict, object.version is 2
//
// Thread safety: none; the owner locks.

#include "lovagecross/ports/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::standins {

// A version of a key is 1 at the first write and grows by 1 with each write, also over a delete and a new create.
class ObjectTable {
public:
    StoreResult get(std::string_view key) const;

    // Conflict, with the current version in `object.version`, when the key exists.
    StoreResult create(std::string_view key, std::string_view value);

    // Conflict, with the current version in `object.version`, when `expectedVersion` is not current.
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion);

    // `expectedVersion` 0 deletes any version.
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion);

    // In key order.
    std::vector<StoredObject> list(std::string_view prefix, bool withValues) const;

    std::size_t size() const { return this->liveObjects; }
    void clear();

private:
    struct Entry {
        std::uint64_t version = 0;
        std::optional<std::string> value; // empty: deleted; the version is kept
    };

    const Entry* findLive(std::string_view key) const;

    std::map<std::string, Entry, std::less<>> entries;
    std::size_t liveObjects = 0;
};

} // namespace lovagecross::standins
