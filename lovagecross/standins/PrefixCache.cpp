#include "lovagecross/standins/PrefixCache.h"

#include <algorithm>
#include <utility>

namespace lovagecross::standins {

PrefixCache::PrefixCache(std::uint32_t capacityTokens)
    : capacity(capacityTokens)
{
}

std::uint32_t PrefixCache::cachedTokens(const std::vector<PrefixBlock>& blocks) const
{
    std::uint32_t tokens = 0;
    for (const PrefixBlock& block : blocks) {
        if (!this->entries.contains(block.digest))
            break;
        tokens += block.tokens;
    }
    return tokens;
}

bool PrefixCache::makeRoom(std::uint32_t tokens, std::uint32_t reserved)
{
    const std::uint64_t needed = std::uint64_t(tokens) + reserved;
    while (this->used + needed > this->capacity) {
        if (!this->evictOne())
            return false;
    }
    return true;
}

bool PrefixCache::evictOne()
{
    for (const auto& [lastUse, digest] : this->byLastUse) {
        const auto entry = this->entries.find(digest);
        if (entry->second.pins > 0 || entry->second.children > 0)
            continue;
        this->erase(entry);
        return true;
    }
    return false;
}

void PrefixCache::erase(Entries::iterator entry)
{
    const auto& [digest, data] = *entry;
    this->used -= data.tokens;
    if (const auto parent = this->entries.find(data.parent); parent != this->entries.end())
        --parent->second.children;
    for (const std::string& session : data.sessions) {
        const auto digests = this->digestsBySession.find(session);
        digests->second.erase(digest);
        if (digests->second.empty())
            this->digestsBySession.erase(digests);
    }
    this->changes.push_back({ false, digest, data.prefixTokens });
    this->byLastUse.erase({ data.lastUse, digest });
    this->entries.erase(entry);
}

void PrefixCache::store(const std::string& session, const std::vector<PrefixBlock>& blocks)
{
    std::string parent;
    std::uint32_t prefixTokens = 0;
    for (const PrefixBlock& block : blocks) {
        prefixTokens += block.tokens;
        const auto [entry, isNew] = this->entries.try_emplace(block.digest);
        if (isNew) {
            entry->second.parent = parent;
            entry->second.tokens = block.tokens;
            entry->second.prefixTokens = prefixTokens;
            this->byLastUse.insert({ 0, block.digest });
            this->used += block.tokens;
            if (const auto above = this->entries.find(parent); above != this->entries.end())
                ++above->second.children;
            this->changes.push_back({ true, block.digest, prefixTokens });
        }
        entry->second.sessions.insert(session);
        this->digestsBySession[session].insert(block.digest);
        parent = block.digest;
    }
    this->touch(blocks);
}

void PrefixCache::touch(const std::vector<PrefixBlock>& blocks)
{
    // The longest prefix gets the oldest mark, so that it is evicted before the prefixes it builds on.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto entry = this->entries.find(block->digest);
        if (entry == this->entries.end())
            continue;
        this->byLastUse.erase({ entry->second.lastUse, block->digest });
        entry->second.lastUse = ++this->useCounter;
        this->byLastUse.insert({ entry->second.lastUse, block->digest });
    }
}

std::size_t PrefixCache::pin(const std::vector<PrefixBlock>& blocks)
{
    std::size_t pinned = 0;
    for (const PrefixBlock& block : blocks) {
        const auto entry = this->entries.find(block.digest);
        if (entry == this->entries.end())
            break;
        ++entry->second.pins;
        ++pinned;
    }
    return pinned;
}

void PrefixCache::unpin(const std::vector<PrefixBlock>& blocks, std::size_t pinnedBlocks)
{
    for (std::size_t i = pinnedBlocks; i > 0; --i) {
        const auto entry = this->entries.find(blocks[i - 1].digest);
        if (entry == this->entries.end())
            continue;
        --entry->second.pins;
        // The session was released while the prefix was in use.
        if (entry->second.pins == 0 && entry->second.sessions.empty() && entry->second.children == 0)
            this->erase(entry);
    }
}

void PrefixCache::releaseSession(const std::string& session)
{
    const auto found = this->digestsBySession.find(session);
    if (found == this->digestsBySession.end())
        return;
    const std::set<std::string> digests = std::move(found->second);
    this->digestsBySession.erase(found);
    std::vector<std::pair<std::uint32_t, std::string>> unused; // tokens of the prefix, digest
    for (const std::string& digest : digests) {
        Entry& entry = this->entries.find(digest)->second;
        entry.sessions.erase(session);
        if (entry.sessions.empty() && entry.pins == 0)
            unused.emplace_back(entry.prefixTokens, digest);
    }
    // Longest first: a prefix goes after those that build on it.
    std::sort(unused.rbegin(), unused.rend());
    for (const auto& [tokens, digest] : unused) {
        const auto entry = this->entries.find(digest);
        if (entry->second.children == 0)
            this->erase(entry);
    }
}

std::vector<SessionTokens> PrefixCache::sessions() const
{
    std::vector<SessionTokens> list;
    for (const auto& [session, digests] : this->digestsBySession) {
        if (session.empty())
            continue;
        std::uint32_t tokens = 0;
        for (const std::string& digest : digests)
            tokens += this->entries.find(digest)->second.tokens;
        list.push_back({ session, tokens });
    }
    return list;
}

std::vector<PrefixBlock> PrefixCache::pathTo(std::string_view digest) const
{
    std::vector<PrefixBlock> path;
    for (auto entry = this->entries.find(digest); entry != this->entries.end();
         entry = this->entries.find(entry->second.parent))
        path.push_back({ entry->first, entry->second.tokens });
    std::reverse(path.begin(), path.end());
    return path;
}

std::vector<std::vector<PrefixBlock>> PrefixCache::sessionPrefixes(const std::string& session) const
{
    std::vector<std::vector<PrefixBlock>> prefixes;
    const auto found = this->digestsBySession.find(session);
    if (found == this->digestsBySession.end())
        return prefixes;
    std::set<std::string> inner; // digests that another digest of the session builds on
    for (const std::string& digest : found->second)
        inner.insert(this->entries.find(digest)->second.parent);
    for (const std::string& digest : found->second) {
        if (!inner.contains(digest))
            prefixes.push_back(this->pathTo(digest));
    }
    return prefixes;
}

std::vector<CacheChange> PrefixCache::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace lovagecross::standins
