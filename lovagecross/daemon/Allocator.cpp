#include "lovagecross/daemon/Allocator.h"

#include <malloc.h>

namespace lovagecross {

namespace {

constexpr int mappedAllocationBytes = 64 * 1024; // larger allocations are returned to the system when they are freed
constexpr int keptFreeBytes = 256 * 1024; // at the end of each arena
constexpr int maxAllocatorArenas = 4;

} // namespace

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedAllocationBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
    ::mallopt(M_ARENA_MAX, maxAllocatorArenas);
}

} // namespace lovagecross
