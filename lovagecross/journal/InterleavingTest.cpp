// Tests the lease and the journal together in a simulation with random schedules. Several nodes of one data centre
// compete for one shard while clocks drift, processes pause, die and restart, messages and answers are lost or delayed,
// and the platform fails.
//
// Each node has two threads, one that maintains the lease and one that reads and writes the journal. Only one thread of
// all nodes runs at a time, up to its next store call or message, so that the schedule depends only on the seed.
// LOVAGECROSS_SEED=n runs only seed n.

#include "lovagecross/journal/Journal.h"
#include "lovagecross/lease/ShardLease.h"
#include "lovagecross/testing/InMemoryObjectStore.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <semaphore>
#include <set>
#include <stdexcept>
#include <thread>

namespace lovagecross {

namespace {

using namespace std::chrono_literals;
using RecordIds = std::vector<std::uint64_t>;

constexpr int nodeCount = 4;
constexpr std::uint64_t seedsPerRun = 48;
constexpr std::uint64_t stepsPerSeed = 20000; // about 100 s of simulated time
constexpr Duration copyFetchTimeout = 3s; // for fetching the bridge copies from the standby
constexpr Duration maxReopenTime = 150s; // after the end of all faults; more than three horizons
const ShardId shard { "lodz1", 2 };

LeaseSettings leaseSettings()
{
    LeaseSettings settings;
    settings.horizon = 40s; // short enough to expire within a run of about 100 s
    // Larger than the default of 0.01: with 0.01, none of 160 seeds detected overlapping authority when the lease code
    // didn't allow for clock drift.
    settings.maxClockDrift = 0.05;
    return settings;
}

JournalSettings journalSettings()
{
    JournalSettings settings;
    settings.minCommitInterval = 100ms;
    settings.compactAfterObjects = 8;
    return settings;
}

// Thrown in a node's threads to unwind them when the node dies or the simulation ends.
struct NodeDied { };

// The in-memory state of a node's process, which is lost when the process dies.
struct Process {
    NodeIncarnation self;
    LeaseObserver observer;
    HolderLease lease;
    std::unique_ptr<Journal> journal;
    RecordIds history; // durable records
    std::deque<std::pair<JournalTicket, std::uint64_t>> waiting; // appended records, not yet durable
    std::vector<JournalBatch> copies; // bridge copies stored as a standby
    std::uint64_t refusedEpoch = 0; // copies of this epoch and of earlier epochs are rejected
    bool takingOver = false;
    bool bridging = false;
    bool changingStandby = false;
    bool releasing = false;
    std::optional<TimePoint> unresolvedWrite; // start of the earliest lease write whose result is unknown
    std::uint64_t claimedEpoch = 0;
    TimePoint claimStart;
    std::vector<JournalBatch> takeoverCopies;

    Process(const NodeIncarnation& self, const std::string& address)
        : self(self)
        , observer(leaseSettings(), self, address)
        , lease(leaseSettings(), self, address)
    {
    }
};

// A thread that the scheduler runs one step at a time.
struct SteppedThread {
    std::binary_semaphore resume { 0 };
    std::thread thread;
};

class Simulation;

struct Node {
    std::string name;
    double clockRate = 1;
    Duration clockOffset { 0 };
    bool alive = true;
    Duration wakesAt { 0 }; // end of a pause if alive, otherwise time of the restart
    Duration cutUntil { 0 }; // until then the node can't reach the platform
    std::unique_ptr<Process> process;
    std::unique_ptr<ObjectStore> store;
    SteppedThread leaseThread;
    SteppedThread journalThread;

    std::string address() const { return "127.0.0.1:" + this->name; }
};

// A record that was reported to its caller as durable.
struct AcknowledgedRecord {
    std::uint64_t id = 0;
    std::uint64_t epoch = 0;
    bool bridged = false; // stored only by the standby, not yet drained to the platform
    NodeIncarnation owner;
    NodeIncarnation standby;
};

class Simulation {
public:
    Simulation(std::uint64_t seed, std::uint64_t steps);
    ~Simulation();

    // Returns a description of the first failure, or an empty string.
    std::string run();

    std::uint64_t stepCount = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t bridgedCount = 0;
    std::uint64_t permittedLosses = 0;
    std::size_t acknowledgedCount() const { return this->acknowledged.size(); }

    void yield(Node& node);
    StoreFault drawFault(Node& node);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(this->random) < probability; }
    std::uint64_t randomBelow(std::uint64_t limit) { return this->random() % limit; }
    void scheduleLateWrite(std::function<void()> write);
    InMemoryObjectStore platform;

private:
    void startThread(Node& node, SteppedThread& steppedThread, void (Simulation::*body)(Node&));
    void resume(SteppedThread& steppedThread);
    void unwindIfDead(const Node& node) const;
    void step();
    void injectFaults();
    void kill(Node& node);
    void endFaults();
    void checkSingleAuthority();
    void reportFailure(const std::string& what);
    bool canRun(const Node& node) const { return node.alive && node.wakesAt <= this->simulatedTime; }
    bool connected(const Node& left, const Node& right) const;
    Node& nodeNamed(const std::string& name);
    TimePoint now(const Node& node) const;
    bool isAlive(const NodeIncarnation& incarnation);

