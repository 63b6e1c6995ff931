#pragma once

// A small deployment of the project's own programs on loopback addresses, for the cases of this review: HTTP helpers, a
// stand-in of the platform's object API, a stand-in of a model worker, and processes whose links can be cut.
//
// Each link between two machines runs through a proxy that knows which process opened the connection. When a link is
// cut its connections are reset, and so is each new one.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// --- Record of what was sent, answered and run

class Record {
public:
    explicit Record(const std::string& path)
        : out(path, std::ios::trunc)
        , start(SteadyClock::now())
    {
    }

    void line(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        std::array<char, 32> time {};
        std::snprintf(time.data(), time.size(), "%8.3f s  ", this->seconds());
        this->out << time.data() << text << '\n' << std::flush;
    }

    double seconds() const { return std::chrono::duration<double>(SteadyClock::now() - this->start).count(); }

private:
    std::mutex mutex;
    std::ofstream out;
    const SteadyClock::time_point start;
};

// --- Sockets

inline int listenOn(int port, int& bound)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    bound = ntohs(address.sin_port);
    return fd;
}

// Returns ports that were free a moment ago, each once. They lie below those that the system picks for connections, and
// in another range for most other runs at the same time.
inline int freePort()
{
    static std::mutex mutex;
    static std::mt19937 random { std::random_device {}() };
    static std::set<int> given;
    constexpr int rangePorts = 500;
    constexpr int ranges = 40;
    const int lowest = 12000 + ::getpid() % ranges * rangePorts;
    const int highest = lowest + rangePorts - 1;
    std::lock_guard lock(mutex);
    for (;;) {
        int port = std::uniform_int_distribution<int>(lowest, highest)(random);
        int bound = 0;
        int fd = listenOn(port, bound);
        if (fd < 0)
            continue;
        ::close(fd);
        if (given.insert(port).second)
            return port;
    }
}

inline int connectTo(int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// --- HTTP

struct Message {
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool whole = false; // the body arrived complete

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (key.size() == name.size() && std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
                    return std::tolower(a) == std::tolower(b);
                }))
                return value;
        }
        return {};
    }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string target() const
    {
        std::size_t start = this->first.find(' ') + 1;
        return this->first.substr(start, this->first.find(' ', start) - start);
    }
    int status() const { return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0; }
};

class Connection {
public:
    explicit Connection(int descriptor)
        : fd(descriptor)
    {
    }
    ~Connection()
    {
        if (this->fd >= 0)
            ::close(this->fd);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool open() const { return this->fd >= 0; }
    void resetAtClose() const
    {
        linger now { 1, 0 };
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    int descriptor() const { return this->fd; }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            ssize_t count = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // Reads the head, and the body as its framing says. Returns false if no whole head arrived in time.
    bool read(Message& message, SteadyClock::time_point deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->receive(deadline))
                return false;
        }
        std::istringstream head(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r')
            message.first.pop_back();
        while (std::getline(head, line) && line.size() > 1) {
            std::size_t colon = line.find(':');
            std::size_t start = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), line.substr(start, line.size() - start - 1));
        }
        if (message.header("Transfer-Encoding") == "chunked")
            message.whole = this->readChunks(message.body, deadline);
        else
            message.whole = this->readLength(
                message.body, std::strtoull(message.header("Content-Length").c_str(), nullptr, 10), deadline);
        return true;
    }

private:
    bool receive(SteadyClock::time_point deadline)
    {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now()).count();
        pollfd item { this->fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
            return false;
        std::array<char, 16384> bytes {};
        ssize_t count = ::recv(this->fd, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    }

    bool readLength(std::string& body, std::size_t length, SteadyClock::time_point deadline)
    {
        while (this->buffer.size() < length) {
            if (!this->receive(deadline))
                return false;
        }
        body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    bool readChunks(std::string& body, SteadyClock::time_point deadline)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->receive(deadline))
                    return false;
            }
            std::size_t size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->receive(deadline))
                    return false;
            }
            body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int fd;
    std::string buffer;
};

