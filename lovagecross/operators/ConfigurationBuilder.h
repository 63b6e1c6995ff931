#pragma once

// Builds the operators' configuration in code, for programs that print it as input for `lovagectl apply`:
//
//     int main()
//     {
//         ConfigurationBuilder builder;
//         auto urgent = builder.addRank("urgent", { .urgency = 10, .floorPercent = 60 });
//         builder.addModelServer("e1", { .address = "10.0.1.1:80", .dataCentre = "lodz1", .models = { "quote" } });
//         builder.addProgram("quote", urgent, { .budgetTokens = 20'000 });
//         return printOrExplain(builder, std::cout, std::cerr);
//     }
//
// A rank or tenant is named only once: `addRank` and `addTenant` return handles, by which programs and budgets refer to
// it. `build` validates the whole configuration. See Configuration.h for the fields and docs/OPERATIONS.md for their
// ranges.
//
// Thread safety: not thread-safe.

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

// Refers to an element of one builder. The tag type prevents passing a tenant where a rank is required.
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

// In all options, the defaults are those in Configuration.h.
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

    // Adds a budget shared by the programs of `tenant`. The overload without a tenant is for configurations that have
    // none.
    void addBudget(const std::string& name, const TenantHandle& tenant, const BudgetOptions& options);
    void addBudget(const std::string& name, const BudgetOptions& options);

    void addProgram(const std::string& name, const RankHandle& rank, const ProgramOptions& options);

    // Errors: those of validateConfiguration.
    Result<Configuration> build() const;

private:
    Configuration configuration;
};

// Prints the configuration to `out` or, if it is invalid, the field and the reason to `err`. Returns the exit code for
// the operator's program: 0 or 1.
int printOrExplain(const ConfigurationBuilder& builder, std::ostream& out, std::ostream& err);

} // namespace lovagecross
