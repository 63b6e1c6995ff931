#pragma once

// LRU cache of the turns that this node has kept or read, so that a conversation that stays on one node isn't fetched
// again. A missing entry does not mean that the turn does not exist. Turns that were not used for a while are dropped:
// a conversation that pauses longer costs one read of the record nodes.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"

#include <cstddef>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace lovagecross {

struct CachedTurn {
    std::string id;
    std::string previous;
    std::string text; // the input followed by the output
    std::string group {}; // where the conversation is stored
};

class TurnCache {
public:
    TurnCache(const Clock& clock, std::size_t maxCachedBytes);

    void add(CachedTurn turn);
    std::optional<CachedTurn> find(const std::string& id);

    // Bytes of the cached turns, with the overhead of their entries.
    std::size_t size() const;

    static constexpr Duration unusedLifetime = std::chrono::seconds(10);

private:
    struct Entry {
        CachedTurn turn;
        TimePoint usedAt;
    };

    void dropOldest();

    const Clock& clock;
    const std::size_t maxBytes;
    mutable std::mutex mutex;
    std::list<Entry> recent; // most recently used first
    std::unordered_map<std::string, std::list<Entry>::iterator> byId;
    std::size_t bytes = 0;
};

} // namespace lovagecross
