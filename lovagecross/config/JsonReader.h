#pragma once

// Reads JSON objects into structs and checks types, ranges, lengths, and missing and unknown keys. The first error is
// recorded with the path of its field, and later calls do nothing, so that a caller checks for errors once, at the end:
//
//     JsonErrors errors;
//     JsonReader reader(node, "", errors);
//     reader.text("name", name, nameRule, Presence::Required);
//     reader.integer("slots", slots, { 1, 4096 });
//     reader.finish();                       // reports unknown keys
//     return errors.result();
//
// `JsonWriter` has the same members, so that one function template can list a struct's fields for reading and writing.
//
// Thread safety: not thread-safe.

#include "lovagecross/base/Error.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/config/JsonNode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross {

enum class Presence {
    Optional, // a missing key leaves the value in the struct unchanged
    Required,
};

// Inclusive at both ends.
struct IntegerRange {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Inclusive at both ends.
struct NumberRange {
    double min = 0;
    double max = 0;
};

struct TextRule {
    std::string_view description; // follows "must be " in error messages
    bool (*accepts)(std::string_view) = nullptr;
};

struct ListLimits {
    std::size_t min = 0;
    std::size_t max = 0;
};

// Records the first error in a document.
class JsonErrors {
public:
    bool any() const { return this->first.has_value(); }

    void report(std::string field, std::string message, ErrorCode code = ErrorCode::BadRequest);

    Result<void> result() const;

private:
    std::optional<Error> first;
};

class JsonReader {
public:
    // `node` and `sharedErrors` must outlive the reader. Reports an error if `node` is not an object.
    JsonReader(const JsonNode& node, std::string objectPath, JsonErrors& sharedErrors);

    template <typename Integer>
    void integer(
        std::string_view key, Integer& value, const IntegerRange& range, Presence presence = Presence::Optional)
    {
        if (auto number = this->readInteger(key, range, presence))
            value = static_cast<Integer>(*number);
    }

    template <typename Enum, std::size_t count>
    void enumeration(
        std::string_view key, Enum& value, const NameTable<Enum, count>& names, Presence presence = Presence::Optional)
    {
        const std::string* name = this->readText(key, "one of " + names.listNames(), presence);
        if (name == nullptr)
            return;
        if (auto parsed = names.parse(*name))
            value = *parsed;
        else
            this->reportMismatch(this->pathOf(key), "one of " + names.listNames());
    }

    template <typename Struct, typename Visit>
    void objects(std::string_view key, std::vector<Struct>& list, const ListLimits& limits, Visit visit,
        Presence presence = Presence::Optional)
    {
        const JsonArray* array = this->readArray(key, limits, presence);
        if (array == nullptr)
            return;
        list.clear();
        for (std::size_t i = 0; i < array->size() && !this->errors.any(); ++i) {
            JsonReader reader((*array)[i], joinPath(this->pathOf(key), i), this->errors);
            visit(reader, list.emplace_back());
            reader.finish();
        }
    }

    // Accepts integers and fractions.
    void number(std::string_view key, double& value, const NumberRange& range, Presence presence = Presence::Optional);
    void boolean(std::string_view key, bool& value, Presence presence = Presence::Optional);
    void text(std::string_view key, std::string& value, const TextRule& rule, Presence presence = Presence::Optional);
    // Each element must satisfy `rule`; duplicates are errors.
    void texts(std::string_view key, std::vector<std::string>& list, const TextRule& rule, const ListLimits& limits,
        Presence presence = Presence::Optional);

    // Reports an error if the object has a key that none of the calls above has read.
    void finish();

    std::string pathOf(std::string_view key) const { return joinPath(this->path, key); }

private:
    const JsonNode* find(std::string_view key, std::string_view expected, Presence presence);
    std::optional<std::int64_t> readInteger(std::string_view key, const IntegerRange& range, Presence presence);
    const std::string* readText(std::string_view key, std::string_view expected, Presence presence);
    const JsonArray* readArray(std::string_view key, const ListLimits& limits, Presence presence);
    void reportMismatch(const std::string& field, std::string_view expected);

    const JsonNode& object;
    std::string path;
    JsonErrors& errors;
    std::vector<std::string_view> knownKeys;
};

} // namespace lovagecross
