#include "lovagecross/runtime/Json.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <sstream>

namespace lovagecross {

namespace {

constexpr std::size_t maxDepth = 64;
constexpr std::size_t bytesOfValue = 512; // of a parsed object, the largest kind of value

boost::leaf::error_id wrongType(const std::string& name, const char* expected)
{
    return fail(ErrorCode::BadRequest, name, "must be " + std::string(expected));
}

} // namespace

Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxDepth);
        Poco::Dynamic::Var value = parser.parse(std::string(text));
        if (value.type() != typeid(Poco::JSON::Object::Ptr))
            return fail(ErrorCode::BadRequest, {}, "the body must be a JSON object");
        return value.extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception& error) {
        return fail(ErrorCode::BadRequest, {}, "the body is not valid JSON: " + error.message());
    }
}

std::size_t parsedBytes(std::string_view text)
{
    std::size_t values = 1;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char character = text[i];
        if (inString && character == '\\')
            ++i;
        else if (character == '"')
            inString = !inString;
        else if (!inString && (character == ',' || character == '{' || character == '['))
            ++values;
    }
    return text.size() + values * bytesOfValue;
}

std::string toJson(const Poco::JSON::Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

std::string errorJson(const Error& error)
{
    Poco::JSON::Object details;
    details.set("code", std::string(errorCodeNames.name(error.code)));
    details.set("message", error.message);
    if (!error.field.empty())
        details.set("field", error.field);
    details.set("run", std::string(runStateNames.name(error.run)));
    if (error.retryAfter > Duration(0))
        details.set("retryAfterMs", toMillis(error.retryAfter));
    Poco::JSON::Object body;
    body.set("error", details);
    return toJson(body);
}

Result<std::string> requiredString(const Poco::JSON::Object& object, const std::string& name)
{
    if (!object.has(name))
        return fail(ErrorCode::BadRequest, name, "is missing");
    Poco::Dynamic::Var value = object.get(name);
    if (!value.isString())
        return wrongType(name, "a string");
    return value.extract<std::string>();
}

Result<std::string> optionalString(
    const Poco::JSON::Object& object, const std::string& name, const std::string& fallback)
{
    if (!object.has(name))
        return fallback;
    return requiredString(object, name);
}

Result<bool> optionalBool(const Poco::JSON::Object& object, const std::string& name, bool fallback)
{
    if (!object.has(name))
        return fallback;
    Poco::Dynamic::Var value = object.get(name);
    if (!value.isBoolean())
        return wrongType(name, "true or false");
    return value.convert<bool>();
}

Result<std::uint64_t> optionalNumber(const Poco::JSON::Object& object, const std::string& name, std::uint64_t fallback,
    std::uint64_t least, std::uint64_t most)
{
    if (!object.has(name))
        return fallback;
    Poco::Dynamic::Var value = object.get(name);
    std::string range = "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    if (!value.isInteger() || value.isBoolean())
        return wrongType(name, range.c_str());
    try {
        auto number = value.convert<std::uint64_t>(); // throws for a negative number
        if (number < least || number > most)
            return wrongType(name, range.c_str());
        return number;
    } catch (const Poco::Exception&) {
        return wrongType(name, range.c_str());
    }
}

Result<void> checkMembers(const Poco::JSON::Object& object, std::initializer_list<std::string_view> known)
{
    for (const auto& [name, value] : object) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return fail(ErrorCode::BadRequest, name, "is not a known member");
    }
    return {};
}

} // namespace lovagecross
