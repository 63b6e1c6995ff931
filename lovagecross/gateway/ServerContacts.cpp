#include "lovagecross/gateway/ServerContacts.h"

#include <algorithm>

namespace lovagecross {

ServerContacts::ServerContacts(const Clock& givenClock)
    : clock(givenClock)
{
}

void ServerContacts::record(const std::string& serverId, ConnectOutcome outcome)
{
    std::lock_guard lock(this->mutex);
    this->lastTries[serverId] = { this->clock.now(), outcome };
}

ServerContact ServerContacts::contactSince(const std::string& serverId, TimePoint since) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->lastTries.find(serverId);
    if (found == this->lastTries.end() || found->second.at < since)
        return ServerContact::Unknown;
    return found->second.outcome == ConnectOutcome::Opened ? ServerContact::Accepts : ServerContact::Unreachable;
}

bool ServerContacts::refusedSince(const std::string& serverId, TimePoint since) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->lastTries.find(serverId);
    return found != this->lastTries.end() && found->second.at >= since
        && found->second.outcome == ConnectOutcome::Refused;
}

bool ServerContacts::otherOpenedSince(const std::string& serverId, TimePoint since) const
{
    std::lock_guard lock(this->mutex);
    return std::any_of(this->lastTries.begin(), this->lastTries.end(), [&](const auto& entry) {
        return entry.first != serverId && entry.second.outcome == ConnectOutcome::Opened && entry.second.at >= since;
    });
}

void ServerContacts::retain(const std::set<std::string>& serverIds)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->lastTries, [&](const auto& entry) { return serverIds.count(entry.first) == 0; });
}

} // namespace lovagecross
