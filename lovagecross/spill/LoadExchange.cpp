#include "lovagecross/spill/LoadExchange.h"

#include <utility>

namespace lovagecross {

LoadExchange::LoadExchange(
    PeerClient& peerClient, const LoadTable& ownLoads, std::function<std::vector<std::string>()> others)
    : peers(peerClient)
    , loads(ownLoads)
    , otherNodes(std::move(others))
{
}

Duration LoadExchange::step()
{
    LoadReport report = this->loads.ownReport();
    if (report.summaries.empty())
        return stepInterval;
    for (const std::string& address : this->otherNodes())
        this->peers.notify(address, report);
    return stepInterval;
}

} // namespace lovagecross
