#pragma once

// Decides which calls of this node leave its data centre: applies `decideSpill` to the loads that record nodes name,
// and counts the calls that have left.
//
//     SpillControl spill({ node, dataCentre }, clock, counters);
//     fetch.load = spill.report(loads);                       // with each fetch of the directory
//     spill.learn(update.loads, update.loadRank, onTheWay, slots);
//     spill.step(slots);                                      // several times a second
//     SpillPermit permit = spill.mayLeave(service, hash, size);
//     if (permit) ... use a server of permit.dataCentre(), and keep the permit until the call has ended ...
//
// Whether a call is part of the share follows from its hash, which all turns of a conversation have in common: they
// leave together as long as the share doesn't fall.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/spill/DataCentrePolicy.h"
#include "lovagecross/spill/RecentValues.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross {

// Slots of the ready servers, by service and data centre.
using SlotTable = std::map<std::string, std::map<std::string, std::uint32_t>>;

class SpillControl;

// Counts a call that may leave until it is destroyed. Empty if the call may not leave.
class SpillPermit {
public:
    SpillPermit() = default;
    SpillPermit(SpillControl& givenOwner, std::string givenService, std::string givenDataCentre);
    ~SpillPermit();
    SpillPermit(SpillPermit&& other) noexcept;
    SpillPermit& operator=(SpillPermit&& other) noexcept;
    SpillPermit(const SpillPermit&) = delete;
    SpillPermit& operator=(const SpillPermit&) = delete;

    explicit operator bool() const { return this->owner != nullptr; }
    const std::string& dataCentre() const { return this->target; }

private:
    SpillControl* owner = nullptr;
    std::string service;
    std::string target;
};

struct SpillNode {
    std::string name;
    std::string dataCentre;
};

class SpillControl {
public:
    SpillControl(SpillNode ownNode, const Clock& givenClock, Counters& counters, SpillSettings spillSettings = {});

    // Completes this node's load, as counted at its servers, for the record nodes.
    NodeLoad report(std::vector<ServiceLoad> services);

    // `onTheWay` is the time from the request until the answer arrived.
    void learn(
        const std::vector<LoadSummary>& summaries, std::uint32_t ownRank, Duration onTheWay, const SlotTable& slots);

    // Decides again on the summaries that are known, by their present age.
    void step(const SlotTable& slots);

    // `hash` is that of the conversation. The permit is empty if the call has to stay.
    SpillPermit mayLeave(const std::string& service, std::uint64_t hash, const CallSize& size);

    // The default decision for a service that isn't known.
    SpillDecision decisionOf(const std::string& service) const;

    static constexpr std::size_t maxServices = 64; // calls of further ones don't leave
    static constexpr Duration logInterval = std::chrono::seconds(1); // between two lines about a service
    static constexpr Duration usedWithin = std::chrono::seconds(1); // a limit is kept only as far as it was used then
    // A number of nodes is steady if it has changed by at most 1 / `steadyDivisor` within `steadyFor`.
    static constexpr Duration steadyFor = std::chrono::milliseconds(1500);
    static constexpr std::uint32_t steadyDivisor = 8;
    static constexpr std::size_t maxDataCentres = 64; // of a service; further ones are ignored
    static constexpr Duration reportTransit
        = std::chrono::milliseconds(200); // from the report of a load to its receipt

private:
    friend class SpillPermit;

    struct Target {
        RecentMaximum running; // permits that exist
        RecentMinimum limit;
    };

    // Entry nodes of a data centre.
    struct NodeCount {
        RecentMinimum lowest;
        RecentMaximum highest;
    };

    struct Service {
        std::vector<DataCentreLoad> dataCentres; // ages as of `learnedAt`
        SpillDecision decision;
        CallSize size;
        std::map<std::string, Target> targets; // by data centre
        std::map<std::string, NodeCount> nodes; // by data centre
        TimePoint loggedAt = TimePoint::min();
        double loggedShare = 0;
    };

    void end(const std::string& service, const std::string& dataCentre);
    static bool isSteady(NodeCount& count, std::uint32_t nodes, TimePoint now);
    void decide(const std::string& name, Service& service, const SlotTable& slots, TimePoint now);
    SpillInput inputOf(Service& service, TimePoint now) const;
    void log(const std::string& name, Service& service, TimePoint now) const;

    const SpillNode node;
    const Clock& clock;
    const SpillSettings settings;
    Counter& permitted; // calls that may leave
    Counter& keptAtLimit; // calls that stayed because this node's limits in all targets were reached
    Counter& changes; // of a share, as logged
    mutable std::mutex mutex;
    std::map<std::string, Service> services;
    std::uint32_t rank = 0; // of this node, see `SpillInput`
    TimePoint learnedAt; // when the newest summaries arrived
};

} // namespace lovagecross
