#include "lovagecross/gateway/ServerChoice.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace lovagecross {

namespace {

// Servers among which to choose, by their position in the given list.
using Candidates = std::vector<std::size_t>;

Candidates usableServers(const std::vector<ServerLoad>& servers)
{
    Candidates usable;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (servers[i].usable)
            usable.push_back(i);
    }
    return usable;
}

Candidates serversIn(std::string_view dataCentre, const Candidates& candidates, const std::vector<ServerLoad>& servers)
{
    Candidates found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found),
        [&](std::size_t i) { return servers[i].dataCentre == dataCentre; });
    return found;
}

// Returns the data centre whose servers come first: the wanted one, or the own one if that has none.
std::string_view leadingDataCentre(
    const ChoiceRequest& request, const Candidates& candidates, const std::vector<ServerLoad>& servers)
{
    bool wanted
        = !request.wantedDataCentre.empty() && !serversIn(request.wantedDataCentre, candidates, servers).empty();
    return wanted ? request.wantedDataCentre : request.dataCentre;
}

// Leaves only the servers of the given data centre, if one is wanted and it has any.
Candidates restrictedTo(std::string_view dataCentre, const ChoiceRequest& request, const Candidates& usable,
    const std::vector<ServerLoad>& servers)
{
    if (request.wantedDataCentre.empty())
        return usable;
    Candidates found = serversIn(dataCentre, usable, servers);
    return found.empty() ? usable : found;
}

// Engines in the order in which nodes choose them for a program, by rendezvous hashing: the given data centre before
// all others, and in it the engines of the prompt's first part before all others. Nodes that know the same engines get
// the same order.
struct Ranking {
    Candidates order;
    std::size_t ofPrefix = 0; // leading engines that are expected to have the first part cached
};

Ranking rankEngines(const ChoiceRequest& request, std::uint64_t key, std::string_view dataCentre,
    const Candidates& candidates, const std::vector<ServerLoad>& servers, const ChoiceSettings& settings)
{
    Ranking ranking;
    ranking.order = candidates;
    auto sortBy = [&](auto first, auto last, std::uint64_t seed) {
        std::sort(first, last, [&](std::size_t left, std::size_t right) {
            auto rankOf = [&](std::size_t i) {
                return std::make_tuple(
                    servers[i].dataCentre != dataCentre, ~stableHash(servers[i].id, seed), servers[i].id);
            };
            return rankOf(left) < rankOf(right);
        });
    };
    std::size_t here = serversIn(dataCentre, candidates, servers).size();
    auto prefixEnd = ranking.order.begin();
    if (request.prefixHash != 0) {
        sortBy(ranking.order.begin(), ranking.order.end(), request.prefixHash);
        auto share = static_cast<std::size_t>(std::lround(static_cast<double>(here) * settings.prefixEngineShare));
        ranking.ofPrefix = std::min(here, std::max(share, settings.minPrefixEngines));
        prefixEnd += static_cast<std::ptrdiff_t>(ranking.ofPrefix);
    }
    sortBy(ranking.order.begin(), prefixEnd, key);
    sortBy(prefixEnd, ranking.order.end(), key);
    return ranking;
}

// Moves the engine to the front that is known to have the whole prompt of the preceding turn. One that has less of it
// was left since, perhaps by another node.
bool preferEngineWithHistory(const ChoiceRequest& request, const std::vector<ServerLoad>& servers, Candidates& order)
{
    auto found = std::max_element(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return servers[left].cachedTokens < servers[right].cachedTokens; });
    std::uint64_t cached = found != order.end() ? servers[*found].cachedTokens : 0;
    if (cached <= request.prefixTokens || cached < request.historyTokens)
        return false;
    std::rotate(order.begin(), found, found + 1);
    return true;
}

double costOf(const ChoiceRequest& request, const ServerLoad& server, std::uint64_t cachedTokens, bool sticky,
    const ChoiceSettings& settings)
{
    double callMillis = server.meanCallMillis > 0 ? server.meanCallMillis : settings.defaultCallMillis;
    double slots = std::max<std::uint32_t>(1, server.slots);
    double millis = callMillis;
    if (server.running >= server.slots)
        millis += (server.running - server.slots + 1) * callMillis / slots;
    if (request.engine) {
        std::uint64_t uncachedTokens = request.promptTokens - std::min(request.promptTokens, cachedTokens);
        millis += static_cast<double>(uncachedTokens) * settings.prefillWeight / settings.prefillTokensPerMilli
            + server.running * settings.loadMillisPerCall;
    } else {
        millis += server.running * callMillis / slots - (sticky ? settings.stickyBonusMillis : 0)
            - (server.connected ? settings.connectedBonusMillis : 0);
    }
    if (server.cold)
        millis += settings.coldPenaltyMillis;
    millis *= server.slowness;
    if (server.dataCentre != request.dataCentre)
        millis += request.engine ? settings.engineOtherDataCentreMillis : settings.otherDataCentreMillis;
    return millis;
}

