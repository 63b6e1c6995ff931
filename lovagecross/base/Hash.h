#pragma once

// A hash that is the same on every node and in every version, for assigning objects to owners by name.
//
// Thread safety: free functions.

#include <cstdint>
#include <string_view>

namespace lovagecross {

// A well-distributed, non-cryptographic 64-bit hash. Not collision-resistant against names chosen by an attacker.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace lovagecross
