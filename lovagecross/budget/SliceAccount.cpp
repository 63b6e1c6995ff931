#include "lovagecross/budget/SharedBudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::int64_t noExpiryMillis = std::numeric_limits<std::int64_t>::max();
constexpr double millisPerSecond = 1000;

std::uint64_t subtract(std::uint64_t from, std::uint64_t amount)
{
    return from - std::min(from, amount);
}

std::uint64_t wantedByOthers(const BudgetState& budget, const std::string& holder)
{
    std::uint64_t sum = 0;
    for (const BudgetSlice& slice : budget.slices) {
        if (slice.holder != holder)
            sum += slice.wantedTokens;
    }
    return sum;
}

std::uint64_t grantedAboveTotal(const BudgetState& budget)
{
    std::uint64_t granted = 0;
    for (const BudgetSlice& slice : budget.slices)
        granted += slice.grantedTokens;
    return subtract(granted, budget.totalTokens);
}

std::int64_t millisUntilExpiry(const BudgetState& budget, std::int64_t nowUnixMillis)
{
    if (budget.expiresUnixMillis == 0)
        return noExpiryMillis;
    return std::max<std::int64_t>(budget.expiresUnixMillis - nowUnixMillis, 0);
}

std::uint64_t forecastTokens(double tokensPerSecond, std::int64_t millis)
{
    double tokens = std::max(tokensPerSecond, 0.0) * static_cast<double>(millis) / millisPerSecond;
    return static_cast<std::uint64_t>(std::min(tokens, static_cast<double>(maxBudgetTokens)));
}

} // namespace

SliceAccount::SliceAccount(std::string budgetName, std::string holderName, std::uint64_t ownerEpoch, std::string prefix,
    SliceSettings sliceSettings)
    : holder(std::move(holderName))
    , epoch(ownerEpoch)
    , operationPrefix(std::move(prefix))
    , settings(sliceSettings)
{
    this->state.name = std::move(budgetName);
}

void SliceAccount::observed(std::uint64_t readVersion, const BudgetState& budget)
{
    if (readVersion < this->version || this->writing)
        return;
    this->version = readVersion;
    this->state = budget;
    this->readNeeded = false;
    if (!this->pending)
        return;
    const BudgetSlice* slice = findSlice(budget, this->holder);
    bool applied = slice && slice->lastOperation == this->pending->change.operation;
    bool superseded = readVersion != this->pending->expectedVersion;
    if (applied || superseded)
        this->pending.reset();
}

bool SliceAccount::claimed() const
{
    const BudgetSlice* slice = findSlice(this->state, this->holder);
    return slice && slice->epoch == this->epoch;
}

bool SliceAccount::lost() const
{
    const BudgetSlice* slice = findSlice(this->state, this->holder);
    return slice && slice->epoch > this->epoch;
}

std::uint64_t SliceAccount::available(std::uint64_t committedTokens, std::int64_t nowUnixMillis) const
{
    if (!this->claimed() || millisUntilExpiry(this->state, nowUnixMillis) == 0)
        return 0;
    std::uint64_t granted = findSlice(this->state, this->holder)->grantedTokens;
    if (this->pending)
        granted = std::min(granted, this->pending->change.grantedTokens);
    return subtract(granted, committedTokens);
}

std::optional<SliceWrite> SliceAccount::write(SliceWriteReason reason, std::uint64_t granted, std::uint64_t wanted)
{
    SliceWrite next;
    next.reason = reason;
    next.expectedVersion = this->version;
    next.change.operation = this->operationPrefix + "-" + std::to_string(++this->operations);
    next.change.holder = this->holder;
    next.change.epoch = this->epoch;
    next.change.grantedTokens = granted;
    next.change.wantedTokens = wanted;
    bool valid = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(next.budget, applyChange(this->state, next.change));
            return true;
        },
        [](const Error&) { return false; });
    if (!valid)
        return std::nullopt;
    this->pending = next;
    this->writing = true;
    return next;
}

