#pragma once

// A hash that is the same on every node and in every version, for placing things by their names.
//
// Thread safety: free functions.

#include <cstdint>
#include <string_view>

namespace lovagecross {

// A well mixed 64-bit hash. It doesn't resist names that are chosen to collide.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace lovagecross
