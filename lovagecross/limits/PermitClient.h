#pragma once

// What an entry node knows of the rate limits that backend servers name.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/gateway/Permits.h"
#include "lovagecross/limits/RateLimitTable.h"

#include <mutex>

namespace lovagecross {

class PermitClient final : public ServerPermits {
public:
    explicit PermitClient(const Clock& givenClock)
        : clock(givenClock)
    {
    }

    void observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt) override;

private:
    const Clock& clock;
    std::mutex mutex;
    RateLimitTable limits;
};

} // namespace lovagecross
