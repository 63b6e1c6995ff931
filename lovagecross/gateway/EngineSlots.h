#pragma once

// The slots of the engines that the entry nodes of a data centre use.
//
// Thread safety: free function over immutable values.

#include "lovagecross/gateway/Directory.h"

#include <string>

namespace lovagecross {

// Returns the slots of all ready servers of services with engines in the data centre, or in all of them if it has none.
double engineSlots(const DirectoryView& view, const std::string& dataCentre);

} // namespace lovagecross
