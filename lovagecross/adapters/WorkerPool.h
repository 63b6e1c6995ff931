#pragma once

// A thread pool with one bounded task queue. Internal to the adapters.
//
// Starts a new thread, up to the limit, when a task is posted and no thread is idle. An exception of a task is
// logged.
//
// Thread safety: every member may be called from any thread.

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lovagecross::detail {

class WorkerPool {
public:
    WorkerPool(std::size_t maxThreads, std::size_t maxQueued);
    ~WorkerPool();

    // Returns false, without running the task, if the queue is full or the pool has stopped.
    bool post(std::function<void()> task);

    // Discards queued tasks and waits for running ones.
    void stop();

private:
    bool addThread();
    void run();

    const std::size_t maxThreads;
    const std::size_t maxQueued;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t idleThreads = 0;
    bool stopping = false;
};

} // namespace lovagecross::detail
