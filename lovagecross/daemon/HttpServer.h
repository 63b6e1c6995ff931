#pragma once

// What the callers' and the operators' listeners share: body limits, JSON answers, bearer tokens, and a server that
// stops without cutting a request.
//
// Thread safety: handlers run on the server's threads, several at once.

#include "lovagecross/base/Error.h"
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

// Reads a request's body. Errors: TooLarge above `maxBytes`, BadRequest when it ends early.
Result<std::string> readBody(Poco::Net::HTTPServerRequest& request, std::size_t maxBytes);

// Reads and drops what is left of a refused request's body, up to a limit: an answer that is sent while the caller
// still sends may be lost with the connection.
void discardBody(Poco::Net::HTTPServerRequest& request);

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const std::string& body);
void sendAnswer(Poco::Net::HTTPServerResponse& response, const ForwardEnd& answer);

// The token of `Authorization: Bearer <token>`, or an empty string.
std::string bearerToken(const Poco::Net::HTTPServerRequest& request);

class HttpListener {
public:
    // `address` is IP:port. Throws Poco::Exception when it can't be bound.
    HttpListener(const std::string& address, int maxConnections, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    void start();

    // Stops accepting connections, waits up to `longest` for the requests under way, and closes what is left.
    void stop(Duration longest);

private:
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
    std::function<void()> stopConnections;
    std::shared_ptr<std::atomic<int>> activeRequests;
    bool stopped = false;
};

} // namespace lovagecross
