#include "lovagecross/scheduling/LoadBoard.h"
#include "lovagecross/scheduling/ProgramGate.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration tick = milliseconds(10);
constexpr Duration fetchInterval = milliseconds(250);
constexpr double slots = 200;

// One random schedule: entry nodes and two record nodes, of which each may be cut off, restart, or leave; answers that
// are late or lost; and more programs than the engines should run.
class GateSchedule {
public:
    explicit GateSchedule(std::uint64_t seed)
        : random(seed)
    {
        this->boards.resize(2);
        for (auto& board : this->boards)
            board = std::make_unique<LoadBoard>(this->clock);
        for (std::size_t i = 0; i < 4 + seed % 5; ++i)
            this->addNode();
    }

    // Returns what went wrong, or an empty string.
    std::string run()
    {
        while (this->clock.now() < TimePoint {} + seconds(12) && this->problem.empty()) {
            this->clock.advance(tick);
            this->disturb();
            this->arrive();
            for (auto& [name, node] : this->nodes)
                this->stepNode(name, node);
        }
        if (this->problem.empty() && this->calmBegun == 0)
            this->problem = "no program of the other tenants has begun";
        return this->problem;
    }

private:
    struct Waiting {
        NewProgram program;
        TimePoint since;
    };
    struct Node {
        ProgramGate gate;
        std::vector<TimePoint> running; // when each call ends
        std::vector<Waiting> waiting;
        TimePoint cutUntil;
        TimePoint nextFetch;
        std::vector<std::pair<TimePoint, FleetLoad>> answers; // under way
        double allowed = 1; // programs that may begin by the loads that the node knows
        std::size_t loads = 0; // since its start
        std::size_t roomyLoads = 0; // number of loads in a row that have left room for all waiting programs
    };

