#pragma once

// HTTP/1.1 message heads (start line and header fields): strict parsing, body framing, and formatting.
//
//     ParsedRequest parsed = parseRequestHead(bytesUpToTheEmptyLine);
//     if (parsed.problem != HeadError::None)
//         ... respond with 400 and close the connection: where the next request starts is unknown
//
// Prevents request smuggling by accepting only heads with unambiguous framing: a message with both Content-Length and
// chunked encoding, with two lengths, with folded lines or lines that end with a bare LF, or with an unknown transfer
// encoding is malformed. So a backend server sees as one request exactly the bytes that were checked here as one
// request.
//
// Thread safety: values and free functions without shared state.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct HeaderField {
    std::string name;
    std::string value;
};

class HeaderList {
public:
    void add(std::string_view name, std::string_view value);

    // Replaces all fields of this name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    // Returns the value of the first field of this name, compared case-insensitively; nullptr if there is none.
    const std::string* find(std::string_view name) const;
    bool has(std::string_view name) const { return this->find(name) != nullptr; }

    const std::vector<HeaderField>& fields() const { return this->list; }

private:
    std::vector<HeaderField> list;
};

// ASCII only.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Whether the comma-separated list `value` contains `token`, compared case-insensitively.
bool listHasToken(std::string_view value, std::string_view token);

// Parses an unsigned 64-bit decimal number. Returns nullopt for anything else, such as a sign, spaces or an overflow.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose, // responses only: the end of the connection delimits the body
};

struct Framing {
    BodyFraming kind = BodyFraming::None;
    std::uint64_t length = 0; // for BodyFraming::Length
};

enum class HeadError {
    None,
    Malformed,
    UnsupportedVersion,
    UnsupportedEncoding,
};

struct RequestHead {
    std::string method;
    std::string target; // path and query as received
    HeaderList headers;
    Framing framing;
    bool keepAlive = true;
    bool expectsContinue = false;

    std::string_view path() const;
};

struct ParsedRequest {
    HeadError problem = HeadError::Malformed;
    RequestHead head;
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderList headers;
    Framing framing;
    bool keepAlive = true;
};

// `bytes` is one whole head including its final empty line.
ParsedRequest parseRequestHead(std::string_view bytes);

// Returns nullopt for a malformed head. `toHeadRequest`: the response answers a HEAD request, so it has no body
// whatever its header fields say.
std::optional<ResponseHead> parseResponseHead(std::string_view bytes, bool toHeadRequest);

std::string printRequestHead(std::string_view method, std::string_view target, const HeaderList& headers);
std::string printResponseHead(int status, std::string_view reason, const HeaderList& headers);

// Formats a whole error response of the scheduler itself: `headers`, and a JSON object with `reason`, which must not
// contain characters that JSON escapes.
std::string printError(int status, std::string_view reason, HeaderList headers);

// Returns the standard reason phrase of a status code, such as "Not Found".
std::string_view reasonPhrase(int status);

// Whether a field must not be forwarded: hop-by-hop fields such as Connection, Keep-Alive and Transfer-Encoding, the
// fields that the message's Connection field names, and Content-Length, because the forwarded message gets its own
// framing.
bool isHopByHopField(std::string_view name, const HeaderList& headers);

} // namespace lovagecross
