#include "lovagecross/adapters/WorkerPool.h"

#include "lovagecross/adapters/GuardedStep.h"

#include <system_error>

namespace lovagecross::detail {

WorkerPool::WorkerPool(std::size_t maxThreads, std::size_t maxQueued)
    : maxThreads(maxThreads)
    , maxQueued(maxQueued)
{
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

bool WorkerPool::post(std::function<void()> task)
{
    std::lock_guard lock(this->mutex);
    if (this->stopping)
        return false;
    bool threadIdle = this->idleThreads > this->tasks.size();
    bool canGrow = this->threads.size() < this->maxThreads;
    if (!threadIdle && !canGrow && this->tasks.size() >= this->maxQueued)
        return false;
    if (!threadIdle && canGrow && !this->addThread() && this->threads.empty())
        return false;
    this->tasks.push_back(std::move(task));
    this->wake.notify_one();
    return true;
}

bool WorkerPool::addThread()
{
    try {
        this->threads.emplace_back([this] { this->run(); });
    } catch (const std::system_error&) { // the operating system could not create another thread
        return false;
    }
    ++this->idleThreads;
    return true;
}

void WorkerPool::run()
{
    std::unique_lock lock(this->mutex);
    for (;;) {
        this->wake.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        if (this->stopping)
            return;
        std::function<void()> task = std::move(this->tasks.front());
        this->tasks.pop_front();
        --this->idleThreads;
        lock.unlock();
        runGuarded("peer_worker", task);
        task = nullptr;
        lock.lock();
        ++this->idleThreads;
    }
}

void WorkerPool::stop()
{
    std::vector<std::thread> ended;
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->tasks.clear();
        ended.swap(this->threads);
    }
    this->wake.notify_all();
    for (std::thread& thread : ended)
        thread.join();
}

} // namespace lovagecross::detail
