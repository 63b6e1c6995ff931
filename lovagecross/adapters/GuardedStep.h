#pragma once

// Keeps an unexpected exception of one step of a background thread from ending the process.
//
//     if (!runGuarded("records", [&] { this->maintain(); }))
//         ... pause before the next step ...
//
// Thread safety: may be called from any thread.

#include <functional>
#include <string_view>

namespace lovagecross {

// Runs `step`. If it throws, writes the log line `background_step_failed` with the name of the thread and returns
// false.
bool runGuarded(std::string_view threadName, const std::function<void()>& step);

} // namespace lovagecross
