#pragma once

// Ports of the gateway to what programs share between nodes: kept turns and token budgets. Implemented by
// `records/RecordClient`; tests use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"

#include <cstdint>
#include <string>

namespace lovagecross {

// One turn of a conversation as it is kept. It never changes after it is written.
struct TurnRecord {
    std::string id; // request id of the turn
    std::string previous; // id of the turn that it continues; empty at the start of a conversation
    std::string program; // that it belongs to
    std::string input; // what the caller sent
    std::string output; // data of each event, each with a line feed
    Duration retention { 0 };
};

enum class ChainStatus {
    Found,
    Absent, // every place that could hold the turn says that it does not
    Unavailable, // some place that could hold it can't be asked
};

struct Chain {
    ChainStatus status = ChainStatus::Unavailable;
    std::string text; // input and output of each turn, the oldest first
    std::size_t turns = 0;
    Duration retryAfter { 0 }; // for Unavailable: when the caller should come back
};

class TurnStore {
public:
    virtual ~TurnStore() = default;

    // Everything that was said up to and including the turn `id`.
    virtual Chain chain(const std::string& id, TimePoint deadline) = 0;

    // True once the record survives the failures that the deployment tolerates.
    virtual bool keep(const TurnRecord& record, TimePoint deadline) = 0;
};

enum class GrantStatus {
    Granted,
    Exhausted, // the budget does not hold the tokens
    Unavailable,
};

struct GrantRequest {
    std::string program;
    std::string requestId;
    std::uint64_t tokens = 0; // the most that the turn generates
    std::uint64_t budget = 0;
    Duration retention { 0 }; // after the last use
};

struct Grant {
    GrantStatus status = GrantStatus::Unavailable;
    std::uint64_t usedTokens = 0; // by other turns, open grants counted whole
    Duration retryAfter { 0 }; // for Unavailable: when the caller should come back
};

class TokenBudgets {
public:
    virtual ~TokenBudgets() = default;

    // Reserves the tokens durably: they count as used until `settle`.
    virtual Grant reserve(const GrantRequest& request, TimePoint deadline) = 0;

    // Replaces a grant by what the caller was sent. May be lost; the grant then counts whole.
    virtual void settle(const GrantRequest& request, std::uint64_t usedTokens) = 0;
};

} // namespace lovagecross
