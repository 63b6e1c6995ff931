#pragma once

// Record nodes and a client over an in-process loopback network, for tests.
//
//     class MyTest : public RecordStoreFixture { ... };    // starts with three ready nodes and a client
//     this->growToNineNodes();
//     this->network.setPartitioned(address, true);
//     this->clock->advance(std::chrono::seconds(100));
//
// Thread safety: the fixture is used by one thread; the network and the clock may be called from any thread.

#include "lovagecross/records/RecordClient.h"
#include "lovagecross/records/RecordNode.h"
#include "lovagecross/testing/InMemoryObjectStore.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lovagecross {

inline constexpr const char* clientAddress = "10.0.0.1:9000";

// Delivers requests to running nodes unless the sender or the receiver is partitioned.
class LoopbackNetwork {
public:
    // Replaces the node at the address, or removes it if `node` is nullptr. Waits for requests that other threads have
    // delivered to the node that was there, so that it may be destroyed.
    void put(const std::string& address, RecordNode* node)
    {
        std::unique_lock lock(this->mutex);
        RecordNode* former = std::exchange(this->nodes[address], node);
        this->delivered.wait(lock, [this, former] { return this->requestsUnderWay[former] == 0; });
        this->requestsUnderWay.erase(former);
    }
    void setPartitioned(const std::string& address, bool partitioned)
    {
        std::lock_guard lock(this->mutex);
        if (partitioned)
            this->partitionedAddresses.insert(address);
        else
            this->partitionedAddresses.erase(address);
    }
    // Cuts these addresses off from all others, but not from each other.
    void setCutOff(std::set<std::string> addresses)
    {
        std::lock_guard lock(this->mutex);
        this->cutOffAddresses = std::move(addresses);
    }

    PeerResult deliver(const std::string& from, const std::string& address, const PeerRequest& request)
    {
        RecordNode* node = nullptr;
        {
            std::lock_guard lock(this->mutex);
            ++this->attemptsBySender[from];
            auto found = this->nodes.find(address);
            bool reachable = this->partitionedAddresses.count(address) == 0
                && this->partitionedAddresses.count(from) == 0
                && this->cutOffAddresses.count(address) == this->cutOffAddresses.count(from);
            if (found != this->nodes.end() && reachable)
                node = found->second;
            if (node == nullptr)
                return { PeerStatus::NoAnswer, {} };
            ++this->requestsUnderWay[node];
        }
        RequestUnderWay counted { *this, node };
        return this->handleAt(*node, from, request);
    }

    // Returns how many requests a node or the client has tried to send.
    int attemptsOf(const std::string& address)
    {
        std::lock_guard lock(this->mutex);
        return this->attemptsBySender[address];
    }

    // Returns how many requests of one type the client has sent.
    template <typename Request> int requestsOfClient()
    {
        std::lock_guard lock(this->mutex);
        return this->clientRequests[RecordRequest(Request {}).index()];
    }

private:
    // Ends the count of a request that was delivered to a node.
    struct RequestUnderWay {
        LoopbackNetwork& network;
        RecordNode* node;
        ~RequestUnderWay()
        {
            std::lock_guard lock(this->network.mutex);
            --this->network.requestsUnderWay[this->node];
            this->network.delivered.notify_all();
        }
    };

    PeerResult handleAt(RecordNode& node, const std::string& from, const PeerRequest& request)
    {
        const auto* call = std::get_if<RecordCall>(&request);
        if (call == nullptr)
            return { PeerStatus::NoAnswer, {} };
        auto message = decodeRecordRequest(call->content);
        if (!message)
            return { PeerStatus::Rejected, {} };
        if (from == clientAddress) {
            std::lock_guard lock(this->mutex);
            ++this->clientRequests[message->index()];
        }
        return { PeerStatus::Ok, RecordReply { encodeRecordResponse(node.handle(*message)) } };
    }

