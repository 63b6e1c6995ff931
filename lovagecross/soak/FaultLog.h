#pragma once

// What the soak did to the nodes, with times, so that a response without its end can be traced to a fault.
//
//     std::size_t entry = log.begin(Fault::NodePaused, node.callerAddress);
//     ...
//     log.end(entry);
//     log.find(node.callerAddress, sentAt, brokenAt);   // the fault that explains the cut, if there is one
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/NameTable.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross::soak {

enum class Fault {
    NodeKilled,
    NodePaused,
    PastGrace, // the node was told to stop, and its grace period is over
    ServerLink,
    PeerLink,
    PlatformLink,
    RecordNodeDown,
    ServerLeft,
    Stopping, // no reason by itself: calls may use the grace period
};

inline constexpr NameTable<Fault, 9> faultNames { { {
    { Fault::NodeKilled, "node_killed" },
    { Fault::NodePaused, "node_paused" },
    { Fault::PastGrace, "past_grace" },
    { Fault::ServerLink, "server_link" },
    { Fault::PeerLink, "peer_link" },
    { Fault::PlatformLink, "platform_link" },
    { Fault::RecordNodeDown, "record_node_down" },
    { Fault::ServerLeft, "server_left" },
    { Fault::Stopping, "stopping" },
} } };

class FaultLog {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // `node` is the callers' address of an entry node; empty: the fault concerns every node. Returns the entry's
    // number.
    std::size_t begin(Fault fault, const std::string& node = {})
    {
        std::lock_guard lock(this->mutex);
        this->entries.push_back({ fault, node, std::chrono::steady_clock::now(), TimePoint::max() });
        return this->entries.size() - 1;
    }
    void end(std::size_t entry)
    {
        std::lock_guard lock(this->mutex);
        this->entries[entry].until = std::chrono::steady_clock::now() + aftermath;
    }

    // A node's planned stop, and the end of the grace period that calls may use.
    void stopBegan(const std::string& node, TimePoint graceEnd)
    {
        std::lock_guard lock(this->mutex);
        this->entries.push_back({ Fault::Stopping, node, std::chrono::steady_clock::now(), TimePoint::max() });
        this->entries.push_back({ Fault::PastGrace, node, graceEnd, TimePoint::max() });
    }

    // The process that was told to stop has been replaced.
    void stopEnded(const std::string& node)
    {
        std::lock_guard lock(this->mutex);
        TimePoint now = std::chrono::steady_clock::now();
        for (Entry& entry : this->entries) {
            if (entry.node == node && (entry.fault == Fault::Stopping || entry.fault == Fault::PastGrace))
                entry.until = std::min(entry.until, now);
        }
    }

    // The fault of `node` that explains a cut; faults have an aftermath.
    std::optional<Fault> find(const std::string& node, TimePoint sent, TimePoint ended) const
    {
        return this->findIf([&](const Entry& entry) {
            bool concerned = entry.node.empty() || entry.node == node;
            return concerned && entry.fault != Fault::Stopping && entry.from <= ended && entry.until >= sent;
        });
    }

    // Whether `node` had been told to stop when a response ended.
    bool wasStopping(const std::string& node, TimePoint ended) const
    {
        auto found = this->findIf([&](const Entry& entry) {
            return entry.node == node && entry.fault == Fault::Stopping && entry.from <= ended && ended <= entry.until;
        });
        return found.has_value();
    }

private:
    static constexpr auto aftermath = std::chrono::seconds(2); // until the nodes have recovered from a fault

    struct Entry {
        Fault fault;
        std::string node;
        TimePoint from;
        TimePoint until;
    };

    template <typename Predicate> std::optional<Fault> findIf(const Predicate& predicate) const
    {
        std::lock_guard lock(this->mutex);
        auto found = std::find_if(this->entries.begin(), this->entries.end(), predicate);
        return found == this->entries.end() ? std::nullopt : std::optional(found->fault);
    }

    mutable std::mutex mutex;
    std::vector<Entry> entries;
};

} // namespace lovagecross::soak
