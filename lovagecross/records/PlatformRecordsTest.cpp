#include "lovagecross/records/PlatformRecords.h"

#include "lovagecross/testing/InMemoryObjectStore.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <vector>

namespace lovagecross {

class PlatformRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformRecordsTest);
    CPPUNIT_TEST(turnsAreKeptAndRead);
    CPPUNIT_TEST(budgetCountsWhatMembersReport);
    CPPUNIT_TEST(votesAtOnceDoNotExceedTheBudget);
    CPPUNIT_TEST(unreadableObjectsGrantNothing);
    CPPUNIT_TEST(expiredBudgetsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    InMemoryObjectStore store;
    Counters counters;
    PlatformRecords records { this->store, this->counters };

    static Reservation reservation(const std::string& request, std::uint64_t tokens)
    {
        return { "program", request, tokens, false, 1000 };
    }

    void turnsAreKeptAndRead()
    {
        StoredTurn turn { "id/\xff", "", "in", "out", "program", 1000 };
        StoredTurn found;
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Absent);
        CPPUNIT_ASSERT(this->records.keepTurn(turn) && this->records.keepTurn(turn));
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Found);
        CPPUNIT_ASSERT_EQUAL(turn.output, found.output);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->records.turns()->size());
        this->records.removeTurn(turn.id);
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Absent);
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Unavailable);
        CPPUNIT_ASSERT(!this->records.keepTurn(turn) && !this->records.turns());
    }

    void budgetCountsWhatMembersReport()
    {
        ProgramReservations known;
        mergeReservation(known, reservation("a", 400));
        CPPUNIT_ASSERT(this->records.reserve(reservation("b", 500), known, 1000) == PlatformVote::Accepted);
        CPPUNIT_ASSERT(this->records.reserve(reservation("c", 200), known, 1000) == PlatformVote::Exhausted);
        CPPUNIT_ASSERT(this->records.reserve(reservation("b", 500), known, 1000) == PlatformVote::Accepted);
        CPPUNIT_ASSERT(this->records.reserve(reservation("c", 500), {}, 1000) == PlatformVote::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->records.reservations()->size());
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(this->records.reserve(reservation("d", 1), {}, 5000) == PlatformVote::Unavailable);
    }

    // Two nodes that read the same object concurrently must not both be granted the remaining tokens.
    void votesAtOnceDoNotExceedTheBudget()
    {
        std::atomic<std::uint64_t> granted { 0 };
        constexpr int nodes = 8;
        std::vector<std::thread> threads;
        threads.reserve(nodes);
        for (int i = 0; i < nodes; ++i) {
            threads.emplace_back([this, i, &granted] {
                PlatformRecords own(this->store, this->counters);
                for (int j = 0; j < 5; ++j) {
                    auto vote = own.reserve(reservation(std::to_string(i * 10 + j), 100), {}, 1000);
                    granted += vote == PlatformVote::Accepted ? 100 : 0;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT(granted > 0 && granted <= 1000);
    }

    void unreadableObjectsGrantNothing()
    {
        this->store.create("token-budgets/70726f6772616d", "{\"records\":7}");
        CPPUNIT_ASSERT(this->records.reserve(reservation("a", 1), {}, 1000) == PlatformVote::Unavailable);
        CPPUNIT_ASSERT(!this->records.reservations());
    }

    void expiredBudgetsAreRemoved()
    {
        CPPUNIT_ASSERT(this->records.reserve(reservation("a", 1), {}, 1000) == PlatformVote::Accepted);
        auto unused = [](const std::string&) { return false; };
        auto inUse = [](const std::string& program) { return program == "program"; };
        this->records.removeExpiredBudgets(1000, unused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->records.reservations()->size());
        this->records.removeExpiredBudgets(1001, inUse); // with later reservations on the members' disks
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->records.reservations()->size());
        this->records.removeExpiredBudgets(1001, unused);
        CPPUNIT_ASSERT(this->records.reservations()->empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformRecordsTest);

} // namespace lovagecross
