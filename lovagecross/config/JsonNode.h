#pragma once

// A JSON document as a plain value that keeps the order of keys. `JsonText.h` parses and prints it.
//
// Thread safety: plain values and free functions.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecross {

struct JsonNode;
struct JsonMember;

using JsonArray = std::vector<JsonNode>;
using JsonObject = std::vector<JsonMember>;

// std::monostate represents null. std::uint64_t is used only for integers above 2^63 - 1.
using JsonValue
    = std::variant<std::monostate, bool, std::int64_t, std::uint64_t, double, std::string, JsonArray, JsonObject>;

struct JsonNode {
    JsonValue value;

    // Defined out of line: GCC 12 reports members as maybe uninitialized when moves of the variant are inlined.
    JsonNode();
    JsonNode(JsonValue initial);
    JsonNode(const JsonNode& other);
    JsonNode(JsonNode&& other) noexcept;
    JsonNode& operator=(const JsonNode& other);
    JsonNode& operator=(JsonNode&& other) noexcept;
    ~JsonNode();

    bool operator==(const JsonNode& other) const;
};

struct JsonMember {
    std::string key;
    JsonNode node;

    bool operator==(const JsonMember& other) const { return this->key == other.key && this->node == other.node; }
};

// Returns the member `key`, or nullptr if `node` is not an object or doesn't have the key.
const JsonNode* findMember(const JsonNode& node, std::string_view key);

// Builds field paths for error messages: `joinPath("ranks[1]", "name")` is `ranks[1].name`. A key is truncated to 64
// characters and its unprintable characters are replaced, since it may come from an untrusted document.
std::string joinPath(std::string_view path, std::string_view key);
std::string joinPath(std::string_view path, std::size_t index);

// Replaces each byte outside printable ASCII by `?`, for messages that quote untrusted input.
std::string printableText(std::string_view text);

} // namespace lovagecross
