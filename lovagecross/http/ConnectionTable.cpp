#include "lovagecross/http/ConnectionTable.h"

#include <algorithm>
#include <tuple>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration maxCloseWait = milliseconds(100); // until a closed connection is gone
constexpr Duration closePollInterval = milliseconds(5);
constexpr std::size_t minBytesPerMilli = 256; // a caller that sends faster counts as one that has just begun

// The time from which a connection counts as waiting: later for a caller that has sent much.
TimePoint effectiveStart(const ConnectionState& state, TimePoint now)
{
    Duration credit = milliseconds(state.receivedBytes / minBytesPerMilli);
    return std::min(now, state.waitingSince + credit);
}

} // namespace

ConnectionChoice chooseConnectionToClose(
    const std::vector<ConnectionState>& connections, TimePoint now, Duration minWait)
{
    ConnectionChoice choice;
    TimePoint oldest = now;
    auto rank = [now](const ConnectionState& state) { return std::tuple(state.served, effectiveStart(state, now)); };
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].running)
            continue;
        TimePoint start = effectiveStart(connections[i], now);
        oldest = std::min(oldest, start);
        choice.wait = minWait - (now - oldest);
        bool mayClose = now - start >= minWait;
        if (mayClose && (!choice.toClose || rank(connections[i]) < rank(connections[*choice.toClose])))
            choice.toClose = i;
    }
    if (choice.toClose)
        choice.wait.reset();
    return choice;
}

bool ConnectionTable::makeRoom()
{
    std::unique_lock lock(this->mutex);
    TimePoint until = this->clock.now() + this->minWait + maxCloseWait;
    while (this->open.size() >= this->maxConnections) {
        Duration wait = closePollInterval;
        if (this->closing == 0) {
            std::optional<Duration> untilNext = this->closeOne();
            if (!untilNext)
                return false;
            wait = std::max(wait, *untilNext);
        }
        if (this->clock.now() >= until)
            return false;
        this->freed.wait_for(lock, wait);
    }
    return true;
}

// Closes a connection that waits. Returns how long to wait until it is gone or another one may be closed, or nullopt if
// all run requests. The mutex must be held.
std::optional<Duration> ConnectionTable::closeOne()
{
    std::vector<TrackedConnection*> candidates;
    std::vector<ConnectionState> states;
    for (TrackedConnection* connection : this->open) {
        candidates.push_back(connection);
        states.push_back(connection->state);
    }
    ConnectionChoice choice = chooseConnectionToClose(states, this->clock.now(), this->minWait);
    if (!choice.toClose)
        return choice.wait;
    TrackedConnection& chosen = *candidates[*choice.toClose];
    chosen.closed = true;
    chosen.close();
    ++this->closing;
    ++this->closedCount;
    return closePollInterval;
}

std::size_t ConnectionTable::size() const
{
    std::lock_guard lock(this->mutex);
    return this->open.size();
}

std::uint64_t ConnectionTable::closedForOthers() const
{
    std::lock_guard lock(this->mutex);
    return this->closedCount;
}

TrackedConnection::TrackedConnection(ConnectionTable& connections, std::function<void()> closeSocket)
    : table(connections)
    , close(std::move(closeSocket))
{
    std::lock_guard lock(this->table.mutex);
    this->state.waitingSince = this->table.clock.now();
    this->table.open.insert(this);
}

TrackedConnection::~TrackedConnection()
{
    std::lock_guard lock(this->table.mutex);
    this->table.open.erase(this);
    this->table.closing -= this->closed ? 1 : 0;
    this->table.freed.notify_all();
}

void TrackedConnection::waits()
{
    std::lock_guard lock(this->table.mutex);
    bool served = this->state.served || this->state.running;
    this->state = { false, served, this->table.clock.now(), 0 };
    this->table.freed.notify_all();
}

void TrackedConnection::readsRequest()
{
    std::lock_guard lock(this->table.mutex);
    this->state.waitingSince = this->table.clock.now();
    this->state.receivedBytes = 0;
}

void TrackedConnection::received(std::size_t bytes)
{
    std::lock_guard lock(this->table.mutex);
    this->state.receivedBytes = bytes;
}

bool TrackedConnection::runsRequest()
{
    std::lock_guard lock(this->table.mutex);
    if (this->closed)
        return false;
    this->state.running = true;
    return true;
}

} // namespace lovagecross
