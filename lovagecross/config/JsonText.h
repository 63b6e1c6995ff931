#pragma once

// Parses and prints JSON, based on Poco::JSON. Parsing limits size and depth and rejects duplicate keys, of which most
// JSON parsers silently use the last one.
//
//     Result<JsonNode> document = parseJson(text, { .maxBytes = 64 * 1024 });
//     std::string text = printJson(node);
//
// Thread safety: free functions without state.

#include "lovagecross/base/Error.h"
#include "lovagecross/config/JsonNode.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovagecross {

struct JsonLimits {
    std::size_t maxBytes = 1024 * 1024;
    std::size_t maxDepth = 16;
    std::size_t maxKeys = 256; // per object; limits the quadratic cost of comparing each new key with all earlier ones
};

// `document` must be an array or an object. Errors: TooLarge; BadRequest with the line, column and byte offset in the
// message for text that is not JSON, is truncated or is nested too deeply; BadRequest with the path in `field` for a
// duplicate key, an integer that doesn't fit into 64 bits, and an object with too many keys.
Result<JsonNode> parseJson(std::string_view document, const JsonLimits& limits = {});

enum class JsonLayout {
    Indented,
    OneLine,
};

// `node` must be an array or an object.
std::string printJson(const JsonNode& node, JsonLayout layout = JsonLayout::Indented);

} // namespace lovagecross
