#include "lovagecross/daemon/HttpServer.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/http/ConnectionTable.h"
#include "lovagecross/http/MessageHead.h"
#include "lovagecross/runtime/Json.h"
#include "lovagecross/runtime/ProgramService.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/SharedPtr.h>
#include <Poco/Timespan.h>
#include <array>
#include <atomic>
#include <istream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lovagecross {

namespace detail {

// A tracked connection with a descriptor of its own: POCO closes that of the socket while the connection is tracked.
class AcceptedConnection {
public:
    AcceptedConnection(ConnectionTable& table, const Poco::Net::StreamSocket& socket)
        : duplicate(::dup(socket.impl()->sockfd()))
        , tracked(std::in_place, table, [fd = this->duplicate] { ::shutdown(fd, SHUT_RDWR); })
    {
    }
    ~AcceptedConnection()
    {
        this->tracked.reset();
        if (this->duplicate >= 0)
            ::close(this->duplicate);
    }
    AcceptedConnection(const AcceptedConnection&) = delete;
    AcceptedConnection& operator=(const AcceptedConnection&) = delete;

    int descriptor() const { return this->duplicate; }
    TrackedConnection& connection() { return *this->tracked; }

private:
    const int duplicate;
    std::optional<TrackedConnection> tracked;
};

// The connections of a listener, from the moment when they are accepted: they may wait for a thread.
class ListenerConnections {
public:
    ListenerConnections(std::size_t maxConnections, Duration minWaitToClose)
        : table(this->clock, maxConnections, minWaitToClose)
    {
    }

    bool makeRoom() { return this->table.makeRoom(); }

    void add(const Poco::Net::StreamSocket& socket)
    {
        auto accepted = std::make_unique<AcceptedConnection>(this->table, socket);
        std::lock_guard lock(this->mutex);
        this->waiting[socket.impl()] = { socket, std::move(accepted) };
    }

    // Returns the connection of a socket for the thread that serves it.
    std::unique_ptr<AcceptedConnection> take(const Poco::Net::StreamSocket& socket)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->waiting.extract(socket.impl());
        if (found.empty()) // the listener has stopped
            return std::make_unique<AcceptedConnection>(this->table, socket);
        return std::move(found.mapped().accepted);
    }

    // Closes the connections that no thread serves yet.
    void closeWaiting()
    {
        std::lock_guard lock(this->mutex);
        this->waiting.clear();
    }

private:
    struct Waiting {
        Poco::Net::StreamSocket socket; // keeps the key's address in use
        std::unique_ptr<AcceptedConnection> accepted;
    };

    SystemClock clock;
    ConnectionTable table;
    std::mutex mutex;
    std::map<const Poco::Net::SocketImpl*, Waiting> waiting;
};

} // namespace detail

