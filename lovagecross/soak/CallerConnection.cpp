#include "lovagecross/soak/CallerConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <string_view>

namespace lovagecross::soak {

namespace {

constexpr long connectTimeoutSeconds = 1;
constexpr std::string_view lengthField = "Content-Length: ";
constexpr std::string_view streamEnd = "0\r\n\r\n";

bool isComplete(const std::string& bytes)
{
    std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::size_t length = bytes.find(lengthField);
    if (length < end)
        return bytes.size() >= end + 4 + std::stoul(bytes.substr(length + lengthField.size()));
    return bytes.ends_with(streamEnd);
}

bool saysClose(const std::string& bytes)
{
    return bytes.substr(0, bytes.find("\r\n\r\n")).find("Connection: close") != std::string::npos;
}

} // namespace

void CallerConnection::close()
{
    this->address.clear();
    this->socket.close();
}

void CallerConnection::closeIfEnded()
{
    if (this->address.empty())
        return;
    try {
        char byte = 0;
        if (!this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return;
        this->socket.receiveBytes(&byte, 1); // no response is due: the end, or a reset
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): it was reset
    }
    this->close();
}

std::optional<RawResponse> CallerConnection::exchange(
    const std::string& node, const std::string& request, std::chrono::milliseconds timeout)
{
    RawResponse response;
    try {
        if (this->address.empty()) {
            this->socket = Poco::Net::StreamSocket();
            this->socket.connect(Poco::Net::SocketAddress(node), Poco::Timespan(connectTimeoutSeconds, 0));
            this->socket.setNoDelay(true);
            this->address = node;
        }
        this->socket.setReceiveTimeout(Poco::Timespan(0, timeout.count() * 1000));
        this->socket.sendBytes(request.data(), static_cast<int>(request.size()));
    } catch (const Poco::Exception&) {
        this->close();
        return std::nullopt;
    }
    response.sent = std::chrono::steady_clock::now();
    this->read(response);
    response.ended = std::chrono::steady_clock::now();
    if (!response.complete || saysClose(response.bytes))
        this->close();
    return response;
}

// Reads until the response is complete or the connection ends.
void CallerConnection::read(RawResponse& response)
{
    char buffer[4096];
    try {
        while (!response.complete) {
            int count = this->socket.receiveBytes(buffer, sizeof(buffer));
            if (count <= 0)
                return;
            response.bytes.append(buffer, static_cast<std::size_t>(count));
            response.complete = isComplete(response.bytes);
        }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): what has arrived is kept
    }
}

} // namespace lovagecross::soak
