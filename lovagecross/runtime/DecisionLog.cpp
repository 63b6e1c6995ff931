#include "lovagecross/runtime/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

DecisionLog::DecisionLog(std::size_t maxDecisions)
    : capacity(maxDecisions)
{
}

void DecisionLog::add(CallDecision decision)
{
    std::lock_guard lock(this->mutex);
    this->decisions.push_back(std::move(decision));
    if (this->decisions.size() > this->capacity)
        this->decisions.pop_front();
}

std::optional<CallDecision> DecisionLog::find(const std::string& call) const
{
    std::lock_guard lock(this->mutex);
    auto found = std::find_if(this->decisions.rbegin(), this->decisions.rend(),
        [&](const CallDecision& decision) { return decision.call == call; });
    return found == this->decisions.rend() ? std::nullopt : std::optional(*found);
}

std::size_t DecisionLog::size() const
{
    std::lock_guard lock(this->mutex);
    return this->decisions.size();
}

} // namespace lovagecross
