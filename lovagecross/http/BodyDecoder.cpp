#include "lovagecross/http/BodyDecoder.h"

#include <algorithm>
#include <charconv>

namespace lovagecross {

namespace {

constexpr std::size_t maxChunkLineBytes = 256; // limit of a chunk size line with its extensions, and of a trailer line
constexpr std::size_t maxTrailerBytes = 16 * 1024;

} // namespace

BodyDecoder::BodyDecoder(Framing bodyFraming)
    : framing(bodyFraming)
    , remaining(bodyFraming.length)
{
    bool empty = bodyFraming.kind == BodyFraming::Length && bodyFraming.length == 0;
    if (bodyFraming.kind == BodyFraming::None || empty)
        this->bodyState = BodyState::Complete;
}

std::size_t BodyDecoder::decode(std::string_view bytes, std::string& content)
{
    if (this->bodyState != BodyState::Reading)
        return 0;
    if (this->framing.kind == BodyFraming::Chunked)
        return this->decodeChunked(bytes, content);
    std::size_t used = bytes.size();
    if (this->framing.kind == BodyFraming::Length) {
        used = static_cast<std::size_t>(std::min<std::uint64_t>(used, this->remaining));
        this->remaining -= used;
        if (this->remaining == 0)
            this->bodyState = BodyState::Complete;
    }
    content.append(bytes.substr(0, used));
    return used;
}

void BodyDecoder::connectionEnded()
{
    if (this->bodyState != BodyState::Reading)
        return;
    this->bodyState = this->framing.kind == BodyFraming::UntilClose ? BodyState::Complete : BodyState::Broken;
}

std::size_t BodyDecoder::decodeChunked(std::string_view bytes, std::string& content)
{
    std::size_t used = 0;
    while (this->bodyState == BodyState::Reading && used < bytes.size()) {
        std::string_view rest = bytes.substr(used);
        if (this->step == ChunkStep::Data) {
            auto count = static_cast<std::size_t>(std::min<std::uint64_t>(rest.size(), this->remaining));
            content.append(rest.substr(0, count));
            this->remaining -= count;
            used += count;
            if (this->remaining == 0)
                this->step = ChunkStep::DataEnd;
            continue;
        }
        std::size_t end = rest.find("\r\n");
        if (end == std::string_view::npos) {
            if (rest.size() > maxChunkLineBytes)
                this->bodyState = BodyState::Broken;
            return used;
        }
        if (end > maxChunkLineBytes || !this->parseChunkLine(rest.substr(0, end))) {
            this->bodyState = BodyState::Broken;
            return used;
        }
        used += end + 2;
    }
    return used;
}

// Parses one line that is not chunk data: the end of a chunk, a chunk size or a trailer field. Returns false if it is
// malformed.
bool BodyDecoder::parseChunkLine(std::string_view line)
{
    if (this->step == ChunkStep::DataEnd) {
        this->step = ChunkStep::Size;
        return line.empty();
    }
    if (this->step == ChunkStep::Trailer) {
        if (line.empty())
            this->bodyState = BodyState::Complete;
        this->trailerBytes += line.size() + 2;
        return this->trailerBytes <= maxTrailerBytes && line.find('\n') == std::string_view::npos;
    }
    std::string_view digits = line.substr(0, line.find(';'));
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), this->remaining, 16);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size())
        return false;
    this->step = this->remaining == 0 ? ChunkStep::Trailer : ChunkStep::Data;
    return true;
}

std::string printChunk(std::string_view content)
{
    char digits[20];
    auto [end, error] = std::to_chars(digits, digits + sizeof(digits), content.size(), 16);
    std::string chunk(digits, end);
    chunk.reserve(chunk.size() + content.size() + 4);
    chunk += "\r\n";
    chunk += content;
    chunk += "\r\n";
    return chunk;
}

} // namespace lovagecross
