// Tests of new programs that wait until the engines can take them.

#include "lovagecross/scheduling/NewPrograms.h"
#include "lovagecross/gateway/EngineSlots.h"
#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>

namespace lovagecross {

namespace {

// Answers as it is told.
class ScriptedNewPrograms final : public NewPrograms {
public:
    GateDecision ask(const NewProgram& program) override
    {
        std::lock_guard lock(this->mutex);
        this->asked.push_back(program);
        if (this->waits == 0)
            return this->last;
        --this->waits;
        GateDecision decision;
        decision.outcome = GateOutcome::Waits;
        decision.askAgainIn = milliseconds(5);
        return decision;
    }
    void leave(const std::string& id) override
    {
        std::lock_guard lock(this->mutex);
        this->left.push_back(id);
    }

    std::size_t count()
    {
        std::lock_guard lock(this->mutex);
        return this->asked.size();
    }

    std::mutex mutex;
    std::size_t waits = 0; // before `last`
    GateDecision last;
    std::vector<NewProgram> asked;
    std::vector<std::string> left;
};

} // namespace

class NewProgramsTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(NewProgramsTest);
    CPPUNIT_TEST(waitingProgramIsSentOnceItMayBegin);
    CPPUNIT_TEST(refusedProgramReachesNoServer);
    CPPUNIT_TEST(programThatHasBegunIsNotHeldBack);
    CPPUNIT_TEST(callerThatLeavesEndsTheWait);
    CPPUNIT_TEST(callsOnEnginesAreCounted);
    CPPUNIT_TEST(onlyReadyEnginesOfTheOwnDataCentreHaveSlots);
    CPPUNIT_TEST_SUITE_END();

    ScriptedNewPrograms programs;
    std::atomic<std::uint32_t> counted { 0 }; // calls on engines, as the server saw them

    void addStreamServer()
    {
        this->parts->newPrograms = &this->programs;
        this->addServer([this](const ScriptedRequest& request, ScriptedConnection& connection) {
            this->counted = this->parts->onEngines.load();
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
    }

    // Guards against a held-back program that is never sent, or is sent before it may begin.
    void waitingProgramIsSentOnceItMayBegin()
    {
        this->addStreamServer();
        this->programs.waits = 3;
        std::string response = this->sendRequest(post("/stream/", "r1", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 ") && contains(response, "e1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->programs.count());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), this->programs.asked.front().id);
        CPPUNIT_ASSERT(this->programs.asked.front().timeLeft <= milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->parts->counters.programsHeldBack.value());
    }

    // Guards against work of a server, or a reservation of tokens, for a program that is told to come back later.
    void refusedProgramReachesNoServer()
    {
        this->addStreamServer();
        this->programs.waits = 1;
        this->programs.last.outcome = GateOutcome::Refused;
        this->programs.last.roomIn = milliseconds(750);
        std::string response
            = this->sendRequest(post("/stream/", "r1", "x", "Program: p\r\nBudget: 100\r\nMax: 10\r\n"));
        CPPUNIT_ASSERT_MESSAGE(
            response, contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After: 0.75"));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
        CPPUNIT_ASSERT(this->turns->reserved.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->parts->counters.programsRefused.value());
    }

    // Guards against the loss of a program's earlier turns, and against calls that begin no program on an engine.
    void programThatHasBegunIsNotHeldBack()
    {
        this->addStreamServer();
        this->programs.last.outcome = GateOutcome::Refused;
        this->turns->kept["r0"] = TurnRecord { "r0", "", "p", "in", "out", std::chrono::seconds(60), "p" };
        std::string response = this->sendRequest(post("/turn/", "r1", "x", "Program: p\r\nPrevious: r0\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 "));
        response = this->sendRequest(post("/stream/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 "));
        this->turns->origins["r3"] = { "", 1, "s" };
        this->sendRequest(post("/stream/", "r4", "x", "Program: p\r\nResumes: r3\r\nLast-Event-Id: 0\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->programs.count());
    }

    // Guards against a program without a caller that keeps its place, and its thread, until its time is over.
    void callerThatLeavesEndsTheWait()
    {
        this->addStreamServer();
        this->programs.waits = 100'000;
        CallerSocket caller(this->address);
        caller.write(post("/stream/", "r1", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT(testing::waitUntil([this] { return this->programs.count() > 1; }, milliseconds(1000)));
        caller.close();
        CPPUNIT_ASSERT(testing::waitUntil([this] { return this->parts->running == 0; }, milliseconds(1000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->programs.left.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), this->programs.left.front());
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    // Guards against a load that counts waiting programs, which no engine runs, or calls that have ended.
    void callsOnEnginesAreCounted()
    {
        this->addStreamServer();
        this->sendRequest(post("/stream/", "r1", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_EQUAL(1U, this->counted.load());
        CPPUNIT_ASSERT(testing::waitUntil([this] { return this->parts->onEngines == 0; }, milliseconds(1000)));
        this->programs.last.outcome = GateOutcome::Refused;
        this->sendRequest(post("/stream/", "r2", "x", "Program: p\r\n"));
        CPPUNIT_ASSERT_EQUAL(0U, this->parts->onEngines.load());
    }

    // Guards against room on servers that take no calls of this data centre.
    void onlyReadyEnginesOfTheOwnDataCentreHaveSlots()
    {
        this->addServers(3, [](const ScriptedRequest&, ScriptedConnection&) { return false; });
        this->entries[1].state = ServerState::Draining;
        this->entries[2].dataCentre = "b";
        this->directory->replaceServers(this->entries, 10);
        CPPUNIT_ASSERT_EQUAL(8.0, engineSlots(*this->directory->view(), "a"));
        CPPUNIT_ASSERT_EQUAL(8.0, engineSlots(*this->directory->view(), "b"));
        CPPUNIT_ASSERT_EQUAL(16.0, engineSlots(*this->directory->view(), "c"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NewProgramsTest);

} // namespace lovagecross
