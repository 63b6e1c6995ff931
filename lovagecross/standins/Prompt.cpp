#include "lovagecross/standins/Prompt.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace lovagecross::standins {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t fnvPrime = 0x100000001b3;
constexpr std::uint32_t shortestAnswer = 16;
constexpr std::uint32_t answerLengths = 49; // 16 to 64 tokens
constexpr std::string_view lengthMark = "answerTokens=";

std::uint64_t addToHash(std::uint64_t hash, std::string_view bytes)
{
    for (const char byte : bytes)
        hash = (hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    return hash;
}

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[text.size() - 1 - i] = digits[(value >> (4 * i)) & 0xf];
    return text;
}

// Spreads the bits of `value`, so that neighbouring inputs give unrelated outputs (the SplitMix64 finalizer).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

void appendToken(std::string& text, std::uint64_t bits)
{
    constexpr std::string_view consonants = "bdfghklmnprstvwz";
    constexpr std::string_view vowels = "aeio";
    text += consonants[bits & 0xf];
    text += vowels[(bits >> 4) & 0x3];
    text += consonants[(bits >> 6) & 0xf];
    text += ' ';
}

std::uint32_t wantedTokens(std::string_view lastMessage, std::uint64_t seed)
{
    const std::size_t mark = lastMessage.find(lengthMark);
    if (mark != std::string_view::npos) {
        const std::string_view number = lastMessage.substr(mark + lengthMark.size());
        std::uint32_t tokens = 0;
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), tokens);
        if (parsed.ec == std::errc() && tokens > 0)
            return tokens;
    }
    return shortestAnswer + static_cast<std::uint32_t>(mix(seed) % answerLengths);
}

} // namespace

std::uint32_t countTokens(std::string_view text)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (text.size() + bytesPerToken - 1) / bytesPerToken));
}

std::uint32_t countTokens(const std::vector<PrefixBlock>& blocks)
{
    std::uint32_t tokens = 0;
    for (const PrefixBlock& block : blocks)
        tokens += block.tokens;
    return tokens;
}

std::vector<PrefixBlock> prefixBlocks(const std::vector<PromptMessage>& messages)
{
    std::vector<PrefixBlock> blocks;
    std::uint64_t hash = fnvOffset;
    for (const PromptMessage& message : messages) {
        hash = addToHash(hash, message.role);
        hash = addToHash(hash, "\x1f");
        hash = addToHash(hash, message.content);
        hash = addToHash(hash, "\x1e");
        blocks.push_back({ hexadecimal(hash), countTokens(message.content) });
    }
    return blocks;
}

PlannedAnswer planAnswer(std::string_view lastMessage, std::uint32_t maxTokens)
{
    PlannedAnswer answer;
    answer.seed = addToHash(fnvOffset, lastMessage);
    const std::uint32_t wanted = wantedTokens(lastMessage, answer.seed);
    answer.tokens = std::min(wanted, std::max(1U, maxTokens));
    answer.reachesLimit = wanted > answer.tokens;
    return answer;
}

std::string PlannedAnswer::text(std::uint32_t first, std::uint32_t end) const
{
    std::string text;
    for (std::uint32_t token = first; token < end; ++token)
        appendToken(text, mix(this->seed + token * 0x9e3779b97f4a7c15));
    return text;
}

} // namespace lovagecross::standins
