#include "lovagecross/config/Settings.h"

#include "lovagecross/base/Ids.h"
#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/config/JsonWriter.h"
#include "lovagecross/config/TextRules.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::uint32_t maxMemoryMegabytes = 1024 * 1024;
constexpr std::size_t maxSettingsBytes = 64 * 1024;
constexpr std::size_t maxSeeds = 64;
constexpr std::int64_t maxLeaseMillis = 5000;
constexpr std::int64_t maxHorizonMillis = 24 * 60 * 60 * 1000;
constexpr std::int64_t maxBridgeBytes = 256 * 1024 * 1024;
constexpr std::int64_t tenMinutesMillis = 10 * 60 * 1000;
constexpr std::int64_t maxConfigPollMillis = 12000; // an accepted configuration must take effect within 14 s
// The request and response of a call are journaled in one batch of at most 900 KB.
constexpr std::int64_t largestBodyBytes = 768 * 1024;

// Visits the fields of Settings in file order, for both reading and writing.
template <typename Visitor, typename SettingsType> void visitSettings(Visitor& visit, SettingsType& settings)
{
    visit.text("node", settings.node, idRule, Presence::Required);
    visit.text("dataCentre", settings.dataCentre, idRule, Presence::Required);
    visit.text("callerAddress", settings.callerAddress, addressRule, Presence::Required);
    visit.text("adminAddress", settings.adminAddress, addressRule, Presence::Required);
    visit.text("peerAddress", settings.peerAddress, addressRule, Presence::Required);
    visit.text("platformAddress", settings.platformAddress, addressRule, Presence::Required);
    visit.texts("seeds", settings.seeds, addressRule, { 0, maxSeeds });
    visit.integer("shards", settings.shards, { 1, maxShardsPerDataCentre });
    visit.text("dataFolder", settings.dataFolder, filePathRule);
    visit.text("adminTokenFile", settings.adminTokenFile, filePathRule);
    visit.text("peerKeyFile", settings.peerKeyFile, filePathRule);
    visit.enumeration("logLevel", settings.logLevel, logLevelNames);
    visit.enumeration("logFormat", settings.logFormat, logFormatNames);
    visit.integer("leaseMillis", settings.leaseMillis, { 500, maxLeaseMillis });
    visit.integer("promiseIntervalMillis", settings.promiseIntervalMillis, { 10, maxLeaseMillis / 3 });
    visit.integer("horizonMillis", settings.horizonMillis, { 1500, maxHorizonMillis });
    visit.integer("minCommitIntervalMillis", settings.minCommitIntervalMillis, { 0, 5000 });
    visit.integer("bridgeBytes", settings.bridgeBytes, { 0, maxBridgeBytes });
    visit.integer("bridgeFetchMillis", settings.bridgeFetchMillis, { 0, tenMinutesMillis });
    visit.integer("gossipIntervalMillis", settings.gossipIntervalMillis, { 10, 10000 });
    visit.integer("configPollMillis", settings.configPollMillis, { 10, maxConfigPollMillis });
    visit.integer("streamProgressMillis", settings.streamProgressMillis, { 10, tenMinutesMillis });
    visit.integer("auditIntervalMillis", settings.auditIntervalMillis, { 10, tenMinutesMillis });
    visit.integer("drainMillis", settings.drainMillis, { 0, tenMinutesMillis });
    visit.integer("maxConnections", settings.maxConnections, { 1, 65535 });
    visit.integer("memoryMegabytes", settings.memoryMegabytes, { 64, maxMemoryMegabytes });
    visit.integer("maxBodyBytes", settings.maxBodyBytes, { 1024, largestBodyBytes });
}

void checkTimes(const Settings& settings, JsonErrors& errors)
{
    std::uint64_t longestPromise = settings.leaseMillis / 3;
    if (settings.promiseIntervalMillis > longestPromise)
        errors.report("promiseIntervalMillis",
            "must be at most a third of leaseMillis, which is " + std::to_string(longestPromise));
    std::uint64_t shortestHorizon = 3 * settings.leaseMillis;
    if (settings.horizonMillis < shortestHorizon)
        errors.report(
            "horizonMillis", "must be at least three times leaseMillis, which is " + std::to_string(shortestHorizon));
}

void checkListeners(const Settings& settings, JsonErrors& errors)
{
    const std::array<std::pair<const char*, const std::string*>, 3> listeners { {
        { "callerAddress", &settings.callerAddress },
        { "adminAddress", &settings.adminAddress },
        { "peerAddress", &settings.peerAddress },
    } };
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        for (std::size_t earlier = 0; earlier < i; ++earlier) {
            if (*listeners[i].second == *listeners[earlier].second)
                errors.report(listeners[i].first, std::string("must differ from ") + listeners[earlier].first);
        }
    }
}

} // namespace

Result<Settings> parseSettings(std::string_view json)
{
    BOOST_LEAF_AUTO(document, parseJson(json, { .maxBytes = maxSettingsBytes }));
    Settings settings;
    JsonErrors errors;
    JsonReader reader(document, {}, errors);
    visitSettings(reader, settings);
    reader.finish();
    if (!errors.any()) {
        checkListeners(settings, errors);
        checkTimes(settings, errors);
    }
    if (auto checked = errors.result(); !checked)
        return checked.error();
    return settings;
}

std::string printSettings(const Settings& settings)
{
    JsonWriter writer;
    visitSettings(writer, settings);
    return printJson(writer.take());
}

} // namespace lovagecross
