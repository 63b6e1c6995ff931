#include "lovagecross/spill/DataCentrePolicy.h"

#include <algorithm>
#include <iterator>

namespace lovagecross {

namespace {

constexpr double bytesPerMegabyte = 1e6;
constexpr double millisPerSecond = 1000;

const DataCentreLoad* find(const std::vector<DataCentreLoad>& dataCentres, const std::string& name)
{
    auto found = std::find_if(dataCentres.begin(), dataCentres.end(),
        [&name](const DataCentreLoad& entry) { return entry.dataCentre == name; });
    return found != dataCentres.end() ? &*found : nullptr;
}

bool isFresh(const DataCentreLoad& dataCentre, const SpillSettings& settings)
{
    return dataCentre.steady && dataCentre.age <= settings.maxSummaryAge;
}

// Calls of this data centre that run in others.
std::uint32_t sentBy(const DataCentreLoad& origin)
{
    std::uint32_t sum = 0;
    for (const SentCalls& sent : origin.load.sent)
        sum += sent.running;
    return sum;
}

std::uint32_t takenSlots(const SentCalls& sent)
{
    return std::max(sent.running, sent.reserved);
}

bool sendsCalls(const DataCentreLoad& origin)
{
    return std::any_of(
        origin.load.sent.begin(), origin.load.sent.end(), [](const SentCalls& sent) { return takenSlots(sent) > 0; });
}

// Calls of other data centres that run, or may do so. A summary that is too old counts too: its calls may still run.
std::uint32_t takenBy(const DataCentreLoad& target, const std::vector<DataCentreLoad>& dataCentres)
{
    std::uint32_t sum = 0;
    for (const DataCentreLoad& origin : dataCentres) {
        if (origin.dataCentre == target.dataCentre)
            continue;
        for (const SentCalls& sent : origin.load.sent)
            sum += sent.dataCentre == target.dataCentre ? takenSlots(sent) : 0;
    }
    return sum;
}

bool takesFreshCalls(
    const DataCentreLoad& target, const std::vector<DataCentreLoad>& dataCentres, const SpillSettings& settings)
{
    std::vector<DataCentreLoad> fresh;
    std::copy_if(dataCentres.begin(), dataCentres.end(), std::back_inserter(fresh),
        [&settings](const DataCentreLoad& entry) { return isFresh(entry, settings); });
    return takenBy(target, fresh) > 0;
}

double callMillis(const DataCentreLoad& dataCentre, const SpillSettings& settings)
{
    return dataCentre.load.callMillis > 0 ? dataCentre.load.callMillis : settings.defaultCallMillis;
}

// The part of a data centre's free room that the node of this rank may use. The parts of all nodes that may send there
// add up to the room at most.
std::uint32_t partOfRoom(std::uint64_t room, const DataCentreLoad& target, const DataCentreLoad& here,
    const std::vector<DataCentreLoad>& dataCentres, std::uint32_t rank)
{
    std::uint64_t senders = 0;
    for (const DataCentreLoad& origin : dataCentres)
        senders += origin.dataCentre != target.dataCentre ? origin.nodes : 0;
    if (here.nodes == 0 || senders == 0)
        return 0;
    auto ofDataCentre = static_cast<std::uint32_t>(room * here.nodes / senders);
    return ofDataCentre / here.nodes + (rank < ofDataCentre % here.nodes ? 1 : 0);
}

std::uint32_t keptIn(const std::string& dataCentre, const std::vector<KeptCalls>& kept)
{
    for (const KeptCalls& entry : kept) {
        if (entry.dataCentre == dataCentre)
            return entry.limit;
    }
    return 0;
}

// Number of calls that this node may have in the target. Above its fillable load all senders withdraw in proportion to
// what they have there.
std::uint32_t limitFor(
    const DataCentreLoad& target, const DataCentreLoad& here, const SpillInput& input, const SpillSettings& settings)
{
    std::int64_t room = roomOf(target, input.dataCentres, settings);
    std::uint32_t kept = keptIn(target.dataCentre, input.kept);
    if (room >= 0)
        return kept + partOfRoom(static_cast<std::uint64_t>(room), target, here, input.dataCentres, input.rank);
    double taken = takenBy(target, input.dataCentres);
    return static_cast<std::uint32_t>(kept * std::max(0.0, 1 + static_cast<double>(room) / std::max(1.0, taken)));
}

bool wasTarget(const SpillDecision& last, const std::string& dataCentre)
{
    return std::any_of(last.targets.begin(), last.targets.end(),
        [&dataCentre](const SpillTarget& target) { return target.dataCentre == dataCentre; });
}

// Returns the data centres that calls may leave for. Sets `reason` if one is left out for lack of room or of knowledge.
std::vector<SpillTarget> findTargets(const SpillDecision& last, const SpillInput& input, const DataCentreLoad& here,
    double waitHere, const SpillSettings& settings, SpillReason& reason)
{
    std::vector<SpillTarget> targets;
    double way = wayMillis(input.size, settings);
    for (const DataCentreLoad& there : input.dataCentres) {
        if (there.dataCentre == here.dataCentre || there.slots == 0)
            continue;
        if (!isFresh(there, settings)) {
            if (waitHere - way > settings.startMillis)
                reason = SpillReason::OldKnowledge;
            continue;
        }
        double callsThere = there.load.running + there.load.waiting + takenBy(there, input.dataCentres);
        double gain = waitHere - waitMillis(there, callsThere, settings) - way;
        bool continues = wasTarget(last, there.dataCentre);
        if (gain <= (continues ? settings.stopMillis : settings.startMillis))
            continue;
        reason = SpillReason::NoRoom;
        if (sendsCalls(there))
            continue;
        std::uint32_t limit = limitFor(there, here, input, settings);
        if (limit > 0)
            targets.push_back({ there.dataCentre, limit, gain });
    }
    std::sort(targets.begin(), targets.end(), [](const SpillTarget& left, const SpillTarget& right) {
        return left.gainMillis != right.gainMillis ? left.gainMillis > right.gainMillis
                                                   : left.dataCentre < right.dataCentre;
    });
    return targets;
}

SpillDecision stay(SpillDecision next, SpillReason reason)
{
    next.share = 0;
    next.targets.clear();
    next.reason = reason;
    return next;
}

} // namespace

double demandOf(const DataCentreLoad& dataCentre)
{
    double refused
        = std::min<double>(dataCentre.slots, dataCentre.load.refusals * dataCentre.load.callMillis / millisPerSecond);
    return dataCentre.load.running + dataCentre.load.waiting + sentBy(dataCentre) + refused;
}

double waitMillis(const DataCentreLoad& dataCentre, double calls, const SpillSettings& settings)
{
    double excess = calls - settings.comfortableLoad * dataCentre.slots;
    return std::max(0.0, excess) / std::max<double>(1, dataCentre.slots) * callMillis(dataCentre, settings);
}

double wayMillis(const CallSize& size, const SpillSettings& settings)
{
    return settings.crossingMillis + size.bytes / bytesPerMegabyte * settings.millisPerMegabyte
        + size.promptTokens / settings.prefillTokensPerMilli;
}

std::int64_t roomOf(
    const DataCentreLoad& target, const std::vector<DataCentreLoad>& dataCentres, const SpillSettings& settings)
{
    std::int64_t calls = std::int64_t(target.load.running) + target.load.waiting + takenBy(target, dataCentres);
    return static_cast<std::int64_t>(settings.fillableLoad * target.slots) - calls;
}

SpillDecision decideSpill(
    const SpillDecision& last, const SpillInput& input, const SpillSettings& settings, TimePoint now)
{
    SpillDecision next = last;
    const DataCentreLoad* here = find(input.dataCentres, input.dataCentre);
    if (here == nullptr || !isFresh(*here, settings))
        return stay(next, SpillReason::OldKnowledge);
    bool isNews = input.observedAt > last.observedAt;
    next.observedAt = std::max(last.observedAt, input.observedAt);
    if (takesFreshCalls(*here, input.dataCentres, settings))
        next.tookAt = now;
    if (next.tookAt > now - settings.roleChangePause)
        return stay(next, SpillReason::TakesCalls);
    double demand = demandOf(*here);
    next.waitMillis = waitMillis(*here, demand, settings);
    next.reason = SpillReason::NoNeed;
    next.targets = findTargets(last, input, *here, next.waitMillis, settings, next.reason);
    if (next.targets.empty())
        return stay(next, next.reason);
    next.reason = SpillReason::Pays;
    double excess = demand - settings.comfortableLoad * here->slots;
    double wanted = std::clamp(excess / std::max(1.0, demand), 0.0, 1.0);
    if (isNews || wanted < last.share)
        next.share = std::clamp(wanted, last.share - settings.shareStep, last.share + settings.shareStep);
    return next;
}

} // namespace lovagecross
