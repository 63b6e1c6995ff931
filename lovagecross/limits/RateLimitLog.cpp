#include "lovagecross/limits/RateLimitLog.h"

#include "lovagecross/adapters/Log.h"

namespace lovagecross {

void logRateLimit(const ServerKey& server, const RateLimit& limit, LimitSource source, TimePoint now)
{
    LogLine line(LogLevel::Info, limit.perSecond ? "server_limit" : "server_limit_ended");
    line.field("server", server.id);
    if (limit.perSecond)
        line.field("perSecond", *limit.perSecond);
    line.field("from", limitSourceNames.name(source)).field("ageMs", toMillis(now - limit.observedAt)).write();
}

} // namespace lovagecross
