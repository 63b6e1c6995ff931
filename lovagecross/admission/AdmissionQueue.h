#pragma once

// Decides which waiting call gets the next free slot of a node's capacity. More urgent ranks are served first, but each
// rank with waiting calls gets at least its floor share of the service under overload. Within a rank, the program with
// the least attained service goes first.
//
//     AdmissionQueue queue(policies, capacity);
//     EnqueueResult result = queue.enqueue(call, now);   // may refuse the call immediately
//     while (auto ticket = queue.next(now)) ...          // the call has got a slot and can run
//     queue.finished(ticket, servedTokens, now);
//
// Order of grants:
//  - A rank that has waiting calls and has received less than its floor share goes first. Each rank has a deficit
//    counter: it is credited with the rank's floor share of every grant and debited with the rank's own grants. If no
//    rank is below its floor, the most urgent rank with waiting calls goes.
//  - Within a rank, the tenant with the least service since it last had no waiting calls goes first.
//  - Within a tenant, calls are ordered by the attained service of their program, grouped into levels by powers of two,
//    then by deadline, then by arrival. A program therefore doesn't lose its position by pausing between calls. Every
//    fourth grant goes to the call with the earliest deadline if it would otherwise miss it, so that long programs
//    don't starve.
//
// Thread safety: not thread-safe; the caller must serialize access.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

struct RankPolicy {
    std::string name;
    std::uint32_t urgency = 0; // ranks with higher values go first
    std::uint32_t floorPercent = 0; // minimum share of the granted service while the rank has waiting calls
    std::size_t maxQueued = 1000; // maximum number of waiting calls
};

using AdmissionTicket = std::uint64_t;

struct WaitingCall {
    std::string rank;
    ProgramId program;
    std::string tenant;
    std::uint64_t attainedTokens = 0; // service that the program has received so far
    TimePoint deadline; // TimePoint {} means no deadline
    std::uint32_t estimatedTokens = 0; // charged when the call is granted, corrected by `finished`
};

struct EnqueueResult {
    bool accepted = false;
    AdmissionTicket ticket = 0;
    std::string reason; // for a refused call: the limit that was reached
    Duration retryAfter { 0 }; // for a refused call: estimated from the rate at which the rank is served
};

class AdmissionQueue {
public:
    AdmissionQueue(std::vector<RankPolicy> ranks, std::size_t capacity);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    // Replaces the policies and the capacity, which is the number of calls that may run concurrently. Waiting calls of
    // a removed rank move to the least urgent rank.
    void configure(std::vector<RankPolicy> ranks, std::size_t capacity);

    // Refuses the call if the rank's queue is full, its program has `maxQueuedPerProgram` calls waiting, the rank is
    // unknown, or the deadline can't be met at the current service rate.
    EnqueueResult enqueue(const WaitingCall& call, TimePoint now);

    // Returns the next call to run, or nullopt if no slot is free or no call is waiting. Waiting calls past their
    // deadline are removed and returned by `takeExpired`; `next` must be called periodically for this even if no slot
    // is free.
    std::optional<AdmissionTicket> next(TimePoint now);
    std::vector<AdmissionTicket> takeExpired();

    // Must be called when a granted call ends. `servedTokens` is the service it received.
    void finished(AdmissionTicket ticket, std::uint64_t servedTokens, TimePoint now);

    // Removes a waiting call, for example because its caller disconnected. Has no effect on a granted call, which still
    // requires `finished`.
    void cancel(AdmissionTicket ticket);

    std::size_t running() const;
    std::size_t waiting() const;
    std::map<std::string, std::size_t> waitingByRank() const;

    static constexpr std::size_t maxQueuedPerProgram = 16;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace lovagecross
