#include "lovagecross/gateway/CallRunner.h"

// New programs that wait at this node until the engines can take them.

#include <algorithm>

namespace lovagecross {

// Whether the call is the first one of a program, as far as the call itself says.
bool CallRunner::beginsProgram(const Route& found) const
{
    return this->servedByEngine && found.kind == RouteKind::Streaming && !this->call.program.empty()
        && this->call.previousTurn.empty() && !this->isTakeUp();
}

NewProgram CallRunner::newProgram(const Route& found) const
{
    NewProgram program;
    program.id = this->scoped(this->call.requestId);
    program.priority = this->priorityOn(found);
    if (this->tenant != nullptr)
        program.tenant = this->tenant->name;
    program.timeLeft = std::min(this->call.programTimeLeft.value_or(this->timeLeft()), this->timeLeft());
    return program;
}

// Returns how the call ended, or nullopt if it may go on.
std::optional<AfterCall> CallRunner::waitToBegin(const Route& found)
{
    if (this->parts.newPrograms == nullptr || !this->beginsProgram(found))
        return std::nullopt;
    const NewProgram program = this->newProgram(found);
    TimePoint since = this->parts.clock.now();
    this->gateDecision = this->parts.newPrograms->ask(program);
    if (this->gateDecision->outcome == GateOutcome::Waits)
        this->parts.counters.programsHeldBack.add();
    while (this->gateDecision->outcome == GateOutcome::Waits) {
        if (!this->waitOrCallerLeaves(this->gateDecision->askAgainIn)) {
            this->parts.newPrograms->leave(program.id);
            this->heldBack = this->parts.clock.now() - since;
            return this->finish(AttemptOutcome::CallerLeft);
        }
        this->gateDecision = this->parts.newPrograms->ask(program);
    }
    this->heldBack = this->parts.clock.now() - since;
    if (this->gateDecision->outcome == GateOutcome::Begins)
        return std::nullopt;
    this->parts.counters.programsRefused.add();
    return this->refuse(503, "the engines are too busy for a new program", this->gateDecision->roomIn);
}

} // namespace lovagecross