// Serves each connection on a thread. The handler returns false to close the connection.
class HttpServer {
public:
    using Handler = std::function<bool(const Message&, Connection&)>;

    HttpServer(int port, Handler requestHandler)
        : handler(std::move(requestHandler))
        , listener(listenOn(port, this->boundPort))
        , acceptor([this] { this->accept(); })
    {
    }
    ~HttpServer()
    {
        this->stopping = true;
        this->acceptor.join();
        ::close(this->listener);
        for (std::thread& thread : this->threads)
            thread.join();
    }
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    int port() const { return this->boundPort; }

private:
    void accept()
    {
        while (!this->stopping) {
            pollfd item { this->listener, POLLIN, 0 };
            if (::poll(&item, 1, 50) <= 0)
                continue;
            int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                this->threads.emplace_back([this, fd] { this->serve(fd); });
        }
    }

    void serve(int fd)
    {
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Connection connection(fd);
        while (!this->stopping) {
            pollfd item { fd, POLLIN, 0 };
            if (::poll(&item, 1, 50) <= 0)
                continue;
            Message request;
            if (!connection.read(request, SteadyClock::now() + std::chrono::seconds(5)) || !request.whole)
                return;
            if (!this->handler(request, connection))
                return;
        }
    }

    int boundPort = 0;
    Handler handler;
    int listener;
    std::atomic<bool> stopping { false };
    std::vector<std::thread> threads;
    std::thread acceptor;
};

