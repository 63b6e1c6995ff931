#pragma once

// Continues a caller's stream when the answer is generated again from the beginning, on another backend server or by
// another owner of the shard: text that the caller has already received is skipped.
//
//     StreamContinuation stream(sink);
//     stream.restart();              // before each attempt
//     stream.write("Hel");           // forwards the text that the caller has not received yet
//     if (stream.diverged()) ...     // the new text differs from the sent text, so the stream can't be completed
//
// Thread safety: not synchronized; one attempt writes at a time.

#include "lovagecross/ports/Peer.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovagecross {

class StreamContinuation {
public:
    explicit StreamContinuation(ChunkSink sink);

    void restart();
    void write(std::string_view text);

    bool diverged() const { return this->hasDiverged; }

    // Whether the caller has disconnected. The call still runs to its end, and its answer is kept under its request id.
    bool callerGone() const { return this->isCallerGone; }

    const std::string& sent() const { return this->sentText; }

private:
    ChunkSink sink;
    std::string sentText;
    std::size_t matchedBytes = 0; // bytes of `sentText` that the current attempt has reproduced
    bool hasDiverged = false;
    bool isCallerGone = false;
};

} // namespace lovagecross
