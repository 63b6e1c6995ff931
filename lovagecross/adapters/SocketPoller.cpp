#include "lovagecross/adapters/SocketPoller.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace lovagecross::detail {

namespace {

constexpr std::size_t maxEventsPerWait = 64;
constexpr std::uint64_t wakeId = 0;

bool watch(int epollFd, int fd, std::uint64_t id)
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = id;
    return ::epoll_ctl(epollFd, EPOLL_CTL_ADD, fd, &event) == 0;
}

} // namespace

SocketPoller::~SocketPoller()
{
    if (this->epollFd >= 0)
        ::close(this->epollFd);
}

std::string SocketPoller::open(int wakeDescriptor)
{
    this->epollFd = ::epoll_create1(EPOLL_CLOEXEC);
    if (this->epollFd < 0 || !watch(this->epollFd, wakeDescriptor, wakeId))
        return std::string("epoll: ") + std::strerror(errno);
    return {};
}

void SocketPoller::add(const std::string& name, zmq::socket_t& socket)
{
    std::uint64_t id = this->nextId++;
    if (!watch(this->epollFd, socket.get(zmq::sockopt::fd), id))
        throw zmq::error_t();
    this->entries[id] = { name, &socket };
    this->ids[name] = id;
    this->touched.insert(id);
}

void SocketPoller::remove(const std::string& name)
{
    auto found = this->ids.find(name);
    if (found == this->ids.end())
        return;
    auto entry = this->entries.find(found->second);
    ::epoll_ctl(this->epollFd, EPOLL_CTL_DEL, entry->second.socket->get(zmq::sockopt::fd), nullptr);
    this->touched.erase(found->second);
    this->entries.erase(entry);
    this->ids.erase(found);
}

void SocketPoller::touch(const std::string& name)
{
    if (auto found = this->ids.find(name); found != this->ids.end())
        this->touched.insert(found->second);
}

std::vector<std::string> SocketPoller::wait(std::chrono::milliseconds timeout)
{
    std::vector<std::string> ready;
    std::set<std::uint64_t> used = std::exchange(this->touched, {});
    auto query = [&](std::uint64_t id) {
        auto found = this->entries.find(id);
        if (found == this->entries.end() || !this->hasMessage(found->second))
            return;
        ready.push_back(found->second.name);
        this->touched.insert(id); // the caller will receive from it
    };
    std::for_each(used.begin(), used.end(), query);
    this->wakeReadable = false;
    std::array<epoll_event, maxEventsPerWait> events {};
    int waitMillis = ready.empty() ? static_cast<int>(timeout.count()) : 0;
    int count = ::epoll_wait(this->epollFd, events.data(), static_cast<int>(events.size()), waitMillis);
    for (int i = 0; i < count; ++i) {
        std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
        this->wakeReadable = this->wakeReadable || id == wakeId;
        if (id != wakeId && this->touched.count(id) == 0)
            query(id);
    }
    return ready;
}

bool SocketPoller::hasMessage(const Entry& entry)
{
    ++this->queryCount;
    return (entry.socket->get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

} // namespace lovagecross::detail
