#include "lovagecross/daemon/PeerMessageHandler.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/daemon/Spill.h"
#include "lovagecross/sharing/DirectoryPublisher.h"

#include <utility>

namespace lovagecross {

PeerMessageHandler::PeerMessageHandler(const Clock& clock, Directory& ownDirectory,
    std::function<RecordResponse(const RecordRequest&)> answer, std::optional<RecordServices> recordServices)
    : directory(ownDirectory)
    , relayOffers(clock)
    , programLoads(clock)
    , respond(std::move(answer))
    , services(recordServices)
{
}

PeerAnswer PeerMessageHandler::handlePeerRequest(const PeerRequest& request, const ChunkSink&)
{
    if (const auto* fetch = std::get_if<DirectoryFetch>(&request)) {
        this->relayOffers.record(*fetch);
        if (fetch->programLoad)
            this->programLoads.record(*fetch->programLoad);
        return this->answerFetch(*fetch);
    }
    if (const auto* fetch = std::get_if<RelayFetch>(&request))
        return this->relayOffers.list(fetch->ownAddress);
    if (const auto* permit = std::get_if<PermitRequest>(&request))
        return this->services ? PeerAnswer(this->services->issuer.handle(*permit)) : std::monostate {};
    if (const auto* quota = std::get_if<QuotaRequest>(&request))
        return this->services ? PeerAnswer(this->services->quotas.handle(*quota)) : std::monostate {};
    if (const auto* report = std::get_if<LimitReport>(&request)) {
        if (this->services)
            this->services->issuer.handle(*report);
        return std::monostate {};
    }
    if (const auto* report = std::get_if<CrashReport>(&request)) {
        if (this->services)
            this->services->crashes.handle(*report);
        return std::monostate {};
    }
    if (const auto* report = std::get_if<LoadReport>(&request)) {
        if (this->services)
            this->services->loads.learn(*report);
        return std::monostate {};
    }
    if (const auto* report = std::get_if<LeavingReport>(&request)) {
        this->noteLeavingServers(*report);
        return std::monostate {};
    }
    const auto* call = std::get_if<RecordCall>(&request);
    auto message = call != nullptr ? decodeRecordRequest(call->content) : std::nullopt;
    if (!message)
        return std::monostate {};
    return RecordReply { encodeRecordResponse(this->respond(*message)) };
}

DirectoryUpdate PeerMessageHandler::answerFetch(const DirectoryFetch& fetch)
{
    DirectoryUpdate update = answerDirectoryFetch(this->directory, fetch);
    if (fetch.programLoad)
        update.fleet = this->programLoads.sum();
    if (!this->services)
        return update;
    update.limits = this->services->issuer.limits();
    CrashNews news = this->services->ledger.newsSince(fetch.crashes);
    update.crashesUpTo = news.upTo;
    update.crashes = std::move(news.notices);
    addLoads(this->services->loads, fetch.load, update);
    return update;
}

void PeerMessageHandler::noteLeavingServers(const LeavingReport& report)
{
    for (const LeavingServer& leaving : report.servers) {
        if (this->directory.serverLeaves({ leaving.server, leaving.startedUnixMillis }))
            LogLine(LogLevel::Info, "server_leaves")
                .field("server", leaving.server)
                .field("started", leaving.startedUnixMillis)
                .field("from", "node")
                .write();
    }
}

} // namespace lovagecross
