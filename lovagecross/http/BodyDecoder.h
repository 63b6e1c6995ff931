#pragma once

// Takes the content of an HTTP body from the bytes of a connection as they arrive.
//
//     BodyDecoder decoder(head.framing);
//     std::size_t used = decoder.take(received, content);   // appends to `content`
//     received.erase(0, used);
//     if (decoder.state() == BodyState::Complete) ...
//
// Bytes after the end of the body are not used: they belong to the next message.
//
// Thread safety: not synchronized.

#include "lovagecross/http/MessageHead.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecross {

enum class BodyState {
    Reading,
    Complete,
    Broken, // malformed chunk framing
};

class BodyDecoder {
public:
    explicit BodyDecoder(Framing bodyFraming);

    // Appends the content found in `bytes` to `content`; returns how many bytes were used.
    std::size_t take(std::string_view bytes, std::string& content);

    // The connection has ended in order. Completes a body that ends with its connection; any other is cut.
    void connectionEnded();

    BodyState state() const { return this->bodyState; }

private:
    enum class ChunkStep {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    std::size_t takeChunked(std::string_view bytes, std::string& content);
    bool takeChunkLine(std::string_view line);

    Framing framing;
    BodyState bodyState = BodyState::Reading;
    std::uint64_t remaining = 0; // of the body or of the current chunk
    ChunkStep step = ChunkStep::Size;
};

// Frames `content` as one chunk; the empty chunk that ends a body is `lastChunk`.
std::string printChunk(std::string_view content);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lovagecross
