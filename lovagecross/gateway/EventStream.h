#pragma once

// Splits the body of an event stream (`text/event-stream`) into whole events, so that an event that was cut never
// reaches a caller.
//
//     EventSplitter splitter;
//     splitter.add(content);
//     while (auto event = splitter.next())
//         ... event->bytes goes to the caller unchanged ...
//     splitter.pending();   // bytes of an event that is not whole yet
//
// Thread safety: not synchronized.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecross {

struct StreamEvent {
    std::string bytes; // with the empty line that ends it
    std::optional<std::uint64_t> id;
    std::string data; // the lines of its `data` fields, joined by line feeds
    bool hasData = false;
};

class EventSplitter {
public:
    void add(std::string_view content) { this->rest += content; }

    std::optional<StreamEvent> next();

    std::size_t pending() const { return this->rest.size(); }

private:
    std::string rest;
};

} // namespace lovagecross
