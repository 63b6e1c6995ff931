#pragma once

// Maps enum values to names and back, for JSON, logs and errors. The header of an enum declares one table:
//
//     enum class Color { Red, Blue };
//     inline constexpr NameTable<Color, 2> colorNames { { { Color::Red, "red" }, { Color::Blue, "blue" } } };
//     colorNames.name(Color::Red);    // "red"
//     colorNames.parse("blue");       // Color::Blue, or nullopt for an unknown name
//
// Thread safety: immutable.

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lovagecross {

template <typename Enum, std::size_t count> struct NameTable {
    std::array<std::pair<Enum, std::string_view>, count> entries;

    // Returns "unknown" for a value that is not in the table.
    constexpr std::string_view name(Enum value) const
    {
        for (const auto& [entry, text] : this->entries) {
            if (entry == value)
                return text;
        }
        return "unknown";
    }

    constexpr std::optional<Enum> parse(std::string_view text) const
    {
        for (const auto& [entry, entryText] : this->entries) {
            if (entryText == text)
                return entry;
        }
        return std::nullopt;
    }

    // All names separated by ", ", for error messages.
    std::string listNames() const
    {
        std::string list;
        for (const auto& [entry, text] : this->entries) {
            if (!list.empty())
                list += ", ";
            list += text;
        }
        return list;
    }
};

} // namespace lovagecross
