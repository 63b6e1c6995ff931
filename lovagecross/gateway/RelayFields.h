#pragma once

// Header fields between entry nodes, on calls that one runs for another. They are used only on the address for nodes,
// never towards callers or backend servers.
//
// Thread safety: constants and free functions.

#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/RelayDecline.h"
#include "lovagecross/gateway/ServerEntry.h"
#include "lovagecross/http/MessageHead.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace lovagecross {

inline constexpr std::string_view relayedForField = "Lovagecross-Relayed-For"; // name of the node that sends the call
// Version of the configuration that the sending node has; a node with an older one declines the call. Absent in calls
// of nodes that were built before the field was added.
inline constexpr std::string_view relayConfigurationField = "Lovagecross-Relay-Configuration";
inline constexpr std::string_view relayDeclinedField = "Lovagecross-Relay-Declined"; // not run; try another node
// One of declineReasonNames, beside relayDeclinedField. Absent in responses of nodes that were built before the field
// was added.
inline constexpr std::string_view relayDeclineReasonField = "Lovagecross-Relay-Decline-Reason";
// The server that gave the response: its id, a space, and the Unix millisecond of its start.
inline constexpr std::string_view relayServerField = "Lovagecross-Relay-Server";

// Digest of the caller's key, in place of the key. The node that runs the call looks the tenant up in its own
// configuration, which may be the newer one.
inline constexpr std::string_view relayKeyDigestField = "Lovagecross-Relay-Key-Digest";

// Returns the name of the node for which the call is run, or an empty string.
inline std::string relayedFor(const HeaderList& headers)
{
    const std::string* name = headers.find(relayedForField);
    return name != nullptr ? *name : std::string();
}

// Returns 0 if the field is missing or malformed.
inline std::uint64_t relayConfigurationOf(const HeaderList& headers)
{
    const std::string* version = headers.find(relayConfigurationField);
    return version != nullptr ? parseUnsigned(*version).value_or(0) : 0;
}

// A missing field means that the caller sent no key.
inline Credential relayedCredentialOf(const HeaderList& headers)
{
    const std::string* text = headers.find(relayKeyDigestField);
    if (text == nullptr)
        return {};
    std::optional<KeyDigest> digest = parseKeyDigest(*text);
    return digest ? Credential { CredentialKind::Key, *digest } : Credential { CredentialKind::Malformed, {} };
}

inline std::string printRelayServer(const ServerKey& server)
{
    return server.id + ' ' + std::to_string(server.startedUnixMillis);
}

// Returns nullopt if the field is missing or malformed.
inline std::optional<ServerKey> relayServerOf(const HeaderList& headers)
{
    const std::string* text = headers.find(relayServerField);
    std::size_t space = text != nullptr ? text->rfind(' ') : std::string::npos;
    if (space == std::string::npos || space == 0)
        return std::nullopt;
    auto started = parseUnsigned(std::string_view(*text).substr(space + 1));
    if (!started)
        return std::nullopt;
    return ServerKey { text->substr(0, space), static_cast<std::int64_t>(*started) };
}

// Returns nullopt if the Retry-After field is missing or is not a number of seconds.
inline std::optional<Duration> retryAfterOf(const HeaderList& headers)
{
    const std::string* text = headers.find("Retry-After");
    if (text == nullptr)
        return std::nullopt;
    constexpr double maxSeconds = 3600;
    double seconds = 0;
    const char* end = text->data() + text->size();
    auto [parsedTo, error] = std::from_chars(text->data(), end, seconds);
    if (error != std::errc() || parsedTo != end || !(seconds >= 0 && seconds <= maxSeconds))
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Returns nullopt if the node took the call. A reason that this build doesn't know counts as none.
inline std::optional<RelayDecline> relayDeclineOf(const HeaderList& headers)
{
    if (!headers.has(relayDeclinedField))
        return std::nullopt;
    RelayDecline decline;
    decline.retryAfter = retryAfterOf(headers);
    if (const std::string* reason = headers.find(relayDeclineReasonField))
        decline.reason = declineReasonNames.parse(*reason).value_or(DeclineReason::Unstated);
    return decline;
}

// Removes the fields of requests and of responses.
inline void removeRelayFields(HeaderList& headers)
{
    headers.remove(relayedForField);
    headers.remove(relayConfigurationField);
    headers.remove(relayServerField);
    headers.remove(relayDeclinedField);
    headers.remove(relayDeclineReasonField);
    headers.remove(relayKeyDigestField);
}

} // namespace lovagecross
