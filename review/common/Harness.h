// Shared parts of the review cases: a small platform store, model and tool servers, callers, and the project's daemons
// as separate processes on loopback addresses. Only the C++ standard library and POSIX are used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
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
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point startOfRun = Clock::now();

inline long sinceStartMs()
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun).count());
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Writes record.txt: what was sent, answered and run, and what the test did, with milliseconds since the start.
class Record {
public:
    void open(const std::string& path) { this->file.open(path, std::ios::trunc); }
    void line(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        this->file << sinceStartMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

// --- Sockets

inline int listenOn(int& port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// A port that was free a moment ago, outside the range from which the system picks ports for connections.
inline int freePort()
{
    static std::atomic<int> next { 12000 + static_cast<int>(::getpid() % 200) * 100 };
    for (;;) {
        int port = next++;
        int fd = listenOn(port);
        if (fd >= 0) {
            ::close(fd);
            return port;
        }
    }
}

inline int connectTo(int port, int timeoutMs)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        pollfd item { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&item, 1, timeoutMs) <= 0
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        pollfd item { fd, POLLOUT, 0 };
        if (count < 0 && (errno == EAGAIN || errno == EINTR) && ::poll(&item, 1, 2000) > 0)
            continue;
        return false;
    }
    return true;
}

// Reads more bytes. Returns 1 if some came, 0 at the end of the connection, -1 on an error and -2 at the deadline.
inline int receiveMore(int fd, std::string& buffer, Clock::time_point deadline)
{
    for (;;) {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        if (left <= 0)
            return -2;
        pollfd item { fd, POLLIN, 0 };
        int ready = ::poll(&item, 1, static_cast<int>(std::min<long long>(left, 1000)));
        if (ready == 0 || (ready < 0 && errno == EINTR))
            continue;
        char bytes[16384];
        ssize_t count = ::recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count > 0) {
            buffer.append(bytes, static_cast<std::size_t>(count));
            return 1;
        }
        if (count == 0)
            return 0;
        if (errno != EAGAIN && errno != EINTR)
            return -1;
    }
}

// --- HTTP messages

struct Head {
    std::string first; // request or status line
    std::vector<std::pair<std::string, std::string>> fields;

    std::string get(const std::string& name) const
    {
        for (const auto& [key, value] : this->fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        return std::any_of(this->fields.begin(), this->fields.end(),
            [&](const auto& field) { return ::strcasecmp(field.first.c_str(), name.c_str()) == 0; });
    }
};

inline Head parseHead(const std::string& text)
{
    Head head;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.empty())
            break;
        if (head.first.empty()) {
            head.first = line;
            continue;
        }
        std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t start = line.find_first_not_of(' ', colon + 1);
        head.fields.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
    }
    return head;
}

