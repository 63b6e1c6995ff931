#pragma once

// Splits the body of an event stream (`text/event-stream`) into complete events, so that a truncated event never
// reaches a caller.
//
//     EventSplitter splitter;
//     splitter.add(content);
//     while (auto event = splitter.next())
//         ... forward event->bytes to the caller unchanged ...
//     splitter.pendingBytes();   // size of the incomplete event that remains
//
// Thread safety: not synchronized.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecross {

struct StreamEvent {
    std::string bytes; // including the empty line that ends the event
    std::optional<std::uint64_t> id;
    std::string data; // values of the `data` fields, joined by line feeds
    bool hasData = false;
};

class EventSplitter {
public:
    void add(std::string_view content) { this->unparsed += content; }

    std::optional<StreamEvent> next();

    std::size_t pendingBytes() const { return this->unparsed.size(); }

private:
    std::string unparsed;
    std::size_t searched = 0; // number of bytes of `unparsed` in which no event ends
};

} // namespace lovagecross