inline std::string response(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

// --- JSON, as far as the stand-in of the platform needs it

// Returns the text of a member of the object `json`, or an empty text.
inline std::string memberOf(std::string_view json, std::string_view key)
{
    std::size_t at = json.find('{');
    while (at != std::string_view::npos && at + 1 < json.size()) {
        std::size_t start = json.find('"', at);
        if (start == std::string_view::npos)
            return {};
        std::size_t end = json.find('"', start + 1);
        std::size_t value = json.find(':', end) + 1;
        int depth = 0;
        bool text = false;
        std::size_t i = value;
        for (; i < json.size(); ++i) {
            char c = json[i];
            if (text) {
                i += c == '\\' ? 1 : 0;
                text = c != '"';
                continue;
            }
            text = c == '"';
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
            if (depth < 0 || (depth == 0 && c == ','))
                break;
        }
        if (json.substr(start + 1, end - start - 1) == key) {
            std::string_view found = json.substr(value, i - value);
            found.remove_prefix(std::min(found.find_first_not_of(" \n"), found.size()));
            return std::string(found);
        }
        at = i < json.size() && json[i] == ',' ? i : std::string_view::npos;
    }
    return {};
}

inline std::string unquoted(const std::string& text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

// --- Platform

// The platform's object API. Linearizable, and never away.
class Platform {
public:
    Platform()
        : server(0,
            [this](const Message& request, Connection& connection) { return connection.send(this->answer(request)); })
    {
    }
    ~Platform()
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }

    int port() const { return this->server.port(); }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(this->mutex);
        this->store(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(this->mutex);
        this->erase(kind, name);
    }

    std::string spec(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->kinds[kind].find(name);
        return found == this->kinds[kind].end() ? std::string() : found->second.spec;
    }

    std::string status(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->kinds[kind].find(name);
        return found == this->kinds[kind].end() ? std::string() : found->second.status;
    }

private:
    static constexpr std::size_t valueBytes = 1'048'576; // the most that an object may have

    struct Object {
        std::string spec;
        std::string status = "null";
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string print(const std::string& name, const Object& object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":" + std::to_string(object.created)
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":" + object.status + '}';
    }

    void note(const std::string& kind, const std::string& name, Object& object, bool deleted)
    {
        object.revision = ++this->revision;
        object.created = object.created == 0 ? object.revision : object.created;
        this->events.push_back({ object.revision, kind,
            std::string("{\"deleted\":") + (deleted ? "true" : "false") + ",\"object\":" + print(name, object) + '}' });
        this->changed.notify_all();
    }

    void store(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = this->kinds[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return;
        object.spec = spec;
        this->note(kind, name, object, false);
    }

    void erase(const std::string& kind, const std::string& name)
    {
        auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return;
        this->note(kind, name, found->second, true);
        this->kinds[kind].erase(found);
    }

    static std::string queryOf(const std::string& target, const std::string& key)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            std::size_t end = target.find('&', at + 1);
            std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(key + '=', 0) == 0)
                return pair.substr(key.size() + 1);
            at = end;
        }
        return {};
    }

    std::string answer(const Message& request)
    {
        std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        constexpr std::string_view root = "/api/objects/";
        if (path.rfind(root, 0) != 0)
            return response(404, "{}");
        std::string rest = path.substr(root.size());
        std::size_t slash = rest.find('/');
        std::string kind = rest.substr(0, slash);
        if (memberOf(request.body, "spec").size() > valueBytes)
            return response(413, "{}");
        if (slash == std::string::npos)
            return request.method() == "POST" ? this->create(kind, request.body) : this->list(kind, target);
        return this->object(request, kind, rest.substr(slash + 1), target);
    }

    std::string create(const std::string& kind, const std::string& body)
    {
        std::lock_guard lock(this->mutex);
        std::string name = unquoted(memberOf(memberOf(body, "metadata"), "name"));
        bool exists = this->kinds[kind].count(name) > 0;
        if (!exists)
            this->store(kind, name, memberOf(body, "spec"));
        return response(exists ? 409 : 201, print(name, this->kinds[kind][name]));
    }

    std::string list(const std::string& kind, const std::string& target)
    {
        std::unique_lock lock(this->mutex);
        std::string watch = queryOf(target, "watch");
        std::string items;
        if (watch.empty()) {
            std::string after = queryOf(target, "after");
            for (const auto& [name, object] : this->kinds[kind]) {
                if (name > after)
                    items += (items.empty() ? "" : ",") + print(name, object);
            }
            return response(
                200, "{\"items\":[" + items + "],\"has_more\":false,\"at\":" + std::to_string(this->revision) + '}');
        }
        std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
        auto isNews = [&](const Event& event) { return event.revision > since && event.kind == kind; };
        this->changed.wait_for(lock, milliseconds(std::strtoull(queryOf(target, "wait_ms").c_str(), nullptr, 10)),
            [&] { return this->stopping || std::any_of(this->events.begin(), this->events.end(), isNews); });
        for (const Event& event : this->events) {
            if (isNews(event))
                items += (items.empty() ? "" : ",") + event.text;
        }
        return response(200, "{\"events\":[" + items + "],\"at\":" + std::to_string(this->revision) + '}');
    }

    std::string object(const Message& request, const std::string& kind, std::string name, const std::string& target)
    {
        std::lock_guard lock(this->mutex);
        bool status = name.size() > 7 && name.substr(name.size() - 7) == "/status";
        if (status)
            name.resize(name.size() - 7);
        auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return response(404, "{}");
        std::string expected = memberOf(memberOf(request.body, "metadata"), "revision");
        if (request.method() == "DELETE")
            expected = queryOf(target, "revision");
        if (request.method() != "GET" && !expected.empty() && expected != std::to_string(found->second.revision))
            return response(409, print(name, found->second));
        if (request.method() == "PUT" && status) {
            found->second.status = memberOf(request.body, "status");
            this->note(kind, name, found->second, false);
        } else if (request.method() == "PUT") {
            this->store(kind, name, memberOf(request.body, "spec"));
        } else if (request.method() == "DELETE") {
            this->erase(kind, name);
            return response(200, "{}");
        }
        return response(200, print(name, found->second));
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
    std::uint64_t revision = 0;
    bool stopping = false;
    HttpServer server; // ends first
};

// --- Links

// Which process has the connection whose local port is `port` and whose peer is at `peerPort`. Returns 0 if none of the
// candidates has it.
inline pid_t ownerOf(int port, int peerPort, const std::vector<pid_t>& candidates)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::string inode;
    std::array<char, 64> wanted {};
    std::snprintf(wanted.data(), wanted.size(), "0100007F:%04X 0100007F:%04X ", port, peerPort);
    while (std::getline(table, line)) {
        if (line.find(wanted.data()) == std::string::npos)
            continue;
        std::istringstream fields(line);
        for (int i = 0; i < 10; ++i)
            fields >> inode;
    }
    if (inode.empty())
        return 0;
    std::string link = "socket:[" + inode + ']';
    for (pid_t pid : candidates) {
        std::error_code error;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error)) {
            if (std::filesystem::read_symlink(entry.path(), error).string() == link)
                return pid;
        }
    }
    return 0;
}

