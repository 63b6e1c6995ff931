#include "lovagecross/program/ProgramState.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace lovagecross {

namespace {

const ProgramId testProgram { { "lodz1", 2 }, 0x9f03c1d2a4b5e677 };

ProgramCreated created(std::uint64_t budget, std::uint64_t ceiling)
{
    ProgramCreated record;
    record.program = testProgram;
    record.creationRequestId = "create";
    record.tenant = "folimark";
    record.rank = "urgent";
    record.budgetTokens = budget;
    record.ceilingTokens = ceiling;
    return record;
}

CallFinished finished(const std::string& requestId, std::uint64_t cost, std::uint64_t ceiling)
{
    CallFinished record;
    record.program = testProgram;
    record.requestId = requestId;
    record.bodyDigest = "digest-" + requestId;
    record.backendServer = "engine1";
    record.request = "{}";
    record.answer = "answer of " + requestId;
    record.costTokens = cost;
    record.ceilingTokens = ceiling;
    return record;
}

CallRequest request(const std::string& requestId, std::uint64_t maxCost)
{
    return CallRequest { requestId, "digest-" + requestId, CallKind::Model, true, maxCost };
}

bool applies(ProgramState& state, const Record& record)
{
    return handle(
        [&]() -> Result<bool> {
            if (auto result = applyRecord(state, record); !result)
                return result.error();
            return true;
        },
        [](const Error&) { return false; });
}

ProgramTable replay(const std::vector<Record>& records)
{
    ProgramTable programs;
    std::string failure = handle(
        [&]() -> Result<std::string> {
            if (auto result = applyRecords(programs, records); !result)
                return result.error();
            return std::string();
        },
        [](const Error& error) { return error.field + ": " + error.message; });
    CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    return programs;
}

void assertSameState(const ProgramState& left, const ProgramState& right)
{
    CPPUNIT_ASSERT_EQUAL(left.spentTokens, right.spentTokens);
    CPPUNIT_ASSERT_EQUAL(left.ceilingTokens, right.ceilingTokens);
    CPPUNIT_ASSERT_EQUAL(left.ended, right.ended);
    CPPUNIT_ASSERT_EQUAL(left.endReason, right.endReason);
    CPPUNIT_ASSERT_EQUAL(left.created.rank, right.created.rank);
    CPPUNIT_ASSERT(left.openSessions == right.openSessions);
    CPPUNIT_ASSERT_EQUAL(left.openIntents.size(), right.openIntents.size());
    CPPUNIT_ASSERT(left.turnByRequestId == right.turnByRequestId);
    CPPUNIT_ASSERT_EQUAL(left.turns.size(), right.turns.size());
    for (std::size_t i = 0; i < left.turns.size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(left.turns[i].requestId, right.turns[i].requestId);
        CPPUNIT_ASSERT_EQUAL(left.turns[i].answer, right.turns[i].answer);
        CPPUNIT_ASSERT_EQUAL(left.turns[i].costTokens, right.turns[i].costTokens);
    }
}

// An owner with a journal that can crash before any of its durable writes. `trueSpent` is the cost that backend servers
// have actually charged, which a crash doesn't change.
class CrashingOwner {
public:
    CrashingOwner(std::uint64_t seed, std::size_t crashAt)
        : random(seed)
        , crashAt(crashAt)
    {
        this->journal.emplace_back(created(1000, 200));
        this->recover();
    }

    void run()
    {
        for (int call = 0; call < 40; ++call) {
            if (!this->makeCall("call" + std::to_string(call)))
                this->recover();
            CPPUNIT_ASSERT(this->trueSpent <= 1000);
            CPPUNIT_ASSERT(this->state().spentTokens >= this->trueSpent);
        }
    }

    std::size_t records() const { return this->writes; }
    bool crashed() const { return this->writes > this->crashAt; }

private:
    ProgramState& state() { return this->programs.begin()->second; }

    // Returns false if the owner crashes before the record is durable.
    bool write(const Record& record)
    {
        if (this->writes++ == this->crashAt || this->random() % 12 == 0)
            return false;
        this->journal.push_back(record);
        CPPUNIT_ASSERT(applies(this->state(), record));
        return true;
    }

    bool makeCall(const std::string& requestId)
    {
        std::uint64_t maxCost = 1 + this->random() % 150;
        bool idempotent = this->random() % 2 == 0;
        Admission admission = admitCall(this->state(), request(requestId, maxCost), 0);
        if (admission.verdict != AdmissionVerdict::Run)
            return true;
        if (admission.needsCeiling && !this->write(CeilingRaised { testProgram, admission.ceilingTokens }))
            return false;
        if (!idempotent
            && !this->write(CallIntent { testProgram, requestId, "digest-" + requestId, CallKind::Service, maxCost }))
            return false;
        std::uint64_t cost = this->random() % (maxCost + 1);
        this->trueSpent += cost;
        return this->write(finished(requestId, cost, nextCeiling(this->state(), cost, 1 + this->random() % 150)));
    }

