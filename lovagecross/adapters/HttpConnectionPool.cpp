#include "lovagecross/adapters/HttpConnectionPool.h"

#include <utility>

namespace lovagecross::detail {

HttpConnectionPool::HttpConnectionPool(
    std::string address, const Clock& clock, std::size_t limit, Duration connectTimeout)
    : address(std::move(address))
    , clock(clock)
    , limit(limit)
    , connectTimeout(connectTimeout)
{
}

HttpReply HttpConnectionPool::perform(
    const HttpCall& call, bool changesState, std::size_t maxBodyBytes, Duration timeout)
{
    HttpReply reply;
    HttpLimits limits;
    limits.deadline = this->clock.now() + timeout;
    limits.connectTimeout = this->connectTimeout;
    bool kept = false;
    auto connection = this->acquire(limits.deadline, kept);
    if (!connection)
        return reply;
    for (;;) {
        reply.end = connection->exchange(call, limits, reply.response);
        if (reply.end == HttpEnd::Complete)
            reply.end = connection->readBody(reply.body, maxBodyBytes);
        // The server may have closed a kept connection just before the request.
        bool nothingRun = reply.end == HttpEnd::NotSent || !changesState;
        bool closedBefore = reply.end == HttpEnd::NotSent || reply.end == HttpEnd::Lost;
        if (!kept || !closedBefore || !nothingRun || connection->answerStarted())
            break;
        connection = this->fresh(kept);
    }
    this->release(std::move(connection));
    return reply;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire(TimePoint deadline, bool& kept)
{
    std::unique_lock lock(this->mutex);
    Duration wait = deadline - this->clock.now();
    if (!this->freed.wait_for(lock, wait, [this] { return this->inUse < this->limit; }))
        return nullptr;
    ++this->inUse;
    while (!this->idle.empty()) {
        auto connection = std::move(this->idle.back());
        this->idle.pop_back();
        kept = true;
        if (connection->reusable())
            return connection;
    }
    return this->fresh(kept);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::fresh(bool& kept) const
{
    kept = false;
    return std::make_unique<HttpConnection>(this->address, this->clock);
}

void HttpConnectionPool::release(std::unique_ptr<HttpConnection> connection)
{
    std::lock_guard lock(this->mutex);
    --this->inUse;
    if (connection->reusable())
        this->idle.push_back(std::move(connection));
    this->freed.notify_one();
}

} // namespace lovagecross::detail