// Chooses the first engine in rank whose cost is not higher than the lowest by more than the tolerance.
ServerChoice chooseByRank(const ChoiceRequest& request, std::uint64_t key, std::string_view dataCentre,
    const Candidates& candidates, const std::vector<ServerLoad>& servers, const ChoiceSettings& settings)
{
    Ranking ranking = rankEngines(request, key, dataCentre, candidates, servers, settings);
    Candidates engines = ranking.order;
    bool historyKnown = preferEngineWithHistory(request, servers, engines);
    std::vector<double> costs(servers.size(), std::numeric_limits<double>::max());
    for (std::size_t rank = 0; rank < ranking.order.size(); ++rank) {
        std::size_t i = ranking.order[rank];
        std::uint64_t cached = servers[i].cachedTokens;
        if (rank < ranking.ofPrefix)
            cached = std::max(cached, request.prefixTokens);
        if (rank == 0 && !historyKnown && request.affinityHash != 0)
            cached = request.promptTokens;
        costs[i] = costOf(request, servers[i], cached, false, settings);
    }
    double limit = *std::min_element(costs.begin(), costs.end()) + settings.rankToleranceMillis;
    auto chosen = std::find_if(engines.begin(), engines.end(), [&](std::size_t i) { return costs[i] <= limit; });
    ServerChoice choice;
    choice.chosen = *chosen;
    choice.reason = chosen == engines.begin() ? ChoiceReason::Preferred : ChoiceReason::NextInRank;
    return choice;
}

// Returns the highest-ranked server for the object, those of the given data centre before all others.
std::optional<std::size_t> stickyServer(const ChoiceRequest& request, std::string_view dataCentre,
    const Candidates& candidates, const std::vector<ServerLoad>& servers)
{
    if (request.affinityHash == 0)
        return std::nullopt;
    auto rankOf = [&](std::size_t i) {
        return std::make_pair(servers[i].dataCentre == dataCentre, stableHash(servers[i].id, request.affinityHash));
    };
    return *std::max_element(candidates.begin(), candidates.end(),
        [&](std::size_t left, std::size_t right) { return rankOf(left) < rankOf(right); });
}

ServerChoice chooseCheapest(const ChoiceRequest& request, std::string_view dataCentre, const Candidates& candidates,
    const std::vector<ServerLoad>& servers, const ChoiceSettings& settings, std::uint64_t tieBreak)
{
    std::optional<std::size_t> sticky = stickyServer(request, dataCentre, candidates, servers);
    double best = std::numeric_limits<double>::max();
    std::vector<double> costs;
    for (std::size_t i : candidates) {
        costs.push_back(costOf(request, servers[i], servers[i].cachedTokens, sticky == i, settings));
        best = std::min(best, costs.back());
    }
    Candidates ties;
    for (std::size_t k = 0; k < candidates.size(); ++k) {
        if (costs[k] <= best + settings.tieMillis)
            ties.push_back(candidates[k]);
    }
    ServerChoice choice;
    choice.chosen = ties[tieBreak % ties.size()];
    choice.reason = choice.chosen == sticky ? ChoiceReason::Preferred : ChoiceReason::Cheapest;
    return choice;
}

} // namespace

ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak)
{
    std::uint64_t key = request.affinityHash != 0 ? request.affinityHash : tieBreak;
    Candidates usable = usableServers(servers);
    std::string_view dataCentre = leadingDataCentre(request, usable, servers);
    Candidates candidates = restrictedTo(dataCentre, request, usable, servers);
    if (candidates.empty())
        return {};
    bool ranked = request.engine && (request.affinityHash != 0 || request.prefixHash != 0);
    ServerChoice choice = ranked ? chooseByRank(request, key, dataCentre, candidates, servers, settings)
                                 : chooseCheapest(request, dataCentre, candidates, servers, settings, tieBreak);
    choice.usable = candidates.size();
    if (candidates.size() == 1)
        choice.reason = ChoiceReason::OnlyUsable;
    return choice;
}

} // namespace lovagecross
