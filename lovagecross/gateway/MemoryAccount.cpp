#include "lovagecross/gateway/MemoryAccount.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <vector>

namespace lovagecross {

namespace {

constexpr auto roomPollInterval = std::chrono::milliseconds(10);
constexpr auto maxRoomWait = std::chrono::milliseconds(300); // while bodies give way
constexpr std::size_t receivedBytes = 16 * 1024; // received for a body and not yet decoded

} // namespace

bool MemoryAccount::growConversation(std::size_t& held, std::size_t more)
{
    std::lock_guard lock(this->mutex);
    MemoryUse before = useOfConversation(held);
    MemoryUse after = useOfConversation(held + more);
    std::size_t others = this->usedFor(after) - (before == after ? held : 0);
    if (!mayHold(others, held + more, this->shares.of(after)))
        return false;
    this->usedFor(before) -= held;
    held += more;
    this->usedFor(after) += held;
    return true;
}

void MemoryAccount::shrinkConversation(std::size_t& held, std::size_t less)
{
    std::lock_guard lock(this->mutex);
    this->usedFor(useOfConversation(held)) -= held;
    held -= less;
    this->usedFor(useOfConversation(held)) += held;
    this->freed.notify_all();
}

bool MemoryAccount::reserveStoredTurn(std::size_t bytes, TimePoint deadline, const Clock& clock)
{
    std::unique_lock lock(this->mutex);
    std::size_t& used = this->usedFor(MemoryUse::StoredTurns);
    std::size_t wanted = bytes * copiesOfStoredTurn;
    while (!mayHold(used, wanted, this->shares.of(MemoryUse::StoredTurns))) {
        if (clock.now() >= deadline)
            return false;
        this->freed.wait_for(lock, roomPollInterval);
    }
    used += wanted;
    return true;
}

void MemoryAccount::releaseStoredTurn(std::size_t bytes)
{
    std::lock_guard lock(this->mutex);
    this->usedFor(MemoryUse::StoredTurns) -= bytes * copiesOfStoredTurn;
    this->freed.notify_all();
}

std::size_t MemoryAccount::used(MemoryUse use) const
{
    std::lock_guard lock(this->mutex);
    return this->reserved.at(static_cast<std::size_t>(use));
}

// Waits for bodies that give way. Returns false if there is no room.
bool MemoryAccount::makeRoom(
    std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t wanted, const BufferReservation& growing)
{
    auto missing = [&] {
        std::size_t own = use == growing.use ? growing.held : 0;
        return missingBytes(this->usedFor(use) - own, wanted, this->shares.of(use));
    };
    // Memory of any use that is freed ends `wait_for`, so the wait is bounded by time rather than by polls.
    TimePoint waitUntil = growing.clock.now() + maxRoomWait;
    while (!growing.givesWay && growing.clock.now() < waitUntil) {
        std::size_t needed = missing();
        if (needed == 0)
            return true;
        if (this->tellBodiesToGiveWay(lock, use, needed, growing) == 0)
            return false;
        this->freed.wait_for(lock, roomPollInterval);
    }
    return !growing.givesWay && missing() == 0;
}

// Returns the number of bodies that give way now, those that were told before included.
std::size_t MemoryAccount::tellBodiesToGiveWay(
    std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t needed, const BufferReservation& growing)
{
    std::vector<BufferReservation*> others;
    std::vector<UnfinishedBody> bodies;
    std::size_t leaving = 0;
    for (BufferReservation* other : this->unfinished) {
        if (other == &growing || other->use != use)
            continue;
        others.push_back(other);
        bodies.push_back({ other->held, other->lastByteAt, other->givesWay });
        leaving += other->givesWay ? 1 : 0;
    }
    std::vector<std::size_t> chosen = bodiesThatGiveWay(bodies, needed, growing.clock.now());
    std::vector<BufferReservation*> told;
    for (std::size_t i : chosen) {
        others[i]->givesWay = true;
        told.push_back(others[i]);
    }
    if (!told.empty())
        this->wakeBodies(lock, use, needed, told);
    return leaving + told.size();
}

// Unlocks the account meanwhile: the system calls and the log line would hold up every other connection.
void MemoryAccount::wakeBodies(std::unique_lock<std::mutex>& lock, MemoryUse use, std::size_t needed,
    const std::vector<BufferReservation*>& bodies)
{
    for (BufferReservation* body : bodies)
        body->beingWoken = true; // its destructor waits
    lock.unlock();
    for (BufferReservation* body : bodies)
        body->wake();
    lock.lock();
    for (BufferReservation* body : bodies)
        body->beingWoken = false;
    this->freed.notify_all();
    lock.unlock();
    LogLine(LogLevel::Info, "bodies_give_way")
        .field("use", memoryUseNames.name(use))
        .field("bodies", bodies.size())
        .field("neededBytes", needed)
        .write();
    lock.lock();
}

// Ends the youngest of the waiting answers if they keep the oldest from ever getting its memory.
void MemoryAccount::endAnswersThatBlock()
{
    std::vector<BufferReservation*> oldestFirst;
    std::vector<WaitingAnswer> answers;
    for (const auto& [order, answer] : this->waitingAnswers) {
        oldestFirst.push_back(answer);
        answers.push_back({ answer->held, answer->wanted });
    }
    for (std::size_t i : answersThatEnd(answers, this->shares.of(MemoryUse::Answers))) {
        oldestFirst[i]->givesWay = true;
        this->waitingAnswers.erase(oldestFirst[i]->order);
    }
}

BufferReservation::BufferReservation(
    MemoryAccount& memoryAccount, const Clock& time, std::size_t announcedBytes, std::function<void()> wakeUp)
    : account(memoryAccount)
    , clock(time)
    , announced(announcedBytes)
    , isAnswer(false)
    , wake(std::move(wakeUp))
    , lastByteAt(time.now())
{
    std::lock_guard lock(this->account.mutex);
    this->account.unfinished.insert(this);
}

BufferReservation::BufferReservation(MemoryAccount& memoryAccount, const Clock& time, std::function<void()> wakeUp)
    : account(memoryAccount)
    , clock(time)
    , announced(0)
    , isAnswer(true)
    , wake(std::move(wakeUp))
    , use(MemoryUse::Answers)
    , lastByteAt(time.now())
{
    std::lock_guard lock(this->account.mutex);
    this->order = ++this->account.answersBegun;
}

BufferReservation::~BufferReservation()
{
    std::unique_lock lock(this->account.mutex);
    this->account.freed.wait(lock, [this] { return !this->beingWoken; });
    this->account.unfinished.erase(this);
    this->account.waitingAnswers.erase(this->order);
    this->setHeld(this->use, 0);
}

// The account's mutex must be held.
void BufferReservation::setHeld(MemoryUse newUse, std::size_t bytes)
{
    this->account.usedFor(this->use) -= this->held;
    this->account.usedFor(newUse) += bytes;
    if (bytes < this->held)
        this->account.freed.notify_all();
    this->use = newUse;
    this->held = bytes;
}

// An answer without a buffer blocks no other. The account's mutex must be held.
void BufferReservation::waitAsAnswer(std::size_t bytes)
{
    if (!this->isAnswer || this->held == 0 || this->givesWay)
        return;
    this->wanted = bytes;
    this->account.waitingAnswers[this->order] = this;
    this->account.endAnswersThatBlock();
}

// Reserves a buffer of `capacity` bytes beside the present one.
bool BufferReservation::reserve(std::size_t capacity)
{
    std::unique_lock lock(this->account.mutex);
    this->lastByteAt = this->clock.now();
    if (this->givesWay)
        return false;
    MemoryUse newUse = this->isAnswer ? MemoryUse::Answers : useOfBody(std::max(capacity, this->announced));
    std::size_t bytes = capacity + (this->held > 0 ? this->held : receivedBytes);
    if (!this->account.makeRoom(lock, newUse, bytes, *this)) {
        this->waitAsAnswer(bytes);
        return false;
    }
    this->account.waitingAnswers.erase(this->order);
    this->setHeld(newUse, bytes);
    return true;
}

bool BufferReservation::grow(std::string& body, std::size_t needed, std::size_t limit)
{
    if (needed <= body.capacity() && this->held > 0) {
        std::lock_guard lock(this->account.mutex);
        this->lastByteAt = this->clock.now();
        return !this->givesWay;
    }
    std::size_t capacity = nextBodyCapacity(body.empty() ? 0 : body.capacity(), needed, limit);
    if (!this->reserve(capacity))
        return false;
    std::string larger;
    larger.reserve(capacity); // exactly: `reserve` of a string that has a buffer may double it
    larger.append(body);
    body.swap(larger);
    std::string().swap(larger);
    std::lock_guard lock(this->account.mutex);
    this->setHeld(this->use, capacity + receivedBytes);
    return true;
}

void BufferReservation::startWriting()
{
    std::lock_guard lock(this->account.mutex);
    this->lastByteAt = this->clock.now();
    this->account.unfinished.insert(this);
}

bool BufferReservation::complete()
{
    std::lock_guard lock(this->account.mutex);
    if (this->givesWay)
        return false;
    this->account.unfinished.erase(this);
    return true;
}

void BufferReservation::release(std::string& body)
{
    std::string().swap(body);
    std::lock_guard lock(this->account.mutex);
    this->account.waitingAnswers.erase(this->order);
    this->setHeld(this->use, 0);
}

bool BufferReservation::mustGiveWay() const
{
    std::lock_guard lock(this->account.mutex);
    return this->givesWay;
}

} // namespace lovagecross
