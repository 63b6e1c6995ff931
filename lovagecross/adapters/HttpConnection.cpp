#include "lovagecross/adapters/HttpConnection.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <charconv>
#include <istream>
#include <ostream>
#include <sstream>
#include <sys/socket.h>

namespace lovagecross::detail {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::uint64_t maxRetryAfterMillis = 60'000;
constexpr int minHttpStatus = 100;
constexpr int maxHttpStatus = 511; // the highest that the library's enum can represent
constexpr int maxJsonDepth = 16; // for error bodies
constexpr std::size_t maxResponseHeadBytes = 128 * 1024; // with the body bytes that arrive together with the head

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

} // namespace

// A socket that counts the bytes it transfers and limits every wait by the deadlines of the exchange.
class DeadlineSocket : public Poco::Net::StreamSocketImpl {
public:
    enum class Timeout {
        None,
        Progress,
        Deadline,
    };

    explicit DeadlineSocket(const Clock& clock)
        : clock(clock)
    {
    }

    void startExchange(const HttpLimits& newLimits)
    {
        this->limits = newLimits;
        this->bytesSent = 0;
        this->bytesReceived = 0;
        this->receivedTail.clear();
        this->readingHead = true;
        this->expiredTimeout = Timeout::None;
    }

    int sendBytes(const void* buffer, int length, int flags) override
    {
        const char* bytes = static_cast<const char*>(buffer);
        const int allFlags = flags | MSG_DONTWAIT | MSG_NOSIGNAL;
        int sent = 0;
        while (sent < length) {
            this->waitUntilReady(SELECT_WRITE);
            // StreamSocketImpl::sendBytes loops internally and loses the byte count if it fails part-way.
            // NOLINTNEXTLINE(bugprone-parent-virtual-call)
            int count = Poco::Net::SocketImpl::sendBytes(bytes + sent, length - sent, allFlags);
            if (count > 0) {
                sent += count;
                this->bytesSent += static_cast<std::size_t>(count);
            }
        }
        return sent;
    }

    int receiveBytes(void* buffer, int length, int flags) override
    {
        this->waitUntilReady(SELECT_READ);
        int count = Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
        // The library takes the end of the connection for the end of the head.
        if (count == 0 && this->readingHead)
            throw Poco::Net::MessageException("the connection ended inside the response head");
        if (count > 0) {
            this->bytesReceived += static_cast<std::size_t>(count);
            if (this->readingHead && this->bytesReceived > maxResponseHeadBytes)
                throw Poco::Net::MessageException("the response head is too long");
            this->receivedTail.append(static_cast<const char*>(buffer), static_cast<std::size_t>(count));
            if (this->receivedTail.size() > lastChunk.size())
                this->receivedTail.erase(0, this->receivedTail.size() - lastChunk.size());
        }
        return count;
    }

    HttpLimits limits;
    std::size_t bytesSent = 0;
    std::size_t bytesReceived = 0;
    bool readingHead = true; // of the response, interim responses included
    std::string receivedTail; // the last bytes received
    Timeout expiredTimeout = Timeout::None;

protected:
    ~DeadlineSocket() override = default;

private:
    void waitUntilReady(int mode)
    {
        bool deadlineFirst = this->limits.deadline <= this->limits.progressDeadline;
        Duration wait = (deadlineFirst ? this->limits.deadline : this->limits.progressDeadline) - this->clock.now();
        if (wait > Duration(0) && this->poll(toTimespan(wait), mode))
            return;
        this->expiredTimeout = deadlineFirst ? Timeout::Deadline : Timeout::Progress;
        throw Poco::TimeoutException();
    }

    const Clock& clock;
};

// Whether the status is one of HTTP. The library takes any number of up to three digits into an enum, and reading one
// that the enum can't represent is undefined, so the status is read from the printed response.
bool hasHttpStatus(const Poco::Net::HTTPResponse& response)
{
    std::ostringstream printed;
    response.write(printed);
    std::string text = printed.str();
    std::size_t start = std::min(text.find(' '), text.size());
    int status = 0;
    std::from_chars(text.data() + std::min(start + 1, text.size()), text.data() + text.size(), status);
    return status >= minHttpStatus && status <= maxHttpStatus;
}

class NonRetryingSession : public Poco::Net::HTTPClientSession {
public:
    explicit NonRetryingSession(const Poco::Net::StreamSocket& socket)
        : Poco::Net::HTTPClientSession(socket)
    {
    }

    // Whether data follows the end of the last response. It would be parsed as the start of the next response.
    bool hasUnreadData() const { return this->buffered() > 0; }

protected:
    // The base class reconnects and repeats the write if a reused connection fails. Here the caller decides on retries.
    int write(const char* buffer, std::streamsize length) override
    {
        return Poco::Net::HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
    }
};

HttpConnection::HttpConnection(std::string address, const Clock& clock)
    : address(std::move(address))
    , clock(clock)
    , socket(new DeadlineSocket(clock))
    , session(std::make_unique<NonRetryingSession>(Poco::Net::StreamSocket(this->socket)))
{
    this->session->setKeepAlive(true);
}

HttpConnection::~HttpConnection() = default;

