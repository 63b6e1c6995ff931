#include "lovagecross/soak/MemoryCrowd.h"

#include "lovagecross/http/BodyDecoder.h"

#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t keptAnswerBytes = 256; // enough for the status line
constexpr int unreadBufferBytes = 4 * 1024; // of a caller that does not read
constexpr auto settleTime = std::chrono::milliseconds(1500); // without a byte sent or received
constexpr auto maxTime = std::chrono::seconds(40);
constexpr auto idleWait = std::chrono::milliseconds(2);
constexpr auto sampleInterval = std::chrono::milliseconds(10);
constexpr const char* listenState = "0A"; // in /proc/net/tcp

// The value of a line such as "VmHWM:   1234 kB" in bytes, or 0.
std::size_t statusBytes(pid_t process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.compare(0, name.size() + 1, name + ':') == 0)
            return std::stoul(line.substr(name.size() + 1)) * 1024;
    }
    return 0;
}

} // namespace

MemoryWatch::MemoryWatch(pid_t watchedProcess, const std::string& address)
    : process(watchedProcess)
{
    std::array<char, 8> digits {};
    std::snprintf(digits.data(), digits.size(), ":%04X", Poco::Net::SocketAddress(address).port());
    this->portDigits = digits.data();
    this->sample();
}

std::size_t MemoryWatch::unreadBytes() const
{
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::size_t bytes = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues;
        fields >> number >> local >> remote >> state >> queues;
        if (state == listenState || local.size() < 5 || local.substr(local.size() - 5) != this->portDigits)
            continue;
        std::size_t colon = queues.find(':');
        bytes += std::stoul(queues.substr(0, colon), nullptr, 16) + std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return bytes;
}

void MemoryWatch::sample()
{
    std::size_t unread = this->unreadBytes();
    this->peakUnread = std::max(this->peakUnread, unread);
    this->peakBytes = std::max(
        { this->peakBytes, statusBytes(this->process, "VmRSS") + unread, statusBytes(this->process, "VmHWM") });
    std::error_code gone;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->process) + "/fd", gone);
    if (!gone)
        this->peakDescriptors
            = std::max(this->peakDescriptors, static_cast<std::size_t>(std::distance(begin(entries), end(entries))));
}

void Crowd::add(std::string id, std::string head, std::string_view body, std::size_t bodyBytes, std::string end)
{
    Caller caller;
    caller.id = std::move(id);
    caller.head = std::move(head);
    caller.parts = { {}, body.substr(0, bodyBytes), {} };
    caller.end = std::move(end);
    this->callers.push_back(std::move(caller));
}

// Returns whether a byte was sent.
bool Crowd::sendPiece(Caller& caller) const
{
    auto part = std::find_if(caller.parts.begin(), caller.parts.end(), [](auto bytes) { return !bytes.empty(); });
    if (caller.closed || part == caller.parts.end())
        return false;
    ssize_t count = ::send(caller.socket.impl()->sockfd(), part->data(), std::min(part->size(), this->pieceSize),
        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0)
        part->remove_prefix(static_cast<std::size_t>(count));
    else if (errno != EAGAIN && errno != EWOULDBLOCK)
        caller.closed = true;
    return count > 0;
}

// Returns whether a byte arrived.
bool Crowd::receive(Caller& caller)
{
    std::array<char, 4096> bytes {};
    ssize_t count = ::recv(caller.socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0 && caller.answer.size() < keptAnswerBytes)
        caller.answer.append(bytes.data(), static_cast<std::size_t>(count));
    return count > 0;
}

void Crowd::run(const std::string& address, MemoryWatch& watch)
{
    for (Caller& caller : this->callers) {
        caller.parts.front() = caller.head;
        caller.parts.back() = caller.end;
        if (this->reads == CrowdReads::Nothing) {
            caller.socket = Poco::Net::StreamSocket(Poco::Net::SocketAddress::IPv4);
            caller.socket.setReceiveBufferSize(unreadBufferBytes);
        }
        caller.socket.connect(Poco::Net::SocketAddress(address));
        caller.socket.setNoDelay(true);
    }
    auto start = std::chrono::steady_clock::now();
    auto lastMove = start;
    auto nextSample = start;
    for (auto now = start; now < lastMove + settleTime && now < start + maxTime;
         now = std::chrono::steady_clock::now()) {
        bool moved = false;
        for (Caller& caller : this->callers) {
            bool received = this->reads == CrowdReads::Answers && receive(caller);
            bool sent = this->sendPiece(caller);
            moved = moved || received || sent;
        }
        if (moved)
            lastMove = now;
        else
            std::this_thread::sleep_for(idleWait);
        if (now >= nextSample) {
            watch.sample();
            nextSample = std::chrono::steady_clock::now() + sampleInterval;
        }
    }
}

std::map<std::string, int> Crowd::answers() const
{
    std::map<std::string, int> statuses;
    for (const Caller& caller : this->callers) {
        std::size_t space = caller.answer.find(' ');
        if (space != std::string::npos)
            statuses[caller.id] = std::atoi(caller.answer.c_str() + space);
    }
    return statuses;
}

std::string Crowd::describeAnswers() const
{
    std::map<int, int> counts;
    for (const auto& [id, status] : this->answers())
        ++counts[status];
    std::string text;
    for (const auto& [status, count] : counts)
        text += (text.empty() ? "" : ", ") + std::to_string(status) + ": " + std::to_string(count);
    return text.empty() ? "none" : text;
}

std::string chunkedBody(std::size_t size, std::size_t chunkSize)
{
    std::string chunk = printChunk(std::string(chunkSize, 'x'));
    std::string bytes;
    bytes.reserve(size / chunkSize * chunk.size());
    for (std::size_t i = 0; i < size / chunkSize; ++i)
        bytes += chunk;
    return bytes;
}

void checkEndured(const MemoryWatch& watch, const Crowd& crowd, bool alive, bool served, const MemoryBounds& bounds)
{
    std::cerr << " [peak " << watch.peakBytes / megabyte << " MB, of these unread " << watch.peakUnread / megabyte
              << " MB at most; " << watch.peakDescriptors << " descriptors; " << (alive ? "alive" : "ended") << ", "
              << (served ? "served" : "not served") << "; answers " << crowd.describeAnswers() << "] ";
    CPPUNIT_ASSERT_MESSAGE("the process has ended", alive);
    CPPUNIT_ASSERT_MESSAGE("an ordinary request is not answered", served);
    CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(watch.peakBytes) + " bytes", watch.peakBytes < bounds.bytes);
    CPPUNIT_ASSERT(watch.peakDescriptors < bounds.descriptors);
}

} // namespace lovagecross::soak
