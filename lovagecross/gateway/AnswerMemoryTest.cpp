// Tests of answers for which the node has no memory.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>
#include <thread>

namespace lovagecross {

class AnswerMemoryTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(AnswerMemoryTest);
    CPPUNIT_TEST(answerWithoutMemoryHasRunAndIsNotCountedAgainstTheServer);
    CPPUNIT_TEST(callerThatLeavesEndsTheWaitForMemory);
    CPPUNIT_TEST(announcedLengthIsReservedAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t share = 1024 * 1024;
    static constexpr std::size_t answerBytes = 600 * 1024;
    static constexpr std::size_t answerLimit = 2 * share;
    static constexpr std::chrono::seconds longestWait { 30 };

    // The deadline is far away, so that no result depends on it.
    void prepare()
    {
        this->parts->memory.setShares({ { share, share, share, share } });
        GatewayConfiguration changed = this->configuration();
        changed.version = 2;
        for (Route& route : changed.routes)
            route.timeout = std::chrono::minutes(1);
        this->directory->applyConfiguration(std::move(changed));
    }

    static bool waitFor(const std::function<bool()>& condition)
    {
        auto end = std::chrono::steady_clock::now() + longestWait;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(2));
        return condition();
    }

    static Script chunkedAnswer()
    {
        return [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request));
            return connection.write(printChunk(std::string(answerBytes, 'x')) + std::string(lastChunk));
        };
    }

    // Guards against a call that is told that it has not run, or runs again, and against a server that gets no more
    // calls, because this node has no memory for its answer.
    void answerWithoutMemoryHasRunAndIsNotCountedAgainstTheServer()
    {
        this->prepare();
        this->addServer(chunkedAnswer());
        BufferReservation older(this->parts->memory, this->clock, [] {});
        std::string held;
        CPPUNIT_ASSERT(older.grow(held, 500'000, answerLimit));
        BufferReservation other(this->parts->memory, this->clock, [] {});
        std::string otherHeld;
        CPPUNIT_ASSERT(other.grow(otherHeld, 100'000, answerLimit));
        CPPUNIT_ASSERT(!older.grow(held, answerLimit, answerLimit));
        for (int call = 1; call <= 2; ++call) {
            std::string response = this->sendRequest(get("/safe/", "r" + std::to_string(call)));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502") && contains(response, "memory"));
            CPPUNIT_ASSERT_EQUAL(call, this->totalServerRequests());
        }
        ChoiceRequest request;
        request.usableOnly = true;
        CPPUNIT_ASSERT(this->book->choose(this->entries, request, {}, {}));
        CPPUNIT_ASSERT(!older.mustGiveWay());
    }

    // Guards against server connections and session threads that are held for callers that have left.
    void callerThatLeavesEndsTheWaitForMemory()
    {
        this->prepare();
        std::atomic<bool> closed { false };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(signedResponse(request, std::string(100 * 1024, 'x')));
            while (!connection.waitForClose()) { }
            closed = true;
            return false;
        });
        BufferReservation full(this->parts->memory, this->clock, [] {});
        std::string held;
        CPPUNIT_ASSERT(full.grow(held, share, share));
        CallerSocket caller(this->address);
        caller.write(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT(waitFor([&] { return this->totalServerRequests() == 1; }));
        std::this_thread::sleep_for(milliseconds(200)); // the answer has arrived, and waits
        CPPUNIT_ASSERT(!closed);
        caller.close();
        CPPUNIT_ASSERT(waitFor([&] { return closed.load(); }));
        CPPUNIT_ASSERT(waitFor([&] { return this->parts->counters.callersLeft.value() == 1; }));
    }

    // Guards against answers that each hold part of their length and wait for the memory that the others hold.
    void announcedLengthIsReservedAtOnce()
    {
        this->prepare();
        std::atomic<std::size_t> reserved { 0 };
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string response = signedResponse(request, std::string(answerBytes, 'x'));
            std::size_t begun = 40 * 1024;
            connection.write(response.substr(0, begun));
            waitFor([&] { return this->parts->memory.used(MemoryUse::Answers) > 0; });
            reserved = this->parts->memory.used(MemoryUse::Answers);
            return connection.write(response.substr(begun));
        });
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT(contains(response.substr(0, 100), "HTTP/1.1 200") && response.size() > answerBytes);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reserved), reserved >= answerBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMemoryTest);

} // namespace lovagecross
