#pragma once

// The gate for new programs of an entry node, and the load that the node reports to record nodes.
//
//     ProgramAdmission admission(clock, settings);
//     ProgramLoad own = admission.report(node, calls);   // with each fetch of the directory
//     admission.learn(update.fleet, slots);              // with each answer
//     GateDecision decision = admission.ask(program);
//
// A record node that only a part of the entry nodes reaches knows only the calls of these. The load is scaled up to the
// greatest number of nodes that an answer has named within `nodeCountMemory`, so that this part of the nodes doesn't
// get the room of all.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/ports/Peer.h"
#include "lovagecross/scheduling/NewPrograms.h"

#include <cstdint>
#include <mutex>

namespace lovagecross {

class ProgramAdmission final : public NewPrograms {
public:
    explicit ProgramAdmission(const Clock& givenClock, GateSettings settings = {});

    GateDecision ask(const NewProgram& program) override;
    void leave(const std::string& id) override;

    // `calls` of this node that run on engines.
    ProgramLoad report(const std::string& node, std::uint32_t calls);

    // `slots` of the engines that the nodes' calls go to. A share of no nodes is ignored.
    void learn(const FleetShare& fleet, double slots);

    static constexpr Duration nodeCountMemory = std::chrono::seconds(10);

private:
    const Clock& clock;
    std::mutex mutex;
    ProgramGate gate;
    std::uint32_t mostNodes = 0; // that an answer has named within `nodeCountMemory`
    TimePoint mostNodesAt;
};

} // namespace lovagecross