class Machines;

// Carries the connections to one address of a machine.
class LinkProxy {
public:
    LinkProxy(int publicPort, int targetPort, std::string zoneName, Machines& allMachines);
    ~LinkProxy();
    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;

private:
    void accept();
    void carry(int client);

    const int target;
    const std::string zone;
    Machines& machines;
    int boundPort = 0;
    int listener;
    std::atomic<bool> stopping { false };
    std::vector<std::thread> threads;
    std::thread acceptor;
};

struct Machine {
    std::string name;
    std::string zone;
    std::string link; // the zone, or a name of its own for a machine that is cut off alone
    std::string folder;
    std::string settings; // as rendered
    int callerPort = 0;
    int readyPort = 0;
    int peerPort = 0; // as other machines know it
    pid_t pid = 0;
};

// The project's processes, and the zones that are partitioned from all others.
class Machines {
public:
    Machines(Record& caseRecord, std::string temporaryFolder, std::string daemonPath)
        : record(caseRecord)
        , folder(std::move(temporaryFolder))
        , daemon(std::move(daemonPath))
    {
    }
    ~Machines()
    {
        for (auto& [name, machine] : this->all)
            this->end(machine, SIGKILL);
    }

    // Adds an entry node, not yet started.
    Machine& addEntry(const std::string& name, const std::string& zone)
    {
        Machine& machine = this->add(name, zone);
        machine.callerPort = freePort();
        machine.readyPort = freePort();
        return machine;
    }

    // With a `link` of its own, the machine can be cut off alone.
    Machine& addRecords(const std::string& name, const std::string& zone, const std::string& link = {})
    {
        Machine& machine = this->add(name, zone);
        machine.link = link.empty() ? zone : link;
        std::filesystem::create_directories(machine.folder + "/data");
        return machine;
    }

    Machine& get(const std::string& name) { return this->all.at(name); }

