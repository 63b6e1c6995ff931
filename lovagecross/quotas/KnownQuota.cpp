#include "lovagecross/quotas/KnownQuota.h"

#include <algorithm>

namespace lovagecross {

KnownQuota quotaIn(const Directory& directory, const std::string& tenant)
{
    KnownQuota known;
    auto view = directory.view();
    if (!view->configuration)
        return known;
    known.version = view->configuration->version;
    const TenantEntry* found = view->configuration->tenants.findByName(tenant);
    if (found == nullptr)
        return known;
    known.present = true;
    known.quota.requestsPerSecond = std::min(found->quota.requestsPerSecond, maxQuotaNumber);
    known.quota.burst = std::min(found->quota.burst, maxQuotaNumber);
    return known;
}

} // namespace lovagecross
