#include "lovagecross/standins/HttpService.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace lovagecross::standins {

namespace {

using namespace std::chrono_literals;

// Every waiting watch, open stream and idle keep-alive connection takes a thread.
constexpr int maxThreads = 2048;
constexpr int idleThreads = 8;
constexpr int listenBacklog = 1024;
constexpr std::size_t maxDrainedBodyBytes = 64 * 1024 * 1024;
constexpr auto clientCheckInterval = 50ms;

class RequestHandler final : public Poco::Net::HTTPRequestHandler {
public:
    RequestHandler(HttpService& service, const StopSignal& stop)
        : service(service)
        , stop(stop)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        try {
            Exchange exchange(request, response, this->stop);
            this->service.handle(exchange);
        } catch (const std::exception& error) {
            std::cerr << "request " << request.getMethod() << ' ' << request.getURI() << ": " << error.what()
                      << std::endl;
            // The connection may be in the middle of a body or an answer.
            response.setKeepAlive(false);
            if (!response.sent()) {
                response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
                response.setContentLength(0);
                response.send();
            }
        }
    }

private:
    HttpService& service;
    const StopSignal& stop;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    HandlerFactory(HttpService& service, const StopSignal& stop)
        : service(service)
        , stop(stop)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override
    {
        static_cast<void>(request);
        return new RequestHandler(this->service, this->stop);
    }

private:
    HttpService& service;
    const StopSignal& stop;
};

Poco::Net::HTTPServerParams::Ptr serverParams()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(listenBacklog);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(60, 0));
    params->setTimeout(Poco::Timespan(60, 0));
    return params;
}

std::uint64_t parseNumber(const std::string& name, const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed != end)
        throw BadRequest(name + " must be a whole number of at least 0, not \"" + text + "\"");
    return value;
}

Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

} // namespace

void StopSignal::stop()
{
    const std::lock_guard lock(this->mutex);
    this->flag.store(true);
    this->changed.notify_all();
}

bool StopSignal::wait(std::chrono::milliseconds duration) const
{
    std::unique_lock lock(this->mutex);
    return !this->changed.wait_for(lock, duration, [this] { return this->stopped(); });
}

Exchange::Exchange(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, const StopSignal& stop)
    : request(request)
    , response(response)
    , stop(stop)
{
    const Poco::URI uri(request.getURI());
    this->decodedPath = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters())
        this->queryParameters[name] = value;
}

const std::string& Exchange::method() const
{
    return this->request.getMethod();
}

std::string Exchange::query(const std::string& name, const std::string& fallback) const
{
    const auto found = this->queryParameters.find(name);
    return found == this->queryParameters.end() ? fallback : found->second;
}

std::uint64_t Exchange::queryNumber(const std::string& name, std::uint64_t fallback) const
{
    return this->queryParameters.contains(name) ? parseNumber(name, this->query(name)) : fallback;
}

std::uint64_t Exchange::headerNumber(const std::string& name, std::uint64_t fallback) const
{
    return this->hasHeader(name) ? parseNumber(name, this->header(name)) : fallback;
}

std::string Exchange::header(const std::string& name) const
{
    return this->request.get(name, "");
}

bool Exchange::hasHeader(const std::string& name) const
{
    return this->request.has(name);
}

std::optional<std::string> Exchange::pathAfter(std::string_view prefix) const
{
    if (!this->decodedPath.starts_with(prefix))
        return std::nullopt;
    return this->decodedPath.substr(prefix.size());
}

bool Exchange::readBody(std::size_t maxBytes)
{
    // POCO reads such a body until the end of the connection, which a client that waits for the answer keeps open.
    if (!this->request.hasContentLength() && !this->request.getChunkedTransferEncoding())
        return true;
    std::array<char, 16 * 1024> buffer {};
    std::istream& input = this->request.stream();
    std::size_t total = 0;
    // The rest of a body that is too large is read and thrown away, so that the client can finish sending and gets
    // the answer instead of a connection reset.
    while (input && total <= maxDrainedBodyBytes) {
        input.read(buffer.data(), buffer.size());
        const auto received = static_cast<std::size_t>(input.gcount());
        total += received;
        if (total <= maxBytes)
            this->bodyText.append(buffer.data(), received);
    }
    if (total <= maxBytes)
        return true;
    if (total > maxDrainedBodyBytes)
        this->response.setKeepAlive(false);
    this->replyError(413, "too_large", "body is larger than " + std::to_string(maxBytes) + " bytes");
    return false;
}

void Exchange::setHeader(const std::string& name, const std::string& value)
{
    this->response.set(name, value);
}

void Exchange::reply(int status, const std::string& body, const std::string& contentType)
{
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    this->response.setContentType(contentType);
    this->response.sendBuffer(body.data(), body.size());
}

