#include "lovagecross/daemon/Spill.h"

#include <utility>

namespace lovagecross {

SlotTable readySlotsOf(const DirectoryView& view)
{
    SlotTable slots;
    for (const auto& [service, servers] : view.servers) {
        for (const ServerEntry& server : servers)
            slots[service][server.dataCentre] += server.state == ServerState::Ready ? server.slots : 0;
    }
    return slots;
}

void addLoads(LoadTable& loads, const NodeLoad& load, DirectoryUpdate& update)
{
    if (load.node.empty())
        return;
    loads.record(load);
    update.loads = loads.summaries();
    update.loadRank = loads.rankOf(load);
}

Spill::Spill(SpillNode node, const Clock& clock, Counters& counters, const Directory& ownDirectory,
    ServerStatistics& ownStatistics)
    : directory(ownDirectory)
    , statistics(ownStatistics)
    , decisions(std::move(node), clock, counters)
{
}

void Spill::addTo(DirectoryFollowerSettings& settings)
{
    settings.load = [this] { return this->decisions.report(this->statistics.loads(this->directory.view()->servers)); };
    settings.learnLoads = [this](const DirectoryUpdate& update, Duration onTheWay) {
        this->decisions.learn(update.loads, update.loadRank, onTheWay, readySlotsOf(*this->directory.view()));
    };
}

Duration Spill::step()
{
    this->decisions.step(readySlotsOf(*this->directory.view()));
    return stepInterval;
}

} // namespace lovagecross
