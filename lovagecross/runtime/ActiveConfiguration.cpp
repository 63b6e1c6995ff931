#include "lovagecross/runtime/ActiveConfiguration.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr const char* configKey = "config/current";
constexpr Duration watchTimeout = std::chrono::seconds(3);
constexpr Duration checkInterval = std::chrono::milliseconds(250);
constexpr Duration fetchTimeout = std::chrono::seconds(1);

} // namespace

ActiveConfiguration::ActiveConfiguration(Clock& clock, ObjectStore& store, PeerClient& peers, Membership& membership,
    Counters& counters, Duration pollInterval)
    : clock(clock)
    , store(store)
    , peers(peers)
    , membership(membership)
    , counters(counters)
    , pollInterval(pollInterval)
    , snapshot(std::make_shared<const ConfigSnapshot>())
{
}

ActiveConfiguration::~ActiveConfiguration()
{
    this->stop();
}

void ActiveConfiguration::start(std::function<bool()> watcher, std::function<void(const ConfigSnapshot&)> changed)
{
    this->isWatcher = std::move(watcher);
    this->onChange = std::move(changed);
    this->thread = std::thread([this] { this->loop(); });
}

void ActiveConfiguration::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    if (this->thread.joinable())
        this->thread.join();
}

std::shared_ptr<const ConfigSnapshot> ActiveConfiguration::current() const
{
    std::lock_guard lock(this->mutex);
    return this->snapshot;
}

void ActiveConfiguration::notifyNewerVersion()
{
    std::lock_guard lock(this->mutex);
    this->newerVersionAnnounced = true;
    this->wake.notify_all();
}

void ActiveConfiguration::adopt(std::uint64_t version, const std::string& json, const std::string& source)
{
    std::lock_guard adopting(this->adoptMutex);
    if (version <= this->current()->version)
        return;
    auto next = std::make_shared<ConfigSnapshot>();
    next->version = version;
    next->json = json;
    bool valid = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(next->configuration, parseConfiguration(json));
            return true;
        },
        [&](const Error& error) {
            LogLine(LogLevel::Error, "config_refused")
                .field("version", version)
                .field("field", error.field)
                .field("message", error.message)
                .write();
            this->counters.counter("config.refused").add();
            return false;
        });
    if (!valid)
        return;
    {
        std::lock_guard lock(this->mutex);
        this->snapshot = next;
    }
    LogLine(LogLevel::Info, "config_in_force").field("version", version).field("source", source).write();
    this->onChange(*next);
}

void ActiveConfiguration::readPlatform(bool watch)
{
    StoreResult result
        = watch ? this->store.watch(configKey, this->current()->version, watchTimeout) : this->store.get(configKey);
    if (result.ok())
        this->adopt(result.object.version, result.object.value, watch ? "watch" : "poll");
}

void ActiveConfiguration::readPeer()
{
    std::uint64_t known = this->current()->version;
    std::string address;
    for (const MemberView& member : this->membership.members()) {
        if (member.state != MemberState::Dead && member.entry.configVersion > known) {
            known = member.entry.configVersion;
            address = member.entry.peerAddress;
        }
    }
    if (address.empty())
        return;
    PeerResult result = this->peers.request(address, ConfigFetch {}, fetchTimeout, {});
    if (const auto* document = std::get_if<ConfigDocument>(&result.answer); result.status == PeerStatus::Ok && document)
        this->adopt(document->version, document->json, "peer");
}

void ActiveConfiguration::loop()
{
    std::optional<TimePoint> polledAt;
    // Adds up to 24% to the poll interval, so that nodes don't poll the platform all at once.
    std::size_t spread = std::hash<std::string>()(std::to_string(reinterpret_cast<std::uintptr_t>(this))) % 25;
    Duration interval = this->pollInterval + this->pollInterval * static_cast<int>(spread) / 100;
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait_for(lock, checkInterval, [&] { return this->stopping || this->newerVersionAnnounced; });
            this->newerVersionAnnounced = false;
            if (this->stopping)
                return;
        }
        this->readPeer();
        TimePoint now = this->clock.now();
        bool watcher = this->isWatcher();
        if (watcher && polledAt) {
            // A watch that the platform rejects at once is repeated after checkInterval, not in a busy loop.
            this->readPlatform(true);
            polledAt = now;
        } else if (!polledAt || now - *polledAt >= interval) {
            this->readPlatform(false);
            polledAt = now;
        }
    }
}

ConfigChange ActiveConfiguration::apply(std::uint64_t baseVersion, const std::string& json)
{
    ConfigChange change;
    std::string canonical;
    handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(json));
            canonical = printConfiguration(configuration);
            return true;
        },
        [&](const Error& error) {
            change.error = error;
            return false;
        });
    if (change.error)
        return change;
    StoreResult result = baseVersion == 0 ? this->store.create(configKey, canonical)
                                          : this->store.update(configKey, canonical, baseVersion);
    if (result.status == StoreStatus::Unknown || result.status == StoreStatus::Conflict) {
        StoreResult current = this->store.get(configKey);
        if (current.ok() && current.object.version == baseVersion + 1 && current.object.value == canonical) {
            result = current; // the write succeeded although its answer was lost
        } else if (current.ok() && current.object.version != baseVersion) {
            change.error = Error { ErrorCode::VersionConflict,
                "the configuration is at version " + std::to_string(current.object.version) + ", not "
                    + std::to_string(baseVersion),
                "baseVersion", RunState::NotRun, Duration(0) };
            change.version = current.object.version;
            change.currentJson = current.object.value;
            return change;
        }
    }
    if (!result.ok()) {
        RunState run = result.status == StoreStatus::Unknown ? RunState::Unknown : RunState::NotRun;
        change.error = Error { ErrorCode::Unavailable,
            "the platform answered " + std::string(storeStatusNames.name(result.status)), {}, run,
            std::chrono::seconds(2) };
        return change;
    }
    change.version = result.object.version;
    this->adopt(change.version, canonical, "operator");
    return change;
}

} // namespace lovagecross
