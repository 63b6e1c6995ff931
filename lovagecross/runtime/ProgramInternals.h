#pragma once

// Helpers shared by the source files of ProgramService. Internal to Program*.cpp.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/Error.h"
#include "lovagecross/runtime/OwnedShard.h"
#include "lovagecross/runtime/Shard.h"

#include <string>
#include <utility>

namespace lovagecross::detail {

inline constexpr Duration commitTimeout = std::chrono::seconds(10);
inline constexpr Duration authorityTimeout = std::chrono::seconds(2);

Error notRunError(ErrorCode code, std::string message, Duration retryAfter);

// Waits until the record is durable. Errors: NotOwner when the shard is lost, Unavailable at the deadline. In both
// cases the record may still become durable later.
Result<void> waitUntilDurable(OwnedShard& ownedShard, JournalTicket ticket, TimePoint deadline);

// Waits until this node has authority over the shard. Without it another node may already own the shard, and the state
// held here may be stale. Errors: NotOwner, which makes the node that received the caller's request retry.
Result<void> requireAuthority(const Shard& shard);

// Leaves a program's queue on destruction.
class QueueGuard {
public:
    QueueGuard(OwnedShard& shard, QueueTicket queueTicket)
        : shard(shard)
        , queueTicket(std::move(queueTicket))
    {
    }
    ~QueueGuard() { this->shard.leaveQueue(this->queueTicket); }
    QueueGuard(const QueueGuard&) = delete;
    QueueGuard& operator=(const QueueGuard&) = delete;

private:
    OwnedShard& shard;
    QueueTicket queueTicket;
};

} // namespace lovagecross::detail
