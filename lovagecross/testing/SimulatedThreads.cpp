#include "lovagecross/testing/SimulatedThreads.h"

#include <algorithm>
#include <utility>

namespace lovagecross::testing {

SimulatedThreads::~SimulatedThreads()
{
    this->end();
}

void SimulatedThreads::end()
{
    std::unique_lock lock(this->mutex);
    this->over = true;
    for (auto& task : this->tasks) {
        if (!task->finished)
            this->resume(*task, lock);
    }
    lock.unlock();
    for (auto& task : this->tasks)
        task->thread.join();
    this->tasks.clear();
}

void SimulatedThreads::add(std::function<void()> body)
{
    this->tasks.push_back(std::make_unique<Task>());
    Task& task = *this->tasks.back();
    task.thread = std::thread([this, &task, body = std::move(body)] { this->run(task, body); });
}

void SimulatedThreads::run(Task& task, const std::function<void()>& body)
{
    {
        std::unique_lock lock(this->mutex);
        task.wake.wait(lock, [&task] { return task.running; });
    }
    try {
        if (!this->over)
            body();
    } catch (const RunOver&) { // thrown by `sleep`
    }
    std::lock_guard lock(this->mutex);
    task.finished = true;
    task.running = false;
    this->returned.notify_one();
}

void SimulatedThreads::sleep(Duration pause)
{
    std::unique_lock lock(this->mutex);
    Task& task = *this->current;
    task.wakeAt = this->time.now() + std::max(pause, Duration(0));
    task.running = false;
    this->returned.notify_one();
    task.wake.wait(lock, [&task] { return task.running; });
    if (this->over)
        throw RunOver();
}

void SimulatedThreads::runUntil(Duration end)
{
    TimePoint endsAt = TimePoint() + end;
    std::unique_lock lock(this->mutex);
    for (Task* task = this->nextTask(); task != nullptr && task->wakeAt <= endsAt; task = this->nextTask()) {
        if (task->wakeAt > this->time.now())
            this->time.advance(task->wakeAt - this->time.now());
        this->resume(*task, lock);
    }
    if (endsAt > this->time.now())
        this->time.advance(endsAt - this->time.now());
}

// Runs a task until it sleeps or ends.
void SimulatedThreads::resume(Task& task, std::unique_lock<std::mutex>& lock)
{
    this->current = &task;
    task.running = true;
    task.wake.notify_one();
    this->returned.wait(lock, [&task] { return !task.running; });
}

// Returns the task that wakes first, of several the one that was added first; nullptr if all have ended.
SimulatedThreads::Task* SimulatedThreads::nextTask()
{
    Task* first = nullptr;
    for (auto& task : this->tasks) {
        if (!task->finished && (first == nullptr || task->wakeAt < first->wakeAt))
            first = task.get();
    }
    return first;
}

} // namespace lovagecross::testing
