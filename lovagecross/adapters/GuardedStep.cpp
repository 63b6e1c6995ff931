#include "lovagecross/adapters/GuardedStep.h"

#include "lovagecross/adapters/Log.h"

#include <exception>

namespace lovagecross {

bool runGuarded(std::string_view threadName, const std::function<void()>& step)
{
    try {
        step();
        return true;
    } catch (const std::exception& error) {
        LogLine(LogLevel::Error, "background_step_failed")
            .field("thread", threadName)
            .field("error", error.what())
            .write();
        return false;
    }
}

} // namespace lovagecross
