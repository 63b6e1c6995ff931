#include "lovagecross/sharing/CrashExchange.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagecross {

CrashExchange::CrashExchange(PeerClient& peerClient, CrashLedger& ownLedger, const Directory& ownDirectory,
    std::function<std::vector<std::string>()> others)
    : peers(peerClient)
    , ledger(ownLedger)
    , directory(ownDirectory)
    , otherNodes(std::move(others))
{
}

bool CrashExchange::handle(const CrashReport& report)
{
    CrashReport news;
    news.notices
        = this->ledger.learn(report.notices, report.relayed ? CrashSource::RecordNode : CrashSource::EntryNode);
    news.relayed = true;
    bool isNews = !news.notices.empty();
    if (report.relayed || !isNews)
        return isNews;
    for (const std::string& address : this->otherNodes())
        this->peers.notify(address, news);
    return true;
}

Duration CrashExchange::step()
{
    this->ledger.removeExpired();
    std::vector<std::string> others = this->otherNodes();
    std::erase_if(this->cursors,
        [&](const auto& entry) { return std::find(others.begin(), others.end(), entry.first) == others.end(); });
    if (others.empty())
        return stepInterval;
    const std::string& address = others[this->steps++ % others.size()];
    DirectoryFetch fetch; // only the notices are wanted: with what this node has, the rest of the answer is short
    auto view = this->directory.view();
    fetch.configurationVersion = view->configuration ? view->configuration->version : 0;
    fetch.serversDigest = view->serversDigest;
    fetch.crashes = this->cursors[address];
    PeerResult result = this->peers.request(address, fetch, fetchTimeout, {});
    const auto* update = std::get_if<DirectoryUpdate>(&result.answer);
    if (result.status != PeerStatus::Ok || update == nullptr || update->crashesUpTo.log == 0)
        return stepInterval;
    this->ledger.learn(update->crashes, CrashSource::RecordNode);
    this->cursors[address] = update->crashesUpTo;
    return stepInterval;
}

} // namespace lovagecross
