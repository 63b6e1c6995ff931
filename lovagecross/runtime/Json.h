#pragma once

// Helpers for parsing requests and writing answers with Poco::JSON.

#include "lovagecross/base/Error.h"

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecross {

// Errors: BadRequest, with the parser's message, for text that is not one JSON object or nests deeper than 64 levels.
Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view text);

// Approximate bytes of memory that the text takes once it is parsed: at least its own, and many times more if it has
// many small values.
std::size_t parsedBytes(std::string_view text);

std::string toJson(const Poco::JSON::Object& object);

// Returns the body of an error answer of the HTTP API.
std::string errorJson(const Error& error);

// Read a member of a request. Errors: BadRequest with the member's name if it has the wrong type or is out of range, or
// if a required member is missing.
Result<std::string> requiredString(const Poco::JSON::Object& object, const std::string& name);
Result<std::string> optionalString(
    const Poco::JSON::Object& object, const std::string& name, const std::string& fallback);
Result<bool> optionalBool(const Poco::JSON::Object& object, const std::string& name, bool fallback);
Result<std::uint64_t> optionalNumber(const Poco::JSON::Object& object, const std::string& name, std::uint64_t fallback,
    std::uint64_t least, std::uint64_t most);

// Errors: BadRequest for the first member that is not in `known`.
Result<void> checkMembers(const Poco::JSON::Object& object, std::initializer_list<std::string_view> known);

} // namespace lovagecross
