#include "lovagecross/records/RecordRoom.h"

#include <algorithm>

namespace lovagecross {

namespace {

// Shares of the disk for kept turns and of the memory for the index. The rest of the disk is for discarded entries, for
// reservations, and for what a compaction copies; that of the memory for requests and messages.
constexpr std::size_t diskEighths = 6;
constexpr std::size_t memoryEighths = 3;

// Shares of the room, in eighths.
constexpr std::size_t largeTurnEighths = 4;
constexpr std::size_t firstTurnEighths = 7;
constexpr std::size_t wholeEighths = 8;

constexpr Duration storeDelay = std::chrono::seconds(5); // from the end of a turn until it is stored
constexpr std::size_t promiseIndexBytes = 128; // of memory, in addition to the request id

std::size_t eighthsOf(std::size_t bytes, std::size_t count)
{
    return bytes / 8 * count;
}

std::size_t shareOf(const RoomRequest& wanted)
{
    if (wanted.turnBytes >= largeTurnBytes)
        return largeTurnEighths;
    return wanted.continuesTurn ? wholeEighths : firstTurnEighths;
}

} // namespace

RecordRoom recordRoomOf(std::size_t diskBytes, std::size_t memoryBytes)
{
    return { eighthsOf(diskBytes, diskEighths), eighthsOf(memoryBytes, memoryEighths) };
}

bool hasRoom(const RecordRoom& room, const RoomUse& used, const RoomRequest& wanted)
{
    std::size_t share = shareOf(wanted);
    bool disk = wanted.turnBytes == 0 || used.turnBytes + wanted.turnBytes <= eighthsOf(room.turnBytes, share);
    // Large turns need no more of the index than others.
    return disk && used.indexBytes <= eighthsOf(room.indexBytes, std::max(share, firstTurnEighths));
}

bool fitsIntoRoom(const RecordRoom& room, const RoomUse& used, std::size_t turnBytes)
{
    return used.turnBytes + turnBytes <= room.turnBytes && used.indexBytes <= room.indexBytes;
}

void RoomPromises::add(const std::string& requestId, std::size_t bytes, TimePoint now)
{
    this->release(requestId);
    this->promises[requestId] = { bytes, now + lifetime };
    this->sum += bytes;
    this->indexSum += promiseIndexBytes + requestId.size();
}

void RoomPromises::release(const std::string& requestId)
{
    auto found = this->promises.find(requestId);
    if (found == this->promises.end())
        return;
    this->sum -= found->second.bytes;
    this->indexSum -= promiseIndexBytes + requestId.size();
    this->promises.erase(found);
}

void RoomPromises::shorten(const std::string& requestId, TimePoint now)
{
    auto found = this->promises.find(requestId);
    if (found != this->promises.end())
        found->second.until = std::min(found->second.until, now + storeDelay);
}

void RoomPromises::removeExpired(TimePoint now)
{
    for (auto it = this->promises.begin(); it != this->promises.end();) {
        auto next = std::next(it);
        if (it->second.until <= now) {
            this->sum -= it->second.bytes;
            this->indexSum -= promiseIndexBytes + it->first.size();
            this->promises.erase(it);
        }
        it = next;
    }
}

} // namespace lovagecross