    // Starts a machine's process with settings as the templates of the deploy file render them.
    void start(Machine& machine, bool firstStart)
    {
        bool entry = machine.callerPort != 0;
        int ownPort = freePort();
        std::ostringstream text;
        text << "{ \"mode\": \"" << (entry ? "entry" : "records") << "\", \"node\": \"" << machine.name
             << "\", \"dataCentre\": \"" << machine.zone << "\", \"peerAddress\": \"" << addressOf(ownPort)
             << "\", \"advertisedAddress\": \"" << addressOf(machine.peerPort) << "\", \"platformAddress\": \""
             << addressOf(this->platformPort) << "\", \"seeds\": [" << this->seeds << "], \"memoryMegabytes\": 130";
        if (entry)
            text << ", \"callerAddress\": \"" << addressOf(machine.callerPort) << "\", \"readyAddress\": \""
                 << addressOf(machine.readyPort) << "\", \"readyPath\": \"/api/readiness\"";
        else
            text << ", \"dataFolder\": \"" << machine.folder << "/data\", \"diskMegabytes\": 360";
        text << ", \"firstStart\": " << (firstStart ? "true" : "false")
             << ", \"lossMachines\": 1, \"lossDataCentres\": 1, \"graceMillis\": 8000, \"configurationMillis\": 2000,"
             << " \"serverDrainMillis\": 2000 }\n";
        std::string path = machine.folder + "/settings.conf";
        std::ofstream(path) << text.str();
        std::lock_guard lock(this->mutex);
        this->proxies[machine.name].reset();
        this->proxies[machine.name] = std::make_unique<LinkProxy>(machine.peerPort, ownPort, machine.link, *this);
        machine.pid = ::fork();
        if (machine.pid == 0) {
            int log = ::open((machine.folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl(this->daemon.c_str(), this->daemon.c_str(), "--config", path.c_str(), nullptr);
            ::_exit(127);
        }
        this->record.line("machine " + machine.name + " (" + machine.zone + ") starts");
    }

    void kill(Machine& machine, const char* why)
    {
        this->record.line("machine " + machine.name + " gets SIGKILL: " + why);
        this->end(machine, SIGKILL);
    }

    static void loseDisk(const Machine& machine)
    {
        std::filesystem::remove_all(machine.folder + "/data");
        std::filesystem::create_directories(machine.folder + "/data");
    }

    // `zone` may also be the link of one machine.
    void cutZone(const std::string& zone)
    {
        this->record.line(zone + " is partitioned from all others");
        std::lock_guard lock(this->cutMutex);
        this->cut.insert(zone);
    }

    void healZone(const std::string& zone)
    {
        this->record.line(zone + " is reachable again");
        std::lock_guard lock(this->cutMutex);
        this->cut.erase(zone);
    }

    bool isCut(const std::string& one, const std::string& other) const
    {
        std::lock_guard lock(this->cutMutex);
        return one != other && (this->cut.count(one) > 0 || this->cut.count(other) > 0);
    }

    // The zone, or link, of the process that opened a connection, or an empty text.
    std::string zoneOfClient(int clientPort, int proxyPort) const
    {
        std::vector<pid_t> pids;
        std::map<pid_t, std::string> zones;
        for (const auto& [name, machine] : this->all) {
            if (machine.pid > 0) {
                pids.push_back(machine.pid);
                zones[machine.pid] = machine.link;
            }
        }
        pid_t owner = ownerOf(clientPort, proxyPort, pids);
        return owner == 0 ? std::string() : zones[owner];
    }

    int platformPort = 0;
    std::string seeds; // as a list in JSON, without brackets

private:
    Machine& add(const std::string& name, const std::string& zone)
    {
        Machine& machine = this->all[name];
        machine.name = name;
        machine.zone = zone;
        machine.link = zone;
        machine.folder = this->folder + '/' + name;
        machine.peerPort = freePort();
        std::filesystem::create_directories(machine.folder);
        return machine;
    }

    void end(Machine& machine, int number)
    {
        if (machine.pid > 0) {
            ::kill(machine.pid, number);
            ::waitpid(machine.pid, nullptr, 0);
            machine.pid = 0;
        }
        std::lock_guard lock(this->mutex);
        this->proxies[machine.name].reset();
    }

    Record& record;
    const std::string folder;
    const std::string daemon;
    std::mutex mutex;
    mutable std::mutex cutMutex;
    std::set<std::string> cut;
    std::map<std::string, Machine> all; // complete before the first start
    std::map<std::string, std::unique_ptr<LinkProxy>> proxies;
};

inline LinkProxy::LinkProxy(int publicPort, int targetPort, std::string zoneName, Machines& allMachines)
    : target(targetPort)
    , zone(std::move(zoneName))
    , machines(allMachines)
    , listener(listenOn(publicPort, this->boundPort))
    , acceptor([this] { this->accept(); })
{
}

inline LinkProxy::~LinkProxy()
{
    this->stopping = true;
    this->acceptor.join();
    ::close(this->listener);
    for (std::thread& thread : this->threads)
        thread.join();
}

inline void LinkProxy::accept()
{
    while (!this->stopping) {
        pollfd item { this->listener, POLLIN, 0 };
        if (::poll(&item, 1, 20) <= 0)
            continue;
        int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0)
            this->threads.emplace_back([this, client] { this->carry(client); });
    }
}

inline void LinkProxy::carry(int client)
{
    Connection from(client);
    sockaddr_in peer {};
    socklen_t size = sizeof(peer);
    ::getpeername(client, reinterpret_cast<sockaddr*>(&peer), &size);
    std::string source = this->machines.zoneOfClient(ntohs(peer.sin_port), this->boundPort);
    auto isCut = [&] { return !source.empty() && this->machines.isCut(source, this->zone); };
    if (isCut()) {
        from.resetAtClose();
        return;
    }
    Connection to(connectTo(this->target));
    if (!to.open())
        return;
    std::array<char, 65536> bytes {};
    while (!this->stopping) {
        std::array<pollfd, 2> items { { { from.descriptor(), POLLIN, 0 }, { to.descriptor(), POLLIN, 0 } } };
        int ready = ::poll(items.data(), items.size(), 10);
        if (isCut()) {
            from.resetAtClose();
            to.resetAtClose();
            return;
        }
        for (int i = 0; ready > 0 && i < 2; ++i) {
            if (items[i].revents == 0)
                continue;
            ssize_t count = ::recv(items[i].fd, bytes.data(), bytes.size(), 0);
            if (count <= 0 || !(i == 0 ? to : from).send({ bytes.data(), static_cast<std::size_t>(count) }))
                return;
        }
    }
}

// --- Workers

// A model worker: answers each request with a signed stream of events. Each connection to it runs through a proxy.
class Worker {
public:
    Worker(std::string workerId, std::string zoneName, Platform& objectStore, Machines& machines, Record& caseRecord)
        : id(std::move(workerId))
        , zone(std::move(zoneName))
        , platform(objectStore)
        , record(caseRecord)
        , server(0, [this](const Message& request, Connection& connection) { return this->serve(request, connection); })
        , publicPort(freePort())
        , link(this->publicPort, this->server.port(), this->zone, machines)
        , beat([this] { this->sendHeartbeats(); })
    {
    }
    ~Worker()
    {
        this->stopping = true;
        this->beat.join();
    }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    int eventsPerRun = 25;

private:
    bool serve(const Message& request, Connection& connection)
    {
        std::string echo = "X-Lovagecross-Request-Id: " + request.header("X-Lovagecross-Request-Id") + "\r\n";
        std::string wanted = request.header("X-Lovagecross-Target-Instance");
        if (!wanted.empty() && wanted != this->id)
            return connection.send(response(421, "{}", echo + "X-Lovagecross-Instance-Id: " + this->id + "\r\n"));
        if (request.target() == "/health")
            return connection.send(response(200, "{}", "X-Lovagecross-Instance-Id: " + this->id + "\r\n"));
        this->record.line("worker " + this->id + " runs " + request.header("X-Lovagecross-Request-Id") + ", body \""
            + escaped(request.body) + '"');
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo
            + "X-Lovagecross-Server-Signature: 3e1b.07.5a2\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 1; i <= this->eventsPerRun; ++i) {
            std::string event = "id: " + std::to_string(i) + "\ndata: w" + std::to_string(i) + "\n\n";
            std::array<char, 16> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            bytes += size.data() + event + "\r\n";
        }
        return connection.send(bytes + "0\r\n\r\n");
    }

