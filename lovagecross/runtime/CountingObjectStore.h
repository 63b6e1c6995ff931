#pragma once

// Object store wrapper that counts calls by operation and the first segment of the key, such as
// `platform.writes.journal`, and failures by status.
//
// Thread safety: the same as the wrapped store.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/ports/ObjectStore.h"

namespace lovagecross {

class CountingObjectStore final : public ObjectStore {
public:
    CountingObjectStore(ObjectStore& store, Counters& counters);

    StoreResult get(std::string_view key) override;
    StoreResult create(std::string_view key, std::string_view value) override;
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) override;
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion) override;
    ListResult list(std::string_view prefix, bool withValues) override;
    StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) override;

private:
    void count(std::string_view operation, std::string_view key, StoreStatus status);

    ObjectStore& store;
    Counters& counters;
};

} // namespace lovagecross
