#include "lovagecross/lease/ShardLease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using namespace std::chrono_literals;

const NodeIncarnation nodeA { "a", 0xfedcba9876543210 };
const NodeIncarnation nodeB { "b", 11 };
const NodeIncarnation nodeC { "c", 12 };
const std::string addressA = "127.0.0.1:1";
const std::string addressB = "127.0.0.1:2";
const TimePoint start { 100s };
// The default durations, shortened or lengthened by the drift bound of 0.01.
constexpr Duration leaseMinusDrift = 3960ms; // 4 s - 1 %
constexpr Duration leasePlusDrift = 4040ms; // 4 s + 1 %
constexpr Duration horizonPlusDrift = 606s; // 600 s + 1 %

LeaseRecord heldByA()
{
    return { nodeA, addressA, 5, nodeB, addressB, false, 3 };
}

HolderLease leaseOfA(const LeaseRecord& record = heldByA())
{
    HolderLease lease({}, nodeA, addressA);
    lease.writeSucceeded(start, record, 1);
    return lease;
}

LeaseObserver observerOf(const NodeIncarnation& self, const std::optional<LeaseRecord>& record = heldByA())
{
    LeaseObserver observer({}, self, self.node == "a" ? addressA : "127.0.0.1:9");
    observer.observed(start, record, 1);
    return observer;
}

// Passes a read of the unchanged record to `observer` once a second, as a node does.
void observeUntil(LeaseObserver& observer, TimePoint from, TimePoint end, const LeaseRecord& record = heldByA())
{
    for (TimePoint now = from; now <= end; now += 1s)
        observer.observed(now, record, 1);
}

} // namespace

class LeaseRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseRecordTest);
    CPPUNIT_TEST(recordRoundTrips);
    CPPUNIT_TEST(malformedRecordsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    // An incarnation stored as a JSON number would be rounded above 2^53 and would then identify another process.
    void recordRoundTrips()
    {
        LeaseRecord released = heldByA();
        released.released = true;
        for (const LeaseRecord& record : { heldByA(), released, LeaseRecord {} }) {
            Result<LeaseRecord> decoded = decodeLease("shards/lodz1/02", encodeLease(record));
            CPPUNIT_ASSERT(decoded);
            CPPUNIT_ASSERT(*decoded == record);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("shards/lodz1/02"), leaseKey({ "lodz1", 2 }));
    }

    void assertRejected(const std::string& json)
    {
        Error error = handle(
            [&]() -> Result<Error> {
                Result<LeaseRecord> decoded = decodeLease("shards/lodz1/02", json);
                if (!decoded)
                    return decoded.error();
                return Error {};
            },
            [](const Error& reported) { return reported; });
        CPPUNIT_ASSERT_MESSAGE(json, error.code == ErrorCode::CorruptData);
        CPPUNIT_ASSERT_MESSAGE(error.message, error.message.starts_with("shards/lodz1/02: "));
    }

    // If a malformed record were decoded with default values, the shard would appear to have no standby.
    void malformedRecordsAreRejected()
    {
        std::string json = encodeLease(heldByA());
        for (std::size_t length = 0; length < json.size(); ++length)
            this->assertRejected(json.substr(0, length));
        struct Row {
            const char* text;
            const char* replacement;
        };
        for (Row row : { Row { "\"epoch\":5", "\"epoch\":-5" }, Row { "\"epoch\":5", "\"epoch\":\"x\"" },
                 Row { "\"epoch\":5", "\"epoch\":null" }, Row { "\"epoch\":5", "\"epochs\":5" },
                 Row { "\"released\":false", "\"released\":1" }, Row { "\"released\":false", "\"released\":\"no\"" },
                 Row { "fedcba9876543210", "fedcba987654321g" }, Row { "fedcba9876543210", "" },
                 Row { "fedcba9876543210", "fedcba98765432100" }, Row { "\"standby\":{", "\"standbys\":{" } }) {
            std::string changed = json;
            changed.replace(changed.find(row.text), std::string(row.text).size(), row.replacement);
            this->assertRejected(changed);
        }
        this->assertRejected("[]");
    }
};

class HolderLeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HolderLeaseTest);
    CPPUNIT_TEST(authorityNeedsPromiseAndHorizon);
    CPPUNIT_TEST(promisesFromOtherNodesAreIgnored);
    CPPUNIT_TEST(newStandbyMustPromise);
    CPPUNIT_TEST(unansweredStandbyChangeLimitsAuthority);
    CPPUNIT_TEST(restartedStandbyNeedsNoPromise);
    CPPUNIT_TEST(standbyThatDiedAfterItsPromiseMayHaveTakenOver);
    CPPUNIT_TEST(releasedOrLostLeaseHasNoAuthority);
    CPPUNIT_TEST(requestsAreDueAtTheirIntervals);
    CPPUNIT_TEST_SUITE_END();

    // A holder that acted after the promise or the horizon has expired would overlap with the next holder.
    void authorityNeedsPromiseAndHorizon()
    {
        HolderLease lease = leaseOfA();
        CPPUNIT_ASSERT(!lease.hasAuthority(start));
        lease.promiseReceived(start, 5, nodeB, 4s);
        CPPUNIT_ASSERT(lease.authorityEnd() == start + leaseMinusDrift);
        CPPUNIT_ASSERT(
            lease.hasAuthority(start + leaseMinusDrift - 1ns) && !lease.hasAuthority(start + leaseMinusDrift));
        lease.promiseReceived(start - 1s, 5, nodeB, 4s); // a late answer to an earlier request
        CPPUNIT_ASSERT(lease.authorityEnd() == start + leaseMinusDrift);
        lease.promiseReceived(start + 593s, 5, nodeB, 4s);
        CPPUNIT_ASSERT(lease.authorityEnd() == start + 594s);
        lease.writeSucceeded(start + 590s, lease.renewal(), 2);
        CPPUNIT_ASSERT(lease.authorityEnd() == start + 593s + leaseMinusDrift);
        LeaseRecord withoutStandby = heldByA();
        withoutStandby.standby = {};
        CPPUNIT_ASSERT(leaseOfA(withoutStandby).authorityEnd() == start + 594s);
    }

    // A promise from a node that is not the registered standby doesn't prevent the standby from taking over.
    void promisesFromOtherNodesAreIgnored()
    {
        HolderLease lease = leaseOfA();
        lease.promiseReceived(start, 4, nodeB, 4s);
        lease.promiseReceived(start, 5, nodeC, 4s);
        lease.promiseReceived(start, 5, { nodeB.node, 99 }, 4s);
        CPPUNIT_ASSERT(!lease.authorityEnd());
    }

    void newStandbyMustPromise()
    {
        HolderLease lease = leaseOfA();
        lease.promiseReceived(start, 5, nodeB, 4s);
        lease.writeSucceeded(start + 1s, lease.withStandby(nodeC, "127.0.0.1:3"), 2);
        CPPUNIT_ASSERT(!lease.hasAuthority(start + 1s));
        lease.promiseReceived(start + 1s, 5, nodeB, 4s);
        CPPUNIT_ASSERT(!lease.hasAuthority(start + 1s));
        lease.writeSucceeded(start, heldByA(), 1); // the late answer of an older write
        CPPUNIT_ASSERT(lease.record().standby == nodeC && lease.version() == 2);
        lease.promiseReceived(start + 1s, 5, nodeC, 4s);
        CPPUNIT_ASSERT(lease.hasAuthority(start + 1s));
    }

    // A standby change without an answer may have taken effect. The new standby may then take over a leaseDuration
    // after it has read the record, while the old standby still makes promises.
    void unansweredStandbyChangeLimitsAuthority()
    {
        LeaseRecord withoutStandby = heldByA();
        withoutStandby.standby = {};
        for (const LeaseRecord& record : { heldByA(), withoutStandby }) {
            HolderLease lease = leaseOfA(record);
            lease.standbyChangeStarted(start + 1s);
            lease.standbyChangeStarted(start + 2s);
            lease.promiseReceived(start + 5s, 5, nodeB, 4s);
            CPPUNIT_ASSERT(lease.authorityEnd() == start + 1s + leaseMinusDrift);
            HolderLease refused = lease;
            refused.standbyChangeRejected();
            CPPUNIT_ASSERT(refused.hasAuthority(start + 5s + leaseMinusDrift - 1ns));
            lease.writeSucceeded(start + 5s, lease.renewal(), 3);
            CPPUNIT_ASSERT(lease.hasAuthority(start + 5s + leaseMinusDrift - 1ns));
        }
    }

    // An answer to a request that was sent before the standby was registered may come from an earlier incarnation and
    // doesn't show that the registered one is dead.
    void restartedStandbyNeedsNoPromise()
    {
        HolderLease lease = leaseOfA();
        NodeIncarnation restarted { nodeB.node, 99 };
        lease.standbyRestarted(start - 1ns, start, restarted);
        lease.standbyRestarted(start, start, nodeB);
        lease.standbyRestarted(start, start, nodeC);
        CPPUNIT_ASSERT(!lease.authorityEnd());
        lease.promiseReceived(start + 1s, 5, nodeB, 4s);
        lease.standbyRestarted(start + 4s, start + 1s + leaseMinusDrift - 1ns, restarted);
        CPPUNIT_ASSERT(lease.authorityEnd() == start + 594s && lease.standbySuspect(start));
        lease.writeSucceeded(start, lease.withStandby(restarted, addressB), 2);
        CPPUNIT_ASSERT(!lease.authorityEnd());
    }

    // A standby that is found dead after its promise has expired may have taken over before it died. InterleavingTest
    // found that a paused holder then kept its authority until the horizon. Only a write that starts after the death
    // was reported and succeeds shows that no takeover happened.
    void standbyThatDiedAfterItsPromiseMayHaveTakenOver()
    {
        HolderLease lease = leaseOfA();
        lease.promiseReceived(start, 5, nodeB, 4s);
        TimePoint answered = start + leaseMinusDrift;
        lease.standbyRestarted(start, answered, { nodeB.node, 99 });
        CPPUNIT_ASSERT(!lease.hasAuthority(answered) && lease.standbySuspect(answered));
        HolderLease early = lease;
        early.writeSucceeded(answered - 1ns, early.renewal(), 2);
        CPPUNIT_ASSERT(!early.hasAuthority(answered));
        lease.writeSucceeded(answered, lease.renewal(), 2);
        CPPUNIT_ASSERT(lease.hasAuthority(answered));
    }

    void releasedOrLostLeaseHasNoAuthority()
    {
        LeaseRecord withoutStandby = heldByA();
        withoutStandby.standby = {};
        HolderLease lost = leaseOfA(withoutStandby);
        lost.markLost();
        HolderLease released = leaseOfA(withoutStandby);
        released.writeSucceeded(start, released.release(), 2);
        HolderLease other = leaseOfA(withoutStandby);
        LeaseRecord taken = withoutStandby;
        taken.holder = nodeC;
        other.writeSucceeded(start, taken, 2);
        for (const HolderLease& lease : { lost, released, other })
            CPPUNIT_ASSERT(!lease.hasAuthority(start) && !lease.held() && !lease.renewalDue(start + 600s));
    }

    void requestsAreDueAtTheirIntervals()
    {
        HolderLease lease = leaseOfA();
        CPPUNIT_ASSERT(lease.promiseDue(start));
        lease.promiseRequested(start);
        CPPUNIT_ASSERT(!lease.promiseDue(start + 999ms) && lease.promiseDue(start + 1s));
        CPPUNIT_ASSERT(!lease.renewalDue(start + 199s) && lease.renewalDue(start + 200s));
        CPPUNIT_ASSERT(!lease.standbySuspect(start + 1999ms) && lease.standbySuspect(start + 2s));
        lease.promiseReceived(start + 1s, 5, nodeB, 4s);
        CPPUNIT_ASSERT(!lease.standbySuspect(start + 2999ms) && lease.standbySuspect(start + 3s));
    }
};

class LeaseObserverTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseObserverTest);
    CPPUNIT_TEST(takeoverRules);
    CPPUNIT_TEST(promiseDelaysTakeover);
    CPPUNIT_TEST(promisesAreGivenOnlyToTheRecordedHolder);
    CPPUNIT_TEST(noPromiseDuringATakeover);
    CPPUNIT_TEST(skippedRenewalRestartsTheStandbyWait);
    CPPUNIT_TEST(readGapRestartsTheHorizon);
    CPPUNIT_TEST(claimIncrementsTheEpoch);
    CPPUNIT_TEST_SUITE_END();

    // Each takeover rule, right before and at the earliest time that it permits.
    void takeoverRules()
    {
        LeaseRecord released = heldByA();
        released.released = true;
        LeaseRecord atOtherAddress = heldByA();
        atOtherAddress.holderAddress = "127.0.0.1:8";
        struct Row {
            NodeIncarnation self;
            std::optional<LeaseRecord> record;
            Duration elapsed;
            TakeoverReason expected;
        };
        for (const Row& row : {
                 Row { nodeC, std::nullopt, 0s, TakeoverReason::Vacant },
                 Row { nodeC, released, 0s, TakeoverReason::Released },
                 Row { nodeA, heldByA(), 700s, TakeoverReason::None },
                 Row { { "a", 99 }, heldByA(), 0s, TakeoverReason::SameNode },
                 Row { { "a", 99 }, atOtherAddress, 605s, TakeoverReason::None },
                 Row { nodeB, heldByA(), leasePlusDrift - 1ns, TakeoverReason::None },
                 Row { nodeB, heldByA(), leasePlusDrift, TakeoverReason::Standby },
                 Row { { "b", 99 }, heldByA(), 605s, TakeoverReason::None },
                 Row { nodeC, heldByA(), horizonPlusDrift - 1ns, TakeoverReason::None },
                 Row { nodeC, heldByA(), horizonPlusDrift, TakeoverReason::Horizon },
             }) {
            LeaseObserver observer = observerOf(row.self, row.record);
            if (row.record)
                observeUntil(observer, start, start + row.elapsed, *row.record);
            TakeoverReason reason = observer.takeoverReason(start + row.elapsed);
            CPPUNIT_ASSERT_EQUAL(
                std::string(takeoverReasonNames.name(row.expected)), std::string(takeoverReasonNames.name(reason)));
        }
        CPPUNIT_ASSERT(LeaseObserver({}, nodeB, addressB).takeoverReason(start + 700s) == TakeoverReason::None);
    }

    void promiseDelaysTakeover()
    {
        LeaseObserver observer = observerOf(nodeB);
        CPPUNIT_ASSERT(observer.promise(start + 10s, 5, nodeA) == Duration(4s));
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift - 1ns) == TakeoverReason::None);
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift) == TakeoverReason::Standby);
        CPPUNIT_ASSERT(observer.promise(start + 15s, 5, nodeA));
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift) == TakeoverReason::None);
    }

    void promisesAreGivenOnlyToTheRecordedHolder()
    {
        LeaseObserver observer = observerOf(nodeB);
        CPPUNIT_ASSERT(!observer.promise(start, 4, nodeA));
        CPPUNIT_ASSERT(!observer.promise(start, 5, nodeC));
        CPPUNIT_ASSERT(observer.promise(start, 6, nodeC)); // a new holder, whose record has not been read yet
        CPPUNIT_ASSERT(!observer.promise(start, 5, nodeA));
        CPPUNIT_ASSERT(!observerOf(nodeC).promise(start, 5, nodeA));
        CPPUNIT_ASSERT(LeaseObserver({}, nodeB, addressB).promise(start, 1, nodeA));
    }

    // A promise made after a conditional update was sent and before it takes effect would give two nodes authority.
    void noPromiseDuringATakeover()
    {
        LeaseObserver observer = observerOf(nodeB);
        observer.takeoverStarted();
        CPPUNIT_ASSERT(!observer.promise(start, 5, nodeA));
        observer.observed(start, heldByA(), 1); // the update may still take effect
        CPPUNIT_ASSERT(!observer.promise(start, 5, nodeA));
        LeaseObserver refused = observer;
        refused.takeoverRejected();
        CPPUNIT_ASSERT(refused.promise(start, 5, nodeA));
        LeaseRecord renewed = heldByA();
        ++renewed.renewals;
        observer.observed(start, renewed, 2); // the version has changed, so the update can only fail with a conflict
        CPPUNIT_ASSERT(observer.promise(start, 5, nodeA));
        observer.takeoverStarted();
        observer.observed(start, heldByA(), 1); // the late result of an older read
        CPPUNIT_ASSERT(!observer.promise(start, 5, nodeA) && observer.version() == 2);
    }

    // A node that missed a renewal may not have been the standby meanwhile, and the holder may still rely on the
    // promise of the standby in between. So the wait before a takeover starts again.
    void skippedRenewalRestartsTheStandbyWait()
    {
        LeaseObserver observer = observerOf(nodeB);
        LeaseRecord again = heldByA();
        again.renewals += 2;
        observer.observed(start + 10s, again, 3);
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift - 1ns) == TakeoverReason::None);
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift) == TakeoverReason::Standby);
        ++again.renewals;
        observer.observed(start + 10s, again, 4); // a renewal that directly follows the last read
        CPPUNIT_ASSERT(observer.takeoverReason(start + 10s + leasePlusDrift) == TakeoverReason::Standby);
    }

    // If the horizon continued through a platform outage, any node could take over at its end, before the standby that
    // holds the bridge copies.
    void readGapRestartsTheHorizon()
    {
        LeaseObserver observer = observerOf(nodeC);
        TimePoint back = start + 700s;
        observer.observed(back, heldByA(), 1);
        CPPUNIT_ASSERT(observer.takeoverReason(back) == TakeoverReason::None);
        observeUntil(observer, back, back + horizonPlusDrift);
        CPPUNIT_ASSERT(observer.takeoverReason(back + horizonPlusDrift - 1ns) == TakeoverReason::None);
        CPPUNIT_ASSERT(observer.takeoverReason(back + horizonPlusDrift) == TakeoverReason::Horizon);
    }

    void claimIncrementsTheEpoch()
    {
        LeaseRecord claim = observerOf(nodeB).claim(nodeC, "127.0.0.1:3");
        CPPUNIT_ASSERT((claim == LeaseRecord { nodeB, "127.0.0.1:9", 6, nodeC, "127.0.0.1:3", false, 0 }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), observerOf(nodeB, std::nullopt).claim({}, {}).epoch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseRecordTest);
CPPUNIT_TEST_SUITE_REGISTRATION(HolderLeaseTest);
CPPUNIT_TEST_SUITE_REGISTRATION(LeaseObserverTest);

} // namespace lovagecross
