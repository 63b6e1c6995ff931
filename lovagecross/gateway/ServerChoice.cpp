#include "lovagecross/gateway/ServerChoice.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace lovagecross {

namespace {

// The server that is first for the conversation or object: the same on every node that knows the same servers of the
// data centre. Servers of the own data centre come before others.
std::optional<std::size_t> preferredServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers)
{
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    bool bestIsNear = false;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].usable)
            continue;
        bool near = servers[i].dataCentre == request.dataCentre;
        std::uint64_t rank = stableHash(servers[i].id, request.affinityHash);
        if (!best || (near && !bestIsNear) || (near == bestIsNear && rank > bestRank)) {
            best = i;
            bestRank = rank;
            bestIsNear = near;
        }
    }
    return best;
}

double engineMillis(
    const ChoiceRequest& request, const ServerLoad& server, bool preferred, const ChoiceSettings& settings)
{
    std::uint64_t cached = preferred ? std::max(server.cachedTokens, request.promptTokens) : server.cachedTokens;
    std::uint64_t unread = request.promptTokens - std::min(request.promptTokens, cached);
    double batchShare = static_cast<double>(server.running) / std::max<std::uint32_t>(1, server.slots);
    return static_cast<double>(unread) / settings.prefillTokensPerMilli + batchShare * settings.fullBatchMillis;
}

double costOf(const ChoiceRequest& request, const ServerLoad& server, bool preferred, const ChoiceSettings& settings)
{
    double callMillis = server.meanCallMillis > 0 ? server.meanCallMillis : settings.callMillis;
    double slots = std::max<std::uint32_t>(1, server.slots);
    double millis = callMillis;
    double heldMillis = server.meanHeldMillis > 0 ? server.meanHeldMillis : callMillis;
    if (server.running >= server.slots)
        millis += (server.running - server.slots + 1) * heldMillis / slots;
    if (request.engine)
        millis += engineMillis(request, server, preferred, settings);
    else
        millis += server.running * callMillis / slots - (preferred ? settings.stickyGainMillis : 0);
    if (server.cold)
        millis += settings.coldMillis;
    millis *= server.slowness;
    if (server.dataCentre != request.dataCentre)
        millis += settings.otherDataCentreMillis + settings.farMillis;
    return millis;
}

// The usable servers in the order in which they are compared: those first for the conversation, object or call before
// others.
struct RankedServers {
    std::vector<std::size_t> near; // of the own data centre
    std::vector<std::size_t> far;
};

RankedServers rankServers(const ChoiceRequest& request, const std::vector<ServerLoad>& servers, std::uint64_t rankSeed)
{
    RankedServers ranked;
    std::vector<std::uint64_t> ranks(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].usable)
            continue;
        ranks[i] = stableHash(servers[i].id, rankSeed);
        (servers[i].dataCentre == request.dataCentre ? ranked.near : ranked.far).push_back(i);
    }
    auto before = [&ranks](std::size_t left, std::size_t right) { return ranks[left] > ranks[right]; };
    std::sort(ranked.near.begin(), ranked.near.end(), before);
    std::sort(ranked.far.begin(), ranked.far.end(), before);
    return ranked;
}

// The first `nearCount` and `farCount` of each, more of the others where one list is short, and those that have read
// much of the prompt.
std::vector<std::size_t> candidatesOf(const RankedServers& ranked, const ChoiceRequest& request,
    const std::vector<ServerLoad>& servers, std::size_t nearCount, std::size_t farCount)
{
    std::size_t near = std::min(ranked.near.size(), nearCount);
    std::size_t far = std::min(ranked.far.size(), farCount + (nearCount - near));
    std::vector<std::size_t> candidates(ranked.near.begin(), ranked.near.begin() + static_cast<std::ptrdiff_t>(near));
    candidates.insert(candidates.end(), ranked.far.begin(), ranked.far.begin() + static_cast<std::ptrdiff_t>(far));
    for (const auto* list : { &ranked.near, &ranked.far }) {
        for (std::size_t index : *list) {
            bool known = std::find(candidates.begin(), candidates.end(), index) != candidates.end();
            if (!known && servers[index].cachedTokens * 2 > request.promptTokens)
                candidates.push_back(index);
        }
    }
    return candidates;
}

// One of the cheapest candidates.
std::size_t cheapestOf(
    const std::vector<std::size_t>& candidates, const std::vector<double>& costs, double tie, std::uint64_t tieBreak)
{
    double best = std::numeric_limits<double>::max();
    for (std::size_t index : candidates)
        best = std::min(best, costs[index]);
    std::vector<std::size_t> cheapest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(cheapest),
        [&](std::size_t index) { return costs[index] <= best + tie; });
    return cheapest[tieBreak % cheapest.size()];
}

} // namespace

ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak)
{
    ServerChoice choice;
    std::optional<std::size_t> preferred;
    if (request.affinityHash != 0)
        preferred = preferredServer(request, servers);
    RankedServers ranked = rankServers(request, servers, request.affinityHash != 0 ? request.affinityHash : tieBreak);
    choice.usable = ranked.near.size() + ranked.far.size();
    if (choice.usable == 0)
        return choice;
    std::vector<double> costs(servers.size(), std::numeric_limits<double>::max());
    std::size_t nearCount = settings.nearCandidates;
    std::size_t farCount = settings.farCandidates;
    for (;;) {
        auto candidates = candidatesOf(ranked, request, servers, nearCount, farCount);
        for (std::size_t index : candidates)
            costs[index] = costOf(request, servers[index], preferred == index, settings);
        std::size_t chosen = cheapestOf(candidates, costs, settings.tieMillis, tieBreak);
        choice.chosen = chosen;
        choice.costMillis = costs[chosen];
        const ServerLoad& server = servers[chosen];
        bool poor = server.slowness > settings.wideningSlowness
            || server.running >= settings.wideningLoad * std::max<std::uint32_t>(1, server.slots);
        if (!poor || candidates.size() >= choice.usable)
            return choice;
        nearCount *= 2;
        farCount *= 2;
    }
}

} // namespace lovagecross
