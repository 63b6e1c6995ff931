#pragma once

// When this node last opened a connection to each backend server, or failed to. Tells whether a server that sends
// nothing on its open connections still accepts new ones. Does no I/O.
//
//     contacts.record("server1", ConnectOutcome::Opened);
//     contacts.contactSince("server1", lastEventAt);   // ServerContact::Accepts
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace lovagecross {

enum class ServerContact {
    Unknown, // no connection was tried
    Accepts, // the last one was opened
    Unreachable, // the last one was refused, or not accepted in time
};

inline constexpr NameTable<ServerContact, 3> serverContactNames { { {
    { ServerContact::Unknown, "unknown" },
    { ServerContact::Accepts, "accepts" },
    { ServerContact::Unreachable, "unreachable" },
} } };

// How an attempt to open a connection ended.
enum class ConnectOutcome {
    Opened,
    Refused,
    TimedOut, // or failed for an unknown reason
};

class ServerContacts {
public:
    explicit ServerContacts(const Clock& givenClock);

    void record(const std::string& serverId, ConnectOutcome outcome);

    // What the last connection tells that was tried at `since` or later.
    ServerContact contactSince(const std::string& serverId, TimePoint since) const;

    // Whether the last connection was tried at `since` or later and refused.
    bool refusedSince(const std::string& serverId, TimePoint since) const;

    // Whether a connection to another server than this one was opened at `since` or later.
    bool otherOpenedSince(const std::string& serverId, TimePoint since) const;

    // Forgets the servers that are not in `serverIds`.
    void retain(const std::set<std::string>& serverIds);

private:
    struct LastTry {
        TimePoint at;
        ConnectOutcome outcome = ConnectOutcome::TimedOut;
    };

    const Clock& clock;
    mutable std::mutex mutex;
    std::map<std::string, LastTry> lastTries; // by server id
};

} // namespace lovagecross
