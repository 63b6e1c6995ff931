#pragma once

// Routes a caller's request to the owner of its program's shard, on this node or another, and retries while the shard
// changes owners. Retries are safe because the owner deduplicates requests by request id.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Ids.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/runtime/Membership.h"
#include "lovagecross/runtime/ProgramService.h"
#include "lovagecross/runtime/Shard.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagecross {

class Router {
public:
    Router(Clock& clock, std::string dataCentre, std::vector<std::unique_ptr<Shard>>& shards, Membership& membership,
        PeerClient& peers, ProgramService& service, Counters& counters);

    // Routes a request from a caller of this node. Blocks until it is answered or rejected.
    ForwardEnd route(const ForwardRequest& request, const ChunkSink& sink);

    // Serves a request forwarded by another node, or rejects it with `not_owner`. Never forwards it again.
    ForwardEnd serveForwarded(const ForwardRequest& request, const ChunkSink& sink);

    // Returns the shard of this data centre that stores the program created by this request. All nodes compute the same
    // shard.
    ShardId shardForCreation(const std::string& tenant, const std::string& requestId) const;

private:
    Shard* localShard(const ShardId& id);
    bool attemptRoute(const ForwardRequest& request, const ChunkSink& sink, ForwardEnd& answer, bool& unanswered);

    Clock& clock;
    std::string dataCentre;
    std::vector<std::unique_ptr<Shard>>& shards;
    Membership& membership;
    PeerClient& peers;
    ProgramService& service;
    Counters& counters;
};

} // namespace lovagecross
