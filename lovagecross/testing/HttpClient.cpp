#include "lovagecross/testing/HttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <istream>
#include <ostream>
#include <stdexcept>

namespace lovagecross::testing {

namespace {

class Request {
public:
    Request(const std::string& url, Duration timeout)
        : uri(url)
        , deadline(std::chrono::steady_clock::now() + timeout)
        , session(this->uri.getHost(), this->uri.getPort())
    {
        if (this->uri.getHost() != "127.0.0.1")
            throw std::invalid_argument("tests only call 127.0.0.1, not " + url);
    }

    void send(const std::string& method, const std::string& body, const HttpHeaders& headers)
    {
        Poco::Net::HTTPRequest request(method, this->uri.getPathAndQuery(), Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.setKeepAlive(false);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        if (!body.empty() && !request.has("Content-Type"))
            request.setContentType("application/json");
        this->session.setTimeout(this->remaining());
        std::ostream& output = this->session.sendRequest(request);
        output.write(body.data(), static_cast<std::streamsize>(body.size()));
        output.flush();
    }

    void receive(HttpAnswer& answer, const std::function<bool(std::string_view)>& onChunk)
    {
        Poco::Net::HTTPResponse response;
        this->limitNextRead();
        std::istream& input = this->session.receiveResponse(response);
        answer.status = response.getStatus();
        for (const auto& [name, value] : response)
            answer.headers[name] = value;
        while (this->readAvailable(input, answer, onChunk)) { }
        const Poco::Int64 expected = response.hasContentLength() ? response.getContentLength64() : 0;
        if (expected > static_cast<Poco::Int64>(answer.body.size()))
            answer.error = "the connection ended in the middle of the body";
    }

    void fetchError(HttpAnswer& answer) const
    {
        if (const Poco::Exception* error = this->session.networkException())
            answer.error = error->displayText();
    }

private:
    // False at the end of the body.
    bool readAvailable(std::istream& input, HttpAnswer& answer, const std::function<bool(std::string_view)>& onChunk)
    {
        this->limitNextRead();
        if (input.peek() == std::istream::traits_type::eof())
            return this->ended(answer);
        std::array<char, 8192> buffer {};
        const auto wanted = std::min<std::streamsize>(buffer.size(), input.rdbuf()->in_avail());
        const auto received = static_cast<std::size_t>(input.rdbuf()->sgetn(buffer.data(), wanted));
        answer.body.append(buffer.data(), received);
        return !onChunk || answer.status != 200 || onChunk({ buffer.data(), received });
    }

    bool ended(HttpAnswer& answer) const
    {
        this->fetchError(answer);
        return false;
    }

    Poco::Timespan remaining() const
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::microseconds>(this->deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            throw Poco::TimeoutException("no complete answer in time");
        return { static_cast<Poco::Timespan::TimeDiff>(left.count()) };
    }

    void limitNextRead() { this->session.socket().setReceiveTimeout(this->remaining()); }

    const Poco::URI uri;
    const std::chrono::steady_clock::time_point deadline;
    Poco::Net::HTTPClientSession session;
};

} // namespace

bool CompareIgnoringCase::operator()(const std::string& left, const std::string& right) const
{
    return Poco::icompare(left, right) < 0;
}

HttpAnswer httpStream(const std::string& method, const std::string& url, const std::string& body,
    const HttpHeaders& headers, Duration timeout, const std::function<bool(std::string_view chunk)>& onChunk)
{
    // A write to a connection that the server has closed would end the test process.
    static const auto previousHandler = std::signal(SIGPIPE, SIG_IGN);
    static_cast<void>(previousHandler);
    HttpAnswer answer;
    Request request(url, timeout);
    try {
        request.send(method, body, headers);
        request.receive(answer, onChunk);
    } catch (const Poco::Exception& error) {
        answer.error = error.displayText();
    }
    return answer;
}

HttpAnswer httpRequest(const std::string& method, const std::string& url, const std::string& body,
    const HttpHeaders& headers, Duration timeout)
{
    return httpStream(method, url, body, headers, timeout, {});
}

} // namespace lovagecross::testing
