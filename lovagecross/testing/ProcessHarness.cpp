#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace lovagecross::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = 2ms;
constexpr std::string_view readyPrefix = "ready ";
constexpr int execFailedExitCode = 127; // as shells use it

// Ports 12000 to 31999, in blocks, so that test programs that run at the same time rarely try the same ones. The
// kernel gives ports from 32768 up to outgoing connections.
constexpr int firstPort = 12000;
constexpr int portsInBlock = 100;
constexpr int portBlocks = 200;

int openOutput(const std::string& file)
{
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
    if (descriptor < 0)
        throw std::runtime_error("cannot open " + file + ": " + std::strerror(errno));
    return descriptor;
}

// Runs in the child between fork and exec: only async-signal-safe calls.
[[noreturn]] void executeProgram(int outputDescriptor, bool dieWithParent, pid_t parent, char* const* arguments)
{
    if (dieWithParent) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(execFailedExitCode);
    }
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    ::dup2(outputDescriptor, STDOUT_FILENO);
    ::dup2(outputDescriptor, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments);
    ::_exit(execFailedExitCode);
}

// Returns false if the port is in use or another test program has reserved it. A bound UDP port of the same number is
// the reservation, which lasts until this process ends.
bool reserve(std::uint16_t port, std::vector<Poco::Net::DatagramSocket>& reservations)
{
    try {
        Poco::Net::SocketAddress address("127.0.0.1", port);
        Poco::Net::DatagramSocket reservation(address, false);
        Poco::Net::ServerSocket probe;
        probe.bind(address, false);
        reservations.push_back(reservation);
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace

ChildProcess::ChildProcess(
    const std::string& program, const std::vector<std::string>& arguments, std::string outputFile)
    : output(std::move(outputFile))
{
    std::vector<std::string> texts { program };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);

    const int descriptor = openOutput(this->output);
    const pid_t parent = ::getpid();
    // The kernel's signal at the parent's death is sent at the death of the thread that forked.
    const bool onMainThread = ::gettid() == parent;
    this->process = ::fork();
    if (this->process == 0)
        executeProgram(descriptor, onMainThread, parent, pointers.data());
    const int forkError = errno;
    ::close(descriptor);
    if (this->process < 0)
        throw std::runtime_error("cannot start " + program + ": " + std::strerror(forkError));
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

bool ChildProcess::waitForReady(Duration timeout)
{
    const auto findAddress = [this] {
        std::istringstream lines(this->outputText());
        std::string line;
        while (std::getline(lines, line)) {
            // A line without its end may be incomplete.
            if (line.starts_with(readyPrefix) && !lines.eof())
                this->address = line.substr(readyPrefix.size());
        }
        return !this->address.empty();
    };
    waitUntil([&] { return findAddress() || !this->running(); }, timeout);
    return findAddress() && this->running();
}

void ChildProcess::kill()
{
    this->sendSignal(SIGKILL);
    this->reap(true);
}

void ChildProcess::terminate()
{
    this->sendSignal(SIGTERM);
}

void ChildProcess::hangUp()
{
    this->sendSignal(SIGHUP);
}

void ChildProcess::pause()
{
    this->sendSignal(SIGSTOP);
    if (this->end)
        return;
    siginfo_t information {};
    ::waitid(P_PID, static_cast<id_t>(this->process), &information, WSTOPPED | WEXITED | WNOWAIT);
}

void ChildProcess::resume()
{
    this->sendSignal(SIGCONT);
}

std::optional<ProcessEnd> ChildProcess::waitForExit(Duration timeout)
{
    waitUntil([this] { return !this->running(); }, timeout);
    return this->end;
}

bool ChildProcess::running()
{
    this->reap(false);
    return !this->end;
}

std::string ChildProcess::outputText() const
{
    const std::ifstream file(this->output, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void ChildProcess::sendSignal(int signal)
{
    if (this->running())
        ::kill(this->process, signal);
}

void ChildProcess::reap(bool wait)
{
    if (this->end)
        return;
    int status = 0;
    pid_t reaped = 0;
    do {
        reaped = ::waitpid(this->process, &status, wait ? 0 : WNOHANG);
    } while (reaped < 0 && errno == EINTR);
    if (reaped == 0)
        return;
    this->end = ProcessEnd {};
    if (reaped > 0 && WIFSIGNALED(status))
        this->end->signal = WTERMSIG(status);
    else if (reaped > 0)
        this->end->exitCode = WEXITSTATUS(status);
}

ProcessHarness::ProcessHarness(std::string directory)
    : outputDirectory(std::move(directory))
{
    std::error_code error;
    std::filesystem::create_directories(this->outputDirectory, error);
    if (error)
        throw std::runtime_error("cannot create " + this->outputDirectory + ": " + error.message());
}

ProcessHarness::~ProcessHarness()
{
    while (!this->children.empty())
        this->children.pop_back();
}

ChildProcess& ProcessHarness::start(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    ++this->starts;
    const std::string file = this->outputDirectory + "/" + name + "." + std::to_string(this->starts) + ".log";
    return *this->children.emplace_back(std::make_unique<ChildProcess>(program, arguments, file));
}

std::string programPath(std::string_view program)
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
}

std::uint16_t freePort()
{
    static std::mutex mutex;
    static std::vector<Poco::Net::DatagramSocket> reservations;
    static int next = firstPort + (::getpid() % portBlocks) * portsInBlock;
    const std::lock_guard lock(mutex);
    for (int tried = 0; tried < portBlocks * portsInBlock; ++tried) {
        const auto port = static_cast<std::uint16_t>(next);
        next = next + 1 < firstPort + portBlocks * portsInBlock ? next + 1 : firstPort;
        if (reserve(port, reservations))
            return port;
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

bool waitUntil(const std::function<bool()>& predicate, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!predicate()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return predicate();
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace lovagecross::testing
