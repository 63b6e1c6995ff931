#include "lovagecross/adapters/HttpConnectionPool.h"

#include <utility>

namespace lovagecross::detail {

HttpConnectionPool::HttpConnectionPool(
    std::string address, const Clock& clock, std::size_t maxConnections, Duration connectTimeout)
    : address(std::move(address))
    , clock(clock)
    , maxConnections(maxConnections)
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
    bool reused = false;
    auto connection = this->acquire(limits.deadline, reused);
    if (!connection)
        return reply;
    for (;;) {
        reply.end = connection->exchange(call, limits, reply.response);
        if (reply.end == HttpEnd::Complete)
            reply.end = connection->readBody(reply.body, maxBodyBytes);
        // The server may have closed a reused connection just before it got the request.
        bool safeToRetry = reply.end == HttpEnd::NotSent || !changesState;
        bool connectionClosed = reply.end == HttpEnd::NotSent || reply.end == HttpEnd::ConnectionFailed;
        if (!reused || !connectionClosed || !safeToRetry || connection->responseStarted())
            break;
        connection = this->createConnection(reused);
    }
    if (reply.end == HttpEnd::DeadlinePassed || reply.end == HttpEnd::ProgressTimeout)
        this->dropIdleConnections();
    this->release(std::move(connection));
    return reply;
}

void HttpConnectionPool::dropIdleConnections()
{
    std::vector<std::unique_ptr<HttpConnection>> dropped; // destroyed after the lock is released
    std::lock_guard lock(this->mutex);
    dropped.swap(this->idle);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire(TimePoint deadline, bool& reused)
{
    std::unique_lock lock(this->mutex);
    Duration wait = deadline - this->clock.now();
    if (!this->connectionReleased.wait_for(lock, wait, [this] { return this->inUse < this->maxConnections; }))
        return nullptr;
    ++this->inUse;
    while (!this->idle.empty()) {
        auto connection = std::move(this->idle.back());
        this->idle.pop_back();
        reused = true;
        if (connection->isReusable())
            return connection;
    }
    return this->createConnection(reused);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::createConnection(bool& reused) const
{
    reused = false;
    return std::make_unique<HttpConnection>(this->address, this->clock);
}

void HttpConnectionPool::release(std::unique_ptr<HttpConnection> connection)
{
    std::lock_guard lock(this->mutex);
    --this->inUse;
    if (connection->isReusable())
        this->idle.push_back(std::move(connection));
    this->connectionReleased.notify_one();
}

} // namespace lovagecross::detail
