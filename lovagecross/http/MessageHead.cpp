#include "lovagecross/http/MessageHead.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <array>
#include <charconv>

namespace lovagecross {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::array<std::string_view, 9> hopByHopFields { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "upgrade", "expect" };

char toLowerAscii(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isTokenCharacter(char character)
{
    return (character >= '0' && character <= '9') || (toLowerAscii(character) >= 'a' && toLowerAscii(character) <= 'z')
        || tokenPunctuation.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Allows printable ASCII, space, tab and bytes above 127, but no other control characters.
bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        auto byte = static_cast<unsigned char>(character);
        return (byte >= 0x20 && byte != 0x7f) || byte == '\t';
    });
}

bool isTarget(std::string_view text)
{
    return !text.empty() && text.front() == '/' && std::all_of(text.begin(), text.end(), [](char character) {
        auto byte = static_cast<unsigned char>(character);
        return byte > 0x20 && byte != 0x7f;
    });
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

// Removes the next line from `rest` and returns it in `line` without its CRLF. Returns false if there is none or if it
// contains a bare CR or LF.
bool readLine(std::string_view& rest, std::string_view& line)
{
    std::size_t end = rest.find(lineEnd);
    if (end == std::string_view::npos)
        return false;
    line = rest.substr(0, end);
    rest.remove_prefix(end + lineEnd.size());
    return line.find_first_of("\r\n") == std::string_view::npos;
}

// Parses header field lines up to the empty line, which must end `rest`. Rejects obsolete line folding, where a line
// that starts with a space continues the previous one.
bool parseFields(std::string_view rest, HeaderList& headers)
{
    for (;;) {
        std::string_view line;
        if (!readLine(rest, line))
            return false;
        if (line.empty())
            return rest.empty();
        std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return false;
        std::string_view name = line.substr(0, colon);
        std::string_view value = trim(line.substr(colon + 1));
        if (!isToken(name) || !isFieldValue(value))
            return false;
        headers.add(name, value);
    }
}

std::size_t countFields(const HeaderList& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.fields().begin(), headers.fields().end(),
        [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); }));
}

// Determines the body framing from Content-Length and Transfer-Encoding. Returns nullopt if they are repeated, both
// present or not supported. `kind` is None if neither is present.
std::optional<Framing> parseFraming(const HeaderList& headers)
{
    const std::string* encoding = headers.find("Transfer-Encoding");
    const std::string* length = headers.find("Content-Length");
    if (countFields(headers, "Content-Length") > 1 || countFields(headers, "Transfer-Encoding") > 1)
        return std::nullopt;
    if (encoding != nullptr && length != nullptr)
        return std::nullopt;
    if (encoding != nullptr)
        return equalsIgnoringCase(*encoding, "chunked") ? std::optional<Framing>({ BodyFraming::Chunked, 0 })
                                                        : std::nullopt;
    if (length == nullptr)
        return Framing {};
    auto bytes = parseUnsigned(*length);
    return bytes ? std::optional<Framing>({ BodyFraming::Length, *bytes }) : std::nullopt;
}

bool isPersistent(const HeaderList& headers, bool isHttp10)
{
    const std::string* connection = headers.find("Connection");
    if (isHttp10)
        return connection != nullptr && listHasToken(*connection, "keep-alive");
    return connection == nullptr || !listHasToken(*connection, "close");
}

bool hasNoBody(int status, bool toHeadRequest)
{
    return toHeadRequest || status < 200 || status == 204 || status == 304;
}

void appendFields(std::string& text, const HeaderList& headers)
{
    for (const HeaderField& field : headers.fields()) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += lineEnd;
    }
    text += lineEnd;
}

} // namespace

void HeaderList::add(std::string_view name, std::string_view value)
{
    this->list.push_back({ std::string(name), std::string(value) });
}

void HeaderList::set(std::string_view name, std::string_view value)
{
    this->remove(name);
    this->add(name, value);
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(this->list, [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
}

const std::string* HeaderList::find(std::string_view name) const
{
    for (const HeaderField& field : this->list) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
        return toLowerAscii(a) == toLowerAscii(b);
    });
}

