#include "lovagecross/gateway/Directory.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagecross {

namespace {

// Hashes whether the server is cold rather than `coldFor`, which decreases with every heartbeat.
std::uint64_t digestOf(const ServerEntry& entry, std::uint64_t seed)
{
    std::string text = entry.id + '|' + entry.service + '|' + entry.address + '|' + entry.dataCentre + '|'
        + std::to_string(entry.slots) + '|' + std::string(serverStateNames.name(entry.state)) + '|'
        + entry.softwareVersion + '|' + std::to_string(entry.startedUnixMillis)
        + (entry.coldFor > Duration(0) ? "|cold" : "|warm") + (entry.lapsesAt ? "|lapsed" : "");
    return stableHash(text, seed);
}

} // namespace

const std::vector<ServerEntry>& DirectoryView::serversOf(std::string_view service) const
{
    static const std::vector<ServerEntry> none;
    auto found = this->servers.find(service);
    return found == this->servers.end() ? none : found->second;
}

Directory::Directory(const Clock& clock)
    : clock(clock)
    , current(std::make_shared<DirectoryView>())
{
}

std::shared_ptr<const DirectoryView> Directory::view() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

bool Directory::applyConfiguration(GatewayConfiguration next)
{
    std::unique_lock lock(this->mutex);
    if (this->configuration && next.version <= this->configuration->version)
        return false;
    auto stored = std::make_shared<const GatewayConfiguration>(std::move(next));
    // The table refers to the routes of this configuration and keeps it alive.
    this->routes = std::shared_ptr<const RouteTable>(
        new RouteTable(stored->routes), [stored](const RouteTable* table) { delete table; });
    this->configuration = std::move(stored);
    this->publish(lock);
    return true;
}

void Directory::confirmConfiguration(std::uint64_t version, Duration age)
{
    std::lock_guard lock(this->mutex);
    if (version >= (this->configuration ? this->configuration->version : 0))
        this->advance(this->configurationReadAt, age);
}

void Directory::replaceServers(std::vector<ServerEntry> list, std::uint64_t newRevision, Duration age)
{
    std::unique_lock lock(this->mutex);
    TimePoint now = this->clock.now();
    if (!this->acceptRevision(newRevision))
        return;
    this->registryReached(now, age);
    std::set<std::string> listed;
    for (ServerEntry& entry : list) {
        listed.insert(entry.id);
        this->lapsed.erase(entry.id);
        this->servers[entry.id] = std::move(entry);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : this->servers) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        this->removeServer(id, now);
    this->publish(lock);
}

void Directory::changeServers(const std::vector<ServerChange>& changes, std::uint64_t newRevision, Duration age)
{
    std::unique_lock lock(this->mutex);
    TimePoint now = this->clock.now();
    if (!this->acceptRevision(newRevision))
        return;
    this->registryReached(now, age);
    for (const ServerChange& change : changes) {
        if (change.entry) {
            this->lapsed.erase(change.id);
            this->servers[change.id] = *change.entry;
        } else if (this->servers.count(change.id) > 0) {
            this->removeServer(change.id, now);
        }
    }
    if (!changes.empty())
        this->publish(lock);
}

void Directory::replaceServersFromPeer(std::vector<ServerEntry> list, std::uint64_t newRevision, Duration age)
{
    std::unique_lock lock(this->mutex);
    if (!this->acceptRevision(newRevision))
        return;
    bool knewNothing = !this->hasRegistryData;
    this->peerReachedRegistry(age);
    std::map<std::string, ServerEntry> next;
    std::map<std::string, TimePoint> nextLapsed;
    for (ServerEntry& entry : list) {
        bool mayReturn
            = knewNothing || (this->clock.now() < this->deferRemovalsUntil && this->servers.count(entry.id) > 0);
        if (entry.lapsesAt && !mayReturn)
            continue;
        if (entry.lapsesAt)
            nextLapsed.emplace(entry.id, *entry.lapsesAt);
        next[entry.id] = std::move(entry);
    }
    this->servers = std::move(next);
    this->lapsed = std::move(nextLapsed);
    this->publish(lock);
}

void Directory::confirmServersFromPeer(std::uint64_t newRevision, Duration age)
{
    std::lock_guard lock(this->mutex);
    if (this->acceptRevision(newRevision))
        this->peerReachedRegistry(age);
}

