#include "lovagecross/tenants/TenantTable.h"

#include <utility>

namespace lovagecross {

TenantTable::TenantTable(std::vector<TenantEntry> list)
    : tenants(std::move(list))
{
    for (std::size_t i = 0; i < this->tenants.size(); ++i) {
        this->byName.emplace(this->tenants[i].name, i);
        for (const KeyDigest& key : this->tenants[i].keys)
            this->byKey.emplace(key, i);
    }
}

const TenantEntry* TenantTable::findByKey(const KeyDigest& digest) const
{
    auto found = this->byKey.find(digest);
    return found == this->byKey.end() ? nullptr : &this->tenants[found->second];
}

const TenantEntry* TenantTable::findByName(std::string_view name) const
{
    auto found = this->byName.find(std::string(name));
    return found == this->byName.end() ? nullptr : &this->tenants[found->second];
}

} // namespace lovagecross
