#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill platform-standin`: in-memory implementation of the platform's
/// interface.
///
/// \p arguments starts with `anvilmill platform-standin`. Runs until SIGINT or SIGTERM, and
/// returns the process's exit code.
[[nodiscard]] int runPlatformStandIn(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
