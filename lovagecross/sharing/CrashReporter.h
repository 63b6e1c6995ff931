#pragma once

// Notices about calls and the ends of servers that an entry node tells the record nodes. Messages get lost, so each
// notice is told several times; a repeat changes nothing.
//
//     reporter.add(guard.step());
//     std::vector<CrashNotice> due = reporter.takeDue();   // to be sent now
//
// Thread safety: not synchronized.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"

#include <array>
#include <cstddef>
#include <deque>
#include <vector>

namespace lovagecross {

class CrashReporter {
public:
    explicit CrashReporter(const Clock& givenClock);

    void add(const std::vector<CrashNotice>& notices);

    // Returns what must be sent now, with the present ages. Calls that the same server ended share a notice.
    std::vector<CrashNotice> takeDue();

    static constexpr std::array<Duration, 3> sendTimes { Duration(0), std::chrono::milliseconds(500),
        std::chrono::milliseconds(2500) }; // after a notice was added
    static constexpr std::size_t maxWaiting = 4096; // the oldest ones are dropped

private:
    struct Waiting {
        CrashNotice notice;
        TimePoint addedAt;
        std::size_t sent = 0; // times
    };

    const Clock& clock;
    std::deque<Waiting> waiting;
};

} // namespace lovagecross
