#pragma once

// Serialization of the messages between nodes (lovagecross/proto/peer.proto). Internal to the adapters.
//
// Decoding validates names, counts and lengths, so that handlers receive only well-formed messages.
//
// Thread safety: the functions share no state and may be called from any thread.

#include "lovagecross/ports/Peer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lovagecross::detail {

// Unique for each request: `session` is chosen at random by each transport instance, and `number` counts its requests.
struct RequestId {
    std::uint64_t session = 0;
    std::uint64_t number = 0;

    bool operator==(const RequestId&) const = default;
    bool operator<(const RequestId& other) const
    {
        return this->session != other.session ? this->session < other.session : this->number < other.number;
    }
};

struct ForwardCancel { };

struct ForwardChunk {
    std::uint64_t position = 0;
    std::string text;
};

struct Heartbeat { };

struct AnswerPart {
    std::uint32_t position = 0;
    bool last = false;
    std::string content;
};

struct Refusal {
    bool nothingDone = false;
    std::string reason;
};

// Sent by an answering node that is about to close its connections. The requesting node sends it back to confirm that
// it has read all earlier answers.
struct Goodbye { };

using PeerBody = std::variant<PeerRequest, ForwardCancel, ForwardChunk, Heartbeat, AnswerPart, Refusal, Goodbye>;

struct PeerEnvelope {
    RequestId id;
    bool notification = false; // true if the sender expects no answer
    PeerBody body;
};

std::string encodeEnvelope(const PeerEnvelope& envelope);

// Both decoders return nullopt for a malformed message.
std::optional<PeerEnvelope> decodeEnvelope(std::string_view bytes);

std::string encodeAnswer(const PeerAnswer& answer);
std::optional<PeerAnswer> decodeAnswer(std::string_view bytes);

// Returns whether the type of the answer matches the type of the request.
bool answersTo(const PeerRequest& request, const PeerAnswer& answer);

} // namespace lovagecross::detail
