#pragma once

// Exit codes of lovagectl. Scripts rely on these numbers: they are documented in `--help` and must not change.

#include "lovagecross/base/Error.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace lovagecross {

enum class ExitCode {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    NotFound = 3,
    Conflict = 4,
    Unreachable = 5,
};

// Error of lovagectl that carries its exit code. An Error leads to ExitCode::Failed.
struct CtlFailure {
    ExitCode exitCode = ExitCode::Failed;
    std::string message;
};

inline boost::leaf::error_id failWith(ExitCode exitCode, std::string message)
{
    return boost::leaf::new_error(CtlFailure { exitCode, std::move(message) });
}

} // namespace lovagecross
