#include "lovagecross/tenants/ApiKey.h"

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>
#include <Poco/SHA2Engine.h>
#include <algorithm>
#include <cstring>

namespace lovagecross {

namespace {

bool isVisibleAscii(char character)
{
    return character > ' ' && character <= '~';
}

std::optional<KeyDigest> fromBytes(const Poco::DigestEngine::Digest& bytes)
{
    KeyDigest digest;
    if (bytes.size() != digest.bytes.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

} // namespace

std::optional<KeyDigest> digestOfKey(std::string_view key)
{
    if (key.empty() || key.size() > maxKeyBytes || !std::all_of(key.begin(), key.end(), isVisibleAscii))
        return std::nullopt;
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    return fromBytes(engine.digest());
}

std::string printKeyDigest(const KeyDigest& digest)
{
    return Poco::DigestEngine::digestToHex({ digest.bytes.begin(), digest.bytes.end() });
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    if (text.size() != 2 * keyDigestBytes)
        return std::nullopt;
    try {
        return fromBytes(Poco::DigestEngine::digestFromHex(std::string(text)));
    } catch (const Poco::Exception&) { // a character that is no hexadecimal digit
        return std::nullopt;
    }
}

} // namespace lovagecross

std::size_t std::hash<lovagecross::KeyDigest>::operator()(const lovagecross::KeyDigest& digest) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes.data(), sizeof(value));
    return value;
}