    static std::string escaped(const std::string& text)
    {
        std::string out;
        for (char c : text)
            out += c == '\n' ? ' ' : c;
        return out.size() > 60 ? out.substr(0, 60) + "..." : out;
    }

    void sendHeartbeats()
    {
        auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        for (int sequence = 1; !this->stopping; ++sequence) {
            this->platform.put("servers", this->id,
                "{\"service\":\"models\",\"address\":\"" + addressOf(this->publicPort) + "\",\"zone\":\"" + this->zone
                    + "\",\"version\":\"v1\",\"slots\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":"
                      "\"both\","
                      "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":"
                    + std::to_string(sequence) + ",\"born\":" + std::to_string(born.count()) + '}');
            for (int i = 0; i < 24 && !this->stopping; ++i)
                std::this_thread::sleep_for(milliseconds(50));
        }
    }

    const std::string id;
    const std::string zone;
    Platform& platform;
    Record& record;
    std::atomic<bool> stopping { false };
    HttpServer server;
    const int publicPort;
    LinkProxy link;
    std::thread beat;
};

// --- Callers

struct Turn {
    std::string request;
    std::string program;
    std::string previous;
    std::string input;
    std::uint64_t budget = 0;
    int maxTokens = 100;
};

struct TurnAnswer {
    int status = 0; // 0 if none came
    int events = 0;
    bool whole = false;
};