// Takes a chunked body from the front of `buffer` as far as it has arrived. Returns true at its end.
inline bool takeChunks(std::string& buffer, std::string& content, bool& malformed)
{
    for (;;) {
        std::size_t end = buffer.find("\r\n");
        if (end == std::string::npos)
            return false;
        std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        if (end == 0) {
            malformed = true;
            return false;
        }
        if (buffer.size() < end + 2 + size + 2)
            return false;
        content += buffer.substr(end + 2, size);
        buffer.erase(0, end + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

struct Request {
    std::string method;
    std::string target;
    Head head;
    std::string body;

    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    std::string query(const std::string& key) const
    {
        std::size_t at = this->target.find('?');
        std::string rest = at == std::string::npos ? "" : this->target.substr(at + 1);
        std::istringstream parts(rest);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(key + "=", 0) == 0)
                return part.substr(key.size() + 1);
        }
        return {};
    }
};

// Serves HTTP on a loopback port, one thread for each connection. The handler writes the response itself and returns
// whether the connection stays open.
class HttpServer {
public:
    using Handler = std::function<bool(const Request&, int fd)>;

    ~HttpServer() { this->stop(); }

    bool start(int wantedPort, Handler newHandler)
    {
        this->handler = std::move(newHandler);
        this->port = wantedPort;
        this->listener = listenOn(this->port);
        if (this->listener < 0)
            return false;
        this->stopping = false;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    // Closes the listener and all connections, as the end of a process would.
    void stop()
    {
        this->stopping = true;
        if (this->acceptor.joinable())
            this->acceptor.join();
        {
            std::lock_guard lock(this->mutex);
            for (int fd : this->open)
                ::shutdown(fd, SHUT_RDWR);
        }
        while (this->running > 0)
            sleepMs(5);
    }

    int port = 0;

private:
    void accept()
    {
        while (!this->stopping) {
            pollfd item { this->listener, POLLIN, 0 };
            if (::poll(&item, 1, 50) <= 0)
                continue;
            int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            ++this->running;
            {
                std::lock_guard lock(this->mutex);
                this->open.insert(fd);
            }
            std::thread([this, fd] {
                this->serve(fd);
                {
                    std::lock_guard lock(this->mutex);
                    this->open.erase(fd);
                }
                ::close(fd);
                --this->running;
            }).detach();
        }
        ::close(this->listener);
    }

    void serve(int fd)
    {
        int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::string buffer;
        while (!this->stopping) {
            Request request;
            auto deadline = Clock::now() + std::chrono::seconds(60);
            std::size_t end = std::string::npos;
            while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
                if (this->stopping || receiveMore(fd, buffer, deadline) != 1)
                    return;
            }
            request.head = parseHead(buffer.substr(0, end + 4));
            buffer.erase(0, end + 4);
            std::istringstream first(request.head.first);
            first >> request.method >> request.target;
            if (request.head.get("Transfer-Encoding") == "chunked") {
                bool malformed = false;
                while (!takeChunks(buffer, request.body, malformed)) {
                    if (malformed || receiveMore(fd, buffer, deadline) != 1)
                        return;
                }
            } else {
                std::size_t length = std::strtoul(request.head.get("Content-Length").c_str(), nullptr, 10);
                while (buffer.size() < length) {
                    if (receiveMore(fd, buffer, deadline) != 1)
                        return;
                }
                request.body = buffer.substr(0, length);
                buffer.erase(0, length);
            }
            if (!this->handler(request, fd))
                return;
        }
    }

    Handler handler;
    int listener = -1;
    std::atomic<bool> stopping { true };
    std::atomic<int> running { 0 };
    std::mutex mutex;
    std::set<int> open;
    std::thread acceptor;
};

inline bool reply(int fd, int status, const std::string& body, const std::string& fields = "")
{
    return sendAll(fd,
        "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// --- JSON text, as far as the store needs it

// The end of the JSON value that starts at `at`.
inline std::size_t valueEnd(const std::string& text, std::size_t at)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = at; i < text.size(); ++i) {
        char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
            if (!inString && depth == 0)
                return i + 1;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']') {
            if (depth == 0)
                return i;
            if (--depth == 0)
                return i + 1;
        } else if (c == ',' && depth == 0)
            return i;
    }
    return text.size();
}

// The text of a member of the object `text`, or an empty text.
inline std::string member(const std::string& text, const std::string& key)
{
    std::size_t at = text.find('{');
    if (at == std::string::npos)
        return {};
    ++at;
    while (at < text.size()) {
        at = text.find_first_not_of(" \t\r\n,", at);
        if (at == std::string::npos || text[at] != '"')
            return {};
        std::size_t nameEnd = valueEnd(text, at);
        std::string name = text.substr(at + 1, nameEnd - at - 2);
        at = text.find(':', nameEnd);
        if (at == std::string::npos)
            return {};
        at = text.find_first_not_of(" \t\r\n", at + 1);
        std::size_t end = valueEnd(text, at);
        if (name == key)
            return text.substr(at, end - at);
        at = end;
    }
    return {};
}

