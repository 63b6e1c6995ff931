#pragma once

// Starts and ends processes for tests: stand-ins and daemons on loopback addresses.
//
//     ProcessHarness harness("/tmp/some-test");
//     ChildProcess& platform = harness.start("platform", programPath("standin-platform"), {});
//     CPPUNIT_ASSERT(platform.waitForReady(std::chrono::seconds(10)));
//     httpRequest("GET", "http://" + platform.readyAddress() + "/vms");
//     platform.kill();
//
// Every process that the harness started is killed and reaped in its destructor; no other process is touched.
//
// Thread safety: none; one thread uses a harness. Free functions may be called from any thread.

#include "lovagecross/base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace lovagecross::testing {

// How a process ended: by exit with `exitCode`, or by `signal`.
struct ProcessEnd {
    int exitCode = 0;
    int signal = 0; // 0: it exited
};

class ChildProcess {
public:
    // Starts `program`. Its standard output and error go to `outputFile`, which is truncated. Throws
    // std::runtime_error when the file or the process can't be created. When this happens on the main thread, the
    // kernel kills the child if the test process dies.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, std::string outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits for the line `ready IP:port`. False at the timeout or when the process ends first.
    bool waitForReady(Duration timeout);
    const std::string& readyAddress() const { return this->address; } // empty before waitForReady was true

    // Ends the process with SIGKILL and reaps it. Returns when it is gone.
    void kill();
    void terminate(); // SIGTERM
    void hangUp(); // SIGHUP
    void pause(); // SIGSTOP; returns when the process has stopped
    void resume(); // SIGCONT

    // Empty when the process still runs at the timeout.
    std::optional<ProcessEnd> waitForExit(Duration timeout);
    bool running();

    pid_t processId() const { return this->process; }
    const std::string& outputFile() const { return this->output; }
    std::string outputText() const; // everything written so far

private:
    void sendSignal(int signal);
    void reap(bool wait);

    std::string output;
    std::string address;
    pid_t process = -1;
    std::optional<ProcessEnd> end; // set once the process is reaped; its id may belong to another process then
};

class ProcessHarness {
public:
    // Output files go to `directory`, which is created. Throws std::runtime_error when it can't be.
    explicit ProcessHarness(std::string directory);
    ~ProcessHarness();
    ProcessHarness(const ProcessHarness&) = delete;
    ProcessHarness& operator=(const ProcessHarness&) = delete;

    // `name` is the base of the output file, `directory/name.N.log` with N counting starts. The reference stays valid
    // as long as the harness.
    ChildProcess& start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    const std::string& directory() const { return this->outputDirectory; }

private:
    std::string outputDirectory;
    std::vector<std::unique_ptr<ChildProcess>> children; // destroyed in reverse order of start
    std::size_t starts = 0;
};

// The path of a program of this build: beside the running test program.
std::string programPath(std::string_view program);

// A port of 127.0.0.1 on which nothing listens. No two calls return the same port, in all test programs that run at the
// time. The ports are below the range that the kernel gives to outgoing connections.
std::uint16_t freePort();
std::string freeAddress(); // "127.0.0.1:port"

// Asks `predicate` every few milliseconds until it returns true. Returns false at the timeout.
bool waitUntil(const std::function<bool()>& predicate, Duration timeout);

} // namespace lovagecross::testing
