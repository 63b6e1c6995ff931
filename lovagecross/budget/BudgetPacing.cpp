#include "lovagecross/budget/BudgetPacing.h"

namespace lovagecross {

namespace {

constexpr std::int64_t drawRetryMillis = 500; // drawing more tokens takes a read and a write at the platform

} // namespace

bool mayStart(std::int64_t expiresUnixMillis, std::int64_t expectedMillis, std::int64_t nowUnixMillis)
{
    if (expiresUnixMillis == 0)
        return true;
    return nowUnixMillis < expiresUnixMillis && expectedMillis <= expiresUnixMillis - nowUnixMillis;
}

double pace(const BudgetOutlook& outlook, std::int64_t nowUnixMillis)
{
    constexpr double millisPerSecond = 1000;
    if (outlook.expiresUnixMillis == 0)
        return 1;
    if (nowUnixMillis >= outlook.expiresUnixMillis || outlook.remainingTokens == 0)
        return 0;
    double secondsLeft = static_cast<double>(outlook.expiresUnixMillis - nowUnixMillis) / millisPerSecond;
    return outlook.tokensPerSecond * secondsLeft / static_cast<double>(outlook.remainingTokens);
}

StartDecision decideStart(const StartRequest& request, const BudgetOutlook& outlook, const PacingSettings& settings,
    std::int64_t nowUnixMillis)
{
    if (!mayStart(outlook.expiresUnixMillis, request.expectedMillis, nowUnixMillis))
        return { StartVerdict::TooLate, 0 };
    if (request.budgetTokens > outlook.remainingTokens)
        return { StartVerdict::NotEnough, 0 };
    if (request.budgetTokens > outlook.availableTokens)
        return { StartVerdict::NotEnough, drawRetryMillis };
    bool tooFast = outlook.expiresUnixMillis != 0 && pace(outlook, nowUnixMillis) > settings.maxPace;
    if (tooFast && !request.urgent)
        return { StartVerdict::HoldBack, settings.holdBackMillis };
    return { StartVerdict::Start, 0 };
}

} // namespace lovagecross