inline std::string unquoted(const std::string& text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

// --- The platform's store

class Store {
public:
    bool start(int port)
    {
        return this->server.start(port, [this](const Request& request, int fd) { return this->serve(request, fd); });
    }

    int port() const { return this->server.port; }

    std::uint64_t put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(this->mutex);
        return this->write(kind, name, spec);
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
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec = "null";
        std::string status = "null";
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string print(const std::string& name, const Object& object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":" + std::to_string(object.created)
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":" + object.status + '}';
    }

    void addEvent(const std::string& kind, const std::string& name, const Object& object, bool deleted)
    {
        this->events.push_back({ this->revision, kind,
            std::string("{\"deleted\":") + (deleted ? "true" : "false") + ",\"object\":" + print(name, object) + '}' });
        this->changed.notify_all();
    }

    std::uint64_t write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = this->kinds[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return object.revision;
        object.spec = spec;
        object.revision = ++this->revision;
        if (object.created == 0)
            object.created = object.revision;
        this->addEvent(kind, name, object, false);
        return object.revision;
    }

    void erase(const std::string& kind, const std::string& name)
    {
        auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return;
        ++this->revision;
        this->addEvent(kind, name, found->second, true);
        this->kinds[kind].erase(found);
    }

    bool serve(const Request& request, int fd)
    {
        const std::string base = "/api/objects/";
        std::string path = request.path();
        if (path.rfind(base, 0) != 0)
            return reply(fd, 404, "{}");
        path.erase(0, base.size());
        std::size_t slash = path.find('/');
        std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (name.empty() && request.method == "GET" && !request.query("watch").empty())
            return this->serveWatch(request, kind, fd);
        int status = 200;
        std::string body;
        {
            std::lock_guard lock(this->mutex);
            body = this->apply(request, kind, name, status);
        }
        return reply(fd, status, body);
    }

    std::string apply(const Request& request, const std::string& kind, std::string name, int& status)
    {
        std::map<std::string, Object>& objects = this->kinds[kind];
        std::string metadata = member(request.body, "metadata");
        if (name.empty() && request.method == "GET")
            return this->list(request, objects);
        if (request.method == "POST") {
            name = unquoted(member(metadata, "name"));
            if (objects.count(name) > 0)
                status = 409;
            else
                this->write(kind, name, member(request.body, "spec"));
            return print(name, objects[name]);
        }
        bool isStatus = name.size() > 7 && name.substr(name.size() - 7) == "/status";
        if (isStatus)
            name.resize(name.size() - 7);
        auto found = objects.find(name);
        if (found == objects.end()) {
            status = 404;
            return "{}";
        }
        std::string expected = request.method == "DELETE" ? request.query("revision") : member(metadata, "revision");
        if (request.method != "GET" && !expected.empty() && expected != std::to_string(found->second.revision)) {
            status = 409;
            return print(name, found->second);
        }
        if (request.method == "PUT" && isStatus) {
            found->second.status = member(request.body, "status");
            found->second.revision = ++this->revision;
            this->addEvent(kind, name, found->second, false);
        } else if (request.method == "PUT") {
            this->write(kind, name, member(request.body, "spec"));
        } else if (request.method == "DELETE") {
            std::string text = print(name, found->second);
            this->erase(kind, name);
            return text;
        }
        return print(name, found->second);
    }

    std::string list(const Request& request, const std::map<std::string, Object>& objects) const
    {
        std::string items;
        std::string after = request.query("after");
        std::size_t bytes = 0;
        bool more = false;
        for (const auto& [name, object] : objects) {
            if (!after.empty() && name <= after)
                continue;
            if (bytes > 900'000) {
                more = true;
                break;
            }
            std::string text = print(name, object);
            bytes += text.size();
            items += (items.empty() ? "" : ",") + text;
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false")
            + ",\"at\":" + std::to_string(this->revision) + '}';
    }

    bool serveWatch(const Request& request, const std::string& kind, int fd)
    {
        std::uint64_t after = std::strtoull(request.query("watch").c_str(), nullptr, 10);
        long wait = std::strtol(request.query("wait_ms").c_str(), nullptr, 10);
        auto isNew = [&](const Event& event) { return event.revision > after && event.kind == kind; };
        std::string body;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait_for(
                lock, milliseconds(wait), [&] { return std::any_of(this->events.begin(), this->events.end(), isNew); });
            std::string list;
            for (const Event& event : this->events) {
                if (isNew(event))
                    list += (list.empty() ? "" : ",") + event.text;
            }
            body = "{\"events\":[" + list + "],\"at\":" + std::to_string(this->revision) + '}';
        }
        return reply(fd, 200, body);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
    std::uint64_t revision = 1;
    HttpServer server;
};

// --- Model and tool servers

struct Run {
    std::string request;
    std::string server;
    std::string path;
    std::string body;
    long atMs = 0;
};

class Ledger {
public:
    void add(Run run)
    {
        record.line("server " + run.server + " runs " + run.request + " " + run.path + ", body of "
            + std::to_string(run.body.size()) + " bytes");
        std::lock_guard lock(this->mutex);
        this->runs.push_back(std::move(run));
    }
    std::vector<Run> all() const
    {
        std::lock_guard lock(this->mutex);
        return this->runs;
    }

private:
    mutable std::mutex mutex;
    std::vector<Run> runs;
};

inline constexpr int tokensPerEvent = 4;

// A server that runs every request: a stream of events on streaming paths, a short body on others.
class Server {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        std::string streamPath; // requests below it are answered with a stream
        long eventGapMs = 5;
        long workMs = 20;
    };
    // Called when a request begins to run. Returns false if the server shall crash at it.
    std::function<bool(const Request&)> onRun;

    Server(Options serverOptions, Ledger& runLedger)
        : options(std::move(serverOptions))
        , ledger(runLedger)
    {
    }

    // Starts a lifetime of the server, at the address of the one before. `newVersion` is the version of its software.
    bool start(const std::string& newVersion = "v1")
    {
        this->crashed = false;
        this->version = newVersion;
        this->born
            = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        this->sequence = 0;
        return this->http.start(
            this->http.port, [this](const Request& request, int fd) { return this->serve(request, fd); });
    }
    // Ends the lifetime as a crash does: all connections close, and nothing is sent any more.
    void stop()
    {
        record.line("server " + this->options.id + " crashes");
        this->crashed = true;
        this->http.stop();
    }

    void heartbeat(Store& store)
    {
        store.put("servers", this->options.id,
            "{\"service\":\"" + this->options.service + "\",\"address\":\"" + address(this->http.port)
                + "\",\"zone\":\"" + this->options.zone + "\",\"version\":\"" + this->version
                + "\",\"slots\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + std::to_string(this->born)
                + ",\"sequence\":" + std::to_string(++this->sequence) + '}');
    }

    const Options options;
    std::atomic<bool> crashed { false };

private:
    bool serve(const Request& request, int fd)
    {
        std::string id = request.head.get("X-Lovagecross-Request-Id");
        if (request.path() == "/health")
            return reply(fd, 200, "{}", "X-Lovagecross-Instance-Id: " + this->options.id + "\r\n");
        std::string target = request.head.get("X-Lovagecross-Target-Instance");
        std::string echo = "X-Lovagecross-Request-Id: " + id + "\r\n";
        if (!target.empty() && target != this->options.id)
            return reply(fd, 421, "{}", echo + "X-Lovagecross-Instance-Id: " + this->options.id + "\r\n");
        this->ledger.add({ id, this->options.id, request.path(), request.body, sinceStartMs() });
        if (this->onRun && !this->onRun(request)) {
            this->crashed = true;
            return false;
        }
        echo += "X-Lovagecross-Server-Signature: " + this->options.id + "." + id + "\r\nKeep-Alive: timeout=10\r\n";
        if (request.path().rfind(this->options.streamPath, 0) != 0 || this->options.streamPath.empty()) {
            sleepMs(this->options.workMs);
            return reply(fd, 200, "{\"done\":\"" + id + "\"}", echo);
        }
        std::string usage = request.head.get("X-Lovagecross-Token-Usage");
        std::size_t comma = usage.find(',');
        long most = comma == std::string::npos ? 16 : std::strtol(usage.c_str() + comma + 1, nullptr, 10);
        long first = std::strtol(request.head.get("Last-Event-Id").c_str(), nullptr, 10);
        if (!sendAll(fd,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo + "\r\n"))
            return false;
        for (long event = first + 1; event <= most / tokensPerEvent; ++event) {
            sleepMs(this->options.eventGapMs);
            std::string text = "id: " + std::to_string(event) + "\ndata: " + this->version + " " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!sendAll(fd, size + text + "\r\n"))
                return false;
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    Ledger& ledger;
    std::string version;
    std::int64_t born = 0;
    std::atomic<std::uint64_t> sequence { 0 };
    HttpServer http;
};

// --- Callers

struct Answer {
    int status = 0; // 0 if the connection ended without a response
    bool complete = false;
    Head head;
    std::string body;

    long events() const
    {
        long count = 0;
        for (std::size_t at = this->body.find("\ndata: "); at != std::string::npos;
             at = this->body.find("\ndata: ", at + 1))
            ++count;
        return count;
    }
    bool success() const { return this->status == 200 && this->complete; }
};

// Sends one request on a new connection and reads the whole response.
inline Answer send(int port, const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body, long timeoutMs)
{
    Answer answer;
    int fd = connectTo(port, 1000);
    if (fd < 0)
        return answer;
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: agents.example\r\n";
    for (const auto& [name, value] : fields)
        bytes += name + ": " + value + "\r\n";
    bytes += "X-Lovagecross-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (method != "GET")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += "\r\n" + body;
    auto deadline = Clock::now() + milliseconds(timeoutMs + 1000);
    std::string buffer;
    std::size_t end = std::string::npos;
    bool open = sendAll(fd, bytes);
    while (open && (end = buffer.find("\r\n\r\n")) == std::string::npos)
        open = receiveMore(fd, buffer, deadline) == 1;
    if (end != std::string::npos) {
        answer.head = parseHead(buffer.substr(0, end + 4));
        buffer.erase(0, end + 4);
        answer.status = std::atoi(answer.head.first.c_str() + 9);
        bool malformed = false;
        if (answer.head.get("Transfer-Encoding") == "chunked") {
            while (!(answer.complete = takeChunks(buffer, answer.body, malformed)) && !malformed) {
                if (receiveMore(fd, buffer, deadline) != 1)
                    break;
            }
        } else {
            std::size_t length = std::strtoul(answer.head.get("Content-Length").c_str(), nullptr, 10);
            while (buffer.size() < length && receiveMore(fd, buffer, deadline) == 1) { }
            answer.complete = buffer.size() >= length;
            answer.body = buffer.substr(0, length);
        }
    }
    ::close(fd);
    return answer;
}

inline std::string newId(const std::string& prefix)
{
    static std::atomic<int> next { 0 };
    return prefix + "-" + std::to_string(++next);
}

// --- The project's daemons

struct Node {
    std::string name;
    std::string zone;
    bool stores = false;
    int callerPort = 0;
    int readyPort = 0;
    int peerPort = 0;
    int metricsPort = 0;
    std::string dataFolder;
    pid_t process = -1;
};

// A small deployment: record nodes and entry nodes from the settings templates of deploy/.
class Deployment {
public:
    Deployment(std::string repository, std::string temporary, Store& platform)
        : root(std::move(repository))
        , folder(std::move(temporary))
        , store(platform)
    {
    }
    ~Deployment()
    {
        for (auto& node : this->nodes)
            this->kill(*node);
    }

    Node& add(const std::string& name, const std::string& zone, bool stores)
    {
        auto node = std::make_unique<Node>();
        node->name = name;
        node->zone = zone;
        node->stores = stores;
        node->callerPort = freePort();
        node->readyPort = freePort();
        node->peerPort = freePort();
        node->metricsPort = freePort();
        node->dataFolder = this->folder + "/data-" + name;
        if (stores)
            std::filesystem::create_directories(node->dataFolder);
        this->nodes.push_back(std::move(node));
        return *this->nodes.back();
    }

    void start(Node& node, bool firstStart)
    {
        std::string file = this->folder + '/' + node.name + ".json";
        std::ofstream(file) << this->settings(node, firstStart);
        std::string log = this->folder + '/' + node.name + ".log";
        pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(this->root.c_str()) == 0)
                ::execl("target/bin/lovagecrossd", "target/bin/lovagecrossd", "--config", file.c_str(), nullptr);
            ::_exit(127);
        }
        node.process = child;
        record.line("start " + node.name);
    }

    // SIGKILL, as in a crash or a loss of power. What was synced stays on the disk.
    void kill(Node& node)
    {
        if (node.process <= 0)
            return;
        record.line("kill " + node.name);
        ::kill(node.process, SIGKILL);
        ::waitpid(node.process, nullptr, 0);
        node.process = -1;
    }

    void freeze(Node& node)
    {
        record.line("freeze " + node.name);
        ::kill(node.process, SIGSTOP);
    }

    void wake(Node& node)
    {
        record.line("wake " + node.name);
        ::kill(node.process, SIGCONT);
    }

    // Returns true if the process has ended by itself.
    bool endedByItself(Node& node)
    {
        if (node.process <= 0)
            return false;
        int state = 0;
        if (::waitpid(node.process, &state, WNOHANG) != node.process)
            return false;
        node.process = -1;
        return true;
    }

    void wipeDisk(Node& node)
    {
        record.line("the disk of " + node.name + " is lost");
        std::filesystem::remove_all(node.dataFolder);
        std::filesystem::create_directories(node.dataFolder);
    }

    bool ready(const Node& node) const
    {
        return send(node.readyPort, "GET", "/api/readiness", {}, "", 800).status == 200;
    }

    bool waitUntil(const std::function<bool()>& condition, long timeoutMs, long stepMs = 20) const
    {
        auto end = Clock::now() + milliseconds(timeoutMs);
        while (!condition()) {
            if (Clock::now() >= end)
                return false;
            sleepMs(stepMs);
        }
        return true;
    }

    // Epoch of the roster that the platform holds, as anyone can read it there.
    long rosterEpoch() { return std::atol(member(this->store.spec("record-rosters", "main"), "epoch").c_str()); }

    std::vector<std::unique_ptr<Node>> nodes;

    // Machines as in the site file of the case.
    int storageMegabytes = 130;
    int diskMegabytes = 360;
    int frontendMegabytes = 110;

private:
    std::string settings(const Node& node, bool firstStart) const
    {
        std::string seeds;
        for (const auto& other : this->nodes) {
            if (!other->stores)
                seeds += (seeds.empty() ? "\"" : ",\"") + address(other->peerPort) + '"';
        }
        std::string text = std::string("{ \"mode\": \"") + (node.stores ? "records" : "entry") + "\", \"node\": \""
            + node.name + "\", \"dataCentre\": \"" + node.zone + "\", \"peerAddress\": \"" + address(node.peerPort)
            + "\", \"metricsAddress\": \"" + address(node.metricsPort) + "\", \"platformAddress\": \""
            + address(this->store.port()) + "\", \"seeds\": [" + seeds + "], \"firstStart\": "
            + (firstStart ? "true" : "false") + ", \"lossMachines\": 1, \"lossDataCentres\": 1, \"graceMillis\": 8000";
        if (node.stores)
            text += ", \"dataFolder\": \"" + node.dataFolder
                + "\", \"diskMegabytes\": " + std::to_string(this->diskMegabytes)
                + ", \"memoryMegabytes\": " + std::to_string(this->storageMegabytes) + " }";
        else
            text += ", \"callerAddress\": \"" + address(node.callerPort) + "\", \"readyAddress\": \""
                + address(node.readyPort) + "\", \"readyPath\": \"/api/readiness\", \"memoryMegabytes\": "
                + std::to_string(this->frontendMegabytes) + " }";
        return text;
    }

    const std::string root;
    const std::string folder;
    Store& store;
};

