#pragma once

// Builds a JSON object that JsonReader can read, from the same list of fields. Empty optional strings and lists are
// omitted. Values are not checked; to validate them, read the result with JsonReader.
//
// Thread safety: not thread-safe.

#include "lovagecross/config/JsonReader.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross {

class JsonWriter {
public:
    template <typename Integer>
    void integer(std::string_view key, Integer value, const IntegerRange&, Presence = Presence::Optional)
    {
        if (std::in_range<std::int64_t>(value))
            this->add(key, { static_cast<std::int64_t>(value) });
        else
            this->add(key, { static_cast<std::uint64_t>(value) });
    }

    template <typename Enum, std::size_t count>
    void enumeration(
        std::string_view key, Enum value, const NameTable<Enum, count>& names, Presence = Presence::Optional)
    {
        this->add(key, { std::string(names.name(value)) });
    }

    template <typename Struct, typename Visit>
    void objects(std::string_view key, const std::vector<Struct>& list, const ListLimits&, Visit visit,
        Presence presence = Presence::Optional)
    {
        JsonArray array;
        for (const Struct& element : list) {
            JsonWriter writer;
            visit(writer, element);
            array.push_back(writer.take());
        }
        if (!array.empty() || presence == Presence::Required)
            this->add(key, { std::move(array) });
    }

    void number(std::string_view key, double value, const NumberRange&, Presence = Presence::Optional)
    {
        this->add(key, { value });
    }

    void boolean(std::string_view key, bool value, Presence = Presence::Optional) { this->add(key, { value }); }

    void text(std::string_view key, const std::string& value, const TextRule&, Presence presence = Presence::Optional)
    {
        if (!value.empty() || presence == Presence::Required)
            this->add(key, { value });
    }

    void texts(std::string_view key, const std::vector<std::string>& list, const TextRule&, const ListLimits&,
        Presence presence = Presence::Optional)
    {
        JsonArray array;
        for (const std::string& element : list)
            array.push_back({ element });
        if (!array.empty() || presence == Presence::Required)
            this->add(key, { std::move(array) });
    }

    JsonNode take() { return { std::move(this->members) }; }

private:
    void add(std::string_view key, JsonNode node) { this->members.push_back({ std::string(key), std::move(node) }); }

    JsonObject members;
};

} // namespace lovagecross
