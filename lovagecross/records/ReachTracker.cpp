#include "lovagecross/records/ReachTracker.h"

#include <algorithm>

namespace lovagecross {

namespace {

constexpr Duration retryOnOtherNode = std::chrono::milliseconds(50);
constexpr Duration retryDuringOutage = std::chrono::milliseconds(300);

} // namespace

void ReachTracker::recordRound(bool enough, bool nearAnswered, bool isProbe, TimePoint now)
{
    if (enough) {
        this->current = Reachability::Reachable;
        this->peers = {};
        return;
    }
    bool confirmed = isProbe && this->current != Reachability::Reachable;
    if (this->current != Reachability::Partitioned) {
        this->unreachableSince = this->current == Reachability::Suspected ? this->unreachableSince : now;
        this->current = confirmed ? Reachability::Partitioned : Reachability::Suspected;
    }
    this->dataCentrePartitioned = nearAnswered;
}

bool ReachTracker::shouldLeaveRotation() const
{
    bool allPartitioned = this->peers.partitioned >= std::min<std::size_t>(2, this->peers.asked)
        && this->peers.partitioned > 0 && this->peers.reachable == 0;
    return this->current == Reachability::Partitioned && !allPartitioned;
}

Duration ReachTracker::retryAfter(TimePoint now) const
{
    if (!this->shouldLeaveRotation())
        return retryDuringOutage;
    if (!this->dataCentrePartitioned)
        return retryOnOtherNode;
    return std::max<Duration>(retryOnOtherNode, this->unreachableSince + balancerDetectionTime - now);
}

} // namespace lovagecross
