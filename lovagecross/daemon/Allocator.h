#pragma once

// Settings of the C library's allocator.
//
// Thread safety: call once, before the process starts threads.

namespace lovagecross {

// Makes the allocator give freed buffers back to the system, so that the process holds what its accounts count. By
// default, freed buffers of up to 32 MB stay in arenas, of which there are eight a core.
void returnFreedMemory();

} // namespace lovagecross
