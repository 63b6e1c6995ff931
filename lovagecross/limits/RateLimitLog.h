#pragma once

// The log line for a change of what a node believes about a server's rate limit.
//
// Thread safety: a free function.

#include "lovagecross/base/NameTable.h"
#include "lovagecross/limits/RateLimitTable.h"

namespace lovagecross {

// From whom a node has an observation.
enum class LimitSource {
    Answer, // the server itself
    EntryNode,
    RecordNode,
};

inline constexpr NameTable<LimitSource, 3> limitSourceNames { { {
    { LimitSource::Answer, "answer" },
    { LimitSource::EntryNode, "entry" },
    { LimitSource::RecordNode, "record" },
} } };

void logRateLimit(const ServerKey& server, const RateLimit& limit, LimitSource source, TimePoint now);

} // namespace lovagecross
