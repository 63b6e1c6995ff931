#pragma once

// Base64 (RFC 4648) without line breaks.
//
// Thread safety: the functions share no state; any thread may call them.

#include <optional>
#include <string>

namespace lovagecross {

std::string encodeBase64(const std::string& bytes);

// Returns nullopt if `text` is not valid Base64.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace lovagecross
