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
    CPPUNIT_TEST(voteCountsOnlyInTheEpochOfThePlatform);
    CPPUNIT_TEST(rosterThatChangesDuringAVoteIsSeen);
    CPPUNIT_TEST(voteNeedsAReadableRoster);
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

    std::size_t turnCount()
    {
        std::size_t count = 0;
        CPPUNIT_ASSERT(this->records.visitTurns([&count](const StoredTurn&) { ++count; }));
        return count;
    }

    void turnsAreKeptAndRead()
    {
        StoredTurn turn { "id/\xff", "", "in", "out", "program", 1000 };
        StoredTurn found;
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Absent);
        CPPUNIT_ASSERT(this->records.keepTurn(turn) && this->records.keepTurn(turn));
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Found);
        CPPUNIT_ASSERT_EQUAL(turn.output, found.output);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->turnCount());
        this->records.removeTurn(turn.id);
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Absent);
        this->store.setUnavailable(true);
        CPPUNIT_ASSERT(this->records.readTurn(turn.id, found) == TurnRead::Unavailable);
        CPPUNIT_ASSERT(!this->records.keepTurn(turn) && !this->records.visitTurns([](const StoredTurn&) {}));
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

    static std::string rosterText(std::uint64_t epoch)
    {
        return printRoster({ epoch, { { "n1", 1, "10.0.0.1:7001", "a" } } });
    }

    PlatformVote vote(std::uint64_t epoch, const std::string& request, std::uint64_t tokens)
    {
        return this->records.vote({ epoch, reservation(request, tokens), 1000 }, {}).vote;
    }

    // Guards against a grant under a former roster that the members of the platform's roster don't know.
    void voteCountsOnlyInTheEpochOfThePlatform()
    {
        CPPUNIT_ASSERT(this->store.create(rosterKey, rosterText(3)).ok());
        PlatformAnswer accepted = this->records.vote({ 3, reservation("a", 100), 1000 }, {});
        CPPUNIT_ASSERT(accepted.vote == PlatformVote::Accepted && accepted.newerRoster.epoch == 0);
        PlatformAnswer outdated = this->records.vote({ 2, reservation("b", 100), 1000 }, {});
        CPPUNIT_ASSERT(outdated.vote == PlatformVote::OldEpoch);
        CPPUNIT_ASSERT(this->store.get(rosterKey).object.value == printRoster(outdated.newerRoster));
        CPPUNIT_ASSERT(this->vote(2, "b", 100) == PlatformVote::OldEpoch); // the reservation is there already
        CPPUNIT_ASSERT(this->vote(4, "c", 100) == PlatformVote::Unavailable);
        CPPUNIT_ASSERT(this->vote(3, "d", 701) == PlatformVote::Exhausted); // what did not count stays reserved
        CPPUNIT_ASSERT(this->vote(3, "b", 100) == PlatformVote::Accepted);
        CPPUNIT_ASSERT(this->vote(3, "d", 700) == PlatformVote::Accepted);
    }

    // Guards against a check of the roster before the reservation is written: members of a new roster could read the
    // reservations in between.
    void rosterThatChangesDuringAVoteIsSeen()
    {
        CPPUNIT_ASSERT(this->store.create(rosterKey, rosterText(3)).ok());
        this->store.setHook([this](const StoreCall& call) {
            if (call.operation == StoreOperation::Create)
                this->store.overwrite(rosterKey, rosterText(4));
            return StoreFault::None;
        });
        CPPUNIT_ASSERT(this->vote(3, "a", 100) == PlatformVote::OldEpoch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->records.reservations()->size());
    }

    void voteNeedsAReadableRoster()
    {
        CPPUNIT_ASSERT(this->vote(3, "a", 100) == PlatformVote::Unavailable);
        CPPUNIT_ASSERT(this->store.create(rosterKey, "{}").ok());
        CPPUNIT_ASSERT(this->vote(3, "a", 100) == PlatformVote::Unavailable);
        this->store.overwrite(rosterKey, rosterText(3));
        this->store.setHook(
            [](const StoreCall& call) { return call.key == rosterKey ? StoreFault::Unavailable : StoreFault::None; });
        CPPUNIT_ASSERT(this->vote(3, "a", 100) == PlatformVote::Unavailable);
        this->store.setHook({});
        CPPUNIT_ASSERT(this->vote(3, "a", 100) == PlatformVote::Accepted);
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
