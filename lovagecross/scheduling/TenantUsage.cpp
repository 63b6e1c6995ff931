#include "lovagecross/scheduling/TenantUsage.h"

#include <algorithm>
#include <cmath>

namespace lovagecross {

namespace {

constexpr double forgottenShare = 0.01; // of one unit of use; tenants with less are no longer active

double decayed(const TenantUsage& usage, const TenantUsage::Use& use, TimePoint now)
{
    double halfLives = std::chrono::duration<double>(now - use.at) / std::chrono::duration<double>(usage.halfLife);
    return use.amount * std::exp2(-std::max(0.0, halfLives));
}

void makeRoom(TenantUsage& usage, TimePoint now)
{
    std::erase_if(usage.uses, [&](const auto& entry) { return decayed(usage, entry.second, now) < forgottenShare; });
    if (usage.uses.size() < maxTenantsInUsage)
        return;
    auto least = std::min_element(usage.uses.begin(), usage.uses.end(), [&](const auto& left, const auto& right) {
        return decayed(usage, left.second, now) < decayed(usage, right.second, now);
    });
    usage.uses.erase(least);
}

} // namespace

double usageOf(const TenantUsage& usage, const std::string& tenant, TimePoint now)
{
    auto found = usage.uses.find(tenant);
    return found == usage.uses.end() ? 0 : decayed(usage, found->second, now);
}

void addUsage(TenantUsage& usage, const std::string& tenant, double amountByWeight, TimePoint now)
{
    if (usage.uses.count(tenant) == 0)
        makeRoom(usage, now);
    double before = usageOf(usage, tenant, now);
    usage.uses[tenant] = { before + amountByWeight, now };
}

std::vector<std::pair<std::string, double>> greatestUses(const TenantUsage& usage, std::size_t most, TimePoint now)
{
    std::vector<std::pair<std::string, double>> uses;
    for (const auto& [tenant, use] : usage.uses) {
        if (double amount = decayed(usage, use, now); amount >= forgottenShare)
            uses.emplace_back(tenant, amount);
    }
    std::sort(uses.begin(), uses.end(), [](const auto& left, const auto& right) { return left.second > right.second; });
    uses.resize(std::min(uses.size(), most));
    return uses;
}

} // namespace lovagecross
