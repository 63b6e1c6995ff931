#include "lovagecross/gateway/EngineSlots.h"

namespace lovagecross {

double engineSlots(const DirectoryView& view, const std::string& dataCentre)
{
    double own = 0;
    double all = 0;
    if (!view.configuration)
        return 0;
    for (const auto& [name, service] : view.configuration->services) {
        if (!service.engine)
            continue;
        for (const ServerEntry& server : view.serversOf(name)) {
            if (server.state != ServerState::Ready)
                continue;
            all += server.slots;
            own += server.dataCentre == dataCentre ? server.slots : 0;
        }
    }
    return own > 0 ? own : all;
}

} // namespace lovagecross
