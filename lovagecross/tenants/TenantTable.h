#pragma once

// The tenants of one configuration: who may call, at which priority, and how often.
//
//     TenantTable tenants(std::move(list));
//     const TenantEntry* tenant = tenants.findByKey(digest);   // nullptr: no tenant has this key
//
// A lookup takes the same time however many keys there are.
//
// Thread safety: immutable after construction.

#include "lovagecross/tenants/ApiKey.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagecross {

inline constexpr std::size_t maxTenantNameBytes = 128; // nodes pass names on to each other and to servers

// A limit on a tenant's requests through all nodes together.
struct TenantQuota {
    double requestsPerSecond = 0; // 0: no limit
    double burst = 0; // requests beyond the rate, after a pause that was long enough

    bool limited() const { return this->requestsPerSecond > 0; }
    bool operator==(const TenantQuota&) const = default;
};

struct TenantEntry {
    std::string name;
    std::vector<KeyDigest> keys; // without any, the tenant can't call
    std::optional<std::uint32_t> priority; // goes before the route's; 0 is the most urgent
    TenantQuota quota;
};

class TenantTable {
public:
    TenantTable() = default;

    // Names and keys must be unique.
    explicit TenantTable(std::vector<TenantEntry> tenants);

    // Without tenants, callers need no key.
    bool empty() const { return this->tenants.empty(); }
    const std::vector<TenantEntry>& all() const { return this->tenants; }

    // Both return nullptr if there is none. The result is valid as long as the table.
    const TenantEntry* findByKey(const KeyDigest& digest) const;
    const TenantEntry* findByName(std::string_view name) const;

private:
    std::vector<TenantEntry> tenants;
    std::unordered_map<KeyDigest, std::size_t> byKey; // index into `tenants`
    std::unordered_map<std::string, std::size_t> byName;
};

} // namespace lovagecross