namespace {

using detail::AcceptedConnection;
using detail::ListenerConnections;

// A handler uses a few kilobytes of stack. A small stack keeps the memory cost of many waiting callers low.
constexpr int stackBytes = 256 * 1024;
constexpr std::size_t maxDiscardedBytes = 4 * 1024 * 1024;
const Poco::Timespan discardTimeout(0, 300'000);
constexpr int receiveBufferBytes = 64 * 1024; // in the kernel, for each connection
constexpr int keepAliveSeconds = 15;
constexpr int requestTimeoutSeconds = 30; // socket timeout; drops a caller that stalls while sending its request

constexpr int listenBacklog = 1024;

constexpr std::string_view responseVersion = "HTTP/1.1";

// The connection that this thread serves; nullptr on other threads.
thread_local TrackedConnection* servedConnection = nullptr;

// Notes that the body being read has `bytes` bytes so far.
void noteReceived(std::size_t bytes)
{
    if (servedConnection != nullptr)
        servedConnection->received(bytes);
}

// Notes that the request is complete. Returns false if its connection was closed for another one.
bool noteComplete()
{
    return servedConnection == nullptr || servedConnection->runsRequest();
}

bool hasBody(const Poco::Net::HTTPServerRequest& request)
{
    return request.getChunkedTransferEncoding() || (request.hasContentLength() && request.getContentLength64() > 0);
}

Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

// Checks the head with the strict parser of lovagecross/http. POCO's parser accepts malformed heads, whose message
// framing can be ambiguous.
bool isWellFormed(const Poco::Net::HTTPServerRequest& request)
{
    HeaderList headers;
    for (const auto& [name, value] : request)
        headers.add(name, value);
    std::string head = request.getMethod() + ' ' + request.getURI() + ' ' + request.getVersion() + "\r\n";
    for (const HeaderField& field : headers.fields())
        head += field.name + ": " + field.value + "\r\n";
    return parseRequestHead(head + "\r\n").problem == HeadError::None;
}

// Answers a malformed request and closes its connection.
class MalformedHandler final : public Poco::Net::HTTPRequestHandler {
public:
    void handleRequest(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response) override
    {
        response.setVersion(std::string(responseVersion)); // POCO echoes the version token of the request
        response.setKeepAlive(false);
        sendAnswer(response,
            errorAnswer({ ErrorCode::BadRequest, "malformed request line or header fields", {}, RunState::NotRun,
                Duration(0) }));
    }
};

class FunctionHandler final : public Poco::Net::HTTPRequestHandler {
public:
    FunctionHandler(HttpHandler handler, std::shared_ptr<std::atomic<int>> active)
        : handler(std::move(handler))
        , activeRequests(std::move(active))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        if (!hasBody(request) && !noteComplete())
            return;
        ++*this->activeRequests;
        response.setVersion(std::string(responseVersion));
        // POCO treats a malformed chunk as the end of the body. Closing the connection keeps the bytes that follow from
        // being parsed as another request.
        if (request.getChunkedTransferEncoding())
            response.setKeepAlive(false);
        try {
            this->handler(request, response);
        } catch (const std::exception& error) {
            if (!response.sent())
                sendAnswer(
                    response, errorAnswer({ ErrorCode::Internal, error.what(), {}, RunState::Unknown, Duration(0) }));
        }
        --*this->activeRequests;
        if (servedConnection != nullptr)
            servedConnection->waits();
    }

private:
    HttpHandler handler;
    std::shared_ptr<std::atomic<int>> activeRequests;
};

class FunctionHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    FunctionHandlerFactory(HttpHandler handler, std::shared_ptr<std::atomic<int>> active)
        : handler(std::move(handler))
        , activeRequests(std::move(active))
    {
    }

    // Closes the idle connections and, if `abort` is set, also those with a request in progress.
    void stopConnections(bool abort) { this->serverStopped(this, abort); }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override
    {
        if (!isWellFormed(request))
            return new MalformedHandler;
        return new FunctionHandler(this->handler, this->activeRequests);
    }

private:
    HttpHandler handler;
    std::shared_ptr<std::atomic<int>> activeRequests;
};

class GuardedConnection final : public Poco::Net::HTTPServerConnection {
public:
    GuardedConnection(const Poco::Net::StreamSocket& connected, const Poco::Net::HTTPServerParams::Ptr& serverParams,
        const Poco::SharedPtr<FunctionHandlerFactory>& handlers, std::unique_ptr<AcceptedConnection> connection)
        : Poco::Net::HTTPServerConnection(connected, serverParams, handlers)
        , accepted(std::move(connection))
    {
    }

    // On a malformed Content-Length, POCO throws before it creates a handler, after closing the socket without sending
    // a response. A duplicate of the socket's descriptor lets this method still send 400.
    void run() override
    {
        int descriptor = this->accepted->descriptor();
        servedConnection = &this->accepted->connection();
        try {
            Poco::Net::HTTPServerConnection::run();
        } catch (const Poco::DataException&) {
            constexpr std::string_view answer
                = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n";
            if (descriptor >= 0 && ::send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL) < 0)
                LogLine(LogLevel::Info, "caller_left").field("status", 400).write();
        } catch (const std::exception& error) {
            LogLine(LogLevel::Info, "caller_connection").field("error", error.what()).write();
        }
        servedConnection = nullptr;
        this->accepted.reset();
    }

private:
    std::unique_ptr<AcceptedConnection> accepted;
};

// Makes room for each new connection.
class ConnectionFilter final : public Poco::Net::TCPServerConnectionFilter {
public:
    explicit ConnectionFilter(std::shared_ptr<ListenerConnections> shared)
        : connections(std::move(shared))
    {
    }

    bool accept(const Poco::Net::StreamSocket& socket) override
    {
        if (!this->connections->makeRoom())
            return false;
        this->connections->add(socket);
        return true;
    }

private:
    std::shared_ptr<ListenerConnections> connections;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
public:
    ConnectionFactory(Poco::Net::HTTPServerParams::Ptr serverParams, Poco::SharedPtr<FunctionHandlerFactory> handlers,
        std::shared_ptr<ListenerConnections> shared)
        : params(std::move(serverParams))
        , handlerFactory(std::move(handlers))
        , connections(std::move(shared))
    {
    }

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new GuardedConnection(socket, this->params, this->handlerFactory, this->connections->take(socket));
    }