    void recover()
    {
        this->programs = replay(this->journal);
        // A crash during settlement leaves only some of its first records in the journal.
        for (const Record& record : resolveOpenCalls(this->programs)) {
            if (this->random() % 4 == 0)
                return this->recover();
            this->journal.push_back(record);
            CPPUNIT_ASSERT(applies(this->state(), record));
        }
        CPPUNIT_ASSERT(resolveOpenCalls(this->programs).empty());
        if (this->random() % 3 == 0)
            this->journal = snapshotRecords(this->programs, 300);
    }

    std::mt19937_64 random;
    std::size_t crashAt;
    std::size_t writes = 0;
    std::vector<Record> journal;
    ProgramTable programs;
    std::uint64_t trueSpent = 0;
};

} // namespace

class ProgramStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramStateTest);
    CPPUNIT_TEST(repeatedRequestIsReplayed);
    CPPUNIT_TEST(refusalsNameTheirCause);
    CPPUNIT_TEST(hugeCostIsRefused);
    CPPUNIT_TEST(notRunCallMayBeSentAgain);
    CPPUNIT_TEST(openIntentBecomesUnknown);
    CPPUNIT_TEST(recordsOutOfOrderChangeNothing);
    CPPUNIT_TEST(snapshotRoundTripsInParts);
    CPPUNIT_TEST(damagedSnapshotIsRejected);
    CPPUNIT_TEST(crashAtEveryRecordNeverOverspends);
    CPPUNIT_TEST_SUITE_END();

    // A caller that resends a request after an entry node crashed must get the first answer, even if the program has
    // ended.
    void repeatedRequestIsReplayed()
    {
        ProgramState state(created(1000, 100));
        CPPUNIT_ASSERT(applies(state, finished("a", 60, 200)));
        CPPUNIT_ASSERT(applies(state, ProgramEnded { testProgram, "done" }));
        Admission again = admitCall(state, request("a", 10), 0);
        CPPUNIT_ASSERT(again.verdict == AdmissionVerdict::Replay);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of a"), state.turns[again.turn].answer);
        CallRequest other = request("a", 10);
        other.bodyDigest = "other";
        CPPUNIT_ASSERT(admitCall(state, other, 0).error.code == ErrorCode::RequestIdConflict);
    }

    // A call of a program that has ended or exceeded its turns, deadline or budget must not reach a backend server.
    void refusalsNameTheirCause()
    {
        ProgramCreated limits = created(100, 0);
        limits.maxTurns = 1;
        limits.deadlineUnixMillis = 500;
        ProgramState state(limits);
        CPPUNIT_ASSERT(admitCall(state, request("a", 101), 0).error.code == ErrorCode::BudgetExceeded);
        CPPUNIT_ASSERT(admitCall(state, request("a", 10), 500).error.code == ErrorCode::DeadlineExceeded);
        Admission run = admitCall(state, request("a", 100), 499);
        CPPUNIT_ASSERT(run.verdict == AdmissionVerdict::Run && run.needsCeiling);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), run.ceilingTokens);
        CPPUNIT_ASSERT(applies(state, CeilingRaised { testProgram, 100 }));
        CPPUNIT_ASSERT(applies(state, finished("a", 10, 100)));
        CPPUNIT_ASSERT(admitCall(state, request("b", 10), 0).error.code == ErrorCode::Forbidden);
        CPPUNIT_ASSERT(applies(state, ProgramEnded { testProgram, "done" }));
        CPPUNIT_ASSERT(admitCall(state, request("b", 10), 0).error.code == ErrorCode::ProgramEnded);
    }

    // An integer overflow in the sum of costs must not make an excessive cost look small.
    void hugeCostIsRefused()
    {
        ProgramState state(created(1000, 100));
        CPPUNIT_ASSERT(applies(state, finished("a", 60, 200)));
        Admission huge = admitCall(state, request("b", ~std::uint64_t(0)), 0);
        CPPUNIT_ASSERT(huge.error.code == ErrorCode::BudgetExceeded);
        CPPUNIT_ASSERT(!applies(state, finished("b", ~std::uint64_t(0) - 10, 200)));
    }

    // After the outcome "not run" the caller may send the same id again, and this second attempt must run.
    void notRunCallMayBeSentAgain()
    {
        ProgramState state(created(1000, 100));
        CPPUNIT_ASSERT(applies(state, CallIntent { testProgram, "a", "digest-a", CallKind::Service, 50 }));
        CallFinished notRun = finished("a", 0, 100);
        notRun.outcome = CallOutcome::NotRun;
        CPPUNIT_ASSERT(applies(state, notRun));
        CPPUNIT_ASSERT(state.turns.empty() && state.openIntents.empty() && state.openSessions.empty());
        CPPUNIT_ASSERT(admitCall(state, request("a", 50), 0).verdict == AdmissionVerdict::Run);
    }

    // A non-idempotent call that was sent before a takeover must never be sent again.
    void openIntentBecomesUnknown()
    {
        std::vector<Record> journal { created(1000, 100),
            CallIntent { testProgram, "order", "digest-order", CallKind::Service, 50 } };
        ProgramTable programs = replay(journal);
        CPPUNIT_ASSERT(admitCall(programs.begin()->second, request("order", 50), 0).error.run == RunState::Unknown);
        std::vector<Record> settled = resolveOpenCalls(programs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settled.size());
        journal.insert(journal.end(), settled.begin(), settled.end());
        ProgramState state = replay(journal).begin()->second;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), state.spentTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.turns.size());
        Admission again = admitCall(state, request("order", 50), 0);
        CPPUNIT_ASSERT(again.verdict == AdmissionVerdict::Replay);
        CPPUNIT_ASSERT(state.turns[again.turn].outcome == CallOutcome::Unknown);
    }

    // A record out of order or of another program must stop recovery instead of being mixed into the history.
    void recordsOutOfOrderChangeNothing()
    {
        ProgramState state(created(1000, 100));
        ProgramState empty;
        CallFinished foreign = finished("a", 10, 100);
        foreign.program.number += 1;
        CPPUNIT_ASSERT(!applies(empty, finished("a", 10, 100)));
        CPPUNIT_ASSERT(!applies(state, foreign));
        CPPUNIT_ASSERT(!applies(state, created(1000, 100)));
        CPPUNIT_ASSERT(!applies(state, CeilingRaised { testProgram, 99 }));
        CPPUNIT_ASSERT(!applies(state, CeilingRaised { testProgram, 1001 }));
        CPPUNIT_ASSERT(!applies(state, CallIntent { testProgram, "a", "d", CallKind::Service, 101 }));
        CPPUNIT_ASSERT(!applies(state, finished("a", 101, 200)));
        CPPUNIT_ASSERT(!applies(state, Seal {}));
        assertSameState(ProgramState(created(1000, 100)), state);
        CPPUNIT_ASSERT(applies(state, finished("a", 10, 100)));
        CPPUNIT_ASSERT(!applies(state, finished("a", 10, 100)));
    }

    // A history that needs several snapshot records must be restored completely after compaction.
    void snapshotRoundTripsInParts()
    {
        std::vector<Record> journal { created(100000, 1000) };
        for (int turn = 0; turn < 50; ++turn)
            journal.emplace_back(finished("r" + std::to_string(turn), 100, 1000 + 100 * (turn + 1)));
        journal.emplace_back(CallIntent { testProgram, "open", "d", CallKind::Service, 50 });
        ProgramTable before = replay(journal);
        std::vector<Record> snapshot = snapshotRecords(before, 2000);
        CPPUNIT_ASSERT(snapshot.size() > 5);
        snapshot.emplace_back(SnapshotEnd { 1 });
        ProgramTable after = replay(snapshot);
        assertSameState(before.begin()->second, after.begin()->second);
        CPPUNIT_ASSERT(memoryBytes(after.begin()->second) > 50 * sizeof(TurnSnapshot));
    }

    // A missing or repeated snapshot part must be detected.
    void damagedSnapshotIsRejected()
    {
        std::vector<Record> journal { created(100000, 1000) };
        for (int turn = 0; turn < 9; ++turn)
            journal.emplace_back(finished("r" + std::to_string(turn), 100, 2000));
        std::vector<Record> parts = snapshotRecords(replay(journal), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), parts.size());
        for (const std::vector<std::size_t>& order :
            { std::vector<std::size_t> { 0, 2 }, { 1 }, { 0, 0 }, { 0, 1, 1 } }) {
            ProgramState state;
            bool all = true;
            for (std::size_t part : order)
                all = applies(state, parts[part]) && all;
            CPPUNIT_ASSERT(!all);
        }
        ProgramTable programs;
        bool accepted = handle(
            [&]() -> Result<bool> {
                if (auto result = applyRecords(programs, { parts[0], SnapshotEnd { 2 } }); !result)
                    return result.error();
                return true;
            },
            [](const Error&) { return false; });
        CPPUNIT_ASSERT(!accepted);
    }

    // Spending that a crash kept from being recorded in the journal must still count against the budget.
    void crashAtEveryRecordNeverOverspends()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            for (std::size_t crashAt = 0;; ++crashAt) {
                CrashingOwner owner(seed, crashAt);
                owner.run();
                if (!owner.crashed())
                    break;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramStateTest);

} // namespace lovagecross
