#pragma once

// Runs blocking code of several threads in simulated time. One thread runs at a time, in an order that only the
// simulated times decide, so that a run repeats exactly.
//
//     SimulatedThreads threads;
//     threads.add([&] { for (;;) threads.sleep(feed.step()); });
//     threads.add([&] { for (;;) threads.sleep(follower.step(publishers)); });
//     threads.runUntil(std::chrono::seconds(40));
//     threads.end();
//
// Code under test reads the time from `clock()`; a fake of whatever it waits for calls `sleep`. A thread ends by
// returning, or by an exception that `sleep` throws when the run is over, so the code must not catch everything.
//
// Thread safety: `sleep` may be called on the added threads only, the other members on the thread that runs the test.

#include "lovagecross/base/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lovagecross::testing {

class SimulatedThreads {
public:
    SimulatedThreads() = default;
    ~SimulatedThreads();
    SimulatedThreads(const SimulatedThreads&) = delete;
    SimulatedThreads& operator=(const SimulatedThreads&) = delete;

    const Clock& clock() const { return this->time; }
    Duration elapsed() const { return this->time.now() - TimePoint(); }

    void add(std::function<void()> body);

    // Lets the other threads run for `pause` of simulated time.
    void sleep(Duration pause);

    // Runs all threads up to the time `end` since the start.
    void runUntil(Duration end);

    // Ends all threads. The destructor does so too.
    void end();

private:
    struct Task {
        std::thread thread;
        std::condition_variable wake;
        TimePoint wakeAt;
        bool running = false;
        bool finished = false;
    };
    struct RunOver { };

    void run(Task& task, const std::function<void()>& body);
    void resume(Task& task, std::unique_lock<std::mutex>& lock);
    Task* nextTask();

    ManualClock time;
    std::mutex mutex;
    std::condition_variable returned; // a task has given control back
    bool over = false;
    Task* current = nullptr;
    std::vector<std::unique_ptr<Task>> tasks;
};

} // namespace lovagecross::testing
