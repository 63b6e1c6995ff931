#pragma once

// Routes, services and limits that operators configure for calls that pass through: which host and path go to which
// service, what may be repeated, and how long a call may take.
//
//     RouteTable table(configuration.routes);
//     const Route* route = table.find("quotes.example", "/drafts/17");   // the longest matching prefix
//
// Thread safety: plain values; a RouteTable is immutable after construction.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class CallKind {
    Safe, // may run more than once
    Unsafe, // runs at most once for each attempt of the caller
    Streaming, // answers with events; at most once unless the route is resumable
};

inline constexpr NameTable<CallKind, 3> callKindNames { { {
    { CallKind::Safe, "safe" },
    { CallKind::Unsafe, "unsafe" },
    { CallKind::Streaming, "streaming" },
} } };

struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    CallKind kind = CallKind::Unsafe;
    std::vector<WeightedService> services; // at least one
    Duration timeout { 0 }; // 0: only the caller's deadline holds
    Duration targetLatency { 0 };
    Duration targetGap { 0 }; // longest pause between events that is still on time
    std::uint32_t maxAttempts = 1; // backend servers that one attempt of the caller may run on
    std::uint32_t priority = 0; // 0 is the most urgent
    bool sticky = false;
    bool resumable = false;
    bool keepsTurns = false; // turns of a conversation are kept and continued by name
    Duration retention { 0 }; // of kept turns and of token budgets

    // Whether an attempt whose outcome is unknown may be sent again.
    bool repeatable() const
    {
        return this->kind == CallKind::Safe || (this->kind == CallKind::Streaming && this->resumable);
    }
};

// What the model engines of a service can do.
struct EngineTraits {
    std::uint32_t slots = 1; // requests in one batch
    std::uint64_t kvTokens = 0; // memory of one engine
    std::uint32_t tokensPerEvent = 1;
    bool backsUpMemory = false; // copies a run's KV cache to another engine while it runs
    Duration handleLife { 0 }; // how long such a copy outlives its run
};

struct ServiceSpec {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // of one server, from all callers together
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
    std::string document; // in the platform's own form, to hand on to other nodes
};

class RouteTable {
public:
    // `routes` must outlive the table.
    explicit RouteTable(const std::vector<Route>& routes);

    // The route of this host with the longest prefix of `path`; nullptr when none matches. A port in `host` is ignored.
    const Route* find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<const Route*>, std::less<>> byHost; // longest prefix first
};

// The service that a call goes to: a share of the route's services by weight, drawn with `random`.
const std::string& pickService(const Route& route, std::uint64_t random);

} // namespace lovagecross
