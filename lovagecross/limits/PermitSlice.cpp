#include "lovagecross/limits/PermitSlice.h"

#include <algorithm>

namespace lovagecross {

namespace {

double secondsBetween(TimePoint earlier, TimePoint later)
{
    return std::chrono::duration<double>(later - earlier).count();
}

void refill(PermitSlice& slice, TimePoint now)
{
    if (now > slice.updatedAt)
        slice.available += slice.perSecond * secondsBetween(slice.updatedAt, now);
    slice.updatedAt = std::max(slice.updatedAt, now);
    slice.available = std::min(slice.available, std::max(1.0, slice.perSecond * sliceBurstSeconds));
}

} // namespace

void setSliceRate(PermitSlice& slice, double perSecond, TimePoint now)
{
    refill(slice, now);
    slice.perSecond = perSecond;
    refill(slice, now);
}

PermitDecision takePermit(PermitSlice& slice, TimePoint now)
{
    refill(slice, now);
    if (slice.available >= 1) {
        slice.available -= 1;
        slice.denials = 0;
        return { true, Duration(0) };
    }
    double missing = 1 - slice.available + slice.denials;
    double longest = std::chrono::duration<double>(maxPermitRetryAfter).count();
    double seconds = std::min(missing / slice.perSecond, longest);
    ++slice.denials;
    return { false, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) };
}

} // namespace lovagecross