private:
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::SharedPtr<FunctionHandlerFactory> handlerFactory;
    std::shared_ptr<ListenerConnections> connections;
};

} // namespace

void endInput(Poco::Net::HTTPServerRequest& request)
{
    ::shutdown(socketOf(request).impl()->sockfd(), SHUT_RD);
}

Result<std::string> readBody(
    Poco::Net::HTTPServerRequest& request, std::size_t maxBytes, BufferReservation* reservation)
{
    std::string tooLarge = "the body exceeds the limit of " + std::to_string(maxBytes) + " bytes";
    bool announced = request.hasContentLength();
    if (announced && request.getContentLength64() > static_cast<std::int64_t>(maxBytes))
        return fail(ErrorCode::TooLarge, "body", tooLarge);
    const Error outOfMemory { ErrorCode::Overloaded, "the memory for request bodies is used up", {}, RunState::NotRun,
        memoryRetryAfter };
    std::string body;
    std::array<char, 8192> buffer;
    std::size_t limit = announced ? static_cast<std::size_t>(request.getContentLength64()) : maxBytes + buffer.size();
    std::istream& stream = request.stream();
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        std::size_t size = body.size() + static_cast<std::size_t>(stream.gcount());
        noteReceived(size);
        if (reservation != nullptr && !reservation->grow(body, size, limit))
            return fail(outOfMemory);
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > maxBytes)
            return fail(ErrorCode::TooLarge, "body", tooLarge);
    }
    if ((reservation != nullptr && !reservation->complete()) || !noteComplete())
        return fail(outOfMemory);
    if (announced && static_cast<std::int64_t>(body.size()) < request.getContentLength64())
        return fail(ErrorCode::BadRequest, "body", "is shorter than Content-Length");
    return body;
}

void discardBody(Poco::Net::HTTPServerRequest& request)
{
    socketOf(request).setReceiveTimeout(discardTimeout);
    std::array<char, 8192> buffer;
    std::istream& stream = request.stream();
    std::size_t discarded = 0;
    while (discarded < maxDiscardedBytes && (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0))
        discarded += static_cast<std::size_t>(stream.gcount());
}

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const std::string& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType("application/json");
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body;
}

void sendAnswer(Poco::Net::HTTPServerResponse& response, const ForwardEnd& answer)
{
    sendJson(response, answer.httpStatus, answer.bodyJson);
}

std::string bearerToken(const Poco::Net::HTTPServerRequest& request)
{
    constexpr std::string_view prefix = "Bearer ";
    std::string header = request.get("Authorization", "");
    return header.compare(0, prefix.size(), prefix) == 0 ? header.substr(prefix.size()) : std::string();
}

HttpListener::HttpListener(const HttpListenerSettings& settings, HttpHandler handler)
    : threads(settings.idleThreads, settings.maxConnections, 60, stackBytes)
    , connections(std::make_shared<ListenerConnections>(
          static_cast<std::size_t>(settings.maxConnections), settings.minWaitToClose))
    , activeRequests(std::make_shared<std::atomic<int>>(0))
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(settings.address), true,
        false); // no SO_REUSEPORT: two processes must not share an address
    socket.setReceiveBufferSize(receiveBufferBytes); // accepted sockets inherit it
    socket.listen(listenBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(settings.maxConnections);
    params->setMaxQueued(settings.maxConnections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    params->setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
    Poco::SharedPtr<FunctionHandlerFactory> handlers(
        new FunctionHandlerFactory(std::move(handler), this->activeRequests));
    this->stopConnections = [handlers]() mutable { handlers->stopConnections(true); };
    this->server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(params, handlers, this->connections), this->threads, socket, params);
    this->server->setConnectionFilter(new ConnectionFilter(this->connections));
}

HttpListener::~HttpListener()
{
    this->stop(Duration(0));
}

void HttpListener::start()
{
    this->server->start();
}

void HttpListener::stop(Duration timeout)
{
    if (std::exchange(this->stopped, true))
        return;
    this->server->stop();
    this->connections->closeWaiting();
    auto end = std::chrono::steady_clock::now() + timeout;
    while (*this->activeRequests > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    this->stopConnections();
}

} // namespace lovagecross
