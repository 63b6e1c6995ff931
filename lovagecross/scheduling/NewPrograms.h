#pragma once

// Interface of the gateway to the decision whether a new program may begin. Implemented by `ProgramAdmission`; tests
// use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/scheduling/ProgramGate.h"

#include <string>

namespace lovagecross {

class NewPrograms {
public:
    virtual ~NewPrograms() = default;

    // Doesn't block, and sends no message. A program that is to wait asks again, with the same id.
    virtual GateDecision ask(const NewProgram& program) = 0;

    // Must be called for a program that waits and won't ask again. Has no effect on others.
    virtual void leave(const std::string& id) = 0;
};

} // namespace lovagecross
