#pragma once

// Runs real record nodes, with real logs on disk, in one thread under a random schedule. Time passes only between the
// steps of a schedule. Nodes are killed in the middle of their maintenance, lose their disks, are retired, stopped and
// added, and messages and calls to the platform fail. Checks from outside that no program is granted more than its
// budget and that no kept turn is lost.
//
//     RecordSimulation simulation(seed);
//     std::string violation = simulation.run();     // empty if everything held
//     for (const std::string& line : simulation.schedule()) ...
//
// Thread safety: not thread-safe.

#include "lovagecross/base/Clock.h"
#include "lovagecross/records/RecordNode.h"
#include "lovagecross/testing/InMemoryObjectStore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

struct SimulationOptions {
    int steps = 140;
    Tolerance tolerance;
    std::size_t firstNodes = 5;
    std::size_t maxNodes = 7;
    // Callers who know the roster of a node that is cut off reach that node only, and the platform. Without this they
    // reach all others.
    bool callersOnBothSides = false;
    std::size_t leastMembers = 3; // that retirements leave in the roster
};

class RecordSimulation {
public:
    explicit RecordSimulation(std::uint64_t seed, SimulationOptions simulationOptions = {});
    ~RecordSimulation();
    RecordSimulation(const RecordSimulation&) = delete;
    RecordSimulation& operator=(const RecordSimulation&) = delete;

    // Runs a random schedule, then repairs everything and checks the end. Returns the first violation.
    std::string run();

    // The steps of `run`, for schedules of a test's own. `name` is that of a node, "n1" and so on.
    void setFaults(bool enabled) { this->faults = enabled; } // of messages and of calls to the platform
    void startNodes();
    void settleDown(); // lets the nodes work until all have completed their fills, or a time has passed
    std::string check(); // of the end: returns a violation or an empty string
    bool reserve(const std::string& program); // returns whether the tokens were granted
    bool keepTurn();
    void maintain(const std::string& name);
    void killAfterDeliveries(const std::string& name, int deliveries); // in its next maintenance
    bool wasKilled(const std::string& name) const { return !this->nodeOf(name).node; }
    bool inRoster(const std::string& name) { return this->newestRoster().find(name) != nullptr; }
    bool retired(const std::string& name) const;
    void kill(const std::string& name) { this->kill(this->nodeOf(name)); }
    void wipe(const std::string& name) { this->wipe(this->nodeOf(name)); }
    void failNextWrite(const std::string& name); // to the node's log
    std::string add(bool firstStart) { return this->addNode(firstStart).name; } // returns its name
    void restart(const std::string& name);
    void retire(const std::string& name);
    void stopLeaving(const std::string& name) { this->nodeOf(name).retiring = false; } // at its next start
    void removeRetired(); // with their disks
    void advance(Duration amount);

    const std::vector<std::string>& schedule() const { return this->lines; }

    static constexpr std::uint64_t budget = 5; // of each program, with one token a reservation

private:
    struct Killed { };
    class Peers;
    struct Node {
        std::string name;
        std::string address;
        std::string dataCentre;
        std::string folder;
        std::unique_ptr<Peers> peers;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<RecordNode> node; // null while it is down
        bool cut = false;
        bool retiring = false; // the request to retire outlives restarts
        bool removed = false;
    };

    const Node& nodeOf(const std::string& name) const;
    Node& nodeOf(const std::string& name);
    Node& addNode(bool firstStart);
    void start(Node& node, bool firstStart);
    void kill(Node& node);
    void wipe(Node& node);
    void remove(Node& node);
    PeerResult deliver(const std::string& from, const std::string& address, const PeerRequest& request);
    void countTowardsKill(const std::string& from);
    bool chance(int percent);
    std::size_t pick(std::size_t count);
    std::vector<Node*> nodesWhere(bool up);
    Roster newestRoster();
    bool allFilled();
    void randomStep();
    void changeMembership();
    void repair();
    std::optional<RecordResponse> ask(const RosterMember& member, const RecordRequest& request);
    bool reserveAndSettle(const std::string& program, const Roster& roster);
    bool reserveOnce(const Roster& roster, const Reservation& reservation);
    bool findTurn(const std::string& id);
    void note(std::string line) { this->lines.push_back(std::move(line)); }

    const SimulationOptions options;
    std::mt19937_64 random;
    ManualClock clock { 1'700'000'000'000 };
    InMemoryObjectStore store;
    Counters clientCounters;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, std::uint64_t> granted; // tokens by program
    std::vector<std::string> keptTurns;
    std::vector<std::string> lines;
    std::string acting; // node whose maintenance runs
    std::optional<int> deliveriesUntilKill;
    int requests = 0;
    bool faults = true;
    std::string callerBeside; // node that is cut off together with the caller; empty if the caller is not cut off
};

} // namespace lovagecross