bool listHasToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        std::size_t comma = value.find(',');
        if (equalsIgnoringCase(trim(value.substr(0, comma)), token))
            return true;
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return false;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string_view RequestHead::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

ParsedRequest parseRequestHead(std::string_view bytes)
{
    ParsedRequest parsed;
    RequestHead& head = parsed.head;
    std::string_view line;
    if (!readLine(bytes, line))
        return parsed;
    std::size_t methodEnd = line.find(' ');
    std::size_t targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd)
        return parsed;
    head.method = line.substr(0, methodEnd);
    head.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    std::string_view version = line.substr(targetEnd + 1);
    if (!isToken(head.method) || !isTarget(head.target) || !parseFields(bytes, head.headers))
        return parsed;
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        parsed.problem = version.rfind("HTTP/", 0) == 0 ? HeadError::UnsupportedVersion : HeadError::Malformed;
        return parsed;
    }
    bool isHttp10 = version == "HTTP/1.0";
    if (countFields(head.headers, "Host") > 1 || (!isHttp10 && !head.headers.has("Host")))
        return parsed;
    auto framing = parseFraming(head.headers);
    if (!framing || (isHttp10 && framing->kind == BodyFraming::Chunked))
        return parsed;
    head.framing = *framing;
    head.keepAlive = isPersistent(head.headers, isHttp10);
    const std::string* expect = head.headers.find("Expect");
    head.expectsContinue = expect != nullptr && equalsIgnoringCase(*expect, "100-continue");
    parsed.problem = HeadError::None;
    return parsed;
}

std::optional<ResponseHead> parseResponseHead(std::string_view bytes, bool toHeadRequest)
{
    ResponseHead head;
    std::string_view line;
    if (!readLine(bytes, line))
        return std::nullopt;
    bool isHttp10 = line.rfind("HTTP/1.0 ", 0) == 0;
    if (!isHttp10 && line.rfind("HTTP/1.1 ", 0) != 0)
        return std::nullopt;
    line.remove_prefix(9);
    auto status = parseUnsigned(line.substr(0, 3));
    if (!status || *status < 100 || *status > 599 || (line.size() > 3 && line[3] != ' '))
        return std::nullopt;
    head.status = static_cast<int>(*status);
    head.reason = line.size() > 4 ? line.substr(4) : std::string_view();
    if (!isFieldValue(head.reason) || !parseFields(bytes, head.headers))
        return std::nullopt;
    auto framing = parseFraming(head.headers);
    if (!framing)
        return std::nullopt;
    head.framing = *framing;
    head.keepAlive = isPersistent(head.headers, isHttp10);
    if (hasNoBody(head.status, toHeadRequest))
        head.framing = {};
    else if (head.framing.kind == BodyFraming::None)
        head.framing.kind = BodyFraming::UntilClose;
    return head;
}

std::string printRequestHead(std::string_view method, std::string_view target, const HeaderList& headers)
{
    std::string text(method);
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    appendFields(text, headers);
    return text;
}

std::string printResponseHead(int status, std::string_view reason, const HeaderList& headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += reason;
    text += lineEnd;
    appendFields(text, headers);
    return text;
}

std::string printError(int status, std::string_view reason, HeaderList headers)
{
    std::string content = "{\"error\":\"" + std::string(reason) + "\"}";
    headers.add("Content-Type", "application/json");
    headers.add("Content-Length", std::to_string(content.size()));
    return printResponseHead(status, reasonPhrase(status), headers) + content;
}

std::string_view reasonPhrase(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

bool isHopByHopField(std::string_view name, const HeaderList& headers)
{
    if (equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding"))
        return true;
    for (std::string_view field : hopByHopFields) {
        if (equalsIgnoringCase(name, field))
            return true;
    }
    const std::string* connection = headers.find("Connection");
    return connection != nullptr && listHasToken(*connection, name);
}

} // namespace lovagecross
