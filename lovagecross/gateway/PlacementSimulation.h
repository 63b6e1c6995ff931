#pragma once

// Plays programs against model engines in simulated time, without a network, with the server statistics of each entry
// node deciding where each turn goes.
//
// Engine model: it runs up to `slots` calls, others queue in order of arrival. In each step it reads one chunk of one
// prompt, which delays all running streams, and generates a token of each call whose prompt is read. The parts of a
// prompt stay cached until the least recently used ones have to make room. Plain servers take their time and never
// queue. A connection can be used again within its idle time, which is shorter for calls that must not be repeated.
//
//     PlacementOutcome outcome = playPlacement(fleet, policy);
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Hash.h"
#include "lovagecross/gateway/ServerStatistics.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace lovagecross {

struct PlacementFleet {
    std::vector<int> engines; // by data centre
    std::vector<int> plainServers; // of one service, by data centre
    std::vector<int> nodes; // entry nodes by data centre
    int callers = 168;
    double programsPerSecond = 75;
    std::uint32_t slots = 24;
    std::uint64_t cacheTokens = 173'178;
    double stepMillis = 5.61;
    double stepMillisPerCall = 0.121;
    double prefillTokensPerMilli = 54.6;
    std::uint64_t chunkTokens = 2048;
    double seconds = 41;
    std::uint64_t seed = 1;
};

// How a turn is described to the choice of a server.
struct PlacementPolicy {
    ChoiceSettings settings;
    bool byProgram = true; // affinity; else by session
    bool byFirstPart = true;
    bool plainSubset = true; // plain calls go to a subset of the servers
    bool byHistory = true; // prefer an engine that this node sent the preceding turn to
};

struct PlacementOutcome {
    std::uint64_t promptTokens = 0; // read by engines
    std::uint64_t sharedTokensAgain = 0; // of first parts that some engine had read before
    std::size_t turns = 0;
    std::size_t plainCalls = 0;
    std::size_t plainCallsBeyondSlots = 0; // that came to a server with no free slot
    std::size_t connections = 0; // opened for turns and plain calls
    std::size_t leftDataCentre = 0;
    std::size_t programs = 0; // ended, or should have
    std::size_t inTime = 0;
    double meanFirstTokenMillis = 0;
};

namespace detail {

constexpr double firstTokenMillis = 60;
constexpr std::uint32_t answerTokens = 34;
constexpr double allowedSlowdown = 2; // of a program, over the time that it takes on idle engines with full caches
constexpr double otherNodeShare = 0.3; // of the turns that reach another entry node than the one before
constexpr double slowShare = 0.15; // of the time in which an engine is slow
constexpr double slowFactor = 2.5;
constexpr double slowSeconds = 0.6;
constexpr double idleMillis = 4000; // after which a connection is closed
constexpr double freshMillis = 700; // the same for a call that must not be repeated
constexpr double unrepeatableShare = 0.5; // of the plain calls
constexpr std::uint32_t plainServerSlots = 6;
constexpr char sharedPartPrefix = 's'; // of the ids of first parts, which programs share

struct SimulatedTurnCall {
    std::vector<PromptPart> prompt;
    std::uint64_t toRead = 0;
    std::uint32_t toGenerate = answerTokens;
    double startedAt = 0;
    double headAfter = -1; // milliseconds from `startedAt` to the response head; negative before it
    std::function<void(double)> finished; // is called with `headAfter`
};

class SimulatedTime {
public:
    void at(double millis, std::function<void()> action) { this->events.emplace(millis, std::move(action)); }
    double now() const { return this->millis; }
    void runUntil(double end, ManualClock& clock)
    {
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto event = this->events.extract(this->events.begin());
            clock.advance(std::chrono::nanoseconds(static_cast<std::int64_t>((event.key() - this->millis) * 1e6)));
            this->millis = event.key();
            event.mapped()();
        }
    }

private:
    std::multimap<double, std::function<void()>> events;
    double millis = 0;
};

class SimulatedBatch {
public:
    SimulatedBatch(const PlacementFleet& fleetSettings, SimulatedTime& simulatedTime, std::size_t engineIndex,
        std::map<std::string, bool>& readBefore, PlacementOutcome& sums)
        : fleet(fleetSettings)
        , time(simulatedTime)
        , index(engineIndex)
        , sharedRead(readBefore)
        , outcome(sums)
    {
    }

    void submit(SimulatedTurnCall call)
    {
        call.startedAt = this->time.now();
        this->waiting.push_back(std::move(call));
        if (!this->stepping)
            this->step();
    }

private:
    struct Cached {
        std::uint64_t tokens = 0;
        double usedAt = 0;
        int users = 0;
    };

