#pragma once

// Serves requests for programs of the shards that this node owns: creating a program, calls, reads, and ending a
// program. Requests come from callers of this node or are forwarded by other nodes.
//
// Thread safety: every member may be called from any thread. Calls block until they are answered.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/journal/Record.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/ports/Peer.h"
#include "lovagecross/runtime/ActiveConfiguration.h"
#include "lovagecross/runtime/AdmissionGate.h"
#include "lovagecross/runtime/Backends.h"
#include "lovagecross/runtime/DecisionLog.h"
#include "lovagecross/runtime/Shard.h"
#include "lovagecross/runtime/StreamContinuation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagecross {

inline constexpr const char* chatPath = "chat/completions"; // ForwardRequest::path of a model call
inline constexpr const char* servicePath = "calls"; // ForwardRequest::path of a service call

// Returns the HTTP status for an error code.
int httpStatusOf(ErrorCode code);
ForwardEnd errorAnswer(const Error& error);

class ProgramService {
public:
    ProgramService(Clock& clock, ActiveConfiguration& config, Backends& backends, AdmissionGate& gate,
        ModelEngine& engines, ServiceClient& services, Counters& counters, DecisionLog& decisions);

    ForwardEnd serve(Shard& shard, const ForwardRequest& request, const ChunkSink& sink);

    // Makes model servers release the sessions of ended programs and records each confirmed release.
    void releaseSessions(Shard& shard);

    // Releases those of the `sessions` listed by `server` that belong to this shard's programs which have ended or
    // never existed.
    void auditSessions(Shard& shard, const BackendServer& server, const std::vector<std::string>& sessions);

private:
    // A parsed and validated call.
    struct Call {
        ProgramId program;
        std::string requestId;
        std::string digest;
        CallKind kind = CallKind::Model;
        bool idempotent = true;
        std::string target;
        std::string operation;
        std::string payload; // messages array or service body, JSON
        std::string request; // the whole body, for the history
        std::uint32_t maxTokens = 0;
        std::uint32_t maxPromptTokens = 0; // upper bound
        std::uint64_t maxCost = 0;
        Rank rank;
        std::string tenant;
        TimePoint deadline;
        CallDecision* decision = nullptr; // set before the call waits in its program's queue, never null from then on
    };

    // The result of all attempts of a call.
    struct AttemptResult {
        CallOutcome outcome = CallOutcome::NotRun;
        std::string backendServer;
        std::string answer; // body for the caller
        std::uint64_t cost = 0;
        Error error; // for NotRun
    };

    Result<ForwardEnd> createProgram(Shard& shard, OwnedShard& ownedShard, const ForwardRequest& request);
    Result<ForwardEnd> call(Shard& shard, OwnedShard& ownedShard, const ForwardRequest& request, const ChunkSink& sink);
    Result<ForwardEnd> read(OwnedShard& ownedShard, const ForwardRequest& request);
    Result<ForwardEnd> endProgram(OwnedShard& ownedShard, const ForwardRequest& request);

    Result<Call> parseCall(const ProgramState& state, const ForwardRequest& request);
    Result<ForwardEnd> runQueuedCall(Shard& shard, OwnedShard& ownedShard, Call& call, const ChunkSink& sink);
    Result<void> commitBeforeSend(OwnedShard& ownedShard, const Call& call, const Admission& admission);
    AttemptResult attemptModel(Shard& shard, OwnedShard& ownedShard, const Call& call, const ChunkSink& sink);
    AttemptResult attemptService(Shard& shard, OwnedShard& ownedShard, const Call& call);
    static CallFinished finishedRecord(const Call& call, CallOutcome outcome);
    Result<ForwardEnd> recordOutcome(OwnedShard& ownedShard, const Call& call, const AttemptResult& attempted);
    Result<ForwardEnd> recordFinishedCall(OwnedShard& ownedShard, const Call& call, const AttemptResult& attempted);
    bool waitBackoff(std::uint32_t attempt, TimePoint deadline);
    Result<void> checkTenant(OwnedShard& ownedShard, const ProgramId& program, const std::string& tenant);
    void logPlacement(const Call& call, const BackendChoice& choice, std::uint32_t attempt);
    void attemptEnded(const Call& call, const BackendChoice& choice, BackendStatus status, std::uint32_t cachedTokens,
        TimePoint startedAt);

    Clock& clock;
    ActiveConfiguration& config;
    Backends& backends;
    AdmissionGate& gate;
    ModelEngine& engines;
    ServiceClient& services;
    Counters& counters;
    DecisionLog& decisions;
};

} // namespace lovagecross