// --- One case

// Temporary folder, record and the choice of TROUBLE for the main function of a case.
class Case {
public:
    Case(int argc, char** argv)
    {
        if (argc != 3) {
            std::cerr << "usage: " << argv[0] << " REPOSITORY CASE_FOLDER\n";
            std::exit(2);
        }
        this->repository = std::filesystem::absolute(argv[1]).string();
        record.open(std::string(argv[2]) + "/record.txt");
        const char* trouble = std::getenv("TROUBLE");
        this->withTrouble = trouble == nullptr || std::string(trouble) != "0";
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        std::signal(SIGPIPE, SIG_IGN);
        record.line(this->withTrouble ? "with the disruption" : "without the disruption");
    }
    ~Case()
    {
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(this->folder);
        else
            std::cout << "kept " << this->folder << '\n';
    }

    int finish(int status, const std::string& text)
    {
        record.line(text);
        std::cout << text << '\n';
        return status;
    }

    std::string repository;
    std::string folder;
    bool withTrouble = true;
};

// Sends the heartbeats of all servers every 1.2 s.
class Heartbeats {
public:
    Heartbeats(std::vector<std::unique_ptr<Server>>& list, Store& store)
        : thread([this, &list, &store] {
            while (!this->stopping) {
                for (auto& server : list) {
                    if (!server->crashed)
                        server->heartbeat(store);
                }
                for (int i = 0; i < 24 && !this->stopping; ++i)
                    sleepMs(50);
            }
        })
    {
    }
    ~Heartbeats()
    {
        this->stopping = true;
        this->thread.join();
    }

private:
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace review
