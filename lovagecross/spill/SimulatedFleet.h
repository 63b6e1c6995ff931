#pragma once

// A fleet of data centres in simulated time, for tests: entry nodes with SpillControl, record nodes with LoadTable and
// LoadExchange, servers as a pool of slots for each data centre, and messages that are late, lost or cut off.
//
//     SimulatedFleet fleet({ .dataCentres = 2, .nodes = 30 }, seed);
//     fleet.demand = [](std::size_t dataCentre, double seconds) { return 1.2; }; // in slots' worth of calls
//     while (fleet.seconds() < 20) fleet.tick();
//
// Thread safety: not synchronized.

#include "lovagecross/spill/LoadExchange.h"
#include "lovagecross/spill/LoadTable.h"
#include "lovagecross/spill/SpillControl.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace lovagecross {

struct FleetShape {
    std::size_t dataCentres = 2;
    std::size_t nodes = 30; // entry nodes of all data centres
    std::size_t recordNodes = 2; // of each data centre
    std::uint32_t slots = 180; // of each data centre
    Duration callTime = std::chrono::milliseconds(200);
    bool leaves = true; // false: no call leaves its data centre
    double lostMessages = 0; // share
    double lateMessages = 0; // share of messages that take `lateTime`
};

class SimulatedFleet {
public:
    SimulatedFleet(const FleetShape& givenShape, std::uint64_t seed)
        : shape(givenShape)
        , random(seed)
        , centres(givenShape.dataCentres)
    {
        for (std::size_t i = 0; i < this->shape.dataCentres; ++i) {
            this->slots["tool"][name(i)] = this->shape.slots;
            for (std::size_t r = 0; r < this->shape.recordNodes; ++r)
                this->recordNodes.push_back(std::make_unique<RecordNode>(*this, this->recordNodes.size(), i));
        }
        for (std::size_t i = 0; i < this->shape.nodes; ++i) {
            this->nodes.push_back(std::make_unique<Node>(*this, i, i % this->shape.dataCentres));
            this->later(this->below(fetchInterval), [this, i] { this->fetch(*this->nodes[i]); });
        }
        for (std::size_t i = 0; i < this->recordNodes.size(); ++i)
            this->later(this->below(LoadExchange::stepInterval), [this, i] { this->exchange(*this->recordNodes[i]); });
    }

    static std::string name(std::size_t dataCentre) { return std::string(1, static_cast<char>('a' + dataCentre)); }

    double seconds() const { return std::chrono::duration<double>(this->clock.now().time_since_epoch()).count(); }

    void cut(std::size_t dataCentre, bool isCut) { this->centres[dataCentre].cut = isCut; }

    // The record node loses its state and doesn't answer for `downFor`.
    void killRecordNode(std::size_t index, Duration downFor)
    {
        RecordNode& node = *this->recordNodes[index];
        node.downUntil = this->clock.now() + downFor;
        node.loads = std::make_unique<LoadTable>(node.name, this->clock);
    }

    void tick()
    {
        TimePoint end = this->clock.now() + tickTime;
        for (std::size_t i = 0; i < this->centres.size(); ++i)
            this->planCalls(i);
        while (!this->events.empty() && this->events.top().at <= end) {
            this->clock.advance(this->events.top().at - this->clock.now());
            auto action = std::move(this->events.top().action);
            this->events.pop();
            action();
        }
        this->clock.advance(end - this->clock.now());
        if (++this->ticks % 10 == 0) {
            for (auto& node : this->nodes)
                node->spill.step(this->slots);
        }
    }

    // Calls of other data centres' nodes that run in the data centre.
    std::uint32_t taken(std::size_t dataCentre) const { return this->centres[dataCentre].taken; }
    std::uint32_t ownCalls(std::size_t dataCentre) const { return this->centres[dataCentre].own; }
    std::uint64_t refused(std::size_t dataCentre) const { return this->centres[dataCentre].refused; }
    std::uint64_t begun(std::size_t dataCentre) const { return this->centres[dataCentre].begun; }

