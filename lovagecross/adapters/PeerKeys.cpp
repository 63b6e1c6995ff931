#include "lovagecross/adapters/PeerKeys.h"

#include <Poco/Crypto/DigestEngine.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <string_view>
#include <zmq.h>

namespace lovagecross::detail {

namespace {

constexpr std::size_t minKeyBytes = 32;
constexpr std::size_t maxKeyBytes = 64 * 1024;
constexpr std::size_t z85KeyBytes = 41; // a CURVE key in Z85 encoding, with the terminating null

} // namespace

std::string deriveKeyPair(const std::string& path, CurveKeyPair& keys)
{
    std::ifstream file(path, std::ios::binary);
    std::string content(maxKeyBytes, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    content.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file.gcount())));
    if (content.size() < minKeyBytes)
        return "peerKeyFile " + path + " is unreadable or shorter than " + std::to_string(minKeyBytes) + " bytes";
    if (zmq_has("curve") == 0)
        return "peerKeyFile requires CURVE encryption, which this build of ZeroMQ does not support";
    Poco::Crypto::DigestEngine digest("SHA256");
    digest.update("lovagecross peer key\n");
    digest.update(content);
    const Poco::DigestEngine::Digest& secret = digest.digest();
    std::array<char, z85KeyBytes> secretText {};
    std::array<char, z85KeyBytes> publicText {};
    if (zmq_z85_encode(secretText.data(), secret.data(), secret.size()) == nullptr
        || zmq_curve_public(publicText.data(), secretText.data()) != 0)
        return "failed to derive a key pair from peerKeyFile " + path;
    keys.secretKey = secretText.data();
    keys.publicKey = publicText.data();
    return {};
}

bool isPeerAddress(const std::string& address)
{
    constexpr std::size_t maxAddressBytes = 64;
    constexpr std::uint32_t maxPort = 65535;
    constexpr std::string_view hostCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.:-[]";
    std::size_t colon = address.rfind(':');
    if (address.size() > maxAddressBytes || colon == std::string::npos || colon == 0)
        return false;
    if (address.find_first_not_of(hostCharacters) < colon)
        return false;
    std::uint32_t port = 0;
    const char* last = address.data() + address.size();
    auto [end, error] = std::from_chars(address.data() + colon + 1, last, port);
    return error == std::errc() && end == last && port >= 1 && port <= maxPort;
}

} // namespace lovagecross::detail
