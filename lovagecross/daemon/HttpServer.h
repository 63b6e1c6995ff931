#pragma once

// HTTP server code shared by the caller and admin listeners: bounded body reads, JSON responses, bearer tokens, and a
// listener that shuts down gracefully.
//
// Thread safety: handlers run on the server's threads, several at once.

#include "lovagecross/base/Error.h"
#include "lovagecross/gateway/MemoryAccount.h"
#include "lovagecross/ports/Peer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace lovagecross {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

// Reads the request body. Errors: TooLarge if it exceeds `maxBytes`, BadRequest if it is shorter than Content-Length,
// Overloaded if there is no memory for it or it must give way to other bodies. Without a reservation, which only
// operators' requests may lack, no memory is accounted.
Result<std::string> readBody(
    Poco::Net::HTTPServerRequest& request, std::size_t maxBytes, BufferReservation* reservation = nullptr);

// Closes the receiving direction of the request's connection, which ends a wait for the body. Any thread may call it
// while the request is handled.
void endInput(Poco::Net::HTTPServerRequest& request);

// Reads and discards the rest of a refused request's body, up to 4 MiB or until nothing arrives for 0.3 s. A response
// that is sent while the caller is still sending its body may be lost when the connection closes.
void discardBody(Poco::Net::HTTPServerRequest& request);

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const std::string& body);
void sendAnswer(Poco::Net::HTTPServerResponse& response, const ForwardEnd& answer);

// Returns the token of `Authorization: Bearer <token>`, or an empty string if there is none.
std::string bearerToken(const Poco::Net::HTTPServerRequest& request);

namespace detail {

class ListenerConnections;

} // namespace detail

struct HttpListenerSettings {
    std::string address; // IP:port
    int maxConnections = 512; // each has a thread
    int idleThreads = 4; // that are kept while there are no connections
    // When all connections are in use, one that has waited for its caller for this time is closed for a new one.
    Duration minWaitToClose = std::chrono::milliseconds(100);
};

class HttpListener {
public:
    // Throws Poco::Exception if the address can't be bound.
    HttpListener(const HttpListenerSettings& settings, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    void start();

    // Stops accepting connections, waits up to `timeout` for the requests in progress, then closes the remaining
    // connections.
    void stop(Duration timeout);

private:
    Poco::ThreadPool threads;
    std::shared_ptr<detail::ListenerConnections> connections;
    std::unique_ptr<Poco::Net::TCPServer> server;
    std::function<void()> stopConnections;
    std::shared_ptr<std::atomic<int>> activeRequests;
    bool stopped = false;
};

} // namespace lovagecross