    std::uint64_t pick(std::uint64_t count) { return this->random() % count; }
    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(this->random) < share; }
    Duration between(int from, int until) { return milliseconds(from + int(this->pick(std::uint64_t(until - from)))); }

    void addNode()
    {
        Node node;
        node.nextFetch = this->clock.now() + this->between(0, 250);
        this->nodes["entry" + std::to_string(this->started++)] = std::move(node);
    }

    void disturb()
    {
        auto chosen = std::next(this->nodes.begin(), std::ptrdiff_t(this->pick(this->nodes.size())));
        if (this->happens(0.01))
            chosen->second.cutUntil = this->clock.now() + this->between(100, 4000);
        if (this->happens(0.003)) { // killed, with its calls; another one starts
            this->nodes.erase(chosen);
            this->addNode();
        }
        if (this->happens(0.003) && this->nodes.size() < 12)
            this->addNode();
        if (this->happens(0.005))
            this->boards[this->pick(2)] = std::make_unique<LoadBoard>(this->clock); // restarted
        if (this->happens(0.003))
            this->publisher = this->pick(2); // by a change of the roster
    }

    // Tenant 0 sends most programs.
    void arrive()
    {
        for (auto& [name, node] : this->nodes) {
            if (!this->happens(0.3))
                continue;
            std::string tenant = this->happens(0.75) ? "0" : std::to_string(1 + this->pick(6));
            NewProgram program { std::to_string(this->arrived++), tenant, 1, std::uint32_t(this->pick(2)), seconds(4) };
            node.waiting.push_back({ program, this->clock.now() });
        }
    }

    void stepNode(const std::string& name, Node& node)
    {
        TimePoint now = this->clock.now();
        std::erase_if(node.running, [now](TimePoint end) { return end <= now; });
        this->deliver(node);
        if (now >= node.nextFetch) {
            node.nextFetch = now + fetchInterval;
            this->fetch(name, node);
        }
        std::vector<Waiting> before;
        before.swap(node.waiting);
        std::size_t begun = 0;
        for (const Waiting& waiting : before)
            begun += this->ask(node, waiting) ? 1 : 0;
        this->check(node, begun);
    }

    void fetch(const std::string& name, Node& node)
    {
        if (this->clock.now() < node.cutUntil || this->happens(0.05))
            return;
        LoadBoard& board = *this->boards[this->publisher];
        ProgramLoad report { name, std::uint32_t(node.running.size()), {} };
        for (const auto& [tenant, programs] : greatestUses(node.gate.usage, maxReportedTenants, this->clock.now()))
            report.begun.push_back({ tenant, programs });
        board.record(report);
        FleetShare all = board.sum();
        if (all.nodes == 0)
            return;
        FleetLoad load { double(all.calls), slots, all.nodes, { all.excessTenants.begin(), all.excessTenants.end() } };
        if (!this->happens(0.05))
            node.answers.emplace_back(
                this->clock.now() + (this->happens(0.1) ? this->between(50, 1500) : Duration(0)), load);
    }

    void deliver(Node& node)
    {
        TimePoint now = this->clock.now();
        for (const auto& [at, load] : node.answers) {
            if (at > now)
                continue;
            double limit = node.gate.settings.limits[0] * load.slots;
            node.allowed = std::min(node.allowed, 1.0) + std::max(0.0, limit - load.calls) / double(load.nodes);
            learnLoad(node.gate, load, now);
            ++node.loads;
            double least = node.gate.room[std::size_t(ProgramClass::Excess)];
            node.roomyLoads = least >= double(node.waiting.size()) + 5 ? node.roomyLoads + 1 : 0;
        }
        std::erase_if(node.answers, [now](const auto& answer) { return answer.first <= now; });
    }

    // Returns whether the program begins.
    bool ask(Node& node, const Waiting& waiting)
    {
        TimePoint now = this->clock.now();
        GateDecision decision = askToBegin(node.gate, waiting.program, now);
        if (decision.outcome == GateOutcome::Waits) {
            node.waiting.push_back(waiting);
            if (now - waiting.since > milliseconds(500))
                this->problem = "a program waits beyond its share of its time";
            if (node.roomyLoads > 0 && now - node.gate.loadAt <= loadLifetime
                && now - waiting.since >= 2 * fetchInterval)
                this->problem = "a program is held back while there is room for all";
            return false;
        }
        if (decision.outcome == GateOutcome::Refused)
            return false;
        node.running.push_back(now + this->between(100, 900));
        if (waiting.program.tenant != "0")
            ++this->calmBegun;
        return true;
    }

    // No room is given twice. Of the room of earlier loads, a node may have kept that for one program.
    void check(Node& node, std::size_t begun)
    {
        bool known = node.loads > 0 && this->clock.now() - node.gate.loadAt <= loadLifetime;
        if (!known) {
            node.allowed = 1;
            return;
        }
        if (double(begun) > node.allowed + 1e-6 && begun > 0)
            this->problem = "a node has begun more programs than the loads leave room for";
        node.allowed -= double(begun);
    }

    ManualClock clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<LoadBoard>> boards;
    std::size_t publisher = 0;
    std::map<std::string, Node> nodes;
    std::size_t started = 0;
    std::size_t arrived = 0;
    std::size_t calmBegun = 0;
    std::string problem;
};

std::uint64_t scheduleCount()
{
    const char* count = std::getenv("LOVAGECROSS_GATE_SCHEDULES");
    return count != nullptr ? std::strtoull(count, nullptr, 10) : 300;
}

} // namespace

class GateScheduleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GateScheduleTest);
    CPPUNIT_TEST(randomSchedules);
    CPPUNIT_TEST_SUITE_END();

    // Guards against room that is given twice, programs that wait for ever or while there is room, and tenants whose
    // programs never begin. LOVAGECROSS_GATE_SCHEDULES sets another number of schedules.
    void randomSchedules()
    {
        std::uint64_t count = scheduleCount();
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            std::string problem = GateSchedule(seed).run();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + problem, problem.empty());
        }
        std::cout << count << " schedules of the gate for new programs" << std::endl;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateScheduleTest);

} // namespace lovagecross
