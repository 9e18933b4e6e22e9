#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `check-history`: exit code 0 if all guarantees hold, 1 if one is
/// violated, 2 for invalid input.
[[nodiscard]] int runCheckHistory(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
