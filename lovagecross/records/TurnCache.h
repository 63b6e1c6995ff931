#pragma once

// LRU cache of the turns that this node has kept or read, so that a conversation that stays on one node isn't fetched
// again. A missing entry does not mean that the turn does not exist.
//
// Thread safety: every member may be called from any thread.

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
};

class TurnCache {
public:
    explicit TurnCache(std::size_t maxCachedBytes);

    void add(CachedTurn turn);
    std::optional<CachedTurn> find(const std::string& id);

private:
    const std::size_t maxBytes;
    std::mutex mutex;
    std::list<CachedTurn> recent; // most recently used first
    std::unordered_map<std::string, std::list<CachedTurn>::iterator> byId;
    std::size_t bytes = 0;
};

} // namespace lovagecross
