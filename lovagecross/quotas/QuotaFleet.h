#pragma once

// Test fake: a fleet of record nodes that keep quotas and entry nodes that admit calls, in simulated time and in one
// thread. Messages take time, are lost, or arrive after the sender has given up.
//
//     QuotaFleet fleet(settings, seed);
//     fleet.setQuota("tenant", { 100, 50 });
//     fleet.settleAll();
//     fleet.restartAll();
//     fleet.advance(std::chrono::milliseconds(10));
//     fleet.runSteps();                                      // after each advance
//     QuotaOutcome outcome = fleet.call(0, "tenant", QuotaUse::NewProgram);
//
// Thread safety: not thread-safe.

#include "lovagecross/adapters/PeerCodec.h"
#include "lovagecross/quotas/QuotaClient.h"
#include "lovagecross/quotas/QuotaIssuer.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lovagecross {

struct FleetSettings {
    int records = 9;
    int entries = 8;
    int dataCentres = 3;
    Tolerance tolerance { 2, 1 };
    QuotaPolicy policy { std::chrono::seconds(5), 0.1, 20 };
    Duration configurationTime = std::chrono::seconds(2); // until each node that isn't cut off has a new configuration
    Duration lease = std::chrono::milliseconds(1500);
    double loss = 0; // part of the messages that are lost
    double late = 0; // part of the answers that arrive after the sender has given up
    // Part of the timeouts that take time. Calls run one after the other here, so that each holds up all others.
    double waitedTimeouts = 1;
    bool countsBytes = false;
    Duration longestWait = std::chrono::milliseconds(500); // of a call for the next token
    Duration oneWay = std::chrono::microseconds(100); // of a message
};

class QuotaFleet {
public:
    QuotaFleet(FleetSettings given, unsigned seed)
        : settings(given)
        , random(seed)
    {
        this->time.advance(std::chrono::seconds(1000));
        for (int i = 0; i < given.records; ++i)
            this->addRecord();
        this->roster.epoch = 100; // earlier changes are no longer listed
        for (auto& [address, node] : this->records)
            this->roster.members.push_back({ address, 1, address, node->dataCentre });
        for (auto& [address, node] : this->records)
            node->roster = this->roster;
        for (int i = 0; i < given.entries; ++i)
            this->entries.push_back(std::make_unique<Entry>(*this, "e" + std::to_string(i), this->centre(i)));
    }