    // Whether any node of `from` may send calls to `to`.
    bool sends(std::size_t from, std::size_t to) const
    {
        return std::any_of(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
            SpillDecision decision = node->spill.decisionOf("tool");
            return node->dataCentre == from && decision.share > 0
                && std::any_of(decision.targets.begin(), decision.targets.end(),
                    [&](const SpillTarget& target) { return target.dataCentre == name(to); });
        });
    }

    std::function<double(std::size_t dataCentre, double seconds)> demand = [](std::size_t, double) { return 0.5; };

    static constexpr Duration tickTime = std::chrono::milliseconds(10);
    static constexpr Duration fetchInterval = std::chrono::milliseconds(300);
    static constexpr Duration fetchTimeout = std::chrono::milliseconds(200);
    static constexpr Duration lateTime = std::chrono::milliseconds(150);

    std::uint64_t messages = 0;

private:
    struct Event {
        TimePoint at;
        std::uint64_t number;
        mutable std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    struct Centre {
        bool cut = false;
        std::uint32_t own = 0;
        std::uint32_t taken = 0;
        std::uint64_t refused = 0;
        std::uint64_t begun = 0;
        double due = 0; // calls
    };

    struct Node {
        Node(SimulatedFleet& fleet, std::size_t index, std::size_t ownDataCentre)
            : dataCentre(ownDataCentre)
            , spill({ "e" + std::to_string(index), SimulatedFleet::name(ownDataCentre) }, fleet.clock, counters)
        {
        }

        std::size_t dataCentre;
        Counters counters;
        SpillControl spill;
        std::uint32_t running = 0; // in its own data centre
        RecentCount refusals;
        std::size_t publisher = 0; // number of record nodes in a row that did not answer
    };

    struct RecordNode final : public PeerClient {
        RecordNode(SimulatedFleet& owner, std::size_t ownIndex, std::size_t ownDataCentre)
            : fleet(owner)
            , index(ownIndex)
            , dataCentre(ownDataCentre)
            , name("r" + std::to_string(ownIndex))
            , loads(std::make_unique<LoadTable>(name, owner.clock))
        {
        }

        PeerResult request(const std::string&, const PeerRequest&, Duration, const ChunkSink&) override { return {}; }
        std::vector<PeerResult> requestAll(
            const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
        {
            return {};
        }
        void notify(const std::string& address, const PeerRequest& request) override
        {
            RecordNode& other = *this->fleet.recordNodes[std::stoul(address)];
            this->fleet.send(this->dataCentre, other.dataCentre, [&other, report = std::get<LoadReport>(request)] {
                if (other.isUp())
                    other.loads->learn(report);
            });
        }
        void failForwardsTo(const std::string&) override { }

        bool isUp() const { return this->fleet.clock.now() >= this->downUntil; }

        SimulatedFleet& fleet;
        std::size_t index;
        std::size_t dataCentre;
        std::string name;
        std::unique_ptr<LoadTable> loads;
        TimePoint downUntil;
    };

    void later(Duration delay, std::function<void()> action)
    {
        this->events.push({ this->clock.now() + delay, this->numbers++, std::move(action) });
    }

    Duration below(Duration limit)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, limit.count())(this->random));
    }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(this->random) < share; }

    bool connected(std::size_t from, std::size_t to) const
    {
        return from == to || (!this->centres[from].cut && !this->centres[to].cut);
    }

    void send(std::size_t from, std::size_t to, std::function<void()> arrive)
    {
        ++this->messages;
        if (!this->connected(from, to) || this->chance(this->shape.lostMessages))
            return;
        Duration way = from == to ? std::chrono::microseconds(200) : std::chrono::milliseconds(3);
        if (this->chance(this->shape.lateMessages))
            way = lateTime;
        this->later(way, [this, from, to, arrive = std::move(arrive)] {
            if (this->connected(from, to))
                arrive();
        });
    }

    void exchange(RecordNode& node)
    {
        if (node.isUp())
            LoadExchange(node, *node.loads, [this, &node] {
                std::vector<std::string> others;
                for (std::size_t i = 0; i < this->recordNodes.size(); ++i) {
                    if (i != node.index)
                        others.push_back(std::to_string(i));
                }
                return others;
            }).step();
        this->later(LoadExchange::stepInterval, [this, &node] { this->exchange(node); });
    }

    // Asks the record nodes of the own data centre first, and the next one if one doesn't answer in time.
    void fetch(Node& node)
    {
        std::vector<RecordNode*> publishers;
        for (bool own : { true, false }) {
            for (auto& record : this->recordNodes) {
                if ((record->dataCentre == node.dataCentre) == own)
                    publishers.push_back(record.get());
            }
        }
        RecordNode& publisher = *publishers[node.publisher % publishers.size()];
        NodeLoad load = node.spill.report({ { "tool", node.running, 0, node.refusals.inLastSecond(this->clock.now()),
            static_cast<std::uint32_t>(toMillis(this->shape.callTime)) } });
        auto answered = std::make_shared<bool>(false);
        TimePoint askedAt = this->clock.now();
        this->send(node.dataCentre, publisher.dataCentre, [this, &node, &publisher, load, answered, askedAt] {
            if (!publisher.isUp())
                return;
            publisher.loads->record(load);
            auto loads = publisher.loads->summaries();
            std::uint32_t rank = publisher.loads->rankOf(load);
            this->send(publisher.dataCentre, node.dataCentre, [this, &node, loads, rank, answered, askedAt] {
                Duration onTheWay = this->clock.now() - askedAt;
                if (onTheWay > fetchTimeout)
                    return;
                *answered = true;
                node.spill.learn(loads, rank, onTheWay, this->slots);
            });
        });
        this->later(fetchTimeout, [this, &node, answered] {
            node.publisher = *answered ? 0 : node.publisher + 1;
            if (!*answered)
                this->fetch(node);
        });
        this->later(fetchInterval, [this, &node, answered] {
            if (*answered)
                this->fetch(node);
        });
    }

    // Calls of the next tick, at random times in it.
    void planCalls(std::size_t index)
    {
        Centre& centre = this->centres[index];
        centre.due += this->demand(index, this->seconds()) * this->shape.slots * tickTime.count()
            / static_cast<double>(this->shape.callTime.count());
        std::size_t inCentre = (this->nodes.size() + this->centres.size() - 1 - index) / this->centres.size();
        for (; centre.due >= 1 && inCentre > 0; --centre.due) {
            std::size_t chosen = std::uniform_int_distribution<std::size_t>(0, inCentre - 1)(this->random);
            Node& node = *this->nodes[chosen * this->centres.size() + index];
            this->later(this->below(tickTime), [this, &node] { this->startCall(node); });
        }
    }

    void startCall(Node& node)
    {
        Centre& home = this->centres[node.dataCentre];
        ++home.begun;
        auto permit = std::make_shared<SpillPermit>();
        if (this->shape.leaves)
            *permit = node.spill.mayLeave("tool", this->random(), {});
        Duration time = this->shape.callTime / 2 + this->below(this->shape.callTime);
        if (*permit) {
            auto target = static_cast<std::size_t>(permit->dataCentre()[0] - 'a');
            Centre& there = this->centres[target];
            if (this->connected(node.dataCentre, target) && there.own + there.taken < this->shape.slots) {
                ++there.taken;
                this->later(time, [&there, permit] {
                    --there.taken;
                    *permit = SpillPermit();
                });
                return;
            }
        }
        *permit = SpillPermit();
        if (home.own + home.taken >= this->shape.slots) {
            ++home.refused;
            node.refusals.add(this->clock.now());
            return;
        }
        ++home.own;
        ++node.running;
        this->later(time, [&home, &node] {
            --home.own;
            --node.running;
        });
    }

    const FleetShape shape;
    ManualClock clock;
    std::mt19937_64 random;
    SlotTable slots;
    std::vector<Centre> centres;
    std::vector<std::unique_ptr<RecordNode>> recordNodes;
    std::vector<std::unique_ptr<Node>> nodes;
    std::priority_queue<Event> events;
    std::uint64_t numbers = 0;
    std::uint64_t ticks = 0;
};

} // namespace lovagecross
