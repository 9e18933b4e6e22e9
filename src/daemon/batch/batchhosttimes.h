#pragma once

#include "anvilmill/clock.h"

namespace anvilmill::daemon {

/// All room is told this often, so that a host that is cut off shows by its silence.
inline constexpr Duration AllRoomInterval = std::chrono::milliseconds(250);
/// A host that is not heard for this long is not waited for: its runs here are stopped, and the
/// connection to it is made anew. Short of the 1.3 s after which clients come again.
inline constexpr Duration SilentAfter = std::chrono::milliseconds(900);

} // namespace anvilmill::daemon
