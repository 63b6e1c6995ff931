#pragma once

// HTTP client for tool and application services (docs/backend-protocols.md).
//
// Each call opens its own connection and is sent only once: if the service closed a reused connection, the client
// couldn't tell whether the call ran. An incomplete response gives ConnectionLost.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/ports/Backend.h"

#include <cstddef>

namespace lovagecross {

struct HttpServiceClientSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    std::size_t maxBodyBytes = 1024 * 1024; // for a response; a larger one gives Failed, since the call has run
};

class HttpServiceClient final : public ServiceClient {
public:
    HttpServiceClient(HttpServiceClientSettings settings, const Clock& clock);

    ServiceAnswer call(const ServiceRequest& request) override;

private:
    HttpServiceClientSettings settings;
    const Clock& clock;
};

} // namespace lovagecross
