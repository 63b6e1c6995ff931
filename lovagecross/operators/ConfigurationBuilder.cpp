#include "lovagecross/operators/ConfigurationBuilder.h"

#include <algorithm>

namespace lovagecross {

namespace {

SharedBudget makeBudget(const std::string& name, const std::string& tenant, const BudgetOptions& options)
{
    SharedBudget budget;
    budget.name = name;
    budget.tenant = tenant;
    budget.tokens = options.tokens;
    if (options.expires)
        budget.expiresUnixMillis = options.expires->time_since_epoch().count();
    return budget;
}

} // namespace

RankHandle ConfigurationBuilder::addRank(const std::string& name, const RankOptions& options)
{
    Rank& rank = this->configuration.ranks.emplace_back();
    rank.name = name;
    rank.urgency = options.urgency;
    rank.floorPercent = options.floorPercent;
    rank.maxQueued = options.maxQueued;
    // A negative timeout is converted to 0, which validation rejects.
    rank.callTimeoutMillis = static_cast<std::uint64_t>(std::max<std::int64_t>(0, options.callTimeout.count()));
    return RankHandle(name);
}

TenantHandle ConfigurationBuilder::addTenant(const std::string& name, const std::string& tokenDigest)
{
    this->configuration.tenants.push_back({ name, tokenDigest });
    return TenantHandle(name);
}

void ConfigurationBuilder::addModelServer(const std::string& name, const ModelServerOptions& options)
{
    BackendServer& server = this->configuration.backendServers.emplace_back();
    server.name = name;
    server.kind = BackendKind::Model;
    server.address = options.address;
    server.dataCentre = options.dataCentre;
    server.models = options.models;
    server.slots = options.slots;
    server.checksEpoch = options.checksEpoch;
    server.leaving = options.leaving;
}

void ConfigurationBuilder::addServiceServer(const std::string& name, const ServiceServerOptions& options)
{
    BackendServer& server = this->configuration.backendServers.emplace_back();
    server.name = name;
    server.kind = BackendKind::Service;
    server.address = options.address;
    server.dataCentre = options.dataCentre;
    server.service = options.service;
    server.costTokens = options.costTokens;
    server.slots = options.slots;
    server.checksEpoch = options.checksEpoch;
    server.leaving = options.leaving;
}

void ConfigurationBuilder::addBudget(const std::string& name, const TenantHandle& tenant, const BudgetOptions& options)
{
    this->configuration.budgets.push_back(makeBudget(name, tenant.name(), options));
}

void ConfigurationBuilder::addBudget(const std::string& name, const BudgetOptions& options)
{
    this->configuration.budgets.push_back(makeBudget(name, {}, options));
}

void ConfigurationBuilder::addProgram(const std::string& name, const RankHandle& rank, const ProgramOptions& options)
{
    this->configuration.programs.push_back(
        { name, rank.name(), options.budgetTokens, options.maxTurns, options.maxTokensPerCall });
}

Result<Configuration> ConfigurationBuilder::build() const
{
    if (auto valid = validateConfiguration(this->configuration); !valid)
        return valid.error();
    return this->configuration;
}

int printOrExplain(const ConfigurationBuilder& builder, std::ostream& out, std::ostream& err)
{
    return handle(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(configuration, builder.build());
            out << printConfiguration(configuration) << '\n';
            return 0;
        },
        [&](const Error& error) {
            err << error.field << ": " << error.message << '\n';
            return 1;
        });
}

} // namespace lovagecross
