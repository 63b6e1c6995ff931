#pragma once

// How much a record node keeps for callers, and which new records are refused when that is used up. What is kept stays
// for its time; nothing that was acknowledged gives way.
//
//     RecordRoom room = recordRoomOf(settings.diskBytes, settings.memoryBytes);
//     if (hasRoom(room, { table.turnBytes() + promises.bytes(), table.indexBytes() }, { turnBytes, continuesTurn }))
//         promises.add(requestId, turnBytes, now);     // until the turn is stored, or does not run
//
// Load patterns:
//  - large turns: they may use half of the room, so that those of usual size can be kept beside a crowd of them;
//  - new conversations: they leave an eighth for those that have begun;
//  - many small records, or records with long names: the memory for the index limits them, not the disk.
//
// Thread safety: not synchronized; the owner must hold a lock.

#include "lovagecross/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace lovagecross {

// Limits in bytes.
struct RecordRoom {
    std::size_t turnBytes = std::numeric_limits<std::size_t>::max(); // of turns in the log
    std::size_t indexBytes = std::numeric_limits<std::size_t>::max(); // of memory for the index
};

RecordRoom recordRoomOf(std::size_t diskBytes, std::size_t memoryBytes);

struct RoomUse {
    std::size_t turnBytes = 0; // kept and promised
    std::size_t indexBytes = 0;
};

// What a request is about to add.
struct RoomRequest {
    std::size_t turnBytes = 0; // 0: it stores no turn
    bool continuesTurn = false;
};

inline constexpr std::size_t largeTurnBytes = 128 * 1024;

bool hasRoom(const RecordRoom& room, const RoomUse& used, const RoomRequest& wanted);

// Whether a turn that was promised no room, and has run, fits into the whole room.
bool fitsIntoRoom(const RecordRoom& room, const RoomUse& used, std::size_t turnBytes);

// Room that requests were promised before they run, for the turns that they will store.
class RoomPromises {
public:
    // A promise of a request that is never heard of again ends after this time.
    static constexpr Duration lifetime = std::chrono::seconds(60);

    // Replaces an earlier promise to the same request.
    void add(const std::string& requestId, std::size_t bytes, TimePoint now);
    bool has(const std::string& requestId) const { return this->promises.count(requestId) > 0; }
    void release(const std::string& requestId);

    // The request has run, and stores its turn next.
    void shorten(const std::string& requestId, TimePoint now);
    void removeExpired(TimePoint now);

    std::size_t bytes() const { return this->sum; }
    std::size_t indexBytes() const { return this->indexSum; } // of memory

private:
    struct Promise {
        std::size_t bytes = 0;
        TimePoint until;
    };

    std::map<std::string, Promise> promises; // by request id
    std::size_t sum = 0;
    std::size_t indexSum = 0;
};

} // namespace lovagecross
