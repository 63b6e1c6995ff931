#pragma once

// Errors as values. A function that can fail returns `Result<T>` (a boost::leaf::result) and reports an `Error`:
//
//     Result<int> parsePort(std::string_view text)
//     {
//         ...
//         return fail(ErrorCode::BadRequest, "port", "must be between 1 and 65535");
//     }
//
//     int port = handle([&]() -> Result<int> { return parsePort(text); },
//         [&](const Error& error) { report(error); return 0; });
//
// LEAF stores the error object in the error handler that is active on the current thread, so a `Result` must be
// consumed in the call stack that created it and never be stored or passed to another thread. State that outlives the
// call holds an `Error`.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace lovagecross {

enum class ErrorCode {
    BadRequest,
    Unauthorized,
    Forbidden,
    UnknownProgram,
    ProgramEnded,
    RequestIdConflict,
    BudgetExceeded,
    Overloaded,
    NotOwner,
    Unavailable,
    OutcomeUnknown,
    DeadlineExceeded,
    Quarantined,
    TooLarge,
    VersionConflict,
    NotFound,
    CorruptData,
    BackendFailed,
    Internal,
};

inline constexpr NameTable<ErrorCode, 19> errorCodeNames { { {
    { ErrorCode::BadRequest, "bad_request" },
    { ErrorCode::Unauthorized, "unauthorized" },
    { ErrorCode::Forbidden, "forbidden" },
    { ErrorCode::UnknownProgram, "unknown_program" },
    { ErrorCode::ProgramEnded, "program_ended" },
    { ErrorCode::RequestIdConflict, "request_id_conflict" },
    { ErrorCode::BudgetExceeded, "budget_exceeded" },
    { ErrorCode::Overloaded, "overloaded" },
    { ErrorCode::NotOwner, "not_owner" },
    { ErrorCode::Unavailable, "unavailable" },
    { ErrorCode::OutcomeUnknown, "outcome_unknown" },
    { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
    { ErrorCode::Quarantined, "quarantined" },
    { ErrorCode::TooLarge, "too_large" },
    { ErrorCode::VersionConflict, "version_conflict" },
    { ErrorCode::NotFound, "not_found" },
    { ErrorCode::CorruptData, "corrupt_data" },
    { ErrorCode::BackendFailed, "backend_failed" },
    { ErrorCode::Internal, "internal" },
} } };

// Whether the request behind an error reached a backend server.
enum class RunState {
    NotRun, // no byte was sent to a backend server, or the backend server confirmed that it did nothing
    Unknown,
    Run,
};

inline constexpr NameTable<RunState, 3> runStateNames { { {
    { RunState::NotRun, "no" },
    { RunState::Unknown, "unknown" },
    { RunState::Run, "yes" },
} } };

struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::string field; // path of the invalid field, such as `ranks[1].floorPercent`; empty if there is none
    RunState run = RunState::NotRun;
    Duration retryAfter { 0 }; // suggested delay before a retry; 0: unspecified
};

template <typename T> using Result = boost::leaf::result<T>;

inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

inline boost::leaf::error_id fail(ErrorCode code, std::string field, std::string message)
{
    return boost::leaf::new_error(Error { code, std::move(message), std::move(field), RunState::NotRun, Duration(0) });
}

// Runs `body`, which returns Result<T>. Returns its value or, on failure, the result of `onError(const Error&)`, also
// a T. An exception thrown by a library is passed to `onError` as ErrorCode::Internal with the text of the exception.
template <typename Body, typename OnError> auto handle(Body&& body, OnError&& onError)
{
    auto internal = [](std::string message) {
        return Error { ErrorCode::Internal, std::move(message), {}, RunState::Unknown, Duration(0) };
    };
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Error& error) { return onError(error); },
        [&](boost::leaf::catch_<std::exception> caught) { return onError(internal(caught.matched.what())); },
        [&] { return onError(internal("error without a description")); });
}

} // namespace lovagecross
