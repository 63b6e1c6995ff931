#pragma once

// A bounded pool of connections to one HTTP server. Only for the HTTP adapters here and in platform/.
//
//     HttpReply reply = pool.perform(call, false, maxBodyBytes, timeout);
//     if (reply.end == HttpEnd::Complete && reply.status() == 200) ...
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/HttpConnection.h"
#include "lovagecross/base/Clock.h"

#include <Poco/Net/HTTPResponse.h>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross::detail {

struct HttpReply {
    HttpEnd end = HttpEnd::NotSent;
    Poco::Net::HTTPResponse response;
    std::string body;

    int status() const { return this->response.getStatus(); }

    // Whether the request may have taken effect, because some bytes of it were sent. Only meaningful if no complete
    // response was received.
    bool mayHaveRun() const { return this->end != HttpEnd::NotSent; }
};

class HttpConnectionPool {
public:
    HttpConnectionPool(std::string address, const Clock& clock, std::size_t maxConnections, Duration connectTimeout);

    // Sends the request and reads the response. If a reused connection turns out to be closed, the request is retried
    // once on a new connection, provided that it doesn't change state or that no byte of it was sent. After a request
    // without an answer in time, all idle connections are closed: the path they share may have gone silent for them
    // too.
    HttpReply perform(const HttpCall& call, bool changesState, std::size_t maxBodyBytes, Duration timeout);

private:
    // Returns nullptr if all connections stay in use until the deadline. Sets `reused` to whether the connection has
    // carried a request before.
    std::unique_ptr<HttpConnection> acquire(TimePoint deadline, bool& reused);
    std::unique_ptr<HttpConnection> createConnection(bool& reused) const;
    void release(std::unique_ptr<HttpConnection> connection);
    void dropIdleConnections();

    const std::string address;
    const Clock& clock;
    const std::size_t maxConnections;
    const Duration connectTimeout;
    std::mutex mutex;
    std::condition_variable connectionReleased;
    std::size_t inUse = 0;
    std::vector<std::unique_ptr<HttpConnection>> idle;
};

} // namespace lovagecross::detail