// Sends one turn on a new connection, as a consumer does.
inline TurnAnswer sendTurn(const Machine& entry, const Turn& turn, Record& record)
{
    constexpr auto patience = milliseconds(4000);
    Connection connection(connectTo(entry.callerPort));
    std::ostringstream head;
    head << "POST /chat/4b HTTP/1.1\r\nHost: desk.example\r\nX-Lovagecross-Request-Id: " << turn.request
         << "\r\nX-Lovagecross-Program-Id: " << turn.program << "\r\nX-Lovagecross-Session-Id: " << turn.program
         << "\r\nX-Lovagecross-Program-Deadline-Ms: 60000\r\nX-Lovagecross-Token-Budget: " << turn.budget
         << "\r\nX-Lovagecross-Token-Usage: 100," << turn.maxTokens
         << "\r\nX-Lovagecross-Model: m\r\nX-Lovagecross-Deadline-Ms: " << patience.count() << "\r\n";
    if (!turn.previous.empty())
        head << "X-Lovagecross-Previous-Turn: " << turn.previous << "\r\n";
    head << "Content-Length: " << turn.input.size() << "\r\n\r\n" << turn.input;
    TurnAnswer answer;
    Message message;
    if (connection.open() && connection.send(head.str()) && connection.read(message, SteadyClock::now() + patience)) {
        answer.status = message.status();
        answer.whole = message.whole;
        for (std::size_t at = 0; (at = message.body.find("\ndata:", at)) != std::string::npos; ++at)
            ++answer.events;
    }
    record.line("turn " + turn.request + " of " + turn.program
        + (turn.previous.empty() ? "" : " after " + turn.previous) + " at " + entry.name + ": "
        + std::to_string(answer.status) + ", events " + std::to_string(answer.events)
        + (answer.whole ? ", whole" : ", not whole") + (answer.status / 100 == 2 ? "" : ", " + message.body));
    return answer;
}

inline bool isReady(const Machine& entry)
{
    Connection connection(connectTo(entry.readyPort));
    Message message;
    return connection.open() && connection.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        && connection.read(message, SteadyClock::now() + milliseconds(500)) && message.status() == 200;
}

inline bool waitUntil(const std::function<bool()>& condition, milliseconds timeout)
{
    auto end = SteadyClock::now() + timeout;
    while (!condition()) {
        if (SteadyClock::now() >= end)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

// --- A deployment like the small site: three zones with a record node, an entry node and a worker each

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

inline bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

// Whether the platform's roster names all of these record nodes.
inline bool rosterHas(Platform& platform, const std::vector<std::string>& names)
{
    std::string roster = platform.spec("record-rosters", "main");
    return std::all_of(names.begin(), names.end(),
        [&](const std::string& name) { return roster.find("\"node\":\"" + name + '"') != std::string::npos; });
}

inline const char* configurationText()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"host\":\"desk.example\",\"path_prefix\":\"/chat/\","
           "\"kind\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"models\","
           "\"max_attempts\":2,\"stateful\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,"
           "\"target_gap_ms\":200}],\"services\":[{\"name\":\"models\",\"health_path\":\"/health\","
           "\"max_connections\":210,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,\"kv_tokens\":274490,"
           "\"kv_bytes\":192512,\"link_mbps\":1500000.0,\"moves\":true,\"backups\":true,\"tokens_per_event\":4,"
           "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000}}";
}

} // namespace lab
