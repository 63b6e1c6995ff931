#pragma once

// Interface of the gateway to the rate limits that backend servers name for all nodes together. Implemented by
// `limits/PermitClient`; tests use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <optional>

namespace lovagecross {

class ServerPermits {
public:
    virtual ~ServerPermits() = default;

    // Records that an answer of the server, to a request sent at `sentAt`, named a limit, or named none.
    virtual void observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt) = 0;
};

} // namespace lovagecross