void Exchange::replyJson(int status, const Poco::JSON::Object& body)
{
    std::ostringstream text;
    body.stringify(text);
    this->reply(status, text.str());
}

void Exchange::replyEmpty(int status)
{
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    // 204 and 304 have no body and, by RFC 9110, need no length.
    if (status != 204 && status != 304)
        this->response.setContentLength(0);
    this->response.send().flush();
}

void Exchange::replyError(int status, const std::string& code, const std::string& message)
{
    Poco::JSON::Object error;
    error.set("code", code);
    error.set("message", message);
    Poco::JSON::Object body;
    body.set("error", error);
    this->replyJson(status, body);
}

void Exchange::drop()
{
    this->response.setKeepAlive(false);
    try {
        socketOf(this->request).shutdown();
    } catch (const Poco::Exception&) {
        // The client has closed it already.
    }
}

void Exchange::holdSilent(const std::function<bool()>& until)
{
    while (!this->clientGone() && !(until && until())) {
        if (!this->stop.wait(clientCheckInterval))
            break;
    }
    this->drop();
}

void Exchange::startStream(const std::string& contentType)
{
    this->response.setChunkedTransferEncoding(true);
    this->response.setContentType(contentType);
    this->response.set("Cache-Control", "no-cache");
    // Each event is small and must leave at once.
    socketOf(this->request).setNoDelay(true);
    this->stream = &this->response.send();
}

bool Exchange::send(std::string_view chunk)
{
    try {
        this->stream->write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        this->stream->flush();
        return this->stream->good();
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool Exchange::clientGone()
{
    char byte = 0;
    const auto received = ::recv(socketOf(this->request).impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return false;
    return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void HttpService::handle(Exchange& exchange)
{
    if (!exchange.readBody(this->maxBodyBytes()))
        return;
    try {
        if (exchange.path().starts_with("/control/"))
            this->handleControl(exchange);
        else
            this->serve(exchange);
    } catch (const BadRequest& error) {
        exchange.replyError(400, "bad_request", error.what());
    }
}

void HttpService::handleControl(Exchange& exchange)
{
    const std::string request = exchange.method() + " " + exchange.path();
    if (request == "GET /control/stats") {
        Poco::JSON::Object stats;
        {
            const std::lock_guard lock(this->countersMutex);
            for (const auto& [name, value] : this->counters)
                stats.set(name, value);
        }
        this->addStats(stats);
        exchange.replyJson(200, stats);
    } else if (request == "POST /control/faults") {
        if (const std::string message = this->applyFaults(exchange.body()); !message.empty())
            exchange.replyError(400, "bad_request", message);
        else
            exchange.replyJson(200, Poco::JSON::Object());
    } else if (request == "POST /control/reset") {
        this->resetState();
        {
            const std::lock_guard lock(this->countersMutex);
            this->counters.clear();
        }
        exchange.replyJson(200, Poco::JSON::Object());
    } else if (!this->serveControl(exchange)) {
        exchange.replyError(404, "not_found", "no control endpoint " + request);
    }
}

void HttpService::count(const std::string& counter, std::uint64_t amount)
{
    const std::lock_guard lock(this->countersMutex);
    this->counters[counter] += amount;
}

bool HttpService::serveControl(Exchange& exchange)
{
    static_cast<void>(exchange);
    return false;
}

void HttpService::addStats(Poco::JSON::Object& stats)
{
    static_cast<void>(stats);
}

HttpServer::HttpServer(HttpService& service, const std::string& address)
    : threads(idleThreads, maxThreads + 1)
{
    const Poco::Net::SocketAddress socketAddress(address);
    if (!socketAddress.host().isLoopback())
        throw Poco::InvalidArgumentException("stand-ins listen on loopback addresses only", address);
    Poco::Net::ServerSocket socket;
    // POCO's constructor with an address sets SO_REUSEPORT, with which two processes can listen on one address.
    socket.bind(socketAddress, true, false);
    socket.listen(listenBacklog);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(service, this->stop), this->threads, socket, serverParams());
    this->server->start();
}

HttpServer::~HttpServer()
{
    this->stop.stop();
    this->server->stopAll(true);
    this->threads.joinAll();
}

std::string HttpServer::address() const
{
    return this->server->socket().address().toString();
}

void prepareSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int runUntilTerminated(HttpService& service, const std::string& address)
{
    try {
        const HttpServer server(service, address);
        std::cout << "ready " << server.address() << std::endl;
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        int received = 0;
        sigwait(&signals, &received);
    } catch (const Poco::Exception& error) {
        std::cerr << "cannot serve " << address << ": " << error.displayText() << std::endl;
        return 1;
    }
    return 0;
}

} // namespace lovagecross::standins
