#include "lovagecross/config/NodeSettings.h"

#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/config/JsonWriter.h"
#include "lovagecross/config/TextRules.h"

namespace lovagecross {

namespace {

constexpr std::size_t maxSettingsBytes = 64 * 1024;
constexpr std::size_t maxSeeds = 64;
constexpr std::int64_t maxMegabytes = 16 * 1024 * 1024;
constexpr std::int64_t maxLosses = 10;
constexpr std::int64_t minGraceMillis = 1000;
constexpr std::int64_t maxGraceMillis = 10 * 60 * 1000;
constexpr std::int64_t minInForceMillis = 500;
constexpr std::int64_t maxInForceMillis = 60 * 1000;
constexpr double maxQuotaWindowSeconds = 3600;
constexpr double maxQuotaOverage = 10;
constexpr double maxQuotaSlack = 1e6;

bool isUrlPath(std::string_view text)
{
    return text.size() <= 256 && !text.empty() && text.front() == '/'
        && text.find_first_of(" \t\r\n") == std::string_view::npos;
}

const TextRule urlPathRule { "a path that starts with a slash, of at most 256 bytes", isUrlPath };

template <typename Visitor, typename SettingsType> void visitSettings(Visitor& visit, SettingsType& settings)
{
    visit.enumeration("mode", settings.mode, nodeModeNames, Presence::Required);
    visit.text("node", settings.node, idRule, Presence::Required);
    visit.text("dataCentre", settings.dataCentre, idRule, Presence::Required);
    visit.text("callerAddress", settings.callerAddress, addressRule);
    visit.text("readyAddress", settings.readyAddress, addressRule);
    visit.text("readyPath", settings.readyPath, urlPathRule);
    visit.text("metricsAddress", settings.metricsAddress, addressRule);
    visit.text("relayAddress", settings.relayAddress, addressRule);
    visit.text("peerAddress", settings.peerAddress, addressRule, Presence::Required);
    visit.text("advertisedAddress", settings.advertisedAddress, addressRule);
    visit.text("platformAddress", settings.platformAddress, addressRule, Presence::Required);
    visit.texts("seeds", settings.seeds, addressRule, { 0, maxSeeds });
    visit.text("dataFolder", settings.dataFolder, filePathRule);
    visit.integer("diskMegabytes", settings.diskMegabytes, { 0, maxMegabytes });
    visit.integer("memoryMegabytes", settings.memoryMegabytes, { 32, maxMegabytes });
    visit.boolean("firstStart", settings.firstStart);
    visit.integer("lossMachines", settings.lossMachines, { 0, maxLosses });
    visit.integer("lossDataCentres", settings.lossDataCentres, { 0, maxLosses });
    visit.integer("graceMillis", settings.graceMillis, { minGraceMillis, maxGraceMillis });
    visit.integer("configurationMillis", settings.configurationMillis, { minInForceMillis, maxInForceMillis });
    visit.integer("serverDrainMillis", settings.serverDrainMillis, { minInForceMillis, maxInForceMillis });
    visit.boolean("strictRevocation", settings.strictRevocation);
    visit.integer("revocationMillis", settings.revocationMillis, { minInForceMillis, maxInForceMillis });
    visit.number("quotaWindowSeconds", settings.quotaWindowSeconds, { 0, maxQuotaWindowSeconds });
    visit.number("quotaOverage", settings.quotaOverage, { 0, maxQuotaOverage });
    visit.number("quotaSlack", settings.quotaSlack, { 0, maxQuotaSlack });
    visit.enumeration("engineOrder", settings.engineOrder, engineOrderNames);
    visit.enumeration("spill", settings.spill, spillModeNames);
    visit.enumeration("logLevel", settings.logLevel, logLevelNames);
}

void requireText(const std::string& value, const char* field, NodeMode mode, JsonErrors& errors)
{
    if (value.empty())
        errors.report(field, "is required in mode " + std::string(nodeModeNames.name(mode)));
}

void checkMode(const NodeSettings& settings, JsonErrors& errors)
{
    if (settings.mode == NodeMode::Entry) {
        requireText(settings.callerAddress, "callerAddress", settings.mode, errors);
        requireText(settings.readyAddress, "readyAddress", settings.mode, errors);
        requireText(settings.readyPath, "readyPath", settings.mode, errors);
        return;
    }
    requireText(settings.dataFolder, "dataFolder", settings.mode, errors);
    if (settings.diskMegabytes == 0)
        errors.report("diskMegabytes", "is required in mode records");
}

} // namespace

bool isNodeSettings(std::string_view json)
{
    return handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(document, parseJson(json, { .maxBytes = maxSettingsBytes }));
            return findMember(document, "mode") != nullptr;
        },
        [](const Error&) { return false; });
}

Result<NodeSettings> parseNodeSettings(std::string_view json)
{
    BOOST_LEAF_AUTO(document, parseJson(json, { .maxBytes = maxSettingsBytes }));
    NodeSettings settings;
    JsonErrors errors;
    JsonReader reader(document, {}, errors);
    visitSettings(reader, settings);
    reader.finish();
    if (!errors.any())
        checkMode(settings, errors);
    if (auto checked = errors.result(); !checked)
        return checked.error();
    if (settings.advertisedAddress.empty())
        settings.advertisedAddress = settings.peerAddress;
    return settings;
}

std::string printNodeSettings(const NodeSettings& settings)
{
    JsonWriter writer;
    visitSettings(writer, settings);
    return printJson(writer.take());
}

} // namespace lovagecross