    void admit()
    {
        while (!this->waiting.empty() && this->running.size() < this->fleet.slots) {
            SimulatedTurnCall call = std::move(this->waiting.front());
            this->waiting.pop_front();
            bool hit = true;
            for (const PromptPart& part : call.prompt) {
                auto [entry, isNew] = this->cache.try_emplace(part.id, Cached { part.tokens, 0, 0 });
                hit = hit && !isNew;
                if (isNew)
                    this->cachedTokens += part.tokens;
                ++entry->second.users;
                entry->second.usedAt = this->time.now();
                if (hit)
                    continue;
                call.toRead += part.tokens;
                bool& before = this->sharedRead[part.id];
                if (part.id.front() == sharedPartPrefix && before)
                    this->outcome.sharedTokensAgain += part.tokens;
                before = true;
            }
            this->outcome.promptTokens += call.toRead;
            this->evict();
            this->running.push_back(std::move(call));
        }
    }

    void evict()
    {
        while (this->cachedTokens > this->fleet.cacheTokens) {
            auto oldest = this->cache.end();
            for (auto it = this->cache.begin(); it != this->cache.end(); ++it) {
                if (it->second.users == 0 && (oldest == this->cache.end() || it->second.usedAt < oldest->second.usedAt))
                    oldest = it;
            }
            if (oldest == this->cache.end())
                return;
            this->cachedTokens -= oldest->second.tokens;
            this->cache.erase(oldest);
        }
    }

    void step()
    {
        this->admit();
        this->stepping = !this->running.empty();
        if (!this->stepping)
            return;
        double millis = this->fleet.stepMillis + this->fleet.stepMillisPerCall * double(this->running.size());
        auto reader = std::find_if(
            this->running.begin(), this->running.end(), [](const auto& call) { return call.toRead > 0; });
        if (reader != this->running.end()) {
            std::uint64_t chunk = std::min(reader->toRead, this->fleet.chunkTokens);
            reader->toRead -= chunk;
            millis += double(chunk) / this->fleet.prefillTokensPerMilli;
        }
        auto period = static_cast<std::uint64_t>(this->time.now() / 1000 / slowSeconds);
        if (double(stableHash(std::to_string(period), this->index + 1) % 1000) < slowShare * 1000)
            millis *= slowFactor;
        this->time.at(this->time.now() + millis, [this] { this->endStep(); });
    }

    void endStep()
    {
        std::vector<SimulatedTurnCall> ended;
        for (std::size_t i = 0; i < this->running.size();) {
            SimulatedTurnCall& call = this->running[i];
            if (call.toRead == 0 && call.headAfter < 0)
                call.headAfter = this->time.now() - call.startedAt + firstTokenMillis;
            if (call.toRead == 0 && --call.toGenerate == 0) {
                ended.push_back(std::move(call));
                this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
                continue;
            }
            ++i;
        }
        for (SimulatedTurnCall& call : ended) {
            for (const PromptPart& part : call.prompt)
                --this->cache.at(part.id).users;
            this->time.at(this->time.now() + firstTokenMillis,
                [finished = std::move(call.finished), after = call.headAfter] { finished(after); });
        }
        this->step();
    }

    const PlacementFleet& fleet;
    SimulatedTime& time;
    const std::size_t index;
    std::map<std::string, bool>& sharedRead;
    PlacementOutcome& outcome;
    std::deque<SimulatedTurnCall> waiting;
    std::vector<SimulatedTurnCall> running;
    std::map<std::string, Cached> cache; // by part
    std::uint64_t cachedTokens = 0;
    bool stepping = false;
};

// Idle connections of all entry nodes.
class SimulatedConnections {
public:
    // Returns whether a new connection was needed.
    bool open(std::size_t node, const std::string& server, bool repeatable, double now)
    {
        std::vector<double>& list = this->idleSince[{ node, server }];
        std::erase_if(list, [now](double since) { return now - since >= idleMillis; });
        if (list.empty() || (!repeatable && now - list.back() >= freshMillis))
            return true;
        list.pop_back();
        return false;
    }
    void release(std::size_t node, const std::string& server, double now)
    {
        this->idleSince[{ node, server }].push_back(now);
    }

private:
    std::map<std::pair<std::size_t, std::string>, std::vector<double>> idleSince;
};

class PlacementRun {
public:
    PlacementRun(const PlacementFleet& fleetSettings, const PlacementPolicy& placementPolicy)
        : fleet(fleetSettings)
        , policy(placementPolicy)
        , random(fleetSettings.seed)
    {
        for (std::size_t dc = 0; dc < this->fleet.engines.size(); ++dc) {
            std::string name = "dc" + std::to_string(dc);
            this->addEngines(name, this->fleet.engines[dc]);
            this->addPlainServers(name, this->fleet.plainServers[dc]);
            this->addEntryNodes(name, this->fleet.nodes[dc]);
        }
    }

