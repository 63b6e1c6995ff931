#pragma once

// A token budget shared by programs in several data centres. It is stored in one platform object `budgets/<name>`,
// divided into slices.
//
// A slice belongs to one holder: a data centre, or one of its shards if the shards of the data centre have different
// owners. `grantedTokens` is the total that the holder may ever spend, including what it has already spent. The sum of
// all slices never exceeds the budget, and a holder never commits more than its slice. The budget is therefore never
// exceeded, without a central counter and during any network partition.
//
// The object is changed only by conditional updates that name the version that was read. `SliceAccount` decides what to
// write, and the caller performs the I/O:
//
//     SliceAccount account("quotes", "lodz1/02", epoch, "node3-9f03c1d2", settings);
//     if (account.needsRead()) {
//         StoreResult read = store.get(budgetKey("quotes"));
//         account.observed(read.object.version, parseBudget(read.object.value), nowUnixMillis);
//     }
//     if (auto write = account.plan(demand, nowUnixMillis)) {
//         StoreResult result = store.update(budgetKey("quotes"), printBudget(write->budget), write->expectedVersion);
//         account.finished(result.status, result.object.version);
//     }
//     if (programBudget <= account.available(committedTokens, nowUnixMillis))
//         ... start the program; from then on its budget is part of committedTokens
//
// Call `plan` whenever the demand changes and every few seconds. Also read the object every few seconds, because it
// shows how many tokens other holders want.
//
// These rules keep the sum of all spending within the budget:
//  - Lost answers: each write contains an operation id that is stored in the slice. After StoreStatus::Unknown the
//    object is read again. If the slice has the id, the write took effect. If the version has changed and the slice
//    doesn't have the id, the write can't take effect any more. If the version is unchanged, it still can, so the same
//    write is sent again. Until the result is known, tokens being drawn don't count as granted and tokens being
//    returned don't count as available.
//  - Crashes: the committed tokens are derived from the holder's journal (budgets of live programs and spending of
//    ended ones), and the granted tokens are read from the object. A draw whose answer was lost in a crash is
//    therefore not lost.
//  - Races between owners: an owner first claims the holder's slice with its epoch, and commits nothing before that.
//    The claim changes the object's version, so a write that an earlier owner has in flight fails, and if the earlier
//    owner reads the object again it finds the higher epoch.
//  - Only the holder can reduce its slice. The slice of a holder that is unreachable can't be taken away.
//
// Thread safety: SliceAccount is not thread-safe; the caller must serialize access.

#include "lovagecross/base/Error.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/ports/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct BudgetSlice {
    std::string holder;
    std::uint64_t epoch = 0; // epoch of the owner that claimed the slice
    std::uint64_t grantedTokens = 0;
    std::uint64_t wantedTokens = 0; // tokens needed beyond the grant; other holders then return their surplus
    std::string lastOperation; // operation id of the last write to this slice

    bool operator==(const BudgetSlice&) const = default;
};

// The value of the object `budgets/<name>`.
struct BudgetState {
    std::string name;
    std::uint64_t totalTokens = 0;
    std::int64_t expiresUnixMillis = 0; // 0: never
    std::vector<BudgetSlice> slices; // sorted by holder, one per holder

    bool operator==(const BudgetState&) const = default;
};

inline constexpr std::uint64_t maxBudgetTokens = 1'000'000'000'000'000; // exact as a JSON number in any reader
inline constexpr std::size_t maxBudgetSlices = 2800; // 28 data centres of 100 shards

std::string budgetKey(std::string_view name);

// Returns the budget as JSON. With `maxBudgetSlices` slices it has at most `maxObjectBytes`.
std::string printBudget(const BudgetState& budget);

// Errors: CorruptData, with the name of the invalid field, such as `slices[2].grantedTokens`, and the expected value.
Result<BudgetState> parseBudget(std::string_view json);

const BudgetSlice* findSlice(const BudgetState& budget, std::string_view holder);

// Tokens that belong to no slice. 0 if an operator has lowered the total below the sum of the grants.
std::uint64_t freeTokens(const BudgetState& budget);

// A change of one holder's slice to the given values.
struct SliceChange {
    std::string operation; // unique operation id
    std::string holder;
    std::uint64_t epoch = 0;
    std::uint64_t grantedTokens = 0;
    std::uint64_t wantedTokens = 0;
};

