#include "lovagecross/sharing/DirectoryFollower.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/config/Address.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxPublishersPerStep = 3;
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(100);
constexpr std::int64_t maxMessageMillis = 24 * 3600 * 1000; // of a time in a message, so that none overflows

Duration durationOf(std::int64_t millis)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(millis, 0, maxMessageMillis));
}

ServerEntry fromMessage(const DirectoryServer& message)
{
    ServerEntry entry;
    entry.id = message.id;
    entry.service = message.service;
    entry.address = message.address;
    entry.dataCentre = message.dataCentre;
    entry.slots = message.slots;
    entry.state = message.draining ? ServerState::Draining : ServerState::Ready;
    entry.coldFor = durationOf(message.coldMillis);
    entry.startedUnixMillis = message.startedUnixMillis;
    entry.softwareVersion = message.softwareVersion;
    return entry;
}

} // namespace

DirectoryFollower::DirectoryFollower(DirectoryFollowerSettings followerSettings, PeerClient& peerClient,
    Directory& target, ConfigurationDecoder configurationDecoder, const Clock& givenClock, RateLimitSink rateLimitSink)
    : settings(followerSettings)
    , peers(peerClient)
    , directory(target)
    , decode(std::move(configurationDecoder))
    , clock(givenClock)
    , learnLimits(std::move(rateLimitSink))
{
}

Duration DirectoryFollower::step(const std::vector<std::string>& publishers)
{
    TimePoint start = this->clock.now();
    bool found = false;
    for (std::size_t i = 0; i < std::min(publishers.size(), maxPublishersPerStep) && !found; ++i)
        found = this->fetchFrom(publishers[i]);
    if (found != this->lastStepSucceeded.exchange(found))
        LogLine(LogLevel::Info, found ? "dependency_regained" : "dependency_lost")
            .field("dependency", "directory_publishers")
            .field("publishers", publishers.size())
            .write();
    if (!found)
        return pauseAfterFailure;
    return std::max<Duration>(this->settings.interval - (this->clock.now() - start), std::chrono::milliseconds(1));
}

bool DirectoryFollower::fetchFrom(const std::string& publisher)
{
    auto view = this->directory.view();
    DirectoryFetch fetch;
    fetch.configurationVersion = view->configuration ? view->configuration->version : 0;
    fetch.serversDigest = view->serversDigest;
    PeerResult result = this->peers.request(publisher, fetch, this->settings.timeout, {});
    const auto* update = std::get_if<DirectoryUpdate>(&result.answer);
    if (result.status != PeerStatus::Ok || update == nullptr)
        return false;
    this->apply(*update);
    return update->registryKnown && update->registryAgeMillis <= toMillis(this->settings.maxRegistryAge);
}

void DirectoryFollower::apply(const DirectoryUpdate& update)
{
    Duration age = durationOf(update.registryAgeMillis);
    this->learnLimits(update.limits); // before the servers: a new server's limit is known when it gets its first call
    if (update.registryKnown && update.hasServers) {
        std::vector<ServerEntry> servers;
        for (const DirectoryServer& server : update.servers) {
            if (isAddress(server.address) && !server.service.empty())
                servers.push_back(fromMessage(server));
            else
                LogLine(LogLevel::Warning, "server_entry_unusable")
                    .field("server", server.id)
                    .field("from", "publisher")
                    .write();
        }
        this->directory.replaceServersFromPeer(std::move(servers), update.registryRevision, age);
    } else if (update.registryKnown) {
        this->directory.confirmServersFromPeer(update.registryRevision, age);
    }
    if (update.configurationDocument.empty())
        return;
    auto configuration = this->decode(update.configurationDocument);
    if (!configuration)
        return;
    std::uint64_t version = configuration->version;
    std::size_t routes = configuration->routes.size();
    if (this->directory.applyConfiguration(std::move(*configuration)))
        LogLine(LogLevel::Info, "configuration")
            .field("version", version)
            .field("routes", routes)
            .field("from", "publisher")
            .field("inForce", true)
            .write();
}

} // namespace lovagecross
