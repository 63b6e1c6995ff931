// Tests the decisions about slices, batches and shares, which take the time as an argument.

#include "lovagecross/quotas/QuotaSlice.h"
#include "lovagecross/quotas/QuotaBatch.h"
#include "lovagecross/quotas/SliceShare.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr QuotaPolicy policy { seconds(5), 0.1, 20 };
const TimePoint start = TimePoint() + seconds(100);

Roster rosterOf(std::uint64_t epoch, const std::vector<std::string>& nodes)
{
    Roster roster;
    roster.epoch = epoch;
    for (const std::string& node : nodes)
        roster.members.push_back({ node, 1, node, "lodz1" });
    return roster;
}

} // namespace

class QuotaSliceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaSliceTest);
    CPPUNIT_TEST(slicesAndLifetimeTogetherKeepTheBound);
    CPPUNIT_TEST(newSliceFillsFromItsStart);
    CPPUNIT_TEST(burstSmallerThanTheIssuersIsGranted);
    CPPUNIT_TEST(begunProgramsGoFirstWhenTokensAreShort);
    CPPUNIT_TEST(newProgramsGetAllWhileNoBegunOneWaits);
    CPPUNIT_TEST(expectedCallsGetNothingOfALowSlice);
    CPPUNIT_TEST(laterDenialsNameLaterTimes);
    CPPUNIT_TEST(loweredQuotaTakesTokensAway);
    CPPUNIT_TEST(voidTokensAreNotUsed);
    CPPUNIT_TEST(batchFollowsTheDemand);
    CPPUNIT_TEST(clumpIsNoLastingDemand);
    CPPUNIT_TEST(gainedShareWaitsForTheHandover);
    CPPUNIT_TEST(firstMemberHoldsOneSlice);
    CPPUNIT_TEST(lostShareEndsAtOnce);
    CPPUNIT_TEST(shareThatReturnsAfterAMissedRosterWaits);
    CPPUNIT_TEST(unanimityEndsTheHandoverUnlessMembersWereRemoved);
    CPPUNIT_TEST_SUITE_END();

    const Tolerance tolerance { 1, 1 };

    static double shareAt(ShareHistory& history, const std::string& node, TimePoint now)
    {
        settle(history, now);
        return shareOf(history, "tenant", node, Tolerance { 1, 1 });
    }

    // Guards against parts of the overage and the slack that are given away twice.
    void slicesAndLifetimeTogetherKeepTheBound()
    {
        for (double overage : { 0.0, 0.05, 0.1, 0.5, 1.0 }) {
            for (int issuers : { 1, 3, 5, 21 }) {
                QuotaPolicy tried { seconds(5), overage, 20 };
                TenantQuota quota { 700, 400 };
                SliceLimits limits = sliceLimits(tried, quota, 1.0 / issuers);
                Duration drawnIn = tried.window + tokenLifetime(tried) + sendAllowance(tried);
                double most
                    = issuers * (limits.perSecond * std::chrono::duration<double>(drawnIn).count() + limits.capacity);
                double bound = (700 * 5.0 + 400) * (1 + overage) + 20;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " of " + std::to_string(bound), most <= bound + 1e-3);
            }
        }
    }

    // Guards against a restarted issuer that repeats a burst, and against one that starts to fill at the first request.
    void newSliceFillsFromItsStart()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 10, 20 }, start);
        CPPUNIT_ASSERT_EQUAL(0u, drawTokens(slice, { 5, 0, 0 }, start).tokens);
        QuotaSlice later = emptySlice(start);
        setSlice(later, { 10, 20 }, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(10u, drawTokens(later, { 15, 0, 0 }, start + seconds(1)).tokens);
    }

    // Guards against a small tenant whose slices never hold a whole token.
    void burstSmallerThanTheIssuersIsGranted()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, sliceLimits(policy, { 0.5, 1 }, 0.2), start + seconds(60));
        CPPUNIT_ASSERT_EQUAL(1u, drawTokens(slice, { 1, 0, 0 }, start + seconds(60)).tokens);
    }

    // Guards against new programs that take the tokens from programs that have begun.
    void begunProgramsGoFirstWhenTokensAreShort()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 10, 20 }, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(20u, drawTokens(slice, { 30, 30, 0 }, start + seconds(2)).tokens);
        TimePoint soon = start + seconds(2) + milliseconds(310);
        CPPUNIT_ASSERT_EQUAL(2u, drawTokens(slice, { 3, 0, 0 }, soon).tokens);
        CPPUNIT_ASSERT_EQUAL(0u, drawTokens(slice, { 3, 0, 0 }, soon).tokens);
        CPPUNIT_ASSERT_EQUAL(1u, drawTokens(slice, { 4, 2, 0 }, soon).tokens);
    }

    // Guards against new programs that are refused although no begun program lacks a token.
    void newProgramsGetAllWhileNoBegunOneWaits()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 10, 20 }, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(20u, drawTokens(slice, { 30, 0, 0 }, start + seconds(2)).tokens);
        CPPUNIT_ASSERT_EQUAL(3u, drawTokens(slice, { 3, 0, 0 }, start + seconds(2) + milliseconds(301)).tokens);
    }

    // Guards against tokens that end unused at one node while another refuses.
    void expectedCallsGetNothingOfALowSlice()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 10, 20 }, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(7u, drawTokens(slice, { 0, 0, 40 }, start + seconds(2)).tokens);
        drawTokens(slice, { 7, 0, 0 }, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(1u, drawTokens(slice, { 1, 0, 40 }, start + seconds(2)).tokens);
    }

    // Guards against all nodes that were denied a token asking for the same next one.
    void laterDenialsNameLaterTimes()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 10, 20 }, start);
        QuotaGrant first = drawTokens(slice, { 1, 0, 0 }, start);
        QuotaGrant second = drawTokens(slice, { 1, 0, 0 }, start);
        CPPUNIT_ASSERT(first.tokens == 0 && first.retryAfter <= milliseconds(101));
        CPPUNIT_ASSERT(second.retryAfter > first.retryAfter);
        CPPUNIT_ASSERT_EQUAL(1u, drawTokens(slice, { 1, 0, 0 }, start + milliseconds(101)).tokens);
    }

    // Guards against a burst of the former quota after it was lowered.
    void loweredQuotaTakesTokensAway()
    {
        QuotaSlice slice = emptySlice(start);
        setSlice(slice, { 100, 200 }, start + seconds(5));
        setSlice(slice, { 10, 20 }, start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(20u, drawTokens(slice, { 500, 0, 0 }, start + seconds(5)).tokens);
    }

    // Guards against tokens that are saved up beyond their lifetime.
    void voidTokensAreNotUsed()
    {
        QuotaBatch batch;
        addTokens(batch, 2, start + milliseconds(300));
        addTokens(batch, 1, start + milliseconds(100));
        CPPUNIT_ASSERT(takeToken(batch, start) && tokensHeld(batch, start) == 2);
        CPPUNIT_ASSERT(takeToken(batch, start + milliseconds(299)));
        CPPUNIT_ASSERT(!takeToken(batch, start + milliseconds(300)));
        CPPUNIT_ASSERT_EQUAL(0u, tokensHeld(batch, start + milliseconds(300)));
    }

    // Guards against a message for each call of a busy tenant, and tokens drawn for one that has stopped.
    void batchFollowsTheDemand()
    {
        QuotaBatch batch;
        for (int i = 0; i < 800; ++i)
            noteCall(batch, start + milliseconds(10 * i));
        TimePoint now = start + seconds(8);
        std::uint32_t wanted = tokensToDraw(batch, milliseconds(200), now);
        CPPUNIT_ASSERT(wanted >= 12 && wanted <= 16);
        addTokens(batch, wanted, now + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(0u, tokensToDraw(batch, milliseconds(200), now));
        CPPUNIT_ASSERT_EQUAL(0u, tokensToDraw(batch, milliseconds(200), now + seconds(8)));
    }

    // Guards against tokens that end unused after a clump of calls, so that the next clump is refused.
    void clumpIsNoLastingDemand()
    {
        QuotaBatch batch;
        for (int i = 0; i < 100; ++i)
            noteCall(batch, start);
        CPPUNIT_ASSERT(tokensToDraw(batch, milliseconds(200), start) <= 10);
    }

    // Guards against the sum of the slices exceeding the quota while a removed issuer doesn't know the new roster.
    void gainedShareWaitsForTheHandover()
    {
        ShareHistory history;
        noteFirstRoster(history, rosterOf(70, { "a", "b", "c" }), start);
        noteRoster(history, rosterOf(71, { "a", "b", "d" }), seconds(2), start);
        CPPUNIT_ASSERT_EQUAL(0.0, shareAt(history, "d", start + milliseconds(1999)));
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "a", start + milliseconds(1999)));
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "d", start + seconds(2)));
        CPPUNIT_ASSERT(history.settledAt == start + seconds(2));
    }

    // Guards against a node that is cut off with a roster of itself alone and grants the whole quota beside the others.
    void firstMemberHoldsOneSlice()
    {
        ShareHistory history;
        noteFirstRoster(history, rosterOf(1, { "a" }), start);
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "a", start));
    }

    // Guards against an issuer that grants after it has heard of its removal, or a part that it shares with more.
    void lostShareEndsAtOnce()
    {
        ShareHistory history;
        noteFirstRoster(history, rosterOf(70, { "a", "b" }), start);
        noteRoster(history, rosterOf(71, { "a", "c", "d" }), seconds(2), start);
        CPPUNIT_ASSERT_EQUAL(0.0, shareAt(history, "b", start));
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "a", start));
    }

    // Guards against a node that was replaced and has returned while it heard of neither.
    void shareThatReturnsAfterAMissedRosterWaits()
    {
        ShareHistory history;
        noteFirstRoster(history, rosterOf(70, { "a", "b", "c" }), start);
        noteRoster(history, rosterOf(72, { "a", "b", "c" }), seconds(2), start);
        CPPUNIT_ASSERT_EQUAL(0.0, shareAt(history, "a", start + seconds(1)));
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "a", start + seconds(2)));
    }

    // Guards against a first start on which no node grants for long, and a removed member that may still grant.
    void unanimityEndsTheHandoverUnlessMembersWereRemoved()
    {
        Roster roster = rosterOf(2, { "a", "b" });
        roster.changes = { { 1, { "a" }, {} }, { 2, { "b" }, {} } };
        ShareHistory history;
        noteRoster(history, roster, seconds(2), start);
        CPPUNIT_ASSERT_EQUAL(0.0, shareAt(history, "a", start));
        noteUnanimity(history, start);
        CPPUNIT_ASSERT_EQUAL(1.0 / 3, shareAt(history, "a", start));
        Roster next = rosterOf(3, { "a", "d" });
        next.changes = roster.changes;
        next.changes.push_back({ 3, { "d" }, { { "b", 1, "b", "lodz1" } } });
        noteRoster(history, next, seconds(2), start);
        noteUnanimity(history, start);
        CPPUNIT_ASSERT_EQUAL(0.0, shareAt(history, "d", start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaSliceTest);

} // namespace lovagecross
