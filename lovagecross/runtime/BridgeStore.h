#pragma once

// Copies of journal batches that this node stores as a shard's standby while the platform is unavailable ("bridged"
// batches). A copy is dropped once the owner has written the batch to the platform, or this node has taken the shard
// over and written it.
//
// Thread safety: not synchronized; each shard's lock guards its store. All shards of the node share one byte budget.

#include "lovagecross/journal/Journal.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lovagecross {

// Limits the total size of all bridge stores of a node.
struct BridgeBudget {
    explicit BridgeBudget(std::size_t limitBytes)
        : limitBytes(limitBytes)
    {
    }

    std::size_t limitBytes;
    std::atomic<std::size_t> usedBytes { 0 };
};

class BridgeStore {
public:
    explicit BridgeStore(BridgeBudget& budget)
        : budget(budget)
    {
    }

    BridgeStore(const BridgeStore&) = delete;
    BridgeStore& operator=(const BridgeStore&) = delete;

    ~BridgeStore() { this->dropBefore({ ~std::uint32_t(0), ~std::uint64_t(0) }); }

    // Stores a copy of `batch`. Returns false when the budget is exhausted. A batch at a position that is already
    // stored is ignored, because its bytes are the same.
    bool keep(const JournalBatch& batch);

    // Drops the copies at positions before `position`.
    void dropBefore(JournalPosition position);

    std::vector<JournalBatch> copies() const;

private:
    BridgeBudget& budget;
    std::map<JournalPosition, JournalBatch> batches;
};

} // namespace lovagecross
