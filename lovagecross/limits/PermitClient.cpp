#include "lovagecross/limits/PermitClient.h"

#include "lovagecross/adapters/Log.h"

namespace lovagecross {

void PermitClient::observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    if (!this->limits.observe({ server.id, server.startedUnixMillis }, requestsPerSecond, sentAt, now))
        return;
    LogLine(LogLevel::Info, "server_limit")
        .field("server", server.id)
        .field("perSecond", requestsPerSecond ? *requestsPerSecond : -1.0)
        .field("from", "answer")
        .write();
}

} // namespace lovagecross
