#include "lovagecross/gateway/RelayTable.h"

#include "lovagecross/base/Hash.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

// A node that fails again soon after its pause is left out for longer, so that a node that is cut off from all others
// mostly refuses its calls at once.
constexpr Duration repeatedFailurePause = std::chrono::seconds(5);
constexpr Duration repeatedFailureWindow = std::chrono::seconds(2); // from the end of the pause before
constexpr Duration defaultBusyPause = std::chrono::milliseconds(200);

// Whether a call through the node may have to wait for a connection.
bool mayBeUnreachable(RelayProblem problem)
{
    return problem == RelayProblem::Failed || problem == RelayProblem::Gone;
}

TimePoint endOfDecline(const RelayDecline& decline, TimePoint now)
{
    switch (problemOf(decline.reason)) {
    case RelayProblem::Busy:
        return now + std::min(decline.retryAfter.value_or(defaultBusyPause), RelayTable::maxBusyPause);
    case RelayProblem::Gone:
        return TimePoint::max();
    case RelayProblem::Declined:
    case RelayProblem::Failed:
        break;
    }
    return now + RelayTable::declinePause;
}

} // namespace

RelayTable::RelayTable(const Clock& givenClock)
    : clock(givenClock)
    , random(static_cast<std::uint64_t>(givenClock.now().time_since_epoch().count()))
{
}

void RelayTable::replace(std::vector<RelayNode> known)
{
    if (known.empty())
        return;
    std::lock_guard lock(this->mutex);
    this->nodes = std::move(known);
    TimePoint now = this->clock.now();
    std::erase_if(this->pauses, [now](const auto& entry) {
        const Pause& pause = entry.second;
        if (pause.problem == RelayProblem::Gone)
            return now - pause.learnedAt >= maxOfferAge;
        return now - pause.until >= repeatedFailureWindow;
    });
}

std::vector<RelayNode> RelayTable::choose(std::size_t most)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::uint64_t seed = ++this->random;
    std::vector<RelayNode> usable;
    for (const RelayNode& node : this->nodes) {
        if (this->pauseOf(node.address, now) == nullptr)
            usable.push_back(node);
    }
    std::sort(usable.begin(), usable.end(), [seed](const RelayNode& left, const RelayNode& right) {
        return stableHash(left.address, seed) < stableHash(right.address, seed);
    });
    usable.resize(std::min(usable.size(), most));
    return usable;
}

std::optional<RelayChoice> RelayTable::next(const std::set<std::string>& tried)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::uint64_t seed = ++this->random;
    const RelayNode* chosen = nullptr;
    for (const RelayNode& node : this->nodes) {
        if (tried.count(node.address) > 0 || this->pauseOf(node.address, now) != nullptr)
            continue;
        if (chosen == nullptr || stableHash(node.address, seed) < stableHash(chosen->address, seed))
            chosen = &node;
    }
    if (chosen != nullptr)
        return RelayChoice { *chosen, false };
    const RelayNode* guess = this->bestGuess(tried, now);
    if (guess == nullptr)
        return std::nullopt;
    if (mayBeUnreachable(this->pauseOf(guess->address, now)->problem))
        this->lastProbeAt = now;
    return RelayChoice { *guess, true };
}

const RelayNode* RelayTable::bestGuess(const std::set<std::string>& tried, TimePoint now) const
{
    const RelayNode* best = nullptr;
    TimePoint bestUntil;
    for (const RelayNode& node : this->nodes) {
        const Pause* pause = this->pauseOf(node.address, now);
        if (pause == nullptr || tried.count(node.address) > 0 || !this->mayGuess(*pause, now))
            continue;
        if (best != nullptr && pause->until >= bestUntil)
            continue;
        best = &node;
        bestUntil = pause->until;
    }
    return best;
}

// A node that has just been found to be out of reach, or that has just said that it stops, can't help.
bool RelayTable::mayGuess(const Pause& pause, TimePoint now) const
{
    if (!mayBeUnreachable(pause.problem))
        return true;
    bool recentProbe = this->lastProbeAt && now - *this->lastProbeAt < failurePause;
    return !recentProbe && now - pause.learnedAt >= failurePause;
}

std::optional<RelayKnowledge> RelayTable::whyLeftOut() const
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    const Pause* first = nullptr;
    for (const RelayNode& node : this->nodes) {
        const Pause* pause = this->pauseOf(node.address, now);
        if (pause != nullptr && (first == nullptr || pause->until < first->until))
            first = pause;
    }
    if (first == nullptr)
        return std::nullopt;
    return RelayKnowledge { first->problem, now - first->learnedAt };
}

// Returns nullptr if the node is not left out.
const RelayTable::Pause* RelayTable::pauseOf(const std::string& address, TimePoint now) const
{
    auto found = this->pauses.find(address);
    return found != this->pauses.end() && now < found->second.until ? &found->second : nullptr;
}

bool RelayTable::empty() const
{
    std::lock_guard lock(this->mutex);
    return this->nodes.empty();
}

void RelayTable::failed(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    auto found = this->pauses.find(address);
    if (found == this->pauses.end()) {
        this->pauses[address] = { RelayProblem::Failed, now, now + failurePause };
        return;
    }
    Pause& before = found->second;
    if (before.problem == RelayProblem::Gone)
        return; // a node that has stopped can't be reached
    bool repeated = before.problem == RelayProblem::Failed && now - before.until < repeatedFailureWindow;
    if (!repeated)
        before = { RelayProblem::Failed, now, now + failurePause };
    else if (now >= before.until || now - before.learnedAt >= failurePause) // else another call has just found out
        before = { RelayProblem::Failed, now, now + repeatedFailurePause };
}

void RelayTable::declined(const std::string& address, const RelayDecline& decline)
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->pauses[address] = { problemOf(decline.reason), now, endOfDecline(decline, now) };
}

void RelayTable::answered(const std::string& address, TimePoint sentAt)
{
    std::lock_guard lock(this->mutex);
    auto found = this->pauses.find(address);
    if (found == this->pauses.end() || found->second.learnedAt > sentAt)
        return;
    if (found->second.problem == RelayProblem::Failed) // its end still tells whether it fails again soon
        found->second.until = std::min(found->second.until, this->clock.now());
    else
        this->pauses.erase(found);
}

} // namespace lovagecross
