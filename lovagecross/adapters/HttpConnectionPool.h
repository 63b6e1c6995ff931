#pragma once

// Connections to one HTTP server, bounded in number. Internal to the adapters.
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

    // Without a whole answer: whether a byte of the call was sent, so that it may have taken effect.
    bool mayHaveRun() const { return this->end != HttpEnd::NotSent; }
};

class HttpConnectionPool {
public:
    HttpConnectionPool(std::string address, const Clock& clock, std::size_t limit, Duration connectTimeout);

    // Performs one call. A call that changes nothing is sent once more on a new connection when a kept one turns out
    // to be closed; any other call only if no byte of it was sent.
    HttpReply perform(const HttpCall& call, bool changesState, std::size_t maxBodyBytes, Duration timeout);

private:
    // nullptr when all are in use until the deadline.
    std::unique_ptr<HttpConnection> acquire(TimePoint deadline, bool& kept);
    std::unique_ptr<HttpConnection> fresh(bool& kept) const;
    void release(std::unique_ptr<HttpConnection> connection);

    const std::string address;
    const Clock& clock;
    const std::size_t limit;
    const Duration connectTimeout;
    std::mutex mutex;
    std::condition_variable freed;
    std::size_t inUse = 0;
    std::vector<std::unique_ptr<HttpConnection>> idle;
};

} // namespace lovagecross::detail
