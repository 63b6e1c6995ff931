#pragma once

// Answers the requests that other nodes send to an entry node or a record node.
//
// Thread safety: the transport calls the handler from several threads.

#include "lovagecross/crashes/CrashLedger.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/limits/PermitIssuer.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/quotas/QuotaIssuer.h"
#include "lovagecross/records/RecordMessages.h"
#include "lovagecross/scheduling/LoadBoard.h"
#include "lovagecross/sharing/CrashExchange.h"
#include "lovagecross/sharing/RelayOffers.h"
#include "lovagecross/spill/LoadTable.h"

#include <functional>
#include <optional>

namespace lovagecross {

// What only record nodes answer other nodes.
struct RecordServices {
    PermitIssuer& issuer;
    QuotaIssuer& quotas;
    CrashLedger& ledger;
    CrashExchange& crashes;
    LoadTable& loads;
};

class PeerMessageHandler final : public PeerHandler {
public:
    // `answer` handles the messages of the record store. An entry node has no `recordServices`.
    PeerMessageHandler(const Clock& clock, Directory& ownDirectory,
        std::function<RecordResponse(const RecordRequest&)> answer,
        std::optional<RecordServices> recordServices = std::nullopt);

    PeerAnswer handlePeerRequest(const PeerRequest& request, const ChunkSink& sink) override;

private:
    DirectoryUpdate answerFetch(const DirectoryFetch& fetch);
    void noteLeavingServers(const LeavingReport& report);

    Directory& directory;
    RelayOffers relayOffers;
    LoadBoard programLoads;
    const std::function<RecordResponse(const RecordRequest&)> respond;
    const std::optional<RecordServices> services;
};

} // namespace lovagecross
