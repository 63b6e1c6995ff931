#pragma once

// A tenant's quota as one node knows it.
//
// Thread safety: plain values; `quotaIn` may be called from any thread.

#include "lovagecross/gateway/Directory.h"
#include "lovagecross/gateway/Route.h"
#include "lovagecross/tenants/TenantTable.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lovagecross {

struct KnownQuota {
    std::uint64_t version = 0; // of the configuration; 0: none is known
    bool present = false; // whether the configuration has the tenant
    TenantQuota quota;
};

// Returns the quota of a tenant by its name. An unknown or empty name gives the version alone.
using QuotaOf = std::function<KnownQuota(const std::string& tenant)>;

inline constexpr double maxQuotaNumber = 1e9; // of rates and bursts; larger ones are lowered to it

// The quota of a tenant in the configuration that the directory has now. Version 0 if it has none yet.
KnownQuota quotaIn(const Directory& directory, const std::string& tenant);

} // namespace lovagecross
