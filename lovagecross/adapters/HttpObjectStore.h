#pragma once

// HTTP client for the platform's object API (docs/backend-protocols.md).
//
//     HttpObjectStore store({ .address = settings.platformAddress }, clock);
//     StoreResult lease = store.get("shards/lodz1/02");
//
// A write returns Unknown if any byte of it was sent and no complete response arrived; it is then not retried here. A
// read that fails on a reused connection before any byte of the response arrives is retried once on a new connection.
//
// Thread safety: every member may be called from any thread.

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
    Duration timeout = std::chrono::seconds(2); // for one call; a watch adds its own timeout
    std::size_t maxConnections = 16; // a call that gets no connection within `timeout` returns Unavailable
    std::size_t maxWatchConnections = 8;
    std::size_t maxListBytes = 64 * 1024 * 1024; // for the response to a list call
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
    StoreResult write(std::string_view key, const struct ObjectHttpCall& call);

    HttpObjectStoreSettings settings;
    const Clock& clock;
    std::unique_ptr<detail::HttpConnectionPool> pool;
    std::unique_ptr<detail::HttpConnectionPool> watchPool;
};

} // namespace lovagecross
