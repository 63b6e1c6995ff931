#include "lovagecross/spill/SpillControl.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <cmath>

namespace lovagecross {

namespace {

constexpr double sizeWeight = 0.05; // of the newest call in the moving averages
constexpr double loggedShareStep = 0.1;
constexpr double hashRange = 18446744073709551616.0; // 2^64

// Maps a hash to the range from 0 to 1; hashes whose high bits are alike are spread over it.
double drawOf(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>(hash ^ (hash >> 31U)) / hashRange;
}

std::uint32_t slotsOf(const SlotTable& slots, const std::string& service, const std::string& dataCentre)
{
    auto found = slots.find(service);
    if (found == slots.end())
        return 0;
    auto entry = found->second.find(dataCentre);
    return entry != found->second.end() ? entry->second : 0;
}

// Merges calls counted by their permits into those counted at their servers. Each may lack calls that the other has, so
// the greater number counts.
void merge(std::vector<SentCalls>& list, const SentCalls& sent)
{
    if (sent.running == 0 && sent.reserved == 0)
        return;
    auto found = std::find_if(
        list.begin(), list.end(), [&sent](const SentCalls& entry) { return entry.dataCentre == sent.dataCentre; });
    if (found == list.end()) {
        list.push_back(sent);
        return;
    }
    found->running = std::max(found->running, sent.running);
    found->reserved = sent.reserved;
}

} // namespace

SpillPermit::SpillPermit(SpillControl& givenOwner, std::string givenService, std::string givenDataCentre)
    : owner(&givenOwner)
    , service(std::move(givenService))
    , target(std::move(givenDataCentre))
{
}

SpillPermit::~SpillPermit()
{
    if (this->owner != nullptr)
        this->owner->end(this->service, this->target);
}

SpillPermit::SpillPermit(SpillPermit&& other) noexcept
    : owner(std::exchange(other.owner, nullptr))
    , service(std::move(other.service))
    , target(std::move(other.target))
{
}

SpillPermit& SpillPermit::operator=(SpillPermit&& other) noexcept
{
    std::swap(this->owner, other.owner);
    std::swap(this->service, other.service);
    std::swap(this->target, other.target);
    return *this;
}

SpillControl::SpillControl(SpillNode ownNode, const Clock& givenClock, Counters& counters, SpillSettings spillSettings)
    : node(std::move(ownNode))
    , clock(givenClock)
    , settings(spillSettings)
    , permitted(counters.counter("spill.permitted"))
    , keptAtLimit(counters.counter("spill.keptAtLimit"))
    , changes(counters.counter("spill.changes"))
{
}

NodeLoad SpillControl::report(std::vector<ServiceLoad> loads)
{
    std::lock_guard lock(this->mutex);
    for (ServiceLoad& load : loads) {
        auto found = this->services.find(load.service);
        if (found == this->services.end())
            continue;
        for (const auto& [dataCentre, target] : found->second.targets)
            merge(load.sent, { dataCentre, target.running.current(), target.limit.current() });
    }
    return { this->node.name, this->node.dataCentre, std::move(loads) };
}

void SpillControl::learn(
    const std::vector<LoadSummary>& summaries, std::uint32_t ownRank, Duration onTheWay, const SlotTable& slots)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->rank = ownRank;
    this->learnedAt = now;
    for (auto& [name, service] : this->services)
        service.dataCentres.clear();
    for (const LoadSummary& summary : summaries) {
        if (this->services.size() >= maxServices && this->services.count(summary.load.service) == 0)
            continue;
        Service& service = this->services[summary.load.service];
        if (service.nodes.size() >= maxDataCentres && service.nodes.count(summary.dataCentre) == 0)
            continue;
        bool steady = isSteady(service.nodes[summary.dataCentre], summary.nodes, now);
        service.dataCentres.push_back(
            { summary.dataCentre, 0, summary.load, summary.nodes, summary.age + onTheWay, steady });
    }
    for (auto& [name, service] : this->services)
        this->decide(name, service, slots, now);
}

bool SpillControl::isSteady(NodeCount& count, std::uint32_t nodes, TimePoint now)
{
    count.lowest.set(nodes, now);
    count.highest.set(nodes, now);
    std::uint32_t change = count.highest.since(now - steadyFor, now) - count.lowest.since(now - steadyFor, now);
    return change * steadyDivisor <= nodes;
}