    std::mutex mutex;
    std::condition_variable delivered; // a request was handled
    std::map<RecordNode*, int> requestsUnderWay;
    std::map<std::string, int> attemptsBySender;
    std::map<std::size_t, int> clientRequests; // by index of the request's type
    std::map<std::string, RecordNode*> nodes;
    std::set<std::string> partitionedAddresses;
    std::set<std::string> cutOffAddresses;
};

class LoopbackPeers final : public PeerClient {
public:
    LoopbackPeers(LoopbackNetwork& sharedNetwork, std::string ownAddress)
        : network(sharedNetwork)
        , own(std::move(ownAddress))
    {
    }

    PeerResult request(const std::string& address, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        return this->network.deliver(this->own, address, request);
    }
    std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
        const Fanout& fanout, const EnoughAnswers& enough) override
    {
        std::vector<PeerResult> results(addresses.size(), { PeerStatus::Rejected, {} });
        std::vector<const PeerResult*> arrived(addresses.size(), nullptr);
        for (std::size_t i = 0; i < addresses.size(); ++i) {
            if (i == fanout.firstWave && enough(arrived))
                break;
            results[i] = this->network.deliver(this->own, addresses[i], request);
            arrived[i] = results[i].status == PeerStatus::Ok ? &results[i] : nullptr;
        }
        return results;
    }
    void notify(const std::string& address, const PeerRequest& request) override
    {
        this->network.deliver(this->own, address, request);
    }
    void failForwardsTo(const std::string&) override { }

private:
    LoopbackNetwork& network;
    const std::string own;
};

// Counts calls and makes each take as long as a call to the platform. Throws from each read while `failing` is set.
class ProbedStore final : public ObjectStore {
public:
    explicit ProbedStore(ObjectStore& wrappedStore)
        : store(wrappedStore)
    {
    }

    StoreResult get(std::string_view key) override
    {
        if (this->failing) {
            ++this->failures;
            throw std::runtime_error("unexpected");
        }
        this->recordCall();
        return this->store.get(key);
    }
    StoreResult create(std::string_view key, std::string_view value) override
    {
        this->recordCall();
        return this->store.create(key, value);
    }
    StoreResult update(std::string_view key, std::string_view value, std::uint64_t expectedVersion) override
    {
        this->recordCall();
        return this->store.update(key, value, expectedVersion);
    }
    StoreResult remove(std::string_view key, std::uint64_t expectedVersion) override
    {
        return this->store.remove(key, expectedVersion);
    }
    ListResult list(std::string_view prefix, bool withValues) override { return this->store.list(prefix, withValues); }
    StoreResult watch(std::string_view key, std::uint64_t knownVersion, Duration timeout) override
    {
        return this->store.watch(key, knownVersion, timeout);
    }

    std::atomic<bool> failing { false };
    std::atomic<int> failures { 0 };
    std::atomic<int> calls { 0 };

private:
    void recordCall()
    {
        ++this->calls;
        std::this_thread::sleep_for(std::chrono::milliseconds(4));
    }

    ObjectStore& store;
};

// A running clock that tests set forward.
class AdjustableClock final : public Clock {
public:
    TimePoint now() const override { return this->system.now() + Duration(this->offsetNanos.load()); }
    std::int64_t unixMillis() const override
    {
        return this->system.unixMillis() + toMillis(Duration(this->offsetNanos.load()));
    }
    void advance(Duration amount) { this->offsetNanos += amount.count(); }

private:
    SystemClock system;
    std::atomic<Duration::rep> offsetNanos { 0 };
};

// A record node that can be stopped and started, and whose disk can be wiped.
class TestNode {
public:
    TestNode(const std::string& nodeName, const std::string& dataCentre, LoopbackNetwork& sharedNetwork,
        ObjectStore& sharedStore, const std::shared_ptr<AdjustableClock>& sharedClock)
        : clock(sharedClock)
        , peers(sharedNetwork, "10.0.0.1:" + nodeName.substr(1))
        , network(sharedNetwork)
        , store(sharedStore)
    {
        this->settings.node = nodeName;
        this->settings.address = "10.0.0.1:" + nodeName.substr(1);
        this->settings.dataCentre = dataCentre;
        this->settings.dataFolder = Poco::TemporaryFile::tempName();
        this->settings.diskBytes = 64 * 1024 * 1024;
        Poco::File(this->settings.dataFolder).createDirectories();
        Poco::TemporaryFile::registerForDeletion(this->settings.dataFolder);
    }
    ~TestNode() { this->stop(); }