    PlacementOutcome run()
    {
        std::exponential_distribution<double> gap(this->fleet.programsPerSecond / 1000);
        for (double start = gap(this->random); start < this->fleet.seconds * 1000; start += gap(this->random))
            this->time.at(start, [this] { this->startProgram(); });
        this->time.runUntil(this->fleet.seconds * 1000, this->clock);
        this->outcome.meanFirstTokenMillis = this->headMillis / double(std::max<std::size_t>(1, this->outcome.turns));
        return this->outcome;
    }

private:
    struct Agent {
        std::string program, session;
        std::vector<PromptPart> prompt;
        std::uint64_t newTokens = 0;
        int turnsLeft = 0;
        bool startsSubAgents = false;
        std::size_t node = 0;
        std::function<void()> done;
    };

    void addEngines(const std::string& dataCentre, int count)
    {
        for (int i = 0; i < count; ++i) {
            ServerEntry entry;
            entry.id = "engine-" + dataCentre + "-" + std::to_string(i);
            entry.service = "engine";
            entry.dataCentre = dataCentre;
            entry.slots = this->fleet.slots;
            this->position[entry.id] = this->entries.size();
            this->batches.push_back(std::make_unique<SimulatedBatch>(
                this->fleet, this->time, this->entries.size(), this->sharedRead, this->outcome));
            this->entries.push_back(entry);
        }
    }

    void addPlainServers(const std::string& dataCentre, int count)
    {
        for (int i = 0; i < count; ++i) {
            ServerEntry entry;
            entry.id = "plain-" + dataCentre + "-" + std::to_string(i);
            entry.service = "plain";
            entry.dataCentre = dataCentre;
            entry.slots = plainServerSlots;
            this->plainEntries.push_back(entry);
        }
    }

