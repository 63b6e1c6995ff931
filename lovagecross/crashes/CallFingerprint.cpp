#include "lovagecross/crashes/CallFingerprint.h"

#include "lovagecross/base/Hash.h"

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>
#include <Poco/SHA2Engine.h>

namespace lovagecross {

namespace {

// The length goes first, so that no two lists of parts give the same bytes.
void add(Poco::SHA2Engine& engine, std::string_view part)
{
    std::string length = std::to_string(part.size()) + ':';
    engine.update(length.data(), length.size());
    engine.update(part.data(), part.size());
}

} // namespace

std::string fingerprintPrefixOf(const CallContent& content)
{
    std::uint64_t hash = stableHash(content.target);
    std::string prefix;
    for (std::size_t i = 0; i < fingerprintPrefixBytes; ++i)
        prefix += static_cast<char>(hash >> (8 * i) & 0xffU);
    return prefix;
}

std::string fingerprintOf(const CallContent& content)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    for (std::string_view part : { content.method, content.target, content.model, content.previousTurn, content.body })
        add(engine, part);
    const Poco::DigestEngine::Digest& digest = engine.digest();
    std::string fingerprint = fingerprintPrefixOf(content);
    fingerprint.append(digest.begin(), digest.begin() + (fingerprintBytes - fingerprintPrefixBytes));
    return fingerprint;
}

std::string printFingerprint(std::string_view fingerprint)
{
    return Poco::DigestEngine::digestToHex({ fingerprint.begin(), fingerprint.end() });
}

std::string parseFingerprint(std::string_view text)
{
    if (text.size() != 2 * fingerprintBytes)
        return {};
    try {
        Poco::DigestEngine::Digest digest = Poco::DigestEngine::digestFromHex(std::string(text));
        return { digest.begin(), digest.end() };
    } catch (const Poco::Exception&) { // a character that is no hexadecimal digit
        return {};
    }
}

} // namespace lovagecross
