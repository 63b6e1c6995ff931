#pragma once

// What the parts of a gateway share. Internal to the component.
//
// Thread safety: every member may be used from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ConnectionPool.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/gateway/ServerBook.h"
#include "lovagecross/gateway/Turns.h"

#include <atomic>

namespace lovagecross {

struct GatewayCounters {
    explicit GatewayCounters(Counters& counters);

    Counter& calls;
    Counter& answered;
    Counter& refused;
    Counter& failed;
    Counter& callersLeft;
    Counter& sends;
    Counter& resumed;
    Counter& bodyBytes; // of requests that are held now
    LatencyHistogram& toFirstSend; // request read to first byte handed to a backend server
    LatencyHistogram& atEnd; // last event received to the end of the answer
    LatencyHistogram& reserve;
    LatencyHistogram& chain;
    LatencyHistogram& keep;
    LatencyHistogram& whole;
};

struct GatewayParts {
    const Clock& clock;
    Directory& directory;
    ServerBook& book;
    ConnectionPool& pool;
    const CallCodec& codec;
    TurnStore& turns;
    TokenBudgets& budgets;
    GatewayCounters counters;
    std::atomic<bool> draining { false };
};

} // namespace lovagecross
