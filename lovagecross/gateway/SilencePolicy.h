#pragma once

// Decides what a call does while the backend server that runs its stream sends no events. Pure functions over a plain
// struct.
//
//     SilentStream stream { silence, usualSilence, contact };
//     if (silenceAction(stream) == SilenceAction::Move)
//         ... continue at another server, if there is one ...
//     ... look again after untilNextSilenceCheck(stream) ...
//
// A sound server may send nothing for a second and go on, so silence is a reason to move a stream to another server,
// never to end it. A server that accepts no connection either is left earlier. Both are left early enough for the next
// server's first event to arrive before callers disconnect, two seconds after the last one.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerContacts.h"

namespace lovagecross {

// A stream that waits for its next event, or for its first one.
struct SilentStream {
    Duration silence { 0 }; // since the last event, or since the request was sent
    Duration usualSilence { 0 }; // that the route allows for; a shorter one means nothing
    ServerContact contact = ServerContact::Unknown; // since the silence began
};

enum class SilenceAction {
    Wait,
    Probe, // find out whether the server accepts a connection
    Move, // continue at another server
};

SilenceAction silenceAction(const SilentStream& stream);

// Time after which to decide again. At least `silenceCheckInterval`.
Duration untilNextSilenceCheck(const SilentStream& stream);

inline constexpr Duration silenceCheckInterval = std::chrono::milliseconds(100);
inline constexpr Duration silenceBeforeProbe = std::chrono::milliseconds(600);
inline constexpr Duration soundServerSilence = std::chrono::milliseconds(1400); // more than a sound server's pauses

} // namespace lovagecross
