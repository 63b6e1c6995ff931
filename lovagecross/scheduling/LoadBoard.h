#pragma once

// The load that entry nodes report to a record node with each fetch of the directory, and its sum for all of them.
//
//     LoadBoard board(clock);
//     board.record(load);                // of an entry node
//     FleetShare all = board.sum();
//
// Nothing is stored on disk. A record node that has only just begun to receive reports, after its restart or because
// other record nodes can't be reached, names no sum until every node has had the time to report.
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

// A tenant is in excess if it has begun more programs than `minExcessPrograms`, and more than `excessFactor` times the
// mean of the tenants that have begun any.
inline constexpr double excessFactor = 1.5;
inline constexpr double minExcessPrograms = 5;

// Returns the tenants in excess, by the programs that each has begun at all nodes lately; those with the most first,
// and at most `maxReportedTenants`.
std::vector<std::string> tenantsInExcess(const std::map<std::string, double>& begun);

class LoadBoard {
public:
    explicit LoadBoard(const Clock& givenClock);

    void record(const ProgramLoad& load);

    // The sum of the reports of the last `reportLifetime`. A sum of no nodes means that it isn't known.
    FleetShare sum();

    static constexpr Duration reportLifetime = std::chrono::seconds(1);
    static constexpr Duration settleTime = std::chrono::milliseconds(700); // two intervals of the fetches, and a delay
    static constexpr std::size_t maxNodes = 10'000; // reports of further ones are ignored

private:
    struct Report {
        ProgramLoad load;
        TimePoint heardAt;
    };

    void forgetOld(); // called with the lock

    const Clock& clock;
    std::mutex mutex;
    std::map<std::string, Report> reports; // by node
    TimePoint firstAt; // since when there has been a report at any time
};

} // namespace lovagecross
