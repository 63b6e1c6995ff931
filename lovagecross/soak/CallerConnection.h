#pragma once

// A caller's connection to an entry node: for one request, or kept open for many until the node closes it.
//
// Thread safety: none; one caller uses a connection.

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <optional>
#include <string>

namespace lovagecross::soak {

// What came back for a request that was sent whole.
struct RawResponse {
    std::string bytes;
    bool complete = false; // by its framing
    std::chrono::steady_clock::time_point sent;
    std::chrono::steady_clock::time_point ended;
};

class CallerConnection {
public:
    // The node that an open connection leads to, or an empty string.
    const std::string& openTo() const { return this->address; }

    // Sees whether the node has closed the connection since the last response.
    void closeIfEnded();
    void close();

    // Sends over the open connection, or over a new one to `node`. Empty when the request could not be sent whole.
    std::optional<RawResponse> exchange(
        const std::string& node, const std::string& request, std::chrono::milliseconds timeout);

private:
    void read(RawResponse& response);

    std::string address;
    Poco::Net::StreamSocket socket;
};

} // namespace lovagecross::soak
