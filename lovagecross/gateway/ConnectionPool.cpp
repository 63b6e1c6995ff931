#include "lovagecross/gateway/ConnectionPool.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/base/Hash.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxIdlePerServer = 16;
constexpr Duration maxFreshIdleTime = milliseconds(700); // shorter than the servers' idle timeouts

} // namespace

ConnectionPool::ConnectionPool(const Clock& clock, Duration connectionTimeout, ServerPaths* serverPaths)
    : clock(clock)
    , connectTimeout(connectionTimeout)
    , paths(serverPaths)
    , contacts(clock)
{
}

PooledConnection ConnectionPool::open(
    const ServerEntry& server, const std::string& requestId, Reuse reuse, TimePoint deadline)
{
    std::uint64_t request = stableHash(requestId);
    PooledConnection connection = this->takeIdle(server.id, request, reuse);
    connection.reused = connection.stream != nullptr;
    connection.sentRequests.insert(request);
    if (!connection.stream)
        connection.stream = this->connect(server, deadline);
    return connection;
}

ServerContact ConnectionPool::findContact(const ServerEntry& server, TimePoint since, TimePoint deadline)
{
    if (ServerContact known = this->contactSince(server, since); known != ServerContact::Unknown)
        return known;
    PooledConnection connection;
    connection.stream = this->connect(server, deadline);
    if (connection.stream)
        this->keep(server, std::move(connection), maxFreshIdleTime);
    return this->contactSince(server, since);
}

ServerContact ConnectionPool::contactSince(const ServerEntry& server, TimePoint since) const
{
    return this->contacts.contactSince(server.id, since);
}

bool ConnectionPool::refusedSince(const ServerEntry& server, TimePoint since) const
{
    return this->contacts.refusedSince(server.id, since);
}

bool ConnectionPool::otherServerOpenedSince(const std::string& serverId, TimePoint since) const
{
    return this->contacts.otherOpenedSince(serverId, since);
}

bool ConnectionPool::closedAllIdle(const std::string& serverId) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->idle.find(serverId);
    return found != this->idle.end() && !found->second.empty()
        && std::all_of(found->second.begin(), found->second.end(),
            [](const IdleConnection& entry) { return entry.connection.stream->peerClosed(); });
}

void ConnectionPool::noteConnect(const std::string& serverId, ConnectOutcome outcome)
{
    this->contacts.record(serverId, outcome);
    if (this->paths == nullptr)
        return;
    if (outcome == ConnectOutcome::Opened)
        this->paths->connected(serverId);
    else
        this->paths->connectFailed(serverId);
}

// Returns nullptr if no connection could be opened.
std::unique_ptr<ByteStream> ConnectionPool::connect(const ServerEntry& server, TimePoint deadline)
{
    try {
        Poco::Net::SocketAddress address(server.address);
        TimePoint startedAt = this->clock.now();
        ConnectResult result = connectTo(address, std::min(deadline, startedAt + this->connectTimeout), this->clock);
        this->reportConnect(server, result.status, startedAt);
        if (result.status == IoStatus::Ok)
            return std::make_unique<ByteStream>(result.socket);
    } catch (const Poco::Exception& error) { // malformed address, or out of file descriptors
        LogLine(LogLevel::Warning, "connect_failed")
            .field("server", server.id)
            .field("address", server.address)
            .field("why", error.displayText())
            .write();
    }
    return nullptr;
}

// A connection that was given up early, because the call's time was over, tells nothing about the server.
void ConnectionPool::reportConnect(const ServerEntry& server, IoStatus status, TimePoint startedAt)
{
    if (status == IoStatus::Ok)
        this->noteConnect(server.id, ConnectOutcome::Opened);
    else if (status == IoStatus::Failed)
        this->noteConnect(server.id, ConnectOutcome::Refused);
    else if (this->clock.now() - startedAt >= this->connectTimeout)
        this->noteConnect(server.id, ConnectOutcome::TimedOut);
}

void ConnectionPool::keep(const ServerEntry& server, PooledConnection connection, Duration keepFor)
{
    TimePoint now = this->clock.now();
    std::unique_ptr<ByteStream> dropped; // destroyed after the lock is released
    if (connection.sentRequests.size() >= maxRequestsPerConnection)
        return;
    std::lock_guard lock(this->mutex);
    std::vector<IdleConnection>& list = this->idle[server.id];
    if (list.size() >= maxIdlePerServer) {
        dropped = std::move(list.front().connection.stream);
        list.erase(list.begin());
    }
    list.push_back({ std::move(connection), now, now + keepFor });
}

void ConnectionPool::prune(const std::vector<std::string>& serverIds)
{
    this->contacts.retain({ serverIds.begin(), serverIds.end() });
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

PooledConnection ConnectionPool::takeIdle(const std::string& serverId, std::uint64_t request, Reuse reuse)
{
    if (reuse == Reuse::No)
        return {};
    std::vector<IdleConnection> dropped;
    std::vector<IdleConnection> passedOver; // have carried the request, or are fit only for calls with Reuse::Any
    std::lock_guard lock(this->mutex);
    auto found = this->idle.find(serverId);
    if (found == this->idle.end())
        return {};
    TimePoint now = this->clock.now();
    std::vector<IdleConnection>& list = found->second;
    PooledConnection taken;
    while (!list.empty() && !taken.stream) {
        IdleConnection entry = std::move(list.back());
        list.pop_back();
        bool fresh = reuse == Reuse::Any || now - entry.idleSince < maxFreshIdleTime;
        if (now >= entry.expiresAt || !entry.connection.stream->isReusable())
            dropped.push_back(std::move(entry));
        else if (!fresh || entry.connection.sentRequests.count(request) > 0)
            passedOver.push_back(std::move(entry));
        else
            taken = std::move(entry.connection);
    }
    std::move(passedOver.rbegin(), passedOver.rend(), std::back_inserter(list));
    return taken;
}

} // namespace lovagecross
