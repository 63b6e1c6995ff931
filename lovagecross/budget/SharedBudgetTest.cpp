#include "lovagecross/budget/SharedBudget.h"
#include "lovagecross/budget/BudgetPacing.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

namespace lovagecross {

namespace {

constexpr std::uint64_t total = 100'000;

std::string parseFailure(const std::string& json)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(budget, parseBudget(json));
            return "accepted: " + budget.name;
        },
        [](const Error& error) { return error.field + ": " + error.message; });
}

BudgetState parsed(const std::string& json)
{
    return handle([&]() -> Result<BudgetState> { return parseBudget(json); },
        [](const Error& error) {
            CPPUNIT_FAIL(error.field + ": " + error.message);
            return BudgetState {};
        });
}

std::uint64_t grantedSum(const BudgetState& budget)
{
    std::uint64_t sum = 0;
    for (const BudgetSlice& slice : budget.slices)
        sum += slice.grantedTokens;
    return sum;
}

// Simulates the platform object with conditional updates whose answers can be lost and that can arrive late.
struct Platform {
    BudgetState value { "quotes", total, 1'000'000, {} };
    std::uint64_t version = 1;
    std::deque<SliceWrite> late; // writes that were answered as unknown and have not arrived yet

    bool update(const SliceWrite& write)
    {
        if (write.expectedVersion != this->version)
            return false;
        // Converting every write to JSON and back made the test take 90 s with the address sanitizer. The conversion is
        // also covered by valueRoundTrips.
        this->value = this->version % 16 == 0 ? parsed(printBudget(write.budget)) : write.budget;
        ++this->version;
        return true;
    }

    void deliverOneLate()
    {
        if (this->late.empty())
            return;
        SliceWrite write = this->late.front();
        this->late.pop_front();
        this->update(write);
    }

    StoreStatus send(const SliceWrite& write, std::uint64_t fault)
    {
        switch (fault % 8) {
        case 0:
            return StoreStatus::Unavailable;
        case 1:
            return StoreStatus::Unknown;
        case 2:
            this->late.push_back(write);
            return StoreStatus::Unknown;
        case 3:
            this->update(write);
            return StoreStatus::Unknown;
        default:
            return this->update(write) ? StoreStatus::Ok : StoreStatus::Conflict;
        }
    }
};

constexpr std::uint64_t noFault = 7;

void perform(Platform& platform, SliceAccount& account, const SliceWrite& write, std::uint64_t fault)
{
    StoreStatus status = platform.send(write, fault);
    account.finished(status, platform.version);
}

// A holder with a sequence of owners. `committed` stands for its journal, which persists across them.
struct Holder {
    Holder(const std::string& holderName, const SliceSettings& sliceSettings)
        : name(holderName)
        , settings(sliceSettings)
    {
        this->takeOver();
    }

    void takeOver()
    {
        ++this->epoch;
        this->owners.emplace_back(
            "quotes", this->name, this->epoch, this->name + std::to_string(this->epoch), this->settings);
    }

    // Executes one step of one owner. Only the latest owner can commit: earlier ones can't write to the sealed journal
    // any more, but they can still write to the platform.
    void step(Platform& platform, std::size_t ownerIndex, std::mt19937_64& random, bool faults, std::int64_t now)
    {
        SliceAccount& account = this->owners.at(ownerIndex);
        bool latest = ownerIndex + 1 == this->owners.size();
        std::uint64_t budget = 100 + random() % 2000;
        bool ends = random() % 3 == 0;
        if (account.needsRead() || random() % 4 == 0)
            account.observed(platform.version, platform.value);
        if (latest && account.available(this->committed, now) >= budget)
            this->committed += budget;
        else if (latest && ends)
            this->endProgram(random() % 1000);
        std::uint64_t wanted = random() % 5 == 0 ? 0 : 2 * budget;
        if (auto write = account.plan({ this->committed, wanted, 5 }, now))
            perform(platform, account, *write, faults ? random() : noFault);
    }

    void endProgram(std::uint64_t unspent) { this->committed -= std::min(unspent, this->committed / 4); }

    std::string name;
    SliceSettings settings;
    std::uint64_t epoch = 0;
    std::uint64_t committed = 0;
    std::vector<SliceAccount> owners;
};

void assertWithinBudget(const Platform& platform, const std::vector<Holder>& holders)
{
    std::uint64_t committed = 0;
    for (const Holder& holder : holders) {
        committed += holder.committed;
        const BudgetSlice* slice = findSlice(platform.value, holder.name);
        CPPUNIT_ASSERT(holder.committed <= (slice ? slice->grantedTokens : 0));
    }
    CPPUNIT_ASSERT(committed <= total);
    CPPUNIT_ASSERT(grantedSum(platform.value) <= total);
}

