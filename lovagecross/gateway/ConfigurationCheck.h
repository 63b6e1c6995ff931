#pragma once

// Checks a decoded configuration before an operator sends it: entries that have no effect, limits that contradict each
// other, and what differs from the configuration in force.
//
//     std::vector<ConfigurationFinding> findings = checkConfiguration(next);
//     std::vector<ConfigurationFinding> changes = compareConfigurations(inForce, next);
//
// Keys of tenants appear in no message.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/NameTable.h"
#include "lovagecross/gateway/Route.h"

#include <string>
#include <vector>

namespace lovagecross {

enum class FindingKind {
    Error, // the configuration would be refused, or ignored
    NeverMatches, // an entry that no call can ever use
    Contradiction, // values that can't take effect together
    Difference, // from the configuration in force
};

inline constexpr NameTable<FindingKind, 4> findingKindNames { { {
    { FindingKind::Error, "error" },
    { FindingKind::NeverMatches, "never_matches" },
    { FindingKind::Contradiction, "contradiction" },
    { FindingKind::Difference, "difference" },
} } };

struct ConfigurationFinding {
    FindingKind kind = FindingKind::Error;
    std::string path; // of the entry, such as `routes[3]`
    std::string message;

    bool operator==(const ConfigurationFinding&) const = default;
};

// Finds entries that never match and contradictions.
std::vector<ConfigurationFinding> checkConfiguration(const GatewayConfiguration& configuration);

// Finds the differences. Routes go by host and path prefix, services and tenants by name. A version that is not higher
// than the one in force is an error.
std::vector<ConfigurationFinding> compareConfigurations(
    const GatewayConfiguration& inForce, const GatewayConfiguration& next);

} // namespace lovagecross
