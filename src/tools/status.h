#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill status`: prints the state of entry hosts, a line each.
[[nodiscard]] int runStatus(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
