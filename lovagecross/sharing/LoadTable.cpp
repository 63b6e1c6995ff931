#include "lovagecross/sharing/LoadTable.h"

#include <utility>

namespace lovagecross {

void LoadTable::note(const std::string& node, bool forDataCentre, std::vector<ServerRunning> running, TimePoint now)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->byNode, [now](const auto& entry) { return now - entry.second.at > memory; });
    this->byNode[node] = { forDataCentre, std::move(running), now };
}

std::vector<ServerRunning> LoadTable::total(TimePoint now) const
{
    return this->sum(true, now);
}

std::vector<ServerRunning> LoadTable::ofDataCentre(TimePoint now) const
{
    return this->sum(false, now);
}

std::vector<ServerRunning> LoadTable::sum(bool withOtherDataCentres, TimePoint now) const
{
    std::map<std::string_view, std::uint32_t> sums;
    std::lock_guard lock(this->mutex);
    for (const auto& [node, told] : this->byNode) {
        if (now - told.at > memory || (told.forDataCentre && !withOtherDataCentres))
            continue;
        for (const ServerRunning& server : told.running)
            sums[server.id] += server.running;
    }
    std::vector<ServerRunning> list;
    list.reserve(sums.size());
    for (const auto& [id, running] : sums)
        list.push_back({ std::string(id), running });
    return list;
}

void answerLoads(LoadTable& table, const DirectoryFetch& fetch, DirectoryUpdate& update, TimePoint now)
{
    if (fetch.node.empty())
        return;
    table.note(fetch.node, fetch.forDataCentre, fetch.running, now);
    update.running = fetch.forDataCentre ? table.ofDataCentre(now) : table.total(now);
}

} // namespace lovagecross
