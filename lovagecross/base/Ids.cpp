#include "lovagecross/base/Ids.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace lovagecross {

namespace {

constexpr std::size_t maxNameLength = 32;
constexpr std::size_t shardDigits = 2;
constexpr std::size_t numberDigits = 16;

template <typename Integer> std::optional<Integer> parseExact(std::string_view text, std::size_t digits, int base)
{
    Integer value = 0;
    if (text.size() != digits)
        return std::nullopt;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string formatNumber(const char* format, unsigned long long value)
{
    char buffer[24];
    int length = std::snprintf(buffer, sizeof(buffer), format, value);
    return std::string(buffer, static_cast<std::size_t>(length));
}

} // namespace

std::string ShardId::toString() const
{
    return this->dataCentre + "/" + formatNumber("%02llu", this->index);
}

std::string ProgramId::toString() const
{
    return this->shard.dataCentre + "-" + formatNumber("%02llu", this->shard.index) + "-"
        + formatNumber("%016llx", this->number);
}

std::optional<ProgramId> ProgramId::parse(std::string_view text)
{
    constexpr std::size_t tailLength = 1 + shardDigits + 1 + numberDigits;
    if (text.size() <= tailLength)
        return std::nullopt;
    std::string_view dataCentre = text.substr(0, text.size() - tailLength);
    std::string_view tail = text.substr(dataCentre.size());
    if (!isValidName(dataCentre) || tail[0] != '-' || tail[1 + shardDigits] != '-')
        return std::nullopt;
    auto shard = parseExact<std::uint32_t>(tail.substr(1, shardDigits), shardDigits, 10);
    auto number = parseExact<std::uint64_t>(tail.substr(2 + shardDigits), numberDigits, 16);
    if (!shard || !number)
        return std::nullopt;
    ProgramId id { { std::string(dataCentre), *shard }, *number };
    if (id.toString() != text) // rejects upper-case hexadecimal digits
        return std::nullopt;
    return id;
}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.size() > maxNameLength || name.front() == '-' || name.back() == '-')
        return false;
    return std::all_of(name.begin(), name.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    });
}

} // namespace lovagecross