    void start(bool firstStart)
    {
        this->settings.firstStart = firstStart;
        this->node = std::make_unique<RecordNode>(
            this->settings, RecordNodeParts { *this->clock, this->store, this->peers, this->counters });
        CPPUNIT_ASSERT_EQUAL(std::string(), this->node->load());
        this->network.put(this->settings.address, this->node.get());
        this->node->start();
    }
    void stop()
    {
        this->network.put(this->settings.address, nullptr);
        if (this->node)
            this->node->stop();
        this->node.reset();
    }
    void wipe()
    {
        this->stop();
        Poco::File(this->settings.dataFolder).remove(true);
        Poco::File(this->settings.dataFolder).createDirectories();
    }

    RecordNodeSettings settings;
    std::unique_ptr<RecordNode> node;

private:
    const std::shared_ptr<AdjustableClock> clock;
    Counters counters;
    LoopbackPeers peers;
    LoopbackNetwork& network;
    ObjectStore& store;
};

inline bool waitFor(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

class RecordStoreFixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        const char* dataCentres[] { "a", "b", "c" };
        for (int i = 0; i < 3; ++i) {
            this->nodes.push_back(std::make_unique<TestNode>(
                "n" + std::to_string(7001 + i), dataCentres[i], this->network, this->store, this->clock));
            this->nodes.back()->start(true);
        }
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(3); }));
        this->clientPeers = std::make_unique<LoopbackPeers>(this->network, clientAddress);
        this->client = this->newClient();
    }

    void tearDown() override
    {
        this->client->stop();
        this->client.reset();
        this->nodes.clear();
    }

protected:
    LoopbackNetwork network;
    InMemoryObjectStore store;
    const std::shared_ptr<AdjustableClock> clock = std::make_shared<AdjustableClock>();
    Counters counters;
    std::vector<std::unique_ptr<TestNode>> nodes;
    std::unique_ptr<LoopbackPeers> clientPeers;
    std::unique_ptr<RecordClient> client;

    std::unique_ptr<RecordClient> newClient() { return this->newClient("a", *this->clientPeers); }

    std::unique_ptr<RecordClient> newClient(const std::string& dataCentre, PeerClient& peers)
    {
        RecordClientSettings settings;
        settings.dataCentre = dataCentre;
        auto created = std::make_unique<RecordClient>(
            settings, RecordNodeParts { *this->clock, this->store, peers, this->counters });
        created->start();
        CPPUNIT_ASSERT(waitFor([&] { return created->roster().epoch > 0; }));
        return created;
    }

    // Returns whether all running nodes are ready and have the same epoch and a roster with `members` members.
    bool allAgreeOnRoster(std::size_t members)
    {
        std::uint64_t epoch = 0;
        for (const auto& entry : this->nodes) {
            if (!entry->node || entry->node->retired())
                continue;
            Roster roster = entry->node->roster();
            if (!entry->node->ready() || roster.members.size() != members || (epoch != 0 && roster.epoch != epoch))
                return false;
            epoch = roster.epoch;
        }
        return epoch != 0;
    }

    TimePoint defaultDeadline() const { return this->clock->now() + std::chrono::seconds(3); }

    // Starts nodes until each data centre has three.
    void growToNineNodes()
    {
        const char* dataCentres[] { "a", "b", "c" };
        for (int i = 3; i < 9; ++i) {
            this->nodes.push_back(std::make_unique<TestNode>(
                "n" + std::to_string(7001 + i), dataCentres[i % 3], this->network, this->store, this->clock));
            this->nodes.back()->start(true);
        }
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(9); }));
        this->client->stop();
        this->client = this->newClient();
    }
};

} // namespace lovagecross
