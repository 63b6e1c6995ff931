#include "lovagecross/base/Hash.h"

namespace lovagecross {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = fnvOffset ^ (seed * fnvPrime);
    for (char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    // FNV-1a hashes of short texts differ little in their high bits; the finalizer of MurmurHash3 mixes them.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace lovagecross
