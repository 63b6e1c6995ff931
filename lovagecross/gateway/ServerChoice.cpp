#include "lovagecross/gateway/ServerChoice.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <limits>

namespace lovagecross {

namespace {

// Returns the highest-ranked server for the conversation or object by rendezvous hashing. Nodes of a data centre that
// know the same servers get the same result. Servers of the node's own data centre rank before all others.
std::optional<std::size_t> preferredServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers)
{
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    bool bestIsLocal = false;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].usable)
            continue;
        bool isLocal = servers[i].dataCentre == request.dataCentre;
        std::uint64_t rank = stableHash(servers[i].id, request.affinityHash);
        if (!best || (isLocal && !bestIsLocal) || (isLocal == bestIsLocal && rank > bestRank)) {
            best = i;
            bestRank = rank;
            bestIsLocal = isLocal;
        }
    }
    return best;
}

double prefillMillis(
    const ChoiceRequest& request, const ServerLoad& server, bool preferred, const ChoiceSettings& settings)
{
    std::uint64_t cached = preferred ? std::max(server.cachedTokens, request.promptTokens) : server.cachedTokens;
    std::uint64_t uncachedTokens = request.promptTokens - std::min(request.promptTokens, cached);
    return static_cast<double>(uncachedTokens) / settings.prefillTokensPerMilli
        + server.running * settings.loadMillisPerCall;
}

double costOf(const ChoiceRequest& request, const ServerLoad& server, bool preferred, const ChoiceSettings& settings)
{
    double callMillis = server.meanCallMillis > 0 ? server.meanCallMillis : settings.defaultCallMillis;
    double slots = std::max<std::uint32_t>(1, server.slots);
    double millis = callMillis;
    if (server.running >= server.slots)
        millis += (server.running - server.slots + 1) * callMillis / slots;
    if (request.engine)
        millis += prefillMillis(request, server, preferred, settings);
    else
        millis += server.running * callMillis / slots - (preferred ? settings.stickyBonusMillis : 0);
    if (server.cold)
        millis += settings.coldPenaltyMillis;
    millis *= server.slowness;
    if (server.dataCentre != request.dataCentre)
        millis += settings.otherDataCentreMillis;
    return millis;
}

} // namespace

ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak)
{
    ServerChoice choice;
    std::optional<std::size_t> preferred;
    if (request.affinityHash != 0)
        preferred = preferredServer(request, servers);
    double best = std::numeric_limits<double>::max();
    std::vector<double> costs(servers.size(), best);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].usable)
            continue;
        ++choice.usable;
        costs[i] = costOf(request, servers[i], preferred == i, settings);
        best = std::min(best, costs[i]);
    }
    if (choice.usable == 0)
        return choice;
    std::size_t ties = 0;
    for (double cost : costs)
        ties += cost <= best + settings.tieMillis ? 1 : 0;
    std::size_t pick = tieBreak % ties;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (costs[i] > best + settings.tieMillis)
            continue;
        if (pick-- == 0) {
            choice.chosen = i;
            break;
        }
    }
    return choice;
}

} // namespace lovagecross
