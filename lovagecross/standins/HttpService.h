#pragma once

// What the stand-ins share: an HTTP server, JSON replies, the control endpoints and counters.
//
// A stand-in derives from `HttpService` and implements `serve`, `applyFaults` and `resetState`:
//
//     ToolService service(...);
//     HttpServer server(service, "127.0.0.1:0");
//     std::cout << "ready " << server.address() << std::endl;
//
// Thread safety: `serve` runs on one thread for each connection, many at once.

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::standins {

inline constexpr std::size_t defaultMaxBodyBytes = 4 * 1024 * 1024;

// Tells waiting request handlers that the server stops.
class StopSignal {
public:
    void stop();
    bool stopped() const { return this->flag.load(); }

    // Waits for `duration`. Returns false at once when the server stops.
    bool wait(std::chrono::milliseconds duration) const;

private:
    std::atomic<bool> flag { false };
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
};

// Thrown while a request is read, before anything is done: `HttpService::handle` answers 400 with the text, which names
// the wrong field.
class BadRequest : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One request and its answer.
class Exchange {
public:
    Exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, const StopSignal& stop);

    const std::string& method() const;
    const std::string& path() const { return this->decodedPath; } // percent-decoded, without the query
    std::string query(const std::string& name, const std::string& fallback = {}) const;
    std::uint64_t queryNumber(const std::string& name, std::uint64_t fallback) const; // throws BadRequest
    std::string header(const std::string& name) const; // empty when missing
    std::uint64_t headerNumber(const std::string& name, std::uint64_t fallback) const; // throws BadRequest
    bool hasHeader(const std::string& name) const;

    // The part of the path after `prefix`, or nullopt when the path does not start with it.
    std::optional<std::string> pathAfter(std::string_view prefix) const;

    const std::string& body() const { return this->bodyText; }

    // Reads the whole body. Returns false, and has answered 413, when it is larger than `maxBytes`.
    bool readBody(std::size_t maxBytes);

    void setHeader(const std::string& name, const std::string& value);
    void reply(int status, const std::string& body, const std::string& contentType = "application/json");
    void replyJson(int status, const Poco::JSON::Object& body);
    void replyEmpty(int status);
    void replyError(int status, const std::string& code, const std::string& message);

    // Closes the connection without an answer, or in the middle of one.
    void drop();

    // Keeps the connection open and sends nothing more, until the client closes it, the server stops, or `until`
    // returns true; then closes it.
    void holdSilent(const std::function<bool()>& until = {});

    // Starts a chunked answer; `send` returns false once the client is gone.
    void startStream(const std::string& contentType);
    bool send(std::string_view chunk);

    bool clientGone();
    const StopSignal& stopSignal() const { return this->stop; }

private:
    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;
    const StopSignal& stop;
    std::string decodedPath;
    std::map<std::string, std::string> queryParameters;
    std::string bodyText;
    std::ostream* stream = nullptr;
};

class HttpService {
public:
    virtual ~HttpService() = default;

    // Reads the body, answers control endpoints, and passes every other request to `serve`.
    void handle(Exchange& exchange);

    void count(const std::string& counter, std::uint64_t amount = 1);

protected:
    virtual void serve(Exchange& exchange) = 0;

    // The largest body that the service takes; a larger one is answered with 413.
    virtual std::size_t maxBodyBytes() const { return defaultMaxBodyBytes; }

    // Answers a control endpoint of this stand-in only; false when it has none of this path.
    virtual bool serveControl(Exchange& exchange);
    virtual std::string applyFaults(const std::string& json) = 0; // empty, or what is wrong
    virtual void resetState() = 0;
    virtual void addStats(Poco::JSON::Object& stats);

private:
    void handleControl(Exchange& exchange);

    std::mutex countersMutex;
    std::map<std::string, std::uint64_t> counters;
};

// Serves `service` from construction to destruction.
class HttpServer {
public:
    // `address` is IP:port; port 0 picks a free one. Throws Poco::Exception when it can't listen there.
    HttpServer(HttpService& service, const std::string& address);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::string address() const; // IP:port

private:
    StopSignal stop;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

// Runs the server, prints its `ready` line, and returns after SIGTERM or SIGINT.
// Returns the process exit code.
int runUntilTerminated(HttpService& service, const std::string& address);

// Blocks SIGTERM and SIGINT for this thread and those it starts, and ignores SIGPIPE. `main` calls it before it
// starts any thread, so that `runUntilTerminated` receives the signals.
void prepareSignals();

} // namespace lovagecross::standins
