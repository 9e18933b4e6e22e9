#include "allocator.h"

#include <malloc.h>

namespace anvilmill::daemon {

namespace {

/// Enough that the threads of one machine rarely wait for each other.
constexpr int Arenas = 4;
/// Larger blocks are mapped, and unmapped when they are freed.
constexpr int MappedBlockBytes = 128 << 10;
constexpr int TrimBytes = 1 << 20;

} // namespace

void returnFreedMemory()
{
    ::mallopt(M_ARENA_MAX, Arenas);
    ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, TrimBytes);
}

} // namespace anvilmill::daemon