void SpillControl::step(const SlotTable& slots)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (auto& [name, service] : this->services)
        this->decide(name, service, slots, now);
}

SpillInput SpillControl::inputOf(Service& service, TimePoint now) const
{
    SpillInput input;
    input.dataCentre = this->node.dataCentre;
    input.rank = this->rank;
    input.dataCentres = service.dataCentres;
    input.size = service.size;
    Duration oldestFresh { 0 };
    for (DataCentreLoad& entry : input.dataCentres) {
        entry.age += now - this->learnedAt;
        if (entry.age <= this->settings.maxSummaryAge)
            oldestFresh = std::max(oldestFresh, entry.age);
    }
    input.observedAt = this->learnedAt;
    for (auto& [dataCentre, target] : service.targets) {
        std::uint32_t reported = target.limit.since(now - oldestFresh - reportTransit, now);
        input.kept.push_back({ dataCentre, std::min(reported, target.running.since(now - usedWithin, now)) });
    }
    return input;
}

void SpillControl::decide(const std::string& name, Service& service, const SlotTable& slots, TimePoint now)
{
    for (DataCentreLoad& entry : service.dataCentres)
        entry.slots = slotsOf(slots, name, entry.dataCentre);
    service.decision = decideSpill(service.decision, this->inputOf(service, now), this->settings, now);
    std::map<std::string, std::uint32_t> limits;
    for (const SpillTarget& target : service.decision.targets)
        limits[target.dataCentre] = target.limit;
    for (auto& [dataCentre, target] : service.targets)
        target.limit.set(limits[dataCentre], now);
    for (const auto& [dataCentre, limit] : limits) {
        if (limit > 0 && service.targets.count(dataCentre) == 0)
            service.targets[dataCentre].limit.set(limit, now);
    }
    this->log(name, service, now);
}

SpillPermit SpillControl::mayLeave(const std::string& name, std::uint64_t hash, const CallSize& size)
{
    std::lock_guard lock(this->mutex);
    auto found = this->services.find(name);
    if (found == this->services.end())
        return {};
    Service& service = found->second;
    service.size.bytes += (size.bytes - service.size.bytes) * sizeWeight;
    service.size.promptTokens += (size.promptTokens - service.size.promptTokens) * sizeWeight;
    if (drawOf(hash) >= service.decision.share)
        return {};
    TimePoint now = this->clock.now();
    for (const SpillTarget& target : service.decision.targets) {
        RecentMaximum& running = service.targets[target.dataCentre].running;
        if (running.current() >= target.limit)
            continue;
        running.set(running.current() + 1, now);
        this->permitted.add();
        return { *this, name, target.dataCentre };
    }
    this->keptAtLimit.add();
    return {};
}

void SpillControl::end(const std::string& name, const std::string& dataCentre)
{
    std::lock_guard lock(this->mutex);
    RecentMaximum& running = this->services[name].targets[dataCentre].running;
    running.set(running.current() - 1, this->clock.now());
}

SpillDecision SpillControl::decisionOf(const std::string& name) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->services.find(name);
    return found != this->services.end() ? found->second.decision : SpillDecision();
}

void SpillControl::log(const std::string& name, Service& service, TimePoint now) const
{
    const SpillDecision& decision = service.decision;
    bool begins = service.loggedShare == 0 && decision.share > 0;
    bool ends = service.loggedShare > 0 && decision.share == 0;
    if (!begins && !ends && std::abs(decision.share - service.loggedShare) < loggedShareStep)
        return;
    if (service.loggedAt > now - logInterval)
        return;
    this->changes.add();
    service.loggedAt = now;
    service.loggedShare = decision.share;
    std::uint32_t limit = 0;
    for (const SpillTarget& target : decision.targets)
        limit += target.limit;
    LogLine(LogLevel::Info, "spill_share")
        .field("service", name)
        .field("share", decision.share)
        .field("why", spillReasonNames.name(decision.reason))
        .field("to", decision.targets.empty() ? std::string() : decision.targets.front().dataCentre)
        .field("targets", decision.targets.size())
        .field("limit", limit)
        .field("waitMs", decision.waitMillis)
        .field("gainMs", decision.targets.empty() ? 0.0 : decision.targets.front().gainMillis)
        .write();
}

} // namespace lovagecross
