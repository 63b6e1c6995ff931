#pragma once

// Settings of the parts that keep tenants' quotas, from the settings of a node.
//
// Thread safety: free functions; what they return may be used on any thread.

#include "lovagecross/config/NodeSettings.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/quotas/QuotaClient.h"
#include "lovagecross/quotas/QuotaIssuer.h"

#include <functional>
#include <string>
#include <vector>

namespace lovagecross {

QuotaPolicy quotaPolicyOf(const NodeSettings& settings);

QuotaIssuerSettings quotaIssuerSettings(
    const NodeSettings& settings, const Directory& directory, std::function<Roster()> roster);

QuotaClientSettings quotaClientSettings(const NodeSettings& settings, const Directory& directory,
    std::function<std::vector<std::string>(const std::string&)> issuersOf);

} // namespace lovagecross
