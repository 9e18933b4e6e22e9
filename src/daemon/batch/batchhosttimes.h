#pragma once

#include "anvilmill/clock.h"

namespace anvilmill::daemon {

/// Interval of the heartbeats, by whose absence peers detect a disconnected host.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(250);
/// Timeout after which a host counts as silent: its runs here are stopped, and the connection to it
/// is opened again. Less than the 1.3 s after which clients retry.
inline constexpr Duration SilentAfter = std::chrono::milliseconds(900);

} // namespace anvilmill::daemon
