#pragma once

// Declares a fleet's configuration in a program of the operator's own, which prints what `lovagectl apply` accepts:
//
//     int main()
//     {
//         ConfigurationBuilder builder;
//         auto urgent = builder.addRank("urgent", { .urgency = 10, .floorPercent = 60 });
//         builder.addModelServer("engine1", { .address = "10.0.1.1:8000", .dataCentre = "lodz1", .models = { "quote" }
//         }); builder.addProgram("quote", urgent, { .budgetTokens = 20'000 }); return printOrExplain(builder,
//         std::cout, std::cerr);
//     }
//
// A rank or a tenant is named once, where it is added; programs and budgets refer to it by the handle that this
// returned. Everything is checked when the configuration is built: see Configuration.h for the fields, and
// docs/OPERATIONS.md for their ranges.
//
// Thread safety: none; a builder is used on one thread.

#include "lovagecross/base/Error.h"
#include "lovagecross/config/Configuration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace lovagecross {

class ConfigurationBuilder;

namespace detail {

// Refers to an element of one builder. Tags keep a tenant from being passed for a rank.
template <typename Tag> class Handle {
public:
    const std::string& name() const { return this->elementName; }

private:
    friend class lovagecross::ConfigurationBuilder;

    explicit Handle(std::string name)
        : elementName(std::move(name))
    {
    }

    std::string elementName;
};

} // namespace detail

using RankHandle = detail::Handle<Rank>;
using TenantHandle = detail::Handle<Tenant>;

// Defaults are those of Configuration.h.
struct RankOptions {
    std::uint32_t urgency = Rank().urgency;
    std::uint32_t floorPercent = Rank().floorPercent;
    std::uint32_t maxQueued = Rank().maxQueued;
    std::chrono::milliseconds callTimeout { Rank().callTimeoutMillis };
};

struct ModelServerOptions {
    std::string address; // IP:port
    std::string dataCentre;
    std::vector<std::string> models; // the first is loaded at start
    std::uint32_t slots = BackendServer().slots;
    bool checksEpoch = BackendServer().checksEpoch;
    bool leaving = BackendServer().leaving;
};

struct ServiceServerOptions {
    std::string address; // IP:port
    std::string dataCentre;
    std::string service; // the name that callers use
    std::uint32_t costTokens = BackendServer().costTokens;
    std::uint32_t slots = BackendServer().slots;
    bool checksEpoch = BackendServer().checksEpoch;
    bool leaving = BackendServer().leaving;
};

struct BudgetOptions {
    std::uint64_t tokens = 0;
    std::optional<std::chrono::sys_time<std::chrono::milliseconds>> expires; // UTC
};

struct ProgramOptions {
    std::uint64_t budgetTokens = 0;
    std::uint32_t maxTurns = ProgramClass().maxTurns;
    std::uint32_t maxTokensPerCall = ProgramClass().maxTokensPerCall;
};

class ConfigurationBuilder {
public:
    RankHandle addRank(const std::string& name, const RankOptions& options);

    // `tokenDigest`: hexadecimal SHA-256 of the caller's bearer token, for example from `printf %s TOKEN | sha256sum`.
    TenantHandle addTenant(const std::string& name, const std::string& tokenDigest);

    void addModelServer(const std::string& name, const ModelServerOptions& options);
    void addServiceServer(const std::string& name, const ServiceServerOptions& options);

    // A budget that the programs of `tenant` share. The form without a tenant is for configurations without tenants.
    void addBudget(const std::string& name, const TenantHandle& tenant, const BudgetOptions& options);
    void addBudget(const std::string& name, const BudgetOptions& options);

    void addProgram(const std::string& name, const RankHandle& rank, const ProgramOptions& options);

    // Errors: as of validateConfiguration.
    Result<Configuration> build() const;

private:
    Configuration configuration;
};

// Prints the configuration to `out`, or the field and the reason to `err` when it is not valid. Returns the exit code
// of the operator's program: 0 or 1.
int printOrExplain(const ConfigurationBuilder& builder, std::ostream& out, std::ostream& err);

} // namespace lovagecross
