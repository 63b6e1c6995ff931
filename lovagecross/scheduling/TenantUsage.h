#pragma once

// What each tenant has received lately, divided by its weight. Amounts decay with `halfLife`, so that a past burst soon
// no longer counts.
//
//     addUsage(usage, tenant, amount / weight, now);
//     double used = usageOf(usage, tenant, now);
//
// Thread safety: free functions over a plain struct.

#include "lovagecross/base/Clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagecross {

struct TenantUsage {
    struct Use {
        double amount = 0; // divided by the tenant's weight
        TimePoint at; // when `amount` held
    };
    std::map<std::string, Use> uses; // by tenant
    Duration halfLife = std::chrono::seconds(2);
};

// If more tenants are active, those with the least use are forgotten.
inline constexpr std::size_t maxTenantsInUsage = 1024;

// 0 for a tenant that isn't known.
double usageOf(const TenantUsage& usage, const std::string& tenant, TimePoint now);
void addUsage(TenantUsage& usage, const std::string& tenant, double amountByWeight, TimePoint now);

// Returns up to `most` tenants with the greatest amounts and these amounts, the greatest first.
std::vector<std::pair<std::string, double>> greatestUses(const TenantUsage& usage, std::size_t most, TimePoint now);

} // namespace lovagecross
