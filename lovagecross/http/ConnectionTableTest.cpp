#include "lovagecross/http/ConnectionTable.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>

namespace lovagecross {

using std::chrono::milliseconds;

class ConnectionTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionTableTest);
    CPPUNIT_TEST(longestWaitIsClosedFirst);
    CPPUNIT_TEST(servedCallersAreClosedLast);
    CPPUNIT_TEST(runningRequestsAreNotClosed);
    CPPUNIT_TEST(progressCountsAgainstTheWait);
    CPPUNIT_TEST(newConnectionHasTimeForItsRequest);
    CPPUNIT_TEST(roomIsMadeByClosingOneConnection);
    CPPUNIT_TEST(noRoomWhileAllRunRequests);
    CPPUNIT_TEST(closedConnectionRunsNoRequest);
    CPPUNIT_TEST(waitEndsWhenARequestDoes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration minWait = milliseconds(100);

    ManualClock clock;

public:
    void setUp() override { this->clock.advance(std::chrono::hours(1)); }

    TimePoint ago(int millis) const { return this->clock.now() - milliseconds(millis); }

    // A caller that has just connected must not be closed before one that has held its connection for long.
    void longestWaitIsClosedFirst()
    {
        auto choice = chooseConnectionToClose(
            { { false, false, this->ago(200) }, { false, false, this->ago(900) }, { false, false, this->ago(500) } },
            this->clock.now(), minWait);
        CPPUNIT_ASSERT(choice.toClose && *choice.toClose == 1);
    }

    // Ordinary callers that keep connections must not lose them to a crowd that never sends a request.
    void servedCallersAreClosedLast()
    {
        std::vector<ConnectionState> states { { false, true, this->ago(5000) }, { false, false, this->ago(200) } };
        CPPUNIT_ASSERT(chooseConnectionToClose(states, this->clock.now(), minWait).toClose == std::size_t(1));
        states[1].waitingSince = this->ago(10);
        CPPUNIT_ASSERT(chooseConnectionToClose(states, this->clock.now(), minWait).toClose == std::size_t(0));
    }

    // A request that runs must be answered.
    void runningRequestsAreNotClosed()
    {
        auto choice = chooseConnectionToClose({ { true, false, this->ago(5000) } }, this->clock.now(), minWait);
        CPPUNIT_ASSERT(!choice.toClose && !choice.wait);
    }

    // A caller that drips bytes must not outlast one that sends a large body at an ordinary rate.
    void progressCountsAgainstTheWait()
    {
        constexpr std::size_t megabyte = 1024 * 1024;
        auto choice = chooseConnectionToClose(
            { { false, false, this->ago(3000), 2 * megabyte }, { false, false, this->ago(1000), 10 } },
            this->clock.now(), minWait);
        CPPUNIT_ASSERT(choice.toClose == std::size_t(1));
    }

    // A crowd that reconnects must not push ordinary callers out before their requests have arrived.
    void newConnectionHasTimeForItsRequest()
    {
        auto choice = chooseConnectionToClose(
            { { false, false, this->ago(30) }, { false, false, this->ago(60) } }, this->clock.now(), minWait);
        CPPUNIT_ASSERT(!choice.toClose);
        CPPUNIT_ASSERT(choice.wait == Duration(milliseconds(40)));
    }

    void roomIsMadeByClosingOneConnection()
    {
        SystemClock running;
        ConnectionTable table(running, 2, Duration(0));
        std::atomic<int> closed { 0 };
        TrackedConnection first(table, [&closed] { closed += 1; });
        CPPUNIT_ASSERT(table.makeRoom());
        auto second = std::make_unique<TrackedConnection>(table, [&closed] { closed += 10; });
        CPPUNIT_ASSERT(first.runsRequest());
        std::thread owner([&] {
            while (closed == 0)
                std::this_thread::sleep_for(milliseconds(1));
            second.reset();
        });
        CPPUNIT_ASSERT(table.makeRoom());
        owner.join();
        CPPUNIT_ASSERT_EQUAL(10, closed.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), table.closedForOthers());
    }

    // Guards against an acceptor that waits for requests to end: the new caller could be served elsewhere.
    void noRoomWhileAllRunRequests()
    {
        SystemClock running;
        ConnectionTable table(running, 1, std::chrono::minutes(5));
        TrackedConnection connection(table, [] { CPPUNIT_FAIL("a running request was closed"); });
        CPPUNIT_ASSERT(connection.runsRequest());
        CPPUNIT_ASSERT(!table.makeRoom());
    }

    // A request whose answer can't reach its caller must not run.
    void closedConnectionRunsNoRequest()
    {
        SystemClock running;
        ConnectionTable table(running, 1, Duration(0));
        TrackedConnection connection(table, [] {});
        CPPUNIT_ASSERT(!table.makeRoom()); // its owner does not let go of it
        CPPUNIT_ASSERT(!connection.runsRequest());
    }

    // Guards against a new caller that is turned away although a connection has become idle.
    void waitEndsWhenARequestDoes()
    {
        SystemClock running;
        ConnectionTable table(running, 1, milliseconds(50));
        auto connection = std::make_unique<TrackedConnection>(table, [] {});
        std::thread owner([&] {
            std::this_thread::sleep_for(milliseconds(10));
            connection.reset();
        });
        CPPUNIT_ASSERT(table.makeRoom());
        owner.join();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTableTest);

} // namespace lovagecross
