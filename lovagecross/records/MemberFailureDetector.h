#pragma once

// Failure detector for roster members, based on whether they respond. A VM that was removed without notice would
// otherwise stay in the roster and reduce the failures that each majority can tolerate.
//
//     watch.recordCheck(roster, silentNames, now);
//     if (auto failed = watch.memberToRemove(roster, tolerance, now))
//         ... write the roster without it ...
//
// A removed member that comes back rejoins by itself. The timeout is longer than restarts, freezes and network
// partitions usually last, since a member that rejoins has to fetch its records again.
//
// Thread safety: not synchronized; used by one thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/records/Roster.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

class MemberFailureDetector {
public:
    static constexpr Duration defaultRemovalTimeout = std::chrono::seconds(10);

    explicit MemberFailureDetector(Duration timeout = defaultRemovalTimeout)
        : removalTimeout(timeout)
    {
    }

    // Records a check of all members at `now`; `silent` lists those that did not respond.
    void recordCheck(const Roster& roster, const std::vector<std::string>& silent, TimePoint now);

    // Returns a member that has not responded for the removal timeout, or nullopt if there is none. Returns nullopt
    // unless a majority of the members responds and more than `tolerance.machines` members remain after the removal.
    std::optional<std::string> memberToRemove(const Roster& roster, const Tolerance& tolerance, TimePoint now) const;

private:
    const Duration removalTimeout;
    std::map<std::string, TimePoint> silentSince; // keyed by node name
};

} // namespace lovagecross
