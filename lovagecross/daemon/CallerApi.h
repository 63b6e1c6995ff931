#pragma once

// HTTP API for callers: creates and ends programs, runs their calls and reads their state. docs/http-api.md lists the
// requests.
//
// Thread safety: `handle` may be called from several threads at once.

#include "lovagecross/gateway/MemoryAccount.h"
#include "lovagecross/runtime/Node.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <string>

namespace lovagecross {

class CallerApi {
public:
    CallerApi(Node& node, Counters& counters);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    Result<std::string> tenantOf(const Poco::Net::HTTPServerRequest& request) const;
    Result<ForwardRequest> parse(Poco::Net::HTTPServerRequest& request, BufferReservation& reservation) const;
    void stream(const ForwardRequest& request, Poco::Net::HTTPServerResponse& response);

    Node& node;
    Counters& counters;
    const SystemClock clock;
    MemoryAccount memory; // of request bodies
};

} // namespace lovagecross