HttpEnd HttpConnection::exchange(const HttpCall& call, const HttpLimits& limits, Poco::Net::HTTPResponse& response)
{
    this->responseComplete = false;
    this->bodyBuffer = nullptr;
    this->errorText.clear();
    this->socket->startExchange(limits);
    Duration remaining = limits.deadline - this->clock.now();
    if (remaining <= Duration(0)) {
        this->errorText = "the deadline passed before the request was sent";
        return HttpEnd::NotSent;
    }
    try {
        if (!this->session->connected()) {
            Poco::Net::SocketAddress peer(this->address);
            this->session->setHost(peer.host().toString());
            this->session->setPort(peer.port());
            Duration connectTimeout = std::min(limits.connectTimeout, remaining);
            this->session->setTimeout(toTimespan(connectTimeout), toTimespan(remaining), toTimespan(remaining));
        }
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            request.setContentType(call.contentType);
            request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        }
        std::ostream& out = this->session->sendRequest(request);
        out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
        out.flush();
        if (!out.good())
            return this->fail("sending the request failed");
        this->bodyBuffer = this->session->receiveResponse(response).rdbuf();
        this->socket->readingHead = false;
        if (!hasHttpStatus(response))
            return this->fail("the response has a status that HTTP does not define");
    } catch (const Poco::Exception& error) {
        return this->fail(error.displayText().c_str());
    } catch (const std::exception& error) {
        return this->fail(error.what());
    }
    this->currentResponse = &response;
    return HttpEnd::Complete;
}

HttpEnd HttpConnection::readBody(std::string& body, std::size_t maxBytes)
{
    constexpr std::size_t maxReadSize = 16 * 1024;
    constexpr int end = std::char_traits<char>::eof();
    body.clear();
    try {
        while (this->bodyBuffer->sgetc() != end) {
            std::streamsize available = this->bodyBuffer->in_avail();
            auto readSize = std::min(maxReadSize, static_cast<std::size_t>(std::max<std::streamsize>(1, available)));
            std::size_t size = body.size();
            if (size + readSize > maxBytes) {
                this->errorText = "the response body exceeds " + std::to_string(maxBytes) + " bytes";
                this->session->reset();
                return HttpEnd::TooLarge;
            }
            body.resize(size + readSize);
            auto count = this->bodyBuffer->sgetn(body.data() + size, static_cast<std::streamsize>(readSize));
            body.resize(size + static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception& error) {
        return this->fail(error.displayText().c_str());
    } catch (const std::exception& error) {
        return this->fail(error.what());
    }
    if (!this->isBodyComplete(body.size()))
        return this->fail("the response is incomplete");
    this->responseComplete = true;
    return HttpEnd::Complete;
}

HttpEnd HttpConnection::readLine(std::string& line, std::size_t maxBytes, bool& atEnd)
{
    line.clear();
    atEnd = false;
    try {
        for (;;) {
            int character = this->bodyBuffer->sbumpc();
            if (character == std::char_traits<char>::eof()) {
                atEnd = true;
                return HttpEnd::Complete;
            }
            if (character == '\n')
                break;
            if (line.size() >= maxBytes) {
                this->errorText = "a line of the response exceeds " + std::to_string(maxBytes) + " bytes";
                return HttpEnd::TooLarge;
            }
            line += static_cast<char>(character);
        }
    } catch (const Poco::Exception& error) {
        return this->fail(error.displayText().c_str());
    } catch (const std::exception& error) {
        return this->fail(error.what());
    }
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return HttpEnd::Complete;
}

void HttpConnection::setProgressDeadline(TimePoint progressDeadline)
{
    this->socket->limits.progressDeadline = progressDeadline;
}

bool HttpConnection::isReusable()
{
    try {
        return this->responseComplete && this->session->connected() && !this->session->hasUnreadData()
            && !this->session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool HttpConnection::responseStarted() const
{
    return this->socket->bytesReceived > 0;
}

HttpEnd HttpConnection::fail(const char* what)
{
    this->errorText = what;
    this->session->reset();
    if (this->socket->bytesSent == 0)
        return HttpEnd::NotSent;
    if (this->socket->expiredTimeout == DeadlineSocket::Timeout::Deadline)
        return HttpEnd::DeadlinePassed;
    if (this->socket->expiredTimeout == DeadlineSocket::Timeout::Progress)
        return HttpEnd::ProgressTimeout;
    return HttpEnd::ConnectionFailed;
}

bool HttpConnection::isBodyComplete(std::size_t bytesRead)
{
    int status = this->currentResponse->getStatus();
    if (status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED)
        return true;
    if (this->currentResponse->getChunkedTransferEncoding())
        return this->socket->receivedTail == lastChunk;
    return this->currentResponse->hasContentLength()
        && static_cast<std::size_t>(this->currentResponse->getContentLength64()) == bytesRead;
}

bool readNumberHeader(const Poco::Net::HTTPResponse& response, const std::string& name, std::uint64_t& value)
{
    std::string text = response.get(name, "");
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

Duration readRetryAfter(const Poco::Net::HTTPResponse& response)
{
    std::uint64_t millis = 0;
    if (!readNumberHeader(response, "Retry-After-Ms", millis))
        return Duration(0);
    return std::chrono::milliseconds(std::min(millis, maxRetryAfterMillis));
}

std::string readErrorCode(const std::string& body)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxJsonDepth);
        auto error = parser.parse(body).extract<Poco::JSON::Object::Ptr>()->getObject("error");
        return error ? error->optValue<std::string>("code", "") : "";
    } catch (const std::exception&) {
        return "";
    }
}

bool isHeaderValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return character >= 0x20 && character < 0x7f; });
}

std::string encodePath(std::string_view text, bool keepSlash)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._~-";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char character : text) {
        if (plain.find(character) != std::string_view::npos || (keepSlash && character == '/')) {
            encoded += character;
            continue;
        }
        auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace lovagecross::detail
