#pragma once

// Decides whether a program may start on a shared budget that expires. Tokens spent on a program that can't finish
// before the expiry are wasted, and tokens left over at the expiry are lost.
//
//     StartDecision decision = decideStart({ budgetTokens, expectedMillis, urgent }, outlook, settings, nowUnixMillis);
//     if (decision.verdict != StartVerdict::Start)
//         ... refuse with "not run" and decision.retryAfterMillis (0: a retry can't succeed)
//
// Thread safety: thread-safe; free functions without shared state.

#include "lovagecross/base/NameTable.h"

#include <cstdint>

namespace lovagecross {

struct PacingSettings {
    double maxPace = 2; // non-urgent programs don't start while `pace` is above this
    std::int64_t holdBackMillis = 5000; // retry delay for programs that are held back
};

struct BudgetOutlook {
    std::uint64_t availableTokens = 0; // from SliceAccount::available
    std::uint64_t remainingTokens = 0; // unspent tokens of either the whole budget or the slice
    double tokensPerSecond = 0; // recent spending rate, of the same scope as remainingTokens
    std::int64_t expiresUnixMillis = 0; // 0: never
};

struct StartRequest {
    std::uint64_t budgetTokens = 0;
    std::int64_t expectedMillis = 0; // expected duration of such a program, for example the 95th percentile
    bool urgent = false; // the program is never held back because of the pace
};

enum class StartVerdict {
    Start,
    TooLate, // the program can't finish before the expiry
    NotEnough, // the slice has too few available tokens; the holder should draw more
    HoldBack, // at the current pace, the budget is used up well before the expiry
};

inline constexpr NameTable<StartVerdict, 4> startVerdictNames { { {
    { StartVerdict::Start, "start" },
    { StartVerdict::TooLate, "too_late" },
    { StartVerdict::NotEnough, "not_enough" },
    { StartVerdict::HoldBack, "hold_back" },
} } };

struct StartDecision {
    StartVerdict verdict = StartVerdict::Start;
    std::int64_t retryAfterMillis = 0;
};

// Whether a program that needs `expectedMillis` can finish before the expiry.
bool mayStart(std::int64_t expiresUnixMillis, std::int64_t expectedMillis, std::int64_t nowUnixMillis);

// The recent spending rate divided by the constant rate that would use the budget up exactly at the expiry. Below 1,
// tokens will be left over and more programs should be admitted; above 1, the budget is used up before the expiry.
// Returns 1 for a budget without expiry, and 0 if it has expired or is used up.
double pace(const BudgetOutlook& outlook, std::int64_t nowUnixMillis);

StartDecision decideStart(const StartRequest& request, const BudgetOutlook& outlook, const PacingSettings& settings,
    std::int64_t nowUnixMillis);

} // namespace lovagecross