    TimePoint now() const { return this->time.now(); }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(this->random) < probability; }
    int pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(this->random); }
    Duration within(Duration longest)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(this->random));
    }

    // --- Configuration

    // Makes a new configuration, which reaches each node at a random time of its own.
    void setQuota(const std::string& tenant, const TenantQuota& quota)
    {
        ++this->version;
        this->quotas[tenant] = quota;
        auto news = std::make_shared<const std::map<std::string, TenantQuota>>(this->quotas);
        auto reach = [&](auto& node) {
            node.pendingConfigurations.push_back(
                { this->now() + this->within(this->settings.configurationTime / 2), this->version, news });
        };
        for (auto& [address, node] : this->records)
            reach(*node);
        for (auto& entry : this->entries)
            reach(*entry);
    }

    // All nodes know the present configuration and roster, as after a start of the fleet.
    void settleAll()
    {
        auto all = std::make_shared<const std::map<std::string, TenantQuota>>(this->quotas);
        auto set = [&](auto& node) {
            node.pendingConfigurations.clear();
            node.version = this->version;
            node.quotas = all;
        };
        for (auto& [address, node] : this->records) {
            set(*node);
            node->roster = this->roster;
        }
        for (auto& entry : this->entries) {
            set(*entry);
            entry->roster = this->roster;
        }
    }

    // --- Failures

    int recordCount() const { return static_cast<int>(this->roster.members.size()); }
    int entryCount() const { return static_cast<int>(this->entries.size()); }

    // Cuts a data centre off from the others and from the platform; negative: none. Does nothing if the others would
    // lack a majority of the record nodes: that is more than a deployment tolerates.
    void cutDataCentre(int dataCentre)
    {
        if (dataCentre >= 0 && !this->majorityWithout(this->centre(dataCentre)))
            return;
        this->cutCentre = dataCentre < 0 ? std::string() : this->centre(dataCentre);
        this->cutSince = this->now();
    }
    void setIsolated(const std::string& address, bool cut)
    {
        if (cut)
            this->isolated.emplace(address, this->now());
        else
            this->isolated.erase(address);
    }
    std::string memberAt(int index) const { return this->roster.members[static_cast<std::size_t>(index)].address; }
    void killRecord(const std::string& address) { this->records.at(address)->issuer.reset(); }
    void startRecord(const std::string& address, bool newDisk)
    {
        Record& record = *this->records.at(address);
        if (newDisk)
            record.roster = {};
        record.start();
    }
    void restartEntry(int index) { this->entries[static_cast<std::size_t>(index)]->start(); }
    void restartAll()
    {
        for (auto& [address, node] : this->records)
            node->start();
        for (auto& entry : this->entries)
            entry->start();
    }

    // Removes a member, and lets a new one join. The members that aren't cut off hear of it within a lease.
    // As in `MemberFailureDetector`, nothing happens unless a majority answers.
    void replaceMember(const std::string& address)
    {
        if (!this->majorityWithout(this->cutCentre))
            return;
        this->changeRoster({}, address);
        this->changeRoster(this->addRecord(), {});
    }
    void rejoin(const std::string& address)
    {
        if (this->roster.find(address) == nullptr && !this->cutOff(address, this->records.at(address)->dataCentre))
            this->changeRoster(address, {});
    }
    std::vector<std::string> formerMembers() const
    {
        std::vector<std::string> former;
        for (const auto& [address, node] : this->records) {
            if (this->roster.find(address) == nullptr)
                former.push_back(address);
        }
        return former;
    }
    // Whether the members outside the data centre that aren't isolated are a majority.
    bool majorityWithout(const std::string& dataCentre) const
    {
        auto left
            = std::count_if(this->roster.members.begin(), this->roster.members.end(), [&](const RosterMember& member) {
                  return member.dataCentre != dataCentre && this->isolated.count(member.address) == 0;
              });
        return static_cast<std::size_t>(left) >= majorityOf(this->roster.members.size());
    }

    // Whether a member has been unreachable for all others for `time`, as the record nodes' failure detection sees it.
    bool awayFor(const std::string& address, Duration time) const
    {
        auto found = this->isolated.find(address);
        if (found != this->isolated.end() && this->now() - found->second >= time)
            return true;
        return this->records.at(address)->dataCentre == this->cutCentre && this->now() - this->cutSince >= time;
    }

    // --- Running

    // Lets the background steps of all nodes run up to now.
    void runSteps()
    {
        for (auto& [address, node] : this->records) {
            if (node->issuer == nullptr)
                continue;
            this->deliver(*node, address);
            if (node->stepAt <= this->now())
                node->stepAt = this->now() + node->issuer->step();
        }
        for (auto& entry : this->entries) {
            this->deliver(*entry, entry->name);
            if (entry->stepAt <= this->now())
                entry->stepAt = this->now() + entry->client->step();
        }
    }
    void advance(Duration amount) { this->time.advance(amount); }

    QuotaOutcome call(int entry, const std::string& tenant, QuotaUse use)
    {
        Entry& node = *this->entries[static_cast<std::size_t>(entry)];
        TenantEntry caller { tenant, {}, std::nullopt, node.quotaOf(tenant).quota };
        return node.client->admit(caller, use, this->now() + std::chrono::seconds(10)).outcome;
    }

    std::uint64_t tokenMessages = 0; // requests for tokens
    std::uint64_t confirmations = 0; // requests between record nodes
    std::uint64_t bytes = 0; // of all messages without their framing, if `countsBytes`

