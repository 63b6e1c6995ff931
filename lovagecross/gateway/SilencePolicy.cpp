#include "lovagecross/gateway/SilencePolicy.h"

#include <algorithm>

namespace lovagecross {

namespace {

Duration probeAfter(const SilentStream& stream)
{
    return std::max(silenceBeforeProbe, stream.usualSilence);
}

Duration moveAfter(const SilentStream& stream)
{
    return std::max(soundServerSilence, stream.usualSilence);
}

} // namespace

SilenceAction silenceAction(const SilentStream& stream)
{
    if (stream.silence < probeAfter(stream))
        return SilenceAction::Wait;
    if (stream.silence >= moveAfter(stream) || stream.contact == ServerContact::Unreachable)
        return SilenceAction::Move;
    return stream.contact == ServerContact::Unknown ? SilenceAction::Probe : SilenceAction::Wait;
}

Duration untilNextSilenceCheck(const SilentStream& stream)
{
    Duration left { 0 };
    if (stream.silence < probeAfter(stream))
        left = probeAfter(stream) - stream.silence;
    else if (stream.contact == ServerContact::Accepts)
        left = moveAfter(stream) - stream.silence;
    return std::max(silenceCheckInterval, left);
}

} // namespace lovagecross
