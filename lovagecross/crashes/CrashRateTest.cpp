// How often the findings are wrong, in simulated time: sound calls that are refused, and causes that end more servers
// than they should, beside servers that end for reasons of their own.

#include "lovagecross/crashes/CrashTable.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration tick = milliseconds(10);
constexpr Duration restartTime = milliseconds(2500);
constexpr Duration timeToEnd = milliseconds(50); // from the start of a cause to the end of its server
constexpr Duration repeatInterval = milliseconds(1500); // of the callers of causes
constexpr int attemptsOfACall = 2;
constexpr std::size_t mostEndsAllowed = 6; // three, and three retries after the third

// What is simulated. A cause is a call that ends each server that runs it.
struct SimulatedDay {
    int servers = 24;
    int soundCalls = 200; // at a time
    int causes = 0;
    bool causesInStep = false;
    Duration longestCall = seconds(2);
    Duration waveInterval { 0 }; // between ends of many servers at once; 0: none
    double waveShare = 0.3; // of the servers
    Duration length = seconds(40);
};

struct Rates {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // sound calls
    std::size_t mostEnds = 0; // under one cause
};

// Servers, calls and a table in simulated time. Each report of an end reaches the table at once.
class Simulation {
public:
    Simulation(const SimulatedDay& simulatedDay, std::uint64_t seed)
        : day(simulatedDay)
        , random(seed)
        , servers(static_cast<std::size_t>(day.servers))
        , calls(static_cast<std::size_t>(day.soundCalls + day.causes))
    {
        for (std::size_t i = 0; i < this->calls.size(); ++i) {
            this->calls[i].isCause = i >= static_cast<std::size_t>(day.soundCalls);
            this->renew(this->calls[i]);
        }
    }

    Rates run()
    {
        TimePoint begin = this->now;
        TimePoint nextWave = begin + this->day.waveInterval;
        for (; this->now < begin + this->day.length; this->now += tick) {
            if (this->day.waveInterval > Duration(0) && this->now >= nextWave) {
                nextWave += this->day.waveInterval;
                this->endShareOfServers();
            }
            for (Call& call : this->calls)
                this->step(call);
        }
        for (const Call& call : this->calls)
            this->rates.mostEnds = std::max(this->rates.mostEnds, call.isCause ? call.ends : 0);
        return this->rates;
    }

private:
    struct Server {
        std::int64_t started = 1;
        TimePoint upFrom;
    };

    struct Call {
        bool isCause = false;
        std::string content;
        std::size_t server = 0;
        bool running = false;
        TimePoint next; // when it ends, or is sent
        int attempts = 0; // since the caller sent it last
        std::size_t ends = 0; // of servers that it has ended
        bool stopped = false; // refused, and not repeated any more
    };

    Duration randomTime(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(this->random));
    }

    void renew(Call& call)
    {
        call.content = "call" + std::to_string(++this->contents);
        call.running = false;
        call.attempts = 0;
        call.next = this->now;
        if (call.isCause && !this->day.causesInStep)
            call.next += this->randomTime(Duration(0), repeatInterval);
    }

    void step(Call& call)
    {
        if (call.stopped || this->now < call.next)
            return;
        if (!call.running)
            return this->send(call);
        if (call.isCause) {
            ++call.ends;
            return this->end(call.server);
        }
        this->table.cleared(call.content, this->now);
        ++this->rates.answered;
        this->renew(call);
    }

    void send(Call& call)
    {
        if (this->table.find(call.content, this->now).verdict == CrashVerdict::Quarantined) {
            call.stopped = call.isCause;
            if (call.isCause)
                return;
            ++this->rates.refused;
            return this->renew(call);
        }
        std::size_t chosen = this->random() % this->servers.size();
        if (this->servers[chosen].upFrom > this->now)
            return; // tries another one at the next tick
        call.server = chosen;
        call.running = true;
        ++call.attempts;
        call.next = this->now + (call.isCause ? timeToEnd : this->randomTime(milliseconds(50), this->day.longestCall));
    }

    void end(std::size_t number)
    {
        Server& server = this->servers[number];
        if (server.upFrom > this->now)
            return;
        ServerEnd end { "s" + std::to_string(number), server.started, "v1", this->now };
        for (Call& call : this->calls) {
            if (!call.running || call.server != number)
                continue;
            this->table.record(end, call.content);
            call.running = false;
            bool repeats = call.attempts < attemptsOfACall;
            call.next = this->now + (repeats ? Duration(0) : repeatInterval);
            call.attempts = repeats ? call.attempts : 0;
        }
        ++server.started;
        server.upFrom = this->now + restartTime;
    }

    void endShareOfServers()
    {
        auto count = static_cast<std::size_t>(this->day.waveShare * static_cast<double>(this->servers.size()));
        for (std::size_t i = 0; i < count; ++i)
            this->end(this->random() % this->servers.size());
    }

    const SimulatedDay day;
    std::mt19937_64 random;
    TimePoint now { seconds(1) };
    CrashTable table;
    std::vector<Server> servers;
    std::vector<Call> calls;
    std::uint64_t contents = 0;
    Rates rates;
};

Rates play(const SimulatedDay& day)
{
    constexpr std::uint64_t seeds = 5;
    Rates all;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Rates rates = Simulation(day, seed).run();
        all.answered += rates.answered;
        all.refused += rates.refused;
        all.mostEnds = std::max(all.mostEnds, rates.mostEnds);
    }
    return all;
}

} // namespace

class CrashRateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashRateTest);
    CPPUNIT_TEST(endsOfManyServersRefuseNoSoundCall);
    CPPUNIT_TEST(causesAreStoppedAndSoundCallsServed);
    CPPUNIT_TEST(manyCausesAtOnceAreStopped);
    CPPUNIT_TEST_SUITE_END();

    static std::string describe(const Rates& rates)
    {
        return std::to_string(rates.answered) + " answered, " + std::to_string(rates.refused) + " refused, "
            + std::to_string(rates.mostEnds) + " ends";
    }

    // Guards against sound calls that are refused because many servers end together, again and again.
    void endsOfManyServersRefuseNoSoundCall()
    {
        for (double share : { 0.15, 0.3 }) {
            for (Duration interval : { seconds(3), seconds(6) }) {
                SimulatedDay day;
                day.waveShare = share;
                day.waveInterval = interval;
                Rates rates = play(day);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(rates), std::uint64_t(0), rates.refused);
            }
        }
    }

    // Guards against causes that hide behind each other or behind sound calls, and sound calls that are taken for
    // causes.
    void causesAreStoppedAndSoundCallsServed()
    {
        for (int causes : { 1, 2 }) {
            for (bool inStep : { false, true }) {
                SimulatedDay day;
                day.causes = causes;
                day.causesInStep = inStep;
                Rates rates = play(day);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(rates), std::uint64_t(0), rates.refused);
                CPPUNIT_ASSERT_MESSAGE(describe(rates), rates.mostEnds >= 3 && rates.mostEnds <= 4);
            }
        }
    }

    // Guards against many causes at the same servers that keep each other from being found.
    void manyCausesAtOnceAreStopped()
    {
        for (int causes : { 4, 8 }) {
            for (bool inStep : { false, true }) {
                SimulatedDay day;
                day.causes = causes;
                day.causesInStep = inStep;
                Rates rates = play(day);
                CPPUNIT_ASSERT_MESSAGE(describe(rates), rates.mostEnds <= mostEndsAllowed);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRateTest);

} // namespace lovagecross
