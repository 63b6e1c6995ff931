#include "lovagecross/records/RecordRoom.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class RecordRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordRoomTest);
    CPPUNIT_TEST(usualTurnsFitBesideLargeOnes);
    CPPUNIT_TEST(conversationsThatHaveBegunGoOn);
    CPPUNIT_TEST(turnThatHasRunMayUseTheWholeRoom);
    CPPUNIT_TEST(indexLimitsSmallRecords);
    CPPUNIT_TEST(siteOfTheUsersHasRoom);
    CPPUNIT_TEST(promisesAreCountedUntilTheTurnIsStored);
    CPPUNIT_TEST(forgottenPromisesEnd);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024 * 1024;
    static constexpr RecordRoom room { 80 * megabyte, 8 * megabyte };

    // A crowd of large turns must not keep those of usual size from being stored.
    void usualTurnsFitBesideLargeOnes()
    {
        RoomUse used { 40 * megabyte, 0 };
        CPPUNIT_ASSERT(!hasRoom(room, used, { megabyte, false }));
        CPPUNIT_ASSERT(!hasRoom(room, used, { megabyte, true }));
        CPPUNIT_ASSERT(hasRoom(room, used, { 30'000, false }));
    }

    // A conversation that can't be continued has cost its tokens for nothing.
    void conversationsThatHaveBegunGoOn()
    {
        RoomUse used { 70 * megabyte, 7 * megabyte + 1 };
        CPPUNIT_ASSERT(!hasRoom(room, used, { 30'000, false }));
        CPPUNIT_ASSERT(hasRoom(room, used, { 30'000, true }));
        CPPUNIT_ASSERT(!hasRoom(room, { 80 * megabyte, 0 }, { 30'000, true }));
    }

    // A large turn must not be refused after it has run, since others have filled more than its share meanwhile.
    void turnThatHasRunMayUseTheWholeRoom()
    {
        RoomUse used { 60 * megabyte, 0 };
        CPPUNIT_ASSERT(!hasRoom(room, used, { megabyte, true }));
        CPPUNIT_ASSERT(fitsIntoRoom(room, used, megabyte));
        CPPUNIT_ASSERT(!fitsIntoRoom(room, used, 21 * megabyte));
    }

    // Records that take little of the disk must not exhaust the memory.
    void indexLimitsSmallRecords()
    {
        CPPUNIT_ASSERT(!hasRoom(room, { 0, 8 * megabyte }, { 100, false }));
        CPPUNIT_ASSERT(!hasRoom(room, { 0, 8 * megabyte }, { 0, false }));
        CPPUNIT_ASSERT(hasRoom(room, { 80 * megabyte, 0 }, { 0, false })); // a reservation without a turn
    }

    // A record node of a VM of 130 MB must keep 130 MB of turns of usual size.
    void siteOfTheUsersHasRoom()
    {
        RecordRoom site = recordRoomOf(360 * megabyte, 130 * megabyte);
        CPPUNIT_ASSERT(hasRoom(site, { 130 * megabyte, 6 * megabyte }, { 30'000, false }));
        CPPUNIT_ASSERT(site.turnBytes < 300 * megabyte && site.indexBytes < 50 * megabyte);
    }

    void promisesAreCountedUntilTheTurnIsStored()
    {
        ManualClock clock;
        RoomPromises promises;
        promises.add("r1", 1000, clock.now());
        promises.add("r1", 1000, clock.now());
        promises.add("r2", 500, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1500), promises.bytes());
        promises.release("r1");
        promises.release("r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), promises.bytes());
        CPPUNIT_ASSERT(promises.has("r2") && !promises.has("r1"));
        promises.release("r2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), promises.indexBytes());
    }

    // Room that was promised to a node that is gone must not be lost for good.
    void forgottenPromisesEnd()
    {
        ManualClock clock;
        RoomPromises promises;
        promises.add("r1", 1000, clock.now());
        promises.add("r2", 1000, clock.now());
        promises.shorten("r2", clock.now());
        clock.advance(RoomPromises::lifetime / 2);
        promises.removeExpired(clock.now());
        CPPUNIT_ASSERT(promises.has("r1") && !promises.has("r2"));
        clock.advance(RoomPromises::lifetime / 2);
        promises.removeExpired(clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), promises.bytes() + promises.indexBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordRoomTest);

} // namespace lovagecross
