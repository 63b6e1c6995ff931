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
constexpr std::size_t maxCursors = 256; // of publishers; without its cursor, one sends all notices once more
constexpr Duration maxLoggedAge = std::chrono::hours(24); // stands for "never read" too

Duration durationOf(std::int64_t millis)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(millis, 0, maxMessageMillis));
}

ServerEntry fromMessage(const DirectoryServer& message, TimePoint now)
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
    if (message.lapsesInMillis)
        entry.lapsesAt = now + durationOf(*message.lapsesInMillis);
    return entry;
}

} // namespace

DirectoryFollower::DirectoryFollower(DirectoryFollowerSettings followerSettings, PeerClient& peerClient,
    Directory& target, ConfigurationDecoder configurationDecoder, const Clock& givenClock, RateLimitSink rateLimitSink)
    : settings(std::move(followerSettings))
    , peers(peerClient)
    , directory(target)
    , decode(std::move(configurationDecoder))
    , clock(givenClock)
    , learnLimits(std::move(rateLimitSink))
{
}

bool DirectoryFollower::isFirst(const std::vector<std::string>& publishers) const
{
    return !this->settings.ownAddress.empty() && !publishers.empty() && publishers.front() == this->settings.ownAddress;
}

Duration DirectoryFollower::step(std::vector<std::string> publishers)
{
    this->logAge();
    if (this->isFirst(publishers) && this->directory.age() <= this->settings.times.maxAge)
        return this->settings.times.fetchInterval;
    std::erase(publishers, this->settings.ownAddress);
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
    Duration elapsed = this->clock.now() - start;
    return std::max<Duration>(this->settings.times.fetchInterval - elapsed, std::chrono::milliseconds(1));
}

bool DirectoryFollower::fetchFrom(const std::string& publisher)
{
    auto view = this->directory.view();
    DirectoryFetch fetch;
    fetch.configurationVersion = view->configuration ? view->configuration->version : 0;
    fetch.serversDigest = view->serversDigest;
    fetch.relayAddress = this->settings.relayAddress;
    fetch.relayDataCentre = this->settings.dataCentre;
    fetch.relays = this->settings.relays();
    fetch.crashes = this->crashCursors[publisher];
    fetch.programLoad = this->settings.programLoad();
    fetch.load = this->settings.load();
    ObservationTime askedAt = ObservationTime::now(this->clock);
    PeerResult result = this->peers.request(publisher, fetch, this->settings.times.fetchTimeout, {});
    const auto* update = std::get_if<DirectoryUpdate>(&result.answer);
    if (result.status != PeerStatus::Ok || update == nullptr)
        return false;
    Duration onTheWay = askedAt.age(this->clock);
    if (fetch.programLoad)
        this->settings.learnLoad(update->fleet);
    this->applyCrashes(*update, publisher);
    this->settings.learnLoads(*update, onTheWay);
    this->apply(*update, onTheWay);
    if (!update->registryKnown || !update->configurationAgeMillis)
        return false;
    Duration age = durationOf(std::max(update->registryAgeMillis, *update->configurationAgeMillis)) + onTheWay;
    return age <= this->settings.times.maxAge;
}

void DirectoryFollower::apply(const DirectoryUpdate& update, Duration onTheWay)
{
    Duration age = durationOf(update.registryAgeMillis) + onTheWay;
    this->learnLimits(update.limits); // before the servers: a new server's limit is known when it gets its first call
    if (update.registryKnown && update.hasServers) {
        std::vector<ServerEntry> servers;
        for (const DirectoryServer& server : update.servers) {
            if (isAddress(server.address) && !server.service.empty())
                servers.push_back(fromMessage(server, this->clock.now()));
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
    this->applyConfiguration(update, onTheWay);
}

void DirectoryFollower::applyCrashes(const DirectoryUpdate& update, const std::string& publisher)
{
    if (this->settings.crashes == nullptr || update.crashesUpTo.log == 0)
        return;
    this->settings.crashes->learn(update.crashes, CrashSource::RecordNode);
    if (this->crashCursors.size() > maxCursors)
        this->crashCursors.clear();
    this->crashCursors[publisher] = update.crashesUpTo;
}

// Confirms nothing if the publisher doesn't know the age of its configuration, or is of a build that doesn't send it.
void DirectoryFollower::applyConfiguration(const DirectoryUpdate& update, Duration onTheWay)
{
    std::optional<Duration> age;
    if (update.configurationAgeMillis)
        age = durationOf(*update.configurationAgeMillis) + onTheWay;
    if (!update.configurationDocument.empty()) {
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
                .field("ageMs", toMillis(age.value_or(maxLoggedAge)))
                .field("inForce", true)
                .write();
    }
    if (age)
        this->directory.confirmConfiguration(update.configurationVersion, *age);
}

// Logs when what this node knows becomes older than it would accept from a publisher, and when it no longer is.
void DirectoryFollower::logAge()
{
    Duration registryAge = this->directory.registryAge();
    Duration configurationAge = this->directory.configurationAge();
    bool nowOutdated = std::max(registryAge, configurationAge) > this->settings.times.maxAge;
    if (nowOutdated == this->outdated)
        return;
    this->outdated = nowOutdated;
    LogLine(LogLevel::Info, nowOutdated ? "directory_outdated" : "directory_recent")
        .field("registryAgeMs", toMillis(std::min<Duration>(registryAge, maxLoggedAge)))
        .field("configurationAgeMs", toMillis(std::min<Duration>(configurationAge, maxLoggedAge)))
        .write();
}

} // namespace lovagecross
