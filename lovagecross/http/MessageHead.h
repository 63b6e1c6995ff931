#pragma once

// HTTP/1.1 message heads: strict parsing, framing of the body, and printing.
//
//     ParsedRequest parsed = parseRequestHead(bytesUpToTheEmptyLine);
//     if (parsed.problem != HeadProblem::None)
//         ... answer 400 and close the connection: its framing is in doubt
//
// A head has one framing only: a message with both a length and chunked encoding, with two lengths, with folded or
// bare-LF lines or with an unknown transfer encoding is malformed. So the bytes that a backend server sees as one
// request are those that were checked here as one request.
//
// Thread safety: free functions over values.

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

    // Removes every field of this name, then adds one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    // The first field of this name, compared without regard to case; nullptr when there is none.
    const std::string* find(std::string_view name) const;
    bool has(std::string_view name) const { return this->find(name) != nullptr; }

    const std::vector<HeaderField>& fields() const { return this->list; }

private:
    std::vector<HeaderField> list;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Whether the comma-separated list `value` has `token`, compared without regard to case.
bool listHasToken(std::string_view value, std::string_view token);

// An unsigned decimal number without sign or spaces; nullopt for anything else.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose, // answers only: the body ends with the connection
};

struct Framing {
    BodyFraming kind = BodyFraming::None;
    std::uint64_t length = 0; // for BodyFraming::Length
};

enum class HeadProblem {
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
    HeadProblem problem = HeadProblem::Malformed;
    RequestHead head;
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderList headers;
    Framing framing;
    bool keepAlive = true;
};

// `bytes` holds the head with its final empty line.
ParsedRequest parseRequestHead(std::string_view bytes);

// nullopt for a malformed head. `toHeadRequest` says that the answer has no body whatever its headers say.
std::optional<ResponseHead> parseResponseHead(std::string_view bytes, bool toHeadRequest);

std::string printRequestHead(std::string_view method, std::string_view target, const HeaderList& headers);
std::string printResponseHead(int status, std::string_view reason, const HeaderList& headers);

// A whole answer of this system itself: `headers`, and a JSON object with the reason, which must need no escapes.
std::string printError(int status, std::string_view reason, HeaderList headers);

// The standard phrase of a status code, such as "Not Found".
std::string_view reasonPhrase(int status);

// Whether a field concerns one connection only and is not forwarded: Connection, Keep-Alive, Transfer-Encoding and the
// like, Content-Length (framing is set anew), and whatever the message's Connection field names.
bool isConnectionField(std::string_view name, const HeaderList& headers);

} // namespace lovagecross
