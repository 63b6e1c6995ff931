#include "lovagecross/runtime/Router.h"

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/adapters/Log.h"
#include "lovagecross/runtime/StreamContinuation.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lovagecross {

namespace {

// A takeover takes up to 6 s. The longer timeout hides most crashes of an owner from callers.
constexpr Duration routeTimeout = std::chrono::seconds(12);
constexpr Duration retryInterval = std::chrono::milliseconds(50);
constexpr Duration forwardSilenceTimeout = std::chrono::seconds(3); // three missed heartbeats

// FNV-1a. Unlike std::hash it gives the same value in every build, so that all nodes agree.
std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (unsigned char byte : text)
        hash = (hash ^ byte) * 1099511628211ULL;
    return hash;
}

bool isNotOwner(const ForwardEnd& answer)
{
    return answer.httpStatus == httpStatusOf(ErrorCode::NotOwner)
        && answer.bodyJson.find("\"code\":\"not_owner\"") != std::string::npos;
}

} // namespace

Router::Router(Clock& clock, std::string dataCentre, std::vector<std::unique_ptr<Shard>>& shards,
    Membership& membership, PeerClient& peers, ProgramService& service, Counters& counters)
    : clock(clock)
    , dataCentre(std::move(dataCentre))
    , shards(shards)
    , membership(membership)
    , peers(peers)
    , service(service)
    , counters(counters)
{
}

ShardId Router::shardForCreation(const std::string& tenant, const std::string& requestId) const
{
    std::uint64_t index = stableHash(tenant + "/" + requestId) % this->shards.size();
    return { this->dataCentre, static_cast<std::uint32_t>(index) };
}

Shard* Router::localShard(const ShardId& id)
{
    if (id.dataCentre != this->dataCentre || id.index >= this->shards.size())
        return nullptr;
    return this->shards[id.index].get();
}

ForwardEnd Router::serveForwarded(const ForwardRequest& request, const ChunkSink& sink)
{
    Shard* shard = this->localShard(request.shard);
    if (!shard || request.hops > maxForwardHops)
        return errorAnswer({ ErrorCode::NotOwner, "this node does not own shard " + request.shard.toString(), {},
            RunState::NotRun, Duration(0) });
    return this->service.serve(*shard, request, sink);
}

// Sends the request to the shard's current owner. Returns whether it was answered. Sets `unanswered` if it was sent but
// no answer was received, so that it may have run.
bool Router::attemptRoute(const ForwardRequest& request, const ChunkSink& sink, ForwardEnd& answer, bool& unanswered)
{
    Shard* local = this->localShard(request.shard);
    if (local && local->owned()) {
        answer = this->service.serve(*local, request, sink);
        return !isNotOwner(answer);
    }
    std::optional<MemberView> holder = this->membership.shardHolder(request.shard);
    if (!holder)
        return false;
    ForwardRequest forwarded = request;
    ++forwarded.hops;
    this->counters.counter("requests.forwarded").add();
    PeerResult result = this->peers.request(holder->entry.peerAddress, forwarded, forwardSilenceTimeout, sink);
    if (result.status == PeerStatus::NoAnswer)
        unanswered = true;
    const auto* end = std::get_if<ForwardEnd>(&result.answer);
    if (result.status != PeerStatus::Ok || !end)
        return false;
    answer = *end;
    return !isNotOwner(answer);
}

ForwardEnd Router::route(const ForwardRequest& request, const ChunkSink& sink)
{
    TimePoint start = this->clock.now();
    bool unanswered = false;
    StreamContinuation stream(sink);
    ChunkSink pass = [&](std::string_view text) {
        stream.write(text);
        // A caller that disconnects doesn't cancel the call: its answer is kept for a retry with the same request id.
        return true;
    };
    int tries = 0;
    while (true) {
        ForwardEnd answer;
        stream.restart();
        if (this->attemptRoute(request, pass, answer, unanswered)) {
            if (stream.diverged())
                return errorAnswer({ ErrorCode::Unavailable,
                    "the answer was generated again and differs from the streamed text; fetch it by its request id", {},
                    RunState::Run, Duration(0) });
            return answer;
        }
        ++tries;
        if (this->clock.now() - start >= routeTimeout)
            break;
        std::this_thread::sleep_for(retryInterval);
    }
    LogLine(LogLevel::Warning, "route_failed")
        .field("shard", request.shard.toString())
        .field("request", request.requestId)
        .field("tries", tries)
        .write();
    this->counters.counter("requests.unroutable").add();
    return errorAnswer({ ErrorCode::Unavailable, "no owner of shard " + request.shard.toString() + " answered", {},
        unanswered ? RunState::Unknown : RunState::NotRun, std::chrono::seconds(2) });
}

} // namespace lovagecross
