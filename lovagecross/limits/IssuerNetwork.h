#pragma once

// Test fake: an in-process network with record nodes that issue permits.
//
// Thread safety: every member may be called from any thread, except the constructor and `restart`.

#include "lovagecross/limits/PermitIssuer.h"
#include "lovagecross/ports/Peer.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

class IssuerNetwork final : public PeerClient {
public:
    IssuerNetwork(const Clock& givenClock, int nodes)
        : clock(givenClock)
        , slices(static_cast<std::size_t>(nodes))
    {
        for (int i = 0; i < nodes; ++i)
            this->restart("record" + std::to_string(i));
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> all;
        for (const auto& [address, issuer] : this->issuers)
            all.push_back(address);
        return all;
    }

    // Starts a node, or starts it again without its memory.
    void restart(const std::string& address)
    {
        SlicePlacement placement { [this](const std::string&) { return this->slices; },
            [this, address] {
                std::vector<std::string> others = this->addresses();
                std::erase(others, address);
                return others;
            } };
        this->issuers[address] = std::make_unique<PermitIssuer>(this->clock, *this, placement, this->counters);
    }

    void setReachable(const std::string& address, bool reachable)
    {
        std::lock_guard lock(this->mutex);
        if (reachable)
            this->unreachable.erase(address);
        else
            this->unreachable.insert(address);
    }

    int requests() const { return this->requestCount; }
    PermitIssuer& issuer(const std::string& address) { return *this->issuers.at(address); }

    PeerResult request(const std::string& address, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        ++this->requestCount;
        PermitIssuer* issuer = this->find(address);
        if (issuer == nullptr)
            return { PeerStatus::NoAnswer, {} };
        return { PeerStatus::Ok, issuer->handle(std::get<PermitRequest>(request)) };
    }
    void notify(const std::string& address, const PeerRequest& request) override
    {
        if (PermitIssuer* issuer = this->find(address))
            issuer->handle(std::get<LimitReport>(request));
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void failForwardsTo(const std::string&) override { }

private:
    PermitIssuer* find(const std::string& address)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->issuers.find(address);
        return found == this->issuers.end() || this->unreachable.count(address) > 0 ? nullptr : found->second.get();
    }

    const Clock& clock;
    const std::size_t slices;
    Counters counters;
    std::atomic<int> requestCount { 0 };
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<PermitIssuer>> issuers;
    std::set<std::string> unreachable;
};

} // namespace lovagecross