    void maintainLease(Node& node);
    void maintainHeldLease(Node& node);
    void observe(Node& node);
    void claim(Node& node);
    void requestPromise(Node& node);
    void writeLease(Node& node, const LeaseRecord& record, bool standbyChange);
    void readBack(Node& node);
    void changeStandby(Node& node);
    void release(Node& node);
    bool collectCopies(Node& node, TakeoverReason reason);

    void maintainJournal(Node& node);
    static bool ownsJournal(const Process& process);
    static void loseLease(Process& process, std::uint64_t epoch);
    void recover(Node& node);
    void snapshot(Node& node, std::uint32_t generation, const std::vector<std::uint32_t>& oldGenerations);
    void serveOwnedShard(Node& node);
    void flush(Node& node);
    void drain(Node& node);
    void compact(Node& node);
    bool bridge(Node& node, const JournalBatch& batch);
    void acknowledge(Node& node, FlushOutcome outcome, const NodeIncarnation& standby);
    void checkRecovered(const Process& process, std::uint64_t epoch, const RecordIds& ids);

    std::mt19937_64 random;
    std::uint64_t seed;
    std::uint64_t stepLimit;
    // Whether a pause stops the node's clock too. If so, authority may overlap, but still no record may be lost.
    bool frozenClocks;
    std::vector<std::unique_ptr<Node>> nodes;
    Duration simulatedTime { 0 };
    Duration outageUntil { 0 };
    Duration linksCutUntil { 0 };
    std::uint64_t linkCuts = 0; // bit i * nodeCount + j: nodes i and j can't reach each other
    bool faultsEnded = false;
    std::multimap<Duration, std::function<void()>> lateWrites;
    std::binary_semaphore toScheduler { 0 };
    std::uint64_t lastIncarnation = 0;
    std::uint64_t lastRecordId = 0;
    std::vector<AcknowledgedRecord> acknowledged;
    std::set<std::uint64_t> fencedIds;
    RecordIds recovered; // history recovered by the newest epoch that has recovered the journal
    std::uint64_t recoveredEpoch = 0; // that epoch
    std::uint64_t missedCopiesEpoch = 0; // epoch of the newest claim that could not fetch the bridge copies
    std::string failure;
    bool stopping = false;
};

// The platform's object store as seen by one node, with injected faults. Other threads may run before and after each
// call takes effect.
class NodeStore final : public ObjectStore {
public:
    NodeStore(Simulation& simulation, Node& node)
        : simulation(simulation)
        , node(node)
    {
    }

    StoreResult get(std::string_view key) override
    {
        return this->call<StoreResult>(false, [this, key = std::string(key)] { return this->platform().get(key); });
    }

    StoreResult create(std::string_view key, std::string_view value) override
    {
        return this->call<StoreResult>(true,
            [this, key = std::string(key), value = std::string(value)] { return this->platform().create(key, value); });
    }

    StoreResult update(std::string_view key, std::string_view value, std::uint64_t version) override
    {
        return this->call<StoreResult>(true, [this, key = std::string(key), value = std::string(value), version] {
            return this->platform().update(key, value, version);
        });
    }

    StoreResult remove(std::string_view key, std::uint64_t version) override
    {
        return this->call<StoreResult>(
            true, [this, key = std::string(key), version] { return this->platform().remove(key, version); });
    }

    ListResult list(std::string_view prefix, bool withValues) override
    {
        return this->call<ListResult>(false,
            [this, prefix = std::string(prefix), withValues] { return this->platform().list(prefix, withValues); });
    }

    StoreResult watch(std::string_view key, std::uint64_t, Duration) override { return this->get(key); }

private:
    InMemoryObjectStore& platform() { return this->simulation.platform; }

    template <typename Answer, typename Operation> Answer call(bool isWrite, Operation operation)
    {
        this->simulation.yield(this->node);
        StoreFault fault = this->simulation.drawFault(this->node);
        Answer answer;
        answer.status = fault == StoreFault::RateLimited ? StoreStatus::RateLimited : StoreStatus::Unavailable;
        if (fault == StoreFault::None || fault == StoreFault::LostAfter)
            answer = operation();
        if (fault == StoreFault::LostBefore && isWrite && this->simulation.chance(0.5))
            this->simulation.scheduleLateWrite([operation] { operation(); });
        if (fault == StoreFault::LostAfter || fault == StoreFault::LostBefore)
            answer.status = StoreStatus::Unknown;
        this->simulation.yield(this->node);
        return answer;
    }

