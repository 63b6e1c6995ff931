#pragma once

// Decodes the body of an HTTP message incrementally from the bytes that a connection receives.
//
//     BodyDecoder decoder(head.framing);
//     std::size_t used = decoder.decode(received, content);   // appends to `content`
//     received.erase(0, used);
//     if (decoder.state() == BodyState::Complete) ...
//
// Bytes after the end of the body are not consumed: they belong to the next message.
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
    Broken, // malformed chunked encoding, or the connection ended before the body
};

class BodyDecoder {
public:
    explicit BodyDecoder(Framing bodyFraming);

    // Decodes `bytes` and appends the content to `content`. Returns the number of bytes consumed; the caller passes the
    // remaining ones again, together with those that arrive next.
    std::size_t decode(std::string_view bytes, std::string& content);

    // Call when the peer has closed the connection without an error. This completes a body that is delimited by the end
    // of the connection; any other body that is still incomplete becomes Broken.
    void connectionEnded();

    BodyState state() const { return this->bodyState; }

private:
    enum class ChunkStep {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    std::size_t decodeChunked(std::string_view bytes, std::string& content);
    bool parseChunkLine(std::string_view line);

    Framing framing;
    BodyState bodyState = BodyState::Reading;
    std::uint64_t remaining = 0; // bytes left of the body or of the current chunk
    std::size_t trailerBytes = 0;
    ChunkStep step = ChunkStep::Size;
};

// Encodes `content`, which must not be empty, as one chunk. `lastChunk` ends the body.
std::string printChunk(std::string_view content);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lovagecross
