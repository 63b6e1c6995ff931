#include "lovagecross/config/JsonReader.h"

#include <algorithm>
#include <sstream>

namespace lovagecross {

namespace {

std::string describe(const IntegerRange& range)
{
    return "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

std::string describe(const NumberRange& range)
{
    std::ostringstream text;
    text << "a number from " << range.min << " to " << range.max;
    return text.str();
}

std::optional<double> numberOf(const JsonNode& node)
{
    if (const auto* integer = std::get_if<std::int64_t>(&node.value))
        return static_cast<double>(*integer);
    const auto* fraction = std::get_if<double>(&node.value);
    return fraction != nullptr ? std::optional<double>(*fraction) : std::nullopt;
}

std::string describe(const ListLimits& limits)
{
    return "a list of " + std::to_string(limits.min) + " to " + std::to_string(limits.max) + " elements";
}

} // namespace

void JsonErrors::report(std::string field, std::string message, ErrorCode code)
{
    if (!this->first)
        this->first = Error { code, std::move(message), std::move(field), RunState::NotRun, Duration(0) };
}

Result<void> JsonErrors::result() const
{
    if (this->first)
        return fail(*this->first);
    return {};
}

JsonReader::JsonReader(const JsonNode& node, std::string objectPath, JsonErrors& sharedErrors)
    : object(node)
    , path(std::move(objectPath))
    , errors(sharedErrors)
{
    if (!std::holds_alternative<JsonObject>(node.value))
        this->reportMismatch(this->path, "an object");
}

void JsonReader::number(std::string_view key, double& value, const NumberRange& range, Presence presence)
{
    const JsonNode* node = this->find(key, describe(range), presence);
    if (node == nullptr)
        return;
    std::optional<double> number = numberOf(*node);
    if (number && *number >= range.min && *number <= range.max)
        value = *number;
    else
        this->reportMismatch(this->pathOf(key), describe(range));
}

void JsonReader::boolean(std::string_view key, bool& value, Presence presence)
{
    const JsonNode* node = this->find(key, "true or false", presence);
    if (node == nullptr)
        return;
    if (const bool* flag = std::get_if<bool>(&node->value))
        value = *flag;
    else
        this->reportMismatch(this->pathOf(key), "true or false");
}

void JsonReader::text(std::string_view key, std::string& value, const TextRule& rule, Presence presence)
{
    const std::string* found = this->readText(key, rule.description, presence);
    if (found == nullptr)
        return;
    if (rule.accepts(*found))
        value = *found;
    else
        this->reportMismatch(this->pathOf(key), rule.description);
}

void JsonReader::texts(std::string_view key, std::vector<std::string>& list, const TextRule& rule,
    const ListLimits& limits, Presence presence)
{
    const JsonArray* array = this->readArray(key, limits, presence);
    if (array == nullptr)
        return;
    list.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto* element = std::get_if<std::string>(&(*array)[i].value);
        if (element == nullptr || !rule.accepts(*element))
            return this->reportMismatch(joinPath(this->pathOf(key), i), rule.description);
        if (std::find(list.begin(), list.end(), *element) != list.end())
            return this->errors.report(joinPath(this->pathOf(key), i), "is already in the list");
        list.push_back(*element);
    }
}

void JsonReader::finish()
{
    const auto* members = std::get_if<JsonObject>(&this->object.value);
    if (members == nullptr)
        return;
    for (const JsonMember& member : *members) {
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), member.key) != this->knownKeys.end())
            continue;
        std::string known;
        for (std::string_view key : this->knownKeys)
            known.append(known.empty() ? "" : ", ").append(key);
        return this->errors.report(this->pathOf(member.key), "is not a known key; must be one of " + known);
    }
}

const JsonNode* JsonReader::find(std::string_view key, std::string_view expected, Presence presence)
{
    this->knownKeys.push_back(key);
    if (this->errors.any())
        return nullptr;
    const JsonNode* node = findMember(this->object, key);
    if (node == nullptr && presence == Presence::Required)
        this->errors.report(this->pathOf(key), "is missing; must be " + std::string(expected));
    return node;
}

std::optional<std::int64_t> JsonReader::readInteger(std::string_view key, const IntegerRange& range, Presence presence)
{
    const JsonNode* node = this->find(key, describe(range), presence);
    if (node == nullptr)
        return std::nullopt;
    const auto* number = std::get_if<std::int64_t>(&node->value);
    if (number != nullptr && *number >= range.min && *number <= range.max)
        return *number;
    this->reportMismatch(this->pathOf(key), describe(range));
    return std::nullopt;
}

const std::string* JsonReader::readText(std::string_view key, std::string_view expected, Presence presence)
{
    const JsonNode* node = this->find(key, expected, presence);
    if (node == nullptr)
        return nullptr;
    const auto* text = std::get_if<std::string>(&node->value);
    if (text == nullptr)
        this->reportMismatch(this->pathOf(key), expected);
    return text;
}

const JsonArray* JsonReader::readArray(std::string_view key, const ListLimits& limits, Presence presence)
{
    const JsonNode* node = this->find(key, describe(limits), presence);
    if (node == nullptr)
        return nullptr;
    const auto* array = std::get_if<JsonArray>(&node->value);
    if (array != nullptr && array->size() >= limits.min && array->size() <= limits.max)
        return array;
    this->reportMismatch(this->pathOf(key), describe(limits));
    return nullptr;
}

void JsonReader::reportMismatch(const std::string& field, std::string_view expected)
{
    this->errors.report(field, "must be " + std::string(expected));
}

} // namespace lovagecross
