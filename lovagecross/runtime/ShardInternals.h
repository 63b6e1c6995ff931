#pragma once

// Intervals and conversions shared by the source files of Shard. Internal to Shard*.cpp.

#include "lovagecross/base/Clock.h"
#include "lovagecross/journal/Journal.h"
#include "lovagecross/ports/Peer.h"

namespace lovagecross::detail {

inline constexpr Duration tickInterval = std::chrono::milliseconds(100);

// Intervals between reads of the lease object: the short one while no holder is known, or on a standby whose promise to
// the holder has run out; the long one while gossip reports a live holder.
inline constexpr Duration shortObserveInterval = std::chrono::seconds(1);
inline constexpr Duration longObserveInterval = std::chrono::seconds(30);

// Minimum number of reads of the lease object per lease horizon. An observer must read it often enough to establish
// that it did not change.
inline constexpr int observationsPerHorizon = 20;

// Delay between consecutive candidates for a vacant shard.
inline constexpr Duration claimStaggerInterval = std::chrono::milliseconds(300);

// Maximum delay after a failed takeover. Retries without delay would exhaust the platform's rate limit.
inline constexpr Duration maxTakeoverBackoff = std::chrono::milliseconds(600);

// The total time that one recovery attempt may spend waiting for the platform's rate limit.
inline constexpr Duration maxRecoveryRateLimitWait = std::chrono::seconds(10);

inline constexpr Duration promiseTimeout = std::chrono::milliseconds(500);
inline constexpr Duration bridgeTimeout = std::chrono::seconds(1);
inline constexpr Duration standbyChangeInterval = std::chrono::seconds(1);
inline constexpr Duration platformProbeInterval = std::chrono::milliseconds(500);

inline BridgeBatch toMessage(const JournalBatch& batch, std::uint64_t epoch)
{
    return { batch.shard, epoch, batch.position.generation, batch.position.sequence, batch.bytes };
}

} // namespace lovagecross::detail
