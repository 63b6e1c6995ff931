#include "lovagecross/gateway/ServerPaths.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

ServerPaths::ServerPaths(const Clock& givenClock)
    : clock(givenClock)
    , heardAtNanos(givenClock.now().time_since_epoch().count())
    , random(static_cast<std::uint64_t>(givenClock.now().time_since_epoch().count()))
{
}

void ServerPaths::connected(const std::string& serverId)
{
    this->heard();
    std::lock_guard lock(this->mutex);
    this->failed.clear();
    if (this->reaching)
        return;
    this->reached.insert(serverId);
    if (this->reached.size() >= this->enough(serversThatProveReturn))
        this->setReaching(true);
}

void ServerPaths::connectFailed(const std::string& serverId)
{
    std::lock_guard lock(this->mutex);
    this->reached.clear();
    this->failed.insert(serverId);
    // Of a single server it can't be told whether it or the path has failed.
    if (this->reaching && this->listed > 1 && this->failed.size() >= this->enough(failuresThatCount))
        this->setReaching(false);
}

std::vector<ServerEntry> ServerPaths::serversToProbe(const DirectoryView& view, bool callsUnderWay)
{
    std::lock_guard lock(this->mutex);
    this->listed = 0;
    for (const auto& [service, servers] : view.servers)
        this->listed += static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(),
            [](const ServerEntry& server) { return server.state == ServerState::Ready; }));
    TimePoint now = this->clock.now();
    std::size_t count = this->probesDue(callsUnderWay, now);
    if (count == 0 || this->listed == 0)
        return {};
    this->probedAt = now;
    return this->pick(view, count);
}

std::size_t ServerPaths::probesDue(bool callsUnderWay, TimePoint now) const
{
    Duration sinceProbe = now - this->probedAt;
    if (!this->reaching)
        return sinceProbe >= returnProbeInterval ? serversThatProveReturn : 0;
    Duration silence = now - TimePoint(Duration(this->heardAtNanos.load()));
    if (!this->failed.empty() && silence >= confirmInterval)
        return sinceProbe >= confirmInterval ? probesThatConfirm : 0;
    Duration tolerated = callsUnderWay ? silenceDuringCalls : silenceWhenIdle;
    return silence >= tolerated && sinceProbe >= tolerated ? 1 : 0;
}

// Returns random ready servers of all services.
std::vector<ServerEntry> ServerPaths::pick(const DirectoryView& view, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const ServerEntry*>> ranked;
    std::uint64_t seed = ++this->random;
    for (const auto& [service, servers] : view.servers) {
        for (const ServerEntry& server : servers) {
            if (server.state == ServerState::Ready)
                ranked.emplace_back(stableHash(server.id, seed), &server);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<ServerEntry> picked;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        picked.push_back(*ranked[i].second);
    return picked;
}

// `most` servers, or all if fewer are listed.
std::size_t ServerPaths::enough(std::size_t most) const
{
    return std::max<std::size_t>(1, std::min(most, this->listed));
}

void ServerPaths::setReaching(bool reaches)
{
    this->reaching = reaches;
    Duration silence = this->clock.now() - TimePoint(Duration(this->heardAtNanos.load()));
    LogLine(reaches ? LogLevel::Info : LogLevel::Warning, reaches ? "dependency_regained" : "dependency_lost")
        .field("dependency", "backend_servers")
        .field("failed", this->failed.size())
        .field("listed", this->listed)
        .field("silenceMs", toMillis(silence))
        .write();
    this->reached.clear();
    this->failed.clear();
}

} // namespace lovagecross