    void addEntryNodes(const std::string& dataCentre, int count)
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            names.push_back(dataCentre + "-node" + std::to_string(i));
        for (const std::string& name : names) {
            this->subsets.push_back(std::make_unique<ServerSubset>(name, dataCentre));
            this->subsets.back()->addNodes(names, this->clock.now());
            this->books.push_back(std::make_unique<ServerStatistics>(this->clock, dataCentre, this->policy.settings,
                this->policy.plainSubset ? this->subsets.back().get() : nullptr));
        }
    }

    double random01() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    std::size_t randomNode()
    {
        auto caller = this->random() % static_cast<std::uint64_t>(this->fleet.callers);
        return stableHash("caller" + std::to_string(caller)) % this->books.size();
    }

    // Returns the number of one of 8 parts, whose popularity is rank^-0.7.
    int sharedPart()
    {
        static const std::vector<double> weights { 1, 0.616, 0.463, 0.379, 0.324, 0.285, 0.256, 0.233 };
        return std::discrete_distribution<int>(weights.begin(), weights.end())(this->random);
    }

    void startProgram()
    {
        bool isLong = this->random01() < 0.5;
        auto agent = std::make_shared<Agent>();
        agent->program = "p" + std::to_string(++this->lastId);
        agent->session = agent->program;
        agent->prompt = { { sharedPartPrefix + std::to_string(this->sharedPart() + (isLong ? 8 : 0)), 2560 } };
        agent->newTokens = isLong ? 514 : 1030;
        agent->turnsLeft = isLong ? 9 : 4;
        agent->startsSubAgents = this->random01() < (isLong ? 0.25 : 0.05);
        agent->node = this->randomNode();
        double turnMillis = 2 * firstTokenMillis + answerTokens * (this->fleet.stepMillis + 1)
            + double(agent->newTokens) / this->fleet.prefillTokensPerMilli;
        double ideal = (agent->turnsLeft + (agent->startsSubAgents ? 2 : 0)) * (turnMillis + 390);
        double startedAt = this->time.now();
        double dueAt = startedAt + ideal * allowedSlowdown;
        if (dueAt < this->fleet.seconds * 1000)
            ++this->outcome.programs;
        agent->done = [this, dueAt] {
            if (this->time.now() <= dueAt && dueAt < this->fleet.seconds * 1000)
                ++this->outcome.inTime;
        };
        this->beginTurn(agent);
    }

    void beginTurn(const std::shared_ptr<Agent>& agent)
    {
        if (this->random01() < otherNodeShare)
            agent->node = this->randomNode();
        agent->prompt.push_back({ "h" + std::to_string(++this->lastId), agent->newTokens });
        ChoiceRequest request;
        request.engine = true;
        for (const PromptPart& part : agent->prompt)
            request.promptTokens += part.tokens;
        request.affinityHash = stableHash(this->policy.byProgram ? agent->program : agent->session) | 1U;
        if (this->policy.byFirstPart) {
            request.prefixHash = stableHash(agent->prompt.front().id) | 1U;
            request.prefixTokens = agent->prompt.front().tokens;
        }
        request.historyTokens = this->policy.byHistory ? request.promptTokens - agent->prompt.back().tokens
                                                       : std::numeric_limits<std::uint64_t>::max();
        ServerStatistics& book = *this->books[agent->node];
        auto placed = book.choose(this->entries, request, agent->prompt, {});
        this->outcome.leftDataCentre += placed->leavesDataCentre ? 1 : 0;
        ++this->outcome.turns;
        std::size_t node = agent->node;
        this->outcome.connections += this->connections.open(node, placed->server.id, true, this->time.now()) ? 1 : 0;
        SimulatedTurnCall call;
        call.prompt = agent->prompt;
        call.finished = [this, agent, node, &book, server = placed->server](double headAfter) {
            this->headMillis += headAfter;
            this->connections.release(node, server.id, this->time.now());
            book.finished(server, AttemptEnd::Answered,
                std::chrono::microseconds(static_cast<std::int64_t>(headAfter * 1000)), agent->prompt);
            this->endTurn(agent);
        };
        this->batches[this->position.at(placed->server.id)]->submit(std::move(call));
    }

    void endTurn(const std::shared_ptr<Agent>& agent)
    {
        agent->prompt.back().tokens += answerTokens;
        if (--agent->turnsLeft == 0)
            return agent->done();
        if (std::exchange(agent->startsSubAgents, false))
            return this->startSubAgents(agent);
        this->callTools(agent, 1 + static_cast<int>(this->random() % 3));
    }

    // Makes the calls one after the other, then begins the next turn.
    void callTools(const std::shared_ptr<Agent>& agent, int calls)
    {
        if (calls == 0)
            return this->beginTurn(agent);
        ++this->outcome.plainCalls;
        std::size_t node = agent->node;
        ServerEntry server = this->books[node]->choose(this->plainEntries, {}, {}, {})->server;
        bool repeatable = this->random01() >= unrepeatableShare;
        this->outcome.connections += this->connections.open(node, server.id, repeatable, this->time.now()) ? 1 : 0;
        double millis = 80 + this->random01() * 230;
        this->outcome.plainCallsBeyondSlots += ++this->plainRunning[server.id] > server.slots ? 1 : 0;
        this->time.at(this->time.now() + millis, [this, agent, calls, node, server, millis] {
            this->books[node]->finished(
                server, AttemptEnd::Answered, std::chrono::microseconds(static_cast<std::int64_t>(millis * 1000)), {});
            this->connections.release(node, server.id, this->time.now());
            --this->plainRunning[server.id];
            this->callTools(agent, calls - 1);
        });
    }

    void startSubAgents(const std::shared_ptr<Agent>& parent)
    {
        auto left = std::make_shared<int>(3);
        for (int i = 0; i < 3; ++i) {
            auto agent = std::make_shared<Agent>(*parent);
            agent->session = parent->program + "/" + std::to_string(i);
            agent->turnsLeft = 2;
            agent->done = [this, parent, left] {
                if (--*left == 0)
                    this->beginTurn(parent);
            };
            this->beginTurn(agent);
        }
    }

    const PlacementFleet fleet;
    const PlacementPolicy policy;
    std::mt19937_64 random;
    ManualClock clock;
    SimulatedTime time;
    PlacementOutcome outcome;
    std::map<std::string, bool> sharedRead; // parts that some engine has read
    std::vector<ServerEntry> entries;
    std::map<std::string, std::size_t> position; // of an engine in `entries`
    std::vector<std::unique_ptr<SimulatedBatch>> batches;
    std::vector<ServerEntry> plainEntries;
    std::vector<std::unique_ptr<ServerSubset>> subsets; // of the entry nodes
    std::vector<std::unique_ptr<ServerStatistics>> books; // of the entry nodes
    std::map<std::string, std::uint32_t> plainRunning; // calls by server
    SimulatedConnections connections;
    std::uint64_t lastId = 0;
    double headMillis = 0; // sum over all turns of the time to the response head
};

} // namespace detail

inline PlacementOutcome playPlacement(const PlacementFleet& fleet, const PlacementPolicy& policy)
{
    return detail::PlacementRun(fleet, policy).run();
}

} // namespace lovagecross
