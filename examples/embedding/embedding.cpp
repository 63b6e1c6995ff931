// A program of its own that embeds three coordination parts, without lovagecross's daemon, adapters or network: a lease
// with a standby, a sealed journal, and a retry budget. Two owners share a small object store in memory; the second
// takes over and fences the first. Exits 0 when everything went as described.

#include "lovagecross/journal/Journal.h"
#include "lovagecross/lease/ShardLease.h"
#include "lovagecross/retry/RetryPolicy.h"

#include <iostream>
#include <map>
#include <string>

using namespace lovagecross;

namespace {

// The least that the journal needs of an object store.
class MapStore final : public ObjectStore {
public:
    StoreResult get(std::string_view key) override
    {
        auto found = this->objects.find(key);
        if (found == this->objects.end())
            return { StoreStatus::NotFound, {}, Duration(0) };
        return { StoreStatus::Ok, found->second, Duration(0) };
    }

    StoreResult create(std::string_view key, std::string_view value) override
    {
        auto [place, added]
            = this->objects.try_emplace(std::string(key), StoredObject { std::string(key), 1, std::string(value) });
        return { added ? StoreStatus::Ok : StoreStatus::Conflict, place->second, Duration(0) };
    }

    StoreResult update(std::string_view, std::string_view, std::uint64_t) override
    {
        return { StoreStatus::Unavailable, {}, Duration(0) };
    }

    StoreResult remove(std::string_view key, std::uint64_t) override
    {
        this->objects.erase(std::string(key));
        return { StoreStatus::Ok, {}, Duration(0) };
    }

    ListResult list(std::string_view prefix, bool) override
    {
        ListResult result { StoreStatus::Ok, {} };
        for (const auto& [key, object] : this->objects) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                result.objects.push_back(object);
        }
        return result;
    }

    StoreResult watch(std::string_view, std::uint64_t, Duration) override
    {
        return { StoreStatus::NotFound, {}, Duration(0) };
    }

private:
    std::map<std::string, StoredObject, std::less<>> objects;
};

int failWith(const std::string& what)
{
    std::cerr << "unexpected: " << what << '\n';
    return 1;
}

// Recovers the shard for `writer` and returns the number of programs that the journal holds.
Result<std::size_t> takeOver(ObjectStore& store, const ShardId& shard, const JournalWriter& writer)
{
    BOOST_LEAF_AUTO(recovered, recoverShard(store, shard, writer, {}));
    return recovered.records.size();
}

} // namespace

int main()
{
    ManualClock clock;
    NodeIncarnation first { "node1", 1 };
    NodeIncarnation second { "node2", 2 };

    HolderLease lease(LeaseSettings {}, first, "10.0.0.1:7400");
    lease.writeSucceeded(clock.now(), { first, "10.0.0.1:7400", 1, second, "10.0.0.2:7400", false, 0 }, 1);
    if (lease.hasAuthority(clock.now()))
        return failWith("authority before the standby has promised");
    lease.promiseReceived(clock.now(), 1, second, std::chrono::seconds(4));
    if (!lease.hasAuthority(clock.now()))
        return failWith("no authority although the standby has promised");

    MapStore store;
    ShardId shard { "lodz1", 0 };
    Journal journal(shard, { first, 1 }, {}, JournalSettings {});
    auto commit = [&] {
        std::optional<JournalBatch> batch = journal.beginFlush(clock.now());
        FlushOutcome outcome = batch ? writeBatch(store, *batch) : FlushOutcome::Nothing;
        journal.finishFlush(outcome);
        return outcome;
    };
    if (!journal.append({ ProgramEnded { { shard, 1 }, "done" } }) || commit() != FlushOutcome::Committed)
        return failWith("the first commit");

    clock.advance(std::chrono::seconds(5));
    if (lease.hasAuthority(clock.now()))
        return failWith("authority after the promise has run out");
    std::size_t records = handle(
        [&] {
            return takeOver(store, shard, { second, 2 });
        },
        [](const Error&) { return std::size_t(0); });
    if (records != 1)
        return failWith("the successor read " + std::to_string(records) + " records");
    if (!journal.append({ ProgramEnded { { shard, 2 }, "late" } }) || commit() != FlushOutcome::Fenced)
        return failWith("the first owner was not fenced");

    RetryBudget retries(RetrySettings {});
    int granted = 0;
    for (int call = 0; call < 100; ++call) {
        retries.firstAttempt(clock.now());
        granted += retries.tryRetry(clock.now()) ? 1 : 0;
    }
    std::cout << "took over with " << records << " record, fenced the first owner, granted " << granted
              << " of 100 retries\n";
    return granted <= 10 ? 0 : failWith("retries beyond the budget");
}