std::vector<Holder> threeHolders()
{
    SliceSettings settings;
    settings.minChangeTokens = 200;
    return { Holder("gyor1", settings), Holder("lodz1", settings), Holder("pecs1", settings) };
}

} // namespace

class SharedBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SharedBudgetTest);
    CPPUNIT_TEST(valueRoundTrips);
    CPPUNIT_TEST(badValuesNameTheField);
    CPPUNIT_TEST(changesKeepTheSumAndTheEpoch);
    CPPUNIT_TEST(sumHoldsThroughFaults);
    CPPUNIT_TEST(unknownDrawIsReadBackBeforeUse);
    CPPUNIT_TEST(tokensOfAnUnknownReturnStayUnused);
    CPPUNIT_TEST(delayedReturnOfAnEarlierOwnerFails);
    CPPUNIT_TEST(idleSliceIsReturnedWhenOthersWantTokens);
    CPPUNIT_TEST(surplusIsReturnedNearTheExpiry);
    CPPUNIT_TEST(tokensAboveALoweredTotalAreReturned);
    CPPUNIT_TEST(programsThatCannotFinishDoNotStart);
    CPPUNIT_TEST_SUITE_END();

    // If another node couldn't parse the stored value, all spending would stop.
    void valueRoundTrips()
    {
        BudgetState budget { "quotes", maxBudgetTokens, 1'900'000'000'000, {} };
        for (std::uint64_t i = 0; i < maxBudgetSlices; ++i)
            budget.slices.push_back({ "dc" + std::to_string(i) + "/99", ~std::uint64_t(0) >> 2, maxBudgetTokens,
                maxBudgetTokens, "node-9f03c1d2a4b5e677-18446744073709551615" });
        std::string json = printBudget(budget);
        CPPUNIT_ASSERT(json.size() <= maxObjectBytes);
        CPPUNIT_ASSERT(parsed(json) == budget);
    }

    // A corrupt object must be rejected instead of being read as an empty budget, and the error must name the invalid
    // field so that operators can find the cause.
    void badValuesNameTheField()
    {
        std::string good = printBudget({ "quotes", 10, 0, { { "a", 1, 2, 3, "op" } } });
        CPPUNIT_ASSERT_EQUAL(std::string("accepted: quotes"), parseFailure(good));
        auto changed = [&](const std::string& from, const std::string& to) {
            std::string json = good;
            return parseFailure(json.replace(json.find(from), from.size(), to));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("slices[0].grantedTokens: must be between 0 and 1000000000000000"),
            changed("\"grantedTokens\":2", "\"grantedTokens\":-2"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("slices[0].epoch: must be a whole number"), changed("\"epoch\":1", "\"epoch\":1.5"));
        CPPUNIT_ASSERT_EQUAL(std::string("totalTokens: must be a whole number"), changed("\"totalTokens\"", "\"x\""));
        CPPUNIT_ASSERT(parseFailure(good.substr(0, good.size() / 2)).find("accepted") == std::string::npos);
        CPPUNIT_ASSERT(parseFailure(std::string(200'000, '[')).find("accepted") == std::string::npos);
        CPPUNIT_ASSERT(parseFailure("7").find("accepted") == std::string::npos);
        CPPUNIT_ASSERT(
            changed("\"totalTokens\":10", "\"totalTokens\":18446744073709551615").find("between") != std::string::npos);
    }

    // Two data centres that draw at the same time must not both get the last tokens.
    void changesKeepTheSumAndTheEpoch()
    {
        BudgetState budget { "quotes", 100, 0, { { "a", 5, 60, 0, "" } } };
        auto result = [&](const SliceChange& change) {
            return handle(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(next, applyChange(budget, change));
                    return std::to_string(grantedSum(next));
                },
                [](const Error& error) { return std::string(errorCodeNames.name(error.code)); });
        };
        CPPUNIT_ASSERT_EQUAL(std::string("100"), result({ "op", "b", 1, 40, 0 }));
        CPPUNIT_ASSERT_EQUAL(std::string("budget_exceeded"), result({ "op", "b", 1, 41, 0 }));
        CPPUNIT_ASSERT_EQUAL(std::string("budget_exceeded"), result({ "op", "a", 5, ~std::uint64_t(0), 0 }));
        CPPUNIT_ASSERT_EQUAL(std::string("not_owner"), result({ "op", "a", 4, 10, 0 }));
        CPPUNIT_ASSERT_EQUAL(std::string("10"), result({ "op", "a", 6, 10, 0 }));
    }

    // Lost answers, late writes, crashes and owners that have been replaced must neither create nor lose tokens.
    void sumHoldsThroughFaults()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            Platform platform;
            std::vector<Holder> holders = threeHolders();
            for (int step = 0; step < 400; ++step) {
                Holder& holder = holders.at(random() % holders.size());
                if (random() % 40 == 0)
                    holder.takeOver();
                if (random() % 6 == 0)
                    platform.deliverOneLate();
                std::size_t ownersBehind = std::min<std::size_t>(holder.owners.size() - 1, random() % 3);
                holder.step(platform, holder.owners.size() - 1 - ownersBehind, random, true, 1000);
                assertWithinBudget(platform, holders);
            }
            for (int step = 0; step < 2000; ++step) {
                Holder& holder = holders.at(random() % holders.size());
                holder.step(platform, holder.owners.size() - 1, random, false, 1000);
            }
            assertWithinBudget(platform, holders);
            std::uint64_t committed = 0;
            for (const Holder& holder : holders)
                committed += holder.committed;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(committed), committed >= total * 9 / 10);
        }
    }

    // Tokens of a draw with an unknown result must not be spent, and the draw must not be applied twice.
    void unknownDrawIsReadBackBeforeUse()
    {
        Platform platform;
        SliceAccount account("quotes", "lodz1", 1, "node", {});
        account.observed(platform.version, platform.value);
        perform(platform, account, *account.plan({}, 0), noFault);
        SliceDemand demand { 0, 5000, 0 };
        std::optional<SliceWrite> draw = account.plan(demand, 0);
        CPPUNIT_ASSERT(draw->reason == SliceWriteReason::Draw);
        account.finished(StoreStatus::Unknown, 0);
        CPPUNIT_ASSERT(account.needsRead() && !account.plan(demand, 0));
        account.observed(platform.version, platform.value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.available(0, 0));
        std::optional<SliceWrite> again = account.plan(demand, 0);
        CPPUNIT_ASSERT(again->reason == SliceWriteReason::Repeat);
        CPPUNIT_ASSERT_EQUAL(draw->change.operation, again->change.operation);
        CPPUNIT_ASSERT(platform.update(*draw)); // the first copy arrives late
        perform(platform, account, *again, noFault);
        account.observed(platform.version, platform.value);
        CPPUNIT_ASSERT_EQUAL(draw->change.grantedTokens, account.available(0, 0));
        CPPUNIT_ASSERT_EQUAL(draw->change.grantedTokens, grantedSum(platform.value));
    }

    // While the return of tokens may still take effect, they must not be committed, whatever the result of repeated
    // writes.
    void tokensOfAnUnknownReturnStayUnused()
    {
        Platform platform;
        platform.value.slices = { { "lodz1", 1, 50'000, 0, "" }, { "pecs1", 1, 50'000, 40'000, "" } };
        SliceAccount account("quotes", "lodz1", 1, "node", {});
        account.observed(platform.version, platform.value);
        std::optional<SliceWrite> back = account.plan({ 1000, 0, 0 }, 0);
        std::uint64_t kept = back->change.grantedTokens;
        CPPUNIT_ASSERT_EQUAL(kept, account.available(0, 0));
        for (StoreStatus status : { StoreStatus::Unknown, StoreStatus::Unavailable, StoreStatus::RateLimited }) {
            account.finished(status, 0);
            account.observed(platform.version, platform.value);
            CPPUNIT_ASSERT_EQUAL(kept, account.available(0, 0));
            CPPUNIT_ASSERT(account.plan({ 1000, 0, 0 }, 0)->reason == SliceWriteReason::Repeat);
        }
        account.finished(StoreStatus::Conflict, 0);
        account.observed(platform.version + 1, platform.value); // another holder's write was applied first
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(50'000), account.available(0, 0));
    }

    // A delayed return by an earlier owner must not take effect: the new owner may already have committed these tokens.
    void delayedReturnOfAnEarlierOwnerFails()
    {
        Platform platform;
        platform.value.slices = { { "lodz1", 1, 50'000, 0, "" }, { "pecs1", 1, 50'000, 40'000, "" } };
        SliceAccount earlier("quotes", "lodz1", 1, "node1", {});
        earlier.observed(platform.version, platform.value);
        std::optional<SliceWrite> late = earlier.plan({ 1000, 0, 0 }, 0);
        CPPUNIT_ASSERT(late->reason == SliceWriteReason::Return);
        SliceAccount next("quotes", "lodz1", 2, "node2", {});
        next.observed(platform.version, platform.value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), next.available(0, 0));
        std::optional<SliceWrite> claim = next.plan({ 1000, 0, 0 }, 0);
        CPPUNIT_ASSERT(claim->reason == SliceWriteReason::Claim && platform.update(*claim));
        next.finished(StoreStatus::Ok, platform.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(49'000), next.available(1000, 0));
        CPPUNIT_ASSERT(!platform.update(*late));
        earlier.finished(StoreStatus::Conflict, 0);
        earlier.observed(platform.version, platform.value);
        CPPUNIT_ASSERT(earlier.lost() && !earlier.plan({ 0, 9000, 0 }, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), earlier.available(0, 0));
    }

    // Tokens must not stay unused in one data centre while programs in another are waiting for them.
    void idleSliceIsReturnedWhenOthersWantTokens()
    {
        Platform platform;
        platform.value.slices = { { "lodz1", 1, 90'000, 0, "" }, { "pecs1", 1, 10'000, 30'000, "" } };
        SliceAccount idle("quotes", "lodz1", 1, "node1", {});
        idle.observed(platform.version, platform.value);
        std::optional<SliceWrite> back = idle.plan({ 20'000, 0, 100 }, 0);
        CPPUNIT_ASSERT(back->reason == SliceWriteReason::Return);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(60'000), back->change.grantedTokens);
        idle.finished(StoreStatus::Unavailable, 0);
        back = idle.plan({ 88'000, 0, 100 }, 0); // it needs the remaining tokens itself within a minute
        CPPUNIT_ASSERT(!back);
    }

    // Tokens that a data centre can't spend before the expiry are lost unless it returns them for others to use.
    void surplusIsReturnedNearTheExpiry()
    {
        Platform platform;
        platform.value.slices = { { "lodz1", 1, 90'000, 0, "" } };
        SliceAccount account("quotes", "lodz1", 1, "node1", {});
        account.observed(platform.version, platform.value);
        CPPUNIT_ASSERT(!account.plan({ 20'000, 0, 100 }, 0));
        std::optional<SliceWrite> back = account.plan({ 20'000, 0, 100 }, 900'000); // 100 s left: 10,000 tokens
        CPPUNIT_ASSERT(back->reason == SliceWriteReason::Rebalance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30'000), back->change.grantedTokens);
        account.finished(StoreStatus::Ok, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10'000), account.available(20'000, 900'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.available(20'000, 1'000'000));
        CPPUNIT_ASSERT(!account.plan({ 20'000, 5000, 100 }, 1'000'000));
    }

    // After an operator has lowered a budget, holders must return the tokens that they have not committed.
    void tokensAboveALoweredTotalAreReturned()
    {
        BudgetState budget { "quotes", 100, 0, { { "a", 1, 80, 0, "" }, { "b", 1, 20, 0, "" } } };
        budget = withLimits(budget, 50, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), freeTokens(budget));
        SliceAccount account("quotes", "a", 1, "node", {});
        account.observed(3, budget);
        std::optional<SliceWrite> back = account.plan({ 40, 0, 0 }, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), back->change.grantedTokens);
    }

    // A program that can't finish before the expiry would waste its tokens, so it must not start. Programs must not be
    // held back unnecessarily either, since tokens left over at the expiry are lost.
    void programsThatCannotFinishDoNotStart()
    {
        BudgetOutlook outlook { 5000, 100'000, 100, 1'000'000 };
        PacingSettings settings;
        auto verdict = [&](const StartRequest& request, std::int64_t now) {
            return decideStart(request, outlook, settings, now).verdict;
        };
        CPPUNIT_ASSERT(verdict({ 5000, 60'000, false }, 940'000) == StartVerdict::Start);
        CPPUNIT_ASSERT(verdict({ 5000, 60'000, true }, 940'001) == StartVerdict::TooLate);
        CPPUNIT_ASSERT(verdict({ 5001, 0, true }, 0) == StartVerdict::NotEnough);
        CPPUNIT_ASSERT(verdict({ 0, 0, true }, 1'000'000) == StartVerdict::TooLate);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, pace(outlook, 0), 1e-9);
        outlook.tokensPerSecond = 250;
        CPPUNIT_ASSERT(verdict({ 5000, 0, false }, 0) == StartVerdict::HoldBack);
        CPPUNIT_ASSERT(verdict({ 5000, 0, true }, 0) == StartVerdict::Start);
        outlook.expiresUnixMillis = 0;
        CPPUNIT_ASSERT(verdict({ 5000, 1'000'000'000, false }, 0) == StartVerdict::Start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedBudgetTest);

} // namespace lovagecross
