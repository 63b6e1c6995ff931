#include "lovagecross/records/RecordTable.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace lovagecross {

namespace {

constexpr std::size_t noLimitBytes = 1'000'000'000;

TurnHead turn(const std::string& id, const std::string& previous, std::int64_t expires = 1000)
{
    return { id, previous, "p", expires };
}

// An entry that is not in the log yet.
TurnEntryRef entry(std::size_t bytes = 10)
{
    return { {}, std::make_shared<const std::string>(bytes, 'x') };
}

Reservation reservation(
    const std::string& request, std::uint64_t tokens, bool settled = false, std::int64_t expires = 1000)
{
    return { "p", request, tokens, settled, expires };
}

} // namespace

class RecordTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordTableTest);
    CPPUNIT_TEST(chainsGoBackToTheStart);
    CPPUNIT_TEST(chainsComeInPages);
    CPPUNIT_TEST(turnMovesToTheLog);
    CPPUNIT_TEST(reservationKnowsItsLastEntry);
    CPPUNIT_TEST(settlingReplacesOnce);
    CPPUNIT_TEST(laterOriginReplacesAnEarlierOne);
    CPPUNIT_TEST(continuedTurnsOutliveTheirOwnTime);
    CPPUNIT_TEST(programsExpireWhole);
    CPPUNIT_TEST(turnThatAMissedTurnMayContinueIsNeeded);
    CPPUNIT_TEST(extensionKeepsWhatIsContinued);
    CPPUNIT_TEST(expiryOfALongConversationVisitsEachTurnOnce);
    CPPUNIT_TEST(recordsComeInPagesInTheOrderOfArrival);
    CPPUNIT_TEST_SUITE_END();

    void chainsGoBackToTheStart()
    {
        RecordTable table;
        table.addTurn(turn("a", ""), entry());
        table.addTurn(turn("b", "a"), entry());
        table.addTurn(turn("b2", "a"), entry());
        table.addTurn(turn("c", "lost"), entry());
        bool start = false;
        auto chain = table.chain("b2", noLimitBytes, start);
        CPPUNIT_ASSERT(start && chain.size() == 2 && chain[0].id == "b2" && chain[1].id == "a");
        chain = table.chain("c", noLimitBytes, start);
        CPPUNIT_ASSERT(!start && chain.size() == 1);
        CPPUNIT_ASSERT(table.chain("lost", noLimitBytes, start).empty());
        CPPUNIT_ASSERT(!table.addTurn(turn("a", "x"), entry()));
    }

    // Guards against a response with a whole conversation, which may be larger than the memory of the node.
    void chainsComeInPages()
    {
        RecordTable table;
        for (int i = 0; i < 10; ++i)
            table.addTurn(turn("t" + std::to_string(i), i == 0 ? "" : "t" + std::to_string(i - 1)), entry(100));
        bool start = true;
        auto chain = table.chain("t9", 250, start);
        CPPUNIT_ASSERT(!start && chain.size() == 2 && chain[1].id == "t8");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.chain("t7", 50, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.chain("t1", 250, start).size());
        CPPUNIT_ASSERT(start);
    }

    // Guards against memory that is not freed once a turn is in the log, and against bytes that are counted twice.
    void turnMovesToTheLog()
    {
        RecordTable table;
        TurnEntryRef pending = entry(100);
        table.addTurn(turn("a", ""), pending);
        CPPUNIT_ASSERT_EQUAL(2L, pending.pending.use_count());
        CPPUNIT_ASSERT(table.setTurnLocation("a", { 3, 20, 100 }) == LogLocation {});
        CPPUNIT_ASSERT_EQUAL(1L, pending.pending.use_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), table.turnBytes());
        CPPUNIT_ASSERT(table.setTurnLocation("a", { 4, 0, 90 }) == LogLocation({ 3, 20, 100 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(90), table.turnBytes());
        CPPUNIT_ASSERT(!table.setTurnLocation("b", { 4, 0, 90 }));
        CPPUNIT_ASSERT(table.removeTurn("a") == std::vector<LogLocation>({ { 4, 0, 90 } }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnBytes() + table.indexBytes());
    }

    // Guards against a reservation whose last state is taken for another one in the log.
    void reservationKnowsItsLastEntry()
    {
        RecordTable table;
        table.add(reservation("r1", 100));
        CPPUNIT_ASSERT(table.setReservationLocation("p", "r1", { 1, 0, 50 }) == LogLocation {});
        table.add(reservation("r1", 30, true));
        CPPUNIT_ASSERT(table.setReservationLocation("p", "r1", { 1, 58, 50 }) == LogLocation({ 1, 0, 50 }));
        CPPUNIT_ASSERT(table.reservationLocation("p", "r1") == LogLocation({ 1, 58, 50 }));
        CPPUNIT_ASSERT(!table.setReservationLocation("p", "r2", { 1, 58, 50 }));
        CPPUNIT_ASSERT(table.removeProgram("p") == std::vector<LogLocation>({ { 1, 58, 50 } }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.indexBytes());
    }

    // A stream that began at another version than first recorded must not be continued at the first one, in whichever
    // order the records arrive.
    void laterOriginReplacesAnEarlierOne()
    {
        Reservation first = reservation("r1", 100);
        first.origin = { "v1", 1 };
        Reservation second = first;
        second.origin = { "v2", 2 };
        Reservation settled = reservation("r1", 30, true);
        settled.origin = second.origin;
        for (const auto& order : { std::vector { first, second, settled }, std::vector { settled, second, first },
                 std::vector { second, settled, first } }) {
            RecordTable table;
            for (const Reservation& record : order)
                table.add(record);
            const Reservation held = table.reservationsOf("p").at("r1");
            CPPUNIT_ASSERT_EQUAL(std::string("v2"), held.origin.softwareVersion);
            CPPUNIT_ASSERT(held.settled && held.tokens == 30);
        }
    }

    // A reservation that arrives after its settlement must not count tokens that were never used.
    void settlingReplacesOnce()
    {
        RecordTable table;
        table.add(reservation("r1", 100));
        table.add(reservation("r2", 50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(50), usedTokens(table.reservationsOf("p"), "r1"));
        CPPUNIT_ASSERT(table.add(reservation("r1", 30, true)));
        CPPUNIT_ASSERT(!table.add(reservation("r1", 100)));
        CPPUNIT_ASSERT(!table.add(reservation("r1", 10, true)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), usedTokens(table.reservationsOf("p"), ""));
        table.add(reservation("r3", 0, true)); // settled before its reservation arrived
        CPPUNIT_ASSERT(!table.add(reservation("r3", 100)));
    }

    // Removes everything that the table no longer needs, as with the consent of all replicas.
    static void removeExpired(RecordTable& table, std::int64_t now)
    {
        constexpr std::size_t noLimit = 1'000'000;
        ExpiredRecords expired = table.expired(now, noLimit);
        for (const ExpiringTurn& turn : expired.turns)
            table.removeTurn(turn.id);
        for (const std::string& program : expired.programs)
            table.removeProgram(program);
    }

    // All turns of a conversation are kept for the retention period of its newest turn.
    void continuedTurnsOutliveTheirOwnTime()
    {
        RecordTable table;
        table.addTurn(turn("a", "", 1000), entry());
        table.addTurn(turn("b", "a", 2000), entry());
        table.addTurn(turn("other", "", 1000), entry());
        removeExpired(table, 1500);
        bool start = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.chain("b", noLimitBytes, start).size());
        CPPUNIT_ASSERT(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.turnCount());
        removeExpired(table, 2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnBytes() + table.indexBytes());
    }

    // Removing only some of a program's reservations would make used tokens appear free.
    void programsExpireWhole()
    {
        RecordTable table;
        table.add(reservation("r1", 100, true, 1000));
        table.add(reservation("r2", 50, true, 2000));
        removeExpired(table, 1500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(150), usedTokens(table.reservationsOf("p"), ""));
        removeExpired(table, 2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.programCount());
    }

    // Guards against the removal of turns before a turn that this table has missed.
    void turnThatAMissedTurnMayContinueIsNeeded()
    {
        RecordTable table;
        table.addTurn(turn("a", "", 1000), entry());
        table.addTurn(turn("c", "missed", 2000), entry());
        TurnHead other = turn("other", "", 1000);
        other.group = "other group";
        table.addTurn(other, entry());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.expired(1500, 10).turns.size());
        RecordResponse response;
        auto all = [](std::string_view) { return true; };
        table.confirmExpiry(
            { { { "missed", "p" }, { "a", "p" }, { "other", "other group" } }, {} }, 1500, all, response);
        CPPUNIT_ASSERT(response.turnsConfirmed == std::vector<bool>({ false, false, true }));
        removeExpired(table, 2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnCount());
    }

    // Guards against an extended turn whose own first turns are removed.
    void extensionKeepsWhatIsContinued()
    {
        RecordTable table;
        table.addTurn(turn("a", "", 1000), entry());
        table.addTurn(turn("b", "a", 1000), entry());
        table.extendTurn("b", 3000);
        removeExpired(table, 2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.turnCount());
        removeExpired(table, 3500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnCount());
    }

    // Guards against work that grows with the square of a conversation's length.
    void expiryOfALongConversationVisitsEachTurnOnce()
    {
        constexpr int turns = 200'000;
        RecordTable table;
        for (int i = 0; i < turns; ++i)
            table.addTurn(turn("t" + std::to_string(i), i == 0 ? "" : "t" + std::to_string(i - 1), 1000 + i), entry());
        auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(table.expired(1000 + turns / 2, 10).turns.empty());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    }

    void recordsComeInPagesInTheOrderOfArrival()
    {
        RecordTable table;
        for (int i = 0; i < 100; ++i)
            table.addTurn(turn("t" + std::to_string(i), ""), entry());
        table.add(reservation("r1", 100));
        table.add(reservation("r1", 30, true));
        auto all = [](std::string_view) { return true; };
        std::uint64_t position = 0;
        bool last = false;
        std::size_t turns = 0;
        std::size_t settled = 0;
        int pages = 0;
        while (!last) {
            for (const auto& [at, record] : table.recordsAfter(position, 100, all, position, last)) {
                if (std::holds_alternative<FoundTurn>(record))
                    ++turns;
                else
                    settled += std::get<Reservation>(record).settled ? 1 : 0;
            }
            ++pages;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), turns);
        CPPUNIT_ASSERT(settled >= 1 && pages > 5);
        table.addTurn(turn("new", ""), entry());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.recordsAfter(position, 100, all, position, last).size());
        auto none = [](std::string_view) { return false; };
        position = 0;
        CPPUNIT_ASSERT(table.recordsAfter(position, 100, none, position, last).empty() && last);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordTableTest);

} // namespace lovagecross
