#pragma once

// Routes, services and limits that operators configure for proxied calls: which host and path map to which service,
// which calls may be retried, and how long a call may take.
//
//     RouteTable table(configuration.routes);
//     const Route* route = table.find("quotes.example", "/drafts/17");   // the longest matching prefix
//
// Thread safety: plain values; a RouteTable is immutable after construction.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/tenants/TenantTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class RouteKind {
    Safe, // may run more than once
    Unsafe, // runs at most once for each request of the caller
    Streaming, // responds with an event stream; runs at most once unless the route is resumable
};

inline constexpr NameTable<RouteKind, 3> routeKindNames { { {
    { RouteKind::Safe, "safe" },
    { RouteKind::Unsafe, "unsafe" },
    { RouteKind::Streaming, "streaming" },
} } };

struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    std::vector<WeightedService> services; // at least one
    Duration timeout { 0 }; // 0: only the caller's deadline applies
    Duration targetLatency { 0 };
    Duration targetEventGap { 0 }; // target for the longest pause between events
    std::uint32_t maxAttempts = 1; // backend servers that may run one request of the caller
    std::uint32_t priority = 0; // 0 is the most urgent
    bool sticky = false;
    bool resumable = false;
    bool storesTurns = false; // conversation turns are stored, and later turns continue them by request id
    Duration retention { 0 }; // of stored turns and token budgets
    bool isPublic = false; // callers need no key

    // Whether a call may be retried after an attempt with an unknown outcome.
    bool repeatable() const
    {
        return this->kind == RouteKind::Safe || (this->kind == RouteKind::Streaming && this->resumable);
    }
};

// The lowest priority that servers know. Higher numbers count as this one.
inline constexpr std::uint32_t lowestPriority = 9;

struct EngineTraits { // capabilities of a service's model engines
    std::uint32_t slots = 1; // requests per batch
    std::uint64_t kvTokens = 0; // KV cache capacity of one engine
    std::uint32_t tokensPerEvent = 1;
    bool copiesKvCache = false; // copies the KV cache of a running request to another engine
    Duration kvCopyRetention { 0 }; // how long such a copy is retained after the request
};

struct ServiceSpec {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // limit of one server for all clients together
    std::optional<EngineTraits> engine;
};

struct CallerLimits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct GatewayConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSpec, std::less<>> services;
    CallerLimits limits;
    TenantTable tenants; // empty: callers need no key
    std::string document; // in the platform's format without keys, to be forwarded to other nodes
};

class RouteTable {
public:
    // `routes` must outlive the table.
    explicit RouteTable(const std::vector<Route>& routes);

    // Returns the route of `host` with the longest prefix of `path`, or nullptr. A port in `host` is ignored.
    const Route* find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<const Route*>, std::less<>> byHost; // ordered by descending prefix length
};

// Selects one of the route's services with a probability proportional to its weight, using the random number `random`.
const std::string& pickService(const Route& route, std::uint64_t random);

} // namespace lovagecross
