#include "lovagecross/runtime/BridgeStore.h"

namespace lovagecross {

bool BridgeStore::keep(const JournalBatch& batch)
{
    if (this->batches.count(batch.position) != 0)
        return true;
    std::size_t size = batch.bytes.size();
    if (this->budget.usedBytes.fetch_add(size) + size > this->budget.limitBytes) {
        this->budget.usedBytes.fetch_sub(size);
        return false;
    }
    this->batches.emplace(batch.position, batch);
    return true;
}

void BridgeStore::dropBefore(JournalPosition position)
{
    auto end = this->batches.lower_bound(position);
    for (auto batch = this->batches.begin(); batch != end; batch = this->batches.erase(batch))
        this->budget.usedBytes.fetch_sub(batch->second.bytes.size());
}

std::vector<JournalBatch> BridgeStore::copies() const
{
    std::vector<JournalBatch> all;
    for (const auto& [position, batch] : this->batches)
        all.push_back(batch);
    return all;
}

} // namespace lovagecross
