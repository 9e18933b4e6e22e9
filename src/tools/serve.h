#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill serve`: runs one entry host until SIGTERM or SIGINT.
[[nodiscard]] int runServe(const std::vector<std::string> &arguments);

/// \brief `anvilmill executor`: runs one stand-in executor until SIGTERM or SIGINT.
[[nodiscard]] int runExecutor(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
