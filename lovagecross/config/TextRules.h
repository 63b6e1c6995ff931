#pragma once

// Validation rules for strings in settings and configuration.
//
// Thread safety: constants.

#include "lovagecross/config/JsonReader.h"

namespace lovagecross {

// Data centre and node names; see isValidName.
extern const TextRule idRule;
// Names of ranks, tenants, budgets, programs, services and backend servers. They appear in object keys, paths and logs.
extern const TextRule nameRule;
extern const TextRule optionalNameRule;
// Model names, which by convention contain a slash.
extern const TextRule modelRule;
extern const TextRule addressRule;
extern const TextRule filePathRule;
extern const TextRule sha256Rule;

} // namespace lovagecross