private:
    using Quotas = std::shared_ptr<const std::map<std::string, TenantQuota>>;
    struct PendingConfiguration {
        TimePoint at;
        std::uint64_t version = 0;
        Quotas quotas;
    };
    struct NodeState {
        std::uint64_t version = 0;
        Quotas quotas = std::make_shared<const std::map<std::string, TenantQuota>>();
        Roster roster {};
        std::vector<PendingConfiguration> pendingConfigurations {};
        std::vector<std::pair<TimePoint, Roster>> pendingRosters {};
        TimePoint stepAt {};
        Counters counters {};

        KnownQuota quotaOf(const std::string& tenant) const
        {
            auto found = this->quotas->find(tenant);
            bool present = found != this->quotas->end();
            return { this->version, present, present ? found->second : TenantQuota {} };
        }
    };

    // The messages of one node.
    class Link final : public PeerClient {
    public:
        Link(QuotaFleet& owner, std::string address)
            : fleet(owner)
            , from(std::move(address))
        {
        }
        PeerResult request(
            const std::string& address, const PeerRequest& request, Duration timeout, const ChunkSink&) override
        {
            return this->fleet.send(this->from, address, std::get<QuotaRequest>(request), timeout, true);
        }
        std::vector<PeerResult> requestAll(const std::vector<std::string>& addresses, const PeerRequest& request,
            const Fanout& fanout, const EnoughAnswers& enough) override
        {
            std::vector<PeerResult> results(addresses.size(), PeerResult { PeerStatus::Rejected, {} });
            std::vector<const PeerResult*> answers(addresses.size(), nullptr);
            for (std::size_t i = 0; i < addresses.size(); ++i) {
                if (i >= fanout.firstWave && enough(answers))
                    break;
                results[i] = this->fleet.send(
                    this->from, addresses[i], std::get<QuotaRequest>(request), fanout.timeout, false);
                answers[i] = &results[i];
            }
            return results;
        }
        void notify(const std::string&, const PeerRequest&) override { }
        void failForwardsTo(const std::string&) override { }

    private:
        QuotaFleet& fleet;
        const std::string from;
    };

    struct Record : NodeState {
        Record(QuotaFleet& owner, const std::string& address, std::string centre)
            : fleet(owner)
            , name(address)
            , dataCentre(std::move(centre))
            , link(owner, address)
        {
        }
        void start()
        {
            QuotaIssuerSettings own { this->fleet.settings.policy, this->name, this->fleet.settings.tolerance,
                this->fleet.settings.lease, this->fleet.settings.configurationTime / 2, [this] { return this->roster; },
                [this](const std::string& tenant) { return this->quotaOf(tenant); } };
            this->issuer = std::make_unique<QuotaIssuer>(this->fleet.time, this->link, own, this->counters);
            this->issuer->start();
            this->stepAt = this->fleet.now();
        }

        QuotaFleet& fleet;
        const std::string name;
        const std::string dataCentre;
        Link link;
        std::unique_ptr<QuotaIssuer> issuer {}; // nullptr while the process is down
    };

    struct Entry : NodeState {
        Entry(QuotaFleet& owner, const std::string& address, std::string centre)
            : fleet(owner)
            , name(address)
            , dataCentre(std::move(centre))
            , link(owner, address)
        {
        }
        void start()
        {
            QuotaClientSettings own { this->fleet.settings.policy,
                [this](const std::string& tenant) {
                    std::vector<std::string> near;
                    std::vector<std::string> far;
                    for (const RosterMember* member : replicasOf(this->roster, tenant, this->fleet.settings.tolerance))
                        (member->dataCentre == this->dataCentre ? near : far).push_back(member->address);
                    near.insert(near.end(), far.begin(), far.end());
                    return near;
                },
                [this](const std::string& tenant) { return this->quotaOf(tenant); },
                [this](Duration pause) { this->fleet.advance(pause); }, this->fleet.settings.longestWait };
            this->client = std::make_unique<QuotaClient>(this->fleet.time, this->link, own, this->counters);
            this->stepAt = this->fleet.now();
        }

        QuotaFleet& fleet;
        const std::string name;
        const std::string dataCentre;
        Link link;
        std::unique_ptr<QuotaClient> client {};
    };

    std::string centre(int index) const { return "dc" + std::to_string(index % this->settings.dataCentres); }

    // A record node that starts in a data centre that is cut off can't join.
    std::string addRecord()
    {
        if (this->centre(this->nextRecord) == this->cutCentre)
            ++this->nextRecord;
        std::string address = "r" + std::to_string(1000 + this->nextRecord);
        auto record = std::make_unique<Record>(*this, address, this->centre(this->nextRecord++));
        record->version = this->version;
        record->quotas = std::make_shared<const std::map<std::string, TenantQuota>>(this->quotas);
        if (this->roster.epoch > 0)
            record->start(); // without a roster on its disk
        this->records[address] = std::move(record);
        return address;
    }

    void changeRoster(const std::string& added, const std::string& removed)
    {
        RosterChange change { this->roster.epoch + 1, {}, {} };
        if (!removed.empty()) {
            change.removed.push_back(*this->roster.find(removed));
            std::erase_if(this->roster.members, [&](const RosterMember& member) { return member.node == removed; });
        }
        if (!added.empty()) {
            change.added.push_back(added);
            this->roster.members.push_back({ added, 1, added, this->records.at(added)->dataCentre });
            std::sort(this->roster.members.begin(), this->roster.members.end(),
                [](const RosterMember& a, const RosterMember& b) { return a.node < b.node; });
        }
        ++this->roster.epoch;
        this->roster.changes.push_back(change);
        if (this->roster.changes.size() > 8)
            this->roster.changes.erase(this->roster.changes.begin());
        for (auto& [address, node] : this->records)
            node->pendingRosters.emplace_back(this->now() + this->within(this->settings.lease), this->roster);
        for (auto& entry : this->entries)
            entry->pendingRosters.emplace_back(this->now() + this->within(this->settings.lease * 2), this->roster);
    }

    bool cutOff(const std::string& address, const std::string& dataCentre) const
    {
        return this->isolated.count(address) > 0 || dataCentre == this->cutCentre;
    }

    // Hands over what has reached a node by now. A node that is cut off gets it later.
    template <typename Node> void deliver(Node& node, const std::string& address)
    {
        if (this->cutOff(address, node.dataCentre))
            return;
        for (const PendingConfiguration& news : node.pendingConfigurations) {
            if (news.at <= this->now() && news.version > node.version) {
                node.version = news.version;
                node.quotas = news.quotas;
            }
        }
        std::erase_if(node.pendingConfigurations, [this](const auto& news) { return news.at <= this->now(); });
        for (const auto& [at, next] : node.pendingRosters) {
            if (at <= this->now() && next.epoch > node.roster.epoch)
                node.roster = next;
        }
        std::erase_if(node.pendingRosters, [this](const auto& news) { return news.first <= this->now(); });
    }

    std::string centreOf(const std::string& address) const
    {
        auto record = this->records.find(address);
        if (record != this->records.end())
            return record->second->dataCentre;
        for (const auto& entry : this->entries) {
            if (entry->name == address)
                return entry->dataCentre;
        }
        return {};
    }

    // An isolated record node is still reached by the entry nodes of its data centre.
    bool connected(const std::string& from, const std::string& to) const
    {
        std::string near = this->centreOf(from);
        std::string far = this->centreOf(to);
        if (near != far && (near == this->cutCentre || far == this->cutCentre))
            return false;
        bool fromEntry = this->records.count(from) == 0;
        bool cut = this->isolated.count(from) > 0 || this->isolated.count(to) > 0;
        return !cut || (fromEntry && near == far);
    }

    PeerResult send(
        const std::string& from, const std::string& to, const QuotaRequest& request, Duration timeout, bool takesTime)
    {
        ++(request.tenant.empty() ? this->confirmations : this->tokenMessages);
        if (this->settings.countsBytes)
            this->bytes += detail::encodeEnvelope({ { 1, 1 }, false, request }).size();
        Record* record = this->records.count(to) > 0 ? this->records.at(to).get() : nullptr;
        bool lost = record == nullptr || record->issuer == nullptr || !this->connected(from, to);
        if (lost || this->chance(this->settings.loss)) {
            if (takesTime && this->chance(this->settings.waitedTimeouts))
                this->advance(timeout);
            return { PeerStatus::NoAnswer, {} };
        }
        Duration path = takesTime ? this->settings.oneWay : Duration(0);
        this->advance(path);
        this->deliver(*record, to);
        QuotaAnswer answer = record->issuer->handle(request);
        if (this->settings.countsBytes)
            this->bytes += detail::encodeAnswer(answer).size();
        if (this->chance(this->settings.loss + this->settings.late)) {
            if (takesTime && this->chance(this->settings.waitedTimeouts))
                this->advance(timeout);
            return { PeerStatus::NoAnswer, {} };
        }
        this->advance(path + (takesTime && this->settings.late > 0 ? this->within(timeout / 4) : Duration(0)));
        return { PeerStatus::Ok, answer };
    }

    const FleetSettings settings;
    std::mt19937 random;
    ManualClock time;
    Roster roster; // the newest one
    std::uint64_t version = 0;
    std::map<std::string, TenantQuota> quotas;
    int nextRecord = 0;
    std::map<std::string, std::unique_ptr<Record>> records;
    std::vector<std::unique_ptr<Entry>> entries;
    std::string cutCentre;
    TimePoint cutSince;
    std::map<std::string, TimePoint> isolated; // with the time since when
};

} // namespace lovagecross
