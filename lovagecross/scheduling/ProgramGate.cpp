#include "lovagecross/scheduling/ProgramGate.h"

#include <algorithm>
#include <tuple>

namespace lovagecross {

namespace {

constexpr double maxSavedRoom = 1; // programs of a class that may begin by the room of earlier loads
constexpr double maxOwedRoom = 1; // programs of a class by which its room may be negative after others have begun

std::size_t indexOf(ProgramClass programClass)
{
    return static_cast<std::size_t>(programClass);
}

ProgramClass classOf(const ProgramGate& gate, const NewProgram& program)
{
    if (gate.load && gate.load->excessTenants.count(program.tenant) > 0)
        return ProgramClass::Excess;
    return program.priority == 0 ? ProgramClass::Urgent : ProgramClass::Other;
}

auto orderOf(const ProgramGate& gate, const ProgramGate::Waiting& waiting, TimePoint now)
{
    double use = usageOf(gate.usage, waiting.program.tenant, now);
    return std::make_tuple(classOf(gate, waiting.program), use, waiting.since, waiting.program.id);
}

bool isFirst(const ProgramGate& gate, const ProgramGate::Waiting& own, TimePoint now)
{
    auto ownOrder = orderOf(gate, own, now);
    return std::none_of(gate.waiting.begin(), gate.waiting.end(),
        [&](const auto& entry) { return orderOf(gate, entry.second, now) < ownOrder; });
}

void begin(ProgramGate& gate, const NewProgram& program, TimePoint now)
{
    gate.waiting.erase(program.id);
    addUsage(gate.usage, program.tenant, 1 / program.weight, now);
    for (double& room : gate.room)
        room = std::max(-maxOwedRoom, room - 1);
}

Duration roomIn(const GateDecision& decision, double limit)
{
    double overload = limit > 0 ? decision.fill / limit : 1;
    auto expected = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(minRoomIn) * overload);
    return std::clamp(expected, minRoomIn, maxRoomIn);
}

} // namespace

void learnLoad(ProgramGate& gate, const FleetLoad& load, TimePoint now)
{
    double part = 1;
    if (gate.load)
        part = std::clamp(std::chrono::duration<double>(now - gate.loadAt) / gate.settings.loadInterval, 0.0, 1.0);
    gate.load = load;
    gate.loadAt = now;
    for (std::size_t i = 0; i < programClasses; ++i) {
        double left = std::max(0.0, gate.settings.limits[i] * load.slots - load.calls);
        double share = left / static_cast<double>(std::max<std::size_t>(1, load.nodes));
        gate.room[i] = std::min(gate.room[i] + share * part, share + maxSavedRoom);
    }
}

GateDecision askToBegin(ProgramGate& gate, const NewProgram& program, TimePoint now)
{
    std::erase_if(gate.waiting, [now](const auto& entry) { return now - entry.second.askedAt > maxSilence; });
    GateDecision decision;
    decision.tenantUse = usageOf(gate.usage, program.tenant, now);
    decision.programClass = classOf(gate, program);
    if (!gate.load || now - gate.loadAt > loadLifetime || gate.load->slots <= 0) {
        begin(gate, program, now);
        return decision;
    }
    decision.fill = gate.load->calls / gate.load->slots;
    auto known = gate.waiting.find(program.id);
    ProgramGate::Waiting own { program, known == gate.waiting.end() ? now : known->second.since, now };
    if (gate.room[indexOf(decision.programClass)] >= 1 && isFirst(gate, own, now)) {
        begin(gate, program, now);
        return decision;
    }
    auto mayWait = std::chrono::duration_cast<Duration>(program.timeLeft * gate.settings.waitShare);
    bool full = gate.waiting.size() >= maxWaitingPrograms && known == gate.waiting.end();
    if (full || now - own.since >= mayWait) {
        gate.waiting.erase(program.id);
        decision.outcome = GateOutcome::Refused;
        decision.roomIn = roomIn(decision, gate.settings.limits[indexOf(decision.programClass)]);
        return decision;
    }
    decision.outcome = GateOutcome::Waits;
    decision.askAgainIn = gateRetryInterval;
    gate.waiting[program.id] = own;
    return decision;
}

void stopWaiting(ProgramGate& gate, const std::string& id)
{
    gate.waiting.erase(id);
}

} // namespace lovagecross
