#pragma once

// A caller that sends one request over a connection of its own and reads the response as it arrives.
//
//     Caller caller(address);
//     caller.send(requestText);
//     Response response = caller.read(seconds(5));
//
// Thread safety: none; one thread uses a caller.

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review2 {

struct Response {
    int status = 0; // 0: no head arrived
    std::string head;
    std::string body; // decoded; what has arrived
    bool complete = false; // the body's framing says that it is whole
};

class Caller {
public:
    // `address` is 127.0.0.1:PORT.
    explicit Caller(const std::string& address)
    {
        sockaddr_in peer {};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) != 0)
            this->closed = true;
    }
    ~Caller() { ::close(this->descriptor); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    bool connected() const { return !this->closed; }

    void send(std::string text)
    {
        while (!text.empty() && !this->closed) {
            ssize_t count = ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0)
                this->closed = true;
            else
                text.erase(0, static_cast<std::size_t>(count));
        }
    }

    // Reads until the response is complete, the connection ends, the time is over, or `enough` accepts what is there.
    Response read(std::chrono::milliseconds time, const std::function<bool(const Response&)>& enough = {})
    {
        auto end = std::chrono::steady_clock::now() + time;
        for (;;) {
            Response response = this->parse();
            auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
            if (response.complete || this->closed || left <= 0 || (enough && enough(response)))
                return response;
            pollfd item { this->descriptor, POLLIN, 0 };
            if (::poll(&item, 1, static_cast<int>(left)) <= 0)
                continue;
            char bytes[16 * 1024];
            ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
            if (count <= 0)
                this->closed = true;
            else
                this->received.append(bytes, static_cast<std::size_t>(count));
        }
    }

    // Before the next request on the same connection; the response before must be complete.
    void forgetResponse() { this->received.clear(); }

private:
    Response parse() const
    {
        Response response;
        std::size_t end = this->received.find("\r\n\r\n");
        if (end == std::string::npos)
            return response;
        response.head = this->received.substr(0, end + 2);
        response.status = std::stoi(response.head.substr(9, 3));
        std::string rest = this->received.substr(end + 4);
        std::size_t length = response.head.find("Content-Length: ");
        if (length != std::string::npos) {
            std::size_t size = std::stoul(response.head.substr(length + 16));
            response.body = rest.substr(0, size);
            response.complete = rest.size() >= size;
            return response;
        }
        std::size_t at = 0;
        for (;;) {
            std::size_t line = rest.find("\r\n", at);
            if (line == std::string::npos)
                return response;
            std::size_t size = std::stoul(rest.substr(at, line - at), nullptr, 16);
            if (rest.size() < line + 2 + size + 2)
                return response;
            response.body += rest.substr(line + 2, size);
            at = line + 2 + size + 2;
            if (size == 0) {
                response.complete = true;
                return response;
            }
        }
    }

    int descriptor = -1;
    bool closed = false;
    std::string received;
};

} // namespace review2
