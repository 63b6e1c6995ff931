#pragma once

// The platform's object API over HTTP (docs/backend-protocols.md).
//
//     HttpObjectStore store({ .address = settings.platformAddress }, clock);
//     StoreResult lease = store.get("shards/lodz1/02");
//
// A write ends with Unknown when any byte of it was sent and no whole answer came. It is never sent a second time
// here. A read that failed on a kept connection before any byte of the answer came is tried once more on a new
// connection.
//
// Thread safety: any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/ObjectStore.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lovagecross {

namespace detail {
class HttpConnectionPool;
} // namespace detail

struct HttpObjectStoreSettings {
    std::string address; // host:port
    Duration timeout = std::chrono::seconds(2); // of one call; a watch may take its own timeout on top
    std::size_t maxConnections = 16; // a call that finds no free one within `timeout` ends with Unavailable
    std::size_t maxWatchConnections = 8;
    std::size_t maxListBytes = 64 * 1024 * 1024; // of a list's answer
};

class HttpObjectStore final : public ObjectStore {
public:
    HttpObjectStore(HttpObjectStoreSettings settings, const Clock& clock);
    ~HttpObjectStore() override;

    StoreResult get(std::string_view key) override;
    StoreResult create(std::string_view key, std::string_view value) override;
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) override;
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion) override;
    ListResult list(std::string_view prefix, bool withValues) override;
    StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) override;

private:
    StoreResult write(std::string_view key, const struct StoreCall& call);

    HttpObjectStoreSettings settings;
    const Clock& clock;
    std::unique_ptr<detail::HttpConnectionPool> pool;
    std::unique_ptr<detail::HttpConnectionPool> watchPool;
};

} // namespace lovagecross
