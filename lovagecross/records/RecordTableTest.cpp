#include "lovagecross/records/RecordTable.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

StoredTurn turn(const std::string& id, const std::string& previous, std::int64_t expires = 1000)
{
    return { id, previous, "in-" + id, "out-" + id, "p", expires };
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
        table.add(turn("a", ""));
        table.add(turn("b", "a"));
        table.add(turn("b2", "a"));
        table.add(turn("c", "lost"));
        bool start = false;
        auto chain = table.chain("b2", start);
        CPPUNIT_ASSERT(start && chain.size() == 2 && chain[0].id == "b2" && chain[1].id == "a");
        chain = table.chain("c", start);
        CPPUNIT_ASSERT(!start && chain.size() == 1);
        CPPUNIT_ASSERT(table.chain("lost", start).empty());
        CPPUNIT_ASSERT(!table.add(turn("a", "x")));
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
            const Reservation& held = table.reservationsOf("p").at("r1");
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
        table.add(turn("a", "", 1000));
        table.add(turn("b", "a", 2000));
        table.add(turn("other", "", 1000));
        removeExpired(table, 1500);
        bool start = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.chain("b", start).size());
        CPPUNIT_ASSERT(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.turnCount());
        removeExpired(table, 2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.turnCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.bytes());
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
        table.add(turn("a", "", 1000));
        table.add(turn("c", "missed", 2000));
        StoredTurn other = turn("other", "", 1000);
        other.group = "other group";
        table.add(other);
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
        table.add(turn("a", "", 1000));
        table.add(turn("b", "a", 1000));
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
            table.add(turn("t" + std::to_string(i), i == 0 ? "" : "t" + std::to_string(i - 1), 1000 + i));
        auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(table.expired(1000 + turns / 2, 10).turns.empty());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    }

    void recordsComeInPagesInTheOrderOfArrival()
    {
        RecordTable table;
        for (int i = 0; i < 100; ++i)
            table.add(turn("t" + std::to_string(i), ""));
        table.add(reservation("r1", 100));
        table.add(reservation("r1", 30, true));
        auto all = [](std::string_view) { return true; };
        std::uint64_t position = 0;
        bool last = false;
        std::size_t turns = 0;
        std::size_t settled = 0;
        int pages = 0;
        while (!last) {
            for (const StoredRecord& record : table.recordsAfter(position, 100, all, position, last)) {
                if (std::holds_alternative<StoredTurn>(record))
                    ++turns;
                else
                    settled += std::get<Reservation>(record).settled ? 1 : 0;
            }
            ++pages;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), turns);
        CPPUNIT_ASSERT(settled >= 1 && pages > 5);
        table.add(turn("new", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.recordsAfter(position, 100, all, position, last).size());
        auto none = [](std::string_view) { return false; };
        position = 0;
        CPPUNIT_ASSERT(table.recordsAfter(position, 100, none, position, last).empty() && last);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordTableTest);

} // namespace lovagecross