    Simulation& simulation;
    Node& node;
};

Simulation::Simulation(std::uint64_t seed, std::uint64_t steps)
    : random(seed)
    , seed(seed)
    , stepLimit(steps)
    , frozenClocks(seed % 4 == 0)
{
    for (int i = 0; i < nodeCount; ++i) {
        auto node = std::make_unique<Node>();
        node->name = std::string(1, static_cast<char>('a' + i));
        node->clockRate = 1 + leaseSettings().maxClockDrift * (static_cast<double>(this->randomBelow(3)) - 1);
        node->clockOffset = std::chrono::seconds(1000 + this->randomBelow(1000));
        node->store = std::make_unique<NodeStore>(*this, *node);
        this->nodes.push_back(std::move(node));
    }
    for (auto& node : this->nodes) {
        node->process
            = std::make_unique<Process>(NodeIncarnation { node->name, ++this->lastIncarnation }, node->address());
        this->startThread(*node, node->leaseThread, &Simulation::maintainLease);
        this->startThread(*node, node->journalThread, &Simulation::maintainJournal);
    }
}

Simulation::~Simulation()
{
    this->stopping = true;
    for (auto& node : this->nodes) {
        for (SteppedThread* steppedThread : { &node->leaseThread, &node->journalThread }) {
            this->resume(*steppedThread);
            steppedThread->thread.join();
        }
    }
}

void Simulation::startThread(Node& node, SteppedThread& steppedThread, void (Simulation::*body)(Node&))
{
    steppedThread.thread = std::thread([this, &node, &steppedThread, body] {
        steppedThread.resume.acquire();
        while (!this->stopping) {
            try {
                for (;;) {
                    (this->*body)(node);
                    this->yield(node);
                }
            } catch (const NodeDied&) {
                this->toScheduler.release(); // the stack is unwound; resumed after the node has restarted
                if (!this->stopping)
                    steppedThread.resume.acquire();
            }
        }
        this->toScheduler.release();
    });
}

void Simulation::resume(SteppedThread& steppedThread)
{
    steppedThread.resume.release();
    this->toScheduler.acquire();
}

void Simulation::yield(Node& node)
{
    SteppedThread& steppedThread
        = std::this_thread::get_id() == node.leaseThread.thread.get_id() ? node.leaseThread : node.journalThread;
    this->toScheduler.release();
    steppedThread.resume.acquire();
    this->unwindIfDead(node);
}

// Throws NodeDied if the node is dead or the simulation is ending. Must also be called after handle(), which converts
// every exception, including NodeDied, to an error.
void Simulation::unwindIfDead(const Node& node) const
{
    if (this->stopping || !node.alive)
        throw NodeDied();
}

StoreFault Simulation::drawFault(Node& node)
{
    if (this->simulatedTime < this->outageUntil || this->simulatedTime < node.cutUntil)
        return this->chance(0.2) ? StoreFault::LostBefore : StoreFault::Unavailable;
    if (this->faultsEnded || this->chance(0.92))
        return StoreFault::None;
    constexpr StoreFault faults[]
        = { StoreFault::RateLimited, StoreFault::Unavailable, StoreFault::LostBefore, StoreFault::LostAfter };
    return faults[this->randomBelow(std::size(faults))];
}

void Simulation::scheduleLateWrite(std::function<void()> write)
{
    this->lateWrites.emplace(
        this->simulatedTime + std::chrono::milliseconds(this->randomBelow(8000)), std::move(write));
}

void Simulation::reportFailure(const std::string& what)
{
    if (this->failure.empty())
        this->failure = "seed " + std::to_string(this->seed) + ", step " + std::to_string(this->stepCount) + ", "
            + std::to_string(toMillis(this->simulatedTime)) + " ms: " + what;
}

TimePoint Simulation::now(const Node& node) const
{
    auto local = std::chrono::duration<double, std::nano>(this->simulatedTime) * node.clockRate;
    return TimePoint(node.clockOffset + std::chrono::duration_cast<Duration>(local));
}

Node& Simulation::nodeNamed(const std::string& name)
{
    return **std::find_if(this->nodes.begin(), this->nodes.end(), [&](auto& node) { return node->name == name; });
}

bool Simulation::isAlive(const NodeIncarnation& incarnation)
{
    Node& node = this->nodeNamed(incarnation.node);
    return node.alive && node.process->self == incarnation;
}

bool Simulation::connected(const Node& left, const Node& right) const
{
    auto index = [&](const Node& node) { return static_cast<std::uint64_t>(node.name[0] - 'a'); };
    std::uint64_t bits
        = (1ULL << (index(left) * nodeCount + index(right))) | (1ULL << (index(right) * nodeCount + index(left)));
    return this->simulatedTime >= this->linksCutUntil || (this->linkCuts & bits) == 0;
}

void Simulation::kill(Node& node)
{
    node.alive = false;
    this->resume(node.leaseThread);
    this->resume(node.journalThread);
    node.wakesAt = this->simulatedTime + std::chrono::milliseconds(200 + this->randomBelow(8000));
}

// Injects random faults. They affect the lease holder more often than other nodes, and most of them last about as long
// as a lease.
void Simulation::injectFaults()
{
    auto randomTimeWithin = [&](std::uint64_t millis) {
        return this->simulatedTime + std::chrono::milliseconds(this->randomBelow(millis));
    };
    Node* target = this->nodes[this->randomBelow(nodeCount)].get();
    for (auto& node : this->nodes) {
        if (node->alive && node->process->lease.held() && this->chance(0.4))
            target = node.get();
    }
    Node& node = *target;
    if (this->chance(0.0006) && node.alive)
        this->kill(node);
    if (this->chance(0.0015) && this->canRun(node)) {
        node.wakesAt = randomTimeWithin(9000);
        if (this->frozenClocks)
            node.clockOffset
                -= std::chrono::duration_cast<Duration>((node.wakesAt - this->simulatedTime) * node.clockRate);
    }
    if (this->chance(0.0003))
        node.cutUntil = randomTimeWithin(8000);
    if (this->chance(0.0002))
        this->outageUntil = randomTimeWithin(this->chance(0.1) ? 60000 : 6000);
    if (this->chance(0.0008)) {
        this->linksCutUntil = randomTimeWithin(6000);
        this->linkCuts = this->random() & this->random();
    }
}

void Simulation::endFaults()
{
    this->faultsEnded = true;
    this->outageUntil = this->linksCutUntil = this->simulatedTime;
    for (auto& node : this->nodes) {
        node->cutUntil = this->simulatedTime;
        node->wakesAt = std::min(node->wakesAt, this->simulatedTime);
    }
}

void Simulation::step()
{
    ++this->stepCount;
    this->simulatedTime += std::chrono::microseconds(this->randomBelow(10000));
    while (!this->lateWrites.empty() && this->lateWrites.begin()->first <= this->simulatedTime) {
        auto write = std::move(this->lateWrites.begin()->second);
        this->lateWrites.erase(this->lateWrites.begin());
        write();
    }
    if (!this->faultsEnded)
        this->injectFaults();
    for (auto& node : this->nodes) {
        if (node->alive || node->wakesAt > this->simulatedTime)
            continue;
        node->process
            = std::make_unique<Process>(NodeIncarnation { node->name, ++this->lastIncarnation }, node->address());
        node->alive = true;
    }
    Node& node = *this->nodes[this->randomBelow(nodeCount)];
    if (this->canRun(node))
        this->resume(this->chance(0.5) ? node.leaseThread : node.journalThread);
    this->checkSingleAuthority();
}

void Simulation::checkSingleAuthority()
{
    std::string holders;
    int count = 0;
    for (auto& node : this->nodes) {
        if (node->alive && node->process->lease.hasAuthority(this->now(*node))) {
            ++count;
            holders += " " + node->name;
        }
    }
    if (count > 1 && !this->frozenClocks)
        this->reportFailure("two nodes have authority:" + holders);
}

std::string Simulation::run()
{
    while (this->failure.empty() && this->stepCount < this->stepLimit)
        this->step();
    this->endFaults();
    std::uint64_t before = this->lastRecordId;
    Duration deadline = this->simulatedTime + maxReopenTime;
    auto reopened = [&] {
        return !this->acknowledged.empty() && this->acknowledged.back().id > before + 20 && this->lateWrites.empty();
    };
    while (this->failure.empty() && !reopened()) {
        this->step();
        if (this->simulatedTime > deadline)
            this->reportFailure("the shard is not open after all faults have ended");
    }
    return this->failure;
}

// ---- Lease maintenance.

void Simulation::maintainLease(Node& node)
{
    Process& process = *node.process;
    if (process.releasing)
        this->release(node);
    else if (process.lease.held())
        this->maintainHeldLease(node);
    else {
        if (this->chance(0.1))
            this->observe(node);
        this->claim(node);
    }
}

void Simulation::maintainHeldLease(Node& node)
{
    Process& process = *node.process;
    HolderLease& lease = process.lease;
    TimePoint time = this->now(node);
    if (lease.promiseDue(time))
        this->requestPromise(node);
    if (lease.held() && (lease.renewalDue(time) || process.unresolvedWrite))
        this->writeLease(node, lease.renewal(), false);
    bool withoutStandby = lease.held() && lease.record().standby.empty();
    if (lease.held() && (withoutStandby || lease.standbySuspect(this->now(node))))
        this->changeStandby(node);
    if (!this->faultsEnded && this->chance(0.0005) && process.journal && process.journal->bridged().empty()
        && !process.bridging && !process.unresolvedWrite) {
        lease.markLost();
        process.releasing = true;
    }
}

void Simulation::requestPromise(Node& node)
{
    Process& process = *node.process;
    LeaseRecord record = process.lease.record();
    TimePoint sentAt = this->now(node);
    process.lease.promiseRequested(sentAt);
    this->yield(node);
    Node& peer = this->nodeNamed(record.standby.node);
    if (!this->connected(node, peer) || !this->canRun(peer) || this->chance(0.05))
        return;
    NodeIncarnation from = peer.process->self;
    std::optional<Duration> promised;
    if (from == record.standby)
        promised = peer.process->observer.promise(this->now(peer), record.epoch, record.holder);
    this->yield(node);
    if (this->chance(0.05))
        return;
    if (from != record.standby)
        process.lease.standbyRestarted(sentAt, this->now(node), from);
    else if (promised)
        process.lease.promiseReceived(sentAt, record.epoch, from, *promised);
}

void Simulation::writeLease(Node& node, const LeaseRecord& record, bool standbyChange)
{
    Process& process = *node.process;
    TimePoint startedAt = this->now(node);
    if (standbyChange)
        process.lease.standbyChangeStarted(startedAt);
    process.changingStandby |= standbyChange;
    StoreResult result = node.store->update(leaseKey(shard), encodeLease(record), process.lease.version());
    if (result.ok()) {
        process.lease.writeSucceeded(startedAt, record, result.object.version);
        process.unresolvedWrite.reset();
        process.changingStandby = false;
        return;
    }
    if (result.status == StoreStatus::Unknown && !process.unresolvedWrite)
        process.unresolvedWrite = startedAt;
    if (result.status != StoreStatus::Unknown && standbyChange && !process.unresolvedWrite) {
        process.lease.standbyChangeRejected();
        process.changingStandby = false;
    }
    if (result.status == StoreStatus::Unknown || result.status == StoreStatus::Conflict)
        this->readBack(node);
}

void Simulation::readBack(Node& node)
{
    Process& process = *node.process;
    StoreResult present = node.store->get(leaseKey(shard));
    if (!present.ok())
        return;
    LeaseRecord record = *decodeLease(leaseKey(shard), present.object.value);
    if (record.holder != process.self || record.epoch != process.lease.record().epoch) {
        process.lease.markLost();
        process.unresolvedWrite.reset();
        process.changingStandby = false;
    } else if (present.object.version > process.lease.version() && process.unresolvedWrite) {
        process.lease.writeSucceeded(*process.unresolvedWrite, record, present.object.version);
        process.unresolvedWrite.reset();
        process.changingStandby = false;
    }
}

void Simulation::changeStandby(Node& node)
{
    Process& process = *node.process;
    bool drained = !process.journal || process.journal->bridged().empty();
    if (!drained || process.bridging || process.unresolvedWrite)
        return;
    Node& candidate = *this->nodes[this->randomBelow(nodeCount)];
    const NodeIncarnation& standby = candidate.process->self;
    if (&candidate == &node || standby == process.lease.record().standby)
        return;
    this->writeLease(node, process.lease.withStandby(standby, candidate.address()), true);
}

void Simulation::release(Node& node)
{
    Process& process = *node.process;
    if (process.journal)
        return; // the journal thread must discard it first
    StoreResult result
        = node.store->update(leaseKey(shard), encodeLease(process.lease.release()), process.lease.version());
    process.releasing = result.status != StoreStatus::Ok && result.status != StoreStatus::Conflict;
}

void Simulation::observe(Node& node)
{
    Process& process = *node.process;
    StoreResult present = node.store->get(leaseKey(shard));
    if (present.status != StoreStatus::Ok && present.status != StoreStatus::NotFound)
        return;
    std::optional<LeaseRecord> record;
    if (present.ok())
        record = *decodeLease(leaseKey(shard), present.object.value);
    std::uint64_t known = process.observer.version();
    process.observer.observed(this->now(node), record, present.object.version);
    if (process.observer.version() != known)
        process.takingOver = false;
    bool ownClaim = record && record->holder == process.self && !record->released && !process.lease.held();
    if (ownClaim && record->epoch == process.claimedEpoch && process.lease.record().epoch < record->epoch) {
        process.lease.writeSucceeded(process.claimStart, *record, present.object.version);
        ++this->takeovers;
    }
}

// Fetches the bridge copies from the standby that the lease names and writes them to the platform. Returns false if the
// platform failed and the caller must try again later. Succeeds without copies if the standby can't be reached within
// copyFetchTimeout.
bool Simulation::collectCopies(Node& node, TakeoverReason reason)
{
    Process& process = *node.process;
    const LeaseRecord record = process.observer.record().value_or(LeaseRecord {});
    if (reason == TakeoverReason::Vacant || reason == TakeoverReason::Released || record.standby.empty())
        return true;
    Node& standby = this->nodeNamed(record.standby.node);
    Duration deadline = this->simulatedTime + copyFetchTimeout;
    while (this->simulatedTime < deadline) {
        this->yield(node);
        bool reachable = &standby == &node || (this->connected(node, standby) && this->canRun(standby));
        if (!reachable)
            continue;
        process.takeoverCopies = standby.process->copies;
        standby.process->refusedEpoch = std::max(standby.process->refusedEpoch, record.epoch);
        return createBridgeCopies(*node.store, process.takeoverCopies) != FlushOutcome::Retry;
    }
    this->missedCopiesEpoch = std::max(this->missedCopiesEpoch, record.epoch + 1);
    return true;
}

void Simulation::claim(Node& node)
{
    Process& process = *node.process;
    TakeoverReason reason = process.observer.takeoverReason(this->now(node));
    if (reason == TakeoverReason::None)
        return;
    process.observer.takeoverStarted();
    bool unresolved = process.takingOver; // an earlier claim may still take effect
    process.takingOver = true;
    process.takeoverCopies.clear();
    std::uint64_t version = process.observer.version();
    Node& candidate = *this->nodes[this->randomBelow(nodeCount)];
    LeaseRecord record = process.observer.claim(candidate.process->self, candidate.address());
    if (&candidate == &node) {
        record.standby = {};
        record.standbyAddress.clear();
    }
    bool ready = this->collectCopies(node, reason);
    TimePoint startedAt = this->now(node);
    StoreResult result;
    if (ready) {
        if (!unresolved)
            process.claimStart = startedAt;
        process.claimedEpoch = record.epoch;
        std::string value = encodeLease(record);
        result = reason == TakeoverReason::Vacant ? node.store->create(leaseKey(shard), value)
                                                  : node.store->update(leaseKey(shard), value, version);
    }
    if (result.ok()) {
        process.lease.writeSucceeded(startedAt, record, result.object.version);
        process.observer.observed(this->now(node), record, result.object.version);
        process.takingOver = false;
        ++this->takeovers;
    } else if (result.status != StoreStatus::Unknown && !unresolved) {
        process.takingOver = false;
        process.observer.takeoverRejected();
    }
}

// ---- Journal.

// Returns whether the process holds the lease in its journal's epoch. This is also false if the lease was lost and
// claimed again during a store call.
bool Simulation::ownsJournal(const Process& process)
{
    return process.lease.held() && process.journal && process.journal->epoch() == process.lease.record().epoch;
}

// Called when the journal was fenced in `epoch`. Keeps the lease if the process has claimed a later epoch meanwhile.
void Simulation::loseLease(Process& process, std::uint64_t epoch)
{
    if (process.lease.record().epoch == epoch)
        process.lease.markLost();
}

void Simulation::maintainJournal(Node& node)
{
    Process& process = *node.process;
    if (process.journal && !ownsJournal(process)) {
        process.journal.reset();
        process.waiting.clear();
    }
    if (!process.lease.held())
        return;
    if (!process.journal)
        this->recover(node);
    else
        this->serveOwnedShard(node);
}

void Simulation::recover(Node& node)
{
    Process& process = *node.process;
    std::uint64_t epoch = process.lease.record().epoch;
    Error error;
    auto recovered = handle(
        [&]() -> Result<std::optional<RecoveredShard>> {
            BOOST_LEAF_AUTO(result, recoverShard(*node.store, shard, { process.self, epoch }, process.takeoverCopies));
            return std::optional<RecoveredShard>(std::move(result));
        },
        [&](const Error& reported) {
            error = reported;
            return std::optional<RecoveredShard>();
        });
    this->unwindIfDead(node);
    if (!recovered) {
        if (error.code == ErrorCode::VersionConflict)
            loseLease(process, epoch);
        else if (error.code != ErrorCode::Unavailable)
            this->reportFailure(error.message);
        return;
    }
    RecordIds ids;
    for (const Record& record : recovered->records) {
        if (const auto* finished = std::get_if<CallFinished>(&record))
            ids.push_back(std::stoull(finished->requestId));
        if (const auto* part = std::get_if<ProgramSnapshot>(&record)) {
            for (const TurnSnapshot& turn : part->turns)
                ids.push_back(std::stoull(turn.requestId));
        }
    }
    this->checkRecovered(process, epoch, ids);
    process.history = ids;
    process.waiting.clear();
    this->snapshot(node, recovered->nextGeneration, recovered->oldGenerations);
}

// Writes the history as a snapshot in parts of ten turns and opens the journal after it.
void Simulation::snapshot(Node& node, std::uint32_t generation, const std::vector<std::uint32_t>& oldGenerations)
{
    constexpr std::size_t turnsPerPart = 10;
    constexpr std::size_t snapshotBatchBytes = 2000;
    Process& process = *node.process;
    JournalWriter writer { process.self, process.lease.record().epoch };
    std::vector<Record> parts;
    for (std::size_t i = 0; i < process.history.size(); ++i) {
        if (i % turnsPerPart == 0)
            parts.emplace_back(ProgramSnapshot {});
        TurnSnapshot turn;
        turn.requestId = std::to_string(process.history[i]);
        std::get<ProgramSnapshot>(parts.back()).turns.push_back(turn);
    }
    while (process.lease.held() && process.lease.record().epoch == writer.epoch) {
        bool retry = false;
        auto position = handle(
            [&]() -> Result<std::optional<JournalPosition>> {
                BOOST_LEAF_AUTO(
                    result, writeSnapshot(*node.store, shard, writer, generation, parts, snapshotBatchBytes));
                return std::optional<JournalPosition>(result);
            },
            [&](const Error& error) {
                retry = error.code == ErrorCode::Unavailable;
                return std::optional<JournalPosition>();
            });
        this->unwindIfDead(node);
        if (position) {
            process.journal = std::make_unique<Journal>(shard, writer, *position, journalSettings());
            removeGenerations(*node.store, shard, oldGenerations);
            return;
        }
        if (!retry) {
            loseLease(process, writer.epoch);
            return;
        }
    }
}

void Simulation::serveOwnedShard(Node& node)
{
    Process& process = *node.process;
    if (process.lease.hasAuthority(this->now(node)) && this->chance(0.3)) {
        CallFinished record;
        record.requestId = std::to_string(++this->lastRecordId);
        if (Result<JournalTicket> ticket = process.journal->append({ record }))
            process.waiting.emplace_back(*ticket, this->lastRecordId);
    }
    if (process.journal->flushDue(this->now(node)))
        this->flush(node);
    bool idle = ownsJournal(process) && process.journal->bridged().empty();
    if (idle && process.journal->compactionDue())
        this->compact(node);
}

void Simulation::drain(Node& node)
{
    Process& process = *node.process;
    while (!process.journal->bridged().empty()) {
        JournalBatch batch = process.journal->bridged().front();
        FlushOutcome outcome = writeBatch(*node.store, batch);
        if (outcome == FlushOutcome::Fenced) {
            process.journal->finishFlush(outcome);
            loseLease(process, process.journal->epoch());
        }
        if (outcome != FlushOutcome::Committed)
            return;
        process.journal->bridgedBatchesWritten(batch.position);
        for (AcknowledgedRecord& record : this->acknowledged)
            record.bridged &= record.owner != process.self || !process.journal->bridged().empty();
    }
}

void Simulation::flush(Node& node)
{
    Process& process = *node.process;
    this->drain(node);
    std::optional<JournalBatch> batch = process.journal->beginFlush(this->now(node));
    if (!batch)
        return;
    NodeIncarnation standby = process.lease.record().standby;
    FlushOutcome outcome = commitBatch(
        *node.store, [&](const JournalBatch& copy) { return this->bridge(node, copy); }, *batch,
        !process.journal->bridged().empty());
    process.journal->finishFlush(outcome);
    if (outcome == FlushOutcome::Fenced) {
        for (auto& [ticket, id] : process.waiting)
            this->fencedIds.insert(id);
        loseLease(process, process.journal->epoch());
    }
    this->acknowledge(node, outcome, standby);
}

bool Simulation::bridge(Node& node, const JournalBatch& batch)
{
    Process& process = *node.process;
    LeaseRecord record = process.lease.record();
    if (!ownsJournal(process) || process.changingStandby || record.standby.empty())
        return false;
    process.bridging = true;
    this->yield(node);
    Node& peer = this->nodeNamed(record.standby.node);
    bool stored = this->connected(node, peer) && this->canRun(peer) && peer.process->self == record.standby;
    if (stored) {
        Process& other = *peer.process;
        std::uint64_t seen = other.observer.record() ? other.observer.record()->epoch : 0;
        stored = !other.takingOver && record.epoch >= seen && record.epoch > other.refusedEpoch;
        if (stored)
            other.copies.push_back(batch);
    }
    this->yield(node);
    process.bridging = false;
    return stored && !this->chance(0.1) && ownsJournal(process);
}

// Acknowledges the records that have become durable to their callers, if the owner still has authority.
void Simulation::acknowledge(Node& node, FlushOutcome outcome, const NodeIncarnation& standby)
{
    Process& process = *node.process;
    bool authority = ownsJournal(process) && process.lease.hasAuthority(this->now(node));
    while (!process.waiting.empty() && process.journal->state(process.waiting.front().first) == TicketState::Durable) {
        std::uint64_t id = process.waiting.front().second;
        process.waiting.pop_front();
        process.history.push_back(id);
        bool bridged = outcome == FlushOutcome::Bridged;
        AcknowledgedRecord record { id, process.lease.record().epoch, bridged, process.self, standby };
        // An owner whose clock was stopped may acknowledge records after its successor has. The list is kept in order
        // of epochs, as the records are in the journal.
        auto place = std::upper_bound(this->acknowledged.begin(), this->acknowledged.end(), record,
            [](const AcknowledgedRecord& left, const AcknowledgedRecord& right) { return left.epoch < right.epoch; });
        if (authority)
            this->acknowledged.insert(place, record);
        this->bridgedCount += authority && bridged ? 1 : 0;
    }
}

void Simulation::compact(Node& node)
{
    Process& process = *node.process;
    std::uint32_t generation = process.journal->position().generation;
    std::uint64_t epoch = process.lease.record().epoch;
    Result<JournalTicket> ticket = process.journal->append({ Seal { epoch, process.self, generation + 1 } });
    if (!ticket)
        return;
    JournalTicket seal = *ticket;
    while (process.journal->state(seal) == TicketState::Pending || !process.journal->bridged().empty()) {
        this->yield(node);
        if (!ownsJournal(process))
            return;
        if (process.journal->flushDue(this->now(node)))
            this->flush(node);
        else
            this->drain(node);
    }
    if (process.journal->state(seal) == TicketState::Durable && ownsJournal(process))
        this->snapshot(node, generation + 1, { generation });
}

void Simulation::checkRecovered(const Process& process, std::uint64_t epoch, const RecordIds& ids)
{
    std::set<std::uint64_t> unique(ids.begin(), ids.end());
    if (unique.size() != ids.size())
        this->reportFailure("a record was recovered twice");
    for (std::uint64_t id : this->fencedIds) {
        if (unique.contains(id))
            this->reportFailure("record " + std::to_string(id) + " was reported as fenced and is in the journal");
    }
    bool stale = epoch < this->recoveredEpoch; // a later epoch has recovered the journal since this one sealed it
    const RecordIds& shorter = stale ? ids : this->recovered;
    const RecordIds& longer = stale ? this->recovered : ids;
    if (shorter.size() > longer.size() || !std::equal(shorter.begin(), shorter.end(), longer.begin()))
        this->reportFailure("epoch " + std::to_string(epoch) + " recovered another history than epoch "
            + std::to_string(this->recoveredEpoch));
    if (stale)
        return;
    this->recovered = ids;
    this->recoveredEpoch = epoch;
    std::size_t next = 0;
    std::vector<AcknowledgedRecord> kept;
    for (const AcknowledgedRecord& record : this->acknowledged) {
        std::size_t found = next;
        while (found < ids.size() && ids[found] != record.id)
            ++found;
        if (found < ids.size()) {
            next = found + 1;
            kept.push_back(record);
            continue;
        }
        bool bothDead = !this->isAlive(record.owner) && !this->isAlive(record.standby);
        bool missed = this->missedCopiesEpoch > record.epoch;
        if (!record.bridged || (!bothDead && !missed))
            this->reportFailure("record " + std::to_string(record.id) + " of epoch " + std::to_string(record.epoch)
                + (record.bridged ? ", bridged," : ", committed,") + " is not in the history that " + process.self.node
                + " recovered in epoch " + std::to_string(epoch));
        ++this->permittedLosses;
    }
    this->acknowledged = kept;
}

} // namespace

class InterleavingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InterleavingTest);
    CPPUNIT_TEST(randomSchedules);
    CPPUNIT_TEST_SUITE_END();

    // Fails if two nodes have authority at the same time; if an acknowledged record is lost, duplicated or out of order
    // after a takeover; or if the shard doesn't open again after all faults have ended.
    void randomSchedules()
    {
        const char* seedOverride = std::getenv("LOVAGECROSS_SEED");
        std::uint64_t first = seedOverride ? std::strtoull(seedOverride, nullptr, 10) : 1;
        std::uint64_t last = seedOverride ? first : seedsPerRun;
        std::uint64_t steps = 0;
        std::uint64_t takeovers = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t bridged = 0;
        std::uint64_t permittedLosses = 0;
        auto startedAt = std::chrono::steady_clock::now();
        for (std::uint64_t seed = first; seed <= last; ++seed) {
            Simulation simulation(seed, stepsPerSeed);
            std::string failure = simulation.run();
            CPPUNIT_ASSERT_MESSAGE("LOVAGECROSS_SEED=" + std::to_string(seed) + ": " + failure, failure.empty());
            steps += simulation.stepCount;
            takeovers += simulation.takeovers;
            acknowledged += simulation.acknowledgedCount();
            bridged += simulation.bridgedCount;
            permittedLosses += simulation.permittedLosses;
        }
        std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - startedAt;
        std::cerr << " " << steps << " steps in " << seconds.count() << " s, " << takeovers << " takeovers, "
                  << acknowledged << " records acknowledged, " << bridged << " of them bridged, " << permittedLosses
                  << " lost as section 4.2 permits";
        // Guards against schedules that hardly exercise the code. A run had 377 takeovers, 4,515 acknowledged records
        // and 530 bridged ones.
        bool sufficientCoverage = takeovers > 100 && acknowledged > 1000 && bridged > 100;
        CPPUNIT_ASSERT(seedOverride || sufficientCoverage);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterleavingTest);

} // namespace lovagecross
