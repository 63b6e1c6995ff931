#pragma once

// Finds members of a roster that are gone for good, from whether they answer: a VM that was taken away without notice
// would otherwise keep its place, and with it weaken every majority.
//
//     watch.checked(roster, silentNames, now);
//     if (auto gone = watch.memberToRemove(roster, tolerance, now))
//         ... write the roster without it ...
//
// A member that was removed and comes back joins again by itself. The bound is longer than restarts, freezes and cuts
// usually last, since a member that joins again has to fetch what it holds.
//
// Thread safety: not synchronized; one thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/records/Roster.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecross {

class MemberWatch {
public:
    static constexpr Duration defaultGoneAfter = std::chrono::seconds(10);

    explicit MemberWatch(Duration silence = defaultGoneAfter)
        : goneAfter(silence)
    {
    }

    // All members were asked at `now`; `silent` are those that did not answer.
    void checked(const Roster& roster, const std::vector<std::string>& silent, TimePoint now);

    // A member to remove: silent for `goneAfter`, while a majority of the members answers and enough are left after
    // it. nullopt when there is none.
    std::optional<std::string> memberToRemove(const Roster& roster, const Tolerance& tolerance, TimePoint now) const;

private:
    const Duration goneAfter;
    std::map<std::string, TimePoint> silentSince; // by node
};

} // namespace lovagecross
