#pragma once

// HTTP client for the admin listener of one node. docs/http-api.md describes its API.
//
//     AdminClient client({ .node = "10.0.0.1:7401", .token = "", .timeout = std::chrono::seconds(5) });
//     BOOST_LEAF_AUTO(nodes, client.get("/admin/nodes"));
//
// Thread safety: none; each request opens its own connection.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/config/JsonNode.h"

#include <cstddef>
#include <string>

namespace lovagecross {

struct AdminTarget {
    std::string node; // IP:port
    std::string token; // empty: no Authorization header
    Duration timeout; // of each socket operation: connect, send, receive
};

struct AdminAnswer {
    int httpStatus = 0;
    JsonNode body;
};

// Enough for a node to list 63,000 programs of about 120 bytes each.
inline constexpr std::size_t maxAdminAnswerBytes = 16 * 1024 * 1024;

class AdminClient {
public:
    explicit AdminClient(AdminTarget adminTarget);

    // All three fail with CtlFailure: Unreachable if the node does not answer, Failed if the answer is not JSON. `get`
    // and `post` also turn an HTTP error status into a CtlFailure: NotFound for 404, Conflict for 409, otherwise
    // Failed. `put` returns the answer with any HTTP status.
    Result<JsonNode> get(const std::string& path);
    Result<JsonNode> post(const std::string& path, const std::string& body);
    Result<AdminAnswer> put(const std::string& path, const std::string& body);

    // A client for another node, with the same token and timeout.
    AdminClient forNode(const std::string& node) const;

    const std::string& node() const { return this->target.node; }

private:
    AdminTarget target;
};

// Turns an HTTP error answer into a CtlFailure with the code, field, message and retry time of the error body.
boost::leaf::error_id failFromAnswer(const AdminAnswer& answer);

} // namespace lovagecross
