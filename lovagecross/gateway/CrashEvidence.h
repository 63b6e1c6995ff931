#pragma once

// Decides whether a backend server's process has ended, when the connection of a call that it was running was lost or
// given up.
// Pure functions over a plain struct.
//
//     LostRun run { age, LossKind::Closed, ... };
//     if (endEvidence(run) == EndEvidence::Ended)
//         ... the server ended under the call ...
//
// A connection may also be lost because it was torn or cut on the way, because its VM has lost power, because an answer
// was spoilt, or because this node has lost its path to all servers, or because the server has too many connections. A
// process that ends closes all its connections and accepts no more, while other servers go on; or the registry lists a
// new process under its id.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

namespace lovagecross {

// How a call lost its connection to a server.
enum class LossKind {
    Closed, // the server or something on the way closed it, or what came was no answer
    Silent, // it was given up because nothing came
    Abandoned, // it was given up because the caller left; the server may have gone on for a moment
};

inline constexpr NameTable<LossKind, 3> lossKindNames { { {
    { LossKind::Closed, "closed" },
    { LossKind::Silent, "silent" },
    { LossKind::Abandoned, "abandoned" },
} } };

// What is known since a call lost its connection to a server.
struct LostRun {
    Duration age { 0 }; // since the loss
    LossKind kind = LossKind::Closed;
    bool refused = false; // the last new connection to the server was refused
    bool closesNewConnections = false; // it accepted connections and closed all of them at once
    bool answered = false; // it has answered a request that was sent after the loss, or went on with a stream
    bool restarted = false; // the registry lists another process under its id
    bool othersReached = false; // another server was reached after the loss
};

enum class EndEvidence {
    Pending,
    Ended,
    NotShown, // the loss had another reason, or none that can be told
};

inline constexpr NameTable<EndEvidence, 3> endEvidenceNames { { {
    { EndEvidence::Pending, "pending" },
    { EndEvidence::Ended, "ended" },
    { EndEvidence::NotShown, "not_shown" },
} } };

EndEvidence endEvidence(const LostRun& run);

// Whether it looks as if the server has ended, so that no further server should be put at risk.
bool looksEnded(const LostRun& run);

inline constexpr Duration evidenceSettleTime = std::chrono::milliseconds(80); // in which other servers are heard
// For a server that closes new connections: one with too many connections does so too, and goes on with its streams.
inline constexpr Duration closingSettleTime = std::chrono::milliseconds(450);
inline constexpr Duration evidenceTime = std::chrono::seconds(6); // in which a new process is listed
// For an abandoned call. Its server was told to stop it, so a later end is not taken for its doing.
inline constexpr Duration abandonedEvidenceTime = std::chrono::seconds(2);

} // namespace lovagecross
