#pragma once

namespace anvilmill::tools {

/// \brief Blocks SIGTERM and SIGINT, and ignores SIGPIPE. Call before any thread is started.
void blockStopSignals();

/// \brief Waits for SIGTERM or SIGINT. Precondition: blockStopSignals() was called.
void waitForStopSignal();

/// \brief Makes waitForStopSignal() return. May be called from any thread.
void requestStop();

} // namespace anvilmill::tools
