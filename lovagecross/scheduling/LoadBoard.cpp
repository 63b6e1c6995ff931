#include "lovagecross/scheduling/LoadBoard.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

std::vector<std::string> tenantsInExcess(const std::map<std::string, double>& begun)
{
    double sum = 0;
    for (const auto& [tenant, programs] : begun)
        sum += programs;
    double limit
        = std::max(minExcessPrograms, excessFactor * sum / static_cast<double>(std::max<std::size_t>(1, begun.size())));
    std::vector<std::pair<double, std::string>> found;
    for (const auto& [tenant, programs] : begun) {
        if (begun.size() > 1 && programs > limit)
            found.emplace_back(-programs, tenant);
    }
    std::sort(found.begin(), found.end());
    found.resize(std::min(found.size(), maxReportedTenants));
    std::vector<std::string> tenants;
    tenants.reserve(found.size());
    for (auto& [negated, tenant] : found)
        tenants.push_back(std::move(tenant));
    return tenants;
}

LoadBoard::LoadBoard(const Clock& givenClock)
    : clock(givenClock)
{
}

void LoadBoard::record(const ProgramLoad& load)
{
    std::lock_guard lock(this->mutex);
    this->forgetOld();
    if (this->reports.empty())
        this->firstAt = this->clock.now();
    if (this->reports.size() < maxNodes || this->reports.count(load.node) > 0)
        this->reports[load.node] = { load, this->clock.now() };
}

void LoadBoard::forgetOld()
{
    TimePoint now = this->clock.now();
    std::erase_if(this->reports, [now](const auto& entry) { return now - entry.second.heardAt > reportLifetime; });
}

FleetShare LoadBoard::sum()
{
    std::lock_guard lock(this->mutex);
    this->forgetOld();
    FleetShare all;
    if (this->reports.empty() || this->clock.now() - this->firstAt < settleTime)
        return all;
    std::map<std::string, double> begun;
    for (const auto& [node, report] : this->reports) {
        ++all.nodes;
        all.calls += report.load.calls;
        for (const TenantBegun& entry : report.load.begun)
            begun[entry.tenant] += entry.programs;
    }
    all.excessTenants = tenantsInExcess(begun);
    return all;
}

} // namespace lovagecross
