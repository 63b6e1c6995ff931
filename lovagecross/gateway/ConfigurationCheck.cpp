#include "lovagecross/gateway/ConfigurationCheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace lovagecross {

namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string routePath(std::size_t index)
{
    return "routes[" + std::to_string(index) + "]";
}

std::string tenantPath(const std::string& name)
{
    return "tenants[" + name + "]";
}

std::string servicePath(const std::string& name)
{
    return "services[" + name + "]";
}

std::string millisText(Duration duration)
{
    return std::to_string(toMillis(duration)) + " ms";
}

// Collects the findings about one entry.
class EntryCheck {
public:
    EntryCheck(Findings& allFindings, std::string entryPath)
        : findings(allFindings)
        , path(std::move(entryPath))
    {
    }

    void neverMatches(bool condition, std::string message)
    {
        this->report(FindingKind::NeverMatches, condition, std::move(message));
    }
    void contradicts(bool condition, std::string message)
    {
        this->report(FindingKind::Contradiction, condition, std::move(message));
    }

private:
    void report(FindingKind kind, bool condition, std::string message)
    {
        if (condition)
            this->findings.push_back({ kind, this->path, std::move(message) });
    }

    Findings& findings;
    const std::string path;
};

void checkPriority(std::uint32_t priority, EntryCheck& check)
{
    std::string lowest = std::to_string(lowestPriority);
    check.contradicts(priority > lowestPriority, "a priority above " + lowest + " counts as " + lowest);
}

void checkRouteMatch(const Route& route, EntryCheck& check)
{
    bool isPrefix = !route.pathPrefix.empty() && route.pathPrefix.front() == '/';
    check.neverMatches(route.host.empty(), "the host is empty");
    check.neverMatches(!isPrefix, "the path prefix does not begin with a slash");
    std::uint64_t total = 0;
    for (const WeightedService& entry : route.services)
        total += entry.weight;
    for (const WeightedService& entry : route.services)
        check.neverMatches(total > 0 && entry.weight == 0, "the service " + entry.service + " has the weight 0");
}

void checkRouteLimits(const Route& route, const GatewayConfiguration& configuration, EntryCheck& check)
{
    bool streaming = route.kind == RouteKind::Streaming;
    bool bounded = route.timeout > Duration(0);
    check.contradicts(bounded && route.targetLatency > route.timeout,
        "the target latency of " + millisText(route.targetLatency) + " is beyond the timeout of "
            + millisText(route.timeout));
    check.contradicts(bounded && route.targetEventGap > route.timeout,
        "the target gap of " + millisText(route.targetEventGap) + " is beyond the timeout of "
            + millisText(route.timeout));
    check.contradicts(!streaming && route.resumable, "only streams can be resumed");
    check.contradicts(!streaming && route.storesTurns, "only streams are stored as turns");
    check.contradicts(route.storesTurns && route.retention <= Duration(0), "turns are stored with no retention");
    checkPriority(route.priority, check);
    for (const WeightedService& entry : route.services)
        check.contradicts(configuration.services.find(entry.service) == configuration.services.end(),
            "the service " + entry.service + " is not listed");
}

void checkRoutes(const GatewayConfiguration& configuration, Findings& findings)
{
    std::map<std::pair<std::string, std::string>, std::size_t> firstByMatch;
    for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
        const Route& route = configuration.routes[i];
        EntryCheck check(findings, routePath(i));
        auto [first, isNew] = firstByMatch.emplace(std::pair(route.host, route.pathPrefix), i);
        check.neverMatches(!isNew, routePath(first->second) + " has the same host and path prefix and goes first");
        checkRouteMatch(route, check);
        checkRouteLimits(route, configuration, check);
    }
}

void checkServices(const GatewayConfiguration& configuration, Findings& findings)
{
    std::set<std::string> used;
    for (const Route& route : configuration.routes) {
        for (const WeightedService& entry : route.services)
            used.insert(entry.service);
    }
    for (const auto& [name, service] : configuration.services) {
        EntryCheck check(findings, servicePath(name));
        check.neverMatches(used.count(name) == 0, "no route leads to this service");
        if (!service.engine)
            continue;
        check.contradicts(service.maxConnections > 0 && service.maxConnections < service.engine->slots,
            "fewer connections than slots are allowed");
        check.contradicts(
            service.engine->kvTokens < service.engine->slots, "the engine's memory holds no token a slot");
    }
}

