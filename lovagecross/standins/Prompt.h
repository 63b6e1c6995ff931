#pragma once

// Prompts and answers of the engine stand-in: token counts, prefix digests and the deterministic answer text.
//
// Thread safety: free functions over plain structs.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::standins {

struct PromptMessage {
    std::string role;
    std::string content;
};

// One message as a part of the prompts that start with it and with every message before it.
struct PrefixBlock {
    std::string digest; // of this and all earlier messages
    std::uint32_t tokens = 0; // of this message alone
};

// Four bytes a token, rounded up, and at least 1.
std::uint32_t countTokens(std::string_view text);
std::uint32_t countTokens(const std::vector<PrefixBlock>& blocks);

// The digest of a prefix: 16 hexadecimal digits of the 64-bit FNV-1a hash over, for each message in order, its role,
// byte 0x1f, its content, byte 0x1e.
std::vector<PrefixBlock> prefixBlocks(const std::vector<PromptMessage>& messages);

// The answer to a prompt. Depends on the content of the last message only.
struct PlannedAnswer {
    std::uint64_t seed = 0;
    std::uint32_t tokens = 0;
    bool reachesLimit = false; // the answer is cut at `maxTokens`

    // Text of the tokens from `first` up to `end`, four bytes each.
    std::string text(std::uint32_t first, std::uint32_t end) const;
};

// The answer has 16 to 64 tokens, or N when the last message contains `answerTokens=N`; at most `maxTokens`.
PlannedAnswer planAnswer(std::string_view lastMessage, std::uint32_t maxTokens);

} // namespace lovagecross::standins
