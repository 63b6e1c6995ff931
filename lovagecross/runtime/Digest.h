#pragma once

// Thread safety: free functions.

#include <string>
#include <string_view>

namespace lovagecross {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace lovagecross
