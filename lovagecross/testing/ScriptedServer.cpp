#include "lovagecross/testing/ScriptedServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <list>
#include <mutex>
#include <strings.h>
#include <thread>

namespace lovagecross::testing {

namespace {

constexpr int readBytes = 4096;

// Appends what arrives; false at the end of the connection.
bool receive(Poco::Net::StreamSocket& socket, std::string& buffer)
{
    char bytes[readBytes];
    int count = 0;
    try {
        count = socket.receiveBytes(bytes, sizeof(bytes));
    } catch (const Poco::Exception&) {
        return false;
    }
    if (count > 0)
        buffer.append(bytes, static_cast<std::size_t>(count));
    return count > 0;
}

} // namespace

struct ScriptedServer::State {
    Script script;
    Poco::Net::ServerSocket listener;
    std::thread acceptor;
    std::mutex mutex;
    std::list<Poco::Net::StreamSocket> sockets;
    std::list<std::thread> threads;
    std::atomic<int> requestCount { 0 };
    std::atomic<bool> stopping { false };

    void acceptAll()
    {
        int connections = 0;
        while (!this->stopping) {
            if (!this->listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                continue;
            Poco::Net::StreamSocket socket = this->listener.acceptConnection();
            std::lock_guard lock(this->mutex);
            this->sockets.push_back(socket);
            this->threads.emplace_back([this, socket, number = ++connections] { this->serve(socket, number); });
        }
    }

    void serve(Poco::Net::StreamSocket socket, int connectionNumber)
    {
        std::string buffer;
        ScriptedConnection connection(socket);
        for (int number = 1;; ++number) {
            ScriptedRequest request;
            request.number = number;
            request.connection = connectionNumber;
            if (!this->readRequest(socket, buffer, request))
                break;
            ++this->requestCount;
            if (!this->script(request, connection))
                break;
        }
        try {
            socket.shutdown();
        } catch (const Poco::Exception&) { // it has ended already
        }
    }

    static bool readRequest(Poco::Net::StreamSocket& socket, std::string& buffer, ScriptedRequest& request)
    {
        std::size_t end = std::string::npos;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(socket, buffer))
                return false;
        }
        request.head = buffer.substr(0, end + 4);
        buffer.erase(0, end + 4);
        std::string length = request.header("Content-Length");
        std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < size) {
            if (!receive(socket, buffer))
                return false;
        }
        request.body = buffer.substr(0, size);
        buffer.erase(0, size);
        return true;
    }
};

std::string ScriptedRequest::header(const std::string& name) const
{
    std::size_t line = this->head.find("\r\n") + 2;
    while (line < this->head.size()) {
        std::size_t end = this->head.find("\r\n", line);
        std::string text = this->head.substr(line, end - line);
        std::size_t colon = text.find(':');
        if (colon == name.size() && strncasecmp(text.c_str(), name.c_str(), colon) == 0)
            return text.substr(text.find_first_not_of(' ', colon + 1));
        line = end + 2;
    }
    return {};
}

bool ScriptedConnection::write(const std::string& bytes)
{
    try {
        return this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())) == static_cast<int>(bytes.size());
    } catch (const Poco::Exception&) {
        return false;
    }
}

void ScriptedConnection::reset()
{
    this->socket.setLinger(true, 0);
    this->socket.close();
}

bool ScriptedConnection::waitForClose()
{
    try {
        this->socket.setReceiveTimeout(Poco::Timespan(5, 0));
        char byte = 0;
        return this->socket.receiveBytes(&byte, 1) <= 0;
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true;
    }
}

ScriptedServer::ScriptedServer(Script script)
    : state(std::make_shared<State>())
{
    this->state->script = std::move(script);
    this->state->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->state->listener.listen(64);
    this->state->acceptor = std::thread([state = this->state] { state->acceptAll(); });
}

ScriptedServer::~ScriptedServer()
{
    this->state->stopping = true;
    this->state->acceptor.join();
    for (Poco::Net::StreamSocket& socket : this->state->sockets) {
        try {
            socket.shutdown();
        } catch (const Poco::Exception&) { // it has ended already
        }
    }
    for (std::thread& thread : this->state->threads)
        thread.join();
}

std::string ScriptedServer::address() const
{
    return this->state->listener.address().toString();
}

int ScriptedServer::requests() const
{
    return this->state->requestCount;
}

} // namespace lovagecross::testing
