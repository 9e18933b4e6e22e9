#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill machine`: runs one entry host on the fleet's machines until SIGTERM.
[[nodiscard]] int runMachine(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