// Returns the budget after `change`. Errors: NotOwner if the slice has a later epoch, BudgetExceeded if the slices
// would exceed the total, TooLarge if there would be too many holders.
Result<BudgetState> applyChange(const BudgetState& budget, const SliceChange& change);

// Returns the budget after an operator has changed its total or expiry. If the new total is below the sum of the
// grants, nothing can be drawn until the holders have returned enough tokens.
BudgetState withLimits(const BudgetState& budget, std::uint64_t totalTokens, std::int64_t expiresUnixMillis);

struct SliceSettings {
    std::uint32_t expectedHolders = 4; // limits the part of the free tokens that one draw takes in advance
    std::uint64_t minChangeTokens = 1000; // smaller changes are not worth a write to the platform
    // When other holders want tokens, those that will be spent within this time are kept.
    std::int64_t reserveHorizonMillis = 60'000;
    // From this time before the expiry on, tokens that can't be spent in time are returned unasked.
    std::int64_t rebalanceMillis = 600'000;
};

// The demand of the holder's own programs.
struct SliceDemand {
    std::uint64_t committedTokens = 0; // budgets of live programs plus spending of ended ones, from the journal
    std::uint64_t wantedTokens = 0; // budgets of programs that are waiting to start
    double tokensPerSecond = 0; // recent spending rate
};

enum class SliceWriteReason {
    Claim,
    Draw,
    Return, // another holder wants tokens, or the total was lowered
    Rebalance, // the expiry is near
    Want, // only changes BudgetSlice::wantedTokens
    Repeat, // repeats a write whose result is unknown
};

inline constexpr NameTable<SliceWriteReason, 6> sliceWriteReasonNames { { {
    { SliceWriteReason::Claim, "claim" },
    { SliceWriteReason::Draw, "draw" },
    { SliceWriteReason::Return, "return" },
    { SliceWriteReason::Rebalance, "rebalance" },
    { SliceWriteReason::Want, "want" },
    { SliceWriteReason::Repeat, "repeat" },
} } };

struct SliceWrite {
    SliceWriteReason reason = SliceWriteReason::Claim;
    std::uint64_t expectedVersion = 0;
    BudgetState budget; // the new value
    SliceChange change;
};

class SliceAccount {
public:
    // `operationPrefix` must be unique for each process start, for example the node's name and incarnation.
    SliceAccount(std::string budget, std::string holder, std::uint64_t epoch, std::string operationPrefix,
        SliceSettings settings);

    // Whether the object must be read. This is the case initially and after a conflict or an unknown result; `plan`
    // then returns nothing until `observed` is called.
    bool needsRead() const { return this->readNeeded; }

    // Takes the object as read from the platform. A version older than the last one seen is ignored, and so is every
    // read between `plan` and `finished`.
    void observed(std::uint64_t version, const BudgetState& budget);

    // Returns the next write, or nullopt if none is needed. The caller must call `finished` exactly once for each
    // write.
    std::optional<SliceWrite> plan(const SliceDemand& demand, std::int64_t nowUnixMillis);

    // Takes the result of the write returned by `plan`. `version` is the object's new version and is used only for Ok.
    void finished(StoreStatus status, std::uint64_t version);

    // Tokens that may be committed in addition to `committedTokens`. 0 before the slice has been claimed, after the
    // expiry, and after an owner with a later epoch has claimed the slice.
    std::uint64_t available(std::uint64_t committedTokens, std::int64_t nowUnixMillis) const;

    // Whether an owner with a later epoch has claimed the slice. This account then plans no more writes.
    bool lost() const;
    const BudgetState& budget() const { return this->state; }

private:
    std::optional<SliceWrite> write(SliceWriteReason reason, std::uint64_t granted, std::uint64_t wanted);
    std::optional<SliceWrite> planDraw(const SliceDemand& demand, const BudgetSlice& slice, bool nearExpiry);
    std::optional<SliceWrite> planReturn(
        const SliceDemand& demand, const BudgetSlice& slice, std::int64_t millisLeft, bool nearExpiry);
    bool claimed() const;

    std::string holder;
    std::uint64_t epoch = 0;
    std::string operationPrefix;
    SliceSettings settings;
    BudgetState state;
    std::uint64_t version = 0;
    bool readNeeded = true;
    bool writing = false; // between `plan` and `finished`
    std::optional<SliceWrite> pending; // the last write, until its result is known
    std::uint64_t operations = 0;
};

} // namespace lovagecross
