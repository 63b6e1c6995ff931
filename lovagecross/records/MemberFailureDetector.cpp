#include "lovagecross/records/MemberFailureDetector.h"

#include <algorithm>

namespace lovagecross {

void MemberFailureDetector::recordCheck(const Roster& roster, const std::vector<std::string>& silent, TimePoint now)
{
    std::erase_if(this->silentSince, [&](const auto& entry) {
        bool stillSilent = std::find(silent.begin(), silent.end(), entry.first) != silent.end();
        return !stillSilent || roster.find(entry.first) == nullptr;
    });
    for (const std::string& node : silent) {
        if (roster.find(node) != nullptr)
            this->silentSince.emplace(node, now);
    }
}

std::optional<std::string> MemberFailureDetector::memberToRemove(
    const Roster& roster, const Tolerance& tolerance, TimePoint now) const
{
    std::size_t members = roster.members.size();
    std::size_t answering = members - std::min(members, this->silentSince.size());
    bool enoughLeft = members > tolerance.machines + 1U;
    if (!enoughLeft || answering < majorityOf(members))
        return std::nullopt;
    for (const auto& [node, since] : this->silentSince) {
        if (now - since >= this->removalTimeout)
            return node;
    }
    return std::nullopt;
}

} // namespace lovagecross
