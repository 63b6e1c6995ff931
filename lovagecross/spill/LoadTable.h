#pragma once

// The load of each data centre as a record node knows it: from the entry nodes that fetch the directory here, and from
// other record nodes for those that fetch it there.
//
//     LoadTable loads("record1", clock);
//     loads.record(fetch.load);                    // of an entry node
//     loads.learn(report);                         // of another record node
//     LoadReport report = loads.ownReport();       // for the other record nodes
//     update.loads = loads.summaries();            // for an entry node
//
// A sum without some of the nodes would seem to leave room. Therefore a record node leaves a data centre out until
// entry nodes of it have reported for `completeAfter`, and counts a node that has stopped reporting with its last load
// for `nodeLifetime`. A node that has changed to another record node is counted twice for that time, and one that
// reports to several record nodes is counted once for each.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

class LoadTable {
public:
    LoadTable(std::string ownName, const Clock& givenClock);

    void record(const NodeLoad& load);
    void learn(const LoadReport& report);

    // The sums over the entry nodes that report to this node; empty if none does, or only since just now.
    LoadReport ownReport() const;

    // The sums over all entry nodes, by data centre and service. Their age is that of the oldest recent report. Those
    // of data centres that are no longer heard of are kept for `summaryLifetime`, with their age.
    std::vector<LoadSummary> summaries() const;

    // Rank of an entry node among those of its data centre that report to this node, from 0, or `noRank`. When room is
    // divided, the remainder goes to the lowest ranks; therefore the ranks rotate each `rankTurn`. In the second half
    // of each turn there are none, so that the nodes have reported the limits that they got by the former ranks before
    // the next ones count.
    std::uint32_t rankOf(const NodeLoad& load) const;

    static constexpr Duration nodeLifetime = std::chrono::seconds(1); // since the last report
    static constexpr Duration recentReport = std::chrono::milliseconds(700); // a data centre without one is left out
    static constexpr Duration reporterLifetime = std::chrono::milliseconds(650); // allows for two lost reports
    static constexpr Duration completeAfter = std::chrono::milliseconds(700); // all nodes have reported by then
    static constexpr Duration summaryLifetime = std::chrono::seconds(30);
    static constexpr Duration rankTurn = std::chrono::seconds(2);
    static constexpr std::size_t maxNodes = 10'000; // further ones are ignored
    static constexpr std::size_t maxReporters = 256; // further record nodes are ignored
    static constexpr std::size_t maxSummaries = 1024; // further ones are left out

private:
    struct HeardNode {
        NodeLoad load;
        TimePoint heardAt;
    };

    struct HeardReport {
        std::vector<LoadSummary> summaries;
        TimePoint heardAt;
    };

    void removeExpired(TimePoint now);
    std::vector<LoadSummary> ownSummaries(TimePoint now) const;

    const std::string name;
    const Clock& clock;
    mutable std::mutex mutex;
    std::map<std::string, HeardNode> nodes; // by name
    std::map<std::string, TimePoint> heardSince; // by data centre of the nodes: since when it has had one
    std::map<std::string, HeardReport> reports; // by record node
};

} // namespace lovagecross
