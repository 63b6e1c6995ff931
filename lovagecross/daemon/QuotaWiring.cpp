#include "lovagecross/daemon/QuotaWiring.h"

#include <thread>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

// A changed quota must be in force everywhere within `configurationMillis`. An issuer that has not heard of it stops
// within half of that time; the rest is for the tokens that it has granted and for the nodes that are late.
constexpr int configurationLeaseDivisor = 2;
// Longer than a busy node stands still. A member is removed only after it has been silent for several times as long.
constexpr Duration rosterLease = milliseconds(1500);

} // namespace

QuotaPolicy quotaPolicyOf(const NodeSettings& settings)
{
    std::chrono::duration<double> window(settings.quotaWindowSeconds);
    return { std::chrono::duration_cast<Duration>(window), settings.quotaOverage, settings.quotaSlack };
}

QuotaIssuerSettings quotaIssuerSettings(
    const NodeSettings& settings, const Directory& directory, std::function<Roster()> roster)
{
    QuotaIssuerSettings issuer;
    issuer.policy = quotaPolicyOf(settings);
    issuer.node = settings.node;
    issuer.tolerance = { settings.lossMachines, settings.lossDataCentres };
    Duration inForce = milliseconds(settings.configurationMillis);
    issuer.lease = rosterLease;
    issuer.configurationLease = inForce / configurationLeaseDivisor;
    issuer.roster = std::move(roster);
    issuer.quotaOf = [&directory](const std::string& tenant) { return quotaIn(directory, tenant); };
    return issuer;
}

QuotaClientSettings quotaClientSettings(const NodeSettings& settings, const Directory& directory,
    std::function<std::vector<std::string>(const std::string&)> issuersOf)
{
    QuotaClientSettings client;
    client.policy = quotaPolicyOf(settings);
    client.issuersOf = std::move(issuersOf);
    client.quotaOf = [&directory](const std::string& tenant) { return quotaIn(directory, tenant); };
    client.pause = [](Duration pause) { std::this_thread::sleep_for(pause); };
    return client;
}

} // namespace lovagecross