void checkTenants(const GatewayConfiguration& configuration, Findings& findings)
{
    bool anyNeedsKey = std::any_of(
        configuration.routes.begin(), configuration.routes.end(), [](const Route& route) { return !route.isPublic; });
    if (!configuration.tenants.empty() && !configuration.routes.empty() && !anyNeedsKey)
        findings.push_back({ FindingKind::NeverMatches, "tenants", "all routes are public, so no key is ever needed" });
    for (const TenantEntry& tenant : configuration.tenants.all()) {
        EntryCheck check(findings, tenantPath(tenant.name));
        check.neverMatches(tenant.keys.empty(), "the tenant has no key, so it can't call");
        check.contradicts(!tenant.quota.limited() && tenant.quota.burst > 0, "a burst without a rate has no effect");
        check.contradicts(tenant.quota.limited() && tenant.quota.burst < 1,
            "the burst is smaller than one call, so that it counts as 1");
        checkPriority(tenant.priority.value_or(0), check);
    }
}

void checkLimits(const CallerLimits& limits, Findings& findings)
{
    EntryCheck check(findings, "limits");
    check.contradicts(limits.maxHeadBytes == 0, "no request head is allowed");
    check.contradicts(limits.headTimeout <= Duration(0), "no time is left to send a request head");
    check.contradicts(limits.idleTimeout <= Duration(0), "no connection may wait for a request");
}

// --- Differences

// Lists what changed in one entry, and adds one finding if anything did.
class EntryDifference {
public:
    template <typename Value> void field(const char* name, const Value& before, const Value& after, const auto& print)
    {
        if (before != after)
            this->add(std::string(name) + ": " + print(before) + " -> " + print(after));
    }
    void number(const char* name, auto before, auto after)
    {
        this->field(name, before, after, [](auto value) { return std::to_string(value); });
    }
    void millis(const char* name, Duration before, Duration after) { this->field(name, before, after, millisText); }
    void flag(const char* name, bool before, bool after)
    {
        this->field(name, before, after, [](bool value) { return std::string(value ? "yes" : "no"); });
    }
    void add(const std::string& change) { this->text += (this->text.empty() ? "" : "; ") + change; }

    void reportTo(Findings& findings, const std::string& path) const
    {
        if (!this->text.empty())
            findings.push_back({ FindingKind::Difference, path, this->text });
    }

private:
    std::string text;
};

std::string printServices(const std::vector<WeightedService>& services)
{
    std::string text;
    for (const WeightedService& entry : services)
        text += (text.empty() ? "" : "+") + entry.service + '*' + std::to_string(entry.weight);
    return text;
}

void compareRoute(const Route& before, const Route& after, Findings& findings)
{
    EntryDifference difference;
    auto kindName = [](RouteKind kind) { return std::string(routeKindNames.name(kind)); };
    difference.field("kind", before.kind, after.kind, kindName);
    difference.field("services", printServices(before.services), printServices(after.services),
        [](const std::string& text) { return text; });
    difference.millis("timeout", before.timeout, after.timeout);
    difference.millis("target latency", before.targetLatency, after.targetLatency);
    difference.millis("target gap", before.targetEventGap, after.targetEventGap);
    difference.millis("retention", before.retention, after.retention);
    difference.number("attempts", before.maxAttempts, after.maxAttempts);
    difference.number("priority", before.priority, after.priority);
    difference.flag("sticky", before.sticky, after.sticky);
    difference.flag("resumable", before.resumable, after.resumable);
    difference.flag("stores turns", before.storesTurns, after.storesTurns);
    difference.flag("public", before.isPublic, after.isPublic);
    difference.reportTo(findings, after.host + after.pathPrefix);
}

