#pragma once

// Dependencies and counters shared by the classes of a gateway. Internal to the component.
//
// Thread safety: every member may be used from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ConnectionPool.h"
#include "lovagecross/gateway/Directory.h"
#include "lovagecross/gateway/Permits.h"
#include "lovagecross/gateway/ServerStatistics.h"
#include "lovagecross/gateway/Turns.h"

#include <atomic>
#include <functional>

namespace lovagecross {

struct GatewayCounters {
    explicit GatewayCounters(Counters& counters);

    Counter& calls;
    Counter& answered;
    Counter& refused;
    Counter& failed;
    Counter& callersLeft;
    Counter& sends;
    Counter& streamsResumed;
    Counter& serversLeaving; // that said so in an answer
    Counter& bodyBytes; // of request bodies that are buffered now
    LatencyHistogram& timeToFirstSend; // from the received request head to the first send to a backend server
    LatencyHistogram& completionDelay; // from the last received event to the end of the response
    LatencyHistogram& tokenReservation;
    LatencyHistogram& conversationRead;
    LatencyHistogram& turnWrite;
    LatencyHistogram& callDuration; // from the received request head to the logged end of the call
};

struct GatewayContext {
    const Clock& clock;
    Directory& directory;
    ServerStatistics& book;
    ConnectionPool& pool;
    const CallCodec& codec;
    TurnStore& turns;
    TokenBudgets& budgets;
    ServerPermits& permits;
    GatewayCounters counters;
    std::function<void(const ServerKey&)> reportLeavingServer = [](const ServerKey&) {}; // to other nodes
    std::atomic<bool> draining { false };
};

} // namespace lovagecross
