#pragma once

// Identifies a call by what a backend server gets of it, so that a repeat of it is recognized on every node, whoever
// sends it. Who the caller is doesn't count: what ends a server does so for every caller, and an entry node sees only
// the address of the load balancer.
//
// Thread safety: a plain value and free functions.

#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovagecross {

// What makes two calls the same.
struct CallContent {
    std::string_view method;
    std::string_view target; // path and query
    std::string_view model;
    std::string_view previousTurn; // stands for the conversation that precedes the body
    std::string_view body; // as the caller sent it
};

inline constexpr std::size_t fingerprintPrefixBytes = 4;

// `fingerprintBytes` bytes: the prefix, and the first bytes of a SHA-256 of the content. Nobody can find another
// content with the fingerprint of a given one.
std::string fingerprintOf(const CallContent& content);

// The first bytes of the fingerprint. They need neither the body nor a digest, so that a call can be compared with a
// few known ones at little cost.
std::string fingerprintPrefixOf(const CallContent& content);

// As lower-case hexadecimal digits, for logs and operators.
std::string printFingerprint(std::string_view fingerprint);

// Returns an empty string unless the text is a printed fingerprint.
std::string parseFingerprint(std::string_view text);

} // namespace lovagecross
