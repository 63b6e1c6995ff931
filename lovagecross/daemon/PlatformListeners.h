#pragma once

// The listeners of a node on a platform with a registry that are neither for calls nor for other nodes: one for the
// load balancer's readiness checks, and one for metrics and operators.
//
// Thread safety: `stop` once each.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/daemon/HttpServer.h"
#include "lovagecross/daemon/QuarantineApi.h"

#include <functional>
#include <string>

namespace lovagecross {

// Answers checks at `readyPath`: 200, or 503 with the reason. Serves the counters at /metrics too.
class ReadyListener {
public:
    // `notReadyReason` returns an empty string while the node takes calls. Throws Poco::Exception if the address can't
    // be bound.
    ReadyListener(const std::string& address, const Counters& counters, std::string readyPath,
        std::function<std::string()> notReadyReason);

    void stop();

private:
    HttpListener listener;
};

// Serves the counters at /metrics, and operators' requests about quarantined calls.
class MetricsListener {
public:
    // Throws Poco::Exception if the address can't be bound.
    MetricsListener(const std::string& address, const Counters& counters, const QuarantineApi& quarantine);

    void stop();

private:
    HttpListener listener;
};

} // namespace lovagecross
