#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill demo`: stand-in executors and two entry hosts in one process run one job.
[[nodiscard]] int runDemo(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