void compareService(const ServiceSpec& before, const ServiceSpec& after, Findings& findings)
{
    EntryDifference difference;
    EngineTraits none { 0, 0, 0, false, Duration(0) };
    const EngineTraits old = before.engine.value_or(none);
    const EngineTraits now = after.engine.value_or(none);
    difference.field("health path", before.healthPath, after.healthPath, [](const std::string& text) { return text; });
    difference.number("connections", before.maxConnections, after.maxConnections);
    difference.flag("engine", before.engine.has_value(), after.engine.has_value());
    difference.number("slots", old.slots, now.slots);
    difference.number("memory in tokens", old.kvTokens, now.kvTokens);
    difference.number("tokens per event", old.tokensPerEvent, now.tokensPerEvent);
    difference.reportTo(findings, servicePath(after.name));
}

void compareTenant(const TenantEntry& before, const TenantEntry& after, Findings& findings)
{
    EntryDifference difference;
    auto countMissing = [](const std::vector<KeyDigest>& keys, const std::vector<KeyDigest>& from) {
        return std::count_if(keys.begin(), keys.end(),
            [&from](const KeyDigest& key) { return std::find(from.begin(), from.end(), key) == from.end(); });
    };
    if (auto added = countMissing(after.keys, before.keys); added > 0)
        difference.add("keys added: " + std::to_string(added));
    if (auto revoked = countMissing(before.keys, after.keys); revoked > 0)
        difference.add("keys revoked: " + std::to_string(revoked));
    difference.number("rate", before.quota.requestsPerSecond, after.quota.requestsPerSecond);
    difference.number("burst", before.quota.burst, after.quota.burst);
    difference.field("priority", before.priority, after.priority, [](std::optional<std::uint32_t> priority) {
        return priority ? std::to_string(*priority) : std::string("of the route");
    });
    difference.reportTo(findings, tenantPath(after.name));
}

// Reports the entries of only one map as added or removed, and compares those of both.
template <typename Map>
void compareMaps(
    const Map& before, const Map& after, const auto& pathOf, const auto& compareEntries, Findings& findings)
{
    for (const auto& [key, entry] : after) {
        auto found = before.find(key);
        if (found == before.end())
            findings.push_back({ FindingKind::Difference, pathOf(key), "added" });
        else
            compareEntries(found->second, entry, findings);
    }
    for (const auto& [key, entry] : before) {
        if (after.count(key) == 0)
            findings.push_back({ FindingKind::Difference, pathOf(key), "removed" });
    }
}

std::map<std::string, Route> routesByMatch(const GatewayConfiguration& configuration)
{
    std::map<std::string, Route> routes;
    for (const Route& route : configuration.routes)
        routes.emplace(route.host + route.pathPrefix, route);
    return routes;
}

std::map<std::string, TenantEntry> tenantsByName(const GatewayConfiguration& configuration)
{
    std::map<std::string, TenantEntry> tenants;
    for (const TenantEntry& tenant : configuration.tenants.all())
        tenants.emplace(tenant.name, tenant);
    return tenants;
}

void compareLimits(const CallerLimits& before, const CallerLimits& after, Findings& findings)
{
    EntryDifference difference;
    difference.number("head bytes", before.maxHeadBytes, after.maxHeadBytes);
    difference.number("body bytes", before.maxBodyBytes, after.maxBodyBytes);
    difference.millis("head timeout", before.headTimeout, after.headTimeout);
    difference.millis("idle timeout", before.idleTimeout, after.idleTimeout);
    difference.reportTo(findings, "limits");
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const GatewayConfiguration& configuration)
{
    Findings findings;
    checkRoutes(configuration, findings);
    checkServices(configuration, findings);
    checkTenants(configuration, findings);
    checkLimits(configuration.limits, findings);
    return findings;
}

std::vector<ConfigurationFinding> compareConfigurations(
    const GatewayConfiguration& inForce, const GatewayConfiguration& next)
{
    Findings findings;
    if (next.version <= inForce.version)
        findings.push_back({ FindingKind::Error, "version",
            std::to_string(next.version) + " is not higher than " + std::to_string(inForce.version)
                + ", which is in force" });
    auto same = [](const std::string& key) { return key; };
    compareMaps(routesByMatch(inForce), routesByMatch(next), same, compareRoute, findings);
    compareMaps(inForce.services, next.services, servicePath, compareService, findings);
    compareMaps(tenantsByName(inForce), tenantsByName(next), tenantPath, compareTenant, findings);
    compareLimits(inForce.limits, next.limits, findings);
    return findings;
}

} // namespace lovagecross
