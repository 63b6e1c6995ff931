#pragma once

// The KV cache of the engine stand-in: a limited tree of prompt prefixes, one node for each message.
//
//     PrefixCache cache(100000);
//     cache.store("program-1", blocks);
//     cache.cachedTokens(blocks);          // tokens of the longest stored prefix
//     cache.releaseSession("program-1");   // frees what no other session uses
//
// A prefix belongs to every session that stored it. Under pressure the least recently used prefixes go, longest first.
//
// Thread safety: none; the owner locks.

#include "lovagecross/standins/Prompt.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross::standins {

struct CacheChange {
    bool stored = false; // false: evicted or released
    std::string prefixDigest;
    std::uint32_t tokens = 0; // of the whole prefix
};

struct SessionTokens {
    std::string session;
    std::uint32_t tokens = 0;
};

class PrefixCache {
public:
    explicit PrefixCache(std::uint32_t capacityTokens);

    std::uint32_t usedTokens() const { return this->used; }

    // Tokens of the longest prefix of `blocks` that is stored.
    std::uint32_t cachedTokens(const std::vector<PrefixBlock>& blocks) const;

    // Evicts until at least `tokens` are unused. False when pinned prefixes and `reserved` leave too little.
    bool makeRoom(std::uint32_t tokens, std::uint32_t reserved);

    // Stores what is missing of `blocks` for `session` and marks all of it as used. There must be room for it.
    void store(const std::string& session, const std::vector<PrefixBlock>& blocks);

    // A pinned prefix is not evicted. Pins count; each pin ends with one unpin of the same blocks. Blocks that are not
    // stored are passed over and must be unpinned as passed over: `pin` returns how many blocks it pinned.
    std::size_t pin(const std::vector<PrefixBlock>& blocks);
    void unpin(const std::vector<PrefixBlock>& blocks, std::size_t pinnedBlocks);

    void releaseSession(const std::string& session);
    std::vector<SessionTokens> sessions() const; // without the unnamed session
    std::vector<std::vector<PrefixBlock>> sessionPrefixes(const std::string& session) const; // one for each leaf

    // Removes and returns the changes since the last call, oldest first.
    std::vector<CacheChange> takeChanges();

private:
    struct Entry {
        std::string parent; // empty for a first message
        std::uint32_t tokens = 0; // of this block
        std::uint32_t prefixTokens = 0; // of the whole prefix
        std::uint64_t lastUse = 0;
        std::size_t children = 0;
        std::size_t pins = 0;
        std::set<std::string, std::less<>> sessions;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    bool evictOne();
    void erase(Entries::iterator entry);
    void touch(const std::vector<PrefixBlock>& blocks);
    std::vector<PrefixBlock> pathTo(std::string_view digest) const;

    const std::uint32_t capacity;
    std::uint32_t used = 0;
    std::uint64_t useCounter = 0;
    Entries entries;
    std::set<std::pair<std::uint64_t, std::string>> byLastUse;
    std::map<std::string, std::set<std::string>> digestsBySession;
    std::vector<CacheChange> changes;
};

} // namespace lovagecross::standins
