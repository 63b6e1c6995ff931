#pragma once

// HTTP API for operators: status, configuration, draining and shard release. docs/http-api.md lists the requests.
//
// Thread safety: `handle` may be called from several threads at once.

#include "lovagecross/runtime/Node.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <string>

namespace lovagecross {

class AdminApi {
public:
    // If `token` is empty, requests need no token. `onDrain` starts draining the node and returns without waiting for
    // it to finish.
    AdminApi(Node& node, Counters& counters, ObjectStore& store, std::string token, std::function<void()> onDrain);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    ForwardEnd dispatch(Poco::Net::HTTPServerRequest& request);
    ForwardEnd putConfig(Poco::Net::HTTPServerRequest& request);
    ForwardEnd releaseShard(Poco::Net::HTTPServerRequest& request, const std::string& index);
    std::string status() const;
    std::string config() const;
    std::string nodes() const;
    std::string backends() const;
    std::string programs() const;
    std::string leases() const;
    std::string budgets() const;
    ForwardEnd decision(const std::string& uri) const;
    std::string countersJson() const;

    Node& node;
    Counters& counters;
    ObjectStore& store;
    std::string token;
    std::function<void()> onDrain;
};

} // namespace lovagecross
