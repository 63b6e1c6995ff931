#pragma once

// Interface of the gateway to the rate limits that backend servers name for all nodes together. Implemented by
// `limits/PermitClient`; tests use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/ServerEntry.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

struct Permit {
    bool granted = true; // always, if the server has no limit
    Duration retryAfter { 0 }; // if not granted: when a permit may be had
};

// The servers of a service to which nothing can be sent now.
struct PermitOutlook {
    std::set<std::string> exhausted; // ids of the servers whose permits are used up
    std::set<std::string> limited; // ids of all servers that name a limit
    Duration retryAfter { 0 }; // when a permit of one of the exhausted servers may be had
};

class ServerPermits {
public:
    virtual ~ServerPermits() = default;

    // Records that an answer of the server, to a request sent at `sentAt`, named a limit, or named none.
    virtual void observe(const ServerEntry& server, std::optional<double> requestsPerSecond, TimePoint sentAt) = 0;

    // What this node knows already, without asking other nodes.
    virtual PermitOutlook outlook(const std::vector<ServerEntry>& servers) = 0;

    // Obtains the permission to send one request to the server. Every send needs one: also a retry, and the
    // continuation of a stream.
    virtual Permit acquire(const ServerEntry& server, TimePoint deadline) = 0;
};

} // namespace lovagecross
