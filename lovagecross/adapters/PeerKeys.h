#pragma once

// Keys and addresses of the ZeroMQ transport. Internal to the adapters.

#include <string>

namespace lovagecross::detail {

// A CURVE key pair in Z85 encoding. Empty if authentication is disabled.
struct CurveKeyPair {
    std::string publicKey;
    std::string secretKey;
};

// Derives the key pair that all nodes share from the key file. A CURVE server accepts only clients that know its public
// key, and this one is never sent over the network, so only nodes that have the file can connect.
// Returns an error message, empty on success.
std::string deriveKeyPair(const std::string& path, CurveKeyPair& keys);

// Returns whether the text is host:port with a valid port. ZeroMQ itself would accept port 99999, modulo 65536.
bool isPeerAddress(const std::string& address);

} // namespace lovagecross::detail
