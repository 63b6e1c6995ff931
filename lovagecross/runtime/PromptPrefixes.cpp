#include "lovagecross/runtime/PromptPrefixes.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <cstdio>
#include <string_view>

namespace lovagecross {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t fnvPrime = 0x100000001b3;
constexpr std::size_t bytesPerToken = 4; // an estimate; cache events carry the engine's exact count

std::uint64_t addToHash(std::uint64_t hash, std::string_view bytes)
{
    for (char byte : bytes)
        hash = (hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    return hash;
}

std::string hexadecimal(std::uint64_t value)
{
    char buffer[17];
    std::snprintf(buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(value));
    return buffer;
}

} // namespace

std::vector<PromptPrefix> promptPrefixes(const std::string& messagesJson)
{
    std::vector<PromptPrefix> prefixes;
    try {
        Poco::JSON::Parser parser;
        auto messages = parser.parse(messagesJson).extract<Poco::JSON::Array::Ptr>();
        std::uint64_t hash = fnvOffset;
        std::uint32_t tokens = 0;
        for (std::size_t i = 0; i < messages->size(); ++i) {
            Poco::JSON::Object::Ptr message = messages->getObject(static_cast<unsigned>(i));
            if (!message || !message->get("role").isString() || !message->get("content").isString())
                break;
            auto role = message->getValue<std::string>("role");
            auto content = message->getValue<std::string>("content");
            hash = addToHash(addToHash(addToHash(addToHash(hash, role), "\x1f"), content), "\x1e");
            tokens += static_cast<std::uint32_t>(
                std::max<std::size_t>(1, (content.size() + bytesPerToken - 1) / bytesPerToken));
            prefixes.push_back({ hexadecimal(hash), tokens });
        }
    } catch (const Poco::Exception&) {
        return prefixes;
    }
    return prefixes;
}

} // namespace lovagecross
