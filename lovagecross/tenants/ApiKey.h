#pragma once

// Digests of the API keys that identify tenants. A node stores, compares and passes on only digests; a key itself never
// leaves the node that received it from its caller.
//
//     std::optional<KeyDigest> digest = digestOfKey(keyFromCaller);
//     std::string text = printKeyDigest(*digest);   // for other nodes
//
// Thread safety: plain values and free functions.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecross {

inline constexpr std::size_t keyDigestBytes = 32; // SHA-256
inline constexpr std::size_t maxKeyBytes = 1024; // a longer key belongs to no tenant

struct KeyDigest {
    std::array<std::uint8_t, keyDigestBytes> bytes {};

    bool operator==(const KeyDigest&) const = default;
};

// Returns nullopt for a key that is empty, too long, or not made of printable ASCII characters without spaces.
std::optional<KeyDigest> digestOfKey(std::string_view key);

// As lower-case hexadecimal digits.
std::string printKeyDigest(const KeyDigest& digest);

// Returns nullopt unless the text consists of 64 hexadecimal digits.
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

} // namespace lovagecross

// A digest is uniformly distributed, so its first bytes serve as its hash.
template <> struct std::hash<lovagecross::KeyDigest> {
    std::size_t operator()(const lovagecross::KeyDigest& digest) const noexcept;
};
