#include "lovagecross/config/TextRules.h"

#include "lovagecross/base/Ids.h"
#include "lovagecross/config/Address.h"

#include <algorithm>
#include <string_view>

namespace lovagecross {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxModelLength = 128;
constexpr std::size_t maxFilePathLength = 1024;
constexpr std::size_t sha256Digits = 64;

bool isAlphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9');
}

// Requires a letter or digit as the first character, so that no name is `..` or looks like a command-line option.
bool isNameOf(std::string_view text, std::size_t maxLength, std::string_view punctuation)
{
    if (text.empty() || text.size() > maxLength || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return isAlphanumeric(character) || punctuation.find(character) != std::string_view::npos;
    });
}

bool isName(std::string_view text)
{
    return isNameOf(text, maxNameLength, "._-");
}

bool isOptionalName(std::string_view text)
{
    return text.empty() || isName(text);
}

bool isModel(std::string_view text)
{
    return isNameOf(text, maxModelLength, "._-/:@");
}

bool isFilePath(std::string_view text)
{
    return text.size() <= maxFilePathLength
        && std::none_of(text.begin(), text.end(), [](unsigned char character) { return character < 0x20; });
}

bool isSha256(std::string_view text)
{
    return text.size() == sha256Digits && std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

} // namespace

const TextRule idRule { "1 to 32 characters of [a-z0-9-], no dash at the ends", isValidName };
const TextRule nameRule { "1 to 64 characters of [A-Za-z0-9._-], the first a letter or digit", isName };
const TextRule optionalNameRule { "empty or 1 to 64 characters of [A-Za-z0-9._-], the first a letter or digit",
    isOptionalName };
const TextRule modelRule { "1 to 128 characters of [A-Za-z0-9._/:@-], the first a letter or digit", isModel };
const TextRule addressRule { "an IP address and a port from 1 to 65535, such as 10.0.0.1:7400", isAddress };
const TextRule filePathRule { "a file path of at most 1024 bytes", isFilePath };
const TextRule sha256Rule { "64 lower-case hexadecimal digits", isSha256 };

} // namespace lovagecross
