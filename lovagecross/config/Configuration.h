#pragma once

// The operators' configuration: one JSON document, kept in the platform object `config/current`. It is validated as a
// whole; an invalid document is rejected with the path of the field and the reason, and nothing changes.
//
//     BOOST_LEAF_AUTO(configuration, parseConfiguration(json));
//     std::string text = printConfiguration(configuration);    // parses to an equal value
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class BackendKind {
    Model,
    Service,
};

inline constexpr NameTable<BackendKind, 2> backendKindNames { { {
    { BackendKind::Model, "model" },
    { BackendKind::Service, "service" },
} } };

struct BackendServer {
    std::string name;
    BackendKind kind = BackendKind::Model;
    std::string address; // IP:port
    std::string dataCentre;
    std::vector<std::string> models; // for Model: the models it serves; the first is loaded at start
    std::string service; // for Service: the name that callers use
    bool checksEpoch = false; // the server rejects requests with an outdated fencing token
    bool leaving = false; // being removed: the server is sent no new calls
    std::uint32_t slots = 8; // maximum of concurrent requests
    std::uint32_t costTokens = 0; // for Service: tokens charged for each call

    bool operator==(const BackendServer&) const = default;
};

struct Rank {
    std::string name;
    std::uint32_t urgency = 0; // calls of a rank with higher urgency run first
    std::uint32_t floorPercent = 0; // share of capacity reserved under load from other ranks; the sum is at most 100
    std::uint32_t maxQueued = 1000; // maximum of calls queued on one node
    std::uint64_t callTimeoutMillis = 60000;

    bool operator==(const Rank&) const = default;
};

struct Tenant {
    std::string name;
    std::string tokenDigest; // hexadecimal SHA-256 of the caller's bearer token; the token itself is never configured

    bool operator==(const Tenant&) const = default;
};

// A budget that programs of a tenant share, over all data centres.
struct SharedBudget {
    std::string name;
    std::string tenant;
    std::uint64_t tokens = 0;
    std::int64_t expiresUnixMillis = 0; // 0: never

    bool operator==(const SharedBudget&) const = default;
};

// A kind of program that callers may create: its defaults and limits.
struct ProgramClass {
    std::string name;
    std::string rank;
    std::uint64_t budgetTokens = 0;
    std::uint32_t maxTurns = 140;
    std::uint32_t maxTokensPerCall = 1024;

    bool operator==(const ProgramClass&) const = default;
};

struct Configuration {
    std::vector<Rank> ranks;
    std::vector<Tenant> tenants; // empty: callers need no token
    std::vector<BackendServer> backendServers;
    std::vector<SharedBudget> budgets;
    std::vector<ProgramClass> programs;

    bool operator==(const Configuration&) const = default;
};

// Limits both the given and the printed document. The platform stores objects of at most 1 MB.
inline constexpr std::size_t maxConfigurationBytes = 900 * 1024;

// Errors: BadRequest with `field` set, such as `ranks[1].floorPercent`, and the limit in the message; TooLarge.
Result<Configuration> parseConfiguration(std::string_view json);
// Prints every field except empty strings and lists, with one line for each element of a list.
std::string printConfiguration(const Configuration& configuration);

// Checks a configuration built in code by the rules of parseConfiguration: those for single fields, and those across
// fields (unique names, references to existing elements, sums).
Result<void> validateConfiguration(const Configuration& configuration);

// Compares list elements by name, regardless of order. Returns one line for each difference, such as
// `~ ranks[urgent].floorPercent: 10 -> 20` or `+ backendServers[engine3]`.
std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace lovagecross
