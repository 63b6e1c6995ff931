#include "lovagecross/runtime/ProgramAnswers.h"

#include "lovagecross/runtime/Json.h"
#include "lovagecross/runtime/ProgramService.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSONString.h>

namespace lovagecross {

int httpStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::BudgetExceeded:
        return 402;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::UnknownProgram:
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::ProgramEnded:
    case ErrorCode::RequestIdConflict:
    case ErrorCode::VersionConflict:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::Quarantined:
        return 422;
    case ErrorCode::Overloaded:
        return 429;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::BackendFailed:
        return 502;
    case ErrorCode::NotOwner:
    case ErrorCode::Unavailable:
    case ErrorCode::CorruptData:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

ForwardEnd errorAnswer(const Error& error)
{
    return { httpStatusOf(error.code), errorJson(error) };
}

namespace detail {

ForwardEnd finishedCallAnswer(CallOutcome outcome, const std::string& answer)
{
    if (outcome == CallOutcome::Unknown && answer.empty()) // recorded by a takeover, not by the node that sent the call
        return errorAnswer(
            { ErrorCode::OutcomeUnknown, "the node that sent the request failed before an answer was recorded", {},
                RunState::Unknown, Duration(0) });
    return { outcome == CallOutcome::Succeeded ? 200 : 502, answer };
}

std::string chatAnswer(const std::string& id, const std::string& model, const std::string& text,
    const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t cachedTokens,
    std::uint32_t generatedTokens)
{
    Poco::JSON::Object message;
    message.set("role", "assistant");
    message.set("content", text);
    Poco::JSON::Object choice;
    choice.set("index", 0);
    choice.set("message", message);
    choice.set("finish_reason", finishReason);
    Poco::JSON::Array choices;
    choices.add(choice);
    Poco::JSON::Object usage;
    usage.set("prompt_tokens", promptTokens);
    usage.set("completion_tokens", generatedTokens);
    usage.set("cached_tokens", cachedTokens);
    usage.set("total_tokens", promptTokens + generatedTokens);
    Poco::JSON::Object body;
    body.set("id", id);
    body.set("object", "chat.completion");
    body.set("model", model);
    body.set("choices", choices);
    body.set("usage", usage);
    return toJson(body);
}

std::string jsonString(const std::string& text)
{
    return Poco::toJSON(text);
}

std::string budgetJson(const ProgramState& state)
{
    return "{\"tokens\":" + std::to_string(state.created.budgetTokens) + ",\"spent\":"
        + std::to_string(state.spentTokens) + ",\"ceiling\":" + std::to_string(state.ceilingTokens) + "}";
}

std::string programJson(const ProgramState& state)
{
    std::string json = "{\"id\":" + jsonString(state.created.program.toString())
        + ",\"rank\":" + jsonString(state.created.rank) + ",\"tenant\":" + jsonString(state.created.tenant)
        + ",\"ended\":" + (state.ended ? "true" : "false");
    if (state.ended)
        json += ",\"endReason\":" + jsonString(state.endReason);
    return json + ",\"turns\":" + std::to_string(state.turns.size()) + ",\"budget\":" + budgetJson(state) + "}";
}

std::string historyJson(const ProgramState& state)
{
    std::string json = "{\"turns\":[";
    for (std::size_t i = 0; i < state.turns.size(); ++i) {
        const TurnSnapshot& turn = state.turns[i];
        json += i > 0 ? "," : "";
        json += "{\"turn\":" + std::to_string(i) + ",\"requestId\":" + jsonString(turn.requestId) + ",\"kind\":"
            + jsonString(std::string(callKindNames.name(turn.kind))) + ",\"target\":" + jsonString(turn.target)
            + ",\"outcome\":" + jsonString(std::string(callOutcomeNames.name(turn.outcome))) + ",\"costTokens\":"
            + std::to_string(turn.costTokens) + ",\"request\":" + (turn.request.empty() ? "null" : turn.request)
            + ",\"answer\":" + (turn.answer.empty() ? "null" : turn.answer) + "}";
    }
    return json + "]}";
}

} // namespace detail

} // namespace lovagecross
