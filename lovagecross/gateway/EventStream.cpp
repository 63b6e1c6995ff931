#include "lovagecross/gateway/EventStream.h"

#include "lovagecross/http/MessageHead.h"

#include <algorithm>

namespace lovagecross {

namespace {

// Returns the value after the colon without its leading space, if any.
std::string_view fieldValue(std::string_view line, std::size_t nameLength)
{
    std::string_view value = line.substr(nameLength + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

void parseLine(StreamEvent& event, std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line.rfind("id:", 0) == 0)
        event.id = parseUnsigned(fieldValue(line, 2));
    if (line.rfind("data:", 0) != 0)
        return;
    if (event.hasData)
        event.data += '\n';
    event.data += fieldValue(line, 4);
    event.hasData = true;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next()
{
    std::size_t lfEnd = this->unparsed.find("\n\n", this->searched);
    std::size_t crlfEnd = this->unparsed.find("\n\r\n", this->searched);
    std::size_t end = std::min(lfEnd, crlfEnd);
    if (end == std::string::npos) {
        constexpr std::size_t terminatorBytes = 3;
        this->searched = this->unparsed.size() - std::min(this->unparsed.size(), terminatorBytes - 1);
        return std::nullopt;
    }
    this->searched = 0;
    StreamEvent event;
    event.bytes = this->unparsed.substr(0, end + (lfEnd <= crlfEnd ? 2 : 3));
    this->unparsed.erase(0, event.bytes.size());
    std::string_view lines = event.bytes;
    while (!lines.empty()) {
        std::size_t lineEnd = lines.find('\n');
        parseLine(event, lines.substr(0, lineEnd));
        lines = lineEnd == std::string_view::npos ? std::string_view() : lines.substr(lineEnd + 1);
    }
    return event;
}

} // namespace lovagecross
