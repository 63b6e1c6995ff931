#include "lovagecross/placement/Placement.h"

#include <algorithm>
#include <limits>

namespace lovagecross {

namespace {

constexpr double millisPerSecond = 1000;
constexpr std::size_t maxBestScores = 4; // size limit of PlacementDecision::best
constexpr double unavailableCost = std::numeric_limits<double>::infinity();

// Values that depend only on the request, computed once for all candidates.
struct RequestCosts {
    double prefillMillisPerToken = 0;
    double transferMillisPerToken = 0;
    double callMillis = 0; // estimated call duration, for servers without a measured one
};

struct CandidateTimes {
    double loadMillis = 0; // queueing, model load and penalty for another data centre
    double promptMillis = 0; // prefill and transfer of the prompt
    double coldMillis = 0; // prefill of the prompt with an empty cache
    double occupancyCost = 0;

    double cost(double weight) const { return this->loadMillis + this->occupancyCost + weight * this->promptMillis; }
    double coldCost(double weight) const { return this->loadMillis + this->occupancyCost + weight * this->coldMillis; }

    PlacementScore score(std::size_t candidate, double weight) const
    {
        return { candidate, this->loadMillis + this->promptMillis, this->cost(weight) };
    }
};

RequestCosts costsOf(const PlacementRequest& request, const PlacementSettings& settings)
{
    RequestCosts costs;
    costs.prefillMillisPerToken = millisPerSecond / settings.prefillTokensPerSecond;
    costs.transferMillisPerToken = millisPerSecond / settings.kvTransferTokensPerSecond;
    costs.callMillis = request.promptTokens * costs.prefillMillisPerToken
        + request.maxTokens * settings.expectedAnswerShare * millisPerSecond / settings.decodeTokensPerSecond;
    return costs;
}

std::uint32_t occupiedSlots(const PlacementCandidate& candidate)
{
    return candidate.reportedRunning + candidate.reportedQueued + candidate.ownSinceReport;
}

// Compares sizes and last characters first, because names within a deployment mostly have the same length and differ at
// the end.
bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && (left.empty() || left.back() == right.back()) && left == right;
}

double queueMillis(const PlacementCandidate& candidate, const RequestCosts& costs, const PlacementSettings& settings)
{
    std::uint32_t occupied = occupiedSlots(candidate);
    double waitingTokens = static_cast<double>(candidate.reportedPrefillTokens) + candidate.ownPrefillSinceReport;
    double millis = waitingTokens * costs.prefillMillisPerToken;
    if (!candidate.hasReport)
        millis += settings.unknownLoadMillis;
    std::uint32_t slots = std::max(candidate.slots, 1U);
    if (occupied >= slots) {
        double callMillis = candidate.meanCallMillis > 0 ? candidate.meanCallMillis : costs.callMillis;
        millis += callMillis * (occupied - slots + 1) / slots;
    }
    return millis;
}

double promptMillis(const PlacementRequest& request, const PlacementCandidate& candidate, const RequestCosts& costs)
{
    std::uint32_t cached = std::min(candidate.cachedTokens, request.promptTokens);
    std::uint32_t reachable = std::clamp(candidate.transferableTokens, cached, request.promptTokens);
    double fetchMillisPerToken = std::min(costs.transferMillisPerToken, costs.prefillMillisPerToken);
    return (reachable - cached) * fetchMillisPerToken
        + (request.promptTokens - reachable) * costs.prefillMillisPerToken;
}

inline CandidateTimes timesOf(const PlacementRequest& request, const PlacementCandidate& candidate,
    const RequestCosts& costs, const PlacementSettings& settings)
{
    CandidateTimes times;
    times.loadMillis = candidate.timeFactor * queueMillis(candidate, costs, settings);
    if (!candidate.modelLoaded)
        times.loadMillis += settings.modelLoadMillis;
    if (!sameName(candidate.dataCentre, request.dataCentre))
        times.loadMillis += settings.otherDataCentreMillis;
    std::uint32_t occupied = occupiedSlots(candidate);
    times.occupancyCost = settings.occupancyMillis * occupied / std::max(candidate.slots, 1U);
    if (request.slotsScarce && occupied >= candidate.slots)
        times.occupancyCost += settings.scarceSlotMillis;
    times.promptMillis = candidate.timeFactor * promptMillis(request, candidate, costs);
    times.coldMillis = candidate.timeFactor * request.promptTokens * costs.prefillMillisPerToken;
    return times;
}

void insertScore(std::vector<PlacementScore>& best, PlacementScore score)
{
    if (best.size() == maxBestScores && score.cost >= best.back().cost)
        return;
    auto position = std::upper_bound(best.begin(), best.end(), score,
        [](const PlacementScore& left, const PlacementScore& right) { return left.cost < right.cost; });
    best.insert(position, score);
    if (best.size() > maxBestScores)
        best.pop_back();
}

// Picks one of the candidates whose cost is at most `limit`, uniformly by `tieBreak`.
std::size_t pickTied(const std::vector<double>& candidateCosts, double limit, std::uint64_t tieBreak)
{
    auto tied = static_cast<std::size_t>(
        std::count_if(candidateCosts.begin(), candidateCosts.end(), [&](double cost) { return cost <= limit; }));
    std::size_t skip = tieBreak % tied;
    for (std::size_t i = 0; i < candidateCosts.size(); ++i) {
        if (candidateCosts[i] <= limit && skip-- == 0)
            return i;
    }
    return candidateCosts.size();
}

void moveToFront(std::vector<PlacementScore>& best, PlacementScore chosen)
{
    std::erase_if(best, [&](const PlacementScore& score) { return score.candidate == chosen.candidate; });
    best.insert(best.begin(), chosen);
    best.resize(std::min(best.size(), maxBestScores));
}

} // namespace

PlacementDecision choosePlacement(const PlacementRequest& request, const std::vector<PlacementCandidate>& candidates,
    const PlacementSettings& settings, std::uint64_t tieBreak)
{
    PlacementDecision decision;
    RequestCosts costs = costsOf(request, settings);
    double weight = settings.recomputeWeight;
    std::vector<double> candidateCosts(candidates.size(), unavailableCost);
    std::size_t available = 0;
    double bestCold = unavailableCost;
    decision.best.reserve(maxBestScores + 1);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].available)
            continue;
        ++available;
        CandidateTimes times = timesOf(request, candidates[i], costs, settings);
        PlacementScore score = times.score(i, weight);
        candidateCosts[i] = score.cost;
        bestCold = std::min(bestCold, times.coldCost(weight));
        insertScore(decision.best, score);
    }
    if (available == 0)
        return decision;
    std::size_t chosen = pickTied(candidateCosts, decision.best.front().cost + settings.tieMillis, tieBreak);
    CandidateTimes times = timesOf(request, candidates[chosen], costs, settings);
    moveToFront(decision.best, times.score(chosen, weight));
    decision.chosen = chosen;
    if (available == 1)
        decision.reason = PlacementReason::OnlyCandidate;
    else if (times.coldCost(weight) > bestCold + settings.tieMillis)
        decision.reason = PlacementReason::CacheAffinity;
    else
        decision.reason = PlacementReason::LeastTime;
    return decision;
}

} // namespace lovagecross
