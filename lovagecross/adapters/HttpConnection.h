#pragma once

// An HTTP/1.1 client connection that reports how far a request got. Only for the HTTP adapters here and in platform/,
// since this header includes POCO.
//
// Poco::Net::HTTPClientSession alone isn't enough: it silently resends a request when a reused connection turns out to
// be closed, its timeouts apply to single reads and not to the whole exchange, and it treats a truncated chunked body
// as complete.
//
// Thread safety: not thread-safe; use from one thread at a time.

#include "lovagecross/base/Clock.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecross::detail {

// How an exchange ended.
enum class HttpEnd {
    Complete,
    NotSent, // no byte of the request was sent
    ConnectionFailed, // bytes were sent; the connection closed, or the response is malformed or truncated
    ProgressTimeout, // `HttpLimits::progressDeadline` passed
    DeadlinePassed, // `HttpLimits::deadline` passed
    TooLarge, // the response body or a line of it exceeds its size limit
};

struct HttpCall {
    std::string method;
    std::string path; // includes the query; already percent-encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string_view body;
    std::string contentType = "application/json";
};

struct HttpLimits {
    TimePoint deadline; // for the whole exchange, measured on the connection's clock
    Duration connectTimeout = std::chrono::seconds(2);
    TimePoint progressDeadline = TimePoint::max(); // extended by `setProgressDeadline` as the response arrives
};

class DeadlineSocket;
class NonRetryingSession;

class HttpConnection {
public:
    // `address` is host:port. With a malformed address, `exchange` returns NotSent.
    HttpConnection(std::string address, const Clock& clock);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    // Connects if needed, sends the request and reads the status line and headers of the response.
    HttpEnd exchange(const HttpCall& call, const HttpLimits& limits, Poco::Net::HTTPResponse& response);

    // Reads the response body. Returns ConnectionFailed for a body with neither Content-Length nor chunked encoding,
    // since its completeness can't be verified.
    HttpEnd readBody(std::string& body, std::size_t maxBytes);

    // Reads one line and strips its line ending. At the end of the body, returns Complete and sets `atEnd`.
    HttpEnd readLine(std::string& line, std::size_t maxBytes, bool& atEnd);

    // Sets the deadline for the next progress. The caller decides what counts as progress, since received bytes alone
    // don't: a peer could send comments indefinitely.
    void setProgressDeadline(TimePoint progressDeadline);

    // Whether the last response was read completely, the connection is open and the peer has sent no unexpected data.
    bool isReusable();

    bool responseStarted() const; // at least one byte of the response has arrived
    const std::string& errorMessage() const { return this->errorText; }

private:
    HttpEnd fail(const char* what);
    bool isBodyComplete(std::size_t bytesRead);

    std::string address;
    const Clock& clock;
    DeadlineSocket* socket = nullptr; // owned by `session`
    std::unique_ptr<NonRetryingSession> session;
    const Poco::Net::HTTPResponse* currentResponse = nullptr;
    std::streambuf* bodyBuffer = nullptr;
    bool responseComplete = false;
    std::string errorText;
};

// Parses the header as an unsigned decimal number into `value`. Returns false if it is missing or malformed.
bool readNumberHeader(const Poco::Net::HTTPResponse& response, const std::string& name, std::uint64_t& value);

// The value of the `Retry-After-Ms` header, capped at one minute; 0 if it is missing or malformed.
Duration readRetryAfter(const Poco::Net::HTTPResponse& response);

// The `error.code` field of a JSON error body, or an empty string if there is none.
std::string readErrorCode(const std::string& body);

// Whether the text is safe as a header value. Only printable ASCII is allowed, which prevents header injection.
bool isHeaderValue(std::string_view text);

// Percent-encodes all characters except [A-Za-z0-9._~-] and, if `keepSlash` is set, `/`.
std::string encodePath(std::string_view text, bool keepSlash);

} // namespace lovagecross::detail
