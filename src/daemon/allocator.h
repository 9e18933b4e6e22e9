#pragma once

namespace anvilmill::daemon {

/// \brief Makes the allocator of a process with many threads return freed memory to the system.
///
/// By default, each thread may get an arena of its own, and each arena keeps tens of megabytes once a
/// thread has freed large blocks. Call once, before the first thread is started.
void returnFreedMemory();

} // namespace anvilmill::daemon
