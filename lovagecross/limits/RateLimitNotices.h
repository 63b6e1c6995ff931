#pragma once

// Converts between rate limits as a node stores them and as nodes tell each other.
//
// Times of different nodes can't be compared, so a message carries the age of the observation. The time that a message
// is on its way makes an observation look that much newer.
//
// Thread safety: free functions.

#include "lovagecross/limits/RateLimitTable.h"
#include "lovagecross/ports/Peer.h"

#include <algorithm>

namespace lovagecross {

inline RateLimitNotice toNotice(const ServerRateLimit& known, TimePoint now)
{
    Duration age = std::max(now - known.limit.observedAt, Duration(0));
    return { known.server.id, known.server.startedUnixMillis, known.limit.perSecond, age };
}

inline ServerRateLimit fromNotice(const RateLimitNotice& notice, TimePoint now)
{
    return { { notice.server, notice.startedUnixMillis }, { notice.perSecond, now - notice.age } };
}

} // namespace lovagecross