std::optional<SliceWrite> SliceAccount::plan(const SliceDemand& demand, std::int64_t nowUnixMillis)
{
    if (this->readNeeded || this->writing || this->lost())
        return std::nullopt;
    if (this->pending) {
        this->pending->reason = SliceWriteReason::Repeat;
        this->writing = true;
        return this->pending;
    }
    if (!this->claimed()) {
        const BudgetSlice* earlier = findSlice(this->state, this->holder);
        return this->write(SliceWriteReason::Claim, earlier ? earlier->grantedTokens : 0, 0);
    }
    std::int64_t millisLeft = millisUntilExpiry(this->state, nowUnixMillis);
    if (millisLeft == 0)
        return std::nullopt;
    const BudgetSlice slice = *findSlice(this->state, this->holder);
    bool nearExpiry = millisLeft <= this->settings.rebalanceMillis;
    if (auto draw = this->planDraw(demand, slice, nearExpiry))
        return draw;
    return this->planReturn(demand, slice, millisLeft, nearExpiry);
}

std::optional<SliceWrite> SliceAccount::planDraw(const SliceDemand& demand, const BudgetSlice& slice, bool nearExpiry)
{
    std::uint64_t shortfall = subtract(demand.committedTokens + demand.wantedTokens, slice.grantedTokens);
    std::uint64_t free = freeTokens(this->state);
    if (shortfall > 0 && free > 0) {
        // Takes at most half of an equal share in advance, so that draws become smaller as the free tokens run out.
        std::uint64_t halfShare = free / (2 * std::max<std::uint64_t>(this->settings.expectedHolders, 1));
        std::uint64_t advance = nearExpiry ? 0 : std::max(halfShare, this->settings.minChangeTokens);
        std::uint64_t drawn = std::min(free, std::max(shortfall, advance));
        return this->write(SliceWriteReason::Draw, slice.grantedTokens + drawn, subtract(shortfall, drawn));
    }
    std::uint64_t wanted = std::min(shortfall, maxBudgetTokens);
    bool changed = (wanted == 0) != (slice.wantedTokens == 0)
        || std::max(wanted, slice.wantedTokens) - std::min(wanted, slice.wantedTokens)
            >= this->settings.minChangeTokens;
    if (!changed)
        return std::nullopt;
    return this->write(SliceWriteReason::Want, slice.grantedTokens, wanted);
}

std::optional<SliceWrite> SliceAccount::planReturn(
    const SliceDemand& demand, const BudgetSlice& slice, std::int64_t millisLeft, bool nearExpiry)
{
    std::int64_t horizonMillis = std::min(millisLeft, this->settings.reserveHorizonMillis);
    if (nearExpiry)
        horizonMillis = millisLeft;
    std::uint64_t needed = demand.committedTokens + demand.wantedTokens;
    std::uint64_t surplus
        = subtract(slice.grantedTokens, needed + forecastTokens(demand.tokensPerSecond, horizonMillis));
    std::uint64_t aboveTotal
        = std::min(grantedAboveTotal(this->state), subtract(slice.grantedTokens, demand.committedTokens));
    std::uint64_t requestedByOthers
        = std::min(surplus, subtract(wantedByOthers(this->state, this->holder), freeTokens(this->state)));
    if (std::uint64_t returned = std::max(aboveTotal, requestedByOthers); returned > 0)
        return this->write(SliceWriteReason::Return, slice.grantedTokens - returned, slice.wantedTokens);
    if (nearExpiry && surplus >= this->settings.minChangeTokens)
        return this->write(SliceWriteReason::Rebalance, slice.grantedTokens - surplus, slice.wantedTokens);
    return std::nullopt;
}

void SliceAccount::finished(StoreStatus status, std::uint64_t newVersion)
{
    if (!this->writing)
        return;
    this->writing = false;
    if (status == StoreStatus::Ok) {
        this->state = this->pending->budget;
        this->version = newVersion;
        this->pending.reset();
        return;
    }
    // A conflict doesn't prove that the write had no effect: an earlier copy of it may have been applied.
    if (status == StoreStatus::Unknown || status == StoreStatus::Conflict || status == StoreStatus::NotFound) {
        this->readNeeded = true;
        return;
    }
    // This attempt had no effect, but if it repeats a write with an unknown result, an earlier copy may still arrive.
    if (this->pending->reason != SliceWriteReason::Repeat)
        this->pending.reset();
}

} // namespace lovagecross
