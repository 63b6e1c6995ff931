#pragma once

// Base64 (RFC 4648) without line breaks.
//
// Thread safety: free functions.

#include <optional>
#include <string>

namespace lovagecross {

std::string encodeBase64(const std::string& bytes);

// nullopt when the text holds anything that is not Base64.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace lovagecross
