#include "lovagecross/runtime/AdmissionGate.h"

#include <utility>

namespace lovagecross {

namespace {

constexpr std::chrono::milliseconds recheckInterval(50);

} // namespace

AdmissionGate::AdmissionGate(Clock& clock)
    : clock(clock)
    , queue({}, 1)
{
}

void AdmissionGate::configure(std::vector<RankPolicy> ranks, std::size_t capacity)
{
    std::lock_guard lock(this->mutex);
    this->policies = std::move(ranks);
    this->currentCapacity = capacity;
    this->queue.configure(this->policies, capacity);
    this->grantWaiting();
}

void AdmissionGate::setCapacity(std::size_t capacity)
{
    std::lock_guard lock(this->mutex);
    if (capacity == this->currentCapacity)
        return;
    this->currentCapacity = capacity;
    this->queue.configure(this->policies, capacity);
    this->grantWaiting();
}

void AdmissionGate::grantWaiting()
{
    TimePoint now = this->clock.now();
    while (auto ticket = this->queue.next(now))
        this->granted.insert(*ticket);
    for (AdmissionTicket ticket : this->queue.takeExpired())
        this->expired.insert(ticket);
    this->changed.notify_all();
}

GateResult AdmissionGate::enter(const WaitingCall& call)
{
    std::unique_lock lock(this->mutex);
    EnqueueResult queued = this->queue.enqueue(call, this->clock.now());
    if (!queued.accepted)
        return { false, 0, queued.reason, queued.retryAfter };
    this->grantWaiting();
    while (true) {
        if (this->granted.erase(queued.ticket) > 0)
            return { true, queued.ticket, {}, Duration(0) };
        if (this->expired.erase(queued.ticket) > 0)
            return { false, 0, "deadline passed while the call waited", std::chrono::seconds(1) };
        if (this->clock.now() >= call.deadline) {
            this->queue.cancel(queued.ticket);
            return { false, 0, "deadline passed while the call waited", std::chrono::seconds(1) };
        }
        this->changed.wait_for(lock, recheckInterval);
        this->grantWaiting();
    }
}

void AdmissionGate::leave(AdmissionTicket ticket, std::uint64_t servedTokens)
{
    std::lock_guard lock(this->mutex);
    this->queue.finished(ticket, servedTokens, this->clock.now());
    this->grantWaiting();
}

std::size_t AdmissionGate::running() const
{
    std::lock_guard lock(this->mutex);
    return this->queue.running();
}

std::size_t AdmissionGate::waiting() const
{
    std::lock_guard lock(this->mutex);
    return this->queue.waiting();
}

std::map<std::string, std::size_t> AdmissionGate::waitingByRank() const
{
    std::lock_guard lock(this->mutex);
    return this->queue.waitingByRank();
}

} // namespace lovagecross
