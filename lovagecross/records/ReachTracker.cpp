#include "lovagecross/records/ReachTracker.h"

#include <algorithm>

namespace lovagecross {

namespace {

constexpr Duration retryElsewhere = std::chrono::milliseconds(50);
constexpr Duration retryDuringOutage = std::chrono::milliseconds(300);

} // namespace

void ReachTracker::round(bool enough, bool nearAnswered, bool isProbe, TimePoint now)
{
    if (enough) {
        this->current = Reach::Reachable;
        this->opinions = {};
        return;
    }
    bool confirmed = isProbe && this->current != Reach::Reachable;
    if (this->current != Reach::Cut) {
        this->cutSince = this->current == Reach::Doubtful ? this->cutSince : now;
        this->current = confirmed ? Reach::Cut : Reach::Doubtful;
    }
    this->dataCentreCut = nearAnswered;
}

bool ReachTracker::shouldTurnAway() const
{
    bool allAreCut = this->opinions.cut >= std::min<std::size_t>(2, this->opinions.asked) && this->opinions.cut > 0
        && this->opinions.reaching == 0;
    return this->current == Reach::Cut && !allAreCut;
}

Duration ReachTracker::retryAfter(TimePoint now) const
{
    if (!this->shouldTurnAway())
        return retryDuringOutage;
    if (!this->dataCentreCut)
        return retryElsewhere;
    return std::max<Duration>(retryElsewhere, this->cutSince + balancerNotice - now);
}

} // namespace lovagecross
