#include "lovagecross/config/JsonNode.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxKeyInPath = 64;

} // namespace

JsonNode::JsonNode() = default;
JsonNode::JsonNode(JsonValue initial)
    : value(std::move(initial))
{
}
JsonNode::JsonNode(const JsonNode& other) = default;
JsonNode::JsonNode(JsonNode&& other) noexcept = default;
JsonNode& JsonNode::operator=(const JsonNode& other) = default;
JsonNode& JsonNode::operator=(JsonNode&& other) noexcept = default;
JsonNode::~JsonNode() = default;

// Not defaulted: clang-tidy 14 crashes on a defaulted comparison of this recursive type.
bool JsonNode::operator==(const JsonNode& other) const
{
    return this->value == other.value;
}

const JsonNode* findMember(const JsonNode& node, std::string_view key)
{
    const auto* object = std::get_if<JsonObject>(&node.value);
    if (object == nullptr)
        return nullptr;
    auto found = std::find_if(object->begin(), object->end(), [&](const auto& member) { return member.key == key; });
    return found == object->end() ? nullptr : &found->node;
}

std::string joinPath(std::string_view path, std::string_view key)
{
    std::string joined(path);
    if (!joined.empty())
        joined += '.';
    joined += printableText(key.substr(0, maxKeyInPath));
    return joined;
}

std::string joinPath(std::string_view path, std::size_t index)
{
    return std::string(path) + "[" + std::to_string(index) + "]";
}

std::string printableText(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(), [](unsigned char c) { return c < 0x20 || c >= 0x7f; }, '?');
    return result;
}

} // namespace lovagecross
