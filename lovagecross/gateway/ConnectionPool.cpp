#include "lovagecross/gateway/ConnectionPool.h"

#include "lovagecross/adapters/Log.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxIdlePerServer = 16;
constexpr Duration maxFreshIdleTime = milliseconds(700); // shorter than the servers' idle timeouts

} // namespace

ConnectionPool::ConnectionPool(const Clock& clock, Duration connectionTimeout)
    : clock(clock)
    , connectTimeout(connectionTimeout)
{
}

PooledConnection ConnectionPool::open(const ServerEntry& server, Reuse reuse, TimePoint deadline)
{
    PooledConnection connection;
    connection.stream = this->takeIdle(server.id, reuse);
    connection.reused = connection.stream != nullptr;
    if (connection.stream)
        return connection;
    try {
        Poco::Net::SocketAddress address(server.address);
        ConnectResult result
            = connectTo(address, std::min(deadline, this->clock.now() + this->connectTimeout), this->clock);
        if (result.status == IoStatus::Ok)
            connection.stream = std::make_unique<ByteStream>(result.socket);
    } catch (const Poco::Exception& error) { // malformed address, or out of file descriptors
        LogLine(LogLevel::Warning, "connect_failed")
            .field("server", server.id)
            .field("address", server.address)
            .field("why", error.displayText())
            .write();
    }
    return connection;
}

void ConnectionPool::keep(const ServerEntry& server, std::unique_ptr<ByteStream> stream, Duration keepFor)
{
    TimePoint now = this->clock.now();
    std::unique_ptr<ByteStream> dropped; // destroyed after the lock is released
    std::lock_guard lock(this->mutex);
    std::vector<IdleConnection>& list = this->idle[server.id];
    if (list.size() >= maxIdlePerServer) {
        dropped = std::move(list.front().stream);
        list.erase(list.begin());
    }
    list.push_back({ std::move(stream), now, now + keepFor });
}

void ConnectionPool::prune(const std::vector<std::string>& serverIds)
{
    std::vector<IdleConnection> dropped;
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (auto it = this->idle.begin(); it != this->idle.end();) {
        bool listed = std::find(serverIds.begin(), serverIds.end(), it->first) != serverIds.end();
        std::vector<IdleConnection> kept;
        for (IdleConnection& entry : it->second)
            (listed && now < entry.expiresAt ? kept : dropped).push_back(std::move(entry));
        it->second = std::move(kept);
        it = it->second.empty() ? this->idle.erase(it) : std::next(it);
    }
}

std::unique_ptr<ByteStream> ConnectionPool::takeIdle(const std::string& serverId, Reuse reuse)
{
    if (reuse == Reuse::No)
        return nullptr;
    std::vector<IdleConnection> dropped;
    std::lock_guard lock(this->mutex);
    auto found = this->idle.find(serverId);
    if (found == this->idle.end())
        return nullptr;
    TimePoint now = this->clock.now();
    std::vector<IdleConnection>& list = found->second;
    while (!list.empty()) {
        IdleConnection entry = std::move(list.back());
        list.pop_back();
        bool fresh = reuse == Reuse::Any || now - entry.idleSince < maxFreshIdleTime;
        if (fresh && now < entry.expiresAt && entry.stream->isReusable())
            return std::move(entry.stream);
        dropped.push_back(std::move(entry));
    }
    return nullptr;
}

} // namespace lovagecross
