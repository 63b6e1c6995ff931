#include "lovagecross/scheduling/ProgramAdmission.h"

#include <utility>

namespace lovagecross {

ProgramAdmission::ProgramAdmission(const Clock& givenClock, GateSettings settings)
    : clock(givenClock)
{
    this->gate.settings = settings;
}

GateDecision ProgramAdmission::ask(const NewProgram& program)
{
    std::lock_guard lock(this->mutex);
    return askToBegin(this->gate, program, this->clock.now());
}

void ProgramAdmission::leave(const std::string& id)
{
    std::lock_guard lock(this->mutex);
    stopWaiting(this->gate, id);
}

ProgramLoad ProgramAdmission::report(const std::string& node, std::uint32_t calls)
{
    std::lock_guard lock(this->mutex);
    ProgramLoad load { node, calls, {} };
    for (auto& [tenant, programs] : greatestUses(this->gate.usage, maxReportedTenants, this->clock.now()))
        load.begun.push_back({ tenant, programs });
    return load;
}

void ProgramAdmission::learn(const FleetShare& fleet, double slots)
{
    if (fleet.nodes == 0)
        return;
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    if (fleet.nodes >= this->mostNodes || now - this->mostNodesAt > nodeCountMemory) {
        this->mostNodes = fleet.nodes;
        this->mostNodesAt = now;
    }
    FleetLoad load;
    load.calls = static_cast<double>(fleet.calls) * this->mostNodes / fleet.nodes;
    load.slots = slots;
    load.nodes = this->mostNodes;
    load.excessTenants.insert(fleet.excessTenants.begin(), fleet.excessTenants.end());
    learnLoad(this->gate, load, now);
}

} // namespace lovagecross
