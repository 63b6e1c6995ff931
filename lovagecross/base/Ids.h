#pragma once

// Identifiers that several components share.
//
// A program id contains the shard that owns the program: `<dataCentre>-<shard>-<16 hex digits>`, for example
// `lodz1-02-9f03c1d2a4b5e677`. Any node can therefore route a call without a lookup.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecross {

inline constexpr std::uint32_t maxShardsPerDataCentre = 100; // a program id has two decimal digits for the shard

// A partition of the programs of one data centre.
struct ShardId {
    std::string dataCentre;
    std::uint32_t index = 0;

    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const ShardId&) const = default; // NOLINT(modernize-use-nullptr)

    // `lodz1/02`, as used in object keys and logs.
    std::string toString() const;
};

struct ProgramId {
    ShardId shard;
    std::uint64_t number = 0;

    auto operator<=>(const ProgramId&) const = default; // NOLINT(modernize-use-nullptr)

    std::string toString() const;

    // Returns nullopt unless `text` is exactly in the format described at the top of this file.
    static std::optional<ProgramId> parse(std::string_view text);
};

// Identifies one process of a node: after a restart, the node has the same name and a new incarnation number.
struct NodeIncarnation {
    std::string node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const NodeIncarnation&) const = default; // NOLINT(modernize-use-nullptr)

    bool empty() const { return this->node.empty(); }
};

// Whether `name` is a valid data centre or node name: 1 to 32 characters of [a-z0-9-] that neither start nor end with a
// dash, so that ids and object keys stay unambiguous. A program id is split at its last two dashes.
bool isValidName(std::string_view name);

} // namespace lovagecross

template <> struct std::hash<lovagecross::ProgramId> {
    std::size_t operator()(const lovagecross::ProgramId& id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.number);
    }
};
