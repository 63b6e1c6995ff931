#include "lovagecross/runtime/StreamContinuation.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

StreamContinuation::StreamContinuation(ChunkSink chunkSink)
    : sink(std::move(chunkSink))
{
}

void StreamContinuation::restart()
{
    this->matchedBytes = 0;
}

void StreamContinuation::write(std::string_view text)
{
    if (this->hasDiverged)
        return;
    std::size_t known = std::min(text.size(), this->sentText.size() - this->matchedBytes);
    if (text.substr(0, known) != std::string_view(this->sentText).substr(this->matchedBytes, known)) {
        this->hasDiverged = true;
        return;
    }
    this->matchedBytes += known;
    text.remove_prefix(known);
    if (text.empty())
        return;
    this->sentText += text;
    this->matchedBytes += text.size();
    if (this->sink && !this->isCallerGone && !this->sink(text))
        this->isCallerGone = true;
}

} // namespace lovagecross