// If this node has heard nothing of the registry for long, servers that the peer's list marks as lapsed may return.
void Directory::peerReachedRegistry(Duration age)
{
    bool outage = this->hasRegistryData && this->registryReadAt.age(this->clock) > outageAfter;
    this->hasRegistryData = true;
    this->advance(this->registryReadAt, age);
    if (this->registryReadAt.age(this->clock) > outageAfter)
        return;
    this->registryOutage = false;
    if (outage)
        this->deferRemovalsUntil = this->clock.now() + lapsedGracePeriod;
}

void Directory::registryUnreachable()
{
    std::lock_guard lock(this->mutex);
    if (this->hasRegistryData && this->registryReadAt.age(this->clock) > outageAfter)
        this->registryOutage = true;
}

bool Directory::serverLeaves(const ServerKey& server)
{
    std::unique_lock lock(this->mutex);
    if (this->leaving.size() >= maxLeavingServers || !this->leaving.emplace(server, this->clock.now()).second)
        return false;
    if (this->isListed(server))
        this->publish(lock);
    return true;
}

bool Directory::isListed(const ServerKey& server) const
{
    auto found = this->servers.find(server.id);
    return found != this->servers.end() && found->second.startedUnixMillis == server.startedUnixMillis;
}

void Directory::removeLapsedServers()
{
    std::unique_lock lock(this->mutex);
    TimePoint now = this->clock.now();
    for (auto& [server, listedAt] : this->leaving) {
        if (this->isListed(server))
            listedAt = now;
    }
    std::erase_if(this->leaving, [now](const auto& entry) { return now - entry.second > leavingRetention; });
    bool changed = false;
    for (auto it = this->lapsed.begin(); it != this->lapsed.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        this->servers.erase(it->first);
        it = this->lapsed.erase(it);
        changed = true;
    }
    if (changed)
        this->publish(lock);
}

Duration Directory::registryAge() const
{
    std::lock_guard lock(this->mutex);
    return this->registryReadAt.age(this->clock);
}

Duration Directory::configurationAge() const
{
    std::lock_guard lock(this->mutex);
    return this->configurationReadAt.age(this->clock);
}

Duration Directory::age() const
{
    return std::max(this->registryAge(), this->configurationAge());
}

// A report that is older than what this node has read itself tells nothing new.
void Directory::advance(ObservationTime& readAt, Duration age)
{
    if (age < readAt.age(this->clock))
        readAt = ObservationTime::now(this->clock).earlierBy(age);
}

void Directory::onChange(std::function<void(const DirectoryView&)> newListener)
{
    std::lock_guard lock(this->mutex);
    this->listener = std::move(newListener);
}

void Directory::registryReached(TimePoint now, Duration age)
{
    if (this->registryOutage && this->hasRegistryData)
        this->deferRemovalsUntil = now + lapsedGracePeriod;
    this->registryOutage = false;
    this->hasRegistryData = true;
    this->advance(this->registryReadAt, age);
}

bool Directory::acceptRevision(std::uint64_t newRevision)
{
    if (newRevision < this->revision)
        return false;
    this->revision = newRevision;
    return true;
}

void Directory::removeServer(const std::string& id, TimePoint now)
{
    // A draining server gets no grace period: it is not expected to register again.
    bool wasReady = this->servers.at(id).state == ServerState::Ready;
    if (wasReady && now < this->deferRemovalsUntil) {
        this->lapsed.emplace(id, this->deferRemovalsUntil);
        return;
    }
    this->lapsed.erase(id);
    this->servers.erase(id);
}

void Directory::publish(std::unique_lock<std::mutex>& lock)
{
    auto view = std::make_shared<DirectoryView>();
    view->configuration = this->configuration;
    view->routes = this->routes;
    view->registryRevision = this->revision;
    view->registryKnown = this->hasRegistryData;
    for (const auto& [id, entry] : this->servers) {
        std::vector<ServerEntry>& list = view->servers[entry.service];
        list.push_back(entry);
        if (this->leaving.count(keyOf(entry)) > 0)
            list.back().state = ServerState::Draining;
        auto lapses = this->lapsed.find(id);
        list.back().lapsesAt = lapses == this->lapsed.end() ? std::nullopt : std::optional<TimePoint>(lapses->second);
        view->serversDigest = digestOf(list.back(), view->serversDigest);
    }
    this->current = view;
    auto notify = this->listener;
    lock.unlock();
    if (notify)
        notify(*view);
}

} // namespace lovagecross
