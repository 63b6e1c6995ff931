#pragma once

// Builds the JSON answers sent to callers. Internal to Program*.cpp.

#include "lovagecross/ports/Peer.h"
#include "lovagecross/program/ProgramState.h"

#include <cstdint>
#include <string>

namespace lovagecross::detail {

// Returns the answer for a finished call, for the first request and for each repetition of it.
ForwardEnd finishedCallAnswer(CallOutcome outcome, const std::string& answer);

// Returns the body of a chat-completions answer.
std::string chatAnswer(const std::string& id, const std::string& model, const std::string& text,
    const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t cachedTokens,
    std::uint32_t generatedTokens);

// Returns `text` as a JSON string literal.
std::string jsonString(const std::string& text);

std::string budgetJson(const ProgramState& state);
std::string programJson(const ProgramState& state);
std::string historyJson(const ProgramState& state);

} // namespace lovagecross::detail
